//! Shutdowns of nodes by series of signals, and what follows from them: the kill and the restart.

use crate::node::{Nodes, POLL_INTERVAL, SHELL_START_TIME};
use crate::request::DEADLINE;
use crate::schedule::SignalSeries;
use sparbank_test_support::invariants::Rule;
use sparbank_test_support::Signal;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// SIGKILL follows SIGTERM after the longest deadline and this time.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Clients still connect to a node for this long after SIGTERM.
const ARRIVALS_AFTER_SIGTERM: Duration = Duration::from_millis(300);

impl Nodes {
    /// Ends a node with a series of signals and starts it again. Clients still connect for some time after SIGTERM. A node
    /// that has not exited by the earliest time of the kill is reported and killed.
    pub async fn shut_down_and_restart(&self, number: usize, series: SignalSeries, interval: Duration) {
        let node = &self.nodes[number];
        if node.is_restarting.replace(true) {
            return;
        }
        if series == SignalSeries::ReloadTerminate {
            self.reload_node(number);
            sleep(interval).await;
        }
        self.checker.borrow_mut().on_shutdown(number);
        self.signal(number, Signal::TERM);
        let sent_at = Instant::now();
        self.send_second_signal(number, series, interval).await;
        sleep(ARRIVALS_AFTER_SIGTERM.saturating_sub(sent_at.elapsed())).await;
        node.is_accepting.set(false);
        self.wait_for_exit(number, sent_at).await;
        self.start(number).await;
        node.is_restarting.set(false);
    }

    /// Sends the signal that follows SIGTERM in a series.
    async fn send_second_signal(&self, number: usize, series: SignalSeries, interval: Duration) {
        match series {
            SignalSeries::Terminate | SignalSeries::ReloadTerminate => {}
            SignalSeries::TerminateTwice => {
                sleep(interval).await;
                self.signal(number, Signal::TERM);
            }
            SignalSeries::TerminateReload => {
                sleep(interval).await;
                self.reload_node(number);
            }
            SignalSeries::TerminateKill => {
                sleep(interval).await;
                self.nodes[number].is_accepting.set(false);
                self.kill(number);
            }
        }
    }

    /// Waits until a node has exited after SIGTERM. Reports and kills it if it takes too long.
    async fn wait_for_exit(&self, number: usize, sent_at: Instant) {
        let mut is_late = false;
        while !self.has_exited(number) {
            let stalled = self.checker.borrow().stalled_since(number, sent_at);
            let limit = DEADLINE + KILL_DELAY + stalled + self.checker.borrow().lateness();
            if sent_at.elapsed() > limit && !std::mem::replace(&mut is_late, true) {
                self.checker
                    .borrow_mut()
                    .report(Rule::Exit, format!("node {number} still runs {limit:?} after SIGTERM"));
                self.signal(number, Signal::KILL);
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Makes all nodes reload their configuration.
    pub fn reload(&self) {
        for number in 0..self.len() {
            self.reload_node(number);
        }
    }

    fn reload_node(&self, number: usize) {
        self.write_config(number);
        // Without the trap, SIGHUP would end the shell. The program reads the new configuration at its start anyway.
        if self.nodes[number].started_at.get().elapsed() > SHELL_START_TIME {
            self.signal(number, Signal::HUP);
        }
    }
}
