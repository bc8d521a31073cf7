//! Pauses of connections whose reads or writes fail for lack of kernel memory.
//!
//! Such a connection is intact, so reading and writing are only suspended for a short time. Without the
//! pause, a descriptor that is ready but cannot be served would keep the event loop from sleeping.

use super::deadlines::DeadlineQueue;
use super::slab::Token;
use rustix::io::Errno;
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// Length of a pause.
const TRANSFER_PAUSE: Duration = Duration::from_millis(10);

/// Whether a read or write failed for lack of kernel memory, which is temporary.
pub(super) fn is_transfer_shortage(error: Errno) -> bool {
    matches!(error, Errno::NOBUFS | Errno::NOMEM)
}

/// The paused connections, ordered by the end of their pauses.
#[derive(Default)]
pub(super) struct TransferPauses {
    pauses: DeadlineQueue,
    pause_count: u64,
}

impl TransferPauses {
    /// Starts the pause of a connection.
    pub(super) fn start(&mut self, now: MonotonicTime, token: Token) {
        self.pause_count += 1;
        self.pauses.push_latest(now + TRANSFER_PAUSE, token);
    }

    /// Takes a connection whose pause has expired.
    pub(super) fn pop_expired(&mut self, now: MonotonicTime) -> Option<Token> {
        self.pauses.pop_expired(now)
    }

    /// Caps the time-out of a wait, so that it does not outlast a pause.
    pub(super) fn cap_timeout(&self, timeout: Duration) -> Duration {
        if self.pauses.is_empty() {
            timeout
        } else {
            timeout.min(TRANSFER_PAUSE)
        }
    }

    /// Number of pauses started so far.
    pub(super) fn pause_count(&self) -> u64 {
        self.pause_count
    }
}
