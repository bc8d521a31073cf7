//! What is known of the newest process of one node.

use super::{Rule, ServerNotice, DRAIN_GRACE};
use std::collections::HashMap;
use std::time::{Duration, Instant};

#[derive(Debug)]
struct Stall {
    ends_at: Instant,
    duration: Duration,
}

#[derive(Debug, Default)]
pub(super) struct ProcessRecord {
    /// Rises with each process.
    pub(super) incarnation: u64,
    pub(super) is_killed: bool,
    /// By server: when this process was notified to send it nothing new.
    stop_notices: HashMap<usize, Instant>,
    /// Stops of the process that the rules do not allow for.
    stalls: Vec<Stall>,
}

impl ProcessRecord {
    /// A new process starts.
    pub(super) fn restart(&mut self) {
        *self = ProcessRecord { incarnation: self.incarnation + 1, ..ProcessRecord::default() };
    }

    /// What was sent to the process before does not count any more.
    pub(super) fn suspend(&mut self) {
        self.incarnation += 1;
        self.is_killed = true;
    }

    pub(super) fn add_stall(&mut self, duration: Duration) {
        self.stalls.push(Stall { ends_at: Instant::now() + duration, duration });
    }

    pub(super) fn stalled_since(&self, since: Instant) -> Duration {
        let stalls = self.stalls.iter().filter(|stall| stall.ends_at > since);
        stalls.map(|stall| stall.duration).sum()
    }

    pub(super) fn on_notified(&mut self, server: usize, notice: ServerNotice) {
        match notice {
            ServerNotice::Ready => drop(self.stop_notices.remove(&server)),
            ServerNotice::Stop => {
                self.stop_notices.entry(server).or_insert_with(Instant::now);
            }
        }
    }

    /// The rule that an attempt at a server breaks, if this process was notified of its drain long enough ago.
    pub(super) fn check_drain(
        &self,
        node: usize,
        id: &str,
        server: usize,
        lateness: Duration,
    ) -> Option<(Rule, String)> {
        let notified_at = *self.stop_notices.get(&server)?;
        let elapsed = notified_at.elapsed();
        let limit = DRAIN_GRACE + lateness + self.stalled_since(notified_at);
        let detail = || format!("node {node} sent {id} to server {server} {elapsed:?} after it was notified");
        (elapsed > limit).then(|| (Rule::Drain, detail()))
    }
}
