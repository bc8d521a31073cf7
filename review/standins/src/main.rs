//! The stand-ins of the cases of the review. `run.sh` of a case calls `review-standins CASE RECORD`; the exit code is 1
//! if the rule was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod client;
mod discovery;
mod half_close;
mod half_messages;
mod node;
mod proxy;
mod receiving_drain;
mod record;
mod restart_resume;
mod resumed_answer;
mod resumed_tags;
mod server;
mod stale_lease;

use discovery::Discovery;
use node::{Node, NodeOptions};
use record::Record;
use server::{Run, Server};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Servers and zones as in the site file of a small deployment: nine servers in three halls, cells of three.
const SERVERS: usize = 9;
const ZONES: [&str; 3] = ["hall-brancaccio", "hall-zisa", "hall-mondello"];

/// The platform of a case: discovery and servers.
pub struct Platform {
    pub record: Record,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub servers: Vec<Server>,
    pub discovery: Discovery,
    pub has_trouble: bool,
}

/// The verdict of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

impl Platform {
    fn new(record: Record, answer_after: Duration) -> Platform {
        let runs = Arc::default();
        let servers: Vec<Server> = (0..SERVERS)
            .map(|n| Server::start(&record, &runs, &format!("server-{n}"), answer_after))
            .collect();
        let listed: Vec<_> = servers
            .iter()
            .enumerate()
            .map(|(n, server)| (server.id.clone(), server.address, ZONES[n / 3].to_string(), n / 3))
            .collect();
        let discovery = Discovery::start(&record, &listed);
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.line("case", if has_trouble { "with the disruption" } else { "without the disruption" });
        Platform { record, runs, servers, discovery, has_trouble }
    }

    /// Starts the node with classes of these effects.
    pub fn start_node(&self, effects: [&'static str; 3]) -> Node {
        self.start(effects, None)
    }

    /// Starts the node again under its addresses, the text and the AMQP one.
    pub fn start_node_again(&self, effects: [&'static str; 3], addresses: (SocketAddr, SocketAddr)) -> Node {
        self.start(effects, Some(addresses))
    }

    fn start(&self, effects: [&'static str; 3], addresses: Option<(SocketAddr, SocketAddr)>) -> Node {
        let options = NodeOptions {
            discovery: self.discovery.address,
            known: self.discovery.known(),
            effects,
            zones: ZONES.iter().map(|zone| zone.to_string()).collect(),
            name: "n1",
            arguments: String::new(),
            max_attempts: 3,
            addresses,
        };
        Node::start(&self.record, &options)
    }

    /// The servers that have run a request, one entry for each run.
    pub fn runs_of(&self, key: &str) -> Vec<String> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|run| run.key == key).map(|run| run.server.clone()).collect()
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: review-standins CASE RECORD");
        std::process::exit(2);
    };
    let record = Record::create(Path::new(record));
    let verdict = match case.as_str() {
        "half-close" => half_close::play(Platform::new(record.clone(), Duration::from_millis(300))),
        "stale-lease" => stale_lease::play(&record),
        "restart-resume" => restart_resume::play(Platform::new(record.clone(), Duration::from_secs(4))),
        "half-messages" => half_messages::play(Platform::new(record.clone(), Duration::from_millis(300))),
        "resumed-tags" => resumed_tags::play(Platform::new(record.clone(), Duration::from_millis(300))),
        "receiving-drain" => receiving_drain::play(Platform::new(record.clone(), Duration::from_millis(250))),
        "resumed-answer" => resumed_answer::play(Platform::new(record.clone(), Duration::from_secs(6))),
        _ => Verdict::CouldNotRun("no such case".into()),
    };
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_string()),
        Verdict::Broken => (1, "the rule was broken".to_string()),
        Verdict::CouldNotRun(why) => (2, format!("the case could not run: {why}")),
    };
    record.line("case", &text);
    println!("{text}");
    std::process::exit(code);
}
