//! The platform's endpoint list, as discovery writes it: JSON objects in the chunks of one HTTP/1.1 response.

use std::net::SocketAddr;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpStream;

/// The head of the response to a watch.
pub const WATCH_RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The response of a discovery that rejects a watch.
pub const REJECTION: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

/// What a list names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// All endpoints: what it leaves out is gone.
    Complete,
    /// Those that have changed.
    Incremental,
}

/// An endpoint's entry in a list. A start at 0 ms is long ago.
pub fn endpoint_json(server: usize, address: SocketAddr, lifecycle: &str, started_at_ms: u64) -> String {
    format!(
        r#"{{"instanceId":"s-{server}","hostPort":"{address}","zone":"a","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":{started_at_ms}}}"#
    )
}

/// A list of these entries, which are separated by commas.
pub fn list_json(generation: u64, kind: ListKind, entries: &str) -> String {
    let is_complete = kind == ListKind::Complete;
    format!(r#"{{"generation":{generation},"reset":{is_complete},"instances":[{entries}]}}"#)
}

/// A line as a chunk of the response to a watch. An empty line shows that the watch is alive.
pub fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// The generation from which a watch request wants changes; none where the connection ends before.
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
