//! Links (standard, section 2.6): credit, and the delivery that is being transferred.

use crate::performative::Attach;
use crate::primitives::Tag;

/// Which end of a link this side is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It sends deliveries.
    Sender,
    /// It receives deliveries.
    Receiver,
}

/// How far a link is attached or detached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The peer has attached; the user has to answer.
    AttachReceived,
    /// This side has attached; the peer has not answered.
    AttachSent,
    /// Both sides have attached.
    Attached,
    /// This side has detached; what is still received is ignored.
    Closing,
}

/// A received delivery whose last transfer has not been received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IncompleteDelivery {
    pub id: u32,
    pub tag: Tag,
    pub settled: bool,
    /// Octets received so far.
    pub octets: u64,
}

/// One end of a link.
#[derive(Debug)]
pub(crate) struct Link {
    pub name: String,
    pub role: Role,
    pub phase: Phase,
    pub remote_handle: Option<u32>,
    /// The largest message that the peer accepts, in octets; none if it announced no limit.
    pub remote_max_message_size: Option<u64>,
    pub delivery_count: u32,
    pub credit: u32,
    pub drain: bool,
    /// The receiver settles after the sender (2.6.12).
    pub receiver_settles_second: bool,
    /// The received delivery whose last transfer is awaited.
    pub incomplete: Option<IncompleteDelivery>,
    /// The number of the sent delivery whose last transfer was not sent.
    pub sending: Option<u32>,
    /// The number of a delivery to be aborted once the window allows a frame.
    pub abort: Option<u32>,
    /// The number of unsettled deliveries.
    pub unsettled: u32,
}

impl Link {
    /// A link that is not attached on both sides yet.
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
            incomplete: None,
            sending: None,
            abort: None,
            unsettled: 0,
        }
    }

    /// The peer's attach.
    pub fn on_attach(&mut self, attach: &Attach) {
        self.remote_handle = attach.handle;
        self.remote_max_message_size = attach.max_message_size.filter(|size| *size > 0);
        self.receiver_settles_second = attach.rcv_settle_mode == Some(1);
        if self.role == Role::Receiver {
            self.delivery_count = attach.initial_delivery_count.unwrap_or(0);
        }
    }

    /// The receiver's flow: what this sender may still send (2.6.7).
    pub fn on_credit(&mut self, delivery_count: u32, credit: u32, drain: bool) {
        let limit = delivery_count.wrapping_add(credit);
        let left = limit.wrapping_sub(self.delivery_count);
        // A limit below what was already sent is no credit (serial numbers, RFC 1982).
        self.credit = if left > u32::MAX / 2 { 0 } else { left };
        self.drain = drain;
    }

    /// The sender's flow: it has used up or given back what a drain left of its credit (2.6.7).
    pub fn on_credit_returned(&mut self, delivery_count: Option<u32>) {
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

    /// This side detaches the link. Returns the number of its unsettled deliveries.
    pub fn start_closing(&mut self) -> u32 {
        self.phase = Phase::Closing;
        self.sending = None;
        self.incomplete = None;
        self.abort = None;
        self.credit = 0;
        std::mem::take(&mut self.unsettled)
    }
}
