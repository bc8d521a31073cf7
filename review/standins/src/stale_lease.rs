//! Fleet-wide quotas (`--fleet`), text protocol. A node is stopped for longer than its lease and `clear_ms`, while requests
//! that it has admitted wait for their next attempt; the servers end its silent connections, and another node gets its
//! allotment. Then the node goes on. The check: the servers never have more connections than the total of the quota.

use crate::discovery::Discovery;
use crate::node::{folder, free_address, Node, NodeOptions};
use crate::record::Record;
use crate::{Verdict, ZONES};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const TOTAL: usize = 30;
const CLASS: &str = "live-readings";
/// A server ends a connection that has brought no line for this long; `clear_ms` covers it.
const SILENCE: Duration = Duration::from_millis(1_500);
const FLEET: &str = r#"{"members":[{"name":"n1","address":"A1"},{"name":"n2","address":"A2"},{"name":"n3","address":"A3"}],
"grantors":["n1"],"lease_ms":1000,"clear_ms":2000,"drift_ppm":1000,
"budgets":[{"name":"standing","limits":"connections","total":30,"floor_percent":20}]}"#;

/// What the servers see together.
#[derive(Default)]
struct Seen {
    open: AtomicUsize,
    /// The servers turn new connections away.
    are_full: AtomicBool,
    /// The most connections above the total, and since when they are above it.
    most: AtomicUsize,
    above_since: Mutex<Option<Instant>>,
    above_for: Mutex<Duration>,
}

impl Seen {
    fn opened(&self, record: &Record) {
        let open = self.open.fetch_add(1, SeqCst) + 1;
        self.most.fetch_max(open, SeqCst);
        if open > TOTAL {
            record.line("servers", &format!("have {open} connections, {TOTAL} is the total"));
            self.above_since.lock().unwrap().get_or_insert(Instant::now());
        }
    }

    fn closed(&self) {
        if self.open.fetch_sub(1, SeqCst) - 1 <= TOTAL {
            if let Some(since) = self.above_since.lock().unwrap().take() {
                *self.above_for.lock().unwrap() += since.elapsed();
            }
        }
    }
}

fn start_server(record: &Record, seen: &Arc<Seen>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (record, seen) = (record.clone(), seen.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, seen) = (record.clone(), seen.clone());
            std::thread::spawn(move || serve(&record, &seen, stream));
        }
    });
    address
}

fn serve(record: &Record, seen: &Seen, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut lines = BufReader::new(stream.try_clone().expect("a second handle"));
    let mut line = String::new();
    if lines.read_line(&mut line).unwrap_or(0) == 0 {
        return;
    }
    if seen.are_full.load(SeqCst) {
        let _ = stream.write_all(b"BUSY\r\n");
        return;
    }
    let _ = stream.set_read_timeout(Some(SILENCE));
    seen.opened(record);
    let _ = stream.write_all(b"UP 1\r\n");
    line.clear();
    while lines.read_line(&mut line).unwrap_or(0) > 0 && stream.write_all(line.as_bytes()).is_ok() {
        line.clear();
    }
    seen.closed();
}

/// A client that comes again and again until `ends`.
fn start_client(record: &Record, name: String, node: SocketAddr, ends: &Arc<AtomicBool>) {
    let (record, ends) = (record.clone(), ends.clone());
    std::thread::spawn(move || {
        let mut number = 0;
        while !ends.load(SeqCst) {
            number += 1;
            let Ok(mut stream) = TcpStream::connect(node) else { return };
            let _ = stream.set_nodelay(true);
            let line = format!("OPEN {name}{number:04x} {number:x} c={CLASS},d=20000\r\n");
            let _ = stream.write_all(line.as_bytes());
            let mut lines = BufReader::new(stream.try_clone().expect("a second handle"));
            let mut answer = String::new();
            let _ = lines.read_line(&mut answer);
            if let Some(ms) = answer.strip_prefix("BUSY") {
                std::thread::sleep(Duration::from_millis(ms.trim().parse().unwrap_or(100)));
                continue;
            }
            if !answer.starts_with("UP") {
                std::thread::sleep(Duration::from_millis(200));
                continue;
            }
            record.line(&name, "is established");
            let _ = stream.set_read_timeout(Some(Duration::from_millis(400)));
            while !ends.load(SeqCst) {
                if stream.write_all(b"line\r\n").is_err() {
                    break;
                }
                let mut buffer = [0; 256];
                match lines.read(&mut buffer) {
                    Ok(0) => break,
                    Ok(count) if buffer[..count].starts_with(b"MOVE") => break,
                    Ok(_) => std::thread::sleep(Duration::from_millis(400)),
                    Err(_) => {}
                }
            }
        }
    });
}

