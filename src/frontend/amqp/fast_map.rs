//! The hash map type that this frontend uses.

use std::collections::HashMap;

/// A hash map with the fast hasher of `foldhash`, which is seeded randomly per process.
pub type FastHashMap<K, V> = HashMap<K, V, foldhash::fast::RandomState>;
