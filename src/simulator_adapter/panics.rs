//! Catches panics of the balancer, so that they are reported to the simulator and the other instances keep
//! running.

use crate::model::Action;
use std::cell::RefCell;
use std::panic::{self, AssertUnwindSafe};
use std::sync::Once;

thread_local! {
    /// Message of the last panic of this thread.
    static PANIC_MESSAGE: RefCell<String> = const { RefCell::new(String::new()) };
}

/// A panic in a decision, with its message and source location.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct DecisionPanic(String);

/// Runs one decision and returns its actions, or its panic. The panic's message is empty unless
/// [`capture_panic_messages`] was called before.
pub fn catch_panic(decide: impl FnOnce(&mut Vec<Action>)) -> Result<Vec<Action>, DecisionPanic> {
    let mut actions = Vec::new();
    panic::catch_unwind(AssertUnwindSafe(|| decide(&mut actions)))
        .map_err(|_| DecisionPanic(PANIC_MESSAGE.with(RefCell::take)))?;
    Ok(actions)
}

/// Installs a panic hook that stores panic messages for [`catch_panic`] instead of printing them.
pub fn capture_panic_messages() {
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        panic::set_hook(Box::new(|info| {
            PANIC_MESSAGE.with(|message| message.replace(info.to_string()));
        }));
    });
}

#[cfg(test)]
mod tests;
