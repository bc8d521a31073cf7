//! The four rules, each kept by one node alone, and one regression for each failure found.

mod common;

use common::*;
use sparbank::vocabulary::*;
use std::collections::BTreeMap;

fn final_answers(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_))).count()
}

// ---- The mechanism --------------------------------------------------------------------------------

#[test]
fn first_attempts_go_at_once_and_a_retry_sleeps_full_jitter_and_goes_elsewhere() {
    let mut longest = 0;
    for seed in 0..200 {
        let mut node = Node::new(seed, settings(), serving(5));
        let first = tried(&node.request(1, 0)).expect("the first attempt goes at once");
        let after_failure = node.end(1, first, Outcome::ConnectFailed);
        assert_eq!(tried(&after_failure), None);
        let (nap, _) = timer(&after_failure).expect("a sleep");
        longest = longest.max(nap);
        let second = tried(&node.wake(&after_failure)).expect("a second attempt");
        assert_ne!(first, second);
    }
    // base * 2^1 is half the objective here: no sleep beyond it, and some near it.
    assert!(longest <= 150 * MS && longest > 120 * MS, "longest sleep {longest}");
}

#[rstest::rstest]
#[case(Arrival { reconnect: true, ..arrival(1, 0) })]
#[case(Arrival { client_retry: true, ..arrival(1, 0) })]
fn a_client_that_comes_again_waits_one_sleep_first(#[case] back: Arrival) {
    let mut node = Node::new(1, settings(), serving(5));
    let actions = node.tell(Event::Request(back));
    assert_eq!(tried(&actions), None);
    assert!(tried(&node.wake(&actions)).is_some());
}

#[test]
fn own_open_connections_decide_among_the_drawn() {
    let mut node = Node::new(3, settings(), one_hall(3));
    let mut held = BTreeMap::new();
    for id in 0..90 {
        let server = tried(&node.request(id, 0)).expect("placed");
        node.stands(id, server);
        *held.entry(server).or_insert(0) += 1;
    }
    assert!(held.values().all(|n| (29..=31).contains(n)), "three of three drawn stay level: {held:?}");
}

/// Three servers that could not be reached are left alone by the next process too, which numbers them anew.
#[test]
fn a_process_that_takes_this_ones_place_knows_what_it_learned() {
    let mut node = Node::new(3, settings(), serving(6));
    for id in 0..60 {
        if let Some(server) = tried(&node.request(id, 0)) {
            if server.0 < 3 {
                node.end(id, server, Outcome::ConnectFailed);
            } else {
                node.stands(id, server);
            }
        }
    }
    let learned = node.balancer.state_snapshot();
    let renumbered =
        || serving(6).into_iter().map(|m| Endpoint { server: ServerId(5 - m.server.0), ..m }).collect();
    let (mut next, mut stranger) =
        (Node::new(4, settings(), renumbered()), Node::new(4, settings(), renumbered()));
    next.balancer.restore_state(&learned).expect("it is read");
    let drawn = |node: &mut Node| -> usize {
        (100..200).filter(|id| tried(&node.request(*id, 0)).is_some_and(|server| server.0 > 2)).count()
    };
    assert_eq!(drawn(&mut next), 0);
    assert!(drawn(&mut stranger) > 30);
    assert!(next.balancer.restore_state("[1,").is_err());
    assert_eq!(drawn(&mut next), 0, "what cannot be read changes nothing");
}

/// Eight set-ups are out when a hall is lost: the window closes once for that, not eight times.
#[test]
fn what_was_sent_before_the_node_slowed_down_tells_nothing_new() {
    let out_at_once = |at_once: bool| {
        let mut node = Node::new(3, settings(), serving(20));
        for id in 500..510 {
            let server = tried(&node.request(id, 0)).expect("placed");
            node.stands(id, server);
        }
        let out: Vec<_> = (0..8).map(|id| (id, tried(&node.request(id, 0)).expect("placed"))).collect();
        node.now += 400 * MS;
        for (id, server) in out {
            node.end(id, server, Outcome::Timeout);
            // One after another, each sent after the last failure was known.
            if !at_once {
                let again = tried(&node.request(100 + id, 0)).expect("a new client's goes");
                node.now += 400 * MS;
                node.end(100 + id, again, Outcome::Timeout);
            }
        }
        node.now += 5 * S;
        let back = |id| Event::Request(Arrival { reconnect: true, time_left: 10 * S, ..arrival(id, 0) });
        let asleep: Vec<_> = (1_000..1_100).filter_map(|id| timer(&node.tell(back(id)))).collect();
        node.now += S;
        asleep.iter().filter(|(_, token)| tried(&node.tell(Event::Timer(*token))).is_some()).count()
    };
    let (once, often) = (out_at_once(true), out_at_once(false));
    assert!(
        once >= 10 && often == 1,
        "{once} out after one failure of eight, {often} after failures in a row"
    );
}

// ---- Rule 1: one final answer in time -------------------------------------------------------------

