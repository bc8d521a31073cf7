//! Parsing of a call: the head of an HTTP/1.1 request (RFC 9112). No I/O.

use super::response::Response;

/// The longest request head that is accepted.
pub const MAX_HEAD_BYTES: usize = 4096;
/// The most header fields that are accepted in a request.
const MAX_HEADER_FIELDS: usize = 32;

/// A call of the admin API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCall {
    /// Reports whether the process is ready to serve.
    Ready,
    /// Migrates all clients and accepts no new ones.
    Drain,
    /// Ends a drain: accepts clients again.
    Resume,
}

/// A path, the only method that it allows, and the call that a request with both makes.
struct Route {
    path: &'static str,
    method: &'static str,
    call: AdminCall,
}

const ROUTES: [Route; 3] = [
    Route { path: "/-/ready", method: "GET", call: AdminCall::Ready },
    Route { path: "/-/drain", method: "POST", call: AdminCall::Drain },
    Route { path: "/-/resume", method: "POST", call: AdminCall::Resume },
];

/// The result of parsing the bytes received so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParsedHead {
    /// The head is not complete yet.
    Incomplete,
    /// The head is complete and is a valid call.
    Call(AdminCall),
    /// The input is not a valid call and is answered with this response.
    Rejected(Response),
}

/// Parses the bytes of a request received so far. No call has a body, so a body is ignored.
pub fn parse(bytes: &[u8]) -> ParsedHead {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => {}
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return ParsedHead::Incomplete,
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            let text = format!("a head has at most {MAX_HEAD_BYTES} octets");
            return ParsedHead::Rejected(Response::new(431, text));
        }
        Err(error) => {
            return ParsedHead::Rejected(Response::new(400, format!("no HTTP/1.1 request: {error}")))
        }
    }
    let method = request.method.unwrap_or("");
    let path = path_of(request.path.unwrap_or(""));
    match ROUTES.iter().find(|route| route.path == path) {
        Some(route) if route.method == method => ParsedHead::Call(route.call),
        Some(route) => ParsedHead::Rejected(Response::method_not_allowed(route.method)),
        None => {
            let calls = ROUTES.map(|route| format!("{} {}", route.method, route.path)).join(", ");
            ParsedHead::Rejected(Response::new(404, format!("known: {calls}")))
        }
    }
}

/// The path of a request target (origin form or absolute form), without the query.
fn path_of(target: &str) -> &str {
    let origin_form = match target.strip_prefix("http://") {
        Some(authority_and_path) => match authority_and_path.find('/') {
            Some(start) => &authority_and_path[start..],
            None => "",
        },
        None => target,
    };
    origin_form.split('?').next().unwrap_or("")
}

#[cfg(test)]
mod tests;
