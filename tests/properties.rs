//! Random legal event sequences, from a fixed seed: rules 1 to 3, the limits, and determinism.

mod common;

use common::{arrival, endpoint, serving_endpoints, settings, MILLIS, SECOND};
use proptest::collection::vec;
use proptest::prelude::{any, prop_assert_eq};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sparbank::vocabulary::{
    Action, Arrival, Effect, Endpoint, Event, ListKind, Nanos, Outcome, RequestId, ServerId, Settings, Status,
};
use sparbank::Balancer;
use std::collections::BTreeMap;

const GRACE: Nanos = 500 * MILLIS;
const SLACK: Nanos = 20 * MILLIS;
const TICK: Nanos = 5 * MILLIS;
const SERVERS: u32 = 6;

#[derive(Clone, Copy, PartialEq)]
enum Attempt {
    Out { until: Nanos },
    Open,
    Ended(Outcome),
}

struct Client {
    class: usize,
    deadline: Nanos,
    /// Final answer given, or the client has left.
    over: bool,
    attempts: Vec<(ServerId, Nanos, Attempt)>,
}

/// What the node's surroundings know, and what they check of every action.
struct World {
    settings: Settings,
    balancer: Balancer,
    now: Nanos,
    timers: Vec<(Nanos, u64)>,
    clients: BTreeMap<u64, Client>,
    draining_since: BTreeMap<ServerId, Nanos>,
    listed: BTreeMap<ServerId, Status>,
    journal: Vec<Action>,
    next: u64,
}

impl World {
    fn new(seed: u64) -> World {
        let settings = Settings { probes: seed.is_multiple_of(2), ..settings() };
        let balancer = Balancer::new(seed, settings.clone()).expect("right settings");
        let (timers, journal) = (Vec::new(), Vec::new());
        let (clients, draining_since, listed) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        World {
            settings,
            balancer,
            now: 100 * SECOND,
            timers,
            clients,
            draining_since,
            listed,
            journal,
            next: 1,
        }
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        for action in out {
            self.check(&action);
            self.journal.push(action);
        }
    }

    fn check(&mut self, action: &Action) {
        let now = self.now;
        match action {
            Action::StartAttempt { id, server, timeout } => {
                let client = self.clients.get_mut(&id.0).expect("a request that arrived");
                assert!(!client.over, "rule 1: a try after the end");
                let ended = |(_, _, attempt): &(_, _, Attempt)| matches!(attempt, Attempt::Ended(_));
                assert!(client.attempts.iter().all(ended), "one attempt at a time");
                assert!(client.attempts.len() < self.settings.max_attempts as usize, "attempts used up");
                if let Some(since) = self.draining_since.get(server) {
                    assert!(now <= since + GRACE, "rule 3: {server:?} drains or is gone");
                }
                let class = &self.settings.classes[client.class];
                let ran = |(_, _, attempt): &&(_, _, Attempt)| !matches!(attempt, Attempt::Ended(o) if o.never_ran());
                if let Some((first, sent, _)) = client.attempts.iter().find(ran) {
                    match class.effect {
                        Effect::ReadLike => {}
                        Effect::NonIdempotent => panic!("rule 2: an unsafe request twice"),
                        Effect::IdempotencyKey => {
                            assert!(now - sent <= class.dedup_window, "rule 2: the repeat is not remembered");
                            assert_eq!(first.0 % 2, server.0 % 2, "rule 2: another zone");
                        }
                    }
                }
                let until = (now + timeout).min(client.deadline).max(now);
                client.attempts.push((*server, now, Attempt::Out { until }));
            }
            Action::Reject { id, .. } | Action::Fail(id) => {
                let client = self.clients.get_mut(&id.0).expect("a request that arrived");
                assert!(!client.over, "rule 1: two final answers");
                assert!(now <= client.deadline + SLACK, "rule 1: too late");
                client.over = true;
                let may_have_run = client
                    .attempts
                    .iter()
                    .any(|(_, _, attempt)| !matches!(attempt, Attempt::Ended(o) if o.never_ran()));
                let safe = client.class == 0 || !may_have_run;
                assert!(matches!(action, Action::Fail(_)) || safe, "rule 2: a refusal that may do harm");
            }
            Action::Migrate(id) => {
                let client = self.clients.get_mut(&id.0).expect("a request that arrived");
                assert!(
                    !client.over
                        && client.attempts.last().is_some_and(|(_, _, attempt)| *attempt == Attempt::Open)
                );
                client.over = true;
            }
            Action::CancelAttempt { id, attempt } => {
                assert!(self.clients[&id.0].attempts.len() > *attempt as usize)
            }
            Action::SetTimer { after, token } => self.timers.push((now + after, *token)),
            Action::HealthCheck(server) => {
                assert!(self.settings.probes, "a probe where none is allowed");
                assert!(server.0 < SERVERS, "a probe of a server never listed");
            }
            Action::Subscribe | Action::Log(_) => {}
        }
    }

