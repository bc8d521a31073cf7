//! The loop: gathers what is ready, gives it to the core in one go, carries out what came back.

use crate::admin::{Answer, Call, Operator};
use crate::cli::Options;
use crate::config::{Config, Loaded};
use crate::discovery::EndpointRegistry;
use crate::flow_export::FlowExport;
use crate::front::{Ctx, Due, Files, Fronts, TransferredConnection, TEXT};
use crate::handover::{self, Handover, HandoverEvent, Inherited, State};
use crate::lifecycle::{self, Lifecycle};
use crate::log;
use crate::net::{SocketEvent, SocketEventKind, SocketOwner, SocketReactor, TimerWheel, Token};
use crate::quota::transport::{self, LeaseTransport};
use crate::quota::QuotaAdmission;
use crate::requests::{Command, FrontId, RequestTable};
use crate::vocabulary::*;
use sparbank_quota::Plan;
use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The loop looks after silent peers this often.
const LOOK_EVERY: Nanos = 200_000_000;

/// The module's clock: Unix time at the start, and from there on the steady clock.
struct Clock {
    start: Instant,
    unix: Nanos,
}

impl Clock {
    fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as Nanos);
        Clock { start: Instant::now(), unix }
    }

    fn now(&self) -> Nanos {
        self.unix + self.start.elapsed().as_nanos() as Nanos
    }
}

struct Node {
    clock: Clock,
    net: SocketReactor,
    requests: RequestTable,
    registry: EndpointRegistry,
    wheel: TimerWheel<Due>,
    config: Config,
    /// The optional fronts' files, to be read again with the configuration.
    files: Files,
    fronts: Fronts,
    export: Option<FlowExport>,
    signals: Signals,
    operator: Option<Operator>,
    lifecycle: Lifecycle,
    /// A step of moving is on the wheel.
    stepping: bool,
    handover: Option<Handover>,
    /// The talk about the fleet's budgets, where there are any.
    talk: Option<LeaseTransport>,
}

struct Signals {
    stop: Token,
    print: Token,
    reload: Token,
}

macro_rules! ctx {
    ($node:expr) => {
        &mut Ctx {
            now: $node.clock.now(),
            net: &mut $node.net,
            requests: &mut $node.requests,
            registry: &$node.registry,
            wheel: &mut $node.wheel,
            facts: &$node.config.facts,
            classes: &$node.config.settings.classes,
            takes_clients: $node.lifecycle.takes_clients(),
            closing: $node.lifecycle.closes($node.clock.now()),
        }
    };
}

/// Calls one front.
macro_rules! front {
    ($node:expr, $id:expr, $call:ident $(, $arg:expr)*) => {
        match $node.fronts.get($id) {
            Some(front) => front.$call(ctx!($node) $(, $arg)*),
            None => Default::default(),
        }
    };
}

/// Calls every front.
macro_rules! fronts {
    ($node:expr, $call:ident $(, $arg:expr)*) => {
        for front in $node.fronts.all() {
            front.$call(ctx!($node) $(, $arg)*);
        }
    };
}

