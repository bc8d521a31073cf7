//! Tests of the format of the quota file: its keys, their earlier names, the layout hash that nodes compare, and the
//! validation of its fields.

use sparbank_quota::{PlanProblem, QuotaPlan};

const EXAMPLE: &str = include_str!("../../../deploy/fleet.json");

/// The example in the format of version 00677b7, before the keys `seats` and `whole` were renamed.
const EXAMPLE_WITH_EARLIER_KEYS: &str = r#"{
  "seats": [
    {"name": "node-1", "address": "127.0.0.1:7101"},
    {"name": "node-2", "address": "127.0.0.1:7102"},
    {"name": "node-3", "address": "127.0.0.1:7103"}
  ],
  "grantors": ["node-1"],
  "lease_ms": 5000,
  "clear_ms": 8000,
  "drift_ppm": 1000,
  "budgets": [
    {"name": "standing", "limits": "connections", "whole": 600, "floor_percent": 20},
    {"name": "standing-live", "limits": "connections", "whole": 120, "class": "live-readings"},
    {"name": "ledger", "limits": "setups", "whole": 125, "burst": 60, "floor_percent": 20},
    {"name": "retries", "limits": "retries", "whole": 40, "burst": 20, "floor_percent": 20}
  ]
}"#;

/// The layout hashes that version 00677b7 computes. Nodes of that version and of this one compare them.
const EXAMPLE_LAYOUT_HASH: u64 = 0x51fb_c94b_f229_d749;
const EXAMPLE_LAYOUT_HASH_WITH_DISCOVERY_CALLS_AND_SUBSCRIBER: u64 = 0xda70_4ae4_28db_48f8;

fn plan(text: &str) -> QuotaPlan {
    let plan: QuotaPlan = serde_json::from_str(text).expect("the text is a plan");
    plan.validate().expect("the plan is valid");
    plan
}

#[test]
fn earlier_keys_are_accepted() {
    assert_eq!(plan(EXAMPLE_WITH_EARLIER_KEYS), plan(EXAMPLE));
}

#[test]
fn key_together_with_its_earlier_name_is_rejected() {
    let both = EXAMPLE.replace("\"total\": 600", "\"total\": 600, \"whole\": 600");
    let error = serde_json::from_str::<QuotaPlan>(&both).expect_err("the key is duplicated");
    assert!(error.to_string().contains("duplicate field"), "{error}");
}

#[test]
fn layout_hash_matches_version_00677b7() {
    assert_eq!(plan(EXAMPLE).layout_hash(), EXAMPLE_LAYOUT_HASH);
    let other = EXAMPLE
        .replace("\"class\"", "\"subscriber\"")
        .replace("\"limits\": \"retries\"", "\"limits\": \"lists\"");
    assert_eq!(plan(&other).layout_hash(), EXAMPLE_LAYOUT_HASH_WITH_DISCOVERY_CALLS_AND_SUBSCRIBER);
}

/// The error for an invalid field names the field and the problem.
#[rstest::rstest]
#[case("\"name\": \"node-2\"", "\"name\": \"\"", "members[1].name", PlanProblem::Empty)]
#[case("\"name\": \"node-2\"", "\"name\": \"node-1\"", "members[1].name", PlanProblem::Duplicate)]
#[case("[\"node-1\"]", "[]", "grantors", PlanProblem::GrantorCount)]
#[case("[\"node-1\"]", "[\"node-1\", \"node-1\", \"node-2\"]", "grantors[1]", PlanProblem::Duplicate)]
#[case("\"lease_ms\": 5000", "\"lease_ms\": 60001", "lease_ms", PlanProblem::LeaseOutOfRange)]
#[case("\"clear_ms\": 8000", "\"clear_ms\": 120001", "clear_ms", PlanProblem::TooLarge { max: 120_000 })]
#[case("\"drift_ppm\": 1000", "\"drift_ppm\": 100001", "drift_ppm", PlanProblem::TooLarge { max: 100_000 })]
#[case("\"total\": 600", "\"total\": 0", "budgets[0].total", PlanProblem::TotalOutOfRange)]
#[case("\"total\": 600", "\"total\": 600, \"burst\": 1", "budgets[0].burst", PlanProblem::BurstOfLevel)]
#[case("\"burst\": 60", "\"burst\": 2", "budgets[2].burst", PlanProblem::BurstOutOfRange { members: 3 })]
fn invalid_field_is_named(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] field: &str,
    #[case] problem: PlanProblem,
) {
    assert!(EXAMPLE.contains(valid));
    let plan: QuotaPlan = serde_json::from_str(&EXAMPLE.replace(valid, invalid)).expect("the text is a plan");
    let error = plan.validate().expect_err("the plan is invalid");
    assert_eq!((error.field.as_str(), error.problem), (field, problem));
}
