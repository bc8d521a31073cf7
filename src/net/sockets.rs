//! The sockets in a slab, watched by one epoll. Reads and writes go through bounded buffers; the
//! fronts see notices and bytes.

use crate::requests::FrontId;
use crate::vocabulary::Nanos;
use rustix::event::{epoll, Timespec};
use rustix::io::{read, write, Errno};
use rustix::net::{sockopt, AddressFamily, Shutdown, SocketFlags, SocketType};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::Duration;

/// Who hears of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketOwner {
    /// A front.
    Front(FrontId),
    /// The endpoint registry's watch.
    Discovery,
    /// The pipe of a signal.
    Signal,
    /// The operators' address.
    Admin,
    /// The process before this one, or the one after it.
    Handover,
    /// The other nodes of the fleet.
    Quota,
}

/// A socket's place and its generation: a token outlives its socket without naming the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token(u64);

/// What happened at a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketEventKind {
    /// A listener took it in.
    Accepted,
    /// There are more bytes, or the peer has ended its sending ([`SocketReactor::is_read_closed`]).
    Readable,
    /// All that was to be written is written, after it was not.
    OutputFlushed,
    /// It had said nothing of use when its place was needed. It is closed already.
    Evicted,
    /// It has said nothing of use in time. The owner ends it.
    HandshakeTimeout,
    /// The connection never came up or broke. The owner takes what it wants and closes it.
    Failed {
        /// It had come up and all that was to be written had been.
        all_written: bool,
    },
}

/// A notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketEvent {
    pub token: Token,
    pub owner: SocketOwner,
    pub kind: SocketEventKind,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Listening,
    Connecting,
    Open,
    /// It broke; what had come is still there for its owner, who then closes it.
    Broken,
    /// Ours is said; what the peer still sends is read and dropped, so that no reset eats the answer.
    Lingering,
    /// Its owner reads and writes by itself ([`SocketReactor::raw_descriptor`]).
    Raw,
}

/// A connection's state, for a process that goes on with it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BufferedConnection {
    /// Come and not taken by its owner.
    #[serde(with = "octets")]
    pub input: Vec<u8>,
    /// Still to be written.
    #[serde(with = "octets")]
    pub output: Vec<u8>,
    written: u64,
    /// It was accepted and has said nothing of use yet; it has until then.
    word_by: Option<Nanos>,
}

/// Octets in JSON: text that is short.
mod octets {
    use base64::prelude::{Engine, BASE64_STANDARD};
    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(octets: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&BASE64_STANDARD.encode(octets))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(from)?;
        BASE64_STANDARD.decode(text.as_bytes()).map_err(serde::de::Error::custom)
    }
}

struct Socket {
    fd: OwnedFd,
    owner: SocketOwner,
    stage: Stage,
    input: Vec<u8>,
    output: Vec<u8>,
    written: u64,
    at_end: bool,
    finish: bool,
    finished: bool,
    interest: epoll::EventFlags,
    /// It was accepted and has said nothing of use yet.
    unproven: bool,
    /// What may still be read and dropped while it lingers.
    discard: usize,
    /// No more than this is read ahead of who takes it.
    ahead: usize,
    /// Where it was accepted.
    listener: Option<Token>,
    /// It has one of the descriptors that are set aside, or hands them out.
    reserved: bool,
}

/// No more than this is read ahead of who takes it, unless the owner asks for more ([`SocketReactor::set_read_limit`]).
const READ_AHEAD: usize = 8 * 1024;
/// One read takes no more than this.
const ONE_READ: usize = 64 * 1024;
/// Above this a peer is slow: its counterpart is not read on.
pub const OUTPUT_HIGH_WATERMARK_BYTES: usize = 16 * 1024;
/// How long a lingering socket may take to hear the peer's end.
const LINGER: Nanos = 1_000_000_000;
/// What a lingering socket may still send: after that a reset says it plainly.
const DISCARD: usize = 1024 * 1024;
/// A peer that is accepted has so long to say something of use; 3 s are promised, and the loop looks five times
/// a second.
const FIRST_WORD_WITHIN: Nanos = 2_600_000_000;
/// Descriptors that no attempt takes: for the list's watch and the one after it, and for what is open beside the
/// sockets counted here (the standard streams, epoll, the other ends of the signals' pipes).
const KEPT: usize = 14;
/// How long accepting rests when descriptors have run out.
const ACCEPT_REST: Nanos = 50_000_000;
const BACKLOG: i32 = 1024;
/// Less than what is kept free, so that one turn's arrivals never take the last descriptors.
const ACCEPTS: usize = 16;
/// The same for those with descriptors set aside: fewer than these, so that each is read before it can
/// have to make room.
const RESERVED_ACCEPTS: usize = 4;

