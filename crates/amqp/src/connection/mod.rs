//! A connection (standard, section 2.4) with its sessions and links. The same code serves the client and the
//! server end.
//!
//! [`Connection`] is the protocol state machine. The application passes received octets to [`Connection::next_event`],
//! handles the events, and writes the octets that [`Connection::take_output`] returns. The methods are split by part of
//! the protocol: `handshake` (protocol headers, SASL, open), `input` (frames), `sessions`, `links`, `incoming` and
//! `outgoing` deliveries, and `dispositions`.

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

pub use event::{AbandonedDelivery, DetachMode, Event, IncomingTransfer, LinkId, OutgoingDelivery, PeerInfo};
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
/// The frame size in octets that every peer must accept (2.4.1). It is also the maximum size of a SASL frame (5.3.1).
const MIN_MAX_FRAME_SIZE: u32 = 512;

/// The progress of a connection from the protocol headers to the close.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Stage {
    /// Waiting for the peer's first protocol header.
    AwaitingHeader,
    /// SASL frames are exchanged until the outcome is sent or received.
    Sasl,
    /// Waiting for the peer's AMQP protocol header.
    AwaitingAmqpHeader,
    /// Waiting for the peer's open.
    AwaitingOpen,
    /// Both sides have sent open.
    Open,
    /// A close was sent, or the connection failed. No frames are sent, and input is discarded.
    Closed,
}

/// The local role in the SASL exchange.
enum Auth {
    /// A server. With `None` no mechanisms were configured, and the client may start AMQP without SASL.
    Server(Option<sasl::Server>),
    /// A client. With `None` the client has no credentials and starts AMQP without SASL.
    Client(Option<sasl::Client>),
}

/// One end of an AMQP connection.
pub struct Connection {
    settings: Settings,
    auth: Auth,
    stage: Stage,
    /// Whether the server answered the SASL protocol header with the AMQP one.
    peer_lacks_sasl: bool,
    /// The contents of the peer's open; empty until it is received.
    peer: PeerInfo,
    /// The largest frame that the peer accepts, in octets.
    remote_max_frame_size: u32,
    /// The highest channel number that the peer accepts.
    remote_channel_max: u16,
    idle: IdleTimer,
    sessions: SessionTable,
    /// Events that [`Connection::next_event`] has not returned yet.
    events: VecDeque<Event<'static>>,
    /// A disposition that is not written yet because further deliveries may extend its range.
    disposition_batch: Option<DispositionBatch>,
    /// Whether `output` announces a renewed window of a session.
    has_unwritten_windows: bool,
    /// Octets that are ready to be sent.
    output: Vec<u8>,
}

impl Connection {
    /// Creates the client end, which opened the transport connection. Without credentials the client skips SASL and
    /// sends the AMQP protocol header first.
    pub fn dial(now: MonotonicTime, settings: Settings, credentials: Option<Credentials>) -> Connection {
        let uses_sasl = credentials.is_some();
        let auth = Auth::Client(credentials.map(sasl::Client::new));
        let mut connection = Connection::new(now, settings, auth);
        if uses_sasl {
            connection.output = SASL_HEADER.to_vec();
        } else {
            connection.output = AMQP_HEADER.to_vec();
            connection.stage = Stage::AwaitingAmqpHeader;
            connection.send_open();
        }
        connection
    }

    /// Creates the server end, which accepted the transport connection. If mechanisms are offered, the client has to
    /// authenticate with one of them. Otherwise the client may use SASL ANONYMOUS or skip SASL.
    pub fn accept(now: MonotonicTime, settings: Settings, offered: Option<Vec<Mechanism>>) -> Connection {
        Connection::new(now, settings, Auth::Server(offered.map(sasl::Server::new)))
    }

    fn new(now: MonotonicTime, settings: Settings, auth: Auth) -> Connection {
        let idle = IdleTimer::new(now, settings.idle_timeout);
        Connection {
            settings,
            auth,
            stage: Stage::AwaitingHeader,
            peer_lacks_sasl: false,
            peer: PeerInfo::default(),
            remote_max_frame_size: MIN_MAX_FRAME_SIZE,
            remote_channel_max: 0,
            idle,
            sessions: SessionTable::default(),
            events: VecDeque::new(),
            disposition_batch: None,
            has_unwritten_windows: false,
            output: Vec::new(),
        }
    }

    /// Whether both sides have sent open and neither has sent close.
    pub fn is_open(&self) -> bool {
        self.stage == Stage::Open
    }

    /// Whether the connection is closed, so that it generates no further frames.
    pub fn is_closed(&self) -> bool {
        self.stage == Stage::Closed
    }

    /// Whether the server answered the SASL protocol header with the AMQP one, which means that it does not support
    /// SASL.
    pub fn peer_lacks_sasl(&self) -> bool {
        self.peer_lacks_sasl
    }

    /// The contents of the peer's open.
    pub fn peer(&self) -> &PeerInfo {
        &self.peer
    }

    /// The highest channel number that both sides allow.
    pub fn channel_max(&self) -> u16 {
        self.remote_channel_max.min(self.settings.channel_max)
    }

