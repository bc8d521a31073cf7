//! Requests and their attempts, on no wire in particular.
//!
//! Fronts report what happened; the events wait until [`Core::decide`] hands them to the balancer in
//! one go. A request is in the map only while it may still be answered or ended, and its state
//! holds at most one attempt: a second answer finds no request, a second attempt no room.

use crate::counters::Counters;
use crate::policy::Balancer;
use crate::quota::QuotaAdmission;
use crate::vocabulary::*;
use std::collections::HashMap;

type Map<K, V> = HashMap<K, V, foldhash::fast::RandomState>;

/// Which front a request came through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontId {
    /// Its place among the fronts.
    pub index: u8,
    /// Its name in exports and log lines.
    pub name: &'static str,
}

/// What the node has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Start the one attempt of a request, for at most this long.
    StartAttempt { front: FrontId, request_id: RequestId, server: ServerId, wait: Nanos },
    /// Stop the attempt of a request: its time is up or it was recalled.
    CancelAttempt { front: FrontId, request_id: RequestId },
    /// The final answer: refused, come again after this.
    Reject { front: FrontId, request_id: RequestId, cool_down: Nanos },
    /// The final answer: failed.
    Fail { front: FrontId, request_id: RequestId },
    /// Ask the client of a standing connection to come again.
    Migrate { front: FrontId, request_id: RequestId },
    /// Ask a server for its load report: the balancer hears of it as [`Event::HealthCheckResult`].
    HealthCheck { server: ServerId },
    /// Wake the balancer.
    Timer { after: Nanos, token: u64 },
    /// Start a watch on the endpoint registry.
    Subscribe,
    /// A line for the people on call.
    Log(String),
}

#[derive(Clone, Copy)]
enum State {
    /// No attempt is out.
    Waiting,
    /// One is out, since then.
    Trying { server: ServerId, since: Nanos, attempt: u32 },
    /// It stands.
    Up { server: ServerId },
}

struct Request {
    front: FrontId,
    class: usize,
    began: Nanos,
    deadline: Nanos,
    attempts: u32,
    state: State,
    /// It has its part of the fleet's budgets, until it is over.
    counted: bool,
}

/// An established connection that the process before this one handed over.
#[derive(Clone, Debug, PartialEq)]
pub struct HandedOverConnection {
    /// The front that it came through.
    pub front: FrontId,
    /// The request that opened it.
    pub arrival: Arrival,
    /// The server that holds it.
    pub server: ServerId,
    /// When its request arrived, on the node's clock.
    pub started_at: Nanos,
    /// Its last load report, in nanoseconds of work a second.
    pub load: Option<Nanos>,
}

/// A flow that ended, as it is exported.
#[derive(Clone, Debug, PartialEq)]
pub struct Flow {
    pub request_id: RequestId,
    pub front: FrontId,
    pub class: usize,
    pub server: Option<ServerId>,
    pub began: Nanos,
    pub ended: Nanos,
    pub attempts: u32,
    pub result: FlowResult,
}

/// How a flow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowResult {
    Served = 1,
    Refused = 2,
    Failed = 3,
    Left = 4,
    Moved = 5,
    Broken = 6,
}

/// The core.
pub struct RequestTable {
    balancer: Balancer,
    requests: Map<RequestId, Request>,
    next: u64,
    inbox: Vec<Event>,
    /// The fleet's budgets, where there are any.
    pub quotas: Option<QuotaAdmission>,
    /// What they turned away since the last turn, and when it may come again.
    turned_away: Vec<(RequestId, Nanos)>,
    /// Flows that ended, where they are to be exported.
    pub flows: Option<Vec<Flow>>,
    pub counters: Counters,
    /// How attempts ended or came to stand, where that is logged.
    pub trace: Trace,
}

/// What became of attempts, gathered between two turns of the loop; empty unless it is on.
#[derive(Default)]
pub struct Trace {
    /// Whether it is gathered.
    pub on: bool,
    /// The request, its server, how the task ended (none: it stands now), and since when it was out.
    pub tasks: Vec<(RequestId, ServerId, Option<Outcome>, Nanos)>,
}

