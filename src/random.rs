//! Random numbers and arithmetic on them, written out so that no library version changes a decision.

use rand_core::{RngCore, SeedableRng};
use sparbank_time::DurationExt;
use std::time::Duration;

/// A node's random number generator: a PCG with a seed.
pub struct Rng(rand_pcg::Pcg64Mcg);

impl Rng {
    /// The generator with this seed.
    pub fn from_seed(seed: u64) -> Rng {
        Rng(rand_pcg::Pcg64Mcg::seed_from_u64(seed))
    }

    /// The next uniform random number.
    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }
}

/// Mixes the bits of a number (the finalizer of splitmix64).
pub fn mix64(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Scales a uniform random number to the range [0, 1).
pub fn unit_interval(roll: u64) -> f64 {
    (roll >> 11) as f64 / (1u64 << 53) as f64
}

/// Scales a uniform random number to the range [0, max], `max` included.
pub fn uniform_up_to(roll: u64, max: u64) -> u64 {
    ((u128::from(roll) * (u128::from(max) + 1)) >> 64) as u64
}

/// Scales a uniform random number to a span of whole nanoseconds from zero to `max`, `max` included.
pub fn uniform_duration_up_to(roll: u64, max: Duration) -> Duration {
    Duration::from_nanos(uniform_up_to(roll, max.as_nanos_u64()))
}
