//! HTTP/1.1 responses to calls (RFC 9112). No I/O.

/// A response with one line of plain text. The connection is closed after it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status; any other than 2xx is a failure.
    pub status: u16,
    /// The body, without the newline at its end.
    pub text: String,
    /// The method that the path allows, if the request had another one.
    allowed_method: Option<&'static str>,
}

impl Response {
    /// Creates a response with this status and text.
    pub fn new(status: u16, text: impl Into<String>) -> Response {
        Response { status, text: text.into(), allowed_method: None }
    }

    /// Creates the response (405) to a request for a known path with another method than `allowed`.
    pub fn method_not_allowed(allowed: &'static str) -> Response {
        let text = format!("this takes {allowed}");
        Response { allowed_method: Some(allowed), ..Response::new(405, text) }
    }

    /// Whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Encodes the response with its status line and header.
    pub fn to_bytes(&self) -> Vec<u8> {
        let status = self.status;
        let reason = self.reason();
        let allow = match self.allowed_method {
            Some(method) => format!("Allow: {method}\r\n"),
            None => String::new(),
        };
        let body = format!("{}\n", self.text);
        let length = body.len();
        format!(
            "HTTP/1.1 {status} {reason}\r\n{allow}Content-Type: text/plain; charset=utf-8\r\n\
             Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
        )
        .into_bytes()
    }

    /// The reason phrase of the status line.
    fn reason(&self) -> &'static str {
        match self.status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            408 => "Request Timeout",
            409 => "Conflict",
            431 => "Request Header Fields Too Large",
            503 => "Service Unavailable",
            _ => "",
        }
    }
}

#[cfg(test)]
mod tests;