pub fn play(record: &Record) -> Verdict {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let seen: Arc<Seen> = Arc::default();
    let listed: Vec<_> = (0..9)
        .map(|n| (format!("feed-{n}"), start_server(record, &seen), ZONES[n / 3].to_string(), n / 3))
        .collect();
    let discovery = Discovery::start(record, &listed);
    let mut fleet = FLEET.to_string();
    for n in 1..=3 {
        fleet = fleet.replace(&format!("A{n}"), &free_address().to_string());
    }
    let file = folder().join("fleet.json");
    std::fs::write(&file, fleet).expect("the quota file can be written");
    let mut nodes: Vec<Node> = ["n1", "n2", "n3"]
        .into_iter()
        .map(|name| {
            let options = NodeOptions {
                discovery: discovery.address,
                known: discovery.known(),
                effects: ["read_like", "read_like", "read_like"],
                zones: ZONES.iter().map(|zone| zone.to_string()).collect(),
                name,
                arguments: format!("--fleet '{}'", file.display()),
                max_attempts: 6,
                addresses: None,
            };
            Node::start(record, &options)
        })
        .collect();
    let never: Arc<AtomicBool> = Arc::default();
    let leave: Arc<AtomicBool> = Arc::default();
    for n in 0..24 {
        start_client(record, format!("a{n:02}"), nodes[1].text, if n < 12 { &never } else { &leave });
    }
    let start = Instant::now();
    while seen.open.load(SeqCst) < 24 && start.elapsed() < Duration::from_secs(30) {
        std::thread::sleep(Duration::from_millis(50));
    }
    record.line("case", &format!("n2 has {} connections", seen.open.load(SeqCst)));
    std::thread::sleep(Duration::from_secs(2));
    seen.are_full.store(true, SeqCst);
    leave.store(true, SeqCst);
    std::thread::sleep(Duration::from_millis(450));
    for n in 0..12 {
        start_client(record, format!("b{n:02}"), nodes[1].text, &never);
    }
    std::thread::sleep(Duration::from_millis(80));
    record.line("case", &format!("the servers are full for a moment; open {}", seen.open.load(SeqCst)));
    if has_trouble {
        nodes[1].set_stopped(true);
        record.line("platform", "stops n2");
    }
    std::thread::sleep(Duration::from_millis(300));
    seen.are_full.store(false, SeqCst);
    for n in 0..30 {
        start_client(record, format!("c{n:02}"), nodes[2].text, &never);
    }
    std::thread::sleep(Duration::from_millis(5_500));
    record.line("case", &format!("open {}", seen.open.load(SeqCst)));
    if has_trouble {
        record.line("platform", "continues n2");
        nodes[1].set_stopped(false);
    }
    std::thread::sleep(Duration::from_secs(2));
    let (most, above) = (seen.most.load(SeqCst), *seen.above_for.lock().unwrap());
    let text =
        format!("at most {most} connections, {TOTAL} is the total; above it for {} ms", above.as_millis());
    record.line("check", &text);
    println!("{text}");
    for node in &mut nodes {
        node.kill();
    }
    if most > TOTAL {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