/// All sockets of the node.
pub struct SocketReactor {
    epoll: OwnedFd,
    slots: Vec<(u32, Option<Socket>)>,
    free: Vec<u32>,
    open: usize,
    most: usize,
    lingering: VecDeque<(Nanos, Token)>,
    /// Accepted, with the time by which each has to be proven, oldest first.
    unproven: VecDeque<(Nanos, Token)>,
    /// Descriptors set aside, and who has them, the longest idle first.
    reserve: usize,
    reserved: VecDeque<Token>,
    resting: Option<Nanos>,
    /// Fronts take nothing in: another process does.
    closed: bool,
    /// Listening sockets of the process before this one, each with its address.
    inherited: Vec<(SocketAddr, OwnedFd)>,
    pending: Vec<SocketEvent>,
    /// Connections that came up in this turn: what waits on them is written at its end ([`SocketReactor::flush_connected`]).
    risen: Vec<Token>,
    now: Nanos,
    /// Where reads go before they are kept.
    chunk: Vec<u8>,
}

impl SocketReactor {
    /// Sockets for a process that may hold this many descriptors.
    pub fn new(most: usize) -> io::Result<SocketReactor> {
        Ok(SocketReactor {
            epoll: epoll::create(epoll::CreateFlags::CLOEXEC)?,
            slots: Vec::new(),
            free: Vec::new(),
            open: 0,
            most,
            lingering: VecDeque::new(),
            unproven: VecDeque::new(),
            reserve: 0,
            reserved: VecDeque::new(),
            resting: None,
            closed: false,
            inherited: Vec::new(),
            pending: Vec::new(),
            risen: Vec::new(),
            now: 0,
            chunk: vec![0; ONE_READ],
        })
    }

    /// The process may hold this many descriptors from now on.
    pub fn set_descriptor_limit(&mut self, most: usize) {
        self.most = most;
    }

    /// Whether every connection that was ended is over on both sides.
    pub fn all_closes_complete(&self) -> bool {
        self.lingering.iter().all(|(_, token)| self.peek(*token).is_none())
    }

    /// Whether descriptors run short: what comes in now is to be turned away.
    pub fn is_short_of_descriptors(&self) -> bool {
        let open = self.open - self.reserved.len() + self.reserve;
        open + self.most / 16 + 16 > self.most
    }

    /// An accepted peer has said something of use: it is not closed to make room any more.
    pub fn mark_handshake_complete(&mut self, token: Token) {
        if let Some(socket) = self.get(token) {
            socket.unproven = false;
        }
    }

    /// Makes room where descriptors run short: connections that are over go first, the oldest first, then
    /// those that have said nothing. False where all that is left is of use.
    pub fn reclaim_descriptors(&mut self) -> bool {
        while self.is_short_of_descriptors() {
            if !self.evict() {
                return false;
            }
        }
        true
    }

    /// Whether one more attempt may have a descriptor: some are kept for what must go on without it.
    pub fn has_descriptor_for_attempt(&self) -> bool {
        self.open - self.reserved.len() + self.reserve + KEPT < self.most
    }

    fn evict(&mut self) -> bool {
        if let Some((_, token)) = self.lingering.pop_front() {
            self.drop_socket(token);
            return true;
        }
        let mut speaks = Vec::new();
        let mut evicted = false;
        while let Some((by, token)) = self.unproven.pop_front() {
            if self.has_spoken(token) {
                speaks.push((by, token));
                continue;
            }
            self.expel(token);
            evicted = true;
            break;
        }
        speaks.into_iter().rev().for_each(|one| self.unproven.push_front(one));
        evicted
    }

    /// Whether a whole line has come from a peer that is not proven yet, read or not: its owner is about to hear
    /// of it, so it is no idle one.
    fn has_spoken(&mut self, token: Token) -> bool {
        if self.peek(token).is_some_and(|s| s.unproven && !s.input.contains(&b'\n')) {
            self.read_available(token);
        }
        self.peek(token).is_some_and(|s| s.unproven && s.input.contains(&b'\n'))
    }

