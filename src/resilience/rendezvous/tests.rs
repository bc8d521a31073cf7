use super::{rendezvous_rank, LowestRanks};

fn items(ranks: &[f64], limit: usize) -> Vec<usize> {
    let mut lowest = LowestRanks::new(limit);
    for (item, rank) in ranks.iter().enumerate() {
        lowest.insert(*rank, item);
    }
    lowest.into_entries().into_iter().map(|entry| entry.item).collect()
}

#[test]
fn the_lowest_ranks_come_in_order() {
    assert_eq!(items(&[5.0, 1.0, 4.0, 2.0, 3.0], 3), [1, 3, 4]);
    assert_eq!(items(&[1.0, 1.0, 1.0], 2), [0, 1], "equal ranks keep the order of insertion");
    assert_eq!(items(&[2.0, 1.0], 3), [1, 0]);
}

#[test]
fn servers_are_drawn_in_proportion_to_their_weights() {
    let heavy_first =
        (0..3_000).filter(|seed| rendezvous_rank(*seed, 7, 2.0) < rendezvous_rank(*seed, 8, 1.0)).count();
    assert!((1_900..2_100).contains(&heavy_first), "{heavy_first} of 3000; two thirds are expected");
}
