//! A connection (part 2, section 2.4) with its sessions and links, from either end.

mod incoming;
mod links;
mod opening;
mod outgoing;
mod sessions;

use crate::codec::{put_u32, put_variable, DecodeError};
use crate::error::{condition, fault, Error, Fault};
use crate::frame::{put_frame, put_raw, take_frame, AMQP, SASL};
use crate::link::{Link, Partial, Phase as LinkPhase, Role};
use crate::performative::*;
use crate::sasl::{self, Asked, Credentials, Mechanism, Step};
use crate::scram::SaltedKeys;
use crate::session::{Map, Phase as SessionPhase, Sent, Session, Unsettled};
use crate::value::Value;
use crate::Nanos;
use std::collections::VecDeque;

const SASL_HEADER: &[u8; 8] = b"AMQP\x03\x01\x00\x00";
const AMQP_HEADER: &[u8; 8] = b"AMQP\x00\x01\x00\x00";
/// Frames of this size are taken by everyone (2.4.1); SASL frames are no larger (5.3.1).
const MIN_MAX_FRAME: u32 = 512;
/// An idle time-out shorter than this is kept as if it were this: who looks now and then can do no better.
const LEAST_IDLE: Nanos = 400_000_000;
const MS: Nanos = 1_000_000;

/// What this side is, and every bound on what the peer can make it hold.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This side's container id.
    pub container: String,
    /// The host that a dialling side asks for.
    pub hostname: Option<String>,
    /// The largest frame taken, in octets (at least 512). The user must be able to hold one whole.
    pub max_frame: u32,
    /// The highest channel: sessions less one. Each costs a few hundred octets.
    pub channel_max: u16,
    /// The highest handle of a session.
    pub handle_max: u32,
    /// Links on all sessions together; each costs some 300 octets and its name.
    pub links: usize,
    /// Frames that the peer may send ahead on a session.
    pub window: u32,
    /// Deliveries on one link that neither side has settled.
    pub unsettled: u32,
    /// The largest message taken, in octets.
    pub max_message: u64,
    /// The peer is given up when it is silent for this long; 0 for never.
    pub idle: Nanos,
    /// The number of the first frame and delivery on a session. Peers must take any (RFC 1982); tests
    /// start near the wrap.
    pub first: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            container: "sparbank".into(),
            hostname: None,
            max_frame: 16 * 1024,
            channel_max: 7,
            handle_max: 255,
            links: 64,
            window: 256,
            unsettled: 1024,
            max_message: 1024 * 1024,
            idle: 10_000 * MS,
            first: 0,
        }
    }
}

/// A link of a connection: the session's channel and the link's handle, both this side's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId {
    /// The session.
    pub channel: u16,
    /// The link.
    pub handle: u32,
}

/// A delivery that goes out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outgoing {
    /// What the user knows it by; it comes back with its end.
    pub key: u64,
    /// Its tag.
    pub tag: Tag,
    /// No answer is wanted.
    pub settled: bool,
}

