//! Discovery's list of servers: the watch, its parser, and what it means to the module.

use crate::config::json;
use crate::net::{BufferedConnection, SocketOwner, SocketReactor, Token};
use crate::vocabulary::*;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

/// A list as discovery writes it: all of it, or what changed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct List {
    generation: u64,
    #[serde(default)]
    reset: bool,
    instances: Vec<Entry>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
struct Entry {
    instance_id: String,
    host_port: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    cell: u32,
    lifecycle: Lifecycle,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    started_at_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
enum Lifecycle {
    Ready,
    Draining,
    Gone,
}

fn one() -> f64 {
    1.0
}

/// A server, at the number that the module knows it by.
pub struct RegistryEntry {
    entry: Entry,
}

impl RegistryEntry {
    /// Discovery's name for it.
    pub fn name(&self) -> &str {
        &self.entry.instance_id
    }

    pub fn addr(&self) -> SocketAddr {
        self.entry.host_port
    }

    /// Whether it gets anything new.
    pub fn serving(&self) -> bool {
        matches!(self.entry.lifecycle, Lifecycle::Ready)
    }
}

/// How far a watch has come, for a process that goes on with it.
#[derive(Debug, Serialize, Deserialize)]
pub struct WatchState {
    heard: Nanos,
    #[serde(default)]
    moved: Nanos,
    lines: u32,
    answer: Answer,
}

struct Watch {
    token: Token,
    /// When the last whole object or empty line came.
    heard: Nanos,
    /// When the last byte came.
    moved: Nanos,
    answer: Answer,
    lines: u32,
}

impl Watch {
    /// Whether it has fallen silent, or brings bytes that never make an object.
    fn is_silent(&self, now: Nanos) -> bool {
        let most = if self.lines == 0 && self.moved == self.heard { ANSWER_WITHIN } else { LINE_WITHIN };
        now.saturating_sub(self.moved) > most || now.saturating_sub(self.heard) > OBJECT_WITHIN
    }
}

/// A call that has brought nothing after this has failed.
const ANSWER_WITHIN: Nanos = 2_000_000_000;
/// A watch brings a line every 2 s: with none for this long it is dead. Told counts 6 s after at most.
const LINE_WITHIN: Nanos = 4_200_000_000;
/// An object that comes in pieces has so long since the last whole one.
const OBJECT_WITHIN: Nanos = 5_200_000_000;

/// A watch that has more of a list in hand is not passed on, in octets.
const MOST_PASSED: usize = 8 * 1024;

/// The table.
pub struct EndpointRegistry {
    discovery: SocketAddr,
    zones: Vec<String>,
    generation: u64,
    servers: Vec<RegistryEntry>,
    numbers: HashMap<String, ServerId>,
    watch: Option<Watch>,
    /// Calls made so far.
    pub calls: u64,
    /// Lists so far whose version went back.
    pub backs: u64,
    /// The version held when discovery moved to another address, until that one's first whole list has come.
    before: Option<u64>,
}

impl EndpointRegistry {
    pub fn new(discovery: SocketAddr, zones: Vec<String>) -> EndpointRegistry {
        let (servers, numbers) = (Vec::new(), HashMap::new());
        let (generation, watch, calls, backs, before) = (0, None, 0, 0, None);
        EndpointRegistry { discovery, zones, generation, servers, numbers, watch, calls, backs, before }
    }

    /// A server by its number.
    pub fn entry(&self, server: ServerId) -> Option<&RegistryEntry> {
        self.servers.get(server.0 as usize)
    }

    /// A server by discovery's name for it.
    pub fn named(&self, name: &str) -> Option<ServerId> {
        self.numbers.get(name).copied()
    }

    /// Servers that get nothing new.
    pub fn stopped(&self) -> Vec<ServerId> {
        let ids = (0..self.servers.len()).map(|at| ServerId(at as u32));
        ids.filter(|id| !self.servers[id.0 as usize].serving()).collect()
    }

    /// Takes the list that the node last held.
    pub fn saved(&mut self, list: &List) -> Event {
        Event::EndpointList(ListKind::Saved, self.take(list, true))
    }

    /// All that is known, for a process that takes this one's place.
    pub fn list(&self) -> List {
        let instances = self.servers.iter().map(|server| server.entry.clone()).collect();
        List { generation: self.generation, reset: true, instances }
    }