    /// Lets time pass: timers and time-outs come due at the first tick after their time.
    fn pass(&mut self, span: Nanos) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            let (due, later) = self.timers.iter().partition(|(at, _)| *at <= self.now);
            self.timers = later;
            let due: Vec<(Nanos, u64)> = due;
            for (_, token) in due {
                self.handle(Event::Timer(token));
            }
            let out = |(id, client): (&u64, &Client)| match client.attempts.last() {
                Some((server, _, Attempt::Out { until })) if *until <= self.now => Some((*id, *server)),
                _ => None,
            };
            let late: Vec<(u64, ServerId)> = self.clients.iter().filter_map(out).collect();
            for (id, server) in late {
                self.end_attempt(id, server, Outcome::Timeout);
            }
            let overdue = |c: &Client| {
                let is_open = c.attempts.last().is_some_and(|(_, _, attempt)| *attempt == Attempt::Open);
                !c.over && !is_open && self.now > c.deadline + SLACK
            };
            assert!(!self.clients.values().any(overdue), "rule 1: no answer in time");
        }
    }

    fn end_attempt(&mut self, id: u64, server: ServerId, outcome: Outcome) {
        let client = self.clients.get_mut(&id).expect("known");
        let last = client.attempts.last_mut().expect("an attempt");
        let was_open = last.2 == Attempt::Open;
        last.2 = Attempt::Ended(outcome);
        client.over |= was_open || outcome == Outcome::Ok;
        let done = client.over;
        self.handle(Event::AttemptEnded { id: RequestId(id), server, outcome, done });
    }

    fn some(&self, pick: u64, wanted: impl Fn(&Client) -> bool) -> Option<(u64, ServerId)> {
        let fits: Vec<_> = self.clients.iter().filter(|(_, c)| wanted(c)).collect();
        let (id, client) = fits.get(pick as usize % fits.len().max(1))?;
        Some((**id, client.attempts.last().map_or(ServerId(0), |(server, ..)| *server)))
    }

    fn list(&mut self, kind: ListKind, members: Vec<Endpoint>) {
        let mut listed: BTreeMap<ServerId, Status> = members.iter().map(|m| (m.server, m.status)).collect();
        if kind != ListKind::Incremental {
            let absent =
                self.listed.keys().filter(|s| !listed.contains_key(s)).map(|s| (*s, Status::Removed));
            listed.extend(absent.collect::<Vec<_>>());
        }
        for (server, status) in listed {
            if status == Status::Serving {
                self.draining_since.remove(&server);
            } else {
                self.draining_since.entry(server).or_insert(self.now);
            }
            self.listed.insert(server, status);
        }
        self.handle(Event::EndpointList(kind, members));
    }

    fn step(&mut self, kind: u8, a: u64, span: u16) {
        let out = |c: &Client| matches!(c.attempts.last(), Some((_, _, Attempt::Out { .. })));
        let open = |c: &Client| matches!(c.attempts.last(), Some((_, _, Attempt::Open)));
        let ends = [
            Outcome::Error,
            Outcome::Rejected,
            Outcome::ConnectFailed,
            Outcome::Reset,
            Outcome::Cancelled,
            Outcome::NotSent,
            Outcome::Ok,
        ];
        let ended = ends[a as usize % ends.len()];
        match kind % 17 {
            0..=4 => {
                let (id, class) = (self.next, a as usize % 3);
                self.next += 1;
                let (reconnect, rerouted) = (a.is_multiple_of(5), a.is_multiple_of(7));
                let time_left = 50 * MILLIS + a % 1950 * MILLIS;
                let deadline = self.now + time_left;
                self.clients.insert(id, Client { class, deadline, over: false, attempts: Vec::new() });
                let arrival = Arrival { reconnect, rerouted, time_left, ..arrival(id, class) };
                self.handle(Event::Request(arrival));
            }
            5 | 6 => {
                if let Some((id, server)) = self.some(a, out) {
                    self.clients.get_mut(&id).expect("known").attempts.last_mut().expect("out").2 =
                        Attempt::Open;
                    self.handle(Event::Established {
                        id: RequestId(id),
                        server,
                        setup_time: a % 400 * MILLIS,
                    });
                }
            }
            7..=9 => {
                if let Some((id, server)) = self.some(a, out) {
                    self.end_attempt(id, server, ended);
                }
            }
            10 => {
                if let Some((id, server)) = self.some(a, open) {
                    self.end_attempt(id, server, ended);
                }
            }
            11 => {
                let status = [Status::Serving, Status::Draining, Status::Removed][a as usize % 3];
                let started_at = if a.is_multiple_of(2) { self.now - SECOND } else { 0 };
                let m = endpoint(a as u32 % SERVERS, started_at, status);
                self.list(ListKind::Incremental, vec![m.clone(), m]);
            }
            12 => {
                let all = serving_endpoints(SERVERS).into_iter().filter(|m| a >> m.server.0 & 1 == 0);
                self.list(ListKind::Full, all.collect());
            }
            13 => self
                .handle(Event::LatencyReport { server: ServerId(a as u32 % 8), latency: a % 900 * MILLIS }),
            14 => {
                if let Some((id, _)) = self.some(a, |c| !c.over) {
                    self.clients.get_mut(&id).expect("known").over = true;
                    self.handle(Event::ClientDisconnected(RequestId(id)));
                }
            }
            15 => self.handle(Event::EndpointList(ListKind::Failed, vec![])),
            _ => {
                let over = (!a.is_multiple_of(3)).then_some((a % 40) as f64 / 20.0);
                self.handle(Event::HealthCheckResult { server: ServerId(a as u32 % 8), utilization: over });
            }
        }
        self.pass(Nanos::from(span) * MILLIS);
    }
}

fn play(seed: u64, steps: &[(u8, u64, u16)]) -> Vec<Action> {
    let mut world = World::new(seed);
    world.list(ListKind::Saved, serving_endpoints(SERVERS));
    for (kind, a, span) in steps {
        world.step(*kind, *a, *span);
    }
    world.pass(3 * SECOND);
    world.journal
}

#[test]
fn rules_hold_on_random_legal_days_and_the_same_day_gives_the_same_actions() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let days = (any::<u64>(), vec((any::<u8>(), any::<u64>(), 0u16..120), 1..150));
    let outcome = TestRunner::new_with_rng(config, rng).run(&days, |(seed, steps)| {
        prop_assert_eq!(play(seed, &steps), play(seed, &steps));
        Ok(())
    });
    outcome.expect("every day keeps the rules");
}