/// Serves until it is told to stop. Where the platform holds the clients' listening socket, it is given.
pub(crate) fn serve(
    loaded: Loaded,
    options: Options,
    passed: Option<OwnedFd>,
    fleet: Option<(Plan, usize)>,
) -> Result<(), String> {
    let Options { fronts: files, ipfix, .. } = options;
    let Loaded { node: config, fronts: opened } = loaded;
    let at = |what: &str, e: io::Error| format!("{what}: {e}");
    let mut net = SocketReactor::new(config.sockets).map_err(|e| at("epoll", e))?;
    let signals = Signals {
        stop: signal(&mut net, &[signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT])
            .map_err(|e| at("signals", e))?,
        print: signal(&mut net, &[signal_hook::consts::SIGUSR1]).map_err(|e| at("signals", e))?,
        reload: signal(&mut net, &[signal_hook::consts::SIGHUP]).map_err(|e| at("signals", e))?,
    };
    let mut requests = RequestTable::new(config.seed, config.settings.clone()).map_err(|e| e.to_string())?;
    requests.trace.on = log::tracing();
    let operator = match config.operator {
        Some(at) => Some(Operator::open(&mut net, at).map_err(|e| format!("operator: {at}: {e}"))?),
        None => None,
    };
    let mut registry = EndpointRegistry::new(config.discovery, config.facts.zones.clone());
    // All is in place: from here on the process before this one may be asked for what it has.
    let place = passed.as_ref().and_then(|_| handover::meeting_place(&config.name));
    let inherited = place.as_deref().and_then(|place| handover::succeed(place, &config.name));
    let (mut before, mut channel) = (None, None);
    match inherited {
        Some(Inherited { channel: from, state, listening, watch }) => {
            requests.tell(registry.take_over(&mut net, &state.list, watch));
            net.inherit_listeners(listening);
            (before, channel) = (Some(state), Some(from));
        }
        None => requests.tell(registry.saved(&config.known)),
    }
    if place.is_some() {
        net.reserve_descriptors(handover::SUCCESSOR);
    }
    let mut fronts = Fronts::new();
    let listen = match passed {
        Some(fd) => net.register_listener(fd, SocketOwner::Front(TEXT)),
        None => net.listen(config.listen, SocketOwner::Front(TEXT)),
    };
    let listen = listen.map_err(|e| at("listen", e))?;
    log::line(format_args!("started name={} listen={listen}", config.name));
    for (which, file) in opened {
        let line = fronts.open(which, file, &mut net, &config.name, &config.facts)?;
        log::line(format_args!("{line}"));
    }
    let operator = operator.map(|(operator, listen)| {
        log::line(format_args!("operator listen={listen}"));
        operator
    });
    let mut export = None;
    if let Some(collector) = ipfix {
        let domain = crate::hash::fnv1a(&config.name) as u32;
        export = Some(FlowExport::new(config.listen.ip(), collector, domain).map_err(|e| at("ipfix", e))?);
        requests.flows = Some(Vec::new());
        log::line(format_args!("ipfix collector={collector} domain={domain}"));
    }
    let clock = Clock::new();
    let mut talk = None;
    if let Some(plan) = fleet {
        let (quotas, open) = seated(plan, &config, &mut net, clock.now())?;
        (requests.quotas, talk) = (Some(quotas), Some(open));
    }
    let mut wheel = TimerWheel::new(clock.now());
    wheel.schedule(clock.now(), Due::Look);
    if talk.is_some() {
        wheel.schedule(clock.now(), Due::Quota);
    }
    let (lifecycle, stepping) = (Lifecycle::default(), false);
    let handover = place.map(|place| Handover::open(&mut net, &place, channel));
    let mut node = Node {
        clock,
        net,
        requests,
        registry,
        wheel,
        config,
        files,
        fronts,
        export,
        signals,
        operator,
        lifecycle,
        stepping,
        handover,
        talk,
    };
    node.decide();
    if let Some(state) = before {
        node.take_over(&state);
    }
    node.run()
}

/// The fleet's budgets and the talk about them: this node takes its seat.
fn seated(
    (plan, seat): (Plan, usize),
    config: &Config,
    net: &mut SocketReactor,
    now: Nanos,
) -> Result<(QuotaAdmission, LeaseTransport), String> {
    let talk = LeaseTransport::open(net, &plan, seat, now);
    let talk = talk.map_err(|e| format!("--fleet: seats[{seat}].address: {e}"))?;
    match talk.grants_in(now) {
        Some(wait) => log::line(format_args!("budgets seat={seat} grants-in-ms={}", wait / 1_000_000)),
        None => log::line(format_args!("budgets seat={seat}")),
    }
    let classes: Vec<String> = config.facts.classes.iter().map(|c| c.name.clone()).collect();
    Ok((QuotaAdmission::new(plan, seat, now, &classes, config.settings.max_retry_after), talk))
}

