//! Unit tests of the memory of links.

use super::LinkMemory;
use crate::net::token_for_tests;

/// Guards against clients that attach links until the process exceeds its memory limit, and against refusing the others
/// for it.
#[test]
fn clients_beyond_their_share_are_refused_first() {
    let [greedy, other] = [1, 2].map(token_for_tests);
    let mut memory = LinkMemory::default();
    memory.add(greedy, 900, 2, 1_000).expect("there is room");
    memory.add(greedy, 200, 2, 1_000).expect_err("the limit is reached");
    memory.add(other, 500, 2, 1_000).expect("a fair share is granted");
    memory.add(other, 1, 2, 1_000).expect_err("beyond the fair share");
    assert_eq!(memory.total(), 1_400);
    memory.subtract(greedy, 900);
    memory.add(other, 500, 2, 1_000).expect("there is room again");
    memory.remove(other);
    assert_eq!(memory.total(), 0);
}
