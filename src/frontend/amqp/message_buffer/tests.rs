//! Tests of the limit on buffered octets and of its division among clients.

use super::{MessageBuffer, MIN_CLIENT_BYTES};
use crate::frontend::amqp::client_octets::LargestClient;
use crate::net::token_for_tests as token;

const MAX_BYTES: usize = 160_000;

fn buffer(clients: &[(u64, usize)]) -> MessageBuffer {
    let mut buffer = MessageBuffer::default();
    for (client, octets) in clients {
        buffer.add(token(*client), *octets);
    }
    buffer
}

#[test]
fn a_client_that_holds_little_is_read_whatever_the_others_hold() {
    let buffer = buffer(&[(1, MAX_BYTES * 2), (2, MIN_CLIENT_BYTES - 1), (3, MIN_CLIENT_BYTES)]);
    let may_receive = [1, 2, 3, 4].map(|client| buffer.may_receive(token(client), MAX_BYTES));
    let may_resume = [1, 2, 3, 4].map(|client| buffer.may_resume(token(client), MAX_BYTES));
    assert_eq!((may_receive, may_resume), ([false, true, false, true], [false, true, false, true]));
}

#[test]
fn the_reserve_is_for_clients_that_hold_less_than_is_left_of_it() {
    let buffer = buffer(&[(1, MAX_BYTES - 6_000), (2, 6_000)]);
    assert!(!buffer.may_receive(token(1), MAX_BYTES) && buffer.may_receive(token(2), MAX_BYTES));
    assert!(
        !buffer.may_resume(token(2), MAX_BYTES),
        "it waits until less than half of the reserve is needed"
    );
}

#[test]
fn a_single_client_may_use_all_of_the_limit_and_resumes_when_a_quarter_is_free() {
    let mut buffer = buffer(&[(1, MAX_BYTES - 1)]);
    assert!(buffer.may_receive(token(1), MAX_BYTES));
    buffer.add(token(1), 1);
    assert!(!buffer.may_receive(token(1), MAX_BYTES));
    buffer.subtract(token(1), MAX_BYTES / 4);
    assert!(!buffer.may_resume(token(1), MAX_BYTES));
    buffer.subtract(token(1), 1);
    assert!(buffer.may_resume(token(1), MAX_BYTES));
}

#[test]
fn octets_of_a_resumed_delivery_count_for_its_new_connection() {
    let mut buffer = buffer(&[(1, 500), (2, 100)]);
    buffer.move_to(token(1), token(2), 500);
    assert_eq!((buffer.of_client(token(1)), buffer.total()), (0, 600));
    assert_eq!(buffer.largest_client(), Some(LargestClient { token: token(2), bytes: 600 }));
}