fn signal(net: &mut SocketReactor, signals: &[i32]) -> io::Result<Token> {
    let (ours, theirs) = UnixStream::pair()?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, theirs.try_clone()?)?;
    }
    net.register_reader(OwnedFd::from(ours), SocketOwner::Signal)
}

impl Node {
    fn run(mut self) -> Result<(), String> {
        loop {
            let now = self.clock.now();
            let wait = self.wheel.time_until_next(now);
            let notices = self.net.poll(now, wait).map_err(|e| format!("epoll: {e}"))?;
            for notice in notices {
                self.dispatch(notice);
            }
            for due in self.wheel.take_expired(self.clock.now()) {
                self.due(due);
            }
            self.decide();
            self.pass_on();
            self.net.flush_connected();
            self.print_trace();
            if self.has_left() {
                self.export_flows(self.clock.now());
                self.print_counters();
                log::line(format_args!("stopped"));
                return Ok(());
            }
        }
    }

    fn dispatch(&mut self, notice: SocketEvent) {
        match notice.owner {
            SocketOwner::Front(id) => front!(self, id, notice, notice),
            SocketOwner::Discovery => {
                let broken = matches!(notice.kind, SocketEventKind::Failed { .. });
                let now = self.clock.now();
                for event in self.registry.ready(now, &mut self.net, notice.token, broken) {
                    self.listed(event);
                }
            }
            SocketOwner::Admin => {
                let now = self.clock.now();
                let call = self
                    .operator
                    .as_mut()
                    .and_then(|o| o.notice(now, &mut self.net, &mut self.wheel, notice));
                if let Some(call) = call {
                    let answer = self.called(now, call);
                    if let Some(operator) = &mut self.operator {
                        operator.answer(&mut self.net, notice.token, &answer);
                    }
                }
            }
            SocketOwner::Quota => {
                if let (Some(talk), Some(quotas)) = (&mut self.talk, &mut self.requests.quotas) {
                    talk.notice(self.clock.now(), &mut self.net, quotas, notice);
                }
            }
            SocketOwner::Handover => {
                let news = self.handover.as_mut().map(|t| t.notice(&mut self.net, notice));
                self.heard(news.unwrap_or_default());
            }
            SocketOwner::Signal => {
                if let Some(input) = self.net.input_buffer(notice.token) {
                    input.clear();
                }
                self.net.update_interest(notice.token);
                if notice.token == self.signals.print {
                    self.print_counters();
                } else if notice.token == self.signals.reload {
                    self.reload();
                } else if notice.token == self.signals.stop
                    && self.lifecycle.leave(self.clock.now(), self.longest())
                {
                    log::line(format_args!("leaving standing={}", self.requests.standing().len()));
                    if let Some(quotas) = &mut self.requests.quotas {
                        quotas.go();
                    }
                    self.begin_steps();
                }
            }
        }
    }

    /// What the process before this one knew: its list has been told already.
    fn take_over(&mut self, state: &State) {
        if let Err(e) = self.requests.learn(&state.learned) {
            log::line(format_args!("takeover-unlearned reason={e}"));
        }
        if state.drained && self.lifecycle.drain(self.clock.now()) {
            self.begin_steps();
        }
        self.requests.counters.upgrades += 1;
        self.held_before(state.descriptors);
        log::line(format_args!("taking-over drained={} descriptors={}", state.drained, state.descriptors));
    }

    /// The process before this one holds so many descriptors: both together hold no more than one may.
    fn held_before(&mut self, descriptors: usize) {
        self.net.set_descriptor_limit(self.config.sockets.saturating_sub(descriptors));
    }

    fn longest(&self) -> Nanos {
        self.config.settings.classes.iter().map(|c| c.hard_limit).max().unwrap_or(0)
    }

