//! Waits for sockets, edge-triggered.

use rustix::event::epoll;
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

/// The most events taken in one wait.
const MAX_EVENTS: usize = 1024;

/// An epoll instance whose sockets are numbered by the caller.
pub struct Poller(OwnedFd);

impl Poller {
    pub fn new() -> Poller {
        Poller(epoll::create(epoll::CreateFlags::CLOEXEC).expect("an epoll"))
    }

    /// Watches a socket for input and for space to write.
    pub fn add(&self, socket: impl AsFd, index: usize) {
        let interest = epoll::EventFlags::IN | epoll::EventFlags::OUT | epoll::EventFlags::ET;
        epoll::add(&self.0, socket, epoll::EventData::new_u64(index as u64), interest).expect("added");
    }

    /// The indexes of the sockets that are ready, after at most this time.
    pub fn wait(&self, timeout: Duration) -> Vec<usize> {
        let mut events: Vec<epoll::Event> = Vec::with_capacity(MAX_EVENTS);
        let timeout = rustix::event::Timespec::try_from(timeout).expect("a short time");
        let spare = rustix::buffer::spare_capacity(&mut events);
        let _ = epoll::wait(&self.0, spare, Some(&timeout));
        events.iter().map(|event| event.data.u64() as usize).collect()
    }
}
