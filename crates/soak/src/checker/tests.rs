//! Each check is shown to fail: the fault is put in, and the checker must report it.

use super::*;
use std::thread::sleep;

const LINE: &str = "OPEN a 1 c=once,t=acme,d=1000,g=5c\r\n";

fn checker(class: Class) -> Checker {
    let mut checker = Checker::new(1);
    checker.on_start(0);
    checker.on_request("a", 0, 1, class, LINE);
    checker
}

fn rules(checker: &Checker) -> Vec<&'static str> {
    checker.violations().iter().map(|violation| violation.rule).collect()
}

fn wait(checker: &mut Checker, span: Duration) {
    sleep(span);
    checker.tick(span);
    checker.late_ticks.clear();
}

#[test]
fn a_request_without_an_answer_is_reported_and_a_killed_node_is_excused() {
    let mut checker = checker(Class::Live);
    checker.on_no_answer("a", "the connection ended");
    assert_eq!(rules(&checker), ["lost"]);
    checker.on_kill(0);
    checker.on_no_answer("a", "the connection ended");
    assert_eq!(rules(&checker), ["lost"]);
}

#[test]
fn an_answer_that_is_late_is_reported() {
    let mut checker = checker(Class::Live);
    checker.on_answer("a", Answer::Busy, DEADLINE);
    checker.on_answer("a", Answer::Busy, DEADLINE + 2 * LOST_AFTER);
    assert_eq!(rules(&checker), ["lost"]);
}

#[test]
fn an_attempt_for_a_client_that_has_gone_is_reported() {
    let mut checker = checker(Class::Live);
    checker.on_client_gone("a");
    wait(&mut checker, 3 * GONE_GRACE);
    checker.on_attempt("a", 0, LINE);
    assert_eq!(rules(&checker), ["gone"]);
}

#[test]
fn an_attempt_at_a_server_that_drains_is_reported_until_it_returns() {
    let mut checker = checker(Class::Live);
    checker.on_notified(0, 1, 3, false);
    wait(&mut checker, DRAIN_GRACE + NOTICE_SLACK);
    checker.on_attempt("a", 3, LINE);
    checker.on_attempt_ended("a", 3);
    checker.on_notified(0, 1, 3, true);
    checker.on_attempt("a", 3, LINE);
    assert_eq!(rules(&checker), ["drain"]);
}

#[test]
fn a_second_attempt_is_reported_where_the_first_may_have_run() {
    let mut once = checker(Class::Once);
    once.on_attempt("a", 0, LINE);
    once.on_attempt_rejected("a", 0);
    once.on_attempt_ended("a", 0);
    once.on_attempt("a", 1, LINE);
    assert_eq!(rules(&once), [""; 0], "the first has not run");
    once.on_attempt_ended("a", 1);
    once.on_attempt("a", 2, LINE);
    assert_eq!(rules(&once), ["duplicate"]);
}

#[test]
fn a_retry_after_its_window_and_one_beside_another_are_reported() {
    let mut keyed = checker(Class::Keyed);
    keyed.on_attempt("a", 0, LINE);
    keyed.on_attempt_ended("a", 0);
    wait(&mut keyed, DEDUP_WINDOW + NOTICE_SLACK);
    keyed.on_attempt("a", 1, LINE);
    assert_eq!(rules(&keyed), ["duplicate"]);
    let mut live = checker(Class::Live);
    live.on_attempt("a", 0, LINE);
    wait(&mut live, 2 * NOTICE_SLACK);
    live.on_attempt("a", 1, LINE);
    assert_eq!(rules(&live), ["duplicate"]);
}

#[test]
fn a_changed_line_is_reported() {
    let mut checker = checker(Class::Live);
    checker.on_attempt("a", 0, "OPEN a 1 c=once,t=acme,d=431,g=5c\r\n");
    assert_eq!(rules(&checker), [""; 0]);
    checker.on_attempt_ended("a", 0);
    checker.on_attempt("a", 1, "OPEN a 1 c=once,t=acme,d=431\r\n");
    checker.on_attempt("b", 1, LINE);
    assert_eq!(rules(&checker), ["form", "form"]);
}
