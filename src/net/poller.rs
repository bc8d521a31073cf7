//! The epoll instance that watches every socket, level-triggered.

use super::slab::Token;
use super::system::{self, Interest};
use rustix::event::{epoll, Timespec};
use rustix::io::Errno;
use std::io;
use std::os::fd::OwnedFd;
use std::time::Duration;

/// How many events one wait yields at most.
const EVENTS_PER_WAIT: usize = 256;

/// A descriptor that is ready.
pub(super) struct Readiness {
    pub(super) token: Token,
    pub(super) flags: Interest,
}

/// An epoll instance.
pub(super) struct Poller {
    epoll: OwnedFd,
}

impl Poller {
    /// Creates the epoll instance.
    pub(super) fn new() -> io::Result<Poller> {
        Ok(Poller { epoll: epoll::create(epoll::CreateFlags::CLOEXEC)? })
    }

    /// Starts to watch a descriptor.
    pub(super) fn add(&self, fd: &OwnedFd, token: Token, interest: Interest) -> Result<(), Errno> {
        system::epoll_add(&self.epoll, fd, token, interest)
    }

    /// Changes what a watched descriptor is watched for.
    pub(super) fn modify(&self, fd: &OwnedFd, token: Token, interest: Interest) -> Result<(), Errno> {
        system::epoll_modify(&self.epoll, fd, token, interest)
    }

    /// Stops watching a descriptor that stays open. Closing the last descriptor of a socket does the same.
    pub(super) fn delete(&self, fd: &OwnedFd) {
        // The descriptor was added, so this cannot fail.
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
                // The caller runs timers next: what arrived before one of them is to be handled first.
                Err(Errno::INTR) => timeout = Timespec { tv_sec: 0, tv_nsec: 0 },
                Err(error) => return Err(error.into()),
            }
        }
        let readiness =
            |event: epoll::Event| Readiness { token: Token::from_raw(event.data.u64()), flags: event.flags };
        Ok(events.into_iter().map(readiness))
    }
}
