//! Text protocol. Clients send a request whose effect must not run twice, and give up early: they end their sending while
//! the feed server has the request, and read what the node answers. After `BUSY MS` they come again. The check: no
//! request is run more than once.

use crate::server::Run;
use crate::{Platform, Verdict, ZONES};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const CLASS: &str = "station-notes";
const TOTAL: usize = 20;
const SET_UP: Duration = Duration::from_millis(250);

/// Starts a feed server that speaks lines: it runs each request and answers `UP` after the set-up.
fn start_server(platform: &Platform, id: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (record, runs, id) = (platform.record.clone(), platform.runs.clone(), id.to_string());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, runs, id) = (record.clone(), runs.clone(), id.clone());
            std::thread::spawn(move || {
                let mut lines = BufReader::new(stream.try_clone().expect("a second handle"));
                let mut stream = stream;
                let mut line = String::new();
                if lines.read_line(&mut line).unwrap_or(0) == 0 || !line.starts_with("OPEN ") {
                    return;
                }
                let key = line.split(' ').nth(2).unwrap_or("?").to_string();
                record.line(&id, &format!("runs {}", line.trim_end()));
                runs.lock().unwrap().push(Run { server: id.clone(), key, began_at: record.elapsed() });
                std::thread::sleep(SET_UP);
                let _ = stream.write_all(b"UP 1\r\n");
                line.clear();
                while lines.read_line(&mut line).unwrap_or(0) > 0 {
                    let _ = stream.write_all(line.as_bytes());
                    line.clear();
                }
            });
        }
    });
    address
}

pub fn play(mut platform: Platform) -> Verdict {
    let listed: Vec<_> = (0..9)
        .map(|n| {
            let id = format!("feed-{n}");
            (id.clone(), start_server(&platform, &id), ZONES[n / 3].to_string(), n / 3)
        })
        .collect();
    platform.discovery = crate::discovery::Discovery::start(&platform.record, &listed);
    let mut node = platform.start_node(["read_like", "read_like", "non_idempotent"]);
    let mut established = 0;
    for work in 0..TOTAL {
        let key = format!("{:016x}", 0x6000 + work);
        for attempt in 0..2 {
            let id = format!("{:016x}", 0x9000 + work * 16 + attempt);
            let gives_up = platform.has_trouble && attempt == 0;
            let answer = request(&platform, node.text, &id, &key, gives_up);
            if answer.starts_with("UP") {
                established += 1;
            }
            let Some(ms) = answer.strip_prefix("BUSY") else { break };
            std::thread::sleep(Duration::from_millis(ms.trim().parse().unwrap_or(50)));
        }
    }
    node.stop();
    let mut broken = 0;
    for work in 0..TOTAL {
        let runs = platform.runs_of(&format!("{:016x}", 0x6000 + work));
        broken += usize::from(runs.len() > 1);
    }
    let text = format!("{TOTAL} requests, {established} established, {broken} run more than once");
    platform.record.line("check", &text);
    println!("{text}");
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn request(platform: &Platform, node: SocketAddr, id: &str, key: &str, gives_up: bool) -> String {
    let mut stream = TcpStream::connect(node).expect("the node listens");
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let line = format!("OPEN {id} {key} c={CLASS},d=1200");
    platform.record.line("client", &line);
    let _ = stream.write_all(format!("{line}\r\n").as_bytes());
    if gives_up {
        std::thread::sleep(Duration::from_millis(100));
        platform.record.line("client", "gives up: ends its sending");
        let _ = stream.shutdown(Shutdown::Write);
    }
    let started = Instant::now();
    let mut answer = String::new();
    let _ = BufReader::new(stream).read_line(&mut answer);
    let answer = answer.trim_end().to_string();
    platform.record.line("client", &format!("reads {answer:?} after {} ms", started.elapsed().as_millis()));
    answer
}