impl Trace {
    fn task(&mut self, id: RequestId, server: ServerId, outcome: Option<Outcome>, waited: Nanos) {
        if self.on {
            self.tasks.push((id, server, outcome, waited));
        }
    }
}

impl RequestTable {
    pub fn new(seed: u64, settings: Settings) -> Result<RequestTable, SettingsError> {
        Ok(RequestTable {
            balancer: Balancer::new(seed, settings)?,
            requests: Map::default(),
            next: 0,
            inbox: Vec::new(),
            quotas: None,
            turned_away: Vec::new(),
            flows: None,
            counters: Counters::default(),
            trace: Trace::default(),
        })
    }

    /// Newer settings, with the same classes in the same places.
    pub fn update_settings(&mut self, settings: Settings) {
        self.balancer.update_settings(settings);
    }

    fn admit(&mut self, now: Nanos, front: FrontId, arrival: &mut Arrival, state: State) -> RequestId {
        self.next += 1;
        arrival.id = RequestId(self.next);
        let deadline = now.saturating_add(arrival.time_left);
        let (class, began) = (arrival.class, now);
        let request = Request { front, class, began, deadline, attempts: 0, state, counted: false };
        self.requests.insert(arrival.id, request);
        arrival.id
    }

    /// What the module learned, for a process that takes this one's place.
    pub fn state_snapshot(&self) -> String {
        self.balancer.state_snapshot()
    }

    /// Takes that over, once the module has the list that it is about and before anything stands.
    pub fn restore_state(&mut self, learned: &str) -> Result<(), serde_json::Error> {
        self.balancer.restore_state(learned)
    }

    /// A request comes in; its id is dealt here.
    pub fn on_request(&mut self, now: Nanos, front: FrontId, mut arrival: Arrival) -> RequestId {
        self.counters.requests += 1;
        let id = self.admit(now, front, &mut arrival, State::Waiting);
        match self.quotas.as_mut().map(|quotas| quotas.first(now, arrival.class)) {
            Some(Err(wait)) => {
                self.turned_away.push((id, wait));
                return id;
            }
            Some(Ok(())) => self.mark_quota_held(id),
            None => {}
        }
        self.inbox.push(Event::Request(arrival));
        id
    }

    /// A connection that stood before this node started stands again: no placement.
    pub fn restore_established(
        &mut self,
        now: Nanos,
        front: FrontId,
        arrival: Arrival,
        server: ServerId,
    ) -> RequestId {
        self.counters.resumed += 1;
        self.insert_established(now, front, arrival, server)
    }

    fn insert_established(
        &mut self,
        now: Nanos,
        front: FrontId,
        mut arrival: Arrival,
        server: ServerId,
    ) -> RequestId {
        let id = self.admit(now, front, &mut arrival, State::Up { server });
        if let Some(quotas) = &mut self.quotas {
            quotas.stands(arrival.class);
            self.mark_quota_held(id);
        }
        self.inbox.push(Event::Resumed(arrival, server));
        id
    }

    fn mark_quota_held(&mut self, id: RequestId) {
        if let Some(t) = self.requests.get_mut(&id) {
            t.counted = true;
        }
    }

    /// What has to end since the fleet's budgets no longer bear it: the newest connections first.
    pub fn migrate_over_quota(&mut self, now: Nanos) -> Vec<Command> {
        let Some(quotas) = &mut self.quotas else { return Vec::new() };
        if !quotas.is_over(now) {
            return Vec::new();
        }
        let up = |(id, t): (&RequestId, &Request)| {
            (t.counted && matches!(t.state, State::Up { .. })).then_some((*id, t.class, t.front))
        };
        let mut newest: Vec<_> = self.requests.iter().filter_map(up).collect();
        newest.sort_unstable_by_key(|(id, ..)| std::cmp::Reverse(*id));
        let ends = quotas.excess(now, newest.iter().map(|(_, class, _)| *class));
        let mut commands = Vec::new();
        for ((request_id, _, front), _) in newest.into_iter().zip(ends).filter(|(_, ends)| *ends) {
            self.close_for_migration(now, request_id, Outcome::Cancelled);
            self.counters.quota_migrated += 1;
            commands.push(Command::Migrate { front, request_id });
        }
        commands
    }

