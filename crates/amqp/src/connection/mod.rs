//! A connection (standard, section 2.4) with its sessions and links, from either end.
//!
//! [`Connection`] is the library's state machine. Its user passes received octets to [`Connection::next_event`], answers
//! the events, and writes what [`Connection::take_output`] returns. The methods are in a file for each part of the
//! protocol: `handshake` (headers, SASL, open), `input` (frames), `sessions`, `links`, `incoming` and `outgoing`
//! deliveries, and their `dispositions`.

mod dispositions;
mod event;
mod handshake;
mod idle;
mod incoming;
mod input;
mod links;
mod outgoing;
mod session_table;
mod sessions;
mod settings;

pub use event::{AbandonedDelivery, Event, IncomingTransfer, LinkEnd, LinkId, Outgoing, PeerInfo};
pub use settings::Settings;

use crate::error::{condition, fault, Error, Fault};
use crate::frame::{write_frame, AMQP, SASL};
use crate::link::{Link, Phase as LinkPhase};
use crate::performative::{Close, Performative};
use crate::sasl::{self, Credentials, Mechanism};
use crate::session::{Phase as SessionPhase, Session};
use dispositions::DispositionBatch;
use idle::IdleTimer;
use session_table::SessionTable;
use sparbank_time::MonotonicTime;
use std::collections::VecDeque;

const SASL_HEADER: &[u8; 8] = b"AMQP\x03\x01\x00\x00";
const AMQP_HEADER: &[u8; 8] = b"AMQP\x00\x01\x00\x00";
/// Every peer accepts frames of this size, in octets (2.4.1); SASL frames are no larger (5.3.1).
const MIN_MAX_FRAME_SIZE: u32 = 512;

#[derive(Clone, Copy, PartialEq, Debug)]
enum Stage {
    /// The peer's first protocol header is awaited.
    Start,
    /// SASL frames are exchanged.
    Sasl,
    /// The peer's AMQP header is awaited.
    Header,
    /// The peer's open is awaited.
    Opening,
    Open,
    Closed,
}

enum Auth {
    /// A server that offers these mechanisms; with none, AMQP may start without SASL.
    Server(Option<sasl::Server>),
    /// A client with these credentials; with none, AMQP starts without SASL.
    Client(Option<sasl::Client>),
}

/// A connection.
pub struct Connection {
    settings: Settings,
    auth: Auth,
    stage: Stage,
    peer_has_no_sasl: bool,
    peer: PeerInfo,
    peer_max_frame_size: u32,
    peer_channel_max: u16,
    idle: IdleTimer,
    sessions: SessionTable,
    /// Events that were not taken yet.
    events: VecDeque<Event<'static>>,
    /// A disposition that may still grow into a range.
    batch: Option<DispositionBatch>,
    out: Vec<u8>,
}

impl Connection {
    /// The end that opens the transport connection. Without credentials it starts with AMQP itself, not with SASL.
    pub fn dial(now: MonotonicTime, settings: Settings, credentials: Option<Credentials>) -> Connection {
        let uses_sasl = credentials.is_some();
        let auth = Auth::Client(credentials.map(sasl::Client::new));
        let mut connection = Connection::new(now, settings, auth);
        if uses_sasl {
            connection.out = SASL_HEADER.to_vec();
        } else {
            connection.out = AMQP_HEADER.to_vec();
            connection.stage = Stage::Header;
            connection.send_open();
        }
        connection
    }

    /// The end that accepts the transport connection. With mechanisms the peer has to authenticate by one of them; without,
    /// it may use SASL ANONYMOUS or no SASL.
    pub fn accept(now: MonotonicTime, settings: Settings, offered: Option<Vec<Mechanism>>) -> Connection {
        Connection::new(now, settings, Auth::Server(offered.map(sasl::Server::new)))
    }

    fn new(now: MonotonicTime, settings: Settings, auth: Auth) -> Connection {
        let idle = IdleTimer::new(now, settings.idle_timeout);
        Connection {
            settings,
            auth,
            stage: Stage::Start,
            peer_has_no_sasl: false,
            peer: PeerInfo::default(),
            peer_max_frame_size: MIN_MAX_FRAME_SIZE,
            peer_channel_max: 0,
            idle,
            sessions: SessionTable::default(),
            events: VecDeque::new(),
            batch: None,
            out: Vec::new(),
        }
    }

    /// Whether both sides have opened and neither has closed.
    pub fn is_open(&self) -> bool {
        self.stage == Stage::Open
    }

    /// Whether nothing more will be sent.
    pub fn is_closed(&self) -> bool {
        self.stage == Stage::Closed
    }

    /// Whether a dialled peer answered the SASL header with AMQP's: it has no SASL layer.
    pub fn peer_has_no_sasl(&self) -> bool {
        self.peer_has_no_sasl
    }

    /// What the peer's open said.
    pub fn peer(&self) -> &PeerInfo {
        &self.peer
    }

    /// The highest channel that both sides allow.
    pub fn channel_max(&self) -> u16 {
        self.peer_channel_max.min(self.settings.channel_max)
    }

