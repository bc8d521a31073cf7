//! What a connection tells its user, and what its user tells it of deliveries.

use crate::error::Error;
use crate::link::Role;
use crate::performative::Attach;
use crate::primitives::Tag;
use crate::sasl::SaslRequest;
use crate::state::State;
use crate::value::Value;

/// Identifies a link of a connection, by this side's channel and handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId {
    /// The session's channel.
    pub channel: u16,
    /// The link's handle.
    pub handle: u32,
}

/// A delivery to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outgoing {
    /// The user's own key for it; events about the delivery carry it.
    pub key: u64,
    /// Its tag.
    pub tag: Tag,
    /// It is sent settled: no state is expected for it.
    pub settled: bool,
}

/// How a link is detached (2.6.4 to 2.6.6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEnd {
    /// It is closed: nothing of it remains.
    Closed,
    /// It is suspended and may be resumed.
    Suspended,
}

impl LinkEnd {
    /// What the `closed` field of a detach says.
    pub(super) fn from_field(closed: Option<bool>) -> LinkEnd {
        match closed {
            Some(true) => LinkEnd::Closed,
            Some(false) | None => LinkEnd::Suspended,
        }
    }

    /// The `closed` field of a detach.
    pub(super) fn to_field(self) -> Option<bool> {
        match self {
            LinkEnd::Closed => Some(true),
            LinkEnd::Suspended => None,
        }
    }
}

/// A transfer that was received: a delivery or a piece of one.
#[derive(Clone, Debug, PartialEq)]
pub struct IncomingTransfer<'a> {
    /// The delivery's number in its session.
    pub id: u32,
    /// The delivery's tag.
    pub tag: Tag,
    /// It is the first transfer of its delivery.
    pub first: bool,
    /// It is the last transfer of its delivery.
    pub last: bool,
    /// The sender has aborted the delivery: what was received of it is to be discarded.
    pub aborted: bool,
    /// The sender has settled the delivery: no state is expected for it.
    pub settled: bool,
    /// The delivery resumes one from before the link was attached.
    pub resume: bool,
    /// The octets.
    pub payload: &'a [u8],
}

/// An unsettled delivery of a connection that is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AbandonedDelivery {
    /// The link.
    pub link: LinkId,
    /// This side's role on the link.
    pub role: Role,
    /// The user's own key for the delivery.
    pub key: u64,
}

/// What has happened on a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// A client authenticates: [`Connection::finish_sasl`](super::Connection::finish_sasl) answers, now or later.
    SaslRequest(SaslRequest),
    /// The connection is open; [`Connection::peer`](super::Connection::peer) describes the peer.
    Opened {},
    /// A session has begun.
    Began {
        /// Its channel.
        channel: u16,
    },
    /// A session has ended, with all its links; [`Event::DeliveryLost`] and [`Event::Detached`] precede it.
    Ended {
        /// Its channel.
        channel: u16,
    },
    /// The peer wants to attach a link: answer with [`Connection::accept_link`](super::Connection::accept_link) or
    /// [`Connection::refuse_link`](super::Connection::refuse_link).
    AttachRequested {
        /// The link.
        link: LinkId,
        /// What this side would be.
        role: Role,
        /// The peer's attach.
        attach: Box<Attach>,
    },
    /// The peer has answered an attach.
    Attached {
        /// The link.
        link: LinkId,
        /// The peer's attach.
        attach: Box<Attach>,
    },
    /// A sender's credit may have changed, or its receiver drains it.
    Credit {
        /// The link.
        link: LinkId,
    },
    /// The peer's window of a session may have opened again.
    SessionWindow {
        /// The session.
        channel: u16,
    },
    /// A transfer was received.
    Transfer {
        /// The link.
        link: LinkId,
        /// The transfer.
        transfer: IncomingTransfer<'a>,
    },
    /// The receiver has given the final state of a sent delivery, or has settled it without one.
    Settled {
        /// The link.
        link: LinkId,
        /// The delivery's number.
        id: u32,
        /// The user's own key for the delivery.
        key: u64,
        /// Its state.
        state: Option<State>,
    },
    /// The sender has settled a received delivery before it had a state: none is expected any more.
    SettledBySender {
        /// The link.
        link: LinkId,
        /// The user's own key for the delivery.
        key: u64,
    },
    /// An unsettled delivery is lost with its link.
    DeliveryLost {
        /// The link.
        link: LinkId,
        /// This side's role on the link.
        role: Role,
        /// The user's own key for the delivery.
        key: u64,
    },
    /// A link is detached.
    Detached {
        /// The link.
        link: LinkId,
        /// Whether it may be resumed.
        end: LinkEnd,
        /// The peer's reason.
        error: Option<Box<Error>>,
    },
    /// The peer has closed the connection.
    Closed {
        /// Its reason.
        error: Option<Box<Error>>,
    },
}

/// What the peer's open says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerInfo {
    /// Its container id.
    pub container: String,
    /// The host that it requested.
    pub hostname: Option<String>,
    /// Its properties.
    pub properties: Option<Value>,
    /// Its extension capabilities.
    pub offered: Option<Value>,
    /// Extension capabilities that it would like this side to have.
    pub desired: Option<Value>,
}
