//! Unit tests of the chunked response decoder.

use super::*;

/// Decodes a response that arrives in pieces of `piece_bytes`, and returns the body and the outcome of decoding.
fn decode(text: &str, piece_bytes: usize) -> (Vec<u8>, Result<(), ResponseError>) {
    let mut decoder = ChunkedDecoder::default();
    let mut body = Vec::new();
    for piece in text.as_bytes().chunks(piece_bytes) {
        decoder.feed(piece);
        loop {
            match decoder.next_data() {
                Ok(Some(data)) => body.extend(data),
                Ok(None) => break,
                Err(error) => return (body, Err(error)),
            }
        }
    }
    (body, Ok(()))
}

#[rstest::rstest]
#[case(1)]
#[case(7)]
#[case(1000)]
fn the_body_does_not_depend_on_how_the_response_is_split(#[case] piece_bytes: usize) {
    let text =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na\nb\r\n2;x=y\r\nc\n\r\n1\r\n\n\r\n0\r\n";
    assert_eq!(decode(text, piece_bytes), (b"a\nbc\n\n".to_vec(), Err(ResponseError::Ended)));
}

#[rstest::rstest]
#[case("HTTP/1.1 503 No\r\n\r\n", ResponseError::Status(503))]
#[case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", ResponseError::NotChunked)]
#[case("garbage\r\n\r\n", ResponseError::NotHttp)]
#[case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", ResponseError::InvalidChunk)]
#[case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\naXY", ResponseError::InvalidChunk)]
#[case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", ResponseError::Ended)]
fn a_response_other_than_a_chunked_200_is_an_error(#[case] text: &str, #[case] error: ResponseError) {
    assert_eq!(decode(text, 5).1, Err(error));
}

#[test]
fn the_lengths_of_a_head_and_a_chunk_size_line_are_limited() {
    assert_eq!(decode(&"x".repeat(MAX_HEAD_BYTES), 100).1, Ok(()));
    assert_eq!(decode(&"x".repeat(MAX_HEAD_BYTES + 1), 100).1, Err(ResponseError::HeadTooLong));
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let size_line = |length: usize| format!("{head}{}", "1".repeat(length));
    assert_eq!(decode(&size_line(MAX_CHUNK_SIZE_LINE_BYTES), 1).1, Ok(()));
    assert_eq!(decode(&size_line(MAX_CHUNK_SIZE_LINE_BYTES + 1), 1).1, Err(ResponseError::InvalidChunk));
}

/// The texts that `docs/ON-CALL.md` lists.
#[rstest::rstest]
#[case(ResponseError::Ended, "discovery ended the response")]
#[case(ResponseError::HeadTooLong, "response head too long")]
#[case(ResponseError::NotHttp, "response is not HTTP")]
#[case(ResponseError::Status(503), "HTTP status 503")]
#[case(ResponseError::NotChunked, "response is not chunked")]
#[case(ResponseError::InvalidChunk, "malformed chunk")]
fn errors_are_displayed_as_documented(#[case] error: ResponseError, #[case] text: &str) {
    assert_eq!(error.to_string(), text);
}
