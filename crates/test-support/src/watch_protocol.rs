//! The watch protocol of the platform's discovery: endpoint lists as JSON objects, one per chunk of an HTTP/1.1
//! response.

use std::net::SocketAddr;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpStream;

/// Head of the response to a watch request.
pub const WATCH_RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Response that rejects a watch request.
pub const REJECTION_RESPONSE: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

/// Which endpoints a list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// All endpoints; those that it leaves out are removed.
    Complete,
    /// Only the endpoints that have changed.
    Incremental,
}

/// The entry of an endpoint in a list. A start time of 0 means that the server is not warming up.
pub fn endpoint_json(server: usize, address: SocketAddr, lifecycle: &str, started_at_ms: u64) -> String {
    format!(
        r#"{{"instanceId":"s-{server}","hostPort":"{address}","zone":"a","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":{started_at_ms}}}"#
    )
}

/// A list with these entries, which are separated by commas.
pub fn list_json(generation: u64, kind: ListKind, entries: &str) -> String {
    let is_complete = kind == ListKind::Complete;
    format!(r#"{{"generation":{generation},"reset":{is_complete},"instances":[{entries}]}}"#)
}

/// Encodes a line as a chunk of the watch response. An empty line is a heartbeat.
pub fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// Reads a watch request and returns the generation from which it requests changes; `None` if the connection ends
/// first.
pub async fn read_watch_request(stream: &mut BufReader<TcpStream>) -> Option<u64> {
    let mut line = String::new();
    let mut generation = 0;
    loop {
        line.clear();
        match stream.read_line(&mut line).await {
            Ok(count) if count > 2 => {
                if let Some((_, rest)) = line.split_once("from=") {
                    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
                    generation = digits.parse().unwrap_or(0);
                }
            }
            Ok(2) => return Some(generation),
            _ => return None,
        }
    }
}