    /// A standing connection goes on in another process. Gives when it began, for a record of the whole of it.
    pub fn hand_over(&mut self, id: RequestId) -> Option<Nanos> {
        let State::Up { server } = self.requests.get(&id)?.state else { return None };
        let gone = self.requests.remove(&id)?;
        let began = gone.began;
        self.release_quota(&gone);
        self.counters.handed_over += 1;
        self.inbox.push(Event::AttemptEnded { id, server, outcome: Outcome::Cancelled, done: true });
        Some(began)
    }

    /// One that stood in the process before this one stands here, since then, with this load if it was told.
    pub fn receive_handed_over(&mut self, now: Nanos, connection: HandedOverConnection) -> RequestId {
        let HandedOverConnection { front, arrival, server, started_at, load } = connection;
        self.counters.inherited += 1;
        let id = self.insert_established(now, front, arrival, server);
        if let Some(t) = self.requests.get_mut(&id) {
            t.began = started_at;
        }
        if let Some(cost) = load {
            self.inbox.push(Event::LoadReport { id, cost });
        }
        id
    }

    /// The attempt stands: from here on the client has its answer.
    pub fn on_established(&mut self, now: Nanos, id: RequestId) {
        let Some(t) = self.requests.get_mut(&id) else { return };
        let State::Trying { server, since, .. } = t.state else { return };
        t.state = State::Up { server };
        self.counters.established += 1;
        self.counters.served += 1;
        let waited = now.saturating_sub(since);
        self.trace.task(id, server, None, waited);
        self.inbox.push(Event::Established { id, server, setup_time: waited });
    }

    /// The attempt, or the connection that it became, is over. True if that was the final answer.
    pub fn on_attempt_ended(&mut self, now: Nanos, id: RequestId, outcome: Outcome) -> bool {
        let Some(t) = self.requests.get_mut(&id) else { return false };
        let (server, done) = match t.state {
            State::Waiting => return false,
            State::Trying { server, since, .. } => {
                t.state = State::Waiting;
                self.counters.count_attempt(outcome);
                self.trace.task(id, server, Some(outcome), now.saturating_sub(since));
                (server, outcome == Outcome::Ok)
            }
            State::Up { server } => {
                self.trace.task(id, server, Some(outcome), now.saturating_sub(t.began));
                (server, true)
            }
        };
        if done {
            let result = match (outcome, t.state) {
                (Outcome::Ok | Outcome::Cancelled, _) => FlowResult::Served,
                _ => FlowResult::Broken,
            };
            // One that is served to its end in one step stood for no time.
            if matches!(t.state, State::Waiting) {
                self.counters.established += 1;
                self.counters.served += 1;
            }
            self.counters.ended += 1;
            self.finish(now, id, Some(server), result);
        }
        self.inbox.push(Event::AttemptEnded { id, server, outcome, done });
        done
    }

    /// The attempt is over and the item cannot be sent again: its front no longer holds what it would
    /// send. That is the final answer, failed; true if it was still owed.
    pub fn on_unrepeatable_attempt_ended(&mut self, now: Nanos, id: RequestId, outcome: Outcome) -> bool {
        let Some(t) = self.requests.get(&id) else { return false };
        let State::Trying { server, .. } = t.state else { return false };
        self.counters.count_attempt(outcome);
        self.counters.failed += 1;
        self.inbox.push(Event::ClientDisconnected(id));
        self.inbox.push(Event::AttemptEnded { id, server, outcome, done: true });
        self.finish(now, id, Some(server), FlowResult::Failed);
        true
    }

    /// Whether anything waits for [`Core::decide`].
    pub fn has_pending_events(&self) -> bool {
        !self.inbox.is_empty() || !self.turned_away.is_empty()
    }

