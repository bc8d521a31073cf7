//! The session ledger: a service that all servers call at each set-up, one call after the other.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};

/// A set-up that waits longer than this for the ledger fails.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(600);

/// The session ledger.
#[derive(Clone)]
pub struct Ledger {
    time_per_setup: Duration,
    busy_until: Rc<Cell<Instant>>,
}

impl Ledger {
    /// A ledger that serves so many set-ups a second.
    pub fn new(setups_per_second: f64) -> Ledger {
        let time_per_setup = Duration::from_secs_f64(1.0 / setups_per_second);
        Ledger { time_per_setup, busy_until: Rc::new(Cell::new(Instant::now())) }
    }

    /// The call of one set-up; false where it has waited too long.
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
