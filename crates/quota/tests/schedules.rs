//! Long random schedules in virtual time: nodes that come, go, are killed, stop and go on, with clocks that run
//! apart; messages lost, late, doubled, out of order; grantors that lead in turn, lag, and come back empty. An
//! auditor counts what was really opened and spent. `SHARES_SEEDS` and `SHARES_STEPS` set what is played.

use rand::{rngs::StdRng, Rng, SeedableRng};
use sparbank_quota::*;

const MS: u64 = 1_000_000;
const SEATS: u64 = 6;

fn plan(seats: u64) -> Plan {
    let seat = |i| Seat { name: format!("n{i}"), address: ([127, 0, 0, 1], 9000 + i as u16).into() };
    let budget = |name: &str, limits, whole, burst, floor_percent| Budget {
        name: name.to_string(),
        limits,
        whole,
        burst,
        floor_percent,
        subscriber: None,
        class: None,
    };
    let plan = Plan {
        seats: (0..seats).map(seat).collect(),
        grantors: vec!["n0".into(), "n1".into(), "n2".into()],
        lease_ms: 1000,
        clear_ms: 600,
        drift_ppm: 20_000,
        budgets: vec![
            budget("standing", Limits::Connections, 60, 0, 10),
            budget("ledger", Limits::Setups, 100, 10 + seats, 20),
            budget("retries", Limits::Retries, 30, seats, 0),
        ],
    };
    plan.check().unwrap();
    plan
}

/// What is wrong on purpose, to see that the auditor notices.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Grantors take parts back by a clock that is ahead.
    Early,
    /// A grantor that lost its book leads.
    EmptyBook,
    /// Nodes believe any answer that comes.
    AnyAnswer,
    /// Nodes that wake count by the clock that they read before they were stopped.
    OldClock,
}

struct Node {
    holder: Holder,
    start: u64,
    /// Its clock: an offset, and how much faster than true time it runs, in millionths.
    offset: u64,
    drift: i64,
    stopped: Option<u64>,
    /// What its clock read when it last ran.
    read: u64,
    standing: u64,
    /// The number of its last ask.
    asked: u64,
}

impl Node {
    fn clock(&self, t: u64) -> u64 {
        self.offset + (t as i64 + t as i64 / 1_000_000 * self.drift) as u64
    }
}

enum Message {
    Ask(Ask),
    Answer(Answer),
}

/// The whole of a rate as the auditor keeps it: more than rate times window plus burst in any window overflows.
struct Bucket {
    level: f64,
    at: u64,
}

struct World {
    rng: StdRng,
    fault: Fault,
    plan: Plan,
    t: u64,
    nodes: Vec<Option<Node>>,
    starts: u64,
    log: Vec<Batch>,
    grantors: Vec<(Granter, usize)>,
    leader: usize,
    /// Messages under way: when each arrives.
    net: Vec<(u64, Message)>,
    waiting: Vec<Ask>,
    buckets: Vec<Bucket>,
    checks: u64,
    spent: [u64; 3],
}

impl World {
    fn new(seed: u64, fault: Fault) -> World {
        let plan = plan(SEATS);
        let granter = || (Granter::new(Book::new(plan.clone()), 0), 0);
        World {
            rng: StdRng::seed_from_u64(seed),
            fault,
            t: 0,
            nodes: (0..SEATS).map(|_| None).collect(),
            starts: 0,
            log: Vec::new(),
            grantors: (0..3).map(|_| granter()).collect(),
            leader: 0,
            net: Vec::new(),
            waiting: Vec::new(),
            buckets: (0..3).map(|_| Bucket { level: 0.0, at: 0 }).collect(),
            checks: 0,
            spent: [0; 3],
            plan,
        }
    }

    fn send(&mut self, message: Message, copy: Option<Message>) {
        for message in [Some(message), copy].into_iter().flatten() {
            let late = match self.rng.random_range(0..20) {
                0 => continue,
                1 => self.rng.random_range(0..5000 * MS),
                _ => self.rng.random_range(0..20 * MS),
            };
            self.net.push((self.t + late, message));
        }
    }

