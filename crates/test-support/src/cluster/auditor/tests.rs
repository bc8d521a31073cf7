//! Each test injects a fault and verifies that the auditor reports it.

use super::{Auditor, ObservedAttempt, Outcome};
use crate::cluster::clients::ANSWER_TIMEOUT;
use crate::cluster::endpoint_list::{EndpointList, ListedEndpoint};
use crate::cluster::ClusterConfig;
use crate::invariants::{Rule, Violation};
use std::thread::sleep;
use std::time::Duration;

const LINE: &str = "OPEN a 1 c=live-readings,t=acme,d=1200,g=0\r\n";

fn auditor_of_two_nodes() -> Auditor {
    let mut auditor = Auditor::new(2);
    auditor.on_node_up(0);
    auditor.on_node_up(1);
    auditor
}

fn violations(auditor: Auditor) -> Vec<Violation> {
    auditor.summarize(&ClusterConfig::for_nodes(2)).violations
}

/// Checks that exactly one violation was reported, of this rule and with a detail that begins with this text.
fn assert_only(reported: &[Violation], rule: Rule, detail: &str) {
    let [violation] = reported else { panic!("{reported:?}") };
    assert!(violation.rule == rule && violation.detail.starts_with(detail), "{violation}");
}

fn attempt_at(server: usize) -> ObservedAttempt {
    ObservedAttempt { server, is_warming_up: false, is_dead: false }
}

#[test]
fn a_lost_request_is_reported_and_a_killed_node_is_excused() {
    let mut auditor = auditor_of_two_nodes();
    for (id, node) in [("a", 0), ("b", 1)] {
        auditor.on_request(id, node, LINE);
    }
    auditor.on_node_down(1);
    auditor.on_outcome("a", Outcome::TimedOut, ANSWER_TIMEOUT);
    auditor.on_outcome("b", Outcome::TimedOut, ANSWER_TIMEOUT);
    let reported = violations(auditor);
    assert_only(&reported, Rule::Lost, "request a at node 0");
}

#[test]
fn two_concurrent_attempts_are_reported() {
    let mut auditor = auditor_of_two_nodes();
    auditor.on_request("a", 0, LINE);
    auditor.on_attempt("a", attempt_at(1), LINE);
    sleep(Duration::from_millis(150));
    auditor.tick(Duration::from_millis(150));
    auditor.on_attempt("a", attempt_at(2), LINE);
    let reported = violations(auditor);
    assert_only(&reported, Rule::Duplicate, "request a is at servers 1 and 2");
}

#[test]
fn an_attempt_at_a_server_that_the_node_was_notified_to_stop_using_is_reported() {
    for is_complete in [false, true] {
        let mut auditor = auditor_of_two_nodes();
        let endpoint = if is_complete {
            ListedEndpoint { server: 2, is_ready: true }
        } else {
            ListedEndpoint { server: 1, is_ready: false }
        };
        let incarnation = auditor.incarnation(0);
        auditor.on_list_sent(0, incarnation, &EndpointList::new(7, is_complete, vec![endpoint]));
        sleep(Duration::from_millis(400));
        auditor.tick(Duration::from_millis(400));
        for (id, node) in [("a", 0), ("b", 1)] {
            auditor.on_request(id, node, LINE);
            auditor.on_attempt(id, attempt_at(1), LINE);
        }
        let reported = violations(auditor);
        // Node 1 was not notified, so its attempt is no violation.
        assert_only(&reported, Rule::Drain, "node 0 sent a to server 1");
    }
}

#[test]
fn an_overloaded_server_in_slow_start_is_reported() {
    let mut auditor = auditor_of_two_nodes();
    auditor.on_slow_start_load("s-1", 1.2, false);
    auditor.on_slow_start_load("s-1", 1.4, true);
    let detail = "server s-1 is overloaded while warming up";
    assert_only(&violations(auditor), Rule::SlowStartOverload, detail);
}
