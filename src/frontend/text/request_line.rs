//! A client's request line: parsed and checked before the request table gets a request of it.

use crate::config::FrontendSettings;
use crate::hash::fnv1a;
use crate::model::RequestClass;
use sparbank_time::DurationExt;
use std::ops::Range;
use std::time::Duration;

/// The longest id or key, in bytes.
const MAX_ID_BYTES: usize = 64;
/// The longest deadline that a client can mean, in milliseconds. Clients that were connected before the run come
/// with more (4,294,967 was seen): they wait for no placement.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// The largest load that a hint can mean, in microseconds of work a second.
const MAX_LOAD_MICROS_PER_SECOND: f64 = 1e12;

/// What a client's line opens with.
#[derive(Debug, PartialEq)]
pub(super) enum RequestLine {
    /// `PING`: whether the node takes clients.
    Ping,
    /// `OPEN`: a request.
    Open(OpenRequest),
}

/// An `OPEN` line.
#[derive(Debug, PartialEq)]
pub(super) struct OpenRequest {
    /// The client's id of the request.
    pub(super) id: String,
    /// The line as received, without its end.
    line: String,
    /// Where the value of `d`, the deadline, is in the line.
    deadline_value: Option<Range<usize>>,
    /// The class's index in the settings.
    pub(super) class: usize,
    /// How long the client waits.
    pub(super) time_left: Duration,
    /// The request's subject.
    pub(super) key: u64,
    /// The group that shares work on a server.
    pub(super) group: Option<u64>,
    /// The client was connected before.
    pub(super) reconnect: bool,
    /// The client retries a request that failed.
    pub(super) client_retry: bool,
    /// The load that the client expects to be, in nanoseconds of work a second.
    pub(super) load_hint: Option<Duration>,
    /// The server to which the client was connected before the run.
    pub(super) resumed_at: Option<String>,
}

impl RequestLine {
    /// Parses a line with its end. None is a line that no server could use: the node answers it itself, at once.
    pub(super) fn parse(
        line: &[u8],
        settings: &FrontendSettings,
        classes: &[RequestClass],
    ) -> Option<RequestLine> {
        let text = std::str::from_utf8(line).ok()?;
        let text = text.strip_suffix('\n').unwrap_or(text);
        let text = text.strip_suffix('\r').unwrap_or(text);
        if text == "PING" {
            return Some(RequestLine::Ping);
        }
        if text.chars().any(char::is_control) {
            return None;
        }
        OpenRequest::parse(text, settings, classes).map(RequestLine::Open)
    }
}

/// The `name=value` pairs of an `OPEN` line, as far as the node uses them.
#[derive(Default)]
struct OpenFields {
    class: Option<usize>,
    deadline_ms: Option<u64>,
    deadline_value: Option<Range<usize>>,
    resumed_at: Option<String>,
    load_hint: Option<Duration>,
    group: Option<u64>,
    reconnect: bool,
    client_retry: bool,
}

impl OpenFields {
    /// Parses the list of pairs, which begins at this offset of the line.
    fn parse(list: &str, list_offset: usize, settings: &FrontendSettings) -> Option<OpenFields> {
        let mut fields = OpenFields::default();
        let mut pair_offset = list_offset;
        for pair in list.split(',') {
            fields.set(pair, pair_offset, settings)?;
            pair_offset += pair.len() + 1;
        }
        Some(fields)
    }

    fn set(&mut self, pair: &str, pair_offset: usize, settings: &FrontendSettings) -> Option<()> {
        let (name, value) = pair.split_once('=')?;
        match name {
            "c" if self.class.is_none() => {
                self.class = Some(settings.class_names.iter().position(|name| name == value)?);
            }
            "d" if self.deadline_ms.is_none() => {
                self.deadline_ms = Some(parse_milliseconds(value)?);
                self.deadline_value = Some(pair_offset + "d=".len()..pair_offset + pair.len());
            }
            "at" if self.resumed_at.is_none() => self.resumed_at = Some(value.to_string()),
            "h" if self.load_hint.is_none() => self.load_hint = Some(parse_load(value)?),
            "g" => self.group = Some(fnv1a(value)),
            "again" => self.reconnect = parse_flag(value)?,
            "r" => self.client_retry = parse_flag(value)?,
            // A name that is given twice has no one meaning.
            "c" | "d" | "at" | "h" => return None,
            _ => {}
        }
        Some(())
    }
}

impl OpenRequest {
    fn parse(line: &str, settings: &FrontendSettings, classes: &[RequestClass]) -> Option<OpenRequest> {
        let mut words = line.split(' ');
        let verb = words.next()?;
        let id = words.next()?;
        let key = words.next()?;
        let list = words.next()?;
        if verb != "OPEN" || !is_valid_id(id) || !is_valid_id(key) || words.next().is_some() {
            return None;
        }
        let fields = OpenFields::parse(list, line.len() - list.len(), settings)?;
        let class = fields.class?;
        let is_placement = fields.resumed_at.is_none();
        if is_placement && fields.deadline_ms.is_some_and(|ms| ms > MAX_DEADLINE_MS) {
            return None;
        }
        let time_left = match fields.deadline_ms {
            Some(ms) => Duration::from_millis(ms),
            None => classes.get(class)?.hard_limit,
        };
        Some(OpenRequest {
            id: id.to_string(),
            line: line.to_string(),
            deadline_value: fields.deadline_value,
            class,
            time_left,
            key: u64::from_str_radix(key, 16).unwrap_or_else(|_| fnv1a(key)),
            group: fields.group,
            reconnect: fields.reconnect,
            client_retry: fields.client_retry,
            load_hint: fields.load_hint,
            resumed_at: fields.resumed_at,
        })
    }

    /// A request of this id, for tests of data structures that hold requests.
    #[cfg(test)]
    pub(super) fn for_tests(id: &str) -> OpenRequest {
        OpenRequest {
            id: id.to_string(),
            line: format!("OPEN {id} 1 c=c"),
            deadline_value: None,
            class: 0,
            time_left: Duration::from_secs(1),
            key: 1,
            group: None,
            reconnect: false,
            client_retry: false,
            load_hint: None,
            resumed_at: None,
        }
    }

    /// The line as received, without its end.
    pub(super) fn line(&self) -> &str {
        &self.line
    }

    /// The line for the server: as received, but with the time that the node will wait as its deadline.
    pub(super) fn line_for_server(&self, timeout: Duration) -> String {
        match &self.deadline_value {
            Some(value) => {
                let before = &self.line[..value.start];
                let after = &self.line[value.end..];
                let ms = timeout.as_millis_u64().max(1);
                format!("{before}{ms}{after}\r\n")
            }
            None => format!("{}\r\n", self.line),
        }
    }
}

/// Whether a word can be an id or a key.
fn is_valid_id(word: &str) -> bool {
    !word.is_empty() && word.len() <= MAX_ID_BYTES && !word.contains(['=', ','])
}

/// Digits and nothing else: a sign, which the library's parser accepts, is no deadline.
fn parse_milliseconds(value: &str) -> Option<u64> {
    if !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    value.parse::<u32>().ok().map(u64::from)
}

fn parse_flag(value: &str) -> Option<bool> {
    match value {
        "0" => Some(false),
        "1" => Some(true),
        _ => None,
    }
}

/// Parses a load in microseconds of work a second; yields nanoseconds of work a second.
pub(super) fn parse_load(text: &str) -> Option<Duration> {
    let micros: f64 = text.parse().ok()?;
    (0.0..=MAX_LOAD_MICROS_PER_SECOND)
        .contains(&micros)
        .then_some(Duration::from_nanos((micros * 1e3) as u64))
}
