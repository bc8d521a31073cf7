//! The events that a connection reports, and the types that describe links and deliveries in the API.

use crate::error::Error;
use crate::link::Role;
use crate::performative::Attach;
use crate::primitives::Tag;
use crate::sasl::SaslRequest;
use crate::state::State;
use crate::value::Value;

/// Identifies a link of a connection by its local channel and handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId {
    /// The local channel of the session.
    pub channel: u16,
    /// The local handle of the link.
    pub handle: u32,
}

/// A delivery to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutgoingDelivery {
    /// The application's key for the delivery, which events about it carry.
    pub key: u64,
    /// The delivery tag. It has to be unique among the unsettled deliveries of the link.
    pub tag: Tag,
    /// Whether the delivery is sent settled, so that no outcome is expected.
    pub settled: bool,
}

/// How a link is detached (2.6.4 to 2.6.6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DetachMode {
    /// The link is closed and its terminus is discarded.
    Closed,
    /// The link is suspended and may be resumed.
    Suspended,
}

impl DetachMode {
    /// Reads the `closed` field of a detach.
    pub(super) fn from_field(closed: Option<bool>) -> DetachMode {
        match closed {
            Some(true) => DetachMode::Closed,
            Some(false) | None => DetachMode::Suspended,
        }
    }

    /// The value for the `closed` field of a detach.
    pub(super) fn to_field(self) -> Option<bool> {
        match self {
            DetachMode::Closed => Some(true),
            DetachMode::Suspended => None,
        }
    }
}

/// A received transfer, which contains all or part of a delivery.
#[derive(Clone, Debug, PartialEq)]
pub struct IncomingTransfer<'a> {
    /// The delivery id, which the sender chose. It identifies the delivery on the session until it is settled.
    pub id: u32,
    /// The delivery tag, which the sender chose. It identifies the delivery when a link is resumed.
    pub tag: Tag,
    /// Whether this is the first transfer of its delivery.
    pub first: bool,
    /// Whether this is the last transfer of its delivery.
    pub last: bool,
    /// Whether the sender aborted the delivery. The payload received so far has to be discarded.
    pub aborted: bool,
    /// Whether the sender settled the delivery, so that it expects no outcome.
    pub settled: bool,
    /// Whether the transfer resumes a delivery from an earlier attachment of the link.
    pub resume: bool,
    /// The part of the message that this transfer contains; empty if the delivery is aborted.
    pub payload: &'a [u8],
}

/// An unsettled delivery of a connection whose transport was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AbandonedDelivery {
    /// The link on which the delivery was sent or received.
    pub link: LinkId,
    /// The local role on the link.
    pub role: Role,
    /// The application's key for the delivery.
    pub key: u64,
}

/// An event on a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// A client is authenticating. The application answers with
    /// [`Connection::finish_sasl`](super::Connection::finish_sasl), immediately or later. For
    /// [`SaslRequest::ScramKeys`] it answers with
    /// [`Connection::provide_scram_keys`](super::Connection::provide_scram_keys).
    SaslRequest(SaslRequest),
    /// The connection is open; [`Connection::peer`](super::Connection::peer) describes the peer.
    Opened {},
    /// A session has begun.
    Began {
        /// The local channel of the session.
        channel: u16,
    },
    /// A session has ended, with all its links; [`Event::DeliveryLost`] and [`Event::Detached`] precede it.
    Ended {
        /// The local channel of the session.
        channel: u16,
    },
    /// The peer requests a link. The application answers with
    /// [`Connection::accept_link`](super::Connection::accept_link) or
    /// [`Connection::refuse_link`](super::Connection::refuse_link).
    AttachRequested {
        /// The id of the link, assigned by this end.
        link: LinkId,
        /// The local role on the link.
        role: Role,
        /// The attach that requests the link. All fields that the standard requires are present.
        attach: Box<Attach>,
    },
    /// The peer has answered a local attach.
    Attached {
        /// The link that [`Connection::attach`](super::Connection::attach) returned.
        link: LinkId,
        /// The attach that answers the local one. If the peer's own terminus (source or target) is absent, the peer
        /// refuses the link and detaches it next (2.6.3).
        attach: Box<Attach>,
    },
    /// A flow for a link was received: the credit may have changed, or the receiver may have requested a drain.
    Credit {
        /// The link to whose handle the flow applies.
        link: LinkId,
    },
    /// A flow for a session was received: the peer's incoming window may have changed.
    SessionWindow {
        /// The local channel of the session.
        channel: u16,
    },
    /// A transfer was received.
    Transfer {
        /// The receiving link.
        link: LinkId,
        /// The delivery's identity and payload, with the flags of the transfer.
        transfer: IncomingTransfer<'a>,
    },
    /// The receiver has reported the outcome of a sent delivery, or has settled it without one.
    Settled {
        /// The sending link.
        link: LinkId,
        /// The delivery id that this end assigned.
        id: u32,
        /// The application's key for the delivery.
        key: u64,
        /// The outcome; `None` if the receiver settled the delivery without one.
        state: Option<State>,
    },
    /// The sender has settled a received delivery before an outcome was sent. The sender no longer expects one.
    SettledBySender {
        /// The receiving link.
        link: LinkId,
        /// The application's key for the delivery.
        key: u64,
    },
    /// The link of an unsettled delivery was detached, so its outcome remains unknown.
    DeliveryLost {
        /// The link, which is being detached or is already removed.
        link: LinkId,
        /// The local role on the link.
        role: Role,
        /// The application's key for the delivery.
        key: u64,
    },
    /// A link was detached: by the peer, with its session, because the peer attached it again, or because of an invalid
    /// transfer.
    Detached {
        /// The link, which is no longer attached. Its id may be assigned to another link.
        link: LinkId,
        /// Whether the link was closed or may be resumed.
        mode: DetachMode,
        /// The error of the peer's detach, or of the end of the session; `None` if there was none.
        error: Option<Box<Error>>,
    },
    /// The peer has closed the connection.
    Closed {
        /// The error that the peer gave as the reason.
        error: Option<Box<Error>>,
    },
}

/// The contents of the peer's open.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerInfo {
    /// The peer's container id.
    pub container: String,
    /// The host name that the peer requested.
    pub hostname: Option<String>,
    /// The `properties` map of the open, which is not interpreted; `None` if the peer sent none.
    pub properties: Option<Value>,
    /// The extension capabilities that the peer supports: a symbol or an array of symbols.
    pub offered_capabilities: Option<Value>,
    /// The extension capabilities that the peer may use if the local end supports them: a symbol or an array of
    /// symbols.
    pub desired_capabilities: Option<Value>,
}
