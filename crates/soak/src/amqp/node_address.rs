//! Where the clients find the node, which listens at another address after each restart.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Interval between checks whether the node has restarted.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// One process of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// The number of restarts before it.
    pub number: u64,
    /// The address of its AMQP listener.
    pub address: SocketAddr,
}

/// The address of the node's newest process.
pub struct NodeAddress(Mutex<State>);

struct State {
    number: u64,
    /// `None` while the node restarts.
    address: Option<SocketAddr>,
}

impl NodeAddress {
    /// Creates the address of the node's first process.
    pub fn new(address: SocketAddr) -> NodeAddress {
        NodeAddress(Mutex::new(State { number: 0, address: Some(address) }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The newest process is about to be killed or shut down: its connections may end from now on.
    pub fn set_down(&self) {
        let mut state = self.state();
        state.number += 1;
        state.address = None;
    }

    /// The next process listens at this address.
    pub fn set_up(&self, address: SocketAddr) {
        self.state().address = Some(address);
    }

    /// Whether a process has ended, or is about to.
    pub fn has_ended(&self, incarnation: Incarnation) -> bool {
        self.state().number != incarnation.number
    }

    /// The newest process. Waits while the node restarts.
    pub fn wait_for_node(&self) -> Incarnation {
        loop {
            let State { number, address } = *self.state();
            if let Some(address) = address {
                return Incarnation { number, address };
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