#[test]
fn every_attempt_silent_ends_in_one_answer_in_time() {
    let mut node = Node::new(1, settings(), serving(6));
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
            actions = node.end(1, server, Outcome::Timeout);
        } else {
            actions = node.wake(&actions);
        }
        answers += final_answers(&actions);
    }
    assert_eq!((answers, attempts), (1, 3), "a silent server costs one slice of the time");
    assert!(node.now - start <= 2 * S);
}

#[test]
fn no_server_or_none_that_serves_is_answered_by_the_deadline() {
    let draining = (0..4).map(|server| member(server, 0, Status::Draining)).collect();
    for members in [vec![], draining] {
        let mut node = Node::new(1, settings(), members);
        let start = node.now;
        let mut actions = node.request(1, 2);
        while final_answers(&actions) == 0 {
            assert_eq!(tried(&actions), None);
            actions = node.wake(&actions);
        }
        assert!(matches!(actions[..], [Action::Reject { .. }]), "nothing ran: a refusal is true");
        assert!(node.now - start <= 2 * S);
    }
}

/// Found on the first standard days: a timer may come a rounding early, and the sleeper was lost.
#[test]
fn a_timer_that_comes_early_still_wakes_its_sleeper() {
    let mut node = Node::new(1, settings(), vec![]);
    let actions = node.request(1, 0);
    let (after, token) = timer(&actions).expect("a sleep");
    node.now += after.saturating_sub(1);
    assert!(!node.tell(Event::Timer(token)).is_empty());
}

#[test]
fn nothing_goes_out_after_the_client_left() {
    let mut node = Node::new(1, settings(), serving(3));
    let server = tried(&node.request(1, 0)).expect("placed");
    assert_eq!(
        node.tell(Event::ClientDisconnected(RequestId(1))),
        [Action::CancelAttempt { id: RequestId(1), attempt: 0 }]
    );
    assert_eq!(node.tell(Event::ClientDisconnected(RequestId(1))), []);
    assert_eq!(node.end(1, server, Outcome::Cancelled), []);
    assert_eq!(node.tell(Event::Timer(1)), []);
}

// ---- Rule 2: no effect twice ----------------------------------------------------------------------

#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_not_refused() {
    let mut node = Node::new(1, settings(), serving(5));
    let server = tried(&node.request(1, 2)).expect("placed");
    let actions = node.end(1, server, Outcome::Error);
    assert_eq!(node.wake(&actions), [Action::Fail(RequestId(1))]);
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_group_and_window() {
    for seed in 0..50 {
        let mut node = Node::new(seed, settings(), serving(8));
        let first = tried(&node.request(1, 1)).expect("placed");
        let actions = node.end(1, first, Outcome::Error);
        let actions = node.wake(&actions);
        let second = tried(&actions).expect("its zone has more servers");
        assert_eq!(first.0 % 2, second.0 % 2, "the repeat is discarded only within the zone");
        node.now += 800 * MS;
        let actions = node.end(1, second, Outcome::ConnectFailed);
        assert_eq!(node.wake(&actions), [Action::Fail(RequestId(1))], "the window is over");
    }
}

// ---- Rule 3: drains -------------------------------------------------------------------------------

#[test]
fn nothing_goes_to_a_server_told_to_drain_or_absent_from_a_full_list() {
    let mut node = Node::new(1, settings(), serving(4));
    node.tell(Event::EndpointList(ListKind::Incremental, vec![member(0, 0, Status::Draining)]));
    node.tell(Event::EndpointList(ListKind::Incremental, vec![member(1, 0, Status::Removed)]));
    node.tell(Event::EndpointList(ListKind::Failed, vec![]));
    for id in 0..50 {
        assert!(tried(&node.request(id, 0)).is_some_and(|server| server.0 >= 2));
    }
    node.tell(Event::EndpointList(ListKind::Full, serving(3)));
    for id in 50..100 {
        assert!(tried(&node.request(id, 0)).is_some_and(|server| server.0 <= 2));
    }
}

/// Found on a port-louis day at full size: the guess at a holder named a draining server.
#[test]
fn a_rerouted_connection_finds_its_holder_but_never_a_draining_or_cold_one() {
    let rerouted = |id: u64, key: u64| Arrival { key: Some(key), rerouted: true, ..arrival(id, 0) };
    let (mut one, mut other) =
        (Node::new(1, settings(), one_hall(20)), Node::new(2, settings(), one_hall(20)));
    let mut found = 0;
    for id in 0..100 {
        let key = Arrival { key: Some(id), ..arrival(id, 0) };
        let holder = tried(&one.tell(Event::Request(key))).expect("placed");
        let guess = tried(&other.tell(Event::Request(rerouted(id, id)))).expect("placed");
        found += u32::from(holder == guess);
    }
    assert!(found > 50, "{found} of 100 found their holder; chance finds 5");
    let started_at = other.now - S;
    let poor = (0..10)
        .map(|s| member(s, 0, Status::Draining))
        .chain((10..15).map(|s| member(s, started_at, Status::Serving)));
    other.tell(Event::EndpointList(ListKind::Incremental, poor.collect()));
    for id in 100..200 {
        let guess = tried(&other.tell(Event::Request(rerouted(id, id)))).expect("placed");
        assert!(guess.0 >= 15, "server {} is no guess", guess.0);
    }
}

