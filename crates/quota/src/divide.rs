//! Division by demand.

/// Greater ones count as this: a product of the two fits 64 bits. A plan's largest whole is below it.
const MOST: u64 = 1 << 42;
const MOST_WEIGHT: u64 = 1 << 20;

/// Divides a whole by weighted max-min: nobody gets less than it wants while another gets more for its weight,
/// and what nobody wants is divided by weight too, so that whoever wants more next finds some at hand. Each
/// entry is what one wants and its weight, which is one at least. The parts add up to no more than the whole.
pub fn divide(whole: u64, wants: &[(u64, u64)]) -> Vec<u64> {
    let whole = whole.min(MOST);
    let weight = |i: usize| wants[i].1.clamp(1, MOST_WEIGHT);
    let mut parts = vec![0; wants.len()];
    // Who wants least for its weight comes first: what it leaves is the others'.
    let key = |i: usize| ((wants[i].0.min(MOST) * MOST_WEIGHT) / weight(i), i as u32);
    let mut order: Vec<(u64, u32)> = (0..wants.len()).map(key).collect();
    order.sort_unstable();
    let all: u64 = (0..wants.len()).map(weight).sum();
    let (mut left, mut weights) = (whole, all);
    for i in order.into_iter().map(|(_, i)| i as usize) {
        parts[i] = (left * weight(i) / weights).min(wants[i].0);
        left -= parts[i];
        weights -= weight(i);
    }
    if left > 0 {
        let each = |(i, part): (usize, &mut u64)| *part += left * weight(i) / all;
        parts.iter_mut().enumerate().for_each(each);
    }
    parts
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[rstest::rstest]
    #[case(100, &[(0, 1), (0, 1)], &[50, 50])]
    #[case(100, &[(10, 1), (500, 1), (500, 1)], &[10, 45, 45])]
    #[case(90, &[(500, 1), (500, 2)], &[30, 60])]
    #[case(100, &[(10, 1), (20, 1)], &[45, 55])]
    #[case(2, &[(5, 1), (5, 1), (5, 1)], &[0, 1, 1])]
    #[case(7, &[], &[])]
    fn by_demand(#[case] whole: u64, #[case] wants: &[(u64, u64)], #[case] parts: &[u64]) {
        assert_eq!(divide(whole, wants), parts);
    }

    proptest! {
        /// Never over the whole; and with demand over it, less than one part for each is left lying.
        #[test]
        fn the_parts_add_up(
            whole in 0..1u64 << 40,
            wants in proptest::collection::vec((0..1u64 << 40, 1..100u64), 1..60),
        ) {
            let parts = divide(whole, &wants);
            let sum: u64 = parts.iter().sum();
            prop_assert!(sum <= whole);
            prop_assert!(whole - sum <= wants.len() as u64);
            let wanted: u64 = wants.iter().map(|w| w.0).sum();
            for (part, (want, _)) in parts.iter().zip(&wants) {
                prop_assert!(wanted > whole || part >= want, "all can have what they want");
            }
        }
    }
}
