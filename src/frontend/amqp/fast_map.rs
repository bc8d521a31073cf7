//! The hash map of this frontend.

use std::collections::HashMap;

/// A hash map with a fast hasher whose seed is drawn once per process.
pub type FastHashMap<K, V> = HashMap<K, V, foldhash::fast::RandomState>;