// ---- Rule 4: cold servers -------------------------------------------------------------------------

/// Twenty nodes that hold 60 connections each on warm servers meet cold ones, a second old, in a
/// crowd of returning clients. Gives the most that one cold server was sent within one second.
fn crowd(warm: u32, cold: u32, held: u64, busy: bool) -> usize {
    let mut sent: BTreeMap<ServerId, Vec<Nanos>> = BTreeMap::new();
    for number in 0..20 {
        let mut node = Node::new(number, settings(), serving(warm));
        for id in 0..held {
            node.now += 100 * MS;
            if let Some(server) = tried(&node.request(id, 0)) {
                node.stands(id, server);
            }
        }
        node.now = 200 * S;
        let started_at = node.now - S;
        let starts = (warm..warm + cold).map(|server| member(server, started_at, Status::Serving)).collect();
        node.tell(Event::EndpointList(ListKind::Incremental, starts));
        for id in held..held + 30 {
            if busy {
                for server in (0..warm).map(ServerId) {
                    node.tell(Event::LatencyReport { server, latency: 90 * MS });
                }
            }
            if let Some(server) = tried(&node.request(id, 0)).filter(|server| server.0 >= warm) {
                sent.entry(server).or_default().push(node.now);
            }
            node.now += 97 * MS + number * MS / 3;
        }
    }
    let worst = |times: &Vec<Nanos>| {
        let within = |from: Nanos| times.iter().filter(|t| (from..from + S).contains(*t)).count();
        times.iter().map(|from| within(*from)).max()
    };
    sent.values().filter_map(worst).max().unwrap_or(0)
}

/// A server of this fleet holds 120 connections at six tenths of its capacity, so 200 fill it. Cold, it
/// can take what fills it over its warm-up, at 0.37 warmth in the first second, three times that: 22.
const PUSHED_OVER: usize = 22;

/// Found on port-louis days: saved-up permissions, and waiting requests, met at one cold server.
#[test]
fn nodes_together_do_not_push_a_cold_server_over() {
    for (cold, busy) in [(1, false), (5, false), (10, false), (1, true), (5, true), (10, true)] {
        let worst = crowd(10, cold, 60, busy);
        assert!((1..PUSHED_OVER).contains(&worst), "{cold} cold, others busy {busy}: {worst} in a second");
    }
}

#[test]
fn nodes_that_have_just_restarted_meet_cold_servers_gently_and_still_place() {
    let worst = crowd(0, 10, 0, false);
    assert!((1..PUSHED_OVER).contains(&worst), "{worst} in a second");
}

// ---- Health, jams, shared failures ----------------------------------------------------------------

#[test]
fn a_server_that_failed_rests_and_comes_back() {
    let mut node = Node::new(5, settings(), serving(2));
    let mut fails = |server: ServerId| {
        node.tell(Event::AttemptEnded { id: RequestId(999), server, outcome: Outcome::Error, done: false });
    };
    fails(ServerId(0));
    // Unknown attempts teach nothing: only an attempt of this node counts.
    let placed: Vec<_> = (0..40).filter_map(|id| tried(&node.request(id, 0))).collect();
    assert!(placed.contains(&ServerId(0)));
    let mut node = Node::new(5, settings(), serving(2));
    let bad = tried(&node.request(1, 0)).expect("placed");
    node.end(1, bad, Outcome::Timeout);
    assert!((2..30).all(|id| tried(&node.request(id, 0)) != Some(bad)));
    node.now += 60 * S;
    assert!((30..60).any(|id| tried(&node.request(id, 0)) == Some(bad)), "it is tried again");
}

/// A node with 100 standing connections on two servers.
fn two_that_hold_fifty(settings: Settings) -> Node {
    let mut node = Node::new(1, settings, serving(2));
    for id in 0..100 {
        let server = tried(&node.request(id, 0)).expect("placed");
        node.stands(id, server);
    }
    node
}

fn moved(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Migrate(_))).count()
}

/// Found on suva overload: what was moved off one jam poured into the next free server.
#[test]
fn a_jammed_server_sheds_takes_nothing_and_is_refilled_slowly() {
    let mut node = two_that_hold_fifty(settings());
    let jammed = ServerId(0);
    let note = |delay| Event::LatencyReport { server: jammed, latency: delay };
    let first = moved(&node.tell(note(400 * MS)));
    assert!((10..=25).contains(&first), "{first} of 50 moved as the delay rose by 0.4 s in a second");
    node.now += S;
    assert_eq!(moved(&node.tell(note(200 * MS))), 0, "the pile shrinks: nothing more moves");
    assert!((200..230).all(|id| tried(&node.request(id, 0)) != Some(jammed)));
    node.now += S;
    node.tell(note(10 * MS));
    node.now += S;
    let back = (300..400).filter(|id| tried(&node.request(*id, 0)) == Some(jammed)).count();
    assert!(back <= 10, "{back} of 100 at once to a server that was jammed a second ago");
}

