//! Edge-triggered polling of sockets.

use rustix::event::epoll;
use std::os::fd::{AsFd, OwnedFd};
use std::time::Duration;

/// The maximum number of events returned by one wait.
const MAX_EVENTS: usize = 1024;

/// An epoll instance. The caller assigns an index to each socket.
pub struct Poller(OwnedFd);

impl Poller {
    pub fn new() -> Poller {
        Poller(epoll::create(epoll::CreateFlags::CLOEXEC).expect("create an epoll instance"))
    }

    /// Registers a socket, to be polled for readability and writability.
    pub fn add(&self, socket: impl AsFd, index: usize) {
        let interest = epoll::EventFlags::IN | epoll::EventFlags::OUT | epoll::EventFlags::ET;
        epoll::add(&self.0, socket, epoll::EventData::new_u64(index as u64), interest)
            .expect("add the socket to epoll");
    }

    /// Waits until sockets are ready, for at most `timeout`. Returns their indexes.
    pub fn wait(&self, timeout: Duration) -> Vec<usize> {
        let mut events: Vec<epoll::Event> = Vec::with_capacity(MAX_EVENTS);
        let timeout = rustix::event::Timespec::try_from(timeout).expect("a timeout in range");
        let spare = rustix::buffer::spare_capacity(&mut events);
        let _ = epoll::wait(&self.0, spare, Some(&timeout));
        events.iter().map(|event| event.data.u64() as usize).collect()
    }
}
