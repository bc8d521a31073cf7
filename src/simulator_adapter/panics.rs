//! Catches a panic of the balancer, so that it is reported on the wire and the other instances go on.

use crate::model::Action;
use std::cell::RefCell;
use std::panic::{self, AssertUnwindSafe};
use std::sync::Once;

thread_local! {
    /// Message of this thread's last panic.
    static PANIC_MESSAGE: RefCell<String> = const { RefCell::new(String::new()) };
}

/// A panic in a decision: its message and its place in the source.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct DecisionPanic(String);

/// The actions of one decision, or its panic. The message is known once [`capture_panic_messages`] was called.
pub fn catch_panic(decide: impl FnOnce(&mut Vec<Action>)) -> Result<Vec<Action>, DecisionPanic> {
    let mut actions = Vec::new();
    panic::catch_unwind(AssertUnwindSafe(|| decide(&mut actions)))
        .map_err(|_| DecisionPanic(PANIC_MESSAGE.with(RefCell::take)))?;
    Ok(actions)
}

/// Stores the messages of panics for [`catch_panic`] instead of printing them.
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