    fn heard(&mut self, news: Vec<HandoverEvent>) {
        for news in news {
            match news {
                HandoverEvent::Asked => {
                    let state = State {
                        drained: !self.lifecycle.takes_clients(),
                        list: self.registry.list(),
                        learned: self.requests.learned(),
                        descriptors: self.net.descriptors_in_use(),
                    };
                    let listening = self.net.listeners_except(TEXT);
                    let watch = self.registry.release_watch(&mut self.net);
                    let told =
                        self.handover.as_mut().map(|t| t.tell(&mut self.net, &state, listening, watch));
                    self.heard(told.unwrap_or_default());
                }
                HandoverEvent::SuccessorServes => {
                    self.net.set_accepting(false);
                    self.lifecycle.hand_over(self.clock.now(), self.longest());
                    self.requests.counters.upgrades += 1;
                    log::line(format_args!("handing-over standing={}", self.requests.standing().len()));
                    self.begin_steps();
                }
                HandoverEvent::SuccessorGone(unsent) => {
                    for (front, transferred_connection) in unsent {
                        self.came(&front, transferred_connection);
                    }
                    self.net.set_accepting(true);
                    self.lifecycle.take_back(self.clock.now());
                    // The watch went with it.
                    if !self.registry.is_watched() {
                        self.listed(Event::EndpointList(ListKind::Failed, Vec::new()));
                    }
                }
                HandoverEvent::Came { front, transferred_connection, descriptors } => {
                    self.held_before(descriptors);
                    self.came(&front, transferred_connection);
                }
                HandoverEvent::PredecessorGone => {
                    self.held_before(0);
                    log::line(format_args!("taken-over standing={}", self.requests.standing().len()));
                }
            }
        }
    }

    fn came(&mut self, front: &str, transferred_connection: TransferredConnection) {
        if let Some(id) = self.fronts.named(front) {
            front!(self, id, take_in, transferred_connection);
        }
    }

    /// Passes on to the successor what can be passed on by now.
    fn pass_on(&mut self) {
        while self.handover.as_ref().is_some_and(Handover::has_room) {
            let transferred_connection: Vec<TransferredConnection> =
                front!(self, TEXT, pass_on, handover::A_TURN);
            if transferred_connection.is_empty() {
                return;
            }
            let news =
                self.handover.as_mut().map(|t| t.pass_on(&mut self.net, TEXT.name, transferred_connection));
            self.heard(news.unwrap_or_default());
            self.decide();
        }
    }

    /// What an operator's call does, and its answer.
    fn called(&mut self, now: Nanos, call: Call) -> Answer {
        match call {
            Call::Ready if self.lifecycle.is_leaving() => Answer::new(503, "leaving"),
            Call::Ready => Answer::new(200, "ready"),
            Call::Drain => {
                let standing = self.requests.standing().len();
                if self.lifecycle.drain(now) {
                    self.requests.counters.drains += 1;
                    log::line(format_args!("draining standing={standing}"));
                    self.begin_steps();
                }
                Answer::new(200, format!("draining standing={standing}"))
            }
            Call::Resume => match self.lifecycle.resume() {
                Ok(drained) => {
                    if drained {
                        self.requests.counters.resumes += 1;
                        log::line(format_args!("resumed standing={}", self.requests.standing().len()));
                        fronts!(self, stay);
                    }
                    Answer::new(200, "serving")
                }
                Err(lifecycle::IsLeaving) => Answer::new(409, "leaving: start it again"),
            },
        }
    }

    /// From now on there are steps, until clients stay again.
    fn begin_steps(&mut self) {
        if !std::mem::replace(&mut self.stepping, true) {
            self.wheel.schedule(self.clock.now(), Due::Drain);
        }
    }

