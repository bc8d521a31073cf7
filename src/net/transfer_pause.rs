//! Reads and writes that find no kernel memory. The connection is sound: it rests for a moment and goes on, since a
//! descriptor that is ready and cannot be served would otherwise keep the event loop from sleeping.

use super::reactor::{SocketDeadline, SocketReactor};
use super::slab::Token;
use rustix::io::Errno;
use std::time::Duration;

/// How long a connection rests.
const TRANSFER_PAUSE: Duration = Duration::from_millis(10);

/// Whether a read or write failed for want of kernel memory, which passes.
pub(super) fn is_transfer_shortage(error: Errno) -> bool {
    matches!(error, Errno::NOBUFS | Errno::NOMEM)
}

impl SocketReactor {
    /// The connection is neither read nor written for a moment.
    pub(super) fn pause_transfer(&mut self, token: Token) {
        let Some(socket) = self.sockets.get_mut(token) else { return };
        if !std::mem::replace(&mut socket.is_paused, true) {
            self.shortages.transfer_pauses += 1;
            self.paused_transfers.push_back(SocketDeadline { at: self.now + TRANSFER_PAUSE, token });
        }
        self.update_interest(token);
    }

    /// Ends the pauses that have lasted long enough.
    pub(super) fn resume_paused_transfers(&mut self) {
        while self.paused_transfers.front().is_some_and(|deadline| deadline.at <= self.now) {
            let Some(SocketDeadline { token, .. }) = self.paused_transfers.pop_front() else { return };
            if let Some(socket) = self.sockets.get_mut(token) {
                socket.is_paused = false;
            }
            self.update_interest(token);
        }
    }

    /// The time-out of a wait that must not outlast a pause.
    pub(super) fn limit_by_paused_transfers(&self, timeout: Duration) -> Duration {
        if self.paused_transfers.is_empty() {
            timeout
        } else {
            timeout.min(TRANSFER_PAUSE)
        }
    }
}
