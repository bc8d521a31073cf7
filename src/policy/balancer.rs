//! Consumes events, tracks the state of requests and emits actions. A first attempt starts immediately. If
//! an attempt failed or no server is available, the request is tried again after a Full Jitter backoff.

use super::migration::Migration;
use super::request::{Phase, Request, Requests};
use super::selection::Selection;
use super::server::{Server, ServerSet};
use crate::model::{Action, Arrival, AttemptKind, Endpoint, Event, ListKind, Notice, Outcome};
use crate::model::{RequestId, ServerId, Settings, SettingsError};
use crate::random::{mix64, uniform_duration_up_to, Rng};
use crate::resilience::{request_backoff_limit, Admission, EndpointSubscription, FillTarget, FleetLimits};
use crate::resilience::{RetryAdmission, SlowStart};
use crate::rules::{self, RetryInputs, RetryRefusal};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// The decision logic of one node: a state machine without clock, I/O or shared state.
pub struct Balancer {
    settings: Settings,
    limits: FleetLimits,
    slow_start: SlowStart,
    now: MonotonicTime,
    rng: Rng,
    salt: u64,
    servers: ServerSet,
    requests: Requests,
    admission: RetryAdmission,
    subscription: EndpointSubscription,
    /// The time of the last server selection. Servers in slow start accrue admissible requests from then on.
    last_selection_at: MonotonicTime,
    /// The actions emitted by the event being handled.
    actions: Vec<Action>,
}

impl Balancer {
    /// Creates a balancer with an empty endpoint list. The seed determines all its random decisions.
    ///
    /// # Errors
    /// Returns the first setting that is out of range.
    pub fn new(seed: u64, settings: Settings) -> Result<Balancer, SettingsError> {
        settings.validate()?;
        Ok(Balancer {
            limits: FleetLimits::new(&settings),
            slow_start: SlowStart::new(&settings),
            settings,
            now: MonotonicTime::ZERO,
            rng: Rng::from_seed(seed),
            salt: mix64(seed),
            servers: ServerSet::default(),
            requests: Requests::new(),
            admission: RetryAdmission::default(),
            subscription: EndpointSubscription::default(),
            last_selection_at: MonotonicTime::ZERO,
            actions: Vec::new(),
        })
    }

    /// Replaces the settings. The new ones must be valid and have the same classes in the same order.
    pub fn update_settings(&mut self, settings: Settings) {
        self.limits = FleetLimits::new(&settings);
        self.slow_start = SlowStart::new(&settings);
        self.settings = settings;
    }

    /// Serializes the state that this node has observed of the servers as JSON, for a handover.
    pub fn state_snapshot(&self) -> String {
        serde_json::to_string(&(self.last_selection_at, self.servers.snapshot())).unwrap_or_default()
    }

    /// Restores a snapshot. Must be called after the servers are listed and before any connection is resumed.
    /// Servers that are not listed are ignored.
    ///
    /// # Errors
    /// The snapshot cannot be decoded; the state is unchanged.
    pub fn restore_state(&mut self, snapshot: &str) -> Result<(), serde_json::Error> {
        let servers: Vec<Server>;
        (self.last_selection_at, servers) = serde_json::from_str(snapshot)?;
        self.servers.restore(servers);
        Ok(())
    }

    /// Resets those of these servers that are removed and unused, and returns them: their ids may be reused.
    pub fn forget_servers(&mut self, ids: Vec<ServerId>) -> Vec<ServerId> {
        self.servers.forget(ids)
    }

