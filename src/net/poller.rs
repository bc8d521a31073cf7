//! Wrapper around the epoll instance. All sockets are watched level-triggered.

use super::slab::Token;
use super::system::{self, Interest};
use rustix::event::{epoll, Timespec};
use rustix::io::Errno;
use std::io;
use std::os::fd::OwnedFd;
use std::time::Duration;

/// Maximum number of events returned by one wait.
const EVENTS_PER_WAIT: usize = 256;

/// A descriptor that epoll reported as ready.
pub(super) struct Readiness {
    pub(super) token: Token,
    pub(super) flags: Interest,
}

pub(super) struct Poller {
    epoll: OwnedFd,
}

impl Poller {
    /// Creates the epoll instance.
    pub(super) fn new() -> io::Result<Poller> {
        Ok(Poller { epoll: epoll::create(epoll::CreateFlags::CLOEXEC)? })
    }

    /// Starts watching a descriptor.
    pub(super) fn add(&self, fd: &OwnedFd, token: Token, interest: Interest) -> Result<(), Errno> {
        system::epoll_add(&self.epoll, fd, token, interest)
    }

    /// Changes the interest of a watched descriptor.
    pub(super) fn modify(&self, fd: &OwnedFd, token: Token, interest: Interest) -> Result<(), Errno> {
        system::epoll_modify(&self.epoll, fd, token, interest)
    }

    /// Stops watching a descriptor that stays open. Closing the last descriptor of a socket has the same
    /// effect.
    pub(super) fn delete(&self, fd: &OwnedFd) {
        // Cannot fail, as the descriptor is registered.
        let _ = epoll::delete(&self.epoll, fd);
    }

    /// Waits for at most `timeout`.
    pub(super) fn wait(&self, timeout: Duration) -> io::Result<impl Iterator<Item = Readiness>> {
        let mut timeout =
            Timespec { tv_sec: timeout.as_secs() as i64, tv_nsec: i64::from(timeout.subsec_nanos()) };
        let mut events: Vec<epoll::Event> = Vec::with_capacity(EVENTS_PER_WAIT);
        loop {
            match epoll::wait(&self.epoll, rustix::buffer::spare_capacity(&mut events), Some(&timeout)) {
                Ok(_) => break,
                // Poll once more without waiting: the caller runs timers next, and input that arrived before
                // a timer expired must be handled before it.
                Err(Errno::INTR) => timeout = Timespec { tv_sec: 0, tv_nsec: 0 },
                Err(error) => return Err(error.into()),
            }
        }
        let readiness =
            |event: epoll::Event| Readiness { token: Token::from_raw(event.data.u64()), flags: event.flags };
        Ok(events.into_iter().map(readiness))
    }
}