    /// SIGHUP: the configuration is read again. What is wrong changes nothing; what is right changes what
    /// a running node can change. Clients that stand and servers that are known stay.
    fn reload(&mut self) {
        let Loaded { node: new, fronts } = match Loaded::again(&self.config, &self.files) {
            Ok(loaded) => loaded,
            Err(problem) => return log::line(format_args!("reload-refused {problem}")),
        };
        let moved = new.discovery != self.config.discovery;
        let mut fixed = self.config.take_over(new);
        for (which, file) in fronts {
            fixed.extend(self.fronts.take_over(which, file));
        }
        // Where another process is still there, it says again what it holds.
        self.net.set_descriptor_limit(self.config.sockets);
        self.requests.set(self.config.settings.clone());
        log::line(format_args!("reloaded discovery={}", self.config.discovery));
        if !fixed.is_empty() {
            log::line(format_args!("reload-needs-restart fields={}", fixed.join(",")));
        }
        if moved {
            let now = self.clock.now();
            for event in self.registry.last_words(now, &mut self.net) {
                self.listed(event);
            }
            if let Some(event) = self.registry.follow(now, &mut self.net, self.config.discovery) {
                self.listed(event);
            }
        }
    }

    fn listed(&mut self, event: Event) {
        if let Event::EndpointList(kind, members) = &event {
            log::trace(format_args!("trace list kind={kind:?} entries={}", members.len()));
        }
        if matches!(event, Event::EndpointList(ListKind::Failed, _)) {
            self.requests.counters.list_failed += 1;
        }
        self.requests.tell(event);
        let stopped = self.registry.stopped();
        fronts!(self, drained, &stopped);
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Policy(token) => self.requests.tell(Event::Timer(token)),
            Due::AttemptTimeout(request_id, attempt) => {
                if let Some(front) = self.requests.is_out(request_id, attempt) {
                    let outcome = self.take_back(front, request_id);
                    self.requests.task_ended(self.clock.now(), request_id, outcome);
                }
            }
            Due::Dial(id, token) => front!(self, id, dial_due, token),
            Due::Timer(id, token) => front!(self, id, timer_due, token),
            Due::Look => {
                let now = self.clock.now();
                if let Some(event) = self.registry.check(now, &mut self.net) {
                    self.listed(event);
                }
                fronts!(self, look);
                self.export_flows(now);
                self.wheel.schedule(now + LOOK_EVERY, Due::Look);
            }
            Due::Drain => self.leave(),
            Due::Quota => self.fleet(),
            Due::Admin(token) => {
                if let Some(operator) = &mut self.operator {
                    operator.due(&mut self.net, token);
                }
            }
        }
    }

    fn export_flows(&mut self, now: Nanos) {
        if let (Some(export), Some(flows)) = (&mut self.export, &mut self.requests.flows) {
            export.send(now, &std::mem::take(flows), &self.registry, &self.config.facts);
        }
    }

    /// One step of sending clients away: of those that stand, so many are moved that all have been by the end.
    fn leave(&mut self) {
        let (now, standing) = (self.clock.now(), self.requests.standing());
        let Some(step) = self.lifecycle.step(now, standing.len()) else {
            self.stepping = false;
            return;
        };
        if step.begun {
            fronts!(self, leave);
        }
        for command in self.requests.abandon(now, step.answers_before) {
            self.carry_out(now, command);
        }
        for request_id in standing.into_iter().take(step.moves) {
            if let Some(id) = self.requests.moved(now, request_id, Outcome::Cancelled) {
                front!(self, id, migrate, request_id);
            }
        }
        self.wheel.schedule(now + lifecycle::STEP, Due::Drain);
    }

    /// A turn of the talk about the fleet's budgets; what stands over this node's parts is moved.
    fn fleet(&mut self) {
        let now = self.clock.now();
        let (Some(talk), Some(quotas)) = (&mut self.talk, &mut self.requests.quotas) else { return };
        if let Some(line) = talk.turn(now, &mut self.net, quotas) {
            log::line(format_args!("{line}"));
        }
        for command in self.requests.shed(now) {
            self.carry_out(now, command);
        }
        self.wheel.schedule(now + transport::TURN, Due::Quota);
    }

    fn has_left(&self) -> bool {
        // Exiting resets what still lingers, and a reset may eat the MOVE that it has not read.
        let idle = || self.requests.is_idle() && self.fronts.are_idle() && self.net.all_closes_complete();
        self.lifecycle.is_leaving() && self.lifecycle.has_left(self.clock.now(), idle())
    }

    /// Hands the core all there is, carries out what comes back, and has the fronts write what they
    /// gathered; what that brings is handed over in its turn.
    fn decide(&mut self) {
        loop {
            let now = self.clock.now();
            let commands = self.requests.decide(now);
            for command in commands {
                self.carry_out(now, command);
            }
            if self.requests.has_news() {
                continue;
            }
            fronts!(self, flush);
            if !self.requests.has_news() {
                return;
            }
        }
    }

    /// The lines of `--trace`.
    fn print_trace(&mut self) {
        for (request_id, server, outcome, waited) in std::mem::take(&mut self.requests.trace.tasks) {
            let server = self.registry.entry(server).map_or("?", |r| r.name());
            let ms = waited / 1_000_000;
            match outcome {
                Some(outcome) => log::line(format_args!(
                    "trace attempt request={} server={server} ended={outcome:?} after_ms={ms}",
                    request_id.0
                )),
                None => log::line(format_args!(
                    "trace attempt request={} server={server} up after_ms={ms}",
                    request_id.0
                )),
            }
        }
    }

    fn print_counters(&mut self) {
        self.requests.counters.list_calls = self.registry.calls;
        self.requests.counters.list_back = self.registry.backs;
        if let Some(counts) = self.operator.as_ref().map(Operator::counts) {
            let counters = &mut self.requests.counters;
            (counters.operator_yes, counters.operator_no, counters.operator_unheard) =
                (counts.yes, counts.no, counts.unheard);
        }
        log::line(format_args!("{}", self.requests.counters));
        if let (Some(talk), Some(quotas)) = (&self.talk, &self.requests.quotas) {
            let (c, left) = (talk.counts(), quotas.lease_left(self.clock.now()) / 1_000_000);
            log::line(format_args!(
                "budgets lease_left_ms={left} asks={} answers={} unread={} written={} freed={}",
                c.asks, c.answers, c.unread, c.written, c.freed
            ));
            for (name, r) in quotas.readings() {
                log::line(format_args!(
                    "budget name={name} whole={} floor={} part={} used={} refused={}",
                    r.whole, r.floor, r.part, r.used, r.refused
                ));
            }
        }
        for line in self.fronts.counters() {
            log::line(format_args!("{line}"));
        }
    }

    /// Takes the attempt of a request back from its server.
    fn take_back(&mut self, front: FrontId, request_id: RequestId) -> Outcome {
        self.fronts.get(front).map_or(Outcome::Cancelled, |f| f.give_up(ctx!(self), request_id))
    }

    fn carry_out(&mut self, now: Nanos, command: Command) {
        if let Command::Reject { request_id, cool_down, .. } = &command {
            log::trace(format_args!("trace refused request={} ms={}", request_id.0, cool_down / 1_000_000));
        }
        match command {
            Command::StartAttempt { front, request_id, server, wait } => {
                self.wheel
                    .schedule(now + wait, Due::AttemptTimeout(request_id, self.requests.attempt(request_id)));
                front!(self, front, start, request_id, server, wait)
            }
            Command::CancelAttempt { front, request_id } => {
                self.take_back(front, request_id);
            }
            Command::Reject { front, request_id, cool_down } => {
                front!(self, front, refuse, request_id, cool_down)
            }
            Command::Fail { front, request_id } => front!(self, front, fail, request_id),
            Command::Migrate { front, request_id } => front!(self, front, migrate, request_id),
            Command::HealthCheck { server } => front!(self, TEXT, probe, server),
            Command::Timer { after: 0, token } => self.requests.tell(Event::Timer(token)),
            Command::Timer { after, token } => self.wheel.schedule(now + after, Due::Policy(token)),
            Command::Subscribe => {
                if let Some(event) = self.registry.subscribe(now, &mut self.net) {
                    self.listed(event);
                }
            }
            Command::Log(words) => log::line(format_args!("module {words}")),
        }
    }
}
