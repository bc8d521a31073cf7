//! Unit tests of the watch state.

use super::*;
use std::time::Duration;

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const SECOND: Duration = Duration::from_secs(1);
const MILLISECOND: Duration = Duration::from_millis(1);
const NANOSECOND: Duration = Duration::from_nanos(1);
const LATER: MonotonicTime = MonotonicTime::from_nanos(1);

/// The time at this duration after the origin of the clock.
fn at(since_origin: Duration) -> MonotonicTime {
    MonotonicTime::ZERO + since_origin
}

/// Decodes a response that arrives in pieces of `piece_bytes`, and returns the frames and the outcome of decoding.
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
fn frames_do_not_depend_on_how_the_response_is_split(#[case] piece_bytes: usize) {
    let text = format!("{HEAD}3\r\na\nb\r\n2;x=y\r\nc\n\r\n1\r\n\n\r\n");
    assert_eq!(decode(&text, piece_bytes), (vec!["a\n".into(), "bc\n".into(), "\n".into()], Ok(())));
}

#[rstest::rstest]
#[case("HTTP/1.1 503 No\r\n\r\n", ResponseError::Status(503))]
#[case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", ResponseError::NotChunked)]
#[case("garbage\r\n\r\n", ResponseError::NotHttp)]
#[case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", ResponseError::InvalidChunk)]
#[case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", ResponseError::Ended)]
fn a_response_other_than_a_chunked_200_is_an_error(#[case] text: &str, #[case] error: ResponseError) {
    assert_eq!(decode(text, 5).1, Err(WatchError::Response(error)));
}

/// A malformed list must not discard the valid lists that arrived with it. Lists after the error are ignored, and the
/// first error is the outcome.
#[test]
fn lists_before_an_error_are_kept() {
    let mut watch = WatchState::new(MonotonicTime::ZERO);
    let list = |generation: u64| format!("{{\"generation\":{generation},\"instances\":[]}}\n");
    let body = format!("{}{{\"generation\":\"x\"}}\n{}", list(1), list(2));
    let received = watch.receive(LATER, format!("{HEAD}{}0\r\n", chunk(&body)).as_bytes());
    assert_eq!(received.lists.iter().map(|list| list.generation).collect::<Vec<_>>(), [1]);
    assert_eq!(received.outcome, Err(WatchError::InvalidDocument));
}

/// Only an empty line at the beginning of the response means that nothing has changed since the requested generation.
#[test]
fn an_initial_empty_line_confirms_the_requested_generation() {
    let mut watch = WatchState::new(MonotonicTime::ZERO);
    assert!(!watch.receive(LATER, HEAD.as_bytes()).confirms_generation);
    assert!(watch.receive(LATER, chunk("\n").as_bytes()).confirms_generation);
    let later = watch.receive(LATER, chunk("\n").as_bytes());
    assert_eq!((later.confirms_generation, later.outcome), (false, Ok(())));
}

/// A watch times out after too long a time without a response, without a byte, or without a complete frame.
#[test]
fn a_watch_times_out_after_each_of_its_three_timeouts() {
    let mut watch = WatchState::new(at(SECOND));
    assert!(!watch.has_timed_out(at(SECOND + RESPONSE_TIMEOUT)));
    assert!(watch.has_timed_out(at(SECOND + RESPONSE_TIMEOUT) + NANOSECOND));

    let head_at = at(2 * SECOND);
    assert_eq!(watch.receive(head_at, HEAD.as_bytes()).outcome, Ok(()));
    assert!(!watch.has_timed_out(head_at + IDLE_TIMEOUT));
    assert!(watch.has_timed_out(head_at + IDLE_TIMEOUT + NANOSECOND));

    let frame_timeout_at = at(SECOND + FRAME_TIMEOUT);
    watch.receive(frame_timeout_at, b"1");
    assert!(!watch.has_timed_out(frame_timeout_at));
    assert!(watch.has_timed_out(frame_timeout_at + NANOSECOND), "bytes without a complete frame");

    watch.receive(frame_timeout_at, b"\r\n\n\r\n");
    assert!(!watch.has_timed_out(frame_timeout_at + IDLE_TIMEOUT));
    assert!(watch.has_timed_out(frame_timeout_at + IDLE_TIMEOUT + MILLISECOND));
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
#[case(WatchError::TimedOut, "no data within the time limit")]
fn errors_are_displayed_as_documented(#[case] error: WatchError, #[case] text: &str) {
    assert_eq!(error.to_string(), text);
}

/// States written by version 00677b7, one in the middle of each element of a response. They guard the handover from a
/// process of that version.
const STATES_00677B7: &str = include_str!("../fixtures/watch-00677b7.jsonl");

#[test]
fn a_watch_of_version_00677b7_is_read_and_written_unchanged() {
    let states: Vec<&str> = STATES_00677B7.lines().collect();
    assert_eq!(states.len(), 4);
    for text in states {
        let state: WatchState = serde_json::from_str(text).expect("valid watch state");
        assert_eq!(serde_json::to_string(&state).expect("serializable"), text);
    }
}

/// The first of these states was written inside a string of a list, in the middle of a chunk.
#[test]
fn a_watch_of_version_00677b7_continues_inside_a_list() {
    let text = STATES_00677B7.lines().next().expect("one state per line");
    let mut watch: WatchState = serde_json::from_str(text).expect("valid watch state");
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
