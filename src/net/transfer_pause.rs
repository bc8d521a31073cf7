//! Pauses of connections whose reads or writes find no kernel memory.
//!
//! The connection is sound: it is neither read nor written for a moment and then continues. Without the pause a descriptor
//! that is ready and cannot be served would keep the event loop from sleeping.

use super::deadlines::DeadlineQueue;
use super::slab::Token;
use rustix::io::Errno;
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// How long a connection is paused.
const TRANSFER_PAUSE: Duration = Duration::from_millis(10);

/// Whether a read or write failed for lack of kernel memory, which passes.
pub(super) fn is_transfer_shortage(error: Errno) -> bool {
    matches!(error, Errno::NOBUFS | Errno::NOMEM)
}

/// The connections that are paused, by the end of the pause.
#[derive(Default)]
pub(super) struct TransferPauses {
    pauses: DeadlineQueue,
    started: u64,
}

impl TransferPauses {
    /// A connection is paused from now on.
    pub(super) fn start(&mut self, now: MonotonicTime, token: Token) {
        self.started += 1;
        self.pauses.push_latest(now + TRANSFER_PAUSE, token);
    }

    /// Takes a connection whose pause is over.
    pub(super) fn pop_over(&mut self, now: MonotonicTime) -> Option<Token> {
        self.pauses.pop_reached(now)
    }

    /// The time-out of a wait that must not outlast a pause.
    pub(super) fn limit_wait(&self, timeout: Duration) -> Duration {
        if self.pauses.is_empty() {
            timeout
        } else {
            timeout.min(TRANSFER_PAUSE)
        }
    }

    /// How many pauses have been started.
    pub(super) fn started(&self) -> u64 {
        self.started
    }
}