    /// The highest handle that both sides allow on a session.
    pub fn handle_max(&self, channel: u16) -> u32 {
        let remote = self.session(channel).map_or(0, |session| session.remote_handle_max);
        remote.min(self.settings.handle_max)
    }

    /// Whether a session has begun on both sides.
    pub fn has_begun(&self, channel: u16) -> bool {
        self.session(channel).is_some_and(|session| session.phase == SessionPhase::Begun)
    }

    /// The peer's incoming window of a session, in frames.
    pub fn remote_window(&self, channel: u16) -> u32 {
        self.session(channel).map_or(0, |session| session.remote_window)
    }

    /// A sender's credit, or what a receiver has granted and its sender has not used.
    pub fn credit(&self, link: LinkId) -> u32 {
        self.link(link).map_or(0, |link| link.credit)
    }

    /// Whether the receiver drains a sender's credit.
    pub fn is_draining(&self, link: LinkId) -> bool {
        self.link(link).is_some_and(|link| link.drain)
    }

    /// Whether a link is attached on both sides.
    pub fn is_attached(&self, link: LinkId) -> bool {
        self.link(link).is_some_and(|link| link.phase == LinkPhase::Attached)
    }

    /// The number of unsettled deliveries on a link.
    pub fn unsettled(&self, link: LinkId) -> u32 {
        self.link(link).map_or(0, |link| link.unsettled)
    }

    /// The largest message that a link's receiver accepts, in octets.
    pub fn max_message_size(&self, link: LinkId) -> Option<u64> {
        self.link(link).and_then(|link| link.remote_max_message_size)
    }

    /// A link's name.
    pub fn name(&self, link: LinkId) -> &str {
        self.link(link).map_or("", |link| &link.name)
    }

    /// Octets that wait to be taken by [`Connection::take_output`].
    pub fn pending(&self) -> usize {
        self.out.len()
    }

    /// When [`Connection::tick`] has something to do next.
    pub fn deadline(&self) -> Option<MonotonicTime> {
        if self.stage == Stage::Closed {
            return None;
        }
        let heartbeat = self.idle.heartbeat_deadline().filter(|_| self.is_open());
        self.idle.peer_deadline().into_iter().chain(heartbeat).min()
    }

    fn session(&self, channel: u16) -> Option<&Session> {
        self.sessions.get(channel)
    }

    fn session_mut(&mut self, channel: u16) -> Option<&mut Session> {
        self.sessions.get_mut(channel)
    }

    fn link(&self, link: LinkId) -> Option<&Link> {
        self.sessions.link(link)
    }

    fn link_mut(&mut self, link: LinkId) -> Option<&mut Link> {
        self.sessions.link_mut(link)
    }

    /// Checks the idle timeouts (2.4.5): sends a heartbeat if the peer's requires one. To be called at
    /// [`Connection::deadline`], or periodically.
    ///
    /// # Errors
    /// The peer has sent nothing for longer than this side's idle timeout: the connection is to be closed.
    pub fn tick(&mut self, now: MonotonicTime) -> Result<(), Fault> {
        if self.idle.is_peer_silent(now) {
            return Err(fault(condition::RESOURCE_LIMIT_EXCEEDED, "idle time-out"));
        }
        if self.is_open() && self.idle.is_heartbeat_due(now) && self.out.is_empty() {
            write_frame(&mut self.out, AMQP, 0, None, &[]);
        }
        Ok(())
    }

    /// Takes the octets to be written now.
    pub fn take_output(&mut self, now: MonotonicTime) -> Vec<u8> {
        self.flush_batch();
        if !self.out.is_empty() {
            self.idle.on_sent(now);
        }
        std::mem::take(&mut self.out)
    }

    /// Appends the octets to be written now to a buffer, and keeps this side's allocation.
    pub fn append_output(&mut self, now: MonotonicTime, buffer: &mut Vec<u8>) {
        self.flush_batch();
        if !self.out.is_empty() {
            self.idle.on_sent(now);
            buffer.append(&mut self.out);
        }
    }

    fn send_performative(&mut self, channel: u16, body: impl Into<Performative>) {
        self.flush_batch();
        if self.stage != Stage::Closed {
            write_frame(&mut self.out, AMQP, channel, Some(&body.into()), &[]);
        }
    }

    fn send_sasl(&mut self, body: &Performative) {
        write_frame(&mut self.out, SASL, 0, Some(body), &[]);
    }

    /// Sends a close with this error; nothing follows.
    pub fn close(&mut self, error: Option<Box<Error>>) {
        if matches!(self.stage, Stage::Opening | Stage::Open) {
            if self.stage == Stage::Opening && matches!(self.auth, Auth::Server(_)) {
                self.send_open();
            }
            self.send_performative(0, Close { error });
        }
        self.stage = Stage::Closed;
    }

    /// Takes all unsettled deliveries, for a user whose transport is lost.
    pub fn abandon(&mut self) -> Vec<AbandonedDelivery> {
        self.events.clear();
        self.sessions.remove_all_links()
    }

    /// The links that are not being detached, in order.
    pub fn links(&self) -> Vec<LinkId> {
        self.sessions.open_links()
    }

    /// The channels of the sessions, in order.
    pub fn channels(&self) -> Vec<u16> {
        self.sessions.channels()
    }
}