    /// Whether a watch is there, or a call for one.
    pub fn is_watched(&self) -> bool {
        self.watch.is_some()
    }

    /// Lets the watch go, for that process.
    pub fn release_watch(
        &mut self,
        net: &mut SocketReactor,
    ) -> Option<(OwnedFd, WatchState, BufferedConnection)> {
        let held = self.watch.as_ref()?;
        // In the middle of a long list: the other process had better ask by itself.
        if held.answer.bytes.len() + held.answer.line.len() > MOST_PASSED {
            return None;
        }
        let (fd, flow) = net.export_connection(held.token)?;
        let Watch { heard, moved, answer, lines, .. } = self.watch.take()?;
        Some((fd, WatchState { heard, moved, lines, answer }, flow))
    }

    /// Takes what the process before this one knew, with its watch where it had one: what comes on that is
    /// set against the list, as it was there.
    pub fn take_over(
        &mut self,
        net: &mut SocketReactor,
        list: &List,
        watch: Option<(OwnedFd, WatchState, BufferedConnection)>,
    ) -> Event {
        let members = self.take(list, true);
        let watch = watch.and_then(|(fd, state, flow)| {
            let token = net.import_connection(fd, flow, SocketOwner::Discovery).ok()?;
            let WatchState { heard, moved, lines, answer } = state;
            Some(Watch { token, heard, moved, answer, lines })
        });
        self.watch = watch;
        // A list that no watch keeps up is what was saved of it.
        let kind = if self.watch.is_some() { ListKind::Full } else { ListKind::Saved };
        Event::EndpointList(kind, members)
    }

    /// What the watch has brought by now, before it is let go: what was told there counts.
    pub fn last_words(&mut self, now: Nanos, net: &mut SocketReactor) -> Vec<Event> {
        let Some(token) = self.watch.as_ref().map(|watch| watch.token) else { return Vec::new() };
        net.read_available(token);
        self.ready(now, net, token, false)
    }

    /// Discovery is now at this address. Its versions may be others than those of the old one, so the
    /// whole list is asked for; what is known stays until it has come.
    pub fn follow(&mut self, now: Nanos, net: &mut SocketReactor, discovery: SocketAddr) -> Option<Event> {
        if let Some(watch) = self.watch.take() {
            net.close(watch.token);
        }
        self.before = Some(self.generation.max(self.before.unwrap_or(0)));
        (self.discovery, self.generation) = (discovery, 0);
        self.subscribe(now, net)
    }

    /// Asks for changes from now on, unless a watch already does.
    pub fn subscribe(&mut self, now: Nanos, net: &mut SocketReactor) -> Option<Event> {
        if self.watch.is_some() {
            return None;
        }
        let Ok(token) = net.connect(self.discovery, SocketOwner::Discovery) else { return Some(failed()) };
        let (from, host) = (self.generation, self.discovery);
        let ask = format!("GET /registry/instances?watch=1&from={from} HTTP/1.1\r\nHost: {host}\r\n\r\n");
        net.send(token, ask.as_bytes());
        self.calls += 1;
        crate::log::trace(format_args!("trace call from={from}"));
        self.watch = Some(Watch { token, heard: now, moved: now, answer: Answer::default(), lines: 0 });
        None
    }

    /// The watch's socket has something to say.
    pub fn ready(&mut self, now: Nanos, net: &mut SocketReactor, token: Token, broken: bool) -> Vec<Event> {
        let Some(watch) = self.watch.as_mut().filter(|w| w.token == token) else {
            net.close(token);
            return Vec::new();
        };
        let bytes = net.input_buffer(token).map(std::mem::take).unwrap_or_default();
        if !bytes.is_empty() {
            watch.moved = now;
        }
        let (mut lists, mut nothing_new) = (Vec::new(), false);
        let mut sound = watch.answer.feed(&bytes, |line| {
            watch.heard = now;
            watch.lines = watch.lines.saturating_add(1);
            let line = std::str::from_utf8(line).map_err(|_| AnswerError::NotJson)?.trim();
            if line.is_empty() {
                nothing_new |= watch.lines == 1;
            } else {
                lists.push(json::parse::<List>(line).map_err(|_| AnswerError::NotJson)?);
            }
            Ok(())
        });
        if sound.is_ok() && (broken || net.is_read_closed(token)) {
            sound = Err(AnswerError::Ended);
        }
        net.update_interest(token);
        let mut events = Vec::new();
        // An answer that begins with an empty line says that nothing changed since the version asked from.
        if nothing_new && lists.is_empty() && self.generation > 0 {
            events.push(Event::EndpointList(ListKind::Incremental, Vec::new()));
        }
        for list in lists {
            let back = list.generation < self.generation;
            let kind = if list.reset && !back { ListKind::Full } else { ListKind::Incremental };
            events.push(Event::EndpointList(kind, self.take(&list, list.reset)));
        }
        if let Err(error) = sound {
            crate::log::line(format_args!("list-lost reason={error:?}"));
            events.push(self.lose(net));
        }
        events
    }

