use super::BufferedConnection;
use rstest::rstest;

/// JSON that the code of version 00677b7 wrote: what a process of that version hands to this one.
const AWAITING_HANDSHAKE: &str =
    r#"{"input":"T1BFTiA5Yg==","output":"UE9ORw0K","written":6,"word_by":2600000000}"#;
const ESTABLISHED: &str = r#"{"input":"","output":"AP8K","written":42,"word_by":null}"#;

#[rstest]
#[case::awaiting_handshake(AWAITING_HANDSHAKE, b"OPEN 9b", b"PONG\r\n", 6, Some(2_600_000_000))]
#[case::established(ESTABLISHED, b"", &[0, 255, 10], 42, None)]
fn json_of_00677b7_is_read_and_written_unchanged(
    #[case] json: &str,
    #[case] input: &[u8],
    #[case] output: &[u8],
    #[case] bytes_written: u64,
    #[case] handshake_deadline: Option<u64>,
) {
    let expected = BufferedConnection {
        input: input.to_vec(),
        output: output.to_vec(),
        bytes_written,
        handshake_deadline,
    };
    let connection: BufferedConnection = serde_json::from_str(json).expect("readable");
    assert_eq!(connection, expected);
    assert_eq!(serde_json::to_string(&connection).expect("writable"), json);
}
