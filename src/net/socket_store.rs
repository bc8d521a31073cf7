//! The store of all sockets. Adding or removing a socket also updates the epoll set, the reserved descriptors
//! and the queue of events.

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
    /// Creates an empty store, for a process that may open `descriptor_limit` descriptors.
    ///
    /// # Errors
    /// Returns an error if the epoll instance cannot be created.
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

    /// Sets the time of the poll that is starting.
    pub(super) fn set_now(&mut self, now: MonotonicTime) {
        self.now = now;
    }

    /// Adds a socket and registers it with epoll.
    ///
    /// # Errors
    /// Returns an error if epoll cannot watch the socket.
    pub(super) fn insert(
        &mut self,
        fd: OwnedFd,
        owner: SocketOwner,
        state: SocketState,
    ) -> Result<Token, Errno> {
        let epoll = &mut self.epoll;
        self.sockets.insert_with(|token| {
            let mut socket = Socket::new(fd, owner, state);
            epoll.add(token, &socket.fd, &mut socket.registration)?;
            Ok(socket)
        })
    }

    /// Returns the socket of a token, or `None` if the token is no longer valid.
    pub(super) fn get(&self, token: Token) -> Option<&Socket> {
        self.sockets.get(token)
    }

    /// Like [`SocketStore::get`], but mutable. A caller that changes the buffers or the state calls
    /// [`SocketStore::update_interest`] afterwards.
    pub(super) fn get_mut(&mut self, token: Token) -> Option<&mut Socket> {
        self.sockets.get_mut(token)
    }

    /// Number of sockets, each of which uses one descriptor.
    pub(super) fn len(&self) -> usize {
        self.sockets.len()
    }

    /// All sockets, in slot order.
    pub(super) fn values(&self) -> impl Iterator<Item = &Socket> {
        self.sockets.values()
    }

    /// Returns the tokens of all sockets that match a predicate, in slot order.
    pub(super) fn tokens_where(&mut self, predicate: impl Fn(&Socket) -> bool) -> Vec<Token> {
        let sockets = self.sockets.iter_mut();
        sockets.filter(|(_, socket)| predicate(socket)).map(|(token, _)| token).collect()
    }

    /// Closes a socket, which also removes it from the epoll set, and invalidates its token.
    pub(super) fn close(&mut self, token: Token) {
        if self.sockets.remove(token).is_some_and(|socket| socket.uses_reserve()) {
            self.descriptors.reserve_mut().remove(token);
        }
    }

    /// Removes a socket without closing its descriptor, and invalidates its token.
    pub(super) fn remove(&mut self, token: Token) -> Option<Socket> {
        let socket = self.sockets.remove(token)?;
        // Another process holds the socket open too, so closing our descriptor would not remove it from the
        // epoll set.
        self.epoll.delete(&socket.fd);
        Some(socket)
    }

    /// Queues an event of a socket, unless the owner has already closed the socket.
    pub(super) fn emit(&mut self, token: Token, kind: SocketEventKind) {
        if let Some(socket) = self.sockets.get(token) {
            self.events.push(token, socket, kind);
        }
    }

    /// Takes all queued events, in order of occurrence.
    pub(super) fn take_events(&mut self) -> Vec<SocketEvent> {
        self.events.take()
    }

    /// Takes all queued events, those of sockets on reserved descriptors first.
    pub(super) fn take_events_reserved_first(&mut self) -> Vec<SocketEvent> {
        let mut events = self.events.take();
        if !self.descriptors.reserve().is_unused() {
            let uses_reserve = |token| self.sockets.get(token).is_some_and(|socket| socket.uses_reserve());
            events.sort_by_key(|event| !uses_reserve(event.token));
        }
        events
    }

    /// Number of queued events.
    pub(super) fn pending_event_count(&self) -> usize {
        self.events.len()
    }

    /// The descriptor limit and the reserve.
    pub(super) fn descriptors_mut(&mut self) -> &mut DescriptorBudget {
        &mut self.descriptors
    }

    /// Whether descriptors are short, in which case new clients are rejected.
    pub(super) fn is_short_of_descriptors(&self) -> bool {
        self.descriptors.is_short(self.sockets.len())
    }

    /// Whether a descriptor is available for one more attempt.
    pub(super) fn has_descriptor_for_attempt(&self) -> bool {
        self.descriptors.has_descriptor_for_attempt(self.sockets.len())
    }

    /// Waits for at most `timeout`.
    ///
    /// # Errors
    /// Returns an error if epoll itself fails.
    pub(super) fn wait(&self, timeout: Duration) -> io::Result<impl Iterator<Item = Readiness>> {
        self.epoll.wait(timeout)
    }

    /// Sets the epoll interest of a socket.
    pub(super) fn change_interest(&mut self, token: Token, interest: Interest) {
        if let Some(socket) = self.sockets.get_mut(token) {
            self.epoll.change(token, &socket.fd, &mut socket.registration, interest);
        }
    }

    /// Updates the epoll interest of a socket to match its buffers and state.
    pub(super) fn update_interest(&mut self, token: Token) {
        let Some(socket) = self.sockets.get_mut(token) else { return };
        if matches!(socket.state(), SocketState::Failed | SocketState::Raw) {
            return;
        }
        let interest = socket.required_interest();
        if interest != socket.registration.interest() {
            self.epoll.change(token, &socket.fd, &mut socket.registration, interest);
        }
    }

    /// Permanently removes a socket from the epoll set. The socket stays in the store.
    pub(super) fn deregister(&self, token: Token) {
        if let Some(socket) = self.sockets.get(token) {
            self.epoll.delete(&socket.fd);
        }
    }

    /// Retries the changes of the epoll set that the kernel refused.
    pub(super) fn retry_refused_changes(&mut self) {
        for token in self.epoll.take_pending_retries() {
            if let Some(socket) = self.sockets.get_mut(token) {
                self.epoll.retry(token, &socket.fd, &mut socket.registration);
            }
        }
    }

    /// Caps the time-out of a wait, so that refused changes are retried in time.
    pub(super) fn cap_timeout(&self, timeout: Duration) -> Duration {
        self.epoll.cap_timeout(timeout)
    }

    /// Number of changes of the epoll set that the kernel refused, not counting retries.
    pub(super) fn refused_changes(&self) -> u64 {
        self.epoll.refused_changes()
    }
}
