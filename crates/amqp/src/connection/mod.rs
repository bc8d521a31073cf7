//! A connection (standard, section 2.4) with its sessions and links, from either end.
//!
//! [`Connection`] is the library's state machine. Its user passes received octets to [`Connection::next_event`], answers
//! the events, and writes what [`Connection::take_output`] returns. The methods are in a file for each part of the
//! protocol: `handshake` (headers, SASL, open), `input` (frames), `sessions`, `links`, `incoming` and `outgoing`
//! deliveries, and their `dispositions`.

mod dispositions;
mod event;
mod handshake;
mod incoming;
mod input;
mod links;
mod outgoing;
mod sessions;
mod settings;

pub use event::{AbandonedDelivery, Event, IncomingTransfer, LinkId, Outgoing, PeerInfo};
pub use settings::Settings;

use crate::error::{condition, fault, Error, Fault};
use crate::frame::{write_frame, AMQP, SASL};
use crate::link::{Link, Phase as LinkPhase};
use crate::performative::{Close, Performative};
use crate::sasl::{self, Credentials, Mechanism};
use crate::session::{Map, Phase as SessionPhase, Session};
use dispositions::DispositionBatch;
use sparbank_time::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

const SASL_HEADER: &[u8; 8] = b"AMQP\x03\x01\x00\x00";
const AMQP_HEADER: &[u8; 8] = b"AMQP\x00\x01\x00\x00";
/// Every peer accepts frames of this size, in octets (2.4.1); SASL frames are no larger (5.3.1).
const MIN_MAX_FRAME_SIZE: u32 = 512;
/// The shortest idle timeout of a peer that is honoured: a user that calls [`Connection::tick`] every 0.2 s can do no
/// better.
const MIN_PEER_IDLE_TIMEOUT: Duration = Duration::from_millis(400);

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
    peer_idle_timeout: Option<Duration>,
    last_received: MonotonicTime,
    last_sent: MonotonicTime,
    /// By this side's channel.
    sessions: Vec<Option<Session>>,
    /// This side's channel, by the peer's.
    by_remote_channel: Map<u16, u16>,
    /// Links on all sessions together.
    link_count: usize,
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
        Connection {
            settings,
            auth,
            stage: Stage::Start,
            peer_has_no_sasl: false,
            peer: PeerInfo::default(),
            peer_max_frame_size: MIN_MAX_FRAME_SIZE,
            peer_channel_max: 0,
            peer_idle_timeout: None,
            last_received: now,
            last_sent: now,
            sessions: Vec::new(),
            by_remote_channel: Map::default(),
            link_count: 0,
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
        let idle_timeout = self.settings.idle_timeout;
        let peer_timeout =
            (!idle_timeout.is_zero()).then(|| self.last_received + idle_timeout + Duration::from_nanos(1));
        let own_timeout = self.peer_idle_timeout.filter(|_| self.is_open());
        let heartbeat = own_timeout.map(|timeout| self.last_sent + timeout / 2);
        peer_timeout.into_iter().chain(heartbeat).min()
    }

    fn session(&self, channel: u16) -> Option<&Session> {
        self.sessions.get(channel as usize)?.as_ref()
    }

    fn session_mut(&mut self, channel: u16) -> Option<&mut Session> {
        self.sessions.get_mut(channel as usize)?.as_mut()
    }

    fn link(&self, link: LinkId) -> Option<&Link> {
        self.session(link.channel)?.link(link.handle)
    }

    fn link_mut(&mut self, link: LinkId) -> Option<&mut Link> {
        self.session_mut(link.channel)?.link_mut(link.handle)
    }

    /// Checks the idle timeouts (2.4.5): sends a heartbeat if the peer's requires one. To be called at
    /// [`Connection::deadline`], or periodically.
    ///
    /// # Errors
    /// The peer has sent nothing for longer than this side's idle timeout: the connection is to be closed.
    pub fn tick(&mut self, now: MonotonicTime) -> Result<(), Fault> {
        let idle_timeout = self.settings.idle_timeout;
        if !idle_timeout.is_zero() && now.saturating_duration_since(self.last_received) > idle_timeout {
            return Err(fault(condition::RESOURCE_LIMIT_EXCEEDED, "idle time-out"));
        }
        let is_due = |timeout: Duration| now.saturating_duration_since(self.last_sent) >= timeout / 2;
        if self.is_open() && self.peer_idle_timeout.is_some_and(is_due) && self.out.is_empty() {
            write_frame(&mut self.out, AMQP, 0, None, &[]);
        }
        Ok(())
    }

    /// Takes the octets to be written now.
    pub fn take_output(&mut self, now: MonotonicTime) -> Vec<u8> {
        self.flush_batch();
        if !self.out.is_empty() {
            self.last_sent = now;
        }
        std::mem::take(&mut self.out)
    }

    /// Appends the octets to be written now to a buffer, and keeps this side's allocation.
    pub fn append_output(&mut self, now: MonotonicTime, buffer: &mut Vec<u8>) {
        self.flush_batch();
        if !self.out.is_empty() {
            self.last_sent = now;
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
        let mut abandoned = Vec::new();
        for channel in 0..self.sessions.len() as u16 {
            let Some(session) = self.session_mut(channel) else { continue };
            for handle in 0..session.links.len() as u32 {
                let Some(role) = session.link(handle).map(|link| link.role) else { continue };
                let link = LinkId { channel, handle };
                let keys = session.remove(handle).into_iter();
                abandoned.extend(keys.map(|key| AbandonedDelivery { link, role, key }));
            }
        }
        self.link_count = 0;
        abandoned
    }

    /// The links that are not being detached, in order.
    pub fn links(&self) -> Vec<LinkId> {
        let mut links = Vec::new();
        for (channel, session) in self.sessions.iter().enumerate() {
            for (handle, link) in session.iter().flat_map(|session| session.links.iter().enumerate()) {
                if link.as_ref().is_some_and(|link| link.phase != LinkPhase::Closing) {
                    links.push(LinkId { channel: channel as u16, handle: handle as u32 });
                }
            }
        }
        links
    }

    /// The channels of the sessions, in order.
    pub fn channels(&self) -> Vec<u16> {
        let sessions = self.sessions.iter().enumerate();
        sessions.filter_map(|(channel, session)| session.is_some().then_some(channel as u16)).collect()
    }
}
