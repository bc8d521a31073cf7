//! Retries start-up steps that fail because the machine is short of descriptors or memory.
//!
//! Such a shortage is usually temporary, while a node that has failed to start stays down.

use rustix::io::Errno;
use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a step is retried. A node must be ready within 10 s of its start.
const MAX_RETRY_TIME: Duration = Duration::from_secs(8);
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Whether an error reports a shortage of descriptors or memory.
pub(super) fn is_shortage(error: &io::Error) -> bool {
    let shortages = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    Errno::from_io_error(error).is_some_and(|errno| shortages.contains(&errno))
}

/// Executes a step, and retries it as long as it fails because of a shortage, for at most [`MAX_RETRY_TIME`].
///
/// # Errors
/// Returns any other error at once, and the error of a shortage that lasts longer.
pub(super) fn retry_on_shortage<T, E>(
    mut step: impl FnMut() -> Result<T, E>,
    is_shortage: impl Fn(&E) -> bool,
) -> Result<T, E> {
    let started_at = Instant::now();
    loop {
        match step() {
            Err(error) if is_shortage(&error) && started_at.elapsed() < MAX_RETRY_TIME => {
                sleep(RETRY_INTERVAL)
            }
            result => return result,
        }
    }
}
