//! Link state (standard, section 2.6): credit and incomplete deliveries.

use crate::performative::Attach;
use crate::primitives::Tag;

/// The local role on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The local end sends deliveries, within the credit that the peer grants.
    Sender,
    /// The local end receives deliveries and grants credit for them.
    Receiver,
}

/// The progress of a link from attach to detach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The peer's attach was received, and the application has not answered yet.
    AttachReceived,
    /// Attach was sent, and the peer has not answered yet.
    AttachSent,
    /// Both sides have sent attach.
    Attached,
    /// Detach was sent. Frames received before the peer's detach are ignored.
    DetachSent,
}

/// A received delivery whose last transfer is outstanding.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IncompleteDelivery {
    pub id: u32,
    pub tag: Tag,
    pub settled: bool,
    /// The payload octets received so far.
    pub octets: u64,
}

/// The state of one end of a link.
#[derive(Debug)]
pub(crate) struct Link {
    pub name: String,
    pub role: Role,
    pub phase: Phase,
    /// The handle that the peer uses for the link; `None` until its attach is received.
    pub remote_handle: Option<u32>,
    /// The largest message that the peer accepts, in octets; `None` if it announced no limit.
    pub remote_max_message_size: Option<u64>,
    /// The sender's count of deliveries (2.6.7), a serial number. Drained credit counts as used.
    pub delivery_count: u32,
    /// The number of deliveries that the sender may still start.
    pub credit: u32,
    /// Whether the receiver has requested that the sender use or return its credit.
    pub drain: bool,
    /// Whether the receiver settle mode is `second`: the receiver settles after the sender (2.6.12).
    pub receiver_settles_second: bool,
    /// The received delivery whose last transfer is outstanding.
    pub incomplete_incoming: Option<IncompleteDelivery>,
    /// The id of the delivery that was started and whose last transfer was not sent.
    pub incomplete_outgoing: Option<u32>,
    /// The id of a delivery to be aborted as soon as the session's window allows a frame.
    pub pending_abort: Option<u32>,
    /// The number of unsettled deliveries.
    pub unsettled: u32,
}

impl Link {
    /// Creates a link that is not attached on both sides yet.
    pub fn new(name: String, role: Role, phase: Phase) -> Link {
        Link {
            name,
            role,
            phase,
            remote_handle: None,
            remote_max_message_size: None,
            delivery_count: 0,
            credit: 0,
            drain: false,
            receiver_settles_second: false,
            incomplete_incoming: None,
            incomplete_outgoing: None,
            pending_abort: None,
            unsettled: 0,
        }
    }

    /// Applies the peer's attach.
    pub fn on_attach(&mut self, attach: &Attach) {
        self.remote_handle = attach.handle;
        self.remote_max_message_size = attach.max_message_size.filter(|size| *size > 0);
        self.receiver_settles_second = attach.rcv_settle_mode == Some(1);
        if self.role == Role::Receiver {
            self.delivery_count = attach.initial_delivery_count.unwrap_or(0);
        }
    }

    /// Applies a flow from the receiver, which sets the credit (2.6.7).
    pub fn on_receiver_flow(&mut self, delivery_count: u32, credit: u32, drain: bool) {
        let limit = delivery_count.wrapping_add(credit);
        let left = limit.wrapping_sub(self.delivery_count);
        // The delivery count may already be past the limit (serial numbers, RFC 1982). Then there is no credit.
        self.credit = if left > u32::MAX / 2 { 0 } else { left };
        self.drain = drain;
    }

    /// Applies a flow from the sender, which may return credit after a drain request (2.6.7).
    pub fn on_sender_flow(&mut self, delivery_count: Option<u32>) {
        if let Some(delivery_count) = delivery_count {
            let used = delivery_count.wrapping_sub(self.delivery_count);
            if used <= self.credit {
                self.credit -= used;
                self.delivery_count = delivery_count;
            }
        }
        if self.credit == 0 {
            self.drain = false;
        }
    }

    /// Records that a detach is sent. Returns the number of unsettled deliveries.
    pub fn mark_detach_sent(&mut self) -> u32 {
        self.phase = Phase::DetachSent;
        self.incomplete_outgoing = None;
        self.incomplete_incoming = None;
        self.pending_abort = None;
        self.credit = 0;
        std::mem::take(&mut self.unsettled)
    }
}
