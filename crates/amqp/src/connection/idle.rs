//! Idle timeouts (2.4.5): when the peer has been silent for too long, and when it needs a heartbeat.

use sparbank_time::MonotonicTime;
use std::time::Duration;

/// The shortest idle timeout of a peer that is honoured: a user that calls [`Connection::tick`](super::Connection::tick)
/// every 0.2 s can do no better.
const MIN_PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// The idle timeouts of both sides.
pub(super) struct IdleTimer {
    /// How long the peer may be silent; zero for any time.
    own_timeout: Duration,
    /// How long this side may be silent.
    peer_timeout: Option<Duration>,
    last_received: MonotonicTime,
    last_sent: MonotonicTime,
}

impl IdleTimer {
    /// A timer of a connection that starts now.
    pub fn new(now: MonotonicTime, own_timeout: Duration) -> IdleTimer {
        IdleTimer { own_timeout, peer_timeout: None, last_received: now, last_sent: now }
    }

    /// The peer's open announces how long this side may be silent, in milliseconds.
    pub fn set_peer_timeout(&mut self, timeout_ms: Option<u32>) {
        let timeout_ms = timeout_ms.filter(|timeout| *timeout > 0);
        self.peer_timeout = timeout_ms.map(|ms| Duration::from_millis(u64::from(ms)).max(MIN_PEER_TIMEOUT));
    }

    /// Something was received.
    #[inline]
    pub fn on_received(&mut self, now: MonotonicTime) {
        self.last_received = now;
    }

    /// Something is sent.
    #[inline]
    pub fn on_sent(&mut self, now: MonotonicTime) {
        self.last_sent = now;
    }

    /// Whether the peer has been silent for longer than it may.
    pub fn is_peer_silent(&self, now: MonotonicTime) -> bool {
        !self.own_timeout.is_zero() && now.saturating_duration_since(self.last_received) > self.own_timeout
    }

    /// Whether the peer needs a heartbeat, if nothing else is sent.
    pub fn is_heartbeat_due(&self, now: MonotonicTime) -> bool {
        let silence = now.saturating_duration_since(self.last_sent);
        self.peer_timeout.is_some_and(|timeout| silence >= timeout / 2)
    }

    /// When the peer has been silent for too long.
    pub fn peer_deadline(&self) -> Option<MonotonicTime> {
        let deadline = self.last_received + self.own_timeout + Duration::from_nanos(1);
        (!self.own_timeout.is_zero()).then_some(deadline)
    }

    /// When the peer needs a heartbeat.
    pub fn heartbeat_deadline(&self) -> Option<MonotonicTime> {
        self.peer_timeout.map(|timeout| self.last_sent + timeout / 2)
    }
}

#[cfg(test)]
mod tests;
