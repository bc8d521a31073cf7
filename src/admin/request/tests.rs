//! Which requests are calls, with which status others are rejected, and how long a head may be.

use super::{parse, AdminCall, ParsedHead, MAX_HEADER_FIELDS, MAX_HEAD_BYTES};
use proptest::prelude::*;
use rstest::rstest;

fn rejected_status(text: &str) -> Option<u16> {
    match parse(text.as_bytes()) {
        ParsedHead::Rejected(response) => Some(response.status),
        _ => None,
    }
}

#[rstest]
#[case("GET /-/ready HTTP/1.1\r\n\r\n", AdminCall::Ready)]
#[case("GET http://10.0.0.1:9/-/ready?x=1 HTTP/1.1\r\nHost: a\r\n\r\n", AdminCall::Ready)]
#[case("POST /-/drain HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}", AdminCall::Drain)]
#[case("POST /-/resume HTTP/1.0\nhost: a\n\n", AdminCall::Resume)]
fn a_call_is_parsed_once_its_head_is_complete(#[case] text: &str, #[case] call: AdminCall) {
    let head = text.find("\r\n\r\n").map_or(text.len(), |at| at + 4);
    for cut in 0..head {
        assert_eq!(parse(&text.as_bytes()[..cut]), ParsedHead::Incomplete, "{cut}");
    }
    assert_eq!(parse(text.as_bytes()), ParsedHead::Call(call));
}

#[rstest]
#[case("GET /-/metrics HTTP/1.1\r\n\r\n", 404)]
#[case("GET /-/ready/ HTTP/1.1\r\n\r\n", 404)]
#[case("GET http:// HTTP/1.1\r\n\r\n", 404)]
#[case("POST /-/ready HTTP/1.1\r\n\r\n", 405)]
#[case("GET /-/drain HTTP/1.1\r\n\r\n", 405)]
#[case("OPEN 9b1f 7f3a c=live-readings\r\n", 400)]
#[case("GET /-/ready HTTP/9\r\n\r\n", 400)]
#[case("\u{0}", 400)]
fn an_invalid_call_is_rejected_with_the_status_of_its_error(#[case] text: &str, #[case] expected: u16) {
    assert_eq!(rejected_status(text), Some(expected));
}

#[test]
fn a_head_that_is_too_long_is_rejected() {
    let long = format!("GET /-/ready HTTP/1.1\r\nA: {}", "x".repeat(MAX_HEAD_BYTES));
    assert_eq!(rejected_status(&long), Some(431));
    assert_eq!(rejected_status(&(long + "\r\n\r\n")), Some(431));
    let many = format!("GET /-/ready HTTP/1.1\r\n{}\r\n", "A: x\r\n".repeat(MAX_HEADER_FIELDS + 1));
    assert_eq!(rejected_status(&many), Some(431));
}

proptest! {
    #[test]
    fn arbitrary_input_does_not_panic_and_is_incomplete_only_below_the_limit(bytes: Vec<u8>) {
        let is_incomplete = parse(&bytes) == ParsedHead::Incomplete;
        prop_assert!(!is_incomplete || bytes.len() < MAX_HEAD_BYTES);
    }
}

#[test]
fn an_unknown_path_is_answered_with_the_known_calls() {
    let ParsedHead::Rejected(response) = parse(b"GET / HTTP/1.1\r\n\r\n") else { panic!("not rejected") };
    assert_eq!(response.text, "known: GET /-/ready, POST /-/drain, POST /-/resume");
}