    /// Ends a connection that is still unproven, and tells its owner.
    fn expel(&mut self, token: Token) {
        if let Some(owner) =
            self.peek(token).filter(|s| s.unproven && s.stage == Stage::Open).map(|s| s.owner)
        {
            self.pending.push(SocketEvent { token, owner, kind: SocketEventKind::Evicted });
            self.drop_socket(token);
        }
    }

    /// Listens on an address; gives the address too, for a port that the system picked.
    pub fn listen(&mut self, addr: SocketAddr, owner: SocketOwner) -> io::Result<SocketAddr> {
        self.listen_with_token(addr, owner).map(|(_, bound)| bound)
    }

    /// The same, with the listener's token, for an owner that has several ([`SocketReactor::accepting_listener`]).
    pub fn listen_with_token(
        &mut self,
        addr: SocketAddr,
        owner: SocketOwner,
    ) -> io::Result<(Token, SocketAddr)> {
        let same = |at: &SocketAddr| *at == addr || (addr.port() == 0 && at.ip() == addr.ip());
        if let Some(at) = self.inherited.iter().position(|(at, _)| same(at)) {
            let (bound, fd) = self.inherited.remove(at);
            return Ok((self.insert(fd, owner, Stage::Listening)?, bound));
        }
        let fd = socket(addr)?;
        sockopt::set_socket_reuseaddr(&fd, true)?;
        rustix::net::bind(&fd, &addr)?;
        rustix::net::listen(&fd, BACKLOG)?;
        let bound = bound(&fd)?;
        Ok((self.insert(fd, owner, Stage::Listening)?, bound))
    }

    /// Whoever listens at one of these addresses from now on gets that socket.
    pub fn inherit_listeners(&mut self, listening: Vec<(SocketAddr, OwnedFd)>) {
        self.inherited = listening;
    }

    /// The fronts' listening sockets but for one front's, for another process as well.
    pub fn listeners_except(&self, but: FrontId) -> Vec<(SocketAddr, OwnedFd)> {
        let fronts = self.slots.iter().filter_map(|(_, socket)| socket.as_ref()).filter(|s| {
            s.stage == Stage::Listening && matches!(s.owner, SocketOwner::Front(front) if front != but)
        });
        fronts.filter_map(|s| Some((bound(&s.fd).ok()?, s.fd.try_clone().ok()?))).collect()
    }

    /// Whether fronts take connections in.
    pub fn set_accepting(&mut self, takes: bool) {
        self.closed = !takes;
        self.arm_listeners(if self.resting.is_some() {
            epoll::EventFlags::empty()
        } else {
            epoll::EventFlags::IN
        });
    }

    /// Sets so many descriptors aside for what is not counted here.
    pub fn reserve_descriptors(&mut self, descriptors: usize) {
        self.reserve += descriptors;
    }

    /// Descriptors in use.
    pub fn descriptors_in_use(&self) -> usize {
        self.open
    }

    /// Watches a descriptor that its owner reads and writes by itself.
    pub fn register_raw(&mut self, fd: OwnedFd, owner: SocketOwner) -> io::Result<Token> {
        rustix::io::ioctl_fionbio(&fd, true)?;
        self.insert(fd, owner, Stage::Raw)
    }

    /// Such a descriptor.
    pub fn raw_descriptor(&self, token: Token) -> Option<&OwnedFd> {
        self.peek(token).filter(|s| s.stage == Stage::Raw).map(|s| &s.fd)
    }

    /// Whether its owner wants to know when it takes more.
    pub fn set_writable_interest(&mut self, token: Token, wanted: bool) {
        let Some((_, Some(socket))) = self.slots.get_mut(token.index()) else { return };
        let out = if wanted { epoll::EventFlags::OUT } else { epoll::EventFlags::empty() };
        if socket.stage == Stage::Raw && socket.interest != epoll::EventFlags::IN | out {
            socket.interest = epoll::EventFlags::IN | out;
            let data = epoll::EventData::new_u64(token.0);
            // It was added under this descriptor, so this cannot fail but for want of memory.
            let _ = epoll::modify(&self.epoll, &socket.fd, data, socket.interest);
        }
    }

    /// Whether a connection can go on in another process: it is up, and neither side has ended its sending.
    pub fn can_transfer(&self, token: Token) -> bool {
        self.peek(token).is_some_and(|s| s.stage == Stage::Open && !s.at_end && !s.finish)
    }

