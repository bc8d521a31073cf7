//! Rule 2: no effect runs twice.

use crate::common::{serving_endpoints, settings, MILLIS};
use crate::node::{attempted_server, requested_timer, Node};
use sparbank::model::{Action, Event, Outcome, RequestId, Settings};
use std::time::Duration;

#[test]
fn a_non_idempotent_request_that_may_have_run_fails_and_is_not_rejected() {
    let mut node = Node::new(1, settings(), serving_endpoints(5));
    let server = attempted_server(&node.request(1, 2)).expect("placed");
    let actions = node.end_attempt(1, server, Outcome::Error);
    assert_eq!(node.elapse_timer(&actions), [Action::Fail(RequestId(1))]);
}

#[test]
fn an_idempotent_request_that_may_have_run_stays_in_its_dedup_scope_and_window() {
    for seed in 0..50 {
        let mut node = Node::new(seed, settings(), serving_endpoints(8));
        let first = attempted_server(&node.request(1, 1)).expect("placed");
        let actions = node.end_attempt(1, first, Outcome::Error);
        let actions = node.elapse_timer(&actions);
        let second = attempted_server(&actions).expect("its zone has more servers");
        assert_eq!(first.0 % 2, second.0 % 2, "duplicates are discarded within the zone only");
        node.now += 800 * MILLIS;
        let actions = node.end_attempt(1, second, Outcome::ConnectFailed);
        assert_eq!(
            node.elapse_timer(&actions),
            [Action::Fail(RequestId(1))],
            "the deduplication window has ended"
        );
    }
}

/// A request is sent once its connection is established, so no retry may start if its connection may be established
/// only after the deduplication window.
#[test]
fn a_retry_is_sent_before_the_dedup_window_ends_even_on_a_late_connection() {
    let slow_to_connect = Settings { dial_timeout: 250 * MILLIS, ..settings() };
    let mut latest = Duration::ZERO;
    for seed in 0..400 {
        let mut node = Node::new(seed, slow_to_connect.clone(), serving_endpoints(8));
        let first = attempted_server(&node.request(1, 1)).expect("placed");
        let first_sent_at = node.now;
        node.now += 500 * MILLIS;
        let mut actions = node.end_attempt(1, first, Outcome::Reset);
        while let Some((after, token)) = requested_timer(&actions) {
            node.now += after;
            actions = node.handle(Event::Timer(token));
        }
        if attempted_server(&actions).is_some() {
            latest = latest.max((node.now + 250 * MILLIS).saturating_duration_since(first_sent_at));
        }
    }
    assert!(
        (750 * MILLIS..800 * MILLIS).contains(&latest),
        "the latest retry may be sent {latest:?} after the first attempt"
    );
}
