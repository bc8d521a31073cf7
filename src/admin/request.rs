//! Parses the head of a call, an HTTP/1.1 request (RFC 9112). No I/O.

use super::response::Response;

/// The longest head of a request.
pub const MAX_HEAD_BYTES: usize = 4096;
/// The most header fields of a request.
const MAX_HEADER_FIELDS: usize = 32;

/// A call of the admin API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCall {
    /// Report whether this process can serve.
    Ready,
    /// Migrate all clients, and accept no others.
    Drain,
    /// Accept clients again.
    Resume,
}

/// The path of a call, and the one method that it allows.
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
    /// A call.
    Call(AdminCall),
    /// Not a call: this is the response to it.
    Rejected(Response),
}

/// Parses the head of a request as far as it has been received. A body, which no call needs, is ignored.
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

/// The path of a request target in origin form or absolute form, without the query.
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
