//! The path of a client's connection is cut for some seconds. The client notices the silence, connects again, resumes its
//! link and its deliveries, which the node says still run. Then the cut is over, and the old connection is reset. The
//! check: each delivery gets an outcome in its time.

use crate::client::{message, outcome_text, Client, Lost};
use crate::proxy::Proxy;
use crate::{Platform, Verdict};
use sparbank_amqp::Performative;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const CLASS: &str = "series-replay";
const DELIVERIES: usize = 5;
/// The time to live of the messages, which is the deadline of their requests.
const TTL: Duration = Duration::from_secs(24);
/// How long the path is cut.
const CUT: Duration = Duration::from_secs(4);
/// The client takes a connection for lost that has been silent for this long; it asks the node for heartbeats.
const IDLE: Duration = Duration::from_millis(2_000);

fn key(work: usize) -> String {
    format!("{:04x}", 0x3000 + work)
}

pub fn play(platform: Platform) -> Verdict {
    let mut node = platform.start_node(["read_like", "read_like", "read_like"]);
    let verdict = converse(&platform, node.amqp).unwrap_or(Verdict::CouldNotRun("unexpected loss".into()));
    node.stop();
    verdict
}

fn converse(platform: &Platform, amqp: std::net::SocketAddr) -> Result<Verdict, Lost> {
    let proxy = Proxy::start(amqp);
    let idle_ms = Some(IDLE.as_millis() as u32);
    let mut client = Client::connect(proxy.address, "archive-7", idle_ms)?;
    client.attach_sender("readings", CLASS, 20, &[])?;
    // The deliveries without an outcome: by id the work, whose number is also the tag.
    let mut open: BTreeMap<u32, usize> = BTreeMap::new();
    let started = Instant::now();
    for work in 0..DELIVERIES {
        platform.record.line("client", &format!("sends {} with a ttl of {} ms", key(work), TTL.as_millis()));
        client.deliver(
            work as u32,
            work as u64,
            false,
            &message(Some(TTL.as_millis() as u32), &key(work)),
        )?;
        open.insert(work as u32, work);
    }
    let mut heard = BTreeMap::new();
    read(platform, &mut client, Instant::now() + Duration::from_millis(500), &mut open, &mut heard)?;
    if platform.has_trouble {
        platform.record.line("network", "the path of the client's connection is cut: open and silent");
        proxy.connection(0).cut();
        let cut_at = Instant::now();
        // The client hears nothing any more, and takes the connection for lost.
        while client.last_received.elapsed() < IDLE {
            let _ = client.next(Instant::now() + Duration::from_millis(20));
        }
        let text = format!("has heard nothing for {} ms: connects again", IDLE.as_millis());
        platform.record.line("client", &text);
        proxy.connection(0).reset_client_side();
        let unsettled: Vec<u64> = open.values().map(|work| *work as u64).collect();
        client = Client::connect(proxy.address, "archive-7", idle_ms)?;
        let known = client.attach_sender("readings", CLASS, 20, &unsettled)?;
        let text = format!("attaches again, unsettled tags {unsettled:?}; the node's map: {known:?}");
        platform.record.line("client", &text);
        let works: Vec<usize> = open.into_values().collect();
        open = BTreeMap::new();
        for (id, work) in works.into_iter().enumerate() {
            platform.record.line("client", &format!("resumes {}", key(work)));
            client.deliver(
                id as u32,
                work as u64,
                true,
                &message(Some(TTL.as_millis() as u32), &key(work)),
            )?;
            open.insert(id as u32, work);
        }
        read(platform, &mut client, cut_at + CUT, &mut open, &mut heard)?;
        platform.record.line("network", "the cut is over: the old connection is reset");
        proxy.connection(0).reset_node_side();
    }
    let last = started + TTL + Duration::from_millis(550);
    while !open.is_empty() && Instant::now() < last {
        read(platform, &mut client, Instant::now() + Duration::from_millis(100), &mut open, &mut heard)?;
    }
    for work in open.values() {
        let text = format!(
            "{} has no outcome {} ms after its first sending",
            key(*work),
            started.elapsed().as_millis()
        );
        platform.record.line("check", &text);
    }
    let text = format!("{DELIVERIES} deliveries, {} answered, {} never answered", heard.len(), open.len());
    platform.record.line("check", &text);
    println!("{text}");
    Ok(if open.is_empty() { Verdict::Held } else { Verdict::Broken })
}

fn read(
    platform: &Platform,
    client: &mut Client,
    until: Instant,
    open: &mut BTreeMap<u32, usize>,
    heard: &mut BTreeMap<usize, String>,
) -> Result<(), Lost> {
    while Instant::now() < until {
        // The client keeps its connection alive.
        client.send_heartbeat()?;
        let step = until.min(Instant::now() + Duration::from_millis(500));
        while let Some(body) = client.next(step)? {
            let Performative::Disposition(disposition) = body else { continue };
            let (Some(first), Some(state)) = (disposition.first, disposition.state) else { continue };
            for id in first..=disposition.last.unwrap_or(first) {
                let Some(work) = open.remove(&id) else { continue };
                platform.record.line("client", &format!("gets {}: {}", key(work), outcome_text(&state)));
                heard.insert(work, outcome_text(&state));
            }
        }
    }
    Ok(())
}
