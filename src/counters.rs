//! Counters of requests, attempts, polls, handovers and admin calls, logged as one line on SIGUSR1 and at exit.

use crate::model::Outcome;
use std::fmt;

/// Counts since the start of the process. Each field appears in the log line as `name=value`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that arrived at any frontend, without resumed and inherited connections.
    pub requests: u64,
    /// Connections from before the start of this process that were resumed at a server.
    pub resumed: u64,
    /// Attempts to resume a connection from before the start of this process at its server.
    pub restore_attempts: u64,
    /// Connections from before the start of this process that were not resumed.
    pub restore_failed: u64,
    /// Attempts sent to a server.
    pub sent: u64,
    /// Attempts accepted by a server.
    pub established: u64,
    /// Requests with the final answer "served".
    pub served: u64,
    /// Requests with the final answer "rejected".
    pub rejected: u64,
    /// Rejected requests without an attempt: the wait for admission was too long, or no server could be selected.
    pub rejected_unsent: u64,
    /// Requests with the final answer "failed".
    pub failed: u64,
    /// Requests whose client disconnected before the final answer.
    pub client_disconnected: u64,
    /// Served requests that were ended by the client or the server.
    pub ended: u64,
    /// Established connections that this node closed so that their clients reconnect.
    pub migrated: u64,
    /// Attempts answered with an error.
    pub attempt_error: u64,
    /// Attempts rejected by the server.
    pub attempt_rejected: u64,
    /// Attempts that were not answered in time.
    pub attempt_timeout: u64,
    /// Attempts whose connection could not be established, or whose request was not written completely.
    pub attempt_connect_failed: u64,
    /// Attempts whose connection was lost after the request was written.
    pub attempt_reset: u64,
    /// Attempts that were cancelled.
    pub attempt_cancelled: u64,
    /// Attempts that ended before anything was sent: there was no route, or it was too late to send the request.
    pub attempt_not_sent: u64,
    /// Attempts that failed because this machine had no free file descriptor, port or memory. They do not count as
    /// attempts of the request.
    pub attempt_local_shortage: u64,
    /// First lines and deliveries that could not be parsed.
    pub malformed: u64,
    /// Connections closed before their first line (or AMQP open), after a time-out or to free a file descriptor.
    pub idle_closed: u64,
    /// Connections and requests rejected because of a shortage of file descriptors or memory.
    pub capacity_rejected: u64,
    /// Health checks sent to servers (`STATS`), if the settings enable them.
    pub health_checks: u64,
    /// Polls of the discovery service.
    pub discovery_polls: u64,
    /// Failed polls of the discovery service, and lost watches.
    pub discovery_failures: u64,
    /// Endpoint lists with a lower generation than the current one. They do not mark stopped servers as ready again.
    pub stale_lists: u64,
    /// Handovers from the predecessor of this process or to its successor.
    pub handovers: u64,
    /// Established connections handed over to the successor.
    pub handed_over: u64,
    /// Established connections received from the predecessor.
    pub inherited: u64,
    /// Attempts rejected by quotas.
    pub quota_rejected: u64,
    /// Established connections migrated because they exceeded a quota.
    pub quota_migrated: u64,
    /// Invariants that this node violated, each logged as "invariant violated". The expected value is zero.
    pub invariant_violations: u64,
    /// Pauses of the listeners because of a shortage of file descriptors or memory.
    pub accept_pauses: u64,
    /// Changes of the epoll set that the system refused and that were retried.
    pub refused_watches: u64,
    /// Pauses of connections whose read or write failed for lack of kernel memory.
    pub transfer_pauses: u64,
    /// Outgoing connections that were not started because of a shortage of file descriptors, ports or memory.
    pub failed_connects: u64,
    /// Log lines dropped because writing to standard error would have blocked.
    pub log_lines_dropped: u64,
    /// Servers that the endpoint registry holds now: the listed ones, and those that were removed recently.
    pub known_servers: u64,
    /// Admin calls that started a drain.
    pub drains: u64,
    /// Admin calls that ended a drain.
    pub resumes: u64,
    /// Admin calls answered with success.
    pub admin_accepted: u64,
    /// Admin calls answered with an error.
    pub admin_rejected: u64,
    /// Admin calls that were not received completely.
    pub admin_incomplete: u64,
    /// Iterations of the event loop that took longer than [`MAX_STALL`](crate::model::MAX_STALL).
    pub slow_iterations: u64,
    /// Iterations of the event loop that stopped at the limit on their work. The expected value is zero.
    pub unfinished_iterations: u64,
}

impl Counters {
    /// Counts an attempt that ended before it was established, by its outcome.
    pub fn count_attempt(&mut self, outcome: Outcome) {
        let counter = match outcome {
            Outcome::Ok => return,
            Outcome::Error => &mut self.attempt_error,
            Outcome::Rejected => &mut self.attempt_rejected,
            Outcome::Timeout => &mut self.attempt_timeout,
            Outcome::ConnectFailed => &mut self.attempt_connect_failed,
            Outcome::Reset => &mut self.attempt_reset,
            Outcome::Cancelled => &mut self.attempt_cancelled,
            Outcome::NotSent => &mut self.attempt_not_sent,
            Outcome::LocalShortage => &mut self.attempt_local_shortage,
        };
        *counter += 1;
    }

    /// Returns the name and value of every counter, in the order of the log line.
    fn entries(&self) -> [(&'static str, u64); 47] {
        [
            ("requests", self.requests),
            ("resumed", self.resumed),
            ("restore_attempts", self.restore_attempts),
            ("restore_failed", self.restore_failed),
            ("sent", self.sent),
            ("established", self.established),
            ("served", self.served),
            ("rejected", self.rejected),
            ("rejected_unsent", self.rejected_unsent),
            ("failed", self.failed),
            ("client_disconnected", self.client_disconnected),
            ("ended", self.ended),
            ("migrated", self.migrated),
            ("attempt_error", self.attempt_error),
            ("attempt_rejected", self.attempt_rejected),
            ("attempt_timeout", self.attempt_timeout),
            ("attempt_connect_failed", self.attempt_connect_failed),
            ("attempt_reset", self.attempt_reset),
            ("attempt_cancelled", self.attempt_cancelled),
            ("attempt_not_sent", self.attempt_not_sent),
            ("attempt_local_shortage", self.attempt_local_shortage),
            ("malformed", self.malformed),
            ("idle_closed", self.idle_closed),
            ("capacity_rejected", self.capacity_rejected),
            ("health_checks", self.health_checks),
            ("discovery_polls", self.discovery_polls),
            ("discovery_failures", self.discovery_failures),
            ("stale_lists", self.stale_lists),
            ("handovers", self.handovers),
            ("handed_over", self.handed_over),
            ("inherited", self.inherited),
            ("quota_rejected", self.quota_rejected),
            ("quota_migrated", self.quota_migrated),
            ("invariant_violations", self.invariant_violations),
            ("accept_pauses", self.accept_pauses),
            ("refused_watches", self.refused_watches),
            ("transfer_pauses", self.transfer_pauses),
            ("failed_connects", self.failed_connects),
            ("log_lines_dropped", self.log_lines_dropped),
            ("known_servers", self.known_servers),
            ("drains", self.drains),
            ("resumes", self.resumes),
            ("admin_accepted", self.admin_accepted),
            ("admin_rejected", self.admin_rejected),
            ("admin_incomplete", self.admin_incomplete),
            ("slow_iterations", self.slow_iterations),
            ("unfinished_iterations", self.unfinished_iterations),
        ]
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "counters")?;
        for (name, value) in self.entries() {
            write!(f, " {name}={value}")?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
