//! Rule 1: one final answer in time, and nothing after it.

use crate::common::{endpoint, serving_endpoints, settings, LONG_AGO, SECOND};
use crate::node::{attempted_server, requested_timer, Node};
use sparbank::model::{Action, Event, Outcome, RequestId, Status};
use std::time::Duration;

fn final_answers(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_))).count()
}

#[test]
fn attempts_that_all_time_out_end_in_one_answer_in_time() {
    let mut node = Node::new(1, settings(), serving_endpoints(6));
    let start = node.now;
    let mut actions = node.request(1, 0);
    let mut answers = 0;
    let mut attempts = 0;
    while answers == 0 {
        if let Some(Action::StartAttempt { server, timeout, .. }) =
            actions.iter().find(|a| matches!(a, Action::StartAttempt { .. })).cloned()
        {
            attempts += 1;
            node.now += timeout;
            actions = node.end_attempt(1, server, Outcome::Timeout);
        } else {
            actions = node.elapse_timer(&actions);
        }
        answers += final_answers(&actions);
    }
    assert_eq!((answers, attempts), (1, 3), "a server that does not answer costs the timeout of one attempt");
    assert!(node.now <= start + 2 * SECOND);
}

#[test]
fn without_a_serving_server_a_request_is_rejected_by_its_deadline() {
    let draining = (0..4).map(|server| endpoint(server, LONG_AGO, Status::Draining)).collect();
    for endpoints in [vec![], draining] {
        let mut node = Node::new(1, settings(), endpoints);
        let start = node.now;
        let mut actions = node.request(1, 2);
        while final_answers(&actions) == 0 {
            assert_eq!(attempted_server(&actions), None);
            actions = node.elapse_timer(&actions);
        }
        assert!(matches!(actions[..], [Action::Reject { .. }]), "nothing ran, so a rejection is safe");
        assert!(node.now <= start + 2 * SECOND);
    }
}

/// Regression: a timer elapsed early by a rounding error, and its request was lost.
#[test]
fn a_timer_that_elapses_early_is_not_lost() {
    let mut node = Node::new(1, settings(), vec![]);
    let actions = node.request(1, 0);
    let (after, token) = requested_timer(&actions).expect("a backoff timer");
    node.now += after.saturating_sub(Duration::from_nanos(1));
    assert!(!node.handle(Event::Timer(token)).is_empty());
}

#[test]
fn nothing_is_sent_after_the_client_disconnected() {
    let mut node = Node::new(1, settings(), serving_endpoints(3));
    let server = attempted_server(&node.request(1, 0)).expect("placed");
    assert_eq!(
        node.handle(Event::ClientDisconnected(RequestId(1))),
        [Action::CancelAttempt { id: RequestId(1), attempt: 0 }]
    );
    assert_eq!(node.handle(Event::ClientDisconnected(RequestId(1))), []);
    assert_eq!(node.end_attempt(1, server, Outcome::Cancelled), []);
    assert_eq!(node.handle(Event::Timer(1)), []);
}
