//! What the stand-ins saw, by their own clocks, and what that makes of the rules.
//!
//! Rules: a request that was taken gets one final answer in its time; no request has two attempts out at
//! once; a server that the list has told a node to stop for gets nothing new from it; no cold server is pushed
//! over. What a killed or stopped node owed is excused. How late the rig's own thread was is measured, and
//! time limits are longer by that.

use super::servers::List;
use super::Figures;
use std::collections::HashMap;
use std::fmt::Write;
use std::time::{Duration, Instant};

/// How a request ended at its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Up,
    Busy,
    Failed,
    /// The connection ended with no answer.
    Ended,
    /// Nothing came in its time and long after it.
    None,
}

/// The settings give 250 ms, and the sockets' rules 50 ms more.
const STOP_WITHIN: Duration = Duration::from_millis(300);
/// A server hears of a connection's end a little after the node has ended it.
const OVERLAP: Duration = Duration::from_millis(100);
/// How often the standing clients are counted.
const SAMPLE: Duration = Duration::from_millis(100);
/// The rig's thread was late: what it read in the last while may be older than it seems.
const LATE_COUNTS: Duration = Duration::from_secs(3);

/// A second of the run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Second {
    pub asked: u32,
    pub up: u32,
    pub busy: u32,
    pub failed: u32,
    pub set_ups: u32,
    pub calls: u32,
    pub cold: u32,
    pub dead: u32,
}

#[derive(Default)]
struct Node {
    up: bool,
    /// Starts and continuations.
    starts: u64,
    since: Option<Instant>,
    /// By server: when this process was told to send it nothing new.
    told: HashMap<usize, Instant>,
    /// By server: attempts at a process that is gone.
    dead: HashMap<usize, u32>,
}

struct Request {
    node: usize,
    start: u64,
    at: Instant,
    /// The attempt that is out: its server, and since when.
    out: Option<(usize, Instant)>,
}

/// The books of one run.
pub struct Books {
    began: Instant,
    seconds: Vec<Second>,
    /// Standing clients, every 100 ms.
    samples: Vec<i64>,
    standing: i64,
    nodes: Vec<Node>,
    requests: HashMap<String, Request>,
    faults: Vec<(Instant, String)>,
    broken: Vec<String>,
    late: Vec<(Instant, Duration)>,
    attempts: u64,
    stale: u64,
    most_dead: u32,
    coldest: f64,
    beat: Instant,
}

/// What a run came to.
#[derive(Clone, Debug)]
pub struct Summary {
    pub broken: Vec<String>,
    /// From the last fault to the first moment from which 95% of what stood before the first one stands for 5 s.
    pub full_service: Option<Duration>,
    /// The same from the first fault.
    pub from_first: Option<Duration>,
    pub before: i64,
    /// The least that stood after the first fault.
    pub least: i64,
    pub peak_set_ups: u32,
    pub peak_calls: u32,
    /// Most attempts of one process at one dead server.
    pub most_dead: u32,
    /// How near to being pushed over a cold server came: held over borne.
    pub coldest: f64,
    /// Attempts seen at servers: each was checked.
    pub attempts: u64,
    pub asked: u64,
    pub up: u64,
    pub lines: String,
}

impl Books {
    pub fn new(nodes: usize) -> Books {
        let now = Instant::now();
        Books {
            began: now,
            seconds: Vec::new(),
            samples: Vec::new(),
            standing: 0,
            nodes: (0..nodes).map(|_| Node::default()).collect(),
            requests: HashMap::new(),
            faults: Vec::new(),
            broken: Vec::new(),
            late: Vec::new(),
            attempts: 0,
            stale: 0,
            most_dead: 0,
            coldest: 0.0,
            beat: now,
        }
    }

    fn second(&mut self) -> &mut Second {
        let at = self.began.elapsed().as_secs() as usize;
        self.seconds.resize(self.seconds.len().max(at + 1), Second::default());
        &mut self.seconds[at]
    }

