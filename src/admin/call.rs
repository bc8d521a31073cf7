//! One call of an operator's: the head of an HTTP/1.1 request (RFC 9112) in, a call or an answer out. No I/O.

/// The longest head, in octets.
pub const MOST_HEAD: usize = 4096;
/// The most header fields.
const MOST_FIELDS: usize = 32;

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCall {
    /// Whether this process can serve.
    Ready,
    /// Send clients away.
    Drain,
    /// Take clients again.
    Resume,
}

const CALLS: [(&str, &str, AdminCall); 3] = [
    ("/-/ready", "GET", AdminCall::Ready),
    ("/-/drain", "POST", AdminCall::Drain),
    ("/-/resume", "POST", AdminCall::Resume),
];

/// What the octets so far make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Head {
    /// The head is not whole yet.
    More,
    AdminCall(AdminCall),
    /// No call: this answers it.
    Wrong(Response),
}

/// An answer: 2xx is yes, all else no.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    /// One short line.
    pub text: String,
    allow: Option<&'static str>,
}

impl Response {
    pub fn new(status: u16, text: impl Into<String>) -> Response {
        Response { status, text: text.into(), allow: None }
    }

    /// Whether it says yes.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// As it is written; the connection ends after it.
    pub fn to_bytes(&self) -> Vec<u8> {
        let reason = match self.status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            409 => "Conflict",
            431 => "Request Header Fields Too Large",
            503 => "Service Unavailable",
            _ => "",
        };
        let allow = self.allow.map_or(String::new(), |method| format!("Allow: {method}\r\n"));
        let (status, text, length) = (self.status, &self.text, self.text.len() + 1);
        format!(
            "HTTP/1.1 {status} {reason}\r\n{allow}Content-Type: text/plain; charset=utf-8\r\n\
             Content-Length: {length}\r\nConnection: close\r\n\r\n{text}\n"
        )
        .into_bytes()
    }
}

/// Reads what has come of a call. A body, which no call needs, is not looked at.
pub fn read(bytes: &[u8]) -> Head {
    let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= MOST_HEAD => {}
        Ok(httparse::Status::Partial) if bytes.len() < MOST_HEAD => return Head::More,
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return Head::Wrong(Response::new(431, format!("a head has at most {MOST_HEAD} octets")))
        }
        Err(error) => return Head::Wrong(Response::new(400, format!("no HTTP/1.1 request: {error}"))),
    }
    let (method, target) = (request.method.unwrap_or(""), request.path.unwrap_or(""));
    let path = path(target);
    match CALLS.iter().find(|(known, ..)| *known == path) {
        Some((_, allowed, call)) if *allowed == method => Head::AdminCall(*call),
        Some((_, allowed, _)) => {
            let text = format!("this takes {allowed}");
            Head::Wrong(Response { allow: Some(allowed), ..Response::new(405, text) })
        }
        None => Head::Wrong(Response::new(404, "known: GET /-/ready, POST /-/drain, POST /-/resume")),
    }
}

/// The path of a target in origin form or absolute form, without its query.
fn path(target: &str) -> &str {
    let after = target.strip_prefix("http://").map(|rest| rest.find('/').map_or("", |at| &rest[at..]));
    after.unwrap_or(target).split('?').next().unwrap_or("")
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn status(text: &str) -> Option<u16> {
        match read(text.as_bytes()) {
            Head::Wrong(answer) => Some(answer.status),
            _ => None,
        }
    }

    #[rstest::rstest]
    #[case("GET /-/ready HTTP/1.1\r\n\r\n", AdminCall::Ready)]
    #[case("GET http://10.0.0.1:9/-/ready?x=1 HTTP/1.1\r\nHost: a\r\n\r\n", AdminCall::Ready)]
    #[case("POST /-/drain HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}", AdminCall::Drain)]
    #[case("POST /-/resume HTTP/1.0\nhost: a\n\n", AdminCall::Resume)]
    fn a_call_is_known_whole_and_only_then(#[case] text: &str, #[case] call: AdminCall) {
        let head = text.find("\r\n\r\n").map_or(text.len(), |at| at + 4);
        for cut in 0..head {
            assert_eq!(read(&text.as_bytes()[..cut]), Head::More, "{cut}");
        }
        assert_eq!(read(text.as_bytes()), Head::AdminCall(call));
    }

    #[rstest::rstest]
    #[case("GET /-/metrics HTTP/1.1\r\n\r\n", 404)]
    #[case("GET /-/ready/ HTTP/1.1\r\n\r\n", 404)]
    #[case("GET http:// HTTP/1.1\r\n\r\n", 404)]
    #[case("POST /-/ready HTTP/1.1\r\n\r\n", 405)]
    #[case("GET /-/drain HTTP/1.1\r\n\r\n", 405)]
    #[case("OPEN 9b1f 7f3a c=live-readings\r\n", 400)]
    #[case("GET /-/ready HTTP/9\r\n\r\n", 400)]
    #[case("\u{0}", 400)]
    fn what_is_no_call_has_its_answer(#[case] text: &str, #[case] expected: u16) {
        assert_eq!(status(text), Some(expected));
    }

    #[test]
    fn a_head_is_bounded() {
        let long = format!("GET /-/ready HTTP/1.1\r\nA: {}", "x".repeat(MOST_HEAD));
        assert_eq!(status(&long), Some(431));
        assert_eq!(status(&(long + "\r\n\r\n")), Some(431));
        let many = format!("GET /-/ready HTTP/1.1\r\n{}\r\n", "A: x\r\n".repeat(MOST_FIELDS + 1));
        assert_eq!(status(&many), Some(431));
    }

    #[test]
    fn an_answer_says_its_length_and_what_is_allowed() {
        let Head::Wrong(answer) = read(b"PUT /-/drain HTTP/1.1\r\n\r\n") else { panic!("no call") };
        let text = String::from_utf8(answer.to_bytes()).expect("text");
        assert!(text.starts_with("HTTP/1.1 405 Method Not Allowed\r\nAllow: POST\r\n"), "{text}");
        assert!(
            text.contains("Content-Length: 16\r\n") && text.ends_with("\r\n\r\nthis takes POST\n"),
            "{text}"
        );
    }

    proptest! {
        #[test]
        fn nothing_that_comes_panics_or_is_held_without_end(bytes: Vec<u8>) {
            let more = read(&bytes) == Head::More;
            prop_assert!(!more || bytes.len() < MOST_HEAD);
        }
    }
}