    /// Lets a connection go, for another process to go on with. None where [`SocketReactor::can_transfer`] says no.
    pub fn export_connection(&mut self, token: Token) -> Option<(OwnedFd, BufferedConnection)> {
        if !self.can_transfer(token) {
            return None;
        }
        let word_by = self.unproven.iter().find(|(_, other)| *other == token).map(|(by, _)| *by);
        let socket = self.get(token)?;
        let word_by = word_by.filter(|_| socket.unproven);
        let (input, output) = (std::mem::take(&mut socket.input), std::mem::take(&mut socket.output));
        let flow = BufferedConnection { input, output, written: socket.written, word_by };
        let socket = self.slots[token.index()].1.take()?;
        // The other process has it open: closing ours would not take it out of the set.
        let _ = epoll::delete(&self.epoll, &socket.fd);
        self.vacate(token);
        Some((socket.fd, flow))
    }

    /// Goes on with a connection that another process let go.
    pub fn import_connection(
        &mut self,
        fd: OwnedFd,
        flow: BufferedConnection,
        owner: SocketOwner,
    ) -> io::Result<Token> {
        let token = self.insert(fd, owner, Stage::Open)?;
        if let Some(socket) = self.get(token) {
            (socket.input, socket.output, socket.written) = (flow.input, flow.output, flow.written);
            socket.unproven = flow.word_by.is_some();
        }
        if let Some(by) = flow.word_by {
            let at = self.unproven.partition_point(|(other, _)| *other <= by);
            self.unproven.insert(at, (by, token));
        }
        self.update_interest(token);
        Ok(token)
    }

    /// Listens on a socket that listens already, and may be another process's as well.
    pub fn register_listener(&mut self, fd: OwnedFd, owner: SocketOwner) -> io::Result<SocketAddr> {
        // Whoever else has it may take in what we were woken for.
        rustix::io::ioctl_fionbio(&fd, true)?;
        let bound = bound(&fd)?;
        self.insert(fd, owner, Stage::Listening)?;
        Ok(bound)
    }

    /// Listens for connections that have descriptors set aside, so many at a time: no shortage takes them,
    /// and among themselves the longest idle makes room. Their notices come first.
    pub fn listen_with_reserve(
        &mut self,
        addr: SocketAddr,
        owner: SocketOwner,
        most: usize,
    ) -> io::Result<SocketAddr> {
        let (token, bound) = self.listen_with_token(addr, owner)?;
        if let Some(socket) = self.get(token) {
            socket.reserved = true;
        }
        self.reserve += most;
        Ok(bound)
    }

    /// Starts a connection. What is sent meanwhile is written once it is up.
    pub fn connect(&mut self, addr: SocketAddr, owner: SocketOwner) -> io::Result<Token> {
        let fd = loop {
            match socket(addr) {
                // The system gives fewer than the configuration says.
                Err(Errno::MFILE | Errno::NFILE) if self.evict() => {}
                made => break made?,
            }
        };
        sockopt::set_tcp_nodelay(&fd, true)?;
        match rustix::net::connect(&fd, &addr) {
            Ok(()) | Err(Errno::INPROGRESS) => {}
            Err(error) => return Err(error.into()),
        }
        self.insert(fd, owner, Stage::Connecting)
    }

    /// Takes in a descriptor that is ready to be read, such as a signal's pipe.
    pub fn register_reader(&mut self, fd: OwnedFd, owner: SocketOwner) -> io::Result<Token> {
        rustix::io::ioctl_fionbio(&fd, true)?;
        self.insert(fd, owner, Stage::Open)
    }

    /// This many octets may be read ahead of who takes them: a frame that is to be held whole must fit.
    pub fn set_read_limit(&mut self, token: Token, most: usize) {
        if let Some(socket) = self.get(token) {
            socket.ahead = most;
        }
    }

    /// The listener that an accepted connection came to.
    pub fn accepting_listener(&self, token: Token) -> Option<Token> {
        self.peek(token)?.listener
    }

    /// The address of a connection's other end.
    pub fn peer_addr(&self, token: Token) -> Option<SocketAddr> {
        let socket = self.peek(token)?;
        rustix::net::getpeername(&socket.fd).ok()?.and_then(|addr| SocketAddr::try_from(addr).ok())
    }

    /// Reads what has come by now, for whoever must not act on less: bytes, the peer's end or its reset.
    pub fn read_available(&mut self, token: Token) {
        if self.peek(token).is_some_and(|s| s.stage == Stage::Open && !s.at_end) {
            self.fill(token);
        }
    }

    /// Whether the connection broke; what had come is still there.
    pub fn is_failed(&self, token: Token) -> bool {
        self.peek(token).is_some_and(|s| s.stage == Stage::Broken)
    }

