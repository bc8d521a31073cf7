//! The items that clients send: their numbers, and which of them must not run twice.

use std::sync::atomic::{AtomicU64, Ordering};

/// The class whose items may run twice.
const IDEMPOTENT_CLASS: &str = "live-readings";
/// The class whose items must not run twice.
const NON_IDEMPOTENT_CLASS: &str = "station-notes";
/// The classes of all items.
pub const CLASSES: [&str; 2] = [IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS];

/// An item that a client sends.
#[derive(Clone, Copy)]
pub struct Item {
    pub number: u64,
    pub class: &'static str,
}

/// Whether the item with this number must not run twice.
pub fn must_run_once(number: u64) -> bool {
    number.is_multiple_of(4)
}

/// Numbers the items of all clients.
pub struct ItemNumbers(AtomicU64);

impl Default for ItemNumbers {
    fn default() -> ItemNumbers {
        ItemNumbers(AtomicU64::new(1))
    }
}

impl ItemNumbers {
    /// The next item. Its number gives its class.
    pub fn next_item(&self) -> Item {
        let number = self.0.fetch_add(1, Ordering::Relaxed);
        let class = if must_run_once(number) { NON_IDEMPOTENT_CLASS } else { IDEMPOTENT_CLASS };
        Item { number, class }
    }
}
