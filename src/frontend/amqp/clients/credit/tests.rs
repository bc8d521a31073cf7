//! Tests of the credit under memory pressure.

use super::reduce_credit;

#[test]
fn credit_falls_as_more_octets_are_buffered() {
    let credits: Vec<u32> =
        [0, 500, 600, 700, 899, 900, 5000].iter().map(|bytes| reduce_credit(64, *bytes, 1000)).collect();
    assert_eq!(credits, [64, 64, 48, 32, 0, 0, 0]);
}
