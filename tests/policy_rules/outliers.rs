//! Ejection of failing servers, and of stale entries of a cached list.

use crate::common::{serving_endpoints, settings, MILLIS, SECOND};
use crate::node::{attempted_server, Node};
use sparbank::model::{Event, ListKind, Outcome, RequestId, ServerId};

#[test]
fn a_server_that_failed_is_ejected_and_tried_again_later() {
    let mut node = Node::new(5, settings(), serving_endpoints(2));
    let mut report_failure = |server: ServerId| {
        node.handle(Event::AttemptEnded { id: RequestId(999), server, outcome: Outcome::Error, done: false });
    };
    report_failure(ServerId(0));
    // Attempts that this node did not start have no effect.
    let placed: Vec<_> = (0..40).filter_map(|id| attempted_server(&node.request(id, 0))).collect();
    assert!(placed.contains(&ServerId(0)));
    let mut node = Node::new(5, settings(), serving_endpoints(2));
    let failed = attempted_server(&node.request(1, 0)).expect("placed");
    node.end_attempt(1, failed, Outcome::Timeout);
    assert!((2..30).all(|id| attempted_server(&node.request(id, 0)) != Some(failed)));
    node.now += 60 * SECOND;
    assert!((30..60).any(|id| attempted_server(&node.request(id, 0)) == Some(failed)), "it is tried again");
}

/// A restarted node starts with a cached list: a server that no longer exists gets about two attempts until a newer
/// list arrives, however the connection fails; a server that the newer list contains is a candidate at once.
#[test]
fn an_unconfirmed_endpoint_that_failed_stays_ejected_until_a_newer_list() {
    for outcome in [Outcome::ConnectFailed, Outcome::Reset] {
        let mut attempts = 0;
        let mut at_once = 0;
        for seed in 0..40 {
            let mut node = Node::new(seed, settings(), serving_endpoints(4));
            let attempt = |node: &mut Node, id: u64| {
                node.now += 100 * MILLIS;
                let server = attempted_server(&node.request(id, 0)).expect("other servers");
                if server == ServerId(0) {
                    node.end_attempt(id, server, outcome);
                }
                u32::from(server == ServerId(0))
            };
            attempts += (0..80).map(|id| attempt(&mut node, id)).sum::<u32>();
            node.handle(Event::EndpointList(ListKind::Incremental, vec![]));
            at_once += (100..110).map(|id| attempt(&mut node, id)).sum::<u32>();
        }
        assert!(attempts <= 2 * 40, "{attempts} attempts by 40 nodes at a dead server in 8 s, {outcome:?}");
        assert!(at_once >= 10, "{at_once} attempts by 40 nodes once the newer list contained it");
    }
}

/// Regression, where no list but the cached one ever arrives: one invalid request that got an error from five servers
/// had them ejected for up to 30 s each. A server that answers exists, whichever list contains it.
#[test]
fn an_unconfirmed_endpoint_that_answers_is_confirmed() {
    for seed in 0..40 {
        let mut node = Node::new(seed, settings(), serving_endpoints(1));
        let server = attempted_server(&node.request(1, 0)).expect("placed");
        node.end_attempt(1, server, Outcome::Error);
        node.now += 2 * SECOND;
        assert_eq!(attempted_server(&node.request(2, 0)), Some(server), "seed {seed}: 2 s after an error");
        node.handle(Event::Established { id: RequestId(2), server, setup_time: 20 * MILLIS });
        let server = attempted_server(&node.request(3, 0)).expect("placed");
        node.end_attempt(3, server, Outcome::ConnectFailed);
        node.now += 2 * SECOND;
        assert_eq!(
            attempted_server(&node.request(4, 0)),
            Some(server),
            "seed {seed}: 2 s after a failure of a confirmed server"
        );
    }
}
