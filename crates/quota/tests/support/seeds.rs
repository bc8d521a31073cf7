//! The seeds with which a test runs.

/// The comma-separated seeds of `QUOTA_SEEDS`, as in `1,2,3`. The default is one to ten.
pub fn seeds_from_env() -> Vec<u64> {
    let Ok(seeds) = std::env::var("QUOTA_SEEDS") else { return (1..=10).collect() };
    seeds
        .split(',')
        .map(|seed| seed.trim().parse().expect("QUOTA_SEEDS must be comma-separated numbers"))
        .collect()
}
