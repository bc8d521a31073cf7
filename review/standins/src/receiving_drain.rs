//! Clients attach receiving links from a class whose effect must not run twice. While a server sets such a link up,
//! discovery tells that the server drains; it finishes what it has. A client that is refused with a `retry-after` comes
//! again after that time, as clients do after `BUSY MS`. The check: no request is run more than once.

use crate::client::{Client, Lost};
use crate::{Platform, Verdict};
use sparbank_amqp::{condition, Performative, Value};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const CLASS: &str = "station-notes";
const TOTAL: usize = 48;
/// About 7.5 new connections a second.
const ATTACH_INTERVAL: Duration = Duration::from_millis(130);
/// When one of the nine servers drains, after the first attach.
const DRAIN_AT: Duration = Duration::from_millis(1_500);

fn key(work: usize) -> String {
    format!("{:04x}", 0x2000 + work)
}

pub fn play(platform: Platform) -> Verdict {
    let mut node = platform.start_node(["read_like", "read_like", "non_idempotent"]);
    let verdict = Subscriber::connect(&platform, node.amqp).and_then(Subscriber::subscribe);
    let verdict = verdict.unwrap_or(Verdict::CouldNotRun("unexpected loss".into()));
    node.stop();
    verdict
}

/// The clients, whose links share one connection.
struct Subscriber<'a> {
    platform: &'a Platform,
    client: Client,
    /// The handle of the next link.
    next_handle: u32,
    /// The requests by the names of their links.
    works: BTreeMap<String, usize>,
    /// The names of the links by the node's handles.
    names: BTreeMap<u32, String>,
    /// Requests that come again, and when.
    returning: Vec<(Instant, usize)>,
    established: usize,
}

impl<'a> Subscriber<'a> {
    fn connect(platform: &'a Platform, amqp: std::net::SocketAddr) -> Result<Subscriber<'a>, Lost> {
        Ok(Subscriber {
            platform,
            client: Client::connect(amqp, "subscriber-3", None)?,
            next_handle: 0,
            works: BTreeMap::new(),
            names: BTreeMap::new(),
            returning: Vec::new(),
            established: 0,
        })
    }

    fn say(&self, text: &str) {
        self.platform.record.line("client", text);
    }

    fn attach(&mut self, work: usize) -> Result<(), Lost> {
        let handle = self.next_handle;
        self.next_handle += 1;
        let name = format!("link-{handle}");
        self.say(&format!("attaches {name} to receive from {CLASS}, key {}", key(work)));
        self.works.insert(name.clone(), work);
        self.client.attach_receiver(handle, &name, CLASS, &key(work))
    }

    fn subscribe(mut self) -> Result<Verdict, Lost> {
        let platform = self.platform;
        let start = Instant::now();
        let mut next_at = start;
        let mut has_drained = false;
        for work in 0..TOTAL {
            self.attach(work)?;
            next_at += ATTACH_INTERVAL;
            // The server has the attach a few milliseconds later.
            self.read(Instant::now() + Duration::from_millis(50))?;
            if platform.has_trouble && !has_drained && start.elapsed() >= DRAIN_AT {
                let mut servers = platform.servers.iter();
                if let Some(server) = servers.find(|server| server.unanswered() > 0) {
                    has_drained = true;
                    server.drain();
                    platform.discovery.set_lifecycle(&server.id, "draining");
                }
            }
            self.read(next_at)?;
        }
        self.read(Instant::now() + Duration::from_secs(4))?;
        Ok(self.judge())
    }

    fn judge(&self) -> Verdict {
        let platform = self.platform;
        let mut broken = 0;
        for work in 0..TOTAL {
            let runs = platform.runs_of(&key(work));
            if runs.len() > 1 {
                broken += 1;
                platform
                    .record
                    .line("check", &format!("{} was run {} times, by {runs:?}", key(work), runs.len()));
            }
        }
        let established = self.established;
        let text = format!("{TOTAL} requests, {established} established, {broken} run more than once");
        platform.record.line("check", &text);
        println!("{text}");
        if established < TOTAL / 2 {
            return Verdict::CouldNotRun("too few requests were served".into());
        }
        if broken > 0 {
            Verdict::Broken
        } else {
            Verdict::Held
        }
    }

    fn read(&mut self, until: Instant) -> Result<(), Lost> {
        loop {
            let step = self.returning.iter().map(|(at, _)| *at).fold(until, Instant::min);
            while let Some(body) = self.client.next(step)? {
                self.on_frame(body);
            }
            let now = Instant::now();
            let (due, later) =
                std::mem::take(&mut self.returning).into_iter().partition(|(at, _)| *at <= now);
            self.returning = later;
            for (_, work) in due {
                self.attach(work)?;
            }
            if now >= until {
                return Ok(());
            }
        }
    }

    fn on_frame(&mut self, body: Performative) {
        match body {
            Performative::Attach(attach) => {
                let name = attach.name.clone().unwrap_or_default();
                if attach.source.is_some() {
                    self.established += 1;
                    self.say(&format!("gets {name}: established"));
                }
                self.names.insert(attach.handle.unwrap_or(0), name);
            }
            Performative::Detach(detach) => {
                let name = self.names.remove(&detach.handle.unwrap_or(0)).unwrap_or_default();
                let error = detach.error.map(|error| *error);
                let why = error.as_ref().map(|error| error.condition.clone()).unwrap_or_default();
                let info = error.and_then(|error| error.info);
                let retry_after = info.as_ref().and_then(|info| info.get("retry-after"));
                self.say(&format!("{name} is detached: {why}, retry-after {retry_after:?}"));
                let Some(work) = self.works.remove(&name) else { return };
                if let (condition::RESOURCE_LIMIT_EXCEEDED, Some(Value::Uint(ms))) =
                    (why.as_str(), retry_after)
                {
                    let wait = Duration::from_millis(u64::from(*ms));
                    self.say(&format!("{} was refused: trying again is harmless", key(work)));
                    self.returning.push((Instant::now() + wait, work));
                }
            }
            _ => {}
        }
    }
}
