//! The windows of a session. Links and their deliveries are in `link.rs`.

use super::codec::{Begin, Flow};
use super::connection::{fault, Fault};

/// Frames that a peer may send ahead.
const WINDOW: u32 = 256;

/// A session's windows, the same at both fronts.
pub struct Session {
    next_incoming: u32,
    incoming_window: u32,
    next_outgoing: u32,
    /// Transfer frames that the peer takes.
    pub remote_window: u32,
}

impl Session {
    pub fn new() -> Session {
        Session { next_incoming: 0, incoming_window: WINDOW, next_outgoing: 0, remote_window: 0 }
    }

    /// The begin that we send, as an answer where the peer began.
    pub fn begin(&self, remote_channel: Option<u16>, handle_max: u32) -> Begin {
        Begin {
            remote_channel,
            next_outgoing_id: Some(self.next_outgoing),
            incoming_window: Some(WINDOW),
            outgoing_window: Some(WINDOW),
            handle_max: Some(handle_max),
            ..Begin::default()
        }
    }

    pub fn began(&mut self, begin: &Begin) {
        self.next_incoming = begin.next_outgoing_id.unwrap_or(0);
        self.remote_window = begin.incoming_window.unwrap_or(0);
    }

    /// A flow from the peer: what it takes now.
    pub fn flowed(&mut self, flow: &Flow) {
        let seen = flow.next_incoming_id.unwrap_or(0);
        let until = seen.wrapping_add(flow.incoming_window.unwrap_or(0));
        let room = until.wrapping_sub(self.next_outgoing);
        // A window that has shrunk below what is under way is no window.
        self.remote_window = if room > u32::MAX / 2 { 0 } else { room };
    }

    /// One of our transfer frames goes out.
    pub fn sent(&mut self) {
        self.next_outgoing = self.next_outgoing.wrapping_add(1);
        self.remote_window = self.remote_window.saturating_sub(1);
    }

    /// A transfer frame has come. True when the peer is to be told of a fresh window.
    pub fn received(&mut self) -> Result<bool, Fault> {
        self.next_incoming = self.next_incoming.wrapping_add(1);
        self.incoming_window = self
            .incoming_window
            .checked_sub(1)
            .ok_or_else(|| fault("amqp:session:window-violation", "more transfers than the window"))?;
        let low = self.incoming_window < WINDOW / 2;
        if low {
            self.incoming_window = WINDOW;
        }
        Ok(low)
    }

    /// A flow with the session's state; a link's fields are the caller's to add.
    pub fn flow(&self) -> Flow {
        Flow {
            next_incoming_id: Some(self.next_incoming),
            incoming_window: Some(self.incoming_window),
            next_outgoing_id: Some(self.next_outgoing),
            outgoing_window: Some(WINDOW),
            ..Flow::default()
        }
    }
}
