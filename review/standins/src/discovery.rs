//! Discovery: the list of servers, and watches that get each change.

use crate::record::Record;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How often a watch gets an empty line while nothing changes.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Clone)]
struct Entry {
    id: String,
    address: SocketAddr,
    zone: String,
    cell: usize,
    lifecycle: String,
    changed_at: u64,
}

impl Entry {
    fn json(&self) -> String {
        let Entry { id, address, zone, cell, lifecycle, .. } = self;
        format!(
            r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"{zone}","machineType":"big-std","cell":{cell},"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
        )
    }
}

struct State {
    generation: u64,
    entries: Vec<Entry>,
    watches: Vec<TcpStream>,
}

/// The discovery service.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<Mutex<State>>,
    record: Record,
    pub address: SocketAddr,
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

fn list(generation: u64, reset: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#, entries.join(","))
}

impl Discovery {
    /// Starts discovery with these servers: id, address, zone and cell.
    pub fn start(record: &Record, servers: &[(String, SocketAddr, String, usize)]) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let entry = |(id, address, zone, cell): &(String, SocketAddr, String, usize)| Entry {
            id: id.clone(),
            address: *address,
            zone: zone.clone(),
            cell: *cell,
            lifecycle: "ready".into(),
            changed_at: 1,
        };
        let state =
            State { generation: 1, entries: servers.iter().map(entry).collect(), watches: Vec::new() };
        let this = Discovery { state: Arc::new(Mutex::new(state)), record: record.clone(), address };
        let accepting = this.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = accepting.clone();
                std::thread::spawn(move || this.serve(stream));
            }
        });
        let beating = this.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(EMPTY_LINE_INTERVAL);
            beating.state.lock().unwrap().send_to_watches(&chunk(""));
        });
        this
    }

    /// The whole list, as a node's configuration holds it.
    pub fn known(&self) -> String {
        let state = self.state.lock().unwrap();
        list(state.generation, true, &state.entries)
    }

    /// Changes the lifecycle of a server and tells all watches.
    pub fn set_lifecycle(&self, id: &str, lifecycle: &str) {
        let mut state = self.state.lock().unwrap();
        state.generation += 1;
        let generation = state.generation;
        let Some(entry) = state.entries.iter_mut().find(|entry| entry.id == id) else { return };
        entry.lifecycle = lifecycle.into();
        entry.changed_at = generation;
        let line = list(generation, false, &[entry.clone()]);
        self.record.line("discovery", &format!("tells all watches: {line}"));
        state.send_to_watches(&chunk(&line));
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).expect("a socket option");
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        let mut request = String::new();
        if reader.read_line(&mut request).unwrap_or(0) == 0 {
            return;
        }
        let mut header = String::new();
        while reader.read_line(&mut header).unwrap_or(0) > 2 {
            header.clear();
        }
        let mut stream = stream;
        let mut state = self.state.lock().unwrap();
        let Some((_, from)) = request.split_once("from=") else {
            let body = list(state.generation, true, &state.entries);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            let _ = stream.write_all((head + &body).as_bytes());
            return;
        };
        let from: u64 =
            from.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0);
        let mut answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_string();
        let changed: Vec<Entry> =
            state.entries.iter().filter(|entry| entry.changed_at > from).cloned().collect();
        if from == 0 {
            answer += &chunk(&list(state.generation, true, &state.entries));
        } else if changed.is_empty() {
            answer += &chunk("");
        } else {
            answer += &chunk(&list(state.generation, false, &changed));
        }
        if stream.write_all(answer.as_bytes()).is_ok() {
            state.watches.push(stream);
        }
    }
}

impl State {
    fn send_to_watches(&mut self, text: &str) {
        self.watches.retain_mut(|watch| watch.write_all(text.as_bytes()).is_ok());
    }
}
