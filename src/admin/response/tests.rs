//! The encoding of a response.

use crate::admin::request::{parse, ParsedHead};

#[test]
fn a_response_has_the_content_length_and_the_allowed_method() {
    let ParsedHead::Rejected(response) = parse(b"PUT /-/drain HTTP/1.1\r\n\r\n") else {
        panic!("not rejected")
    };
    let text = String::from_utf8(response.to_bytes()).expect("text");
    assert!(text.starts_with("HTTP/1.1 405 Method Not Allowed\r\nAllow: POST\r\n"), "{text}");
    assert!(text.contains("Content-Length: 16\r\n") && text.ends_with("\r\n\r\nthis takes POST\n"), "{text}");
}
