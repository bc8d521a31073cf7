//! Hashes that are the same on every node and in every version.

/// FNV-1a of a server's name: the same at every node and in every version.
pub fn fnv1a(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}
