//! Reconnects and retries wait for admission; first attempts of new clients do not.

use crate::common::{arrival, serving_endpoints, settings, MILLIS, SECOND};
use crate::node::{attempted_server, requested_timer, Node};
use sparbank::model::{Action, Arrival, Discovery, Event, ListKind, Outcome, RequestId, Settings};

#[rstest::rstest]
#[case(Arrival { reconnect: true, ..arrival(1, 0) })]
#[case(Arrival { client_retry: true, ..arrival(1, 0) })]
fn a_reconnect_or_client_retry_backs_off_first(#[case] arrival: Arrival) {
    let mut node = Node::new(1, settings(), serving_endpoints(5));
    let actions = node.handle(Event::Request(arrival));
    assert_eq!(attempted_server(&actions), None);
    assert!(attempted_server(&node.elapse_timer(&actions)).is_some());
}

/// Eight attempts are in flight when a zone fails: the admission window shrinks once for that, not eight times.
#[test]
fn failures_of_attempts_sent_before_the_last_failure_do_not_shrink_the_window() {
    let admitted_after_failures = |simultaneous: bool| {
        let mut node = Node::new(3, settings(), serving_endpoints(20));
        for id in 500..510 {
            let server = attempted_server(&node.request(id, 0)).expect("placed");
            node.establish(id, server);
        }
        let in_flight: Vec<_> =
            (0..8).map(|id| (id, attempted_server(&node.request(id, 0)).expect("placed"))).collect();
        node.now += 400 * MILLIS;
        for (id, server) in in_flight {
            node.end_attempt(id, server, Outcome::Timeout);
            // Consecutive failures: each attempt is sent after the failure before it was known.
            if !simultaneous {
                let next =
                    attempted_server(&node.request(100 + id, 0)).expect("a new client's attempt starts");
                node.now += 400 * MILLIS;
                node.end_attempt(100 + id, next, Outcome::Timeout);
            }
        }
        node.now += 5 * SECOND;
        let reconnect =
            |id| Event::Request(Arrival { reconnect: true, time_left: 10 * SECOND, ..arrival(id, 0) });
        let timers: Vec<_> =
            (1_000..1_100).filter_map(|id| requested_timer(&node.handle(reconnect(id)))).collect();
        node.now += SECOND;
        timers
            .iter()
            .filter(|(_, token)| attempted_server(&node.handle(Event::Timer(*token))).is_some())
            .count()
    };
    let (simultaneous, consecutive) = (admitted_after_failures(true), admitted_after_failures(false));
    assert!(
        simultaneous >= 10 && consecutive == 1,
        "{simultaneous} admitted after eight simultaneous failures, {consecutive} after consecutive ones"
    );
}

/// Regression: hundreds of connections that were established at once overloaded a store that all servers share.
#[test]
fn consecutive_failures_pace_reconnects_and_no_new_client() {
    let mut node = Node::new(1, settings(), serving_endpoints(20));
    for id in 0..8 {
        node.now += SECOND;
        if let Some(server) = attempted_server(&node.request(id, 0)) {
            node.now += SECOND;
            node.end_attempt(id, server, Outcome::Timeout);
        }
    }
    node.now += 2 * SECOND;
    let reconnect = |id| Event::Request(Arrival { reconnect: true, ..arrival(id, 0) });
    let timers: Vec<_> = (100..150).filter_map(|id| requested_timer(&node.handle(reconnect(id)))).collect();
    node.now += SECOND;
    let retries =
        timers.iter().filter(|(_, token)| attempted_server(&node.handle(Event::Timer(*token))).is_some());
    let retries = retries.count();
    let new = (200..210).filter(|id| attempted_server(&node.request(*id, 0)).is_some()).count();
    assert!(retries <= 1, "{retries} of 50 reconnects started at once during a shared failure");
    assert_eq!(new, 10, "a new client's first attempt starts at once");
}

#[test]
fn log_lines_are_written_on_state_changes_only() {
    let log_lines = |actions: &[Action]| actions.iter().filter(|a| matches!(a, Action::Log(_))).count();
    let polled = Settings { discovery: Discovery::Polled, ..settings() };
    let mut node = Node::new(1, polled, serving_endpoints(20));
    node.handle(Event::EndpointList(ListKind::Incremental, vec![]));
    let failed_poll =
        |node: &mut Node| log_lines(&node.handle(Event::EndpointList(ListKind::Failed, vec![])));
    assert_eq!((failed_poll(&mut node), failed_poll(&mut node)), (1, 0));
    let mut lines = 0;
    for id in 0..10 {
        node.now += 3 * SECOND;
        let server = attempted_server(&node.request(id, 0)).expect("placed");
        lines += log_lines(&node.end_attempt(id, server, Outcome::Timeout));
    }
    assert_eq!(lines, 1, "ten consecutive failures are one change");
    let mut lines = 0;
    for id in 10..30 {
        node.now += 3 * SECOND;
        let server = attempted_server(&node.request(id, 0)).expect("placed");
        lines += log_lines(&node.handle(Event::Established {
            id: RequestId(id),
            server,
            setup_time: 20 * MILLIS,
        }));
    }
    assert_eq!(lines, 1, "the end of pacing is one change");
}
