//! The state that the checker tracks for the newest process of a node.

use super::{Rule, ServerNotice, DRAIN_GRACE};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A stop of the process that is longer than the rules allow.
#[derive(Debug)]
struct Stall {
    ends_at: Instant,
    duration: Duration,
}

#[derive(Debug, Default)]
pub(super) struct ProcessRecord {
    /// Increases with each process.
    pub(super) incarnation: u64,
    pub(super) is_killed: bool,
    /// Whether the process has been told to end.
    pub(super) is_shutting_down: bool,
    /// The earlier incarnations that were killed.
    killed: Vec<u64>,
    /// By server: when this process was notified that the server must get no new requests.
    stop_notices: HashMap<usize, Instant>,
    stalls: Vec<Stall>,
}

impl ProcessRecord {
    /// Starts the record of a new process.
    pub(super) fn restart(&mut self) {
        let mut killed = std::mem::take(&mut self.killed);
        killed.extend(self.is_killed.then_some(self.incarnation));
        *self = ProcessRecord { incarnation: self.incarnation + 1, killed, ..ProcessRecord::default() };
    }

    /// Whether the newest process was killed or told to end.
    pub(super) fn is_ending(&self) -> bool {
        self.is_killed || self.is_shutting_down
    }

    /// Whether the process with this incarnation was killed.
    pub(super) fn was_killed(&self, incarnation: u64) -> bool {
        self.killed.contains(&incarnation) || (self.incarnation == incarnation && self.is_killed)
    }

    /// Ends the incarnation, which excuses the process from earlier requests and notices.
    pub(super) fn suspend(&mut self) {
        self.incarnation += 1;
        self.is_killed = true;
    }

    pub(super) fn add_stall(&mut self, duration: Duration) {
        self.stalls.push(Stall { ends_at: Instant::now() + duration, duration });
    }

    /// Total duration of the stalls that end after this time.
    pub(super) fn stalled_since(&self, since: Instant) -> Duration {
        let stalls = self.stalls.iter().filter(|stall| stall.ends_at > since);
        stalls.map(|stall| stall.duration).sum()
    }

    pub(super) fn on_notified(&mut self, server: usize, notice: ServerNotice) {
        match notice {
            ServerNotice::Ready => drop(self.stop_notices.remove(&server)),
            ServerNotice::Unavailable => {
                self.stop_notices.entry(server).or_insert_with(Instant::now);
            }
        }
    }

    /// Returns a violation if an attempt reaches a server longer than [`DRAIN_GRACE`] (plus allowances) after this
    /// process was notified that the server drains or was removed.
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
        let detail = || {
            format!(
                "node {node} sent {id} to server {server} {elapsed:?} after it was notified that the server drains \
                 or is gone"
            )
        };
        (elapsed > limit).then(|| (Rule::Drain, detail()))
    }
}