    /// The highest link handle that both sides allow on a session.
    pub fn handle_max(&self, channel: u16) -> u32 {
        let remote = self.session(channel).map_or(0, |session| session.remote_handle_max);
        remote.min(self.settings.handle_max)
    }

    /// Whether both sides have sent begin for a session.
    pub fn has_begun(&self, channel: u16) -> bool {
        self.session(channel).is_some_and(|session| session.phase == SessionPhase::Begun)
    }

    /// The number of transfer frames that the peer's incoming window of a session currently allows.
    pub fn remote_window(&self, channel: u16) -> u32 {
        self.session(channel).map_or(0, |session| session.remote_window)
    }

    /// The link credit: for a sender, what it may still use; for a receiver, what it granted and the peer has not used.
    pub fn credit(&self, link: LinkId) -> u32 {
        self.link(link).map_or(0, |link| link.credit)
    }

    /// Whether the receiver has requested a drain of the link's credit.
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

    /// The largest message that the peer accepts on a link, in octets; `None` if it announced no limit.
    pub fn max_message_size(&self, link: LinkId) -> Option<u64> {
        self.link(link).and_then(|link| link.remote_max_message_size)
    }

    /// The name in a link's attach; empty if there is no link with this id.
    pub fn name(&self, link: LinkId) -> &str {
        self.link(link).map_or("", |link| &link.name)
    }

    /// The number of octets that are ready for [`Connection::take_output`].
    pub fn pending_output(&self) -> usize {
        self.output.len()
    }

    /// The time at which [`Connection::tick`] has to be called next.
    pub fn deadline(&self) -> Option<MonotonicTime> {
        if self.stage == Stage::Closed {
            return None;
        }
        let heartbeat = self.idle.heartbeat_deadline().filter(|_| self.is_open());
        self.idle.receive_deadline().into_iter().chain(heartbeat).min()
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

    /// Records that the peer was active at this time although none of its octets have been passed to
    /// [`Connection::next_event`], for callers that delay the processing of input.
    pub fn on_peer_activity(&mut self, at: MonotonicTime) {
        self.idle.on_received(at);
    }

    /// Checks the idle timeouts (2.4.5) and queues a heartbeat if the peer's timeout requires one. Call it at
    /// [`Connection::deadline`], or periodically.
    ///
    /// # Errors
    /// The peer has sent nothing for longer than the local idle timeout. The caller has to close the connection.
    pub fn tick(&mut self, now: MonotonicTime) -> Result<(), Fault> {
        if self.idle.has_peer_timed_out(now) {
            return Err(fault(condition::RESOURCE_LIMIT_EXCEEDED, "idle time-out"));
        }
        if self.is_open() && self.idle.is_heartbeat_due(now) && self.output.is_empty() {
            write_frame(&mut self.output, AMQP, 0, None, &[]);
        }
        Ok(())
    }

    /// Returns the octets to write to the transport and clears the output buffer.
    pub fn take_output(&mut self, now: MonotonicTime) -> Vec<u8> {
        self.finish_output(now);
        std::mem::take(&mut self.output)
    }

    /// Appends the octets to write to `buffer`. Unlike [`Connection::take_output`], this method keeps the
    /// allocation of the output buffer.
    pub fn append_output(&mut self, now: MonotonicTime, buffer: &mut Vec<u8>) {
        self.finish_output(now);
        buffer.append(&mut self.output);
    }

    /// Completes the output, which is then written.
    fn finish_output(&mut self, now: MonotonicTime) {
        self.flush_dispositions();
        if std::mem::take(&mut self.has_unwritten_windows) {
            self.sessions.on_windows_written();
        }
        if !self.output.is_empty() {
            self.idle.on_sent(now);
        }
    }

    fn send_performative(&mut self, channel: u16, body: impl Into<Performative>) {
        self.flush_dispositions();
        if self.stage != Stage::Closed {
            write_frame(&mut self.output, AMQP, channel, Some(&body.into()), &[]);
        }
    }

    fn send_sasl(&mut self, body: &Performative) {
        write_frame(&mut self.output, SASL, 0, Some(body), &[]);
    }

    /// Sends a close with the given error. No frames are sent after it.
    pub fn close(&mut self, error: Option<Box<Error>>) {
        if matches!(self.stage, Stage::AwaitingOpen | Stage::Open) {
            if self.stage == Stage::AwaitingOpen && matches!(self.auth, Auth::Server(_)) {
                self.send_open();
            }
            self.send_performative(0, Close { error });
        }
        self.stage = Stage::Closed;
    }

    /// Removes all links and returns their unsettled deliveries, after the transport connection was lost.
    pub fn abandon(&mut self) -> Vec<AbandonedDelivery> {
        self.events.clear();
        self.sessions.remove_all_links()
    }

    /// The links that are not being detached, ordered by channel and handle.
    pub fn links(&self) -> Vec<LinkId> {
        self.sessions.open_links()
    }

    /// The local channels of all sessions, in ascending order.
    pub fn channels(&self) -> Vec<u16> {
        self.sessions.channels()
    }
}