    /// The client left; the front has dropped the attempt, if one was out.
    pub fn on_client_disconnected(&mut self, now: Nanos, id: RequestId) {
        let Some(t) = self.requests.get(&id) else { return };
        let (outcome, done) = (Outcome::Cancelled, true);
        match t.state {
            State::Waiting => {
                self.counters.client_disconnected += 1;
                self.inbox.push(Event::ClientDisconnected(id));
                self.finish(now, id, None, FlowResult::Left);
            }
            State::Trying { server, .. } => {
                self.counters.client_disconnected += 1;
                self.counters.count_attempt(outcome);
                self.inbox.push(Event::ClientDisconnected(id));
                self.inbox.push(Event::AttemptEnded { id, server, outcome, done });
                self.finish(now, id, Some(server), FlowResult::Left);
            }
            State::Up { server } => {
                self.counters.ended += 1;
                self.inbox.push(Event::AttemptEnded { id, server, outcome, done });
                self.finish(now, id, Some(server), FlowResult::Served);
            }
        }
    }

    /// The node ends or is drained: what came before a time and still waits for an answer gets one, and it
    /// promises nothing.
    pub fn fail_unanswered(&mut self, now: Nanos, before: Nanos) -> Vec<Command> {
        let waiting = |t: &Request| !matches!(t.state, State::Up { .. }) && t.began < before;
        let mut ids: Vec<_> = self.requests.iter().filter(|(_, t)| waiting(t)).map(|(id, _)| *id).collect();
        ids.sort_unstable();
        let mut commands = Vec::new();
        for id in ids {
            let Some(t) = self.requests.get(&id) else { continue };
            let front = t.front;
            if let State::Trying { server, .. } = t.state {
                commands.push(Command::CancelAttempt { front, request_id: id });
                self.counters.count_attempt(Outcome::Cancelled);
                self.inbox.push(Event::ClientDisconnected(id));
                let (outcome, done) = (Outcome::Cancelled, true);
                self.inbox.push(Event::AttemptEnded { id, server, outcome, done });
            } else {
                self.inbox.push(Event::ClientDisconnected(id));
            }
            self.counters.failed += 1;
            self.finish(now, id, None, FlowResult::Failed);
            commands.push(Command::Fail { front, request_id: id });
        }
        commands
    }

    /// The node itself moves a standing connection: it leaves, or the server went silent. Gives the front
    /// that has to tell the client.
    pub fn close_for_migration(&mut self, now: Nanos, id: RequestId, outcome: Outcome) -> Option<FrontId> {
        let t = self.requests.get(&id)?;
        let State::Up { server } = t.state else { return None };
        let front = t.front;
        self.counters.migrated += 1;
        self.trace.task(id, server, Some(outcome), now.saturating_sub(t.began));
        self.finish(now, id, Some(server), FlowResult::Moved);
        self.inbox.push(Event::AttemptEnded { id, server, outcome, done: true });
        Some(front)
    }

    /// Anything else that the balancer is to hear: notes, lists, timers.
    pub fn push_event(&mut self, event: Event) {
        self.inbox.push(event);
    }

    /// The time-out of an attempt has come: says whether that very task is still out, and where.
    pub fn front_of_attempt(&self, id: RequestId, attempt: u32) -> Option<FrontId> {
        let t = self.requests.get(&id)?;
        matches!(t.state, State::Trying { attempt: out, .. } if out == attempt).then_some(t.front)
    }

    /// The number of the latest attempt, for its time-out.
    pub fn attempt_number(&self, id: RequestId) -> u32 {
        self.requests.get(&id).map_or(0, |t| t.attempts)
    }

    /// Requests that stand, oldest first.
    pub fn established(&self) -> Vec<RequestId> {
        let up = |(id, t): (&RequestId, &Request)| matches!(t.state, State::Up { .. }).then_some(*id);
        let mut standing: Vec<_> = self.requests.iter().filter_map(up).collect();
        standing.sort_unstable();
        standing
    }

