//! All decisions of one node. The vocabulary is in `interface.rs`: Settings, Event, Action, Outcome.
//!
//! A first attempt goes out at once. A placement that fails, or that no server may take, waits one
//! Full Jitter sleep and is placed again: the best of a few random servers by this node's own open
//! connections. Everything else here says which servers may be drawn, and how often.

use crate::random::{below, mix, unit, Rng};
use crate::resilience::fleet_limits::Fleet;
use crate::resilience::outlier::Trust;
use crate::resilience::poll_backoff;
use crate::resilience::retry_admission::{backoff, Returns};
use crate::vocabulary::*;
use serde::{Deserialize, Serialize};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

type Out<'a> = &'a mut Vec<Action>;

/// Servers compared for one placement.
const CANDIDATES: usize = 3;
/// Backoff base, as a part of the time in which the class wants its set-up.
const BASE_PART: u64 = 4;
/// Backoff cap, as a part of the time that the class's client waits.
const CAP_PART: u64 = 4;
/// A note of delay holds this long unless another comes: they come once a second.
const NOTE_HOLDS: Nanos = 2_500_000_000;
/// Notes come from a third of the strictest aim on; the one that says it is over lies below.
const BUSY: f64 = 0.33;
/// How far apart notes of delay come.
const NOTE_EVERY: Nanos = 1_000_000_000;
/// Part of the connections moved at a note that the delay's growth does not call for: the pile goes.
const MOVES: f64 = 0.15;
/// No more than this is moved at a note for the growth.
const MOST_MOVED: f64 = 0.3;
/// A server that was busy is filled again over this time: notes come once a second, so what goes
/// there between two notes overshoots by a thirtieth.
const REFILL: f64 = 30e9;
/// A broken connection counts as held over about this long.
const REMEMBERED: f64 = 10e9;
/// What a group costs a server that holds any of it, as a part of what a server usually holds of ours.
const GROUP_COST: f64 = 0.15;
/// A server in another hall counts as fuller by this part of what one usually holds of ours: what crosses
/// halls has a price. The busier they are the less it says, so that a crowded hall sends what comes to the
/// others. Both are parts, since of a hundred nodes each holds a connection or none at a server.
const FAR: f64 = 0.6;
/// Timer tokens above all request ids.
const TOKEN_LIST: u64 = 1 << 62;

#[derive(Clone, Copy, Default, PartialEq)]
enum Phase {
    #[default]
    Sleeping,
    Trying,
    Open,
}

#[derive(Default)]
struct Request {
    class: usize,
    deadline: Nanos,
    phase: Phase,
    /// Attempts sent.
    attempts: u32,
    /// The design's counter: placements that failed.
    failed: u32,
    /// Where its random draw starts: from the key, so that any node draws the same.
    draw: u64,
    /// Its own random number: whether a cold server is to have it.
    roll: u64,
    group: Option<u64>,
    rerouted: bool,
    /// The client comes again: its first attempt waits its turn as a repeat does.
    again: bool,
    /// It waits for the node's part of the set-ups.
    paced: bool,
    /// Work a second, as hinted or told; zero where it is not known.
    cost: Nanos,
    sent: Nanos,
    /// The first attempt that may have run, and when it was sent.
    may_have_run: Option<(ServerId, Nanos)>,
    tried: Vec<ServerId>,
    /// Answered or left; kept until its attempt is over.
    ended: bool,
}

#[derive(Default, Deserialize, Serialize)]
struct Server {
    tag: u64,
    zone: u32,
    cell: u32,
    nominal: f64,
    #[serde(rename = "born")]
    started_at: Nanos,
    #[serde(skip)]
    status: Status,
    /// This node's own attempts and connections there.
    #[serde(skip)]
    held: BTreeSet<RequestId>,
    /// How many of each group are among them.
    #[serde(skip)]
    groups: BTreeMap<u64, u32>,
    /// The last note of delay, which holds until a time; after that it is paced until another.
    delay: Nanos,
    busy_until: Nanos,
    paced_until: Nanos,
    /// When this node last sent there.
    sent_at: Nanos,
    /// Standing connections of ours that it broke, fewer with time, as of then.
    broken: f64,
    broken_at: Nanos,
    trust: Trust,
    /// The part of what stands there that is to go if a probe finds it over what it can do.
    #[serde(skip)]
    asked: f64,
}

