use super::{SessionEnding, TransferredEstablished, TransferredSession};
use crate::net::BufferedConnection;
use rstest::rstest;
use sparbank_time::MonotonicTime;
use std::time::Duration;

// JSON written by version 00677b7, as a process of that version passes it to its successor.
const AWAITING_REQUEST: &str = include_str!("json_of_00677b7/awaiting_request.json");
const UNANNOUNCED: &str = include_str!("json_of_00677b7/unannounced.json");
const COMPLETED: &str = include_str!("json_of_00677b7/completed.json");
const MIGRATED: &str = include_str!("json_of_00677b7/migrated.json");

fn read(json: &str) -> TransferredSession {
    serde_json::from_str(json).expect("valid JSON")
}

#[rstest]
#[case::awaiting_request(AWAITING_REQUEST)]
#[case::unannounced(UNANNOUNCED)]
#[case::completed(COMPLETED)]
#[case::migrated(MIGRATED)]
fn json_of_00677b7_is_read_and_written_unchanged(#[case] json: &str) {
    assert_eq!(serde_json::to_string(&read(json)).expect("serializable"), json);
}

#[test]
fn a_client_without_a_request_keeps_its_pings_and_bytes() {
    let TransferredSession::AwaitingRequest(pings, client) = read(AWAITING_REQUEST) else {
        panic!("another kind of session")
    };
    assert_eq!(
        (pings, client.input.as_slice(), client.output.as_slice()),
        (2, &b"OPEN 9b"[..], &b"PONG\r\n"[..])
    );
}

#[rstest]
#[case::unannounced(
    UNANNOUNCED,
    SessionEnding::Unannounced,
    Some(MonotonicTime::from_nanos(7_000_000_000)),
    Some(Duration::from_nanos(2_727_000))
)]
#[case::completed(COMPLETED, SessionEnding::Completed, None, None)]
#[case::migrated(MIGRATED, SessionEnding::Migrated, None, Some(Duration::ZERO))]
fn an_established_session_keeps_its_state(
    #[case] json: &str,
    #[case] ending: SessionEnding,
    #[case] unanswered_since: Option<MonotonicTime>,
    #[case] load: Option<Duration>,
) {
    let TransferredSession::Established(session) = read(json) else { panic!("another kind of session") };
    // The JSON of `BufferedConnection` itself is tested in the net module.
    let connection = |json: &str| -> BufferedConnection { serde_json::from_str(json).expect("valid JSON") };
    let expected = TransferredEstablished {
        request_line: "OPEN 9b1f 7f3a c=live-readings,t=acme,d=1200,g=5c0f".to_string(),
        server_name: "s-2".to_string(),
        started_at: MonotonicTime::from_nanos(5_000_000_000),
        unanswered_since,
        ending,
        load,
        client: connection(r#"{"input":"TSAx","output":"TE9BRCA5MA0K","written":7,"word_by":null}"#),
        server: connection(r#"{"input":"aGVs","output":"TSAyIHgNCg==","written":52,"word_by":null}"#),
    };
    assert_eq!(session, expected);
}
