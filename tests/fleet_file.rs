//! `check-config --fleet` and `serve --fleet`: an invalid fleet file yields one line that names the file and the field, and
//! exit code 2.

use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

/// The configuration of a node that is not a member of the example fleet.
const CONFIG: &str = r#"{"name":"node-9","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1","limits":{"sockets":SOCKETS},
        "known":{"generation":1,"reset":true,"instances":[]},"settings":{"Profiles":[{"Effect":"read_like",
        "HardLimitNs":1200000000,"Name":"live-readings","ObjectiveNs":300000000,"Worth":2.0}],"Discovery":"ask",
        "Zones":["a"],"Instances":3,"Limits":{"MaxAttempts":3,"MayCancel":true,"RetryAfter":true,"MaxRetryAfterNs":600000000,
        "DialTimeoutNs":250000000},"Parties":[{"Name":"acme","QuotaPerS":8.0,"Share":1.0}],"Rules":{
        "AskWithinNs":10000000000,"ColdFrom":0.12,"ColdNs":10000000000,"FallMultiple":3.0,"TipAfterNs":2000000000,
        "StopSendingWithinNs":250000000}}}"#;

fn write_temporary(text: &str) -> PathBuf {
    static FILES: AtomicU32 = AtomicU32::new(0);
    let name =
        format!("sparbank-fleet-{}-{}.json", std::process::id(), FILES.fetch_add(1, Ordering::Relaxed));
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, text).expect("a writable temporary file");
    file
}

/// The exit code of `check-config --fleet`, and what it prints to both streams.
struct CheckResult {
    exit_code: Option<i32>,
    output: String,
}

fn check(text: &str) -> CheckResult {
    let file = write_temporary(text);
    let result = Command::new(PROGRAM)
        .args(["check-config", "--fleet"])
        .arg(&file)
        .output()
        .expect("the program starts");
    std::fs::remove_file(&file).expect("the file exists");
    let output = String::from_utf8_lossy(&[result.stdout, result.stderr].concat()).into_owned();
    CheckResult { exit_code: result.status.code(), output }
}

#[rstest::rstest]
#[case("\"total\": 600", "\"hole\": 600", "field budgets[0].hole: unknown field")]
#[case("\"burst\": 60", "\"burst\": 2", "field budgets[2].burst: must be at least 3, one per member")]
#[case("\"grantors\": [\"node-1\"", "\"grantors\": [\"node-9\"", "field grantors[0]: no member is named")]
#[case("\"lease_ms\": 5000", "\"lease_ms\": 5", "field lease_ms: must be 300 to 60000")]
#[case("127.0.0.1:7102", "127.0.0.1:7101", "field members[1].address: is a duplicate")]
#[case(
    "\"connections\", \"total\": 120",
    "\"setups\", \"total\": 120",
    "field budgets[1].burst: must be at least 3"
)]
fn invalid_file_yields_one_error_line_and_exit_code_2(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] error: &str,
) {
    let example = include_str!("../deploy/fleet.json");
    assert!(example.contains(valid));
    let CheckResult { exit_code, output } = check(&example.replace(valid, invalid));
    assert_eq!((exit_code, output.lines().count()), (Some(2), 1), "{output}");
    assert!(output.contains(error) && output.contains(".json: "), "{output}");
}

/// `serve` rejects, before it starts anything, fleet files with features that it does not support yet, and a node that is not
/// a member.
#[rstest::rstest]
#[case(
    "[\"node-1\"]",
    "[\"node-1\", \"node-2\", \"node-3\"]",
    "field grantors: more than one: is not supported yet"
)]
#[case("\"class\"", "\"subscriber\"", "field budgets[1].subscriber: is not supported yet")]
#[case(
    "\"retries\", \"total\"",
    "\"lists\", \"total\"",
    "field budgets[3].limits: lists: is not supported yet"
)]
#[case(
    "node-1",
    "node-9",
    "field members: a grantor for 3 members needs limits.sockets of at least 6, got 5"
)]
#[case("\"node-9\"", "\"node-9\"", "field members: none is named \"node-9\"")]
fn unsupported_fleet_file_is_rejected_at_start(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] error: &str,
) {
    let file = write_temporary(&include_str!("../deploy/fleet.json").replace(valid, invalid));
    let config = write_temporary(&CONFIG.replace("SOCKETS", "5"));
    let mut serve = Command::new(PROGRAM);
    let result = serve
        .args(["serve", "--fleet"])
        .arg(&file)
        .env("NODE_CONFIG", &config)
        .output()
        .expect("the program starts");
    let output = String::from_utf8_lossy(&result.stderr).into_owned();
    assert_eq!((result.status.code(), output.lines().count()), (Some(2), 1), "{output}");
    assert!(output.contains(error), "{output}");
    for file in [file, config] {
        std::fs::remove_file(file).expect("the file exists");
    }
}

/// The former names `seats` and `whole` of two keys are still accepted. Errors use the current names.
#[test]
fn former_key_names_are_accepted() {
    let with_former_names = include_str!("../deploy/fleet.json")
        .replace("\"members\"", "\"seats\"")
        .replace("\"total\"", "\"whole\"");
    let CheckResult { exit_code, output } = check(&with_former_names);
    assert_eq!(exit_code, Some(0), "{output}");
    let CheckResult { exit_code, output } =
        check(&with_former_names.replace("\"whole\": 600", "\"whole\": 0"));
    assert_eq!(exit_code, Some(2), "{output}");
    assert!(output.contains("field budgets[0].total: must be 1 to 1000000000"), "{output}");
}

#[test]
fn example_is_valid() {
    let CheckResult { exit_code, output } = check(include_str!("../deploy/fleet.json"));
    assert_eq!(exit_code, Some(0), "{output}");
    assert!(output.contains("3 seats, 4 budgets: right"), "{output}");
}
