//! Idle timeouts (2.4.5): detects a peer that has sent nothing for too long, and schedules heartbeats.

use sparbank_time::MonotonicTime;
use std::time::Duration;

/// The shortest idle timeout of a peer that is honoured. Shorter ones are raised to it, because an application that
/// calls [`Connection::tick`](super::Connection::tick) every 0.2 s cannot send heartbeats more often.
const MIN_REMOTE_TIMEOUT: Duration = Duration::from_millis(400);

/// The idle timeouts of both sides.
pub(super) struct IdleTimer {
    /// The longest time between octets from the peer. Zero disables the check.
    local_timeout: Duration,
    /// The longest time between octets to the peer.
    remote_timeout: Option<Duration>,
    last_received: MonotonicTime,
    last_sent: MonotonicTime,
}

impl IdleTimer {
    /// Creates the timer of a connection that starts at `now`.
    pub fn new(now: MonotonicTime, local_timeout: Duration) -> IdleTimer {
        IdleTimer { local_timeout, remote_timeout: None, last_received: now, last_sent: now }
    }

    /// Sets the idle timeout that the peer's open announces, in milliseconds.
    pub fn set_remote_timeout(&mut self, timeout_ms: Option<u32>) {
        let timeout_ms = timeout_ms.filter(|timeout| *timeout > 0);
        self.remote_timeout =
            timeout_ms.map(|ms| Duration::from_millis(u64::from(ms)).max(MIN_REMOTE_TIMEOUT));
    }

    /// Records that octets were received at this time.
    #[inline]
    pub fn on_received(&mut self, at: MonotonicTime) {
        self.last_received = self.last_received.max(at);
    }

    /// Records that octets are sent.
    #[inline]
    pub fn on_sent(&mut self, now: MonotonicTime) {
        self.last_sent = now;
    }

    /// Whether nothing was received for longer than the local timeout.
    pub fn has_peer_timed_out(&self, now: MonotonicTime) -> bool {
        !self.local_timeout.is_zero()
            && now.saturating_duration_since(self.last_received) > self.local_timeout
    }

    /// Whether a heartbeat has to be sent if there is no other output.
    pub fn is_heartbeat_due(&self, now: MonotonicTime) -> bool {
        let idle_time = now.saturating_duration_since(self.last_sent);
        self.remote_timeout.is_some_and(|timeout| idle_time >= timeout / 2)
    }

    /// The time from which [`IdleTimer::has_peer_timed_out`] is true unless octets are received.
    pub fn receive_deadline(&self) -> Option<MonotonicTime> {
        let deadline = self.last_received + self.local_timeout + Duration::from_nanos(1);
        (!self.local_timeout.is_zero()).then_some(deadline)
    }

    /// The time at which the next heartbeat is due.
    pub fn heartbeat_deadline(&self) -> Option<MonotonicTime> {
        self.remote_timeout.map(|timeout| self.last_sent + timeout / 2)
    }
}

#[cfg(test)]
mod tests;
