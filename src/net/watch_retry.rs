//! Changes of the epoll set that the system refuses for want of memory. They are remembered, and tried again each iteration
//! until they succeed: a socket that epoll does not know of would never be read again.

use super::poller::Interest;
use super::reactor::SocketReactor;
use super::slab::Token;
use rustix::io::Errno;
use std::time::Duration;

/// A turn sleeps no longer than this while a change waits.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// What epoll knows of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatchState {
    /// The socket, with its interest.
    Current,
    /// Nothing: the socket is still to be added.
    AddRefused,
    /// The socket, with an older interest.
    ChangeRefused,
}

/// Whether the system is short of memory for the epoll set, which passes; any other error is for good.
pub(super) fn is_watch_shortage(error: Errno) -> bool {
    matches!(error, Errno::NOMEM | Errno::NOSPC)
}

impl SocketReactor {
    /// Watches a socket for this from now on, or from the iteration on in which the system takes the change.
    pub(super) fn change_interest(&mut self, token: Token, interest: Interest) {
        let Some(socket) = self.sockets.get_mut(token) else { return };
        socket.interest = interest;
        if socket.watch != WatchState::Current {
            return;
        }
        if self.poller.modify(&socket.fd, token, interest).is_err() {
            socket.watch = WatchState::ChangeRefused;
            self.shortages.refused_watches += 1;
            self.refused_watches.push(token);
        }
    }

    /// Tries again what the system has refused.
    pub(super) fn retry_refused_watches(&mut self) {
        for token in std::mem::take(&mut self.refused_watches) {
            let Some(socket) = self.sockets.get_mut(token) else { continue };
            let retried = match socket.watch {
                WatchState::Current => continue,
                WatchState::AddRefused => self.poller.add(&socket.fd, token, socket.interest),
                WatchState::ChangeRefused => self.poller.modify(&socket.fd, token, socket.interest),
            };
            match retried {
                Ok(()) => socket.watch = WatchState::Current,
                Err(_) => self.refused_watches.push(token),
            }
        }
    }

    /// The time-out of a wait that must not outlast the interval between two tries.
    pub(super) fn limit_by_refused_watches(&self, timeout: Duration) -> Duration {
        if self.refused_watches.is_empty() {
            timeout
        } else {
            timeout.min(RETRY_INTERVAL)
        }
    }
}
