//! Random numbers and arithmetic on them. The arithmetic is implemented here so that a new version of a library does
//! not change decisions.

use rand_core::{RngCore, SeedableRng};
use sparbank_time::DurationExt;
use std::time::Duration;

/// A node's random number generator, a seeded PCG.
pub struct Rng(rand_pcg::Pcg64Mcg);

impl Rng {
    /// Creates a generator with this seed.
    pub fn from_seed(seed: u64) -> Rng {
        Rng(rand_pcg::Pcg64Mcg::seed_from_u64(seed))
    }

    /// Returns the next uniform random number.
    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }
}

/// Mixes the bits of a number: the finalizer of splitmix64.
pub fn mix64(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Scales a uniform random number to the range [0, 1).
pub fn unit_interval(random: u64) -> f64 {
    (random >> 11) as f64 / (1u64 << 53) as f64
}

/// Scales a uniform random number to the range [0, max], `max` included.
pub fn uniform_up_to(random: u64, max: u64) -> u64 {
    ((u128::from(random) * (u128::from(max) + 1)) >> 64) as u64
}

/// Scales a uniform random number to a duration of whole nanoseconds in the range [0, max], `max` included.
pub fn uniform_duration_up_to(random: u64, max: Duration) -> Duration {
    Duration::from_nanos(uniform_up_to(random, max.as_nanos_u64()))
}