    /// One step: some time passes, and something happens. The auditor's finding, if any.
    fn step(&mut self) -> Result<(), String> {
        self.t += self.rng.random_range(0..2 * MS);
        let seat = self.rng.random_range(0..SEATS as usize);
        match self.rng.random_range(0..10_000) {
            0..=7 => self.nodes[seat] = None,
            8..=27 if self.nodes[seat].is_none() => self.start(seat),
            28..=32 => {
                let t = self.t;
                self.nodes[seat].iter_mut().for_each(|n| n.stopped = Some(n.stopped.unwrap_or(t)));
            }
            33..=45 => self.go_on(seat)?,
            46..=48 => self.nodes[seat].iter_mut().for_each(|n| n.holder.go()),
            49..=52 => {
                // Another grantor leads, once it has what the others agreed on; or one is started anew.
                self.leader = self.rng.random_range(0..3);
                if self.rng.random_bool(0.5) {
                    let book = Book::new(self.plan.clone());
                    let lost = self.fault == Fault::EmptyBook;
                    let applied = if lost { self.log.len() } else { 0 };
                    self.grantors[self.leader] = (Granter::new(book, self.t), applied);
                }
            }
            53..=200 => self.propose(),
            201..=3000 => self.take(seat, &[0, 1])?,
            3001..=4200 => self.take(seat, &[1, 2])?,
            4201..=4700 => self.end_one(seat),
            _ => {}
        }
        let lagging = self.rng.random_range(0..3);
        if self.rng.random_bool(0.02) {
            self.catch_up(lagging);
        }
        self.deliver();
        self.run();
        self.audit()
    }

    fn start(&mut self, seat: usize) {
        self.starts += 1;
        let (offset, drift) = (self.rng.random_range(0..1 << 40), self.rng.random_range(-9_000..9_000));
        let id = HolderId { seat: seat as u16, start: self.starts };
        let mut node = Node {
            holder: Holder::new(id, self.plan.clone(), 0),
            start: self.starts,
            offset,
            drift,
            stopped: None,
            read: 0,
            standing: 0,
            asked: 0,
        };
        node.read = node.clock(self.t);
        node.holder = Holder::new(id, self.plan.clone(), node.read);
        self.nodes[seat] = Some(node);
    }

    fn go_on(&mut self, seat: usize) -> Result<(), String> {
        let stopped = self.nodes[seat].as_mut().and_then(|n| n.stopped.take()).is_some();
        if stopped && self.fault == Fault::OldClock {
            // What was queued before the stop is taken by the old reading of the clock.
            for _ in 0..20 {
                self.take_at(seat, &[0, 1], true)?;
            }
        }
        Ok(())
    }

    fn take(&mut self, seat: usize, budgets: &[usize]) -> Result<(), String> {
        self.take_at(seat, budgets, false)
    }

    fn take_at(&mut self, seat: usize, budgets: &[usize], old: bool) -> Result<(), String> {
        let t = self.t;
        let Some(node) = self.nodes[seat].as_mut().filter(|n| n.stopped.is_none()) else { return Ok(()) };
        let now = if old { node.read } else { node.clock(t) };
        if node.holder.take(now, budgets).is_err() {
            return Ok(());
        }
        node.standing += u64::from(budgets.contains(&0));
        for budget in budgets {
            self.spent[*budget] += 1;
            let set = &self.plan.budgets[*budget];
            if *budget > 0 {
                let bucket = &mut self.buckets[*budget];
                let leaked = (t - bucket.at) as f64 * set.whole as f64 / 1e9;
                (bucket.level, bucket.at) = ((bucket.level - leaked).max(0.0) + 1.0, t);
                // Clocks run apart by less than a hundredth, and so do the seconds of the rates.
                if bucket.level > set.burst as f64 * 1.01 + 1e-6 {
                    return Err(format!("{}: {:.2} at once at {} ms", set.name, bucket.level, t / MS));
                }
            }
        }
        let whole = self.plan.budgets[0].whole;
        let standing: u64 = self.nodes.iter().flatten().map(|n| n.standing).sum();
        if standing > whole {
            return Err(format!("standing: {standing} of {whole} at {} ms", t / MS));
        }
        Ok(())
    }

    fn end_one(&mut self, seat: usize) {
        if let Some(node) = self.nodes[seat].as_mut().filter(|n| n.stopped.is_none() && n.standing > 0) {
            node.standing -= 1;
            node.holder.ended(&[0]);
        }
    }

    /// The leader has agreed with the others on a batch: what came since, and what is due by its clock.
    fn propose(&mut self) {
        self.catch_up(self.leader);
        let early = if self.fault == Fault::Early { 400 * MS } else { 0 };
        let frees = self.grantors[self.leader].0.due(self.t + early);
        let asks = std::mem::take(&mut self.waiting);
        self.log.push(Batch { frees, asks });
        let answers = self.catch_up(self.leader);
        for answer in answers {
            let copy = self.rng.random_bool(0.05).then(|| Message::Answer(answer.clone()));
            self.send(Message::Answer(answer), copy);
        }
    }

