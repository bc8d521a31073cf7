//! The session ledger: a simulated service that servers call to set up a connection. It serves one call at a time.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// A set-up fails if the ledger can't serve it within this time.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(600);

/// The session ledger, shared by all servers.
#[derive(Clone)]
pub struct Ledger {
    time_per_setup: Duration,
    /// When the last call in the queue will have been served.
    busy_until: Rc<Cell<Instant>>,
}

impl Ledger {
    /// Creates a ledger that serves this many set-ups per second.
    pub fn new(setups_per_second: f64) -> Ledger {
        let time_per_setup = Duration::from_secs_f64(1.0 / setups_per_second);
        Ledger { time_per_setup, busy_until: Rc::new(Cell::new(Instant::now())) }
    }

    /// Waits until the ledger has served a set-up; returns false if the queue is too long.
    pub async fn set_up(&self) -> bool {
        let served_at = self.busy_until.get().max(Instant::now()) + self.time_per_setup;
        if served_at > Instant::now() + QUEUE_TIMEOUT {
            sleep(QUEUE_TIMEOUT).await;
            return false;
        }
        self.busy_until.set(served_at);
        sleep_until(served_at).await;
        true
    }
}
