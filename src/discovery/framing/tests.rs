//! Unit tests of the framing of JSON objects.

use super::*;

/// Splits a body that arrives in pieces of `piece_bytes`, and returns the frames and the outcome of framing.
fn frames(body: &str, piece_bytes: usize) -> (Vec<String>, Result<(), FramingError>) {
    let mut framer = ObjectFramer::default();
    let mut frames = Vec::new();
    let mut outcome = Ok(());
    for piece in body.as_bytes().chunks(piece_bytes) {
        outcome = framer.push(piece.iter().copied(), &mut frames);
        if outcome.is_err() {
            break;
        }
    }
    (frames.into_iter().map(|frame| String::from_utf8(frame).expect("valid UTF-8")).collect(), outcome)
}

#[rstest::rstest]
#[case(1)]
#[case(7)]
#[case(1000)]
fn frames_do_not_depend_on_how_the_body_is_split(#[case] piece_bytes: usize) {
    let objects = ["\n", "{\"a\": [1,\r\n  {\"b\": \"}\\\"\\\\\"}\n]}\n", "\r\n", "{}\n"];
    let (found, outcome) = frames(&objects.concat(), piece_bytes);
    assert_eq!(outcome, Ok(()));
    assert_eq!(found, objects);
}

#[rstest::rstest]
#[case::empty_line_inside_an_object("{}\n{\"generation\":2,\"inst\n\n")]
#[case::line_end_inside_a_string("{}\n{\"instanceId\":\"s-\n")]
fn a_truncated_object_is_an_error_after_the_complete_frames(#[case] body: &str) {
    assert_eq!(frames(body, 3), (vec!["{}\n".to_string()], Err(FramingError::Truncated)));
}

#[test]
fn the_size_of_an_object_is_limited() {
    let body = "x".repeat(MAX_OBJECT_BYTES);
    assert_eq!(frames(&body, 4096).1, Ok(()));
    assert_eq!(frames(&(body + "x"), 4096).1, Err(FramingError::TooLong));
}

/// The texts that `docs/ON-CALL.md` lists.
#[test]
fn errors_are_displayed_as_documented() {
    assert_eq!(FramingError::Truncated.to_string(), "malformed JSON");
    assert_eq!(FramingError::TooLong.to_string(), "object too long");
}