/// Found on the second deployment, whose servers stand still for 120 to 390 ms every few seconds: each stall
/// sent a part of what stood there away, to come again elsewhere. Where probes are allowed, the server is asked
/// first whether it is over what it can do; a second late note in a row moves without asking.
#[test]
fn a_late_server_is_asked_first_where_probes_are_allowed() {
    let mut node = two_that_hold_fifty(Settings { probes: true, ..settings() });
    let late = ServerId(0);
    let note = |delay| Event::LatencyReport { server: late, latency: delay };
    assert_eq!(node.tell(note(390 * MS)), [Action::HealthCheck(late)]);
    assert_eq!(
        node.tell(Event::HealthCheckResult { server: late, utilization: Some(0.7) }),
        [],
        "it stood still: all stays"
    );
    assert!((200..220).all(|id| tried(&node.request(id, 0)) != Some(late)), "nothing new while it is late");
    node.now += 3 * S;
    assert_eq!(node.tell(note(300 * MS)), [Action::HealthCheck(late)]);
    let jammed = moved(&node.tell(Event::HealthCheckResult { server: late, utilization: Some(1.6) }));
    assert!((10..=25).contains(&jammed), "{jammed} of 50 moved from a region over what it can do");
    node.now += S;
    assert!(moved(&node.tell(note(500 * MS))) > 0, "late twice in a row: no need to ask");
    node.now += 3 * S;
    node.tell(note(400 * MS));
    assert_eq!(
        moved(&node.tell(Event::HealthCheckResult { server: late, utilization: None })),
        0,
        "no answer tells nothing"
    );
}

/// Found on suva days: hundreds of set-ups at once drown a store that all of them need.
#[test]
fn set_ups_that_fail_in_a_row_pace_who_comes_again_and_no_new_client() {
    let mut node = Node::new(1, settings(), serving(20));
    for id in 0..8 {
        node.now += S;
        if let Some(server) = tried(&node.request(id, 0)) {
            node.now += S;
            node.end(id, server, Outcome::Timeout);
        }
    }
    node.now += 2 * S;
    let back = |id| Event::Request(Arrival { reconnect: true, ..arrival(id, 0) });
    let asleep: Vec<_> = (100..150).filter_map(|id| timer(&node.tell(back(id)))).collect();
    node.now += S;
    let woke = asleep.iter().filter(|(_, token)| tried(&node.tell(Event::Timer(*token))).is_some());
    let (again, new) = (woke.count(), (200..210).filter(|id| tried(&node.request(*id, 0)).is_some()).count());
    assert!(again <= 1, "{again} of 50 went at once into a shared failure");
    assert_eq!(new, 10, "a new client's first attempt goes at once");
}

/// Found on port-louis incident i55645f: heavy connections of little worth stayed and jammed the light ones.
#[test]
fn what_is_worth_least_for_its_load_leaves_a_jam_first() {
    let mut node = Node::new(1, settings(), serving(1));
    let server = ServerId(0);
    for id in 0..40 {
        node.request(id, 0);
        node.stands(id, server);
        let cost = if id % 4 == 0 { 100 * MS } else { MS };
        node.tell(Event::LoadReport { id: RequestId(id), cost });
    }
    let actions = node.tell(Event::LatencyReport { server, latency: 110 * MS });
    let gone = |action: &Action| matches!(action, Action::Migrate(RequestId(id)) if id % 4 == 0);
    assert!((5..=12).contains(&actions.len()), "{} of 40", actions.len());
    assert!(actions.iter().take(10).all(gone), "{actions:?}");
}

#[test]
fn the_log_speaks_only_when_the_state_changes() {
    let said = |actions: &[Action]| actions.iter().filter(|a| matches!(a, Action::Log(_))).count();
    let ask = Settings { discovery: Discovery::Polled, ..settings() };
    let mut node = Node::new(1, ask, serving(20));
    node.tell(Event::EndpointList(ListKind::Incremental, vec![]));
    let lost = |node: &mut Node| said(&node.tell(Event::EndpointList(ListKind::Failed, vec![])));
    assert_eq!((lost(&mut node), lost(&mut node)), (1, 0));
    let mut lines = 0;
    for id in 0..10 {
        node.now += 3 * S;
        let server = tried(&node.request(id, 0)).expect("placed");
        lines += said(&node.end(id, server, Outcome::Timeout));
    }
    assert_eq!(lines, 1, "ten failures in a row are one change");
    let mut end = 0;
    for id in 10..30 {
        node.now += 3 * S;
        let server = tried(&node.request(id, 0)).expect("placed");
        end += said(&node.tell(Event::Established { id: RequestId(id), server, setup_time: 20 * MS }));
    }
    assert_eq!(end, 1);
}