    /// Whether nothing is open any more.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Hands the balancer all that was reported and says what it wants done.
    pub fn decide(&mut self, now: Nanos) -> Vec<Command> {
        let mut commands = Vec::new();
        let mut actions = Vec::new();
        for (request_id, cool_down) in std::mem::take(&mut self.turned_away) {
            if let Some(front) = self.answer(now, request_id, FlowResult::Refused) {
                self.counters.rejected += 1;
                self.counters.rejected_unsent += 1;
                self.counters.quota_rejected += 1;
                commands.push(Command::Reject { front, request_id, cool_down });
            }
        }
        while !self.inbox.is_empty() {
            for event in std::mem::take(&mut self.inbox) {
                self.balancer.handle(now, event, &mut actions);
            }
            for action in actions.drain(..) {
                commands.extend(self.carry_out(now, action));
            }
        }
        commands
    }

    fn carry_out(&mut self, now: Nanos, action: Action) -> Option<Command> {
        match action {
            Action::StartAttempt { id, server, timeout } => {
                let Some(t) = self.requests.get_mut(&id).filter(|t| matches!(t.state, State::Waiting)) else {
                    let (outcome, done) = (Outcome::NotSent, true);
                    self.inbox.push(Event::AttemptEnded { id, server, outcome, done });
                    return None;
                };
                let class = t.class;
                let retry = t.attempts > 0;
                if self.quotas.as_mut().is_some_and(|b| retry && b.again(now, class).is_err()) {
                    let (outcome, done) = (Outcome::Rejected, false);
                    self.counters.quota_rejected += 1;
                    self.inbox.push(Event::AttemptEnded { id, server, outcome, done });
                    return None;
                }
                t.attempts += 1;
                t.state = State::Trying { server, since: now, attempt: t.attempts };
                self.counters.sent += 1;
                let wait = timeout.min(t.deadline.saturating_sub(now));
                Some(Command::StartAttempt { front: t.front, request_id: id, server, wait })
            }
            Action::CancelAttempt { id, .. } => {
                let front = self.requests.get(&id)?.front;
                self.on_attempt_ended(now, id, Outcome::Cancelled);
                Some(Command::CancelAttempt { front, request_id: id })
            }
            Action::Reject { id, retry_after: cool_down } => {
                let unsent = self.requests.get(&id).is_some_and(|t| t.attempts == 0);
                let front = self.answer(now, id, FlowResult::Refused)?;
                self.counters.rejected += 1;
                self.counters.rejected_unsent += u64::from(unsent);
                Some(Command::Reject { front, request_id: id, cool_down })
            }
            Action::Fail(id) => {
                let front = self.answer(now, id, FlowResult::Failed)?;
                self.counters.failed += 1;
                Some(Command::Fail { front, request_id: id })
            }
            Action::Migrate(id) => {
                let front = self.requests.get(&id)?.front;
                self.close_for_migration(now, id, Outcome::Cancelled);
                Some(Command::Migrate { front, request_id: id })
            }
            Action::SetTimer { after, token } => Some(Command::Timer { after, token }),
            Action::HealthCheck(server) => Some(Command::HealthCheck { server }),
            Action::Subscribe => Some(Command::Subscribe),
            Action::Log(words) => Some(Command::Log(words)),
        }
    }

    /// The final answer of a request that has no attempt out.
    fn answer(&mut self, now: Nanos, id: RequestId, result: FlowResult) -> Option<FrontId> {
        let t = self.requests.get(&id)?;
        if !matches!(t.state, State::Waiting) {
            return None;
        }
        let front = t.front;
        self.finish(now, id, None, result);
        Some(front)
    }

    fn release_quota(&mut self, gone: &Request) {
        if let (Some(quotas), true) = (&mut self.quotas, gone.counted) {
            quotas.over(gone.class);
        }
    }

    fn finish(&mut self, now: Nanos, id: RequestId, server: Option<ServerId>, result: FlowResult) {
        let Some(t) = self.requests.remove(&id) else { return };
        self.release_quota(&t);
        if let Some(flows) = &mut self.flows {
            flows.push(Flow {
                request_id: id,
                front: t.front,
                class: t.class,
                server,
                began: t.began,
                ended: now,
                attempts: t.attempts,
                result,
            });
        }
    }
}
