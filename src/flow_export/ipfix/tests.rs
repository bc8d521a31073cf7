//! Unit tests of the encoding. The expected bytes were computed with the functions of version 00677b7 for the same
//! flows.

use super::*;
use crate::model::RequestId;
use crate::requests::FrontendId;
use rstest::rstest;

const DOMAIN: u32 = 0x9b1f_7f3a;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn flow(result: FlowResult) -> FlowRecord {
    FlowRecord {
        request_id: RequestId(0x01_0203_0405),
        frontend: FrontendId { index: 0, name: "text" },
        class: 0,
        server: None,
        started_at: MonotonicTime::from_nanos(1_764_654_446_123_456_789),
        ended_at: MonotonicTime::from_nanos(1_764_654_447_000_999_999),
        attempts: 3,
        result,
    }
}

fn unsent_flow() -> FlowRecord {
    FlowRecord {
        request_id: RequestId(1),
        frontend: FrontendId { index: 1, name: "amqp" },
        started_at: MonotonicTime::from_nanos(1),
        ended_at: MonotonicTime::from_nanos(2_000_000),
        attempts: 0,
        ..flow(FlowResult::Rejected)
    }
}

#[test]
fn the_template_message_is_unchanged() {
    let export_time = MonotonicTime::from_nanos(1_764_654_446_123_456_789);
    let header = MessageHeader { export_time, sequence: 7, observation_domain: DOMAIN };
    let message = encode_message(&header, SetKind::Template, &encode_template());
    let expected = concat!(
        "000a0040692e7d6e000000079b1f7f3a000200300100000a00940008009800080099000800880001000c0004000b0002",
        "011600040060ffff005effff0174ffff",
    );
    assert_eq!(hex(&message), expected);
}

#[rstest]
#[case::served(FlowResult::Served, "03", "06736572766564")]
#[case::rejected(FlowResult::Rejected, "05", "0772656675736564")]
#[case::failed(FlowResult::Failed, "04", "066661696c6564")]
#[case::client_disconnected(FlowResult::ClientDisconnected, "03", "046c656674")]
#[case::migrated(FlowResult::Migrated, "04", "056d6f766564")]
#[case::broken(FlowResult::Broken, "04", "0662726f6b656e")]
fn a_record_is_unchanged(#[case] result: FlowResult, #[case] reason: &str, #[case] name: &str) {
    let server = "10.1.2.3:4567".parse().expect("valid address");
    let record = encode_record(&flow(result), Some(server), "live-readings");
    let id_and_times = "00000001020304050000019add99f62b0000019add99f998";
    let fields_from_server_to_frontend = "0a01020311d7000000030d6c6976652d72656164696e67730474657874";
    assert_eq!(hex(&record), format!("{id_and_times}{reason}{fields_from_server_to_frontend}{name}"));
}

#[test]
fn a_record_without_a_server_has_no_address() {
    let record = encode_record(&unsent_flow(), None, "");
    let expected = concat!(
        "00000000000000010000000000000000000000000000000205000000000000000000000004616d717007726566757365",
        "64",
    );
    assert_eq!(hex(&record), expected);
}

#[test]
fn a_long_class_name_is_truncated_and_an_ipv6_address_is_omitted() {
    let server = "[::1]:80".parse().expect("valid address");
    let record = encode_record(&unsent_flow(), Some(server), &"x".repeat(300));
    let before_class = "0000000000000001000000000000000000000000000000020500000000005000000000fe";
    let after_class = "04616d71700772656675736564";
    assert_eq!(hex(&record), format!("{before_class}{}{after_class}", "78".repeat(MAX_STRING_BYTES)));
}

#[test]
fn a_data_message_is_unchanged() {
    let export_time = MonotonicTime::from_nanos(2_000_000_000);
    let header = MessageHeader { export_time, sequence: u32::MAX, observation_domain: 1 };
    let message = encode_message(&header, SetKind::Data, &encode_record(&unsent_flow(), None, ""));
    let expected = concat!(
        "000a004500000002ffffffff000000010100003500000000000000010000000000000000000000000000000205000000",
        "000000000000000004616d71700772656675736564",
    );
    assert_eq!(hex(&message), expected);
}