    /// Looks whether the watch still lives.
    pub fn check(&mut self, now: Nanos, net: &mut SocketReactor) -> Option<Event> {
        if !self.watch.as_ref()?.is_silent(now) {
            return None;
        }
        crate::log::line(format_args!("list-lost reason=Silent"));
        Some(self.lose(net))
    }

    fn lose(&mut self, net: &mut SocketReactor) -> Event {
        if let Some(watch) = self.watch.take() {
            net.close(watch.token);
        }
        failed()
    }

    /// What a list changes. One whose version goes back is no news: what it leaves out stays, and what has
    /// been told to stop since is not revived by it.
    fn take(&mut self, list: &List, whole: bool) -> Vec<Endpoint> {
        // The first whole list from another address may be older than what the one before it told: it sets the
        // version anew, and revives nothing either.
        let before = if whole { self.before.take() } else { self.before };
        let older = list.generation < before.unwrap_or(0);
        let back = list.generation < self.generation;
        if back || older {
            self.backs += 1;
            crate::log::line(format_args!("list-back version={} held={}", list.generation, self.generation));
        }
        self.generation = self.generation.max(list.generation);
        for entry in &list.instances {
            crate::log::trace(format_args!(
                "trace entry server={} zone={} lifecycle={:?} weight={} started_ms={}",
                entry.instance_id, entry.zone, entry.lifecycle, entry.weight, entry.started_at_ms
            ));
        }
        let news = |entry: &&Entry| !((back || older) && self.has_stopped(entry));
        let news: Vec<Entry> = list.instances.iter().filter(news).cloned().collect();
        if whole && !back {
            self.servers.iter_mut().for_each(|r| r.entry.lifecycle = Lifecycle::Gone);
        }
        news.iter().map(|entry| self.member(entry)).collect()
    }

    /// Whether this very process of a server has been told to stop, or a later one is known.
    fn has_stopped(&self, entry: &Entry) -> bool {
        let known = self.numbers.get(&entry.instance_id).map(|server| &self.servers[server.0 as usize]);
        known.is_some_and(|server| {
            let known = server.entry.started_at_ms;
            known > entry.started_at_ms || (known == entry.started_at_ms && !server.serving())
        })
    }

    fn member(&mut self, entry: &Entry) -> Endpoint {
        let name = &entry.instance_id;
        let known = RegistryEntry { entry: entry.clone() };
        let server = match self.numbers.get(name) {
            Some(server) => {
                self.servers[server.0 as usize] = known;
                *server
            }
            None => {
                let server = ServerId(self.servers.len() as u32);
                self.servers.push(known);
                self.numbers.insert(name.clone(), server);
                server
            }
        };
        Endpoint {
            server,
            tag: crate::hash::fnv1a(name),
            zone: self.zones.iter().position(|z| *z == entry.zone).unwrap_or(self.zones.len()) as u32,
            cell: entry.cell,
            nominal: entry.weight,
            // The module's clock is Unix time too, in nanoseconds; zero stays long ago.
            started_at: entry.started_at_ms.saturating_mul(1_000_000),
            status: match entry.lifecycle {
                Lifecycle::Ready => Status::Serving,
                Lifecycle::Draining => Status::Draining,
                Lifecycle::Gone => Status::Removed,
            },
        }
    }
}

fn failed() -> Event {
    Event::EndpointList(ListKind::Failed, Vec::new())
}

/// Why an answer cannot go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerError {
    Ended,
    TooLong,
    NotHttp,
    Status(u16),
    NotChunked,
    BadChunk,
    NotJson,
}