/// A restarted node knows an old list: an entry that is long gone is hardly asked twice before the newer list
/// comes, however the connection fails; one that the list names again is drawn at once.
#[test]
fn an_entry_of_an_old_list_that_failed_waits_for_the_newer_one() {
    for outcome in [Outcome::ConnectFailed, Outcome::Reset] {
        let (mut asked, mut at_once) = (0, 0);
        for seed in 0..40 {
            let mut node = Node::new(seed, settings(), serving(4));
            let asks = |node: &mut Node, id: u64| {
                node.now += 100 * MS;
                let server = tried(&node.request(id, 0)).expect("others are there");
                if server == ServerId(0) {
                    node.end(id, server, outcome);
                }
                u32::from(server == ServerId(0))
            };
            asked += (0..80).map(|id| asks(&mut node, id)).sum::<u32>();
            node.tell(Event::EndpointList(ListKind::Incremental, vec![]));
            at_once += (100..110).map(|id| asks(&mut node, id)).sum::<u32>();
        }
        assert!(asked <= 2 * 40, "{asked} attempts of 40 relays at a dead entry in 8 s, {outcome:?}");
        assert!(at_once >= 10, "{at_once} of 40 relays asked it once the list had named it");
    }
}

/// Found on a day of the second deployment, where no other list ever comes: one bad request that met an error at
/// five servers had them ejected for up to 30 s each. A server that answers is there, whoever names it.
#[test]
fn an_entry_of_an_old_list_that_answers_is_as_any_other() {
    for seed in 0..40 {
        let mut node = Node::new(seed, settings(), serving(1));
        let server = tried(&node.request(1, 0)).expect("placed");
        node.end(1, server, Outcome::Error);
        node.now += 2 * S;
        assert_eq!(tried(&node.request(2, 0)), Some(server), "seed {seed}: 2 s after an error");
        node.tell(Event::Established { id: RequestId(2), server, setup_time: 20 * MS });
        let server = tried(&node.request(3, 0)).expect("placed");
        node.end(3, server, Outcome::ConnectFailed);
        node.now += 2 * S;
        assert_eq!(tried(&node.request(4, 0)), Some(server), "seed {seed}: a failure of one that stood");
    }
}

// ---- Discovery ------------------------------------------------------------------------------------

/// However many calls have failed and whatever the settings allow after that, the next one is due soon enough that a
/// change is known 6 s after discovery could be reached: 2 s for a call that is given up, the sleep, an answer.
#[test]
fn the_next_call_for_the_list_is_due_within_what_counts_as_told() {
    let cases = [
        (Discovery::Polled, 60 * S, 2_500 * MS),
        (Discovery::Polled, S, S),
        (Discovery::LocalAgent, 60 * S, 200 * MS),
    ];
    for (discovery, poll_within, most) in cases {
        let asks = Settings { discovery, poll_within, ..settings() };
        for seed in 0..50 {
            let mut node = Node::new(seed, asks.clone(), serving(3));
            for failed in 0..20 {
                let actions = node.tell(Event::EndpointList(ListKind::Failed, vec![]));
                let (after, token) = timer(&actions).expect("it asks again");
                assert!(after <= most, "{discovery:?}: {after} ns after {failed} failures");
                node.now += after;
                assert_eq!(node.tell(Event::Timer(token)), [Action::Subscribe]);
            }
        }
    }
    let mut node = Node::new(1, settings(), serving(3));
    let actions = node.tell(Event::EndpointList(ListKind::Failed, vec![]));
    assert!(timer(&actions).is_none(), "unasked lists are not asked for");
}

/// A keyed request's line goes out once its connection is up: a second copy whose connection may come up after the
/// window must not begin inside it.
#[test]
fn a_second_copy_is_out_before_its_window_ends_however_late_its_connection() {
    let slow = Settings { dial_timeout: 250 * MS, ..settings() };
    let mut latest = 0;
    for seed in 0..400 {
        let mut node = Node::new(seed, slow.clone(), serving(8));
        let first = tried(&node.request(1, 1)).expect("placed");
        let sent = node.now;
        node.now += 500 * MS;
        let mut actions = node.end(1, first, Outcome::Reset);
        while let Some((after, token)) = timer(&actions) {
            node.now += after;
            actions = node.tell(Event::Timer(token));
        }
        if tried(&actions).is_some() {
            latest = latest.max(node.now + 250 * MS - sent);
        }
    }
    assert!((750 * MS..800 * MS).contains(&latest), "the last copy may go out {latest} ns after the first");
}

#[test]
fn nodes_ask_for_the_list_at_different_times_and_again_after_a_failure() {
    let ask = Settings { discovery: Discovery::Polled, ..settings() };
    let mut first = Vec::new();
    for seed in 0..50 {
        let mut node = Node::new(seed, ask.clone(), serving(3));
        let actions = node.tell(Event::EndpointList(ListKind::Failed, vec![]));
        let (after, token) = timer(&actions).expect("it asks later");
        first.push(after);
        node.now += after;
        assert_eq!(node.tell(Event::Timer(token)), [Action::Subscribe]);
        assert!(tried(&node.request(1, 0)).is_some(), "the last list is kept in an outage");
    }
    first.sort_unstable();
    first.dedup();
    assert!(first.len() > 40, "no stampede");
    assert!(first.iter().all(|after| *after <= 10 * S), "asked before it is deemed told");
}

// ---- Odd input ------------------------------------------------------------------------------------

