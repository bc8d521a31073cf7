//! Simulates the environment of one balancer: clients, servers and timers. Checks each action of the balancer.

use crate::common::{arrival, endpoint, serving_endpoints, settings, LONG_AGO, MILLIS, SECOND, START};
use sparbank::model::{
    Action, Arrival, Effect, Endpoint, Event, ListKind, Outcome, RequestId, ServerId, Settings, Status,
};
use sparbank::Balancer;
use sparbank_time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of servers that endpoint lists may contain.
pub const SERVERS: u32 = 6;
/// Attempts may be started at a server for this long after it began to drain or was removed.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// A final answer may be this much later than the deadline.
const ANSWER_SLACK: Duration = Duration::from_millis(20);
/// The simulated time advances in ticks. Timers and timeouts are handled at the first tick at or after their time.
const TICK: Duration = Duration::from_millis(5);
/// Number of servers in latency reports and results of health checks: some of them are never listed.
const REPORTED_SERVERS: u32 = 8;
/// The outcomes of attempts and connections, except a timeout.
const OUTCOMES: [Outcome; 7] = [
    Outcome::Error,
    Outcome::Rejected,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
    Outcome::Ok,
];

/// One random step: an event, and the time that passes after it.
pub struct Step {
    /// Selects the kind of event.
    pub kind: u8,
    /// Selects the client or server that is affected, and the parameters of the event.
    pub choice: u64,
    /// The time that passes after the event, in milliseconds.
    pub pause_ms: u16,
}

#[derive(Clone, Copy, PartialEq)]
enum AttemptState {
    InFlight { until: MonotonicTime },
    Established,
    Ended(Outcome),
}

struct Attempt {
    server: ServerId,
    sent_at: MonotonicTime,
    state: AttemptState,
}

impl Attempt {
    fn is_ended(&self) -> bool {
        matches!(self.state, AttemptState::Ended(_))
    }

    fn is_in_flight(&self) -> bool {
        matches!(self.state, AttemptState::InFlight { .. })
    }

    fn may_have_run(&self) -> bool {
        !matches!(self.state, AttemptState::Ended(outcome) if outcome.never_ran())
    }
}

struct Client {
    class: usize,
    deadline: MonotonicTime,
    /// The client got its final answer or has disconnected, or its connection has ended or was migrated.
    is_finished: bool,
    attempts: Vec<Attempt>,
}

impl Client {
    fn is_in_flight(&self) -> bool {
        self.attempts.last().is_some_and(Attempt::is_in_flight)
    }

    fn is_established(&self) -> bool {
        self.attempts.last().is_some_and(|attempt| attempt.state == AttemptState::Established)
    }

    fn is_overdue(&self, now: MonotonicTime) -> bool {
        !self.is_finished && !self.is_established() && now > self.deadline + ANSWER_SLACK
    }

    fn has_timed_out(&self, now: MonotonicTime) -> bool {
        let last = self.attempts.last();
        last.is_some_and(|last| matches!(last.state, AttemptState::InFlight { until } if until <= now))
    }

    /// The server of the last attempt, or server 0 before the first attempt.
    fn server(&self) -> ServerId {
        self.attempts.last().map_or(ServerId(0), |attempt| attempt.server)
    }
}

struct Timer {
    at: MonotonicTime,
    token: u64,
}

