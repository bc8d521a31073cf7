//! Injects one fault after another. The number of a fault determines its kind and its server.

use crate::servers::{Mode, Server};
use sparbank_test_support::{ListKind, Peer, TestNode};
use std::sync::Arc;
use std::time::Duration;

const FAULT_INTERVAL: Duration = Duration::from_millis(200);
/// Upper limit on the servers that are `Hung` or `Dead` at a time, and on those that drain.
const MAX_FAULTY_SERVERS: usize = 2;
/// After this many faults, an empty list is sent on the watch as a heartbeat.
const FAULTS_PER_HEARTBEAT: u64 = 5;

/// Injects the faults of a run.
pub struct FaultInjector {
    /// The connection of the node's watch, on the side of discovery.
    watch: Peer,
    /// Number of the latest fault.
    step: u64,
}

impl FaultInjector {
    pub fn new(watch: Peer) -> FaultInjector {
        FaultInjector { watch, step: 0 }
    }

    /// Waits for the time of the next fault, and injects it. The server recovers instead if it has such a fault already, if
    /// the limits allow no further one, or if the number of the fault selects a recovery.
    pub fn wait_and_inject(&mut self, bench: &mut TestNode, servers: &[Arc<Server>]) {
        self.step += 1;
        std::thread::sleep(FAULT_INTERVAL);
        let fault = mix(self.step) % 4;
        let number = (mix(self.step * 77) % servers.len() as u64) as usize;
        let server = &servers[number];
        let may_fail = server.mode() == Mode::Up
            && servers.iter().filter(|server| server.mode() != Mode::Up).count() < MAX_FAULTY_SERVERS;
        let may_drain = !server.is_draining()
            && servers.iter().filter(|server| server.is_draining()).count() < MAX_FAULTY_SERVERS;
        match fault {
            0 if may_fail => server.set_mode(Mode::Hung),
            1 if may_fail => server.set_mode(Mode::Dead),
            2 if may_drain => {
                bench.update_lifecycle(&mut self.watch, number, "draining");
                server.on_drain_announced();
            }
            _ => self.recover(bench, server, number),
        }
        if self.step.is_multiple_of(FAULTS_PER_HEARTBEAT) {
            bench.send_endpoints(&mut self.watch, ListKind::Incremental, "");
        }
    }

    fn recover(&mut self, bench: &mut TestNode, server: &Server, number: usize) {
        server.set_mode(Mode::Up);
        if server.is_draining() {
            server.end_drain();
            bench.update_lifecycle(&mut self.watch, number, "ready");
        }
    }
}

/// The finalizer of splitmix64: a pseudorandom number that is the same in each run.
fn mix(seed: u64) -> u64 {
    let x = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
