//! The faults of a run: one after another, each at a server that its number gives.

use crate::servers::{Mode, Server};
use sparbank_test_support::{Bench, ListKind, Peer};
use std::sync::Arc;
use std::time::Duration;

const FAULT_INTERVAL: Duration = Duration::from_millis(200);
/// No more servers than this are hung or dead, and no more than this drain.
const MAX_FAULTY_SERVERS: usize = 2;
/// Every so many faults an empty list shows that discovery is alive.
const FAULTS_PER_HEARTBEAT: u64 = 5;

/// Injects the faults of a run.
pub struct FaultInjector {
    /// Discovery's end of the node's watch.
    watch: Peer,
    step: u64,
}

impl FaultInjector {
    pub fn new(watch: Peer) -> FaultInjector {
        FaultInjector { watch, step: 0 }
    }

    /// Waits for the time of the next fault, and injects it. A server that has a fault already recovers instead.
    pub fn wait_and_inject(&mut self, bench: &mut Bench, servers: &[Arc<Server>]) {
        self.step += 1;
        std::thread::sleep(FAULT_INTERVAL);
        let fault = scrambled(self.step) % 4;
        let number = (scrambled(self.step * 77) % servers.len() as u64) as usize;
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

    fn recover(&mut self, bench: &mut Bench, server: &Server, number: usize) {
        server.set_mode(Mode::Up);
        if server.is_draining() {
            server.end_drain();
            bench.update_lifecycle(&mut self.watch, number, "ready");
        }
    }
}

/// A number from a number (splitmix64), so that the faults are the same in each run.
fn scrambled(seed: u64) -> u64 {
    let x = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
