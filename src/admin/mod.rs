//! The second address: operators' calls over HTTP/1.1, one to a connection, on the loop.
//!
//! Callers have descriptors of their own ([`SocketReactor::listen_with_reserve`]), so that no crowd of clients takes
//! them; among callers the longest idle makes room. What a call does is the loop's to say.

mod call;

pub use call::{AdminCall, Response};

use crate::front::TimerEvent;
use crate::net::{SocketEvent, SocketEventKind, SocketOwner, SocketReactor, TimerWheel, Token};
use crate::vocabulary::Nanos;
use call::Head;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;

/// Callers at a time; each has a descriptor set aside.
const MOST_CALLERS: usize = 8;
/// A call that is not whole after this is answered as such. An answer is due within 1 s of a whole one.
const WHOLE_WITHIN: Nanos = 2_500_000_000;

/// The operators' address.
pub struct AdminServer {
    /// Whose call is not whole yet.
    callers: HashSet<Token>,
    counts: CallCounts,
}

/// Calls answered so far, and what became of the rest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    pub succeeded: u64,
    pub failed: u64,
    /// Left, or closed for a later one's sake, before the call was whole.
    pub incomplete: u64,
}

impl AdminServer {
    /// Listens there; says where.
    pub fn open(net: &mut SocketReactor, at: SocketAddr) -> io::Result<(AdminServer, SocketAddr)> {
        let at = net.listen_with_reserve(at, SocketOwner::Admin, MOST_CALLERS)?;
        Ok((AdminServer { callers: HashSet::new(), counts: CallCounts::default() }, at))
    }

    /// Something happened at one of its sockets. Gives a call that is whole now.
    pub fn on_socket_event(
        &mut self,
        now: Nanos,
        net: &mut SocketReactor,
        wheel: &mut TimerWheel<TimerEvent>,
        notice: SocketEvent,
    ) -> Option<AdminCall> {
        let token = notice.token;
        match notice.kind {
            SocketEventKind::Accepted => {
                self.callers.insert(token);
                wheel.schedule(now + WHOLE_WITHIN, TimerEvent::AdminTimeout(token));
                None
            }
            SocketEventKind::Evicted => {
                self.on_incomplete(token);
                None
            }
            SocketEventKind::Failed { .. } | SocketEventKind::HandshakeTimeout => {
                self.on_incomplete(token);
                net.close(token);
                None
            }
            SocketEventKind::Readable | SocketEventKind::OutputFlushed => self.read(net, token),
        }
    }

    fn read(&mut self, net: &mut SocketReactor, token: Token) -> Option<AdminCall> {
        if !self.callers.contains(&token) {
            return None;
        }
        let at_end = net.is_read_closed(token);
        let bytes = net.input_buffer(token)?;
        match call::read(bytes) {
            Head::AdminCall(call) => return Some(call),
            Head::Wrong(answer) => self.respond(net, token, &answer),
            Head::More if at_end && bytes.is_empty() => {
                self.on_incomplete(token);
                net.close(token);
            }
            Head::More if at_end => self.respond(net, token, &Response::new(400, "half a call")),
            Head::More => net.update_interest(token),
        }
        None
    }

    /// The time for a call is over.
    pub fn on_timeout(&mut self, net: &mut SocketReactor, token: Token) {
        if self.callers.contains(&token) {
            self.respond(net, token, &Response::new(408, "no whole call came"));
        }
    }

    /// Answers a call and ends its connection.
    pub fn respond(&mut self, net: &mut SocketReactor, token: Token, answer: &Response) {
        self.callers.remove(&token);
        let count = if answer.is_success() { &mut self.counts.succeeded } else { &mut self.counts.failed };
        *count += 1;
        net.send(token, &answer.to_bytes());
        net.close(token);
    }

    /// Calls answered so far.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    fn on_incomplete(&mut self, token: Token) {
        if self.callers.remove(&token) {
            self.counts.incomplete += 1;
        }
    }
}