/// One node's decisions: a state machine without clock, I/O or shared state.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    fleet: Fleet,
    now: Nanos,
    rng: Rng,
    salt: u64,
    servers: Vec<Server>,
    ready: Vec<ServerId>,
    nominal: f64,
    open: u32,
    /// When a server was last picked for a request: what cold ones bear since then is still to be given.
    picked_at: Nanos,
    requests: BTreeMap<RequestId, Request>,
    returns: Returns,
    list_calls: u32,
    /// The timer that asks for the list: of several failures only the last one's counts.
    list_timer: u64,
    subscribed: bool,
}

impl Balancer {
    /// Starts an instance that knows nothing yet.
    pub fn new(seed: u64, settings: Settings) -> Result<Balancer, SettingsError> {
        settings.validate()?;
        let (fleet, rng, salt) = (Fleet::new(&settings), Rng::seeded(seed), mix(seed));
        Ok(Balancer { fleet, settings, rng, salt, list_timer: TOKEN_LIST, ..Balancer::default() })
    }

    /// Newer settings, checked, with the same classes in the same places.
    pub fn update_settings(&mut self, settings: Settings) {
        self.fleet = Fleet::new(&settings);
        self.settings = settings;
    }

    /// What this node learned of the servers, for a process that takes its place and knows the same ones.
    pub fn state_snapshot(&self) -> String {
        serde_json::to_string(&(self.picked_at, &self.servers)).unwrap_or_default()
    }

    /// Takes that over. What cannot be read changes nothing; what is of servers not known is left out.
    pub fn restore_state(&mut self, learned: &str) -> Result<(), serde_json::Error> {
        let servers: Vec<Server>;
        (self.picked_at, servers) = serde_json::from_str(learned)?;
        for s in servers {
            if let Some(known) =
                self.servers.iter_mut().find(|k| (k.tag, k.started_at) == (s.tag, s.started_at))
            {
                let status = known.status;
                *known = Server { status, ..s };
            }
        }
        Ok(())
    }

