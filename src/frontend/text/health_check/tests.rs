use super::{CheckStep, EndedConnection, HealthChecks};
use crate::model::ServerId;
use crate::net::Token;
use sparbank_time::MonotonicTime;

fn at(nanos: u64) -> MonotonicTime {
    MonotonicTime::from_nanos(nanos)
}

#[test]
fn a_server_has_one_check_in_flight_and_its_connection_is_reused() {
    let mut checks = HealthChecks::default();
    let server = ServerId(3);
    let token = Token::for_tests(9);
    assert_eq!(checks.begin_check(at(0), server), CheckStep::Connect);
    checks.add_connection(at(0), server, token);
    assert_eq!(checks.begin_check(at(5), server), CheckStep::AlreadyInFlight);
    assert!(checks.was_sent_before(token, at(1)) && !checks.was_sent_before(token, at(0)));
    assert_eq!(checks.on_answer(token), Some(server));
    assert_eq!(checks.on_answer(token), None, "no check was in flight");
    assert_eq!(checks.begin_check(at(10), server), CheckStep::Reuse(token));
    assert_eq!(checks.remove_connection(token), Some(EndedConnection { server, was_in_flight: true }));
    assert_eq!(checks.begin_check(at(20), server), CheckStep::Connect);
}