/// A part of a delivery that came in.
#[derive(Clone, Debug, PartialEq)]
pub struct Part<'a> {
    /// The delivery's number in its session.
    pub id: u32,
    /// The sender's tag for it.
    pub tag: Tag,
    /// It is the first part.
    pub first: bool,
    /// It is the last part.
    pub last: bool,
    /// The sender called the delivery off: what came of it is to be dropped.
    pub aborted: bool,
    /// The sender wants no answer.
    pub settled: bool,
    /// It goes on with a delivery from before the link was attached.
    pub resume: bool,
    /// The octets.
    pub payload: &'a [u8],
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// A client makes itself known; [`Connection::verdict`] answers, now or later.
    Asked(Asked),
    /// The connection is open; [`Connection::peer`] says who it is.
    Opened {},
    /// A session has begun.
    Began {
        /// Its channel.
        channel: u16,
    },
    /// A session is over, with all its links; [`Event::Dropped`] and [`Event::Detached`] came before.
    Ended {
        /// Its channel.
        channel: u16,
    },
    /// The peer wants a link: answer with [`Connection::accept_link`] or [`Connection::refuse_link`].
    Asks {
        /// The link.
        link: LinkId,
        /// What this side would be.
        role: Role,
        /// What the peer said.
        attach: Box<Attach>,
    },
    /// The peer has answered an attach.
    Attached {
        /// The link.
        link: LinkId,
        /// What the peer said.
        attach: Box<Attach>,
    },
    /// A sender's credit may have changed, or its receiver wants it used up.
    Credit {
        /// The link.
        link: LinkId,
    },
    /// A session may have room again for what goes out.
    Room {
        /// The session.
        channel: u16,
    },
    /// A part of a delivery came in.
    Transfer {
        /// The link.
        link: LinkId,
        /// The part.
        part: Part<'a>,
    },
    /// The receiver says how a delivery that went out ended, or settles it without a word.
    Settled {
        /// The link.
        link: LinkId,
        /// The delivery's number.
        id: u32,
        /// What the user knows it by.
        key: u64,
        /// Its state.
        state: Option<State>,
    },
    /// The sender settles a delivery that came in: it wants no answer any more.
    Forgotten {
        /// The link.
        link: LinkId,
        /// What the user knows it by.
        key: u64,
    },
    /// An unsettled delivery is gone with its link.
    Dropped {
        /// The link.
        link: LinkId,
        /// What this side was.
        role: Role,
        /// What the user knows it by.
        key: u64,
    },
    /// A link is gone.
    Detached {
        /// The link.
        link: LinkId,
        /// For good; otherwise it is suspended and may be resumed.
        closed: bool,
        /// The peer's reason.
        error: Option<Box<Error>>,
    },
    /// The peer has closed the connection.
    Closed {
        /// Its reason.
        error: Option<Box<Error>>,
    },
}

/// What the peer said of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerInfo {
    /// Its container id.
    pub container: String,
    /// The host that it asked for.
    pub hostname: Option<String>,
    /// Its properties.
    pub properties: Option<Value>,
    /// What it can do that the standard does not ask for.
    pub offered: Option<Value>,
    /// What it would like this side to do.
    pub desired: Option<Value>,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Stage {
    /// The peer's first header is awaited.
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
    /// A server that offers these; none at all lets AMQP come without SASL.
    Server(Option<sasl::Server>),
    /// A client with these; none goes without SASL.
    Client(Option<sasl::Client>),
}

/// Dispositions that run on and say the same, to be written as one (2.6.12 allows a range).
struct Batch {
    channel: u16,
    role: Role,
    first: u32,
    last: u32,
    settled: bool,
    state: Option<State>,
}

/// A connection.
pub struct Connection {
    settings: Settings,
    auth: Auth,
    stage: Stage,
    no_sasl: bool,
    peer: PeerInfo,
    peer_max_frame: u32,
    peer_channel_max: u16,
    peer_idle: Option<Nanos>,
    heard: Nanos,
    said: Nanos,
    sessions: Vec<Option<Session>>,
    by_remote: Map<u16, u16>,
    links: usize,
    queue: VecDeque<Event<'static>>,
    batch: Option<Batch>,
    out: Vec<u8>,
}

impl Connection {
    /// The end that dials. Without credentials it starts with AMQP itself, not with SASL.
    pub fn dial(now: Nanos, settings: Settings, credentials: Option<Credentials>) -> Connection {
        let (out, stage) = match credentials {
            Some(_) => (SASL_HEADER.to_vec(), Stage::Start),
            None => (AMQP_HEADER.to_vec(), Stage::Header),
        };
        let mut this = Connection::new(now, settings, Auth::Client(credentials.map(sasl::Client::new)));
        (this.out, this.stage) = (out, stage);
        if this.stage == Stage::Header {
            this.say_open();
        }
        this
    }

    /// The end that is dialled. With mechanisms a peer has to make itself known by one of them; without,
    /// it may come with SASL ANONYMOUS or with none.
    pub fn accept(now: Nanos, settings: Settings, offered: Option<Vec<Mechanism>>) -> Connection {
        Connection::new(now, settings, Auth::Server(offered.map(sasl::Server::new)))
    }

