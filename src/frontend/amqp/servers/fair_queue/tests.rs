//! Tests of the fairness between clients.

use super::FairQueue;
use crate::model::RequestId;
use crate::net::token_for_tests as token;

#[test]
fn many_deliveries_of_one_client_do_not_delay_one_of_another() {
    let mut queue = FairQueue::default();
    (0..5).for_each(|n| queue.push(token(1), RequestId(n)));
    queue.push(token(2), RequestId(10));
    queue.push(token(3), RequestId(20));
    queue.remove(token(3), RequestId(20));
    queue.remove(token(1), RequestId(1));
    let order: Vec<u64> = queue.drain().into_iter().map(|request_id| request_id.0).collect();
    assert_eq!(order, [0, 10, 2, 3, 4]);
    assert!(queue.is_empty() && queue.pop().is_none());
}
