//! Which sockets epoll watches, and for what.
//!
//! The system may refuse a change of the epoll set for lack of memory. Such a change is remembered and repeated in each
//! iteration of the event loop until it succeeds: a socket that epoll does not know of would never be read again.

use super::poller::{Poller, Readiness};
use super::slab::Token;
use super::system::Interest;
use rustix::io::Errno;
use std::io;
use std::os::fd::OwnedFd;
use std::time::Duration;

/// The event loop sleeps no longer than this while a change is to be repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// What one socket is watched for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Watch {
    interest: Interest,
    state: WatchState,
}

/// What epoll knows of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchState {
    /// The socket, with its interest.
    Current,
    /// Nothing: the socket is still to be added.
    AddRefused,
    /// The socket, with an older interest.
    ChangeRefused,
}

impl Watch {
    /// A socket that is to be watched for this.
    pub(super) fn new(interest: Interest) -> Watch {
        Watch { interest, state: WatchState::Current }
    }

    /// What the socket is to be watched for, whether or not epoll knows it yet.
    pub(super) fn interest(&self) -> Interest {
        self.interest
    }
}

/// The epoll instance, and the changes that it has refused.
pub(super) struct EpollSet {
    poller: Poller,
    /// Sockets whose last change was refused.
    refused: Vec<Token>,
    refused_changes: u64,
}

impl EpollSet {
    /// An epoll set without sockets.
    ///
    /// # Errors
    /// Where the system gives no epoll instance.
    pub(super) fn new() -> io::Result<EpollSet> {
        Ok(EpollSet { poller: Poller::new()?, refused: Vec::new(), refused_changes: 0 })
    }

    /// Starts to watch a socket.
    ///
    /// # Errors
    /// Where it cannot be watched at all; a shortage of memory is none.
    pub(super) fn add(&mut self, token: Token, fd: &OwnedFd, watch: &mut Watch) -> Result<(), Errno> {
        match self.poller.add(fd, token, watch.interest) {
            Err(error) if is_memory_shortage(error) => {
                self.remember_refused(token, watch, WatchState::AddRefused);
                Ok(())
            }
            added => added,
        }
    }

    /// Watches a socket for this from now on, or from the iteration on in which the system accepts the change.
    pub(super) fn change(&mut self, token: Token, fd: &OwnedFd, watch: &mut Watch, interest: Interest) {
        watch.interest = interest;
        if watch.state == WatchState::Current && self.poller.modify(fd, token, interest).is_err() {
            self.remember_refused(token, watch, WatchState::ChangeRefused);
        }
    }

    /// Stops watching a descriptor that stays open. Closing the last descriptor of a socket does the same.
    pub(super) fn delete(&self, fd: &OwnedFd) {
        self.poller.delete(fd);
    }

    /// Waits for at most `timeout`.
    ///
    /// # Errors
    /// Where epoll itself fails.
    pub(super) fn wait(&self, timeout: Duration) -> io::Result<impl Iterator<Item = Readiness>> {
        self.poller.wait(timeout)
    }

    /// Takes the sockets whose changes are to be repeated, each with [`EpollSet::retry`].
    pub(super) fn take_refused(&mut self) -> Vec<Token> {
        std::mem::take(&mut self.refused)
    }

    /// Repeats the refused change of a socket.
    pub(super) fn retry(&mut self, token: Token, fd: &OwnedFd, watch: &mut Watch) {
        let retried = match watch.state {
            WatchState::Current => return,
            WatchState::AddRefused => self.poller.add(fd, token, watch.interest),
            WatchState::ChangeRefused => self.poller.modify(fd, token, watch.interest),
        };
        match retried {
            Ok(()) => watch.state = WatchState::Current,
            Err(_) => self.refused.push(token),
        }
    }

    /// The time-out of a wait that must not outlast the interval between two repetitions.
    pub(super) fn limit_wait(&self, timeout: Duration) -> Duration {
        if self.refused.is_empty() {
            timeout
        } else {
            timeout.min(RETRY_INTERVAL)
        }
    }

    /// How many changes the system has refused, repetitions aside.
    pub(super) fn refused_changes(&self) -> u64 {
        self.refused_changes
    }

    fn remember_refused(&mut self, token: Token, watch: &mut Watch, state: WatchState) {
        watch.state = state;
        self.refused_changes += 1;
        self.refused.push(token);
    }
}

/// Whether the system is short of memory for the epoll set, which passes; any other error is permanent.
fn is_memory_shortage(error: Errno) -> bool {
    matches!(error, Errno::NOMEM | Errno::NOSPC)
}
