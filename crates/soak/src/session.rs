//! Established sessions of the simulated clients, and the checks of what they receive.

use crate::client::{Client, Habit};
use crate::server::SessionEnd;
use rand::Rng;
use sparbank_test_support::invariants::Rule;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{sleep, timeout, Instant};

/// The end of a session at its server reaches the client within this time.
const MAX_END_DELAY: Duration = Duration::from_millis(1_000);
/// The node forwards a line within this time.
const MAX_LINE_DELAY: Duration = Duration::from_millis(1_000);
/// The client of a server that has stopped sending is migrated within this time.
const SILENT_SERVER_TIMEOUT: Duration = Duration::from_millis(7_000);
/// How often a client sends a line in an established session.
const LINE_INTERVAL: Duration = Duration::from_millis(250);
/// Upper limit of the random lifetime of a session.
const MAX_SESSION_MS: u64 = 2_500;
/// Length of the occasional pauses in which a client reads nothing.
const READ_PAUSE: Duration = Duration::from_millis(600);

impl Client {
    /// Sends and receives lines in an established session, until its lifetime is over or the other side ends it.
    pub(crate) async fn use_session(
        &mut self,
        node: usize,
        incarnation: u64,
        id: &str,
        mut read: BufReader<OwnedReadHalf>,
        mut write: OwnedWriteHalf,
    ) {
        let end = Instant::now() + Duration::from_millis(self.rng.random_range(50..MAX_SESSION_MS));
        let mut lines = ReceivedLines::default();
        let is_kept = self.habit == Habit::Persistent;
        // A session that its server has ended is read to its end, beyond its lifetime.
        while (is_kept && !self.behaviour.stopped.get())
            || (!is_kept && Instant::now() < end)
            || self.servers.ended_at(id).is_some()
        {
            if self.rng.random_bool(0.1) {
                sleep(READ_PAUSE).await;
            }
            if write.write_all(b"M 1\r\n").await.is_err() {
                break;
            }
            let written_at = Instant::now();
            loop {
                let wait = LINE_INTERVAL.saturating_sub(written_at.elapsed());
                match timeout(wait, read.read_until(b'\n', &mut lines.partial)).await {
                    Err(_) => break,
                    Ok(Ok(count)) if count > 0 => lines.finish_line(),
                    Ok(ended) => return self.check_end(node, incarnation, id, &lines, &format!("{ended:?}")),
                }
            }
            self.check_progress(node, incarnation, id, &lines);
        }
        self.checker.borrow_mut().on_client_gone(id);
    }

    /// Checks that the last line of the server is not too old, and that the end of the session arrives in time.
    fn check_progress(&self, node: usize, incarnation: u64, id: &str, lines: &ReceivedLines) {
        let mut checker = self.checker.borrow_mut();
        if checker.is_excused(node, incarnation) {
            return;
        }
        let allowed = self.nodes.excused_stall(node) + checker.lateness();
        if lines.last_at.elapsed() > SILENT_SERVER_TIMEOUT + allowed {
            checker.report(
                Rule::SilentServer,
                format!("{id} at node {node}: no line received for {:?}", lines.last_at.elapsed()),
            );
        }
        let ended_at = self.servers.ended_at(id);
        let limit = MAX_END_DELAY + MAX_LINE_DELAY + READ_PAUSE + allowed;
        if let Some(ended_at) =
            ended_at.filter(|at| at.elapsed() > limit && lines.last_at.elapsed() > MAX_LINE_DELAY)
        {
            let elapsed = ended_at.elapsed();
            checker.report(
                Rule::SessionEndDelayed,
                format!("{id} at node {node}: not ended, {elapsed:?} after its server ended the session"),
            );
        }
    }

    /// Checks a session that has ended: its server ended it and all that it sent has arrived, or the last line is `MOVE`.
    fn check_end(&self, node: usize, incarnation: u64, id: &str, lines: &ReceivedLines, read_result: &str) {
        let mut checker = self.checker.borrow_mut();
        if checker.is_excused(node, incarnation) || lines.last == "MOVE" {
            return;
        }
        let Some(ended) = self.servers.ended_session(id) else {
            let last = &lines.last;
            return checker.report(
                Rule::CutOff,
                format!("{id} at node {node}: ended without MOVE, read {read_result}, last line {last:?}"),
            );
        };
        let is_truncated =
            ended.end != SessionEnd::Reset && (lines.burst_lines < ended.lines || lines.last != "BYE");
        if is_truncated {
            let (received, sent) = (lines.burst_lines, ended.lines);
            let partial = lines.partial.len();
            let (last, after) = (&lines.last, ended.at.elapsed());
            checker.report(
                Rule::CutOff,
                format!(
                    "{id} at node {node}: received {received} of {sent} lines and {partial} bytes, last line \
                     {last:?}, read {read_result} {after:?} after its server ended the session"
                ),
            );
        }
    }
}

/// The lines that a client has received in a session.
struct ReceivedLines {
    /// The received part of the next line. A cancelled `read_line` loses it; a cancelled `read_until` does not.
    partial: Vec<u8>,
    last: String,
    last_at: Instant,
    /// Number of burst lines received.
    burst_lines: usize,
}

impl Default for ReceivedLines {
    fn default() -> ReceivedLines {
        ReceivedLines { partial: Vec::new(), last: String::new(), last_at: Instant::now(), burst_lines: 0 }
    }
}

impl ReceivedLines {
    /// Turns the partial line, which is now complete, into the last line.
    fn finish_line(&mut self) {
        self.last = String::from_utf8_lossy(&self.partial).trim_end().to_string();
        self.partial.clear();
        self.last_at = Instant::now();
        self.burst_lines += usize::from(self.last.starts_with("B "));
    }
}
