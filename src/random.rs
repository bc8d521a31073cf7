//! Arithmetic on random numbers, written out so that no library version changes a decision.

use rand_core::{RngCore, SeedableRng};

/// A node's random numbers: a PCG from its seed.
pub struct Rng(rand_pcg::Pcg64Mcg);

impl Default for Rng {
    fn default() -> Rng {
        Rng::seeded(0)
    }
}

impl Rng {
    /// The numbers that this seed gives.
    pub fn seeded(seed: u64) -> Rng {
        Rng(rand_pcg::Pcg64Mcg::seed_from_u64(seed))
    }

    /// The next one.
    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }
}

/// A well-mixed number from another (the finalizer of splitmix64).
pub fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A roll brought into [0, 1).
pub fn unit(roll: u64) -> f64 {
    (roll >> 11) as f64 / (1u64 << 53) as f64
}

/// A roll brought into [0, most].
pub fn below(roll: u64, most: u64) -> u64 {
    ((u128::from(roll) * (u128::from(most) + 1)) >> 64) as u64
}
