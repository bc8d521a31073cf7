//! The admin API: HTTP/1.1, with one call per connection.
//!
//! [`AdminServer`] reads calls and writes responses on the event loop; the node executes the calls. Descriptors are
//! reserved for the connections of the admin API ([`SocketReactor::listen_with_reserve`]), so that clients cannot use
//! them up. If all of them are in use, a new connection evicts the one that has been idle longest.

mod request;
mod response;

pub use request::AdminCall;
pub use response::Response;

use crate::frontend::TimerEvent;
use crate::net::{SocketEvent, SocketEventKind, SocketOwner, SocketReactor, TimerWheel, Token};
use request::ParsedHead;
use sparbank_time::MonotonicTime;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum number of open connections of the admin API; a descriptor is reserved for each.
const MAX_CONNECTIONS: usize = 8;
/// The time from accepting a connection after which an incomplete call is answered with status 408.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The server of the admin API.
pub struct AdminServer {
    /// The address that the listener is bound to.
    address: SocketAddr,
    /// Connections whose call has not been answered yet.
    pending: HashSet<Token>,
    counts: CallCounts,
}

/// Numbers of calls by their result, since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls answered with a 2xx status.
    pub succeeded: u64,
    /// Calls answered with any other status.
    pub failed: u64,
    /// Connections that were closed before any byte of a call, and those that failed or were evicted before the call
    /// was complete.
    pub incomplete: u64,
}

impl AdminServer {
    /// Listens at an address.
    ///
    /// # Errors
    /// If the server cannot listen at the address.
    pub fn open(net: &mut SocketReactor, address: SocketAddr) -> io::Result<AdminServer> {
        let address = net.listen_with_reserve(address, SocketOwner::Admin, MAX_CONNECTIONS)?;
        Ok(AdminServer { address, pending: HashSet::new(), counts: CallCounts::default() })
    }

    /// The address that the server listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Handles an event of one of the server's sockets. If it completes a call, returns the call, which the node
    /// answers with [`AdminServer::respond`].
    pub fn on_socket_event(
        &mut self,
        now: MonotonicTime,
        net: &mut SocketReactor,
        wheel: &mut TimerWheel<TimerEvent>,
        event: SocketEvent,
    ) -> Option<AdminCall> {
        let token = event.token;
        match event.kind {
            SocketEventKind::Accepted => {
                self.pending.insert(token);
                wheel.schedule(now + CALL_TIMEOUT, TimerEvent::AdminTimeout(token));
                None
            }
            SocketEventKind::Evicted => {
                self.count_incomplete(token);
                None
            }
            SocketEventKind::Failed { .. } | SocketEventKind::HandshakeTimeout => {
                self.count_incomplete(token);
                net.close(token);
                None
            }
            SocketEventKind::Readable | SocketEventKind::OutputFlushed => self.read_call(net, token),
        }
    }

    fn read_call(&mut self, net: &mut SocketReactor, token: Token) -> Option<AdminCall> {
        if !self.pending.contains(&token) {
            return None;
        }
        let is_read_closed = net.is_read_closed(token);
        let bytes = net.input_buffer(token)?;
        match request::parse(bytes) {
            ParsedHead::Call(call) => return Some(call),
            ParsedHead::Rejected(response) => self.respond(net, token, &response),
            ParsedHead::Incomplete if is_read_closed && bytes.is_empty() => {
                self.count_incomplete(token);
                net.close(token);
            }
            ParsedHead::Incomplete if is_read_closed => {
                self.respond(net, token, &Response::new(400, "half a call"))
            }
            ParsedHead::Incomplete => net.update_interest(token),
        }
        None
    }

    /// Rejects a call that is still incomplete when its timeout expires.
    pub fn on_timeout(&mut self, net: &mut SocketReactor, token: Token) {
        if self.pending.contains(&token) {
            self.respond(net, token, &Response::new(408, "no whole call came"));
        }
    }

    /// Answers a call and closes its connection.
    pub fn respond(&mut self, net: &mut SocketReactor, token: Token, response: &Response) {
        self.pending.remove(&token);
        if response.is_success() {
            self.counts.succeeded += 1;
        } else {
            self.counts.failed += 1;
        }
        net.send(token, &response.to_bytes());
        net.close(token);
    }

    /// Numbers of calls by their result.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    fn count_incomplete(&mut self, token: Token) {
        if self.pending.remove(&token) {
            self.counts.incomplete += 1;
        }
    }
}
