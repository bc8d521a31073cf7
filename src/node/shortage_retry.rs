//! Retries start-up steps that fail because this machine is short of descriptors or memory.
//!
//! A shortage passes, while a node that has given up stays away.

use rustix::io::Errno;
use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A node has to be ready 10 s after its start.
const MAX_WAIT: Duration = Duration::from_secs(8);
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Whether an error says that the machine is short of descriptors or memory.
pub(super) fn is_shortage(error: &io::Error) -> bool {
    let shortages = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    Errno::from_io_error(error).is_some_and(|errno| shortages.contains(&errno))
}

/// Executes a step, and retries it while it fails for a shortage.
///
/// # Errors
/// Any other error at once, and a shortage that lasts.
pub(super) fn retry_while_short<T, E>(
    mut step: impl FnMut() -> Result<T, E>,
    is_shortage: impl Fn(&E) -> bool,
) -> Result<T, E> {
    let started_at = Instant::now();
    loop {
        match step() {
            Err(error) if is_shortage(&error) && started_at.elapsed() < MAX_WAIT => sleep(RETRY_INTERVAL),
            result => return result,
        }
    }
}