#[test]
fn settings_that_cannot_be_right_are_refused_by_name() {
    let refused = |settings: Settings| sparbank::Balancer::new(1, settings).err().map(|e| e.field);
    assert_eq!(refused(Settings { classes: vec![], ..settings() }), Some("classes"));
    assert_eq!(refused(Settings { max_attempts: 0, ..settings() }), Some("max_attempts"));
    assert_eq!(refused(Settings { instances: 0, ..settings() }), Some("instances"));
    assert_eq!(refused(Settings { slow_start_floor: f64::NAN, ..settings() }), Some("cold_from"));
    assert_eq!(refused(Settings { overload_multiple: -1.0, ..settings() }), Some("fall_multiple"));
    assert_eq!(refused(settings()), None);
}

#[test]
fn odd_lists_clocks_and_ids_do_no_harm() {
    let mut node = Node::new(1, settings(), vec![]);
    let odd = |server, nominal| Endpoint { nominal, ..member(server, 0, Status::Serving) };
    let odd = vec![odd(0, 0.0), odd(0, 2.0), odd(1, f64::NAN), odd(2, -1.0), odd(3, f64::INFINITY)];
    node.tell(Event::EndpointList(ListKind::Full, odd));
    for id in 0..20 {
        assert!(tried(&node.request(id, 7)).is_some(), "a clock that stands still, a class unheard of");
    }
    assert_eq!(node.tell(Event::ClientDisconnected(RequestId(12345))), []);
    assert_eq!(node.end(12345, ServerId(77), Outcome::Ok), []);
    assert_eq!(node.tell(Event::LatencyReport { server: ServerId(77), latency: u64::MAX }), []);
    node.tell(Event::LatencyReport { server: ServerId(1), latency: u64::MAX });
    node.stands(12345, ServerId(77));
    node.now = u64::MAX;
    node.request(21, 0);
    node.now = u64::MAX - 1;
    node.tell(Event::Request(Arrival { time_left: u64::MAX, ..arrival(22, 0) }));
    for again in 0..5 {
        node.tell(Event::EndpointList(
            ListKind::Incremental,
            vec![member(0, node.now - again, Status::Serving)],
        ));
    }
    let many = Node::new(1, settings(), serving(5000)).request(1, 0);
    assert!(tried(&many).is_some());
}

// ---- Many nodes, each of which sees little ---------------------------------------------------------

/// A hundred nodes in a fleet whose shares allow ten new connections a second and 500 standing ones.
fn large() -> Settings {
    Settings { instances: 100, quota_setups_per_second: 10.0, quota_connections: 500.0, ..settings() }
}

/// Plays one node until all its requests are over, each attempt failing after `fails` has passed. Gives
/// the times at which attempts went out.
fn sends(node: &mut Node, requests: Vec<Arrival>, fails: Nanos) -> Vec<Nanos> {
    let mut due: std::collections::BinaryHeap<std::cmp::Reverse<(Nanos, u64, u32)>> = Default::default();
    let mut sent = Vec::new();
    let mut take = |actions: Vec<Action>, now: Nanos, due: &mut std::collections::BinaryHeap<_>| {
        for action in actions {
            match action {
                Action::SetTimer { after, token } => {
                    due.push(std::cmp::Reverse((now + after, token, u32::MAX)))
                }
                Action::StartAttempt { id, server, timeout } => {
                    sent.push(now);
                    due.push(std::cmp::Reverse((now + fails.min(timeout), id.0, server.0)));
                }
                _ => {}
            }
        }
    };
    for request in requests {
        let actions = node.tell(Event::Request(request));
        take(actions, node.now, &mut due);
    }
    while let Some(std::cmp::Reverse((at, id, server))) = due.pop() {
        node.now = node.now.max(at);
        let actions = match server {
            u32::MAX => node.tell(Event::Timer(id)),
            server => node.end(id, ServerId(server), Outcome::Timeout),
        };
        take(actions, node.now, &mut due);
    }
    sent
}

/// Found on a day of the large fleet: a lost hall's clients came back to all nodes within 150 ms, each
/// attempt timed out at what all servers share, and each node's retries, slow alone, kept 130 a second on it.
/// A return waits one Full Jitter sleep and goes where nothing else of its node's is out; once set-ups fall
/// short, those that come again keep to the node's part.
#[test]
fn a_hundred_nodes_whose_clients_all_come_back_spread_their_set_ups() {
    let mut sent = Vec::new();
    for seed in 0..100 {
        let mut node = Node::new(seed, large(), serving(10));
        let back = |id| Arrival { reconnect: true, time_left: 1200 * MS, ..arrival(id, 0) };
        let start = node.now;
        sent.extend(sends(&mut node, (1..=6).map(back).collect(), 400 * MS).into_iter().map(|t| t - start));
    }
    sent.sort_unstable();
    let most =
        |span: Nanos| sent.iter().map(|t| sent.iter().filter(|u| (*t..*t + span).contains(*u)).count()).max();
    // With a window of one at a start 100 may be out at once, each for a third of what a client waits.
    assert!(sent.len() <= 320, "retries of a failure are paced: {}", sent.len());
    assert!(most(S / 4) <= Some(100), "{:?} in a quarter of a second", most(S / 4));
}

