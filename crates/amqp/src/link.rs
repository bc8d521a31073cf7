//! Links (part 2, section 2.6): credit, and the delivery that is on its way.

use crate::performative::{Attach, Tag};

/// Which end of a link this side is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Deliveries go out.
    Sender,
    /// Deliveries come in.
    Receiver,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The peer has attached; the user has to answer.
    Asked,
    /// This side has attached; the peer has not answered.
    Sent,
    /// Both have.
    Attached,
    /// This side has detached; what still comes is ignored.
    Closing,
}

/// What the peer said when it attached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Remote {
    /// Its largest message in octets; none where it named no limit.
    pub max_message: Option<u64>,
}

/// A delivery that comes in parts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Partial {
    pub id: u32,
    pub tag: Tag,
    pub settled: bool,
    pub octets: u64,
}

/// One end of a link.
#[derive(Debug)]
pub(crate) struct Link {
    pub name: String,
    pub role: Role,
    pub phase: Phase,
    pub remote_handle: Option<u32>,
    pub remote: Remote,
    pub delivery_count: u32,
    pub credit: u32,
    pub drain: bool,
    /// The receiver settles second (2.6.12).
    pub second: bool,
    /// The sender settles all it sends.
    pub presettled: bool,
    /// What comes in, where the last part has not come.
    pub partial: Option<Partial>,
    /// What goes out, where the last part has not gone.
    pub sending: Option<u32>,
    /// A delivery to be aborted once the window allows a frame.
    pub abort: Option<u32>,
    /// Deliveries on it that are not settled.
    pub unsettled: u32,
}

impl Link {
    pub fn new(name: String, role: Role, phase: Phase) -> Link {
        Link {
            name,
            role,
            phase,
            remote_handle: None,
            remote: Remote::default(),
            delivery_count: 0,
            credit: 0,
            drain: false,
            second: false,
            presettled: false,
            partial: None,
            sending: None,
            abort: None,
            unsettled: 0,
        }
    }

    /// Takes over what the peer's attach says.
    pub fn attached(&mut self, attach: &Attach) {
        self.remote_handle = attach.handle;
        self.remote = Remote { max_message: attach.max_message_size.filter(|most| *most > 0) };
        self.second = attach.rcv_settle_mode == Some(1);
        if self.role == Role::Receiver {
            self.delivery_count = attach.initial_delivery_count.unwrap_or(0);
            self.presettled = attach.snd_settle_mode == Some(1);
        }
    }

    /// The receiver's view of the credit: what this sender may still send (2.6.7).
    pub fn credited(&mut self, count: Option<u32>, credit: u32, drain: bool) {
        let limit = count.unwrap_or(0).wrapping_add(credit);
        let left = limit.wrapping_sub(self.delivery_count);
        // A limit that lies behind what has gone out is no credit (serial numbers, RFC 1982).
        self.credit = if left > u32::MAX / 2 { 0 } else { left };
        self.drain = drain;
    }
}