/// An HTTP/1.1 answer in chunks, cut into lines.
#[derive(Debug, Default, Deserialize, Serialize)]
struct Answer {
    stage: Stage,
    bytes: Vec<u8>,
    /// What has come of the next object or empty line.
    line: Vec<u8>,
    #[serde(default)]
    nesting: Nesting,
}

/// Where in an object a byte stands: an object may be written over several lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
struct Nesting {
    depth: u32,
    in_string: bool,
    escaped: bool,
    /// Nothing but blanks since the last line's end.
    blank: bool,
}

impl Nesting {
    /// Takes the next byte; true where it ends an object's last line, or an empty one.
    fn ends(&mut self, byte: u8) -> Result<bool, AnswerError> {
        if self.in_string {
            match byte {
                b'\n' => return Err(AnswerError::NotJson),
                b'"' if !self.escaped => self.in_string = false,
                _ => {}
            }
            self.escaped = byte == b'\\' && !self.escaped;
            return Ok(false);
        }
        match byte {
            // Nobody writes an empty line inside an object: what came before it was broken off.
            b'\n' if self.depth > 0 && self.blank => return Err(AnswerError::NotJson),
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
        self.blank = byte == b'\n' || (self.blank && byte.is_ascii_whitespace());
        Ok(byte == b'\n' && self.depth == 0)
    }
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
enum Stage {
    #[default]
    Head,
    Size,
    Data(usize),
    DataEnd,
}

const MOST_HEAD: usize = 8 * 1024;
const MOST_LINE: usize = 1024 * 1024;

impl Answer {
    fn feed(
        &mut self,
        bytes: &[u8],
        mut on_line: impl FnMut(&[u8]) -> Result<(), AnswerError>,
    ) -> Result<(), AnswerError> {
        self.bytes.extend_from_slice(bytes);
        loop {
            match self.stage {
                Stage::Head => {
                    let Some(end) = find(&self.bytes, b"\r\n\r\n") else {
                        let long = self.bytes.len() > MOST_HEAD;
                        return if long { Err(AnswerError::TooLong) } else { Ok(()) };
                    };
                    check_head(&self.bytes[..end])?;
                    self.bytes.drain(..end + 4);
                    self.stage = Stage::Size;
                }
                Stage::Size => {
                    let Some(end) = find(&self.bytes, b"\r\n") else {
                        let long = self.bytes.len() > 64;
                        return if long { Err(AnswerError::BadChunk) } else { Ok(()) };
                    };
                    let text = std::str::from_utf8(&self.bytes[..end]).map_err(|_| AnswerError::BadChunk)?;
                    let digits = text.split(';').next().unwrap_or("").trim();
                    let size = usize::from_str_radix(digits, 16).map_err(|_| AnswerError::BadChunk)?;
                    self.bytes.drain(..end + 2);
                    if size == 0 {
                        return Err(AnswerError::Ended);
                    }
                    self.stage = Stage::Data(size);
                }
                Stage::Data(left) => {
                    let count = left.min(self.bytes.len());
                    if count == 0 {
                        return Ok(());
                    }
                    for byte in self.bytes.drain(..count) {
                        self.line.push(byte);
                        if self.nesting.ends(byte)? {
                            on_line(&self.line)?;
                            self.line.clear();
                        }
                    }
                    if self.line.len() > MOST_LINE {
                        return Err(AnswerError::TooLong);
                    }
                    self.stage = if left == count { Stage::DataEnd } else { Stage::Data(left - count) };
                }
                Stage::DataEnd => {
                    if self.bytes.len() < 2 {
                        return Ok(());
                    }
                    if &self.bytes[..2] != b"\r\n" {
                        return Err(AnswerError::BadChunk);
                    }
                    self.bytes.drain(..2);
                    self.stage = Stage::Size;
                }
            }
        }
    }
}

fn check_head(head: &[u8]) -> Result<(), AnswerError> {
    let text = std::str::from_utf8(head).map_err(|_| AnswerError::NotHttp)?;
    let mut lines = text.split("\r\n");
    let mut words = lines.next().unwrap_or("").split(' ');
    if !words.next().is_some_and(|version| version.starts_with("HTTP/1.")) {
        return Err(AnswerError::NotHttp);
    }
    match words.next().and_then(|code| code.parse().ok()) {
        Some(200) => {}
        Some(code) => return Err(AnswerError::Status(code)),
        None => return Err(AnswerError::NotHttp),
    }
    let chunked = |line: &str| {
        line.split_once(':').is_some_and(|(name, value)| {
            name.eq_ignore_ascii_case("transfer-encoding") && value.trim().eq_ignore_ascii_case("chunked")
        })
    };
    if lines.any(chunked) {
        Ok(())
    } else {
        Err(AnswerError::NotChunked)
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|w| w == needle)
}

#[cfg(test)]
mod tests {
    use super::*;

    const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    fn feed(text: &str, step: usize) -> (Vec<String>, Result<(), AnswerError>) {
        let (mut answer, mut lines) = (Answer::default(), Vec::new());
        for part in text.as_bytes().chunks(step) {
            let fed = answer.feed(part, |line| {
                lines.push(String::from_utf8_lossy(line).into_owned());
                Ok(())
            });
            if fed.is_err() {
                return (lines, fed);
            }
        }
        (lines, Ok(()))
    }

    fn list(generation: u64, reset: bool, entries: &[(&str, &str, u64)]) -> List {
        let entry = |(name, lifecycle, started): &(&str, &str, u64)| {
            let addr = "127.0.0.1:1";
            format!(
                r#"{{"instanceId":"{name}","hostPort":"{addr}","lifecycle":"{lifecycle}","startedAtMs":{started}}}"#
            )
        };
        let entries: Vec<String> = entries.iter().map(entry).collect();
        let text =
            format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#, entries.join(","));
        serde_json::from_str(&text).expect("a list")
    }

    /// A list from before the last ones revives nothing and removes nothing; what is new in it is taken, and
    /// so is what it stops.
    #[test]
    fn a_version_that_goes_back_revives_nothing() {
        let mut table = EndpointRegistry::new(SocketAddr::from(([127, 0, 0, 1], 1)), Vec::new());
        table.take(&list(5, true, &[("a", "ready", 0), ("b", "ready", 0), ("c", "ready", 9)]), true);
        table.take(&list(6, false, &[("a", "draining", 0)]), false);
        table.take(&list(7, false, &[("b", "gone", 0), ("c", "ready", 10)]), false);
        let old =
            list(5, true, &[("a", "ready", 0), ("b", "ready", 0), ("c", "ready", 9), ("d", "ready", 0)]);
        let news = table.take(&old, true);
        assert_eq!(news.iter().map(|m| m.server).collect::<Vec<_>>(), [ServerId(3)], "only what nobody knew");
        let serves =
            |name| table.named(name).and_then(|s| table.entry(s)).is_some_and(RegistryEntry::serving);
        assert_eq!(["a", "b", "c", "d"].map(serves), [false, false, true, true]);
        assert_eq!((table.generation, table.backs), (7, 1));
        let stops = table.take(&list(6, false, &[("d", "draining", 0)]), false);
        assert_eq!(stops.len(), 1, "what stops is taken from any version");
        // Its next process is another one.
        assert_eq!(table.take(&list(6, false, &[("b", "ready", 11)]), false).len(), 1);
    }

    #[rstest::rstest]
    #[case(1)]
    #[case(7)]
    #[case(1000)]
    fn lines_are_found_however_the_bytes_are_cut(#[case] step: usize) {
        let text = format!("{HEAD}3\r\na\nb\r\n2;x=y\r\nc\n\r\n1\r\n\n\r\n");
        assert_eq!(feed(&text, step), (vec!["a\n".into(), "bc\n".into(), "\n".into()], Ok(())));
    }

    #[rstest::rstest]
    #[case("HTTP/1.1 503 No\r\n\r\n", AnswerError::Status(503))]
    #[case("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", AnswerError::NotChunked)]
    #[case("garbage\r\n\r\n", AnswerError::NotHttp)]
    #[case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", AnswerError::BadChunk)]
    #[case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", AnswerError::Ended)]
    fn what_is_no_watch_is_an_error(#[case] text: &str, #[case] error: AnswerError) {
        assert_eq!(feed(text, 5).1, Err(error));
    }
}
