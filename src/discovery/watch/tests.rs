//! Unit tests of a watch's state.

use super::*;
use std::time::Duration;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const SECOND: Duration = Duration::from_secs(1);
const MILLISECOND: Duration = Duration::from_millis(1);
const NANOSECOND: Duration = Duration::from_nanos(1);
const LATER: MonotonicTime = MonotonicTime::from_nanos(1);

/// The instant this long after the origin of the clock.
fn at(since_origin: Duration) -> MonotonicTime {
    MonotonicTime::ZERO + since_origin
}

/// Decodes a response that arrives in pieces of so many bytes: its frames, and how decoding ended.
fn decode(text: &str, piece_bytes: usize) -> (Vec<String>, Result<(), WatchError>) {
    let mut decoder = WatchDecoder::default();
    let mut frames = Vec::new();
    let mut outcome = Ok(());
    for piece in text.as_bytes().chunks(piece_bytes) {
        outcome = decoder.decode(piece, &mut frames);
        if outcome.is_err() {
            break;
        }
    }
    (frames.iter().map(|frame| String::from_utf8_lossy(frame).into_owned()).collect(), outcome)
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

#[rstest::rstest]
#[case(1)]
#[case(7)]
#[case(1000)]
fn frames_are_found_however_the_response_is_cut(#[case] piece_bytes: usize) {
    let text = format!("{HEAD}3\r\na\nb\r\n2;x=y\r\nc\n\r\n1\r\n\n\r\n");
    assert_eq!(decode(&text, piece_bytes), (vec!["a\n".into(), "bc\n".into(), "\n".into()], Ok(())));
}

#[rstest::rstest]
#[case("HTTP/1.1 503 No\r\n\r\n", ResponseError::Status(503))]
#[case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", ResponseError::NotChunked)]
#[case("garbage\r\n\r\n", ResponseError::NotHttp)]
#[case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", ResponseError::InvalidChunk)]
#[case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", ResponseError::Ended)]
fn a_response_that_is_no_watch_is_an_error(#[case] text: &str, #[case] error: ResponseError) {
    assert_eq!(decode(text, 5).1, Err(WatchError::Response(error)));
}

/// Lists before an error count, those after it do not, and the first error is the outcome.
#[test]
fn lists_before_an_error_count() {
    let mut watch = WatchState::new(MonotonicTime::ZERO);
    let list = |generation: u64| format!("{{\"generation\":{generation},\"instances\":[]}}\n");
    let body = format!("{}{{\"generation\":\"x\"}}\n{}", list(1), list(2));
    let received = watch.receive(LATER, format!("{HEAD}{}0\r\n", chunk(&body)).as_bytes());
    assert_eq!(received.lists.iter().map(|list| list.generation).collect::<Vec<_>>(), [1]);
    assert_eq!(received.outcome, Err(WatchError::InvalidDocument));
}

/// Only an empty line that begins the response says that nothing has changed since the requested generation.
#[test]
fn a_response_that_begins_with_an_empty_line_starts_unchanged() {
    let mut watch = WatchState::new(MonotonicTime::ZERO);
    assert!(!watch.receive(LATER, HEAD.as_bytes()).starts_unchanged);
    assert!(watch.receive(LATER, chunk("\n").as_bytes()).starts_unchanged);
    let later = watch.receive(LATER, chunk("\n").as_bytes());
    assert_eq!((later.starts_unchanged, later.outcome), (false, Ok(())));
}

/// A watch is silent without a response, without a byte, or without a complete object for too long.
#[test]
fn a_watch_is_silent_after_each_of_its_three_time_limits() {
    let mut watch = WatchState::new(at(SECOND));
    assert!(!watch.is_silent(at(SECOND + RESPONSE_TIMEOUT)));
    assert!(watch.is_silent(at(SECOND + RESPONSE_TIMEOUT) + NANOSECOND));

    let head_at = at(2 * SECOND);
    assert_eq!(watch.receive(head_at, HEAD.as_bytes()).outcome, Ok(()));
    assert!(!watch.is_silent(head_at + IDLE_TIMEOUT));
    assert!(watch.is_silent(head_at + IDLE_TIMEOUT + NANOSECOND));

    let object_timeout_at = at(SECOND + OBJECT_TIMEOUT);
    watch.receive(object_timeout_at, b"1");
    assert!(!watch.is_silent(object_timeout_at));
    assert!(watch.is_silent(object_timeout_at + NANOSECOND), "bytes without an object");

    watch.receive(object_timeout_at, b"\r\n\n\r\n");
    assert!(!watch.is_silent(object_timeout_at + IDLE_TIMEOUT));
    assert!(watch.is_silent(object_timeout_at + IDLE_TIMEOUT + MILLISECOND));
}

#[test]
fn a_watch_in_the_middle_of_a_long_list_is_not_transferable() {
    let mut watch = WatchState::new(MonotonicTime::ZERO);
    watch.receive(LATER, format!("{HEAD}ffff\r\n").as_bytes());
    watch.receive(LATER, &[b' '; MAX_TRANSFERRED_BYTES]);
    assert!(watch.is_transferable());
    watch.receive(LATER, b" ");
    assert!(!watch.is_transferable());
}

/// The texts that `docs/ON-CALL.md` lists.
#[rstest::rstest]
#[case(WatchError::Response(ResponseError::Status(503)), "HTTP status 503")]
#[case(WatchError::Framing(FramingError::Truncated), "malformed JSON")]
#[case(WatchError::InvalidDocument, "malformed JSON")]
#[case(WatchError::Silent, "silent")]
fn an_error_is_printed_as_the_log_event_names_it(#[case] error: WatchError, #[case] text: &str) {
    assert_eq!(error.to_string(), text);
}

/// The states that version 00677b7 hands over, in the middle of each element of a response.
const STATES_00677B7: &str = include_str!("../fixtures/watch-00677b7.jsonl");

#[test]
fn a_watch_of_version_00677b7_is_read_and_written_in_the_same_form() {
    let states: Vec<&str> = STATES_00677B7.lines().collect();
    assert_eq!(states.len(), 4);
    for text in states {
        let state: WatchState = serde_json::from_str(text).expect("a watch");
        assert_eq!(serde_json::to_string(&state).expect("JSON"), text);
    }
}

/// The first of these states was taken inside a string of a list that is cut in the middle of a chunk.
#[test]
fn a_watch_of_version_00677b7_goes_on_where_it_was_cut() {
    let text = STATES_00677B7.lines().next().expect("a state");
    let mut watch: WatchState = serde_json::from_str(text).expect("a watch");
    assert_eq!(
        (watch.last_frame_at.as_nanos(), watch.last_byte_at.as_nanos(), watch.frame_count),
        (1_000_000_007, 2_500_000_011, 1)
    );
    let rest = r#""b","hostPort":"10.0.0.1:80","lifecycle":"ready"}]}"#;
    let received = watch.receive(at(3 * SECOND), rest.as_bytes());
    assert_eq!((received.outcome, received.lists.len()), (Ok(()), 0));
    let received = watch.receive(at(3 * SECOND), b"\n");
    assert_eq!(received.outcome, Ok(()));
    let list = &received.lists[0];
    assert_eq!((list.generation, list.is_complete), (8, false));
    assert_eq!(list.endpoints[0].name, "a\"b");
}