    /// Takes one event at this time and appends what is to be done.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        if self.picked_at == 0 {
            self.picked_at = now;
        }
        match event {
            Event::Request(arrival) => self.arrived(&arrival, out),
            Event::Resumed(arrival, server) => {
                self.admit(&arrival, Phase::Open).attempts = 1;
                self.hold(server, arrival.id);
                self.succeeded(server);
            }
            Event::Established { id, server, setup_time } => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.phase = Phase::Open;
                    let quick = setup_time <= self.settings.classes[request.class].objective / 2;
                    out.extend(self.returns.stood(quick).map(log));
                }
                self.succeeded(server);
            }
            Event::AttemptEnded { id, server, outcome, done } => {
                self.responded(id, server, outcome, done, out)
            }
            Event::ClientDisconnected(id) => self.vanished(id, out),
            Event::Timer(token) if token == self.list_timer && !self.subscribed => {
                out.push(Action::Subscribe)
            }
            Event::Timer(token) => self.woke(RequestId(token), out),
            Event::EndpointList(kind, members) => self.members(kind, members, out),
            Event::LoadReport { id, cost } => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.cost = cost;
                }
            }
            Event::LatencyReport { server, latency } => self.delayed(server, latency, out),
            Event::HealthCheckResult { server, utilization } => {
                let part = self.servers.get_mut(server.0 as usize).map(|s| std::mem::take(&mut s.asked));
                if let (Some(part), true) = (part, utilization.is_some_and(|utilization| utilization > 1.0)) {
                    self.migrate(server, part, out);
                }
            }
        }
    }

    // ---- Requests ------------------------------------------------------------------------------

    fn admit(&mut self, arrival: &Arrival, phase: Phase) -> &mut Request {
        let class = arrival.class.min(self.settings.classes.len() - 1);
        let random = self.rng.next_u64();
        let group = arrival.group;
        // A group draws its candidates, alike at every node, so that it sits at few servers and pays there.
        let drawn_by = group.or(arrival.key.filter(|_| !arrival.reconnect));
        let (draw, roll) = (drawn_by.map_or(random, mix), random);
        let deadline = self.now.saturating_add(arrival.time_left);
        let (rerouted, cost) = (arrival.rerouted, arrival.cost.unwrap_or(0));
        let again = arrival.reconnect || arrival.client_retry;
        let mut request =
            Request { class, deadline, phase, draw, roll, group, rerouted, cost, ..Request::default() };
        request.again = again;
        self.requests.entry(arrival.id).or_insert(request)
    }

    fn arrived(&mut self, arrival: &Arrival, out: Out) {
        if self.admit(arrival, Phase::Sleeping).again {
            self.sleep(arrival.id, out);
        } else {
            self.place(arrival.id, out);
        }
    }

    /// Waits a Full Jitter sleep, uniform in [0, min(cap, base * 2^attempt)], but not past the deadline.
    fn sleep(&mut self, id: RequestId, out: Out) {
        let roll = self.rng.next_u64();
        let spread = self.gap();
        let Some(request) = self.requests.get_mut(&id) else { return };
        let class = &self.settings.classes[request.class];
        request.failed += 1;
        let base = (class.objective / BASE_PART).max(spread / 2);
        let cap = (class.hard_limit / CAP_PART).max(spread.min(class.hard_limit * 3 / 4));
        let limit = backoff(base, cap, request.failed);
        let left = request.deadline.saturating_sub(self.now);
        let nap = below(roll, limit).min(left);
        request.phase = Phase::Sleeping;
        out.push(Action::SetTimer { after: nap, token: id.0 });
    }

    fn woke(&mut self, id: RequestId, out: Out) {
        let asleep = |r: &Request| r.phase == Phase::Sleeping;
        if self.requests.get(&id).is_some_and(asleep) {
            self.place(id, out);
        }
    }

    fn place(&mut self, id: RequestId, out: Out) {
        let Some(request) = self.requests.get(&id) else { return };
        let late = request.paced && self.returns.too_late(self.now, self.gap(), request.deadline);
        if self.now >= request.deadline
            || late
            || request.attempts >= self.settings.max_attempts
            || !self.may_repeat(request)
        {
            return self.give_up(id, out);
        }
        let tries_left = u64::from(self.settings.max_attempts - request.attempts);
        let slice = (request.deadline - self.now) / tries_left;
        let rerouted = request.rerouted && request.attempts == 0;
        let holder = if rerouted { self.holder(id) } else { None };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let comes_again = request.again || request.attempts > 0;
        let waits = self.returns.wait(self.now, comes_again, &mut request.paced);
        let pick = if waits { None } else { holder.or_else(|| self.pick(id)) };
        self.picked_at = if waits { self.picked_at } else { self.now };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(server) = pick else { return self.sleep(id, out) };
        request.phase = Phase::Trying;
        request.attempts += 1;
        request.sent = self.now;
        request.tried.push(server);
        self.hold(server, id);
        let gap = below(self.rng.next_u64(), 2 * self.gap());
        self.returns.sent(self.now.saturating_add(gap));
        out.push(Action::StartAttempt { id, server, timeout: slice.max(1) });
    }

    /// What this node's set-ups keep apart.
    fn gap(&self) -> Nanos {
        self.fleet.gap(self.requests.len(), self.returns.part())
    }

    /// Rule 2: whether one more attempt can do no harm (the pick keeps to the right group).
    fn may_repeat(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.class];
        match (class.effect, request.may_have_run) {
            (Effect::ReadLike, _) | (_, None) => true,
            // Its line may go out as late as its connection may come up, and still has to be inside.
            (Effect::IdempotencyKey, Some((_, sent))) => {
                self.now.saturating_sub(sent).saturating_add(self.settings.dial_timeout) < class.dedup_window
            }
            (Effect::NonIdempotent, Some(_)) => false,
        }
    }

    /// The one final answer: a refusal where that promise can be made, a failure otherwise.
    fn give_up(&mut self, id: RequestId, out: Out) {
        let turn = self.returns.turn(self.gap());
        let Some(request) = self.requests.remove(&id) else { return };
        self.returns.leave(request.paced);
        let class = &self.settings.classes[request.class];
        let harmless = match (class.effect, request.may_have_run) {
            (Effect::ReadLike, _) | (_, None) => true,
            (Effect::IdempotencyKey, Some(_)) => class.dedup_scope == DedupScope::All,
            (Effect::NonIdempotent, Some(_)) => false,
        };
        if harmless {
            let most = self.settings.max_retry_after;
            let retry_after = below(self.rng.next_u64(), most).max(turn.min(most));
            out.push(Action::Reject { id, retry_after });
        } else {
            out.push(Action::Fail(id));
        }
    }

    fn vanished(&mut self, id: RequestId, out: Out) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        match request.phase {
            Phase::Sleeping => {
                self.returns.leave(request.paced);
                self.requests.remove(&id);
            }
            Phase::Trying if self.settings.may_cancel && !request.ended => {
                request.ended = true;
                out.push(Action::CancelAttempt { id, attempt: request.attempts - 1 });
            }
            _ => request.ended = true,
        }
    }

    fn responded(&mut self, id: RequestId, server: ServerId, outcome: Outcome, done: bool, out: Out) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.phase == Phase::Sleeping {
            return;
        }
        self.let_go(server, id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !outcome.never_ran() && request.may_have_run.is_none() {
            request.may_have_run = Some((server, request.sent));
        }
        let ended = request.ended || done;
        let stood = request.phase == Phase::Open;
        let fails = !stood && matches!(outcome, Outcome::Error | Outcome::Timeout);
        if !stood {
            out.extend(self.returns.over(fails.then_some(request.sent), self.now).map(log));
        }
        if ended {
            self.requests.remove(&id);
        }
        match outcome {
            Outcome::Reset if stood => self.broke(server),
            Outcome::Ok => self.succeeded(server),
            Outcome::Cancelled | Outcome::NotSent | Outcome::Rejected => {}
            Outcome::Reset if !self.server(server).trust.is_unsure() => {}
            _ => self.failed(server, outcome),
        }
        if !ended {
            self.sleep(id, out);
        }
    }

    fn hold(&mut self, server: ServerId, id: RequestId) {
        let group = self.requests.get(&id).and_then(|r| r.group);
        if let Some(s) = self.servers.get_mut(server.0 as usize) {
            s.held.insert(id);
            if let Some(group) = group {
                *s.groups.entry(group).or_default() += 1;
            }
            s.sent_at = self.now;
            self.open += 1;
        }
    }

    fn let_go(&mut self, server: ServerId, id: RequestId) {
        let group = self.requests.get(&id).and_then(|r| r.group);
        let Some(s) = self.servers.get_mut(server.0 as usize) else { return };
        if s.held.remove(&id) {
            self.open -= 1;
            if let Some(Entry::Occupied(mut count)) = group.map(|group| s.groups.entry(group)) {
                *count.get_mut() -= 1;
                if *count.get() == 0 {
                    count.remove();
                }
            }
        }
    }

    // ---- Picking -------------------------------------------------------------------------------

    /// The best of a few random servers, drawn in proportion to their size, by own open connections for
    /// that. The draw is a weighted rendezvous: every server gets a random number from the request's key and
    /// its own tag, and the first few in that order are the candidates: the same at every node.
    fn pick(&self, id: RequestId) -> Option<ServerId> {
        let request = self.requests.get(&id)?;
        let may_take =
            |s: &Server| s.busy_until <= self.now && s.trust.allows(self.now) && self.in_group(request, s);
        let able = |server: &&ServerId| may_take(self.server(**server)) && !request.tried.contains(server);
        let mut able: Vec<ServerId> = self.ready.iter().filter(able).copied().collect();
        let free = |server: &ServerId| self.server(*server).trust.is_free(self.server(*server).held.len());
        if able.iter().any(free) {
            able.retain(free);
        }
        let all: f64 = able.iter().map(|server| self.server(*server).nominal).sum();
        let mut drawn: Vec<(f64, ServerId)> = Vec::with_capacity(CANDIDATES + 1);
        let mut cold_ones = false;
        for server in able {
            let s = self.server(server);
            let warmth = self.warmth(s);
            // A cold server gets the part of our placements that it bears, however few others are free
            // and however much or little we hold there: a request that falls to it goes to it.
            let cold = warmth < 1.0;
            // It is twice as likely, or never, as the draw has it: so groups gather at cold servers too.
            let lean = 2.0 * unit(mix(request.draw ^ s.tag));
            let weight = if cold { lean * s.nominal } else { all };
            if unit(mix(mix(request.roll ^ s.tag) ^ self.salt)) >= self.bears(s, warmth) * weight {
                continue;
            }
            if cold != cold_ones {
                if cold_ones {
                    continue;
                }
                drawn.clear();
                cold_ones = true;
            }
            let rank = rank(request, s);
            if drawn.len() < CANDIDATES || rank < drawn[CANDIDATES - 1].0 {
                let at = drawn.partition_point(|(r, _)| *r <= rank);
                drawn.insert(at, (rank, server));
                drawn.truncate(CANDIDATES);
            }
        }
        // The rank stands for the one more: where few of ours are held it decides, so nodes spread by size.
        let usual = self.fleet.usual(self.ready.len());
        let crowd = |(rank, server): (f64, ServerId)| {
            let s = self.server(server);
            let new = request.group.is_some_and(|group| !s.groups.contains_key(&group));
            let groups = (s.groups.len() + usize::from(new)) as f64;
            let far = if s.zone == self.settings.zone { 0.0 } else { FAR };
            (
                (s.held.len() as f64 + self.broken(s) + usual * (far + GROUP_COST * groups)) / s.nominal
                    + rank,
                server,
            )
        };
        let least = drawn.into_iter().map(crowd).reduce(|a, b| if b.0 < a.0 { b } else { a });
        least.map(|(_, server)| server)
    }

    /// A connection that another node carried: its holder is most likely the warm server that its
    /// key draws first. A wrong guess is a placement like any other, so a draining one is no guess.
    fn holder(&self, id: RequestId) -> Option<ServerId> {
        let request = self.requests.get(&id)?;
        let warm = self.ready.iter().filter(|s| self.warmth(self.server(**s)) >= 1.0);
        let rank = |server: &ServerId| rank(request, self.server(*server));
        warm.min_by(|a, b| rank(a).total_cmp(&rank(b))).copied()
    }

    fn server(&self, server: ServerId) -> &Server {
        &self.servers[server.0 as usize]
    }

    /// Rule 2: a keyed request that may have run goes only where its repeat is discarded.
    fn in_group(&self, request: &Request, s: &Server) -> bool {
        let class = &self.settings.classes[request.class];
        let Some((first, _)) = request.may_have_run else { return true };
        let Some(first) = self.servers.get(first.0 as usize) else { return false };
        match (class.effect, class.dedup_scope) {
            (Effect::IdempotencyKey, DedupScope::Zone) => first.zone == s.zone,
            (Effect::IdempotencyKey, DedupScope::Cell) => first.cell == s.cell && first.zone == s.zone,
            _ => true,
        }
    }

    // ---- Health --------------------------------------------------------------------------------

    /// What a server broke off was more than it bears: it counts as held for a while longer.
    fn broken(&self, s: &Server) -> f64 {
        s.broken * (-(self.now.saturating_sub(s.broken_at) as f64) / REMEMBERED).exp()
    }

    fn broke(&mut self, server: ServerId) {
        let broken = self.servers.get(server.0 as usize).map_or(0.0, |s| self.broken(s));
        if let Some(s) = self.servers.get_mut(server.0 as usize) {
            (s.broken, s.broken_at) = (broken + 1.0, self.now);
        }
    }

    fn succeeded(&mut self, server: ServerId) {
        if let Some(s) = self.servers.get_mut(server.0 as usize) {
            s.trust.stood();
        }
    }

    /// One that answered with an error is there, whatever list names it.
    fn failed(&mut self, server: ServerId, outcome: Outcome) {
        let roll = self.rng.next_u64();
        if let Some(s) = self.servers.get_mut(server.0 as usize) {
            s.trust.failed(self.now, roll, outcome == Outcome::Error);
        }
    }

    /// Messages there take long: nothing new goes there for now, and while they are later than the
    /// strictest class wants, a part of the connections is asked to come again elsewhere.
    fn delayed(&mut self, server: ServerId, delay: Nanos, out: Out) {
        let Some(aim) = self.settings.classes.iter().filter_map(|c| c.message_latency_objective).min() else {
            return;
        };
        let Some(s) = self.servers.get_mut(server.0 as usize) else { return };
        let last = if s.busy_until > self.now { s.delay } else { 0 };
        let busy = delay as f64 > aim as f64 * BUSY;
        s.busy_until = if busy { self.now.saturating_add(NOTE_HOLDS) } else { self.now };
        s.delay = delay;
        if busy {
            s.paced_until = self.now.saturating_add(self.settings.slow_start_duration);
        }
        if delay <= aim || delay < last - last / 16 {
            return;
        }
        let part = (delay.saturating_sub(last) as f64 / NOTE_EVERY as f64).min(MOST_MOVED) + MOVES;
        if self.settings.probes && last <= aim {
            // One late note may be a stall: the server's own report tells whether it is over what it can do.
            if std::mem::replace(&mut s.asked, part) == 0.0 {
                out.push(Action::HealthCheck(server));
            }
            return;
        }
        self.migrate(server, part, out);
    }

    /// Asks a part of what stands at a server to come again elsewhere: what is worth least for its load first
    fn migrate(&mut self, server: ServerId, part: f64, out: Out) {
        let roll = unit(self.rng.next_u64());
        let mut movable: Vec<(f64, u64, RequestId)> = Vec::new();
        for id in &self.server(server).held {
            if let Some(request) = self.requests.get(id).filter(|r| r.phase == Phase::Open && !r.ended) {
                let keep = self.value(request);
                movable.push((keep, mix(id.0 ^ self.now), *id));
            }
        }
        movable.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let leave = (part * movable.len() as f64 + roll) as usize;
        for (.., id) in movable.into_iter().take(leave) {
            if let Some(request) = self.requests.get_mut(&id) {
                request.ended = true;
                out.push(Action::Migrate(id));
            }
        }
    }

    /// What a connection is worth for the load that it brings.
    fn value(&self, request: &Request) -> f64 {
        let priority_weight = self.settings.classes[request.class].priority_weight;
        if self.settings.weight_by_work {
            priority_weight
        } else {
            priority_weight / request.cost.max(1) as f64
        }
    }

    // ---- Cold starts ---------------------------------------------------------------------------

    /// The share of its capacity that a server is sure to have since it started.
    fn warmth(&self, s: &Server) -> f64 {
        let age = self.now.saturating_sub(s.started_at);
        if s.started_at == 0 || age >= self.settings.slow_start_duration {
            return 1.0;
        }
        let from = self.settings.slow_start_floor;
        from + (1.0 - from) * age as f64 / self.settings.slow_start_duration as f64
    }

    /// Rule 4, kept alone: the part of our placements, for its size, that a server bears which is cold,
    /// or lately was busy, so that all nodes together fill it no faster than it can take. It fills
    /// over its warm-up; what fills it is its part of what the shares allow all nodes to hold, or,
    /// where that is not told, the mean of what we hold for its size; and our share of what reaches it
    /// is our share of that.
    fn bears(&self, s: &Server, warmth: f64) -> f64 {
        if warmth >= 1.0 && self.now >= s.paced_until {
            return f64::INFINITY;
        }
        let cold = self.settings.slow_start_duration.max(1) as f64;
        let fill = if warmth < 1.0 { self.settings.overload_multiple * warmth / cold } else { 1.0 / REFILL };
        let holds = self.fleet.fills(self.requests.len(), self.open);
        let bears = fill * holds / self.nominal.max(f64::MIN_POSITIVE);
        // A crowd comes sooner than the rate tells of it: one at a time.
        let apart = (1.0 / (bears * s.nominal)).min(self.settings.overload_after as f64);
        if (self.now.saturating_sub(s.sent_at) as f64) < apart {
            return 0.0;
        }
        bears * self.unpicked()
    }

    /// How long this node has picked nobody, but no longer than about the time in which a server falls over:
    /// a cold server may have what it bears in that time, however many requests come after one another.
    fn unpicked(&self) -> f64 {
        let most =
            self.settings.overload_after.max(2 * self.fleet.gap(self.requests.len(), Some(1.0))).max(1);
        self.now.saturating_sub(self.picked_at).min(most) as f64
    }

    // ---- Discovery -----------------------------------------------------------------------------

    fn members(&mut self, kind: ListKind, members: Vec<Endpoint>, out: Out) {
        if kind == ListKind::Failed {
            if self.subscribed {
                out.push(log("the server list is lost: keeping the last"));
            }
            self.subscribed = false;
            return self.ask_later(out);
        }
        if matches!(kind, ListKind::Saved | ListKind::Full) {
            self.servers.iter_mut().for_each(|s| s.status = Status::Removed);
        }
        self.servers.iter_mut().for_each(|s| s.trust.confirmed());
        for m in members {
            let at = m.server.0 as usize;
            if self.servers.len() <= at {
                self.servers.resize_with(at + 1, Server::default);
            }
            let s = &mut self.servers[at];
            let new = m.started_at != s.started_at;
            s.broken = if new { 0.0 } else { s.broken };
            s.trust.named(kind == ListKind::Saved, new);
            s.nominal = if m.nominal.is_finite() && m.nominal > 0.0 { m.nominal } else { 1.0 };
            (s.tag, s.zone, s.cell) = (m.tag, m.zone, m.cell);
            (s.started_at, s.status) = (m.started_at, m.status);
        }
        let serving = |at: &usize| self.servers[*at].status == Status::Serving;
        self.ready = (0..self.servers.len()).filter(serving).map(|at| ServerId(at as u32)).collect();
        self.nominal = self.ready.iter().map(|s| self.server(*s).nominal).sum();
        if kind == ListKind::Saved {
            self.ask_later(out);
        } else {
            (self.subscribed, self.list_calls) = (true, 0);
        }
    }

    fn ask_later(&mut self, out: Out) {
        let Some(limit) = poll_backoff::again_within(&self.settings, self.list_calls) else { return };
        self.list_timer += 1;
        self.list_calls += 1;
        out.push(Action::SetTimer { after: below(self.rng.next_u64(), limit), token: self.list_timer });
    }
}

fn log(words: &str) -> Action {
    Action::Log(words.to_string())
}

/// A server's place in the order that a request draws, least first: a weighted rendezvous.
fn rank(request: &Request, s: &Server) -> f64 {
    -unit(mix(request.draw ^ s.tag)).ln() / s.nominal
}
