//! A client loses its connection, resumes its link, has the outcome of all its deliveries, and sends new ones. It numbers
//! the delivery tags of each connection from 0 and passes over those that it has not settled yet (AMQP 1.0, 2.6.12: a tag
//! is unique among the deliveries that either end has not settled). The check: what the node answers `accepted`, a
//! server has run.

use crate::client::{message, outcome_text, Client, Lost};
use crate::proxy::Proxy;
use crate::{Platform, Verdict};
use sparbank_amqp::{Performative, State};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const CLASS: &str = "live-readings";
const TOTAL: usize = 24;
/// The client loses its connection after this many deliveries.
const LOST_AFTER: usize = 6;
const SEND_INTERVAL: Duration = Duration::from_millis(130);
/// The client comes again after this time.
const REJOIN: Duration = Duration::from_millis(500);
/// How long the client resumes its link after a loss.
const TIMEOUT_S: u32 = 20;

struct Sending {
    client: Client,
    next_id: u32,
    next_tag: u64,
    /// The deliveries without an outcome, by delivery id: tag and work.
    open: BTreeMap<u32, (u64, usize)>,
}

fn key(work: usize) -> String {
    format!("{:04x}", 0x1000 + work)
}

impl Sending {
    fn free_tag(&mut self) -> u64 {
        while self.open.values().any(|(tag, _)| *tag == self.next_tag) {
            self.next_tag += 1;
        }
        self.next_tag += 1;
        self.next_tag - 1
    }

    fn send(&mut self, platform: &Platform, work: usize, resumed_tag: Option<u64>) -> Result<(), Lost> {
        let tag = resumed_tag.unwrap_or_else(|| self.free_tag());
        let id = self.next_id;
        self.next_id += 1;
        self.open.insert(id, (tag, work));
        let how = if resumed_tag.is_some() { "resumes" } else { "sends" };
        platform.record.line("client", &format!("{how} {} with tag {tag} as delivery {id}", key(work)));
        self.client.deliver(id, tag, resumed_tag.is_some(), &message(None, &key(work)))
    }

    /// Reads outcomes until the deadline.
    fn read(
        &mut self,
        platform: &Platform,
        until: Instant,
        outcomes: &mut BTreeMap<usize, State>,
    ) -> Result<(), Lost> {
        while let Some(body) = self.client.next(until)? {
            let Performative::Disposition(disposition) = body else { continue };
            let (Some(first), Some(state)) = (disposition.first, disposition.state) else { continue };
            for id in first..=disposition.last.unwrap_or(first) {
                let Some((tag, work)) = self.open.remove(&id) else { continue };
                let text = format!("gets {} (tag {tag}): {}", key(work), outcome_text(&state));
                platform.record.line("client", &text);
                outcomes.insert(work, state.clone());
            }
        }
        Ok(())
    }
}

pub fn play(platform: Platform) -> Verdict {
    let mut node = platform.start_node(["read_like", "read_like", "read_like"]);
    let verdict = converse(&platform, node.amqp).unwrap_or(Verdict::CouldNotRun("unexpected loss".into()));
    node.stop();
    verdict
}

fn connect(proxy: &Proxy, unsettled: &[u64]) -> Result<(Sending, Vec<u64>), Lost> {
    let mut client = Client::connect(proxy.address, "archive-7", None)?;
    let known = client.attach_sender("readings", CLASS, TIMEOUT_S, unsettled)?;
    let known = known.into_iter().map(|(tag, _)| tag).collect();
    Ok((Sending { client, next_id: 0, next_tag: 0, open: BTreeMap::new() }, known))
}

fn converse(platform: &Platform, amqp: std::net::SocketAddr) -> Result<Verdict, Lost> {
    let proxy = Proxy::start(amqp);
    let mut outcomes = BTreeMap::new();
    let (mut sending, _) = connect(&proxy, &[])?;
    let mut next_at = Instant::now();
    for work in 0..TOTAL {
        sending.send(platform, work, None)?;
        next_at += SEND_INTERVAL;
        sending.read(platform, next_at, &mut outcomes)?;
        if work + 1 == LOST_AFTER && platform.has_trouble {
            platform.record.line("network", "resets the client's connection, on both sides");
            proxy.connection(0).reset_node_side();
            proxy.connection(0).reset_client_side();
            // What the client can still read on its connection, it has read above.
            let lost: Vec<(u64, usize)> = sending.open.into_values().collect();
            std::thread::sleep(REJOIN);
            let unsettled: Vec<u64> = lost.iter().map(|(tag, _)| *tag).collect();
            let (resumed, known) = connect(&proxy, &unsettled)?;
            sending = resumed;
            let text = format!("attaches again, unsettled tags {unsettled:?}; the node knows {known:?}");
            platform.record.line("client", &text);
            for (tag, work) in lost {
                sending.send(platform, work, Some(tag))?;
            }
            // The client sends nothing new until it has the outcome of all that it had sent before.
            let patience = Instant::now() + Duration::from_secs(5);
            while !sending.open.is_empty() && Instant::now() < patience {
                sending.read(platform, Instant::now() + Duration::from_millis(20), &mut outcomes)?;
            }
            next_at = Instant::now();
        }
    }
    sending.read(platform, Instant::now() + Duration::from_secs(3), &mut outcomes)?;
    let mut broken = 0;
    for (work, state) in &outcomes {
        let runs = platform.runs_of(&key(*work));
        if *state == State::Accepted && runs.is_empty() {
            broken += 1;
            platform
                .record
                .line("check", &format!("{} was answered accepted, and no server has run it", key(*work)));
        }
    }
    let accepted = outcomes.values().filter(|state| **state == State::Accepted).count();
    let text = format!("{TOTAL} sent, {accepted} answered accepted, {broken} of them run by no server");
    platform.record.line("check", &text);
    println!("{text}");
    if accepted < TOTAL / 2 {
        return Ok(Verdict::CouldNotRun("too few deliveries were served".into()));
    }
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}