#[test]
fn new_connections_of_a_large_fleet_are_not_held_back() {
    for seed in 0..50 {
        let mut node = Node::new(seed, large(), serving(10));
        let first = tried(&node.request(1, 0)).expect("at once");
        node.end(1, first, Outcome::Timeout);
        assert!(tried(&node.request(2, 0)).is_some(), "one failure paces no new connection");
    }
}

/// Found on a day of the large fleet: with a connection or none at each server, all nodes took the largest
/// of their hall, and the small ones got nothing.
#[test]
fn nodes_that_hold_nothing_yet_spread_by_size() {
    let sized = |m: Endpoint| Endpoint { nominal: if m.server.0 < 2 { 2.0 } else { 4.0 }, ..m };
    let members: Vec<_> = one_hall(4).into_iter().map(sized).collect();
    let mut small = 0;
    for seed in 0..300 {
        let mut node = Node::new(seed, large(), members.clone());
        let one = Arrival { key: Some(seed * 7919), ..arrival(1, 0) };
        small += usize::from(tried(&node.tell(Event::Request(one))).is_some_and(|s| s.0 < 2));
    }
    assert!((50..150).contains(&small), "{small} of 300 at a third of the size");
}

/// Found on a day of the large fleet: each server pays for each group that it holds any of, no node holds
/// enough to know where a group is, and every server came to pay for every group.
#[test]
fn nodes_that_see_little_gather_a_group_without_talk() {
    let mut held: BTreeMap<ServerId, usize> = BTreeMap::new();
    for seed in 0..100 {
        let mut node = Node::new(seed, large(), one_hall(12));
        let one = Arrival { key: Some(seed * 7919), group: Some(7), ..arrival(1, 0) };
        *held.entry(tried(&node.tell(Event::Request(one))).expect("placed")).or_default() += 1;
    }
    assert!(held.len() <= 3, "{held:?}: 100 of one group on twelve regions");
}

/// Found on a day of the large fleet: a server that had shed looked empty and was filled and shed again.
#[test]
fn a_server_that_broke_what_stood_there_is_not_the_emptiest() {
    let mut node = Node::new(1, settings(), one_hall(3));
    let mut placed = Vec::new();
    for id in 0..60 {
        let server = tried(&node.request(id, 0)).expect("placed");
        node.stands(id, server);
        placed.push((id, server));
    }
    for (id, server) in placed.iter().filter(|(_, server)| server.0 == 0) {
        let (id, server, outcome) = (RequestId(*id), *server, Outcome::Reset);
        node.tell(Event::AttemptEnded { id, server, outcome, done: true });
    }
    let back = (100..110).filter(|id| tried(&node.request(*id, 0)) == Some(ServerId(0))).count();
    assert!((1..8).contains(&back), "{back} of 10 at once");
    node.now += 60 * S;
    let later = (200..210).filter(|id| tried(&node.request(*id, 0)) == Some(ServerId(0))).count();
    assert!(later >= 8, "{later} of 10 a minute later");
}

/// The same at cold servers, each of which gets its part of all: two groups lean to different ones.
#[test]
fn groups_lean_to_different_cold_servers() {
    let mut held: BTreeMap<(u64, ServerId), f64> = BTreeMap::new();
    for seed in 0..1500 {
        let slow = Settings { slow_start_floor: 0.12, slow_start_duration: 23 * S, ..large() };
        let mut node = Node::new(seed, slow, Vec::new());
        let now = node.now;
        let started_at =
            |m: Endpoint| Endpoint { started_at: if m.server.0 < 6 { now - 3 * S } else { 0 }, ..m };
        node.tell(Event::EndpointList(ListKind::Full, one_hall(12).into_iter().map(started_at).collect()));
        node.now += 2 * S;
        let one = Arrival { group: Some(seed % 2), key: Some(seed * 7919), ..arrival(1, 0) };
        let server = tried(&node.tell(Event::Request(one))).expect("placed");
        *held.entry((seed % 2, server)).or_default() += 1.0;
    }
    let of = |group, server| held.get(&(group, ServerId(server))).copied().unwrap_or(0.0);
    let cold: f64 = (0..6).map(|s| of(0, s) + of(1, s)).sum();
    let apart: f64 = (0..6).map(|s| (of(0, s) - of(1, s)).abs()).sum();
    assert!(cold > 200.0 && apart > cold * 0.3, "{cold} to cold ones, {apart} apart: {held:?}");
}

/// Found on a day of the large fleet: five of nine servers were new and got one connection a second
/// together, while the old ones shed what they were sent.
#[test]
fn cold_servers_get_what_they_bear_of_a_thin_fleet_and_no_more() {
    let (mut cold, mut other) = (0, 0);
    for seed in 0..100 {
        let slow = Settings { slow_start_floor: 0.12, slow_start_duration: 23 * S, ..large() };
        let mut node = Node::new(seed, slow, one_hall(5));
        let now = node.now;
        let started_at =
            |m: Endpoint| Endpoint { started_at: if m.server.0 < 3 { now - 3 * S } else { 0 }, ..m };
        node.tell(Event::EndpointList(ListKind::Full, one_hall(5).into_iter().map(started_at).collect()));
        // Two seconds at twice the rate of the shares: 40 placements of all nodes.
        if seed % 5 < 2 {
            node.now += seed * 20 * MS;
            match tried(&node.request(seed + 1, 0)).expect("placed").0 {
                0..3 => cold += 1,
                _ => other += 1,
            }
        }
    }
    // Each may hold a fifth of 500 after 23 s, and bears twice that. At a quarter of its capacity, three
    // times as fast: 12 in 2 s.
    assert!((6..40).contains(&cold) && other >= 4, "{cold} to three cold ones, {other} to others");
}

