//! The admin API: calls over HTTP/1.1, one on each connection.
//!
//! [`AdminServer`] reads calls and writes responses on the event loop; the node executes the calls. Callers have reserved
//! descriptors ([`SocketReactor::listen_with_reserve`]), so that clients cannot use them up; a further caller evicts
//! the one that has been idle longest.

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

/// Connections at a time; each has a reserved descriptor.
const MAX_CALLERS: usize = 8;
/// A call that is not complete after this time is answered with an error.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The server of the admin API.
pub struct AdminServer {
    /// The address that the listener is bound to.
    address: SocketAddr,
    /// Callers whose call has not been answered yet.
    callers: HashSet<Token>,
    counts: CallCounts,
}

/// What became of the calls so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls answered with a 2xx status.
    pub succeeded: u64,
    /// Calls answered with another status.
    pub failed: u64,
    /// Connections that ended, or were closed for a further caller, before the call was complete.
    pub incomplete: u64,
}

impl AdminServer {
    /// Listens at an address.
    ///
    /// # Errors
    /// Where the address cannot be listened on.
    pub fn open(net: &mut SocketReactor, address: SocketAddr) -> io::Result<AdminServer> {
        let address = net.listen_with_reserve(address, SocketOwner::Admin, MAX_CALLERS)?;
        Ok(AdminServer { address, callers: HashSet::new(), counts: CallCounts::default() })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Handles an event at one of the server's sockets. A call that is complete now is to be answered with
    /// [`AdminServer::respond`].
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
                self.callers.insert(token);
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
        if !self.callers.contains(&token) {
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

    /// Answers a call that is not complete at its time-out.
    pub fn on_timeout(&mut self, net: &mut SocketReactor, token: Token) {
        if self.callers.contains(&token) {
            self.respond(net, token, &Response::new(408, "no whole call came"));
        }
    }

    /// Answers a call and closes its connection.
    pub fn respond(&mut self, net: &mut SocketReactor, token: Token, response: &Response) {
        self.callers.remove(&token);
        if response.is_success() {
            self.counts.succeeded += 1;
        } else {
            self.counts.failed += 1;
        }
        net.send(token, &response.to_bytes());
        net.close(token);
    }

    /// What became of the calls so far.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    fn count_incomplete(&mut self, token: Token) {
        if self.callers.remove(&token) {
            self.counts.incomplete += 1;
        }
    }
}