    fn new(now: Nanos, settings: Settings, auth: Auth) -> Connection {
        Connection {
            settings,
            auth,
            stage: Stage::Start,
            no_sasl: false,
            peer: PeerInfo::default(),
            peer_max_frame: MIN_MAX_FRAME,
            peer_channel_max: 0,
            peer_idle: None,
            heard: now,
            said: now,
            sessions: Vec::new(),
            by_remote: Map::default(),
            links: 0,
            queue: VecDeque::new(),
            batch: None,
            out: Vec::new(),
        }
    }
    /// Whether both sides have opened and neither has closed.
    pub fn is_open(&self) -> bool {
        self.stage == Stage::Open
    }

    /// Whether nothing more will be said.
    pub fn is_closed(&self) -> bool {
        self.stage == Stage::Closed
    }

    /// A dialled peer answered SASL with a header that says it has none.
    pub fn peer_has_no_sasl(&self) -> bool {
        self.no_sasl
    }

    /// What the peer said of itself.
    pub fn peer(&self) -> &PeerInfo {
        &self.peer
    }

    /// The highest channel that both sides allow.
    pub fn channel_max(&self) -> u16 {
        self.peer_channel_max.min(self.settings.channel_max)
    }

    /// The highest handle that both sides allow on a session.
    pub fn handle_max(&self, channel: u16) -> u32 {
        let remote = self.session(channel).map_or(0, |s| s.remote_handle_max);
        remote.min(self.settings.handle_max)
    }

    /// Whether a session has begun on both sides.
    pub fn has_begun(&self, channel: u16) -> bool {
        self.session(channel).is_some_and(|s| s.phase == SessionPhase::Begun)
    }

    /// Frames that a session's peer has room for.
    pub fn room(&self, channel: u16) -> u32 {
        self.session(channel).map_or(0, |s| s.remote_window)
    }

    /// A sender's credit, or what a receiver has granted and not seen used.
    pub fn credit(&self, link: LinkId) -> u32 {
        self.link(link).map_or(0, |l| l.credit)
    }

    /// Whether the receiver wants a sender's credit used up or given back.
    pub fn is_draining(&self, link: LinkId) -> bool {
        self.link(link).is_some_and(|l| l.drain)
    }

    /// Whether a link is attached on both sides.
    pub fn is_attached(&self, link: LinkId) -> bool {
        self.link(link).is_some_and(|l| l.phase == LinkPhase::Attached)
    }

    /// Deliveries on a link that are not settled.
    pub fn unsettled(&self, link: LinkId) -> u32 {
        self.link(link).map_or(0, |l| l.unsettled)
    }

    /// The largest message that a link's receiver takes.
    pub fn most_message(&self, link: LinkId) -> Option<u64> {
        self.link(link).and_then(|l| l.remote.max_message)
    }

    /// A link's name.
    pub fn name(&self, link: LinkId) -> &str {
        self.link(link).map_or("", |l| &l.name)
    }

    /// Octets that wait to be taken by [`Connection::take_out`].
    pub fn pending(&self) -> usize {
        self.out.len()
    }

    /// When [`Connection::tick`] has something to do next.
    pub fn deadline(&self) -> Option<Nanos> {
        if self.stage == Stage::Closed {
            return None;
        }
        let silent = (self.settings.idle > 0).then(|| self.heard + self.settings.idle + 1);
        let beat = self.peer_idle.filter(|_| self.is_open()).map(|idle| self.said + idle / 2);
        silent.into_iter().chain(beat).min()
    }

    pub(super) fn session(&self, channel: u16) -> Option<&Session> {
        self.sessions.get(channel as usize)?.as_ref()
    }

    pub(super) fn session_mut(&mut self, channel: u16) -> Option<&mut Session> {
        self.sessions.get_mut(channel as usize)?.as_mut()
    }

    pub(super) fn link(&self, link: LinkId) -> Option<&Link> {
        self.session(link.channel)?.link(link.handle)
    }

    pub(super) fn link_mut(&mut self, link: LinkId) -> Option<&mut Link> {
        self.session_mut(link.channel)?.link_mut(link.handle)
    }

    /// Keeps the peer's idle time-out, and says whether the peer has kept ours (2.4.5).
    pub fn tick(&mut self, now: Nanos) -> Result<(), Fault> {
        if self.settings.idle > 0 && now.saturating_sub(self.heard) > self.settings.idle {
            return Err(fault(condition::RESOURCE_LIMIT_EXCEEDED, "idle time-out"));
        }
        let due = |idle: Nanos| now.saturating_sub(self.said) >= idle / 2;
        if self.is_open() && self.peer_idle.is_some_and(due) && self.out.is_empty() {
            put_frame(&mut self.out, AMQP, 0, None, &[]);
        }
        Ok(())
    }