/// Found on a day of the standing test: what two halls shed came to all nodes at once, several requests to each,
/// and a cold server got 27 connections in 2 s, which pushed it over. Each request was weighed by how often
/// they had come until then, so a crowd's first ones brought it twice what it bears.
#[test]
fn a_crowd_at_all_nodes_brings_a_cold_server_no_more_than_the_seconds_allow() {
    let (mut cold, mut first) = (0, 0);
    for seed in 0..100 {
        let slow = Settings { slow_start_floor: 0.12, slow_start_duration: 23 * S, ..large() };
        let mut node = Node::new(seed, slow, one_hall(5));
        let now = node.now;
        let started_at =
            |m: Endpoint| Endpoint { started_at: if m.server.0 == 0 { now - 3 * S } else { 0 }, ..m };
        node.tell(Event::EndpointList(ListKind::Full, one_hall(5).into_iter().map(started_at).collect()));
        // Every node comes back from a quiet 2 s to eight requests in half a second.
        node.now += 2 * S;
        for id in 1..=8 {
            node.now += 60 * MS;
            let server = tried(&node.request(id, 0)).expect("placed");
            first += u32::from(server.0 == 0 && id == 1);
            cold += u32::from(server.0 == 0);
        }
    }
    // Each server may hold a fifth of 500 after 23 s, and bears twice that: at a third of its capacity, three
    // times as fast, it bears 8 a second, so some 21 of what came; with the room that chance needs.
    assert!((10..45).contains(&cold), "{cold} in half a second after a quiet two, {first} of them the first");
    assert!(
        cold < first + 20,
        "{cold}, {first} of them the first: a crowd's others bring what its time allows"
    );
}

// ---- Groups ----------------------------------------------------------------------------------------

/// Every server that holds any of a group pays for it once, as much as for three connections: members of
/// a group go where one is already, unless that server has too much else.
#[test]
fn a_group_gathers_and_strangers_spread() {
    let mut node = Node::new(1, settings(), one_hall(3));
    let mut place = |id, group| {
        let one = Arrival { group: Some(group), ..arrival(id, 0) };
        tried(&node.tell(Event::Request(one))).expect("placed")
    };
    let strangers: Vec<_> = (0..3).map(|id| place(id, id)).collect();
    let apart: std::collections::BTreeSet<_> = strangers.iter().collect();
    assert_eq!(apart.len(), 3, "three groups, three servers");
    assert_eq!([place(3, 1), place(4, 1)], [strangers[1]; 2], "where the group is");
    let more: Vec<_> = (5..30).map(|id| place(id, 1)).collect();
    assert!(more.iter().any(|server| *server != strangers[1]), "not without end");
}

/// What crosses halls has a price, but not any price: a crowded hall sends what comes to the others.
#[test]
fn its_own_hall_is_preferred_until_it_is_crowded() {
    let near = |m: Endpoint| Endpoint { zone: u32::from(m.server.0 > 0) + settings().zone, ..m };
    let members: Vec<_> = serving(3).into_iter().map(near).collect();
    let mut node = Node::new(1, settings(), members.clone());
    node.tell(Event::EndpointList(ListKind::Full, members));
    let placed: Vec<_> = (0..30).map(|id| tried(&node.request(id, 0)).expect("placed")).collect();
    assert!(placed[..10].iter().all(|server| server.0 == 0), "{placed:?}");
    let there = placed.iter().filter(|server| server.0 == 0).count();
    assert!((15..25).contains(&there), "{there} of 30");
}

/// Found on the second deployment (3 nodes, 10 to 15 servers, each server pays 3 mean loads for each group it
/// holds any of): a node that held enough drew most of a group by the request alone, and the group came to be
/// paid for at every server. A group's candidates are its own at every node, whatever the node holds.
#[test]
fn a_group_sits_at_its_own_few_servers_however_much_a_node_holds() {
    let mut node = Node::new(5, settings(), one_hall(12));
    for id in 0..120 {
        let server = tried(&node.request(id, 0)).expect("placed");
        node.stands(id, server);
    }
    let mut at = std::collections::BTreeSet::new();
    for id in 200..240 {
        let one = Arrival { group: Some(7), key: Some(id * 7919), ..arrival(id, 0) };
        let server = tried(&node.tell(Event::Request(one))).expect("placed");
        node.stands(id, server);
        at.insert(server);
    }
    assert!(at.len() <= 3, "40 of one group at {} of 12 regions: {at:?}", at.len());
}