    /// Handles an event that occurred at `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: MonotonicTime, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        self.actions.clear();
        if self.last_selection_at == MonotonicTime::ZERO {
            self.last_selection_at = now;
        }
        match event {
            Event::Request(arrival) => self.on_request(&arrival),
            Event::Resumed(arrival, server) => self.on_resumed(&arrival, server),
            Event::Established { id, server, setup_time } => self.on_established(id, server, setup_time),
            Event::AttemptEnded { id, server, outcome, done } => {
                self.on_attempt_ended(id, server, outcome, done)
            }
            Event::ClientDisconnected(id) => self.on_client_disconnected(id),
            Event::Timer(token) => self.on_timer(token),
            Event::EndpointList(kind, endpoints) => self.on_endpoint_list(kind, &endpoints),
            Event::LoadReport { id, cost } => {
                self.requests.entry(id).and_modify(|request| request.cost = cost);
            }
            Event::LatencyReport { server, latency } => self.migration().on_latency_report(server, latency),
            Event::HealthCheckResult { server, utilization } => {
                self.migration().on_health_check(server, utilization)
            }
        }
        out.append(&mut self.actions);
    }

    fn on_request(&mut self, arrival: &Arrival) {
        if self.register(arrival, Phase::BackingOff).first_attempt_kind == AttemptKind::Retry {
            self.back_off(arrival.id);
        } else {
            self.start_attempt_or_back_off(arrival.id);
        }
    }

    fn on_resumed(&mut self, arrival: &Arrival, server: ServerId) {
        let request = self.register(arrival, Phase::Established);
        request.attempts.on_resumed();
        let group = request.group;
        self.servers.add_in_flight(server, arrival.id, group, self.now);
        self.on_success(server);
    }

    fn on_established(&mut self, id: RequestId, server: ServerId, setup_time: Duration) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = Phase::Established;
            let objective = self.settings.classes[request.class].objective;
            self.actions.extend(self.admission.on_established(setup_time, objective).map(Action::Log));
        }
        self.on_success(server);
    }

    fn on_attempt_ended(&mut self, id: RequestId, server: ServerId, outcome: Outcome, done: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.phase == Phase::BackingOff {
            return;
        }
        self.servers.remove_in_flight(server, id, request.group);
        request.attempts.on_ended(server, outcome);
        let is_finished = request.is_closing || done;
        let was_established = request.phase == Phase::Established;
        if !was_established {
            let sent_at = request.attempts.last_sent_at();
            let notice = self.admission.on_attempt_ended(outcome, sent_at, self.now);
            self.actions.extend(notice.map(Action::Log));
        }
        if is_finished {
            self.requests.remove(&id);
        }
        if let Some(health) = self.servers.health_mut(server) {
            let random = || self.rng.next_u64();
            match was_established {
                true => health.on_connection_ended(self.now, outcome, random),
                false => health.on_attempt_ended(self.now, outcome, random),
            }
        }
        if !is_finished {
            self.back_off(id);
        }
    }

    fn on_client_disconnected(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        match request.phase {
            Phase::BackingOff => {
                self.admission.dequeue(request.admission);
                self.requests.remove(&id);
            }
            Phase::Attempting if self.settings.may_cancel && !request.is_closing => {
                request.is_closing = true;
                self.actions.push(Action::CancelAttempt { id, attempt: request.attempts.count() - 1 });
            }
            Phase::Attempting | Phase::Established => request.is_closing = true,
        }
    }

    fn on_timer(&mut self, token: u64) {
        let id = RequestId(token);
        if self.subscription.is_poll_due(token) {
            self.actions.push(Action::Subscribe);
        } else if self.requests.get(&id).is_some_and(|request| request.phase == Phase::BackingOff) {
            self.start_attempt_or_back_off(id);
        }
    }

    fn on_endpoint_list(&mut self, kind: ListKind, endpoints: &[Endpoint]) {
        if kind != ListKind::Failed {
            self.servers.apply_list(kind, endpoints);
        }
        if self.subscription.on_list(kind) {
            self.actions.push(Action::Log(Notice::EndpointListStale));
        }
        if let Some(poll) = self.subscription.schedule_poll(kind, &self.settings) {
            let after = uniform_duration_up_to(self.rng.next_u64(), poll.max_delay);
            self.actions.push(Action::SetTimer { after, token: poll.token });
        }
    }

    fn register(&mut self, arrival: &Arrival, phase: Phase) -> &mut Request {
        let class = arrival.class.min(self.settings.classes.len() - 1);
        let request = Request::new(arrival, class, self.now, phase, self.rng.next_u64());
        self.requests.entry(arrival.id).or_insert(request)
    }

    /// Starts a Full Jitter backoff, which ends no later than the request's deadline.
    fn back_off(&mut self, id: RequestId) {
        let random = self.rng.next_u64();
        let interval = self.setup_interval();
        let Some(request) = self.requests.get_mut(&id) else { return };
        let class = &self.settings.classes[request.class];
        request.backoffs += 1;
        request.phase = Phase::BackingOff;
        let limit = request_backoff_limit(class, interval, request.backoffs);
        let time_left = request.deadline.saturating_duration_since(self.now);
        let after = uniform_duration_up_to(random, limit).min(time_left);
        self.actions.push(Action::SetTimer { after, token: id.0 });
    }

    /// Starts an attempt, backs off if none may start now, or gives the final answer if none is allowed.
    fn start_attempt_or_back_off(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if let Err(refusal) = self.may_attempt(request) {
            return self.reject_or_fail(id, refusal);
        }
        let time_left = request.deadline.saturating_duration_since(self.now);
        let timeout = request.attempts.next_timeout(time_left, self.settings.max_attempts);
        let window_end = request.attempts.dedup_window_end(&self.settings.classes[request.class]);
        let send_by = rules::send_by(request.deadline, window_end);
        let kind = request.attempts.next_kind(request.first_attempt_kind);
        let admission = self.admission.decide(self.now, kind, request.admission);
        let mut selected = None;
        if admission == Admission::Admitted {
            selected = self.select(request);
            self.last_selection_at = self.now;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.admission = admission;
        let Some(server) = selected else { return self.back_off(id) };
        request.phase = Phase::Attempting;
        request.attempts.on_sent(server, self.now);
        self.servers.add_in_flight(server, id, request.group, self.now);
        let pacing_delay = uniform_duration_up_to(self.rng.next_u64(), 2 * self.setup_interval());
        self.admission.on_sent(self.now + pacing_delay);
        self.actions.push(Action::StartAttempt { id, server, timeout, send_by });
    }

    fn may_attempt(&self, request: &Request) -> Result<(), RetryRefusal> {
        let (now, deadline, attempts) = (self.now, request.deadline, &request.attempts);
        let misses_deadline = request.admission == Admission::Queued
            && self.admission.misses_deadline(now, self.setup_interval(), deadline);
        let class = &self.settings.classes[request.class];
        rules::may_retry(&RetryInputs { now, deadline, attempts, class, misses_deadline }, &self.settings)
    }

    /// Gives the final answer: a rejection if a retry by the client is safe, otherwise a failure.
    fn reject_or_fail(&mut self, id: RequestId, refusal: RetryRefusal) {
        tracing::trace!(request = id.0, reason = %refusal, "no further attempt");
        let queue_delay = self.admission.queue_delay(self.setup_interval());
        let Some(request) = self.requests.remove(&id) else { return };
        self.admission.dequeue(request.admission);
        if !request.attempts.may_reject(&self.settings.classes[request.class]) {
            return self.actions.push(Action::Fail(id));
        }
        let max = self.settings.max_retry_after;
        let retry_after = uniform_duration_up_to(self.rng.next_u64(), max).max(queue_delay.min(max));
        self.actions.push(Action::Reject { id, retry_after });
    }

    fn select(&self, request: &Request) -> Option<ServerId> {
        let requests = self.requests.len();
        let interval = self.limits.setup_interval(requests, Some(1.0));
        let selection = Selection {
            now: self.now,
            settings: &self.settings,
            servers: &self.servers,
            slow_start: &self.slow_start,
            fill: FillTarget {
                connections: self.limits.connections_at_capacity(requests, self.servers.in_flight()),
                total_nominal: self.servers.total_nominal(),
                accrued_nanos: self.slow_start.accrued_nanos(self.now, self.last_selection_at, interval),
            },
            usual_connections: self.limits.usual_connections(self.servers.serving().len()),
            salt: self.salt,
        };
        let is_first_rerouted = request.rerouted && request.attempts.count() == 0;
        let current = if is_first_rerouted { selection.probable_current_server(request) } else { None };
        current.or_else(|| selection.select(request))
    }

    fn migration(&mut self) -> Migration<'_> {
        Migration {
            now: self.now,
            settings: &self.settings,
            servers: &mut self.servers,
            requests: &mut self.requests,
            rng: &mut self.rng,
            actions: &mut self.actions,
        }
    }

    /// The interval between this node's connection set-ups while it is throttled; zero otherwise.
    fn setup_interval(&self) -> Duration {
        self.limits.setup_interval(self.requests.len(), self.admission.throttled_rate())
    }

    fn on_success(&mut self, server: ServerId) {
        if let Some(health) = self.servers.health_mut(server) {
            health.on_success();
        }
    }
}