    fn catch_up(&mut self, which: usize) -> Vec<Answer> {
        let (granter, applied) = &mut self.grantors[which];
        let mut answers = Vec::new();
        for batch in &self.log[*applied..] {
            answers = granter.write(self.t, batch);
        }
        *applied = self.log.len();
        answers
    }

    fn deliver(&mut self) {
        while let Some(at) = self.net.iter().position(|(at, _)| *at <= self.t) {
            match self.net.swap_remove(at).1 {
                Message::Ask(ask) => self.waiting.push(ask),
                Message::Answer(mut answer) => {
                    let t = self.t;
                    let node = self.nodes[usize::from(answer.holder.seat)].as_mut();
                    let Some(node) = node.filter(|n| n.start == answer.holder.start) else { continue };
                    if self.fault == Fault::AnyAnswer {
                        answer.number = node.asked;
                    }
                    if node.stopped.is_none() {
                        let now = node.clock(t);
                        node.holder.answered(now, &answer);
                    }
                }
            }
        }
    }

    /// What a node does in each turn of its loop: its ask when due, and what stands over its part ends.
    fn run(&mut self) {
        let mut asks = Vec::new();
        for node in self.nodes.iter_mut().flatten() {
            if let Some(at) = node.stopped {
                // Servers end the connections of a node that stands still.
                if self.t >= at + self.plan.clear_ms * MS {
                    (0..std::mem::take(&mut node.standing)).for_each(|_| node.holder.ended(&[0]));
                }
                continue;
            }
            let now = node.clock(self.t);
            node.read = now;
            for _ in 0..node.holder.over(now, 0) {
                node.standing -= 1;
                node.holder.ended(&[0]);
            }
            if node.holder.next_ask() <= now {
                asks.push(node.holder.ask(now));
                node.asked += 1;
            }
        }
        for ask in asks {
            let copy = self.rng.random_bool(0.05).then(|| Message::Ask(ask.clone()));
            self.send(Message::Ask(ask), copy);
        }
    }

    fn audit(&mut self) -> Result<(), String> {
        let t = self.t;
        for budget in 0..3 {
            // What all who run may use by their own clocks now.
            let allowed = |n: &mut Node| {
                let now = n.clock(t);
                n.holder.allowed(now, budget)
            };
            let running = self.nodes.iter_mut().flatten().filter(|n| n.stopped.is_none());
            let all: u64 = running.map(allowed).sum();
            self.checks += 1;
            if all > self.plan.budgets[budget].parts() {
                return Err(format!("{}: {all} granted at {} ms", self.plan.budgets[budget].name, t / MS));
            }
        }
        Ok(())
    }
}

fn from_env(name: &str, otherwise: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(otherwise)
}

fn play(seed: u64, fault: Fault, steps: u64) -> Result<World, String> {
    let mut world = World::new(seed, fault);
    for step in 0..steps {
        world.step().map_err(|what| format!("seed {seed}, step {step}: {what}"))?;
    }
    Ok(world)
}

/// A million steps: never over the whole, whatever happens, and not by lying idle.
#[test]
fn never_over_the_whole() {
    let steps = from_env("SHARES_STEPS", 100_000);
    let seeds: Vec<u64> = std::env::var("SHARES_SEEDS").map_or((1..=10).collect(), |seeds| {
        seeds.split(',').map(|seed| seed.trim().parse().expect("SHARES_SEEDS: numbers")).collect()
    });
    let (mut checks, mut spent, mut seconds) = (0, 0, 0.0);
    for seed in seeds {
        let world = play(seed, Fault::None, steps).unwrap_or_else(|what| panic!("{what}"));
        checks += world.checks;
        spent += world.spent[1];
        seconds += world.t as f64 / 1e9;
    }
    println!("{checks} checks, 0 breaches; {:.1} set-ups a second of 100", spent as f64 / seconds);
    assert!(spent as f64 > seconds * 10.0, "nothing was granted");
}

/// Each fault, put in, is seen: the auditor names what was over.
#[rstest::rstest]
#[case(Fault::Early)]
#[case(Fault::EmptyBook)]
#[case(Fault::AnyAnswer)]
#[case(Fault::OldClock)]
fn the_auditor_sees(#[case] fault: Fault) {
    let found = (1..=40).find_map(|seed| play(seed, fault, 100_000).err());
    println!("{fault:?}: {found:?}");
    assert!(found.is_some(), "{fault:?} went unseen");
}
