//! Hashes that are the same on all nodes and in all versions of this program.

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// The 64-bit FNV-1a hash of a name.
pub fn fnv1a(name: &str) -> u64 {
    name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
