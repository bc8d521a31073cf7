//! The items that clients send: their numbers and classes.

use std::sync::atomic::{AtomicU64, Ordering};

/// The class of items that may run more than once.
const IDEMPOTENT_CLASS: &str = "live-readings";
/// The class of items that must not run more than once.
const NON_IDEMPOTENT_CLASS: &str = "station-notes";
pub const CLASSES: [&str; 2] = [IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS];

/// An item that a client sends.
#[derive(Clone, Copy)]
pub struct Item {
    pub number: u64,
    pub class: &'static str,
}

/// Whether the item with this number must not run more than once: every fourth one.
pub fn is_non_idempotent(number: u64) -> bool {
    number.is_multiple_of(4)
}

/// Assigns unique numbers to the items of all clients.
pub struct ItemNumbers(AtomicU64);

impl Default for ItemNumbers {
    fn default() -> ItemNumbers {
        ItemNumbers(AtomicU64::new(1))
    }
}

impl ItemNumbers {
    /// The next item. Its class follows from its number.
    pub fn next_item(&self) -> Item {
        let number = self.0.fetch_add(1, Ordering::Relaxed);
        let class = if is_non_idempotent(number) { NON_IDEMPOTENT_CLASS } else { IDEMPOTENT_CLASS };
        Item { number, class }
    }
}
