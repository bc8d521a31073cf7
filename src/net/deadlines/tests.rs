use super::DeadlineQueue;
use crate::net::Token;
use sparbank_time::MonotonicTime;

fn at(nanos: u64) -> MonotonicTime {
    MonotonicTime::from_nanos(nanos)
}

fn queue_of(deadlines: &[(u64, u64)]) -> DeadlineQueue {
    let mut queue = DeadlineQueue::default();
    for (nanos, token) in deadlines {
        queue.insert(at(*nanos), Token::for_tests(*token));
    }
    queue
}

#[test]
fn a_deadline_is_popped_once_it_is_reached_and_not_before() {
    let mut queue = queue_of(&[(20, 2), (10, 1)]);
    assert_eq!(queue.pop_expired(at(9)), None);
    assert_eq!(queue.pop_expired(at(10)), Some(Token::for_tests(1)));
    assert_eq!(queue.pop_expired(at(19)), None);
    assert_eq!(queue.pop_expired(at(25)), Some(Token::for_tests(2)));
    assert!(queue.is_empty());
}

#[test]
fn equal_deadlines_keep_the_order_of_insertion() {
    let mut queue = queue_of(&[(10, 1), (20, 2), (10, 3)]);
    queue.push_latest(at(20), Token::for_tests(4));
    assert_eq!(queue.tokens().collect::<Vec<_>>(), [1, 3, 2, 4].map(Token::for_tests));
    assert_eq!(queue.deadline_of(Token::for_tests(3)), Some(at(10)));
    assert_eq!(queue.deadline_of(Token::for_tests(9)), None);
}

#[test]
fn put_back_restores_popped_entries_at_the_front_in_order() {
    let mut queue = queue_of(&[(10, 1), (20, 2), (30, 3)]);
    let popped = vec![queue.pop_earliest().expect("an entry"), queue.pop_earliest().expect("an entry")];
    queue.put_back(popped);
    assert_eq!(queue.tokens().collect::<Vec<_>>(), [1, 2, 3].map(Token::for_tests));
}