    /// Called every so often: counts who stands, and notes how late the call comes.
    pub fn beat(&mut self, every: Duration) {
        let late = self.beat.elapsed().saturating_sub(every);
        self.beat = Instant::now();
        if late > Duration::from_millis(20) {
            self.late.push((self.beat, late));
        }
        let wanted = (self.began.elapsed().as_millis() / SAMPLE.as_millis()) as usize;
        self.samples.resize(wanted.max(self.samples.len()), self.standing);
    }

    /// How late this thread has been of late.
    fn lateness(&self) -> Duration {
        let recent = self.late.iter().rev().take_while(|(at, _)| at.elapsed() < LATE_COUNTS);
        recent.map(|(_, late)| *late).max().unwrap_or_default() + self.beat.elapsed()
    }

    pub fn standing(&self) -> usize {
        self.standing.max(0) as usize
    }

    pub fn stands(&mut self, change: i64) {
        self.standing += change;
    }

    pub fn fault(&mut self, what: &str) {
        self.faults.push((Instant::now(), what.to_string()));
    }

    pub fn node(&mut self, node: usize, up: bool) {
        let node = &mut self.nodes[node];
        node.up = up;
        node.since = Some(Instant::now());
        node.starts += 1;
        if up {
            node.told.clear();
            node.dead.clear();
        }
    }

    pub fn start_of(&self, node: usize) -> u64 {
        self.nodes[node].starts
    }

    pub fn called(&mut self) {
        self.second().calls += 1;
    }

    pub fn set_up(&mut self) {
        self.second().set_ups += 1;
    }

    /// A watch has been written this list: what it leaves out of a whole one is gone.
    pub fn told(&mut self, node: usize, start: u64, list: &List) {
        let node = &mut self.nodes[node];
        if node.starts != start {
            return;
        }
        let now = Instant::now();
        for (server, ready) in &list.named {
            if *ready {
                node.told.remove(server);
            } else {
                node.told.entry(*server).or_insert(now);
            }
        }
        if list.whole {
            let most = list.named.iter().map(|(server, _)| *server).max().unwrap_or(0);
            for server in 0..=most {
                if !list.named.iter().any(|(named, _)| *named == server) {
                    node.told.entry(server).or_insert(now);
                }
            }
        }
    }

    pub fn asked(&mut self, id: &str, node: usize) {
        self.second().asked += 1;
        let start = self.nodes[node].starts;
        self.requests.insert(id.to_string(), Request { node, start, at: Instant::now(), out: None });
    }

    pub fn answered(&mut self, id: &str, answer: Answer) {
        let second = self.second();
        match answer {
            Answer::Up => second.up += 1,
            Answer::Busy => second.busy += 1,
            Answer::Failed => second.failed += 1,
            Answer::Ended | Answer::None => {}
        }
        let Some(request) = self.requests.get(id) else { return };
        let node = &self.nodes[request.node];
        // Whatever was with a process that is gone or stood still since is excused; so is one that nobody
        // had taken in: a listener that is not there yet resets it.
        let excused = node.starts != request.start || !node.up || request.out.is_none();
        let lost = match answer {
            Answer::Ended => !excused,
            Answer::None => node.starts == request.start && node.up,
            _ => false,
        };
        if lost {
            let (node, ms) = (request.node, request.at.elapsed().as_millis());
            self.broken.push(format!("lost: request {id} at node {node} had {answer:?} after {ms} ms"));
        }
        if answer != Answer::Up {
            self.requests.remove(id);
        }
    }