    /// What is to be written now.
    pub fn take_out(&mut self, now: Nanos) -> Vec<u8> {
        self.flush_batch();
        if !self.out.is_empty() {
            self.said = now;
        }
        std::mem::take(&mut self.out)
    }

    /// Appends what is to be written to a buffer, whose room is used again.
    pub fn drain_out(&mut self, now: Nanos, into: &mut Vec<u8>) {
        self.flush_batch();
        if !self.out.is_empty() {
            self.said = now;
            into.append(&mut self.out);
        }
    }

    pub(super) fn put(&mut self, channel: u16, body: impl Into<Performative>) {
        self.flush_batch();
        if self.stage != Stage::Closed {
            put_frame(&mut self.out, AMQP, channel, Some(&body.into()), &[]);
        }
    }

    pub(super) fn put_sasl(&mut self, body: &Performative) {
        put_frame(&mut self.out, SASL, 0, Some(body), &[]);
    }

    pub(super) fn flush_batch(&mut self) {
        let Some(batch) = self.batch.take() else { return };
        if self.stage == Stage::Closed {
            return;
        }
        let body = Disposition {
            role: Some(batch.role == Role::Receiver),
            first: Some(batch.first),
            last: (batch.last != batch.first).then_some(batch.last),
            settled: batch.settled.then_some(true),
            state: batch.state,
            batchable: None,
        };
        put_raw(&mut self.out, AMQP, batch.channel, |out| write_composite(&body, out), &[]);
    }

    pub(super) fn dispose(&mut self, channel: u16, role: Role, id: u32, settled: bool, state: Option<State>) {
        if let Some(batch) = &mut self.batch {
            let next = batch.last.wrapping_add(1) == id && (batch.channel, batch.role) == (channel, role);
            if next && batch.settled == settled && batch.state == state {
                batch.last = id;
                return;
            }
        }
        self.flush_batch();
        self.batch = Some(Batch { channel, role, first: id, last: id, settled, state });
    }

    /// Says why and ends; nothing follows.
    pub fn close(&mut self, why: Option<Box<Error>>) {
        if matches!(self.stage, Stage::Opening | Stage::Open) {
            if self.stage == Stage::Opening && matches!(self.auth, Auth::Server(_)) {
                self.say_open();
            }
            self.put(0, Close { error: why });
        }
        self.stage = Stage::Closed;
    }

    /// All unsettled deliveries that go by a key, for a user whose transport is gone: what this side was,
    /// and the key.
    pub fn abandon(&mut self) -> Vec<(LinkId, Role, u64)> {
        self.queue.clear();
        let mut gone = Vec::new();
        for channel in 0..self.sessions.len() as u16 {
            let Some(session) = self.session_mut(channel) else { continue };
            for handle in 0..session.links.len() as u32 {
                let Some(role) = session.link(handle).map(|l| l.role) else { continue };
                let keys = session.remove(handle);
                let link = LinkId { channel, handle };
                gone.extend(keys.into_iter().map(|key| (link, role, key)));
            }
        }
        self.links = 0;
        gone
    }

    /// The links that are there, in order.
    pub fn links(&self) -> Vec<LinkId> {
        let mut links = Vec::new();
        for (channel, session) in self.sessions.iter().enumerate() {
            for (handle, link) in session.iter().flat_map(|s| s.links.iter().enumerate()) {
                if link.as_ref().is_some_and(|l| l.phase != LinkPhase::Closing) {
                    links.push(LinkId { channel: channel as u16, handle: handle as u32 });
                }
            }
        }
        links
    }

    /// Sessions that there are, in order.
    pub fn channels(&self) -> Vec<u16> {
        let there = |(at, s): (usize, &Option<Session>)| s.is_some().then_some(at as u16);
        self.sessions.iter().enumerate().filter_map(there).collect()
    }
}

impl From<DecodeError> for Error {
    fn from(error: DecodeError) -> Error {
        Fault::from(error).into()
    }
}