    /// The bytes that have come and not been taken.
    pub fn input_buffer(&mut self, token: Token) -> Option<&mut Vec<u8>> {
        self.get(token).map(|s| &mut s.input)
    }

    /// Whether the peer has ended its sending; bytes may still wait in [`SocketReactor::input_buffer`].
    pub fn is_read_closed(&self, token: Token) -> bool {
        self.peek(token).is_some_and(|s| s.at_end)
    }

    /// Whether the connection has not come up yet.
    pub fn is_connecting(&self, token: Token) -> bool {
        self.peek(token).is_some_and(|s| s.stage == Stage::Connecting)
    }

    /// Bytes that are still to be written.
    pub fn pending_output_bytes(&self, token: Token) -> usize {
        self.peek(token).map_or(0, |s| s.output.len())
    }

    /// Whether any byte has been written.
    pub fn has_written(&self, token: Token) -> bool {
        self.peek(token).is_some_and(|s| s.written > 0)
    }

    /// Bytes written so far.
    pub fn bytes_written(&self, token: Token) -> u64 {
        self.peek(token).map_or(0, |s| s.written)
    }

    /// Bytes written and still to be written: where the next one goes.
    pub fn output_position(&self, token: Token) -> u64 {
        self.peek(token).map_or(0, |s| s.written + s.output.len() as u64)
    }

    /// Sends bytes, at once as far as the peer takes them.
    pub fn send(&mut self, token: Token, mut bytes: &[u8]) {
        let Some(socket) = self.get(token) else { return };
        if socket.finish || socket.stage == Stage::Broken {
            return;
        }
        let mut broken = false;
        // Straight from where they are, while nothing waits before them.
        while !bytes.is_empty() && socket.output.is_empty() && socket.stage == Stage::Open {
            match write(&socket.fd, bytes) {
                Ok(count) => {
                    socket.written += count as u64;
                    bytes = &bytes[count..];
                }
                Err(Errno::INTR) => {}
                Err(error) => {
                    broken = error != Errno::AGAIN;
                    break;
                }
            }
        }
        socket.output.extend_from_slice(bytes);
        if broken {
            return self.broken(token);
        }
        self.update_interest(token);
    }

    /// Ends our sending once all is written.
    pub fn shutdown_write(&mut self, token: Token) {
        if let Some(socket) = self.get(token) {
            socket.finish = true;
            if socket.stage == Stage::Open {
                self.flush(token, false);
            }
            self.update_interest(token);
        }
    }

    /// Ends the connection politely; the token is void for the owner. One that never came up is dropped.
    pub fn close(&mut self, token: Token) {
        let until = self.now + LINGER;
        let Some(socket) = self.get(token) else { return };
        if matches!(socket.stage, Stage::Connecting | Stage::Broken | Stage::Raw) {
            return self.drop_socket(token);
        }
        socket.stage = Stage::Lingering;
        socket.input = Vec::new();
        socket.finish = true;
        let over = socket.at_end;
        self.flush(token, true);
        if over && self.peek(token).is_some_and(|s| s.finished) {
            return self.drop_socket(token);
        }
        self.update_interest(token);
        if self.peek(token).is_some() {
            self.lingering.push_back((until, token));
        }
    }

    /// Ends the connection so that nothing more of what waits on it goes out.
    pub fn close_without_flush(&mut self, token: Token) {
        self.drop_socket(token);
    }

    /// Writes what waits on the connections that came up in this turn: after all else that came in it, so that
    /// who left and what was told to stop is known first.
    pub fn flush_connected(&mut self) {
        for token in std::mem::take(&mut self.risen) {
            if self.peek(token).is_some_and(|s| matches!(s.stage, Stage::Open | Stage::Lingering)) {
                self.flush(token, true);
                self.update_interest(token);
            }
        }
    }

    /// Ends the connection with a reset, as its counterpart did.
    pub fn reset(&mut self, token: Token) {
        if let Some(socket) = self.peek(token) {
            // A failure here leaves an ordinary close, which is an end as well.
            let _ = sockopt::set_socket_linger(&socket.fd, Some(Duration::ZERO));
        }
        self.drop_socket(token);
    }