    /// A line of a node's has come to a server.
    pub fn attempt(&mut self, id: &str, server: usize, cold: bool, dead: bool) {
        self.attempts += 1;
        let second = self.second();
        second.cold += u32::from(cold);
        second.dead += u32::from(dead);
        let late = self.lateness();
        let Some(request) = self.requests.get_mut(id) else { return };
        if let Some((other, since)) = request.out.replace((server, Instant::now())) {
            if other != server && since.elapsed() > OVERLAP + late {
                self.broken.push(format!("dup: request {id} is out at servers {other} and {server}"));
            }
        }
        let node = &mut self.nodes[request.node];
        if node.starts != request.start {
            return;
        }
        if dead {
            let count = node.dead.entry(server).or_default();
            *count += 1;
            self.most_dead = self.most_dead.max(*count);
        }
        let told =
            node.told.get(&server).copied().max(node.since.filter(|_| node.told.contains_key(&server)));
        if let Some(told) = told.filter(|told| told.elapsed() > STOP_WITHIN + late) {
            self.stale += 1;
            let ms = told.elapsed().as_millis();
            let node = request.node;
            self.broken.push(format!(
                "stale: node {node} sent {id} to server {server} {ms} ms after it was told to stop"
            ));
        }
    }

    pub fn attempt_over(&mut self, id: &str, server: usize) {
        if let Some(request) = self.requests.get_mut(id) {
            if request.out.is_some_and(|(out, _)| out == server) {
                request.out = None;
            }
        }
    }

    /// A cold server holds this much of what it bears; it may be over that for long enough to fall.
    pub fn cold(&mut self, name: &str, over: f64, pushed: bool) {
        self.coldest = self.coldest.max(over);
        let said = format!("failback: cold server {name} is pushed over");
        if pushed && !self.broken.contains(&said) {
            self.broken.push(said);
        }
    }

    /// A line a second.
    pub fn lines(&self) -> String {
        let mut text = String::from("second asked up busy failed set-ups calls cold dead standing\n");
        for (at, s) in self.seconds.iter().enumerate() {
            for (when, what) in &self.faults {
                if (*when - self.began).as_secs() as usize == at {
                    let _ = writeln!(text, "  {:.2} s {what}", (*when - self.began).as_secs_f64());
                }
            }
            let standing = self.samples.get((at + 1) * 10 - 1).or(self.samples.last()).unwrap_or(&0);
            let _ = writeln!(
                text,
                "{at:6} {:5} {:4} {:4} {:6} {:7} {:5} {:4} {:4} {standing:8}",
                s.asked, s.up, s.busy, s.failed, s.set_ups, s.calls, s.cold, s.dead
            );
        }
        text
    }

    /// What it all came to, from the first fault on.
    pub fn close(&mut self, figures: &Figures) -> Summary {
        let sample = |at: Instant| ((at - self.began).as_millis() / SAMPLE.as_millis()) as usize;
        let first = self.faults.first().map_or(self.began, |(at, _)| *at);
        let last = self.faults.last().map_or(self.began, |(at, _)| *at);
        let (from, to) = (sample(first).min(self.samples.len()), sample(last).min(self.samples.len()));
        let window = &self.samples[from.saturating_sub(20)..from];
        let before = window.iter().sum::<i64>() / window.len().max(1) as i64;
        let enough = |count: &i64| *count * 100 >= before * 95;
        let held = |at: &usize| self.samples[*at..*at + 50].iter().all(enough);
        let full = (to..self.samples.len().saturating_sub(50)).find(held);
        let span = |from: usize| full.map(|at| SAMPLE * (at - from) as u32);
        let (full_service, from_first) = (span(to), span(from));
        let since = &self.seconds[(from / 10).min(self.seconds.len())..];
        Summary {
            broken: self.broken.clone(),
            full_service,
            from_first,
            before,
            least: self.samples[from..].iter().copied().min().unwrap_or(0),
            peak_set_ups: since.iter().map(|s| s.set_ups).max().unwrap_or(0),
            peak_calls: since.iter().map(|s| s.calls).max().unwrap_or(0),
            most_dead: self.most_dead,
            coldest: self.coldest,
            attempts: self.attempts,
            asked: self.seconds.iter().map(|s| u64::from(s.asked)).sum(),
            up: self.seconds.iter().map(|s| u64::from(s.up)).sum(),
            lines: format!("{}{figures:?}\n", self.lines()),
        }
    }
}
