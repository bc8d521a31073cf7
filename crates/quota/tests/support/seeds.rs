//! The seeds that a test runs.

/// One to ten, or those of `QUOTA_SEEDS`, as in `1,2,3`.
pub fn seeds_from_env() -> Vec<u64> {
    let Ok(seeds) = std::env::var("QUOTA_SEEDS") else { return (1..=10).collect() };
    seeds.split(',').map(|seed| seed.trim().parse().expect("QUOTA_SEEDS: numbers")).collect()
}