    /// Reads on where the owner has taken bytes.
    pub fn update_interest(&mut self, token: Token) {
        let Some((generation, Some(socket))) = self.slots.get_mut(token.index()) else { return };
        if *generation != token.generation() || matches!(socket.stage, Stage::Broken | Stage::Raw) {
            return;
        }
        let mut interest = epoll::EventFlags::empty();
        let reads = socket.stage != Stage::Connecting && !socket.at_end;
        if reads && (socket.input.len() < socket.ahead || socket.stage == Stage::Lingering) {
            interest |= epoll::EventFlags::IN;
        }
        if socket.stage == Stage::Connecting || !socket.output.is_empty() {
            interest |= epoll::EventFlags::OUT;
        }
        if interest != socket.interest {
            socket.interest = interest;
            let data = epoll::EventData::new_u64(token.0);
            // It was added under this descriptor, so this cannot fail but for want of memory.
            let _ = epoll::modify(&self.epoll, &socket.fd, data, interest);
        }
    }

    /// Waits for at most this long and says what happened.
    pub fn poll(&mut self, now: Nanos, wait: Nanos) -> io::Result<Vec<SocketEvent>> {
        self.now = now;
        while self.lingering.front().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, token)) = self.lingering.pop_front() {
                self.drop_socket(token);
            }
        }
        while self.unproven.front().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, token)) = self.unproven.pop_front() {
                if self.peek(token).is_some_and(|s| s.unproven) {
                    self.notice(token, SocketEventKind::HandshakeTimeout);
                }
            }
        }
        if self.resting.is_some_and(|until| until <= now) {
            self.resting = None;
            self.arm_listeners(epoll::EventFlags::IN);
        }
        let wait = if self.pending.is_empty() { wait } else { 0 };
        let wait = if self.resting.is_some() { wait.min(ACCEPT_REST) } else { wait };
        let mut timeout =
            Timespec { tv_sec: (wait / 1_000_000_000) as i64, tv_nsec: (wait % 1_000_000_000) as i64 };
        let mut events: Vec<epoll::Event> = Vec::with_capacity(256);
        loop {
            match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut events), Some(&timeout)) {
                Ok(_) => break,
                // Timers are looked at after this: what had come before one of them is to be heard first.
                Err(Errno::INTR) => timeout = Timespec { tv_sec: 0, tv_nsec: 0 },
                Err(error) => return Err(error.into()),
            }
        }
        for event in events {
            self.ready(Token(event.data.u64()), event.flags);
        }
        let mut pending = std::mem::take(&mut self.pending);
        if !self.reserved.is_empty() {
            pending.sort_by_key(|notice| !self.peek(notice.token).is_some_and(|s| s.reserved));
        }
        Ok(pending)
    }

    fn ready(&mut self, token: Token, flags: epoll::EventFlags) {
        let Some(socket) = self.get(token) else { return };
        match socket.stage {
            Stage::Listening => return self.accept(token),
            Stage::Broken => return,
            Stage::Raw => {
                // Its end is found by reading.
                if flags != epoll::EventFlags::OUT {
                    self.notice(token, SocketEventKind::Readable);
                }
                if flags.contains(epoll::EventFlags::OUT) {
                    self.notice(token, SocketEventKind::OutputFlushed);
                }
                return;
            }
            Stage::Connecting => {
                if let Ok(Err(_)) | Err(_) = sockopt::socket_error(&socket.fd) {
                    return self.broken(token);
                }
                if !flags.contains(epoll::EventFlags::OUT) {
                    return;
                }
                socket.stage = Stage::Open;
                self.risen.push(token);
                return;
            }
            Stage::Open | Stage::Lingering => {
                let ended = socket.at_end;
                if flags.contains(epoll::EventFlags::IN) {
                    self.fill(token);
                } else if flags.contains(epoll::EventFlags::ERR)
                    || (ended && flags.contains(epoll::EventFlags::HUP))
                {
                    return self.broken(token);
                }
                if flags.contains(epoll::EventFlags::OUT) {
                    self.flush(token, true);
                }
            }
        }
        self.update_interest(token);
    }

    fn accept(&mut self, listener: Token) {
        let Some(reserved) = self.get(listener).map(|s| s.reserved) else { return };
        for _ in 0..if reserved { RESERVED_ACCEPTS } else { ACCEPTS } {
            let Some(socket) = self.get(listener) else { return };
            let owner = socket.owner;
            match rustix::net::accept_with(&socket.fd, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
                Ok(fd) => {
                    // Without it answers are late, no more.
                    let _ = sockopt::set_tcp_nodelay(&fd, true);
                    if let Ok(token) = self.insert(fd, owner, Stage::Open) {
                        self.pending.push(SocketEvent { token, owner, kind: SocketEventKind::Accepted });
                        if let Some(socket) = self.get(token) {
                            socket.unproven = !reserved;
                            socket.listener = Some(listener);
                            socket.reserved = reserved;
                        }
                        if reserved {
                            self.seat(token);
                            continue;
                        }
                        // Room is made by those before it: it has had no time to say anything yet.
                        self.reclaim_descriptors();
                        self.unproven.push_back((self.now + FIRST_WORD_WITHIN, token));
                    }
                }
                Err(Errno::AGAIN) => return,
                Err(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => {
                    // The system gives fewer than the configuration says.
                    if self.evict() {
                        continue;
                    }
                    // The listener stays readable: left armed, the loop would spin on it.
                    self.resting = Some(self.now + ACCEPT_REST);
                    crate::log::line(format_args!("accept-rests open={}", self.open));
                    return self.arm_listeners(epoll::EventFlags::empty());
                }
                // That connection is gone already; the next may not be.
                Err(_) => {}
            }
        }
    }

    /// Takes in a connection that has a descriptor set aside. It is read at once: a whole call is not one of
    /// those that make room.
    fn seat(&mut self, token: Token) {
        while self.reserved.len() >= self.reserve {
            let Some(idle) = self.reserved.pop_front() else { break };
            if let Some(socket) = self.peek(idle) {
                if socket.stage != Stage::Lingering {
                    self.pending.push(SocketEvent {
                        token: idle,
                        owner: socket.owner,
                        kind: SocketEventKind::Evicted,
                    });
                }
                self.drop_socket(idle);
            }
        }
        self.reserved.push_back(token);
        self.fill(token);
        self.update_interest(token);
    }

    fn arm_listeners(&mut self, interest: epoll::EventFlags) {
        for (index, (generation, socket)) in self.slots.iter_mut().enumerate() {
            if let Some(socket) = socket.as_mut().filter(|s| s.stage == Stage::Listening) {
                let closed = self.closed && matches!(socket.owner, SocketOwner::Front(_));
                let interest = if closed { epoll::EventFlags::empty() } else { interest };
                socket.interest = interest;
                let data = epoll::EventData::new_u64(token(*generation, index as u32).0);
                let _ = epoll::modify(&self.epoll, &socket.fd, data, interest);
            }
        }
    }

    fn fill(&mut self, token: Token) {
        let mut chunk = std::mem::take(&mut self.chunk);
        self.fill_by(token, &mut chunk);
        self.chunk = chunk;
    }

    fn fill_by(&mut self, token: Token, chunk: &mut [u8]) {
        let Some(socket) = self.get(token) else { return };
        let lingers = socket.stage == Stage::Lingering;
        let room = if lingers { READ_AHEAD } else { socket.ahead.saturating_sub(socket.input.len()) };
        let room = room.min(chunk.len());
        if room == 0 {
            return;
        }
        match read(&socket.fd, &mut chunk[..room]) {
            Ok(0) => {
                socket.at_end = true;
                if lingers && socket.finished {
                    return self.drop_socket(token);
                }
                self.notice(token, SocketEventKind::Readable);
            }
            Ok(count) if lingers => {
                socket.discard = socket.discard.saturating_sub(count);
                if socket.discard == 0 {
                    self.drop_socket(token);
                }
            }
            Ok(count) => {
                socket.input.extend_from_slice(&chunk[..count]);
                if socket.reserved {
                    self.reserved.retain(|other| *other != token);
                    self.reserved.push_back(token);
                }
                self.notice(token, SocketEventKind::Readable);
            }
            Err(Errno::AGAIN | Errno::INTR) => {}
            Err(_) => self.broken(token),
        }
    }

    /// Writes what can be written. Who is not in the middle of a call hears that it is all gone.
    fn flush(&mut self, token: Token, tell: bool) {
        let Some(socket) = self.get(token) else { return };
        let had = !socket.output.is_empty();
        while !socket.output.is_empty() {
            match write(&socket.fd, &socket.output) {
                Ok(count) => {
                    socket.written += count as u64;
                    if count == socket.output.len() && count > READ_AHEAD {
                        // What was large once is not kept: there may be many sockets.
                        socket.output = Vec::new();
                    } else {
                        socket.output.drain(..count);
                    }
                }
                Err(Errno::AGAIN) => return,
                Err(Errno::INTR) => {}
                Err(_) => return self.broken(token),
            }
        }
        if socket.finish && !socket.finished {
            socket.finished = true;
            // A peer that is gone already needs no end.
            let _ = rustix::net::shutdown(&socket.fd, Shutdown::Write);
            if socket.stage == Stage::Lingering && socket.at_end {
                return self.drop_socket(token);
            }
        }
        if had && tell {
            self.notice(token, SocketEventKind::OutputFlushed);
        }
    }

    /// A peer may answer and reset before it has read our line: what it said is taken first.
    fn broken(&mut self, token: Token) {
        let Some((generation, Some(socket))) = self.slots.get_mut(token.index()) else { return };
        if *generation != token.generation() || socket.stage == Stage::Broken {
            return;
        }
        if socket.stage == Stage::Lingering {
            return self.drop_socket(token);
        }
        let all_written = socket.stage != Stage::Connecting && socket.output.is_empty();
        let room = socket.ahead.min(self.chunk.len());
        if let Ok(count) = read(&socket.fd, &mut self.chunk[..room]) {
            socket.input.extend_from_slice(&self.chunk[..count]);
        }
        socket.stage = Stage::Broken;
        // It is in the set, so this cannot fail.
        let _ = epoll::delete(&self.epoll, &socket.fd);
        self.notice(token, SocketEventKind::Failed { all_written });
    }

    fn notice(&mut self, token: Token, kind: SocketEventKind) {
        if let Some(socket) = self.peek(token).filter(|s| s.stage != Stage::Lingering) {
            let owner = socket.owner;
            self.pending.push(SocketEvent { token, owner, kind });
        }
    }

    fn insert(&mut self, fd: OwnedFd, owner: SocketOwner, stage: Stage) -> io::Result<Token> {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push((0, None));
            (self.slots.len() - 1) as u32
        });
        let interest =
            if stage == Stage::Connecting { epoll::EventFlags::OUT } else { epoll::EventFlags::IN };
        let token = token(self.slots[index as usize].0, index);
        if let Err(error) = epoll::add(&self.epoll, &fd, epoll::EventData::new_u64(token.0), interest) {
            self.free.push(index);
            return Err(error.into());
        }
        let (input, output) = (Vec::new(), Vec::new());
        let (at_end, finish, finished, written) = (false, false, false, 0);
        let (unproven, discard, ahead) = (false, DISCARD, READ_AHEAD);
        let socket = Socket {
            fd,
            owner,
            stage,
            input,
            output,
            written,
            at_end,
            finish,
            finished,
            interest,
            unproven,
            discard,
            ahead,
            listener: None,
            reserved: false,
        };
        self.slots[index as usize].1 = Some(socket);
        self.open += 1;
        Ok(token)
    }

    fn drop_socket(&mut self, token: Token) {
        if self.peek(token).is_none() {
            return;
        }
        // Closing the last descriptor takes it out of the epoll set.
        if self.slots[token.index()].1.take().is_some_and(|socket| socket.reserved) {
            self.reserved.retain(|other| *other != token);
        }
        self.vacate(token);
    }

    /// The place of a socket that is gone is free.
    fn vacate(&mut self, token: Token) {
        let (generation, _) = &mut self.slots[token.index()];
        *generation = generation.wrapping_add(1);
        self.free.push(token.index() as u32);
        self.open -= 1;
    }

    fn peek(&self, token: Token) -> Option<&Socket> {
        let (generation, socket) = self.slots.get(token.index())?;
        socket.as_ref().filter(|_| *generation == token.generation())
    }

    fn get(&mut self, token: Token) -> Option<&mut Socket> {
        let (generation, socket) = self.slots.get_mut(token.index())?;
        socket.as_mut().filter(|_| *generation == token.generation())
    }
}

impl Token {
    #[cfg(test)]
    pub fn for_tests(number: u64) -> Token {
        Token(number)
    }

    fn index(self) -> usize {
        (self.0 & 0xffff_ffff) as usize
    }

    fn generation(self) -> u32 {
        (self.0 >> 32) as u32
    }
}

fn token(generation: u32, index: u32) -> Token {
    Token((u64::from(generation) << 32) | u64::from(index))
}

fn bound(fd: &OwnedFd) -> Result<SocketAddr, Errno> {
    SocketAddr::try_from(rustix::net::getsockname(fd)?).map_err(|_| Errno::AFNOSUPPORT)
}

fn socket(addr: SocketAddr) -> Result<OwnedFd, Errno> {
    let family = if addr.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    rustix::net::socket_with(family, SocketType::STREAM, flags, None)
}