/// A balancer and its simulated environment.
pub struct Simulation {
    /// All actions of the balancer so far.
    pub actions: Vec<Action>,
    settings: Settings,
    balancer: Balancer,
    now: MonotonicTime,
    timers: Vec<Timer>,
    clients: BTreeMap<u64, Client>,
    /// Since when servers are listed as draining or removed.
    draining_since: BTreeMap<ServerId, MonotonicTime>,
    listed: BTreeMap<ServerId, Status>,
    next_request: u64,
}

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        let settings = Settings { health_checks: seed.is_multiple_of(2), ..settings() };
        Simulation {
            actions: Vec::new(),
            balancer: Balancer::new(seed, settings.clone()).expect("valid settings"),
            settings,
            now: START,
            timers: Vec::new(),
            clients: BTreeMap::new(),
            draining_since: BTreeMap::new(),
            listed: BTreeMap::new(),
            next_request: 1,
        }
    }

    /// Passes an event to the balancer, and checks and records its actions.
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.check(&action);
            self.actions.push(action);
        }
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::StartAttempt { id, server, timeout, .. } => self.check_attempt(*id, *server, *timeout),
            Action::Reject { id, .. } => self.check_final_answer(*id, true),
            Action::Fail(id) => self.check_final_answer(*id, false),
            Action::Migrate(id) => {
                let client = self.clients.get_mut(&id.0).expect("a request that has arrived");
                assert!(!client.is_finished && client.is_established());
                client.is_finished = true;
            }
            Action::CancelAttempt { id, attempt } => {
                assert!(self.clients[&id.0].attempts.len() > *attempt as usize)
            }
            Action::SetTimer { after, token } => {
                self.timers.push(Timer { at: self.now + *after, token: *token });
            }
            Action::HealthCheck(server) => {
                assert!(self.settings.health_checks, "a health check although they are disabled");
                assert!(server.0 < SERVERS, "a health check of a server that was never listed");
            }
            Action::Subscribe | Action::Log(_) => {}
        }
    }

    fn check_attempt(&mut self, id: RequestId, server: ServerId, timeout: Duration) {
        let client = self.clients.get_mut(&id.0).expect("a request that has arrived");
        assert!(!client.is_finished, "rule 1: an attempt after the final answer");
        assert!(
            client.attempts.iter().all(Attempt::is_ended),
            "an attempt while another one of the request is active"
        );
        assert!(
            client.attempts.len() < self.settings.max_attempts as usize,
            "an attempt beyond max_attempts"
        );
        if let Some(since) = self.draining_since.get(&server) {
            assert!(
                self.now <= *since + DRAIN_GRACE,
                "rule 3: an attempt at {server:?}, which is draining or removed"
            );
        }
        let class = &self.settings.classes[client.class];
        if let Some(first) = client.attempts.iter().find(|attempt| attempt.may_have_run()) {
            match class.effect {
                Effect::ReadLike => {}
                Effect::NonIdempotent => {
                    panic!("rule 2: a retry of a non-idempotent request that may have run")
                }
                Effect::IdempotencyKey => {
                    let age = self.now.saturating_duration_since(first.sent_at);
                    assert!(age <= class.dedup_window, "rule 2: a retry after the deduplication window");
                    assert_eq!(first.server.0 % 2, server.0 % 2, "rule 2: a retry in another zone");
                }
            }
        }
        let until = (self.now + timeout).min(client.deadline).max(self.now);
        let state = AttemptState::InFlight { until };
        client.attempts.push(Attempt { server, sent_at: self.now, state });
    }

    fn check_final_answer(&mut self, id: RequestId, is_rejection: bool) {
        let client = self.clients.get_mut(&id.0).expect("a request that has arrived");
        assert!(!client.is_finished, "rule 1: two final answers");
        assert!(self.now <= client.deadline + ANSWER_SLACK, "rule 1: a final answer after the deadline");
        client.is_finished = true;
        let may_have_run = client.attempts.iter().any(Attempt::may_have_run);
        let may_be_retried = client.class == 0 || !may_have_run;
        assert!(
            !is_rejection || may_be_retried,
            "rule 2: a rejection, which invites a retry, although the request may have run"
        );
    }

    /// Advances the time tick by tick, handles timers and timeouts, and checks that no answer is overdue.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            let timers = std::mem::take(&mut self.timers);
            let (due, later): (Vec<Timer>, Vec<Timer>) =
                timers.into_iter().partition(|timer| timer.at <= self.now);
            self.timers = later;
            for timer in due {
                self.handle(Event::Timer(timer.token));
            }
            let timed_out = self.clients.iter().filter(|(_, client)| client.has_timed_out(self.now));
            let timed_out: Vec<_> = timed_out.map(|(id, client)| (*id, client.server())).collect();
            for (id, server) in timed_out {
                self.end_attempt(id, server, Outcome::Timeout);
            }
            let is_overdue = |client: &Client| client.is_overdue(self.now);
            assert!(!self.clients.values().any(is_overdue), "rule 1: no final answer within the deadline");
        }
    }

    fn client_mut(&mut self, id: u64) -> &mut Client {
        self.clients.get_mut(&id).expect("a client whose request has arrived")
    }

    /// Ends the last attempt of a client, and reports it to the balancer.
    fn end_attempt(&mut self, id: u64, server: ServerId, outcome: Outcome) {
        let client = self.client_mut(id);
        let was_established = client.is_established();
        client.attempts.last_mut().expect("an attempt").state = AttemptState::Ended(outcome);
        client.is_finished |= was_established || outcome == Outcome::Ok;
        let done = client.is_finished;
        self.handle(Event::AttemptEnded { id: RequestId(id), server, outcome, done });
    }

    /// One of the clients that satisfy `matches`, and the server of its last attempt.
    fn choose_client(&self, choice: u64, matches: impl Fn(&Client) -> bool) -> Option<(u64, ServerId)> {
        let matching: Vec<_> = self.clients.iter().filter(|(_, client)| matches(client)).collect();
        let (id, client) = matching.get(choice as usize % matching.len().max(1))?;
        Some((**id, client.server()))
    }

    /// Passes an endpoint list to the balancer, and records since when servers are listed as draining or removed.
    pub fn send_list(&mut self, kind: ListKind, endpoints: Vec<Endpoint>) {
        let status = |endpoint: &Endpoint| (endpoint.server, endpoint.status);
        let mut listed: BTreeMap<ServerId, Status> = endpoints.iter().map(status).collect();
        if kind != ListKind::Incremental {
            let absent = self.listed.keys().filter(|server| !listed.contains_key(server));
            let removed: Vec<_> = absent.map(|server| (*server, Status::Removed)).collect();
            listed.extend(removed);
        }
        for (server, status) in listed {
            if status == Status::Serving {
                self.draining_since.remove(&server);
            } else {
                self.draining_since.entry(server).or_insert(self.now);
            }
            self.listed.insert(server, status);
        }
        self.handle(Event::EndpointList(kind, endpoints));
    }

    /// Lets one event happen, and advances the time.
    pub fn step(&mut self, step: &Step) {
        let choice = step.choice;
        let reported = ServerId(choice as u32 % REPORTED_SERVERS);
        match step.kind % 17 {
            0..=4 => self.send_request(choice),
            5 | 6 => self.establish_one(choice),
            7..=9 => self.end_one(choice, Client::is_in_flight),
            10 => self.end_one(choice, Client::is_established),
            11 => self.send_changed_endpoint(choice),
            12 => {
                let endpoints = serving_endpoints(SERVERS).into_iter();
                let full = endpoints.filter(|endpoint| choice >> endpoint.server.0 & 1 == 0);
                self.send_list(ListKind::Full, full.collect());
            }
            13 => {
                let latency = Duration::from_millis(choice % 900);
                self.handle(Event::LatencyReport { server: reported, latency });
            }
            14 => self.disconnect_one(choice),
            15 => self.handle(Event::EndpointList(ListKind::Failed, vec![])),
            _ => {
                let utilization = (!choice.is_multiple_of(3)).then_some((choice % 40) as f64 / 20.0);
                self.handle(Event::HealthCheckResult { server: reported, utilization });
            }
        }
        self.advance(Duration::from_millis(step.pause_ms.into()));
    }

    fn send_request(&mut self, choice: u64) {
        let id = self.next_request;
        self.next_request += 1;
        let class = choice as usize % 3;
        let time_left = 50 * MILLIS + Duration::from_millis(choice % 1950);
        let deadline = self.now + time_left;
        self.clients.insert(id, Client { class, deadline, is_finished: false, attempts: Vec::new() });
        self.handle(Event::Request(Arrival {
            reconnect: choice.is_multiple_of(5),
            rerouted: choice.is_multiple_of(7),
            time_left,
            ..arrival(id, class)
        }));
    }

    fn establish_one(&mut self, choice: u64) {
        let Some((id, server)) = self.choose_client(choice, Client::is_in_flight) else { return };
        let attempt = self.client_mut(id).attempts.last_mut().expect("an attempt in flight");
        attempt.state = AttemptState::Established;
        let setup_time = Duration::from_millis(choice % 400);
        self.handle(Event::Established { id: RequestId(id), server, setup_time });
    }

    fn end_one(&mut self, choice: u64, matches: impl Fn(&Client) -> bool) {
        if let Some((id, server)) = self.choose_client(choice, matches) {
            self.end_attempt(id, server, OUTCOMES[choice as usize % OUTCOMES.len()]);
        }
    }

    /// Sends an incremental list with one changed endpoint, which it names twice.
    fn send_changed_endpoint(&mut self, choice: u64) {
        let status = [Status::Serving, Status::Draining, Status::Removed][choice as usize % 3];
        let started_at = if choice.is_multiple_of(2) { self.now - SECOND } else { LONG_AGO };
        let changed = endpoint(choice as u32 % SERVERS, started_at, status);
        self.send_list(ListKind::Incremental, vec![changed.clone(), changed]);
    }

    fn disconnect_one(&mut self, choice: u64) {
        if let Some((id, _)) = self.choose_client(choice, |client| !client.is_finished) {
            self.client_mut(id).is_finished = true;
            self.handle(Event::ClientDisconnected(RequestId(id)));
        }
    }
}
