//! The epoll set: which sockets epoll watches, and for which events.
//!
//! The kernel may refuse a change of the set for lack of memory. Such a change is recorded and retried in
//! every iteration of the event loop until it succeeds, because a socket that is missing from the set would
//! never be read again.

use super::poller::{Poller, Readiness};
use super::slab::Token;
use super::system::Interest;
use rustix::io::Errno;
use std::io;
use std::os::fd::OwnedFd;
use std::time::Duration;

/// Longest sleep of the event loop while a refused change is to be retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The epoll interest of one socket.
#[derive(Clone, Copy, Debug)]
pub(super) struct EpollRegistration {
    interest: Interest,
    state: RegistrationState,
}

/// Whether the kernel's registration of a socket matches the requested interest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RegistrationState {
    /// The socket is registered with its current interest.
    Current,
    /// The socket is not registered: adding it was refused.
    AddPending,
    /// The socket is registered with an outdated interest: the change was refused.
    ModifyPending,
}

impl EpollRegistration {
    /// Creates the state of a socket that is to be registered with this interest.
    pub(super) fn new(interest: Interest) -> EpollRegistration {
        EpollRegistration { interest, state: RegistrationState::Current }
    }

    /// The requested interest, which the kernel may not have accepted yet.
    pub(super) fn interest(&self) -> Interest {
        self.interest
    }
}

/// The epoll instance and the changes that the kernel has refused.
pub(super) struct EpollSet {
    poller: Poller,
    /// Sockets whose last change was refused.
    pending_retries: Vec<Token>,
    refused_changes: u64,
}

impl EpollSet {
    /// Creates an epoll set without sockets.
    ///
    /// # Errors
    /// Returns an error if the epoll instance cannot be created.
    pub(super) fn new() -> io::Result<EpollSet> {
        Ok(EpollSet { poller: Poller::new()?, pending_retries: Vec::new(), refused_changes: 0 })
    }

    /// Registers a socket with its requested interest.
    ///
    /// # Errors
    /// Returns an error if epoll cannot watch the socket. A shortage of memory is not an error: the
    /// socket is added later.
    pub(super) fn add(
        &mut self,
        token: Token,
        fd: &OwnedFd,
        registration: &mut EpollRegistration,
    ) -> Result<(), Errno> {
        match self.poller.add(fd, token, registration.interest) {
            Err(error) if is_memory_shortage(error) => {
                self.queue_retry(token, registration, RegistrationState::AddPending);
                Ok(())
            }
            added => added,
        }
    }

    /// Changes the interest of a socket. If the kernel refuses, the change takes effect once a retry
    /// succeeds.
    pub(super) fn change(
        &mut self,
        token: Token,
        fd: &OwnedFd,
        registration: &mut EpollRegistration,
        interest: Interest,
    ) {
        registration.interest = interest;
        if registration.state == RegistrationState::Current
            && self.poller.modify(fd, token, interest).is_err()
        {
            self.queue_retry(token, registration, RegistrationState::ModifyPending);
        }
    }

    /// Stops watching a descriptor that stays open. Closing the last descriptor of a socket has the same
    /// effect.
    pub(super) fn delete(&self, fd: &OwnedFd) {
        self.poller.delete(fd);
    }

    /// Waits for at most `timeout`.
    ///
    /// # Errors
    /// Returns an error if epoll itself fails.
    pub(super) fn wait(&self, timeout: Duration) -> io::Result<impl Iterator<Item = Readiness>> {
        self.poller.wait(timeout)
    }

    /// Takes the sockets whose changes are to be retried; the caller passes each to [`EpollSet::retry`].
    pub(super) fn take_pending_retries(&mut self) -> Vec<Token> {
        std::mem::take(&mut self.pending_retries)
    }

    /// Retries the refused change of a socket.
    pub(super) fn retry(&mut self, token: Token, fd: &OwnedFd, registration: &mut EpollRegistration) {
        let retried = match registration.state {
            RegistrationState::Current => return,
            RegistrationState::AddPending => self.poller.add(fd, token, registration.interest),
            RegistrationState::ModifyPending => self.poller.modify(fd, token, registration.interest),
        };
        match retried {
            Ok(()) => registration.state = RegistrationState::Current,
            Err(_) => self.pending_retries.push(token),
        }
    }

    /// Caps the time-out of a wait, so that refused changes are retried in time.
    pub(super) fn cap_timeout(&self, timeout: Duration) -> Duration {
        if self.pending_retries.is_empty() {
            timeout
        } else {
            timeout.min(RETRY_INTERVAL)
        }
    }

    /// Number of changes that the kernel refused, not counting retries.
    pub(super) fn refused_changes(&self) -> u64 {
        self.refused_changes
    }

    fn queue_retry(&mut self, token: Token, registration: &mut EpollRegistration, state: RegistrationState) {
        registration.state = state;
        self.refused_changes += 1;
        self.pending_retries.push(token);
    }
}

/// Whether the kernel is temporarily short of memory for the epoll set. Any other error is permanent.
fn is_memory_shortage(error: Errno) -> bool {
    matches!(error, Errno::NOMEM | Errno::NOSPC)
}
