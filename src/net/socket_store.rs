//! All sockets, with what has to change whenever a socket is added or removed: the epoll set, the
//! reserved descriptors and the pending events.

use super::descriptors::DescriptorBudget;
use super::epoll_set::EpollSet;
use super::event::{SocketEvent, SocketEventKind, SocketOwner};
use super::event_queue::EventQueue;
use super::poller::Readiness;
use super::slab::{Slab, Token};
use super::socket::{Socket, SocketState};
use super::system::Interest;
use rustix::io::Errno;
use sparbank_time::MonotonicTime;
use std::io;
use std::os::fd::OwnedFd;
use std::time::Duration;

/// All sockets, by token.
pub(super) struct SocketStore {
    sockets: Slab<Socket>,
    epoll: EpollSet,
    descriptors: DescriptorBudget,
    events: EventQueue,
    /// The time of the last poll.
    now: MonotonicTime,
}

impl SocketStore {
    /// No sockets yet, for a process that may have this many descriptors.
    ///
    /// # Errors
    /// Where the system gives no epoll instance.
    pub(super) fn new(descriptor_limit: usize) -> io::Result<SocketStore> {
        Ok(SocketStore {
            sockets: Slab::new(),
            epoll: EpollSet::new()?,
            descriptors: DescriptorBudget::new(descriptor_limit),
            events: EventQueue::default(),
            now: MonotonicTime::ZERO,
        })
    }

    /// The time of the last poll.
    pub(super) fn now(&self) -> MonotonicTime {
        self.now
    }

    /// Sets the time of the poll that begins.
    pub(super) fn set_now(&mut self, now: MonotonicTime) {
        self.now = now;
    }

    // ---- Sockets -------------------------------------------------------------------------------

    /// Adds a socket and watches it.
    ///
    /// # Errors
    /// Where epoll cannot watch it.
    pub(super) fn insert(
        &mut self,
        fd: OwnedFd,
        owner: SocketOwner,
        state: SocketState,
    ) -> Result<Token, Errno> {
        let epoll = &mut self.epoll;
        self.sockets.insert_with(|token| {
            let mut socket = Socket::new(fd, owner, state);
            epoll.add(token, &socket.fd, &mut socket.watch)?;
            Ok(socket)
        })
    }

    /// The socket of a valid token.
    pub(super) fn get(&self, token: Token) -> Option<&Socket> {
        self.sockets.get(token)
    }

    /// The same, to change it. [`SocketStore::update_interest`] follows where its buffers or its state change.
    pub(super) fn get_mut(&mut self, token: Token) -> Option<&mut Socket> {
        self.sockets.get_mut(token)
    }

    /// The number of sockets.
    pub(super) fn len(&self) -> usize {
        self.sockets.len()
    }

    /// All sockets, in the order of their slots.
    pub(super) fn values(&self) -> impl Iterator<Item = &Socket> {
        self.sockets.values()
    }

    /// The sockets to which this applies, in the order of their slots.
    pub(super) fn tokens_where(&mut self, applies: impl Fn(&Socket) -> bool) -> Vec<Token> {
        let sockets = self.sockets.iter_mut();
        sockets.filter(|(_, socket)| applies(socket)).map(|(token, _)| token).collect()
    }

    /// Closes a descriptor, which takes it out of the epoll set, and invalidates its token.
    pub(super) fn close(&mut self, token: Token) {
        if self.sockets.remove(token).is_some_and(|socket| socket.uses_reserve()) {
            self.descriptors.reserve_mut().remove(token);
        }
    }

    /// Takes a socket out without closing its descriptor, and invalidates its token.
    pub(super) fn remove(&mut self, token: Token) -> Option<Socket> {
        let socket = self.sockets.remove(token)?;
        // Another process has the socket open: closing ours would not take it out of the epoll set.
        self.epoll.delete(&socket.fd);
        Some(socket)
    }

    // ---- Events --------------------------------------------------------------------------------

    /// Queues an event of a socket, unless its owner has closed it.
    pub(super) fn emit(&mut self, token: Token, kind: SocketEventKind) {
        if let Some(socket) = self.sockets.get(token) {
            self.events.push(token, socket, kind);
        }
    }

    /// Takes all events, in the order in which they happened.
    pub(super) fn take_events(&mut self) -> Vec<SocketEvent> {
        self.events.take()
    }

    /// Takes all events, those of sockets on reserved descriptors first.
    pub(super) fn take_events_reserved_first(&mut self) -> Vec<SocketEvent> {
        let mut events = self.events.take();
        if !self.descriptors.reserve().is_unused() {
            let uses_reserve = |token| self.sockets.get(token).is_some_and(|socket| socket.uses_reserve());
            events.sort_by_key(|event| !uses_reserve(event.token));
        }
        events
    }

    /// The number of events.
    pub(super) fn event_count(&self) -> usize {
        self.events.len()
    }

    // ---- Descriptors ---------------------------------------------------------------------------

    /// The descriptor limit and the reserve.
    pub(super) fn descriptors_mut(&mut self) -> &mut DescriptorBudget {
        &mut self.descriptors
    }

    /// Whether descriptors run short: new clients are to be rejected.
    pub(super) fn is_short_of_descriptors(&self) -> bool {
        self.descriptors.is_short(self.sockets.len())
    }

    /// Whether one more attempt may have a descriptor.
    pub(super) fn has_descriptor_for_attempt(&self) -> bool {
        self.descriptors.has_one_for_attempt(self.sockets.len())
    }

    // ---- Epoll ---------------------------------------------------------------------------------

    /// Waits for at most `timeout`.
    ///
    /// # Errors
    /// Where epoll itself fails.
    pub(super) fn wait(&self, timeout: Duration) -> io::Result<impl Iterator<Item = Readiness>> {
        self.epoll.wait(timeout)
    }

    /// Watches a socket for this.
    pub(super) fn change_interest(&mut self, token: Token, interest: Interest) {
        if let Some(socket) = self.sockets.get_mut(token) {
            self.epoll.change(token, &socket.fd, &mut socket.watch, interest);
        }
    }

    /// Watches a socket for what its buffers allow.
    pub(super) fn update_interest(&mut self, token: Token) {
        let Some(socket) = self.sockets.get_mut(token) else { return };
        if matches!(socket.state(), SocketState::Failed | SocketState::Raw) {
            return;
        }
        let interest = socket.wanted_interest();
        if interest != socket.watch.interest() {
            self.epoll.change(token, &socket.fd, &mut socket.watch, interest);
        }
    }

    /// Stops watching a socket for good.
    pub(super) fn unwatch(&self, token: Token) {
        if let Some(socket) = self.sockets.get(token) {
            self.epoll.delete(&socket.fd);
        }
    }

    /// Repeats the changes that the system has refused.
    pub(super) fn retry_refused_changes(&mut self) {
        for token in self.epoll.take_refused() {
            if let Some(socket) = self.sockets.get_mut(token) {
                self.epoll.retry(token, &socket.fd, &mut socket.watch);
            }
        }
    }

    /// The time-out of a wait that must not outlast the interval between two repetitions.
    pub(super) fn limit_wait(&self, timeout: Duration) -> Duration {
        self.epoll.limit_wait(timeout)
    }

    /// How many changes the system has refused, repetitions aside.
    pub(super) fn refused_changes(&self) -> u64 {
        self.epoll.refused_changes()
    }
}
