//! Parsing and validation of a client's request line.

use crate::config::FrontendSettings;
use crate::hash::fnv1a;
use crate::model::RequestClass;
use sparbank_time::DurationExt;
use std::num::IntErrorKind;
use std::ops::Range;
use std::time::Duration;

/// The maximum length of an id or a key, in bytes.
const MAX_ID_BYTES: usize = 64;
/// The maximum deadline of a request, in milliseconds. It does not apply to clients that restore a session from
/// before this process started, which send larger values.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// A session from before this process started is lost if it is not restored after this time.
const RESTORATION_TIMEOUT: Duration = Duration::from_secs(40);
/// The maximum load of a hint or a report, in microseconds of work per second.
const MAX_LOAD_MICROS_PER_SECOND: f64 = 1e12;

/// A client's line before its request is open.
#[derive(Debug, PartialEq)]
pub(super) enum RequestLine {
    /// `PING`: probes whether the node accepts clients.
    Ping,
    /// `OPEN`: opens a request.
    Open(OpenRequest),
}

/// A parsed `OPEN` line.
#[derive(Debug, PartialEq)]
pub(super) struct OpenRequest {
    /// The id that the client has assigned to the request.
    pub(super) id: String,
    /// The line as received, without the line end.
    line: String,
    /// The byte range of the value of `d`, the deadline, in the line.
    deadline_range: Option<Range<usize>>,
    /// The index of the request class in the settings.
    pub(super) class: usize,
    /// The time until the client's deadline.
    pub(super) time_left: Duration,
    /// The key of the request's subject: hexadecimal keys as their value, other keys as a hash.
    pub(super) key: u64,
    /// The group of requests that share work on a server.
    pub(super) group: Option<u64>,
    /// Whether the client reconnects.
    pub(super) reconnect: bool,
    /// Whether the client retries a failed request.
    pub(super) client_retry: bool,
    /// The load that the client expects to cause: work per second.
    pub(super) load_hint: Option<Duration>,
    /// The server of a session from before this process started, which the client restores.
    pub(super) restored_server: Option<String>,
}

impl RequestLine {
    /// Parses a line including the line end. Returns `None` if the line is malformed; the node answers such a line
    /// itself.
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

/// The `name=value` pairs of an `OPEN` line that the node uses.
#[derive(Default)]
struct OpenFields {
    class: Option<usize>,
    deadline_ms: Option<u64>,
    deadline_range: Option<Range<usize>>,
    restored_server: Option<String>,
    load_hint: Option<Duration>,
    group: Option<u64>,
    reconnect: bool,
    client_retry: bool,
}

impl OpenFields {
    /// Parses the list of pairs, which begins at byte `list_offset` of the line.
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
                self.deadline_range = Some(pair_offset + "d=".len()..pair_offset + pair.len());
            }
            "at" if self.restored_server.is_none() => self.restored_server = Some(value.to_string()),
            "h" if self.load_hint.is_none() => self.load_hint = Some(parse_load(value)?),
            "g" => self.group = Some(fnv1a(value)),
            "again" => self.reconnect = parse_flag(value)?,
            "r" => self.client_retry = parse_flag(value)?,
            // Each of these names may occur only once.
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
        let needs_server_selection = fields.restored_server.is_none();
        if needs_server_selection && fields.deadline_ms.is_some_and(|ms| ms > MAX_DEADLINE_MS) {
            return None;
        }
        let hard_limit = classes.get(class)?.hard_limit;
        let default_time = if needs_server_selection { hard_limit } else { RESTORATION_TIMEOUT };
        let time_left = fields.deadline_ms.map_or(default_time, Duration::from_millis);
        let time_left = if needs_server_selection { time_left } else { time_left.min(RESTORATION_TIMEOUT) };
        Some(OpenRequest {
            id: id.to_string(),
            line: line.to_string(),
            deadline_range: fields.deadline_range,
            class,
            time_left,
            key: u64::from_str_radix(key, 16).unwrap_or_else(|_| fnv1a(key)),
            group: fields.group,
            reconnect: fields.reconnect,
            client_retry: fields.client_retry,
            load_hint: fields.load_hint,
            restored_server: fields.restored_server,
        })
    }

    /// Creates a request with this id, for tests of data structures that contain requests.
    #[cfg(test)]
    pub(super) fn for_tests(id: &str) -> OpenRequest {
        OpenRequest {
            id: id.to_string(),
            line: format!("OPEN {id} 1 c=c"),
            deadline_range: None,
            class: 0,
            time_left: Duration::from_secs(1),
            key: 1,
            group: None,
            reconnect: false,
            client_retry: false,
            load_hint: None,
            restored_server: None,
        }
    }

    /// The line as received, without the line end.
    pub(super) fn line(&self) -> &str {
        &self.line
    }

    /// Returns the line to send to the server: as received, except that the deadline is replaced by `timeout`, the
    /// time that the node will wait.
    pub(super) fn line_for_server(&self, timeout: Duration) -> String {
        match &self.deadline_range {
            Some(range) => {
                let before = &self.line[..range.start];
                let after = &self.line[range.end..];
                let ms = timeout.as_millis_u64().max(1);
                format!("{before}{ms}{after}\r\n")
            }
            None => format!("{}\r\n", self.line),
        }
    }
}

/// Whether a word is valid as an id or a key.
fn is_valid_id(word: &str) -> bool {
    !word.is_empty() && word.len() <= MAX_ID_BYTES && !word.contains(['=', ','])
}

/// Parses a number of milliseconds. Only digits are permitted; the standard library's parser would also accept a
/// sign.
fn parse_milliseconds(value: &str) -> Option<u64> {
    if !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    match value.parse::<u64>() {
        Ok(ms) => Some(ms),
        Err(error) if *error.kind() == IntErrorKind::PosOverflow => Some(u64::MAX),
        Err(_) => None,
    }
}

fn parse_flag(value: &str) -> Option<bool> {
    match value {
        "0" => Some(false),
        "1" => Some(true),
        _ => None,
    }
}

/// Parses a load in microseconds of work per second. Returns the work per second.
pub(super) fn parse_load(text: &str) -> Option<Duration> {
    let micros: f64 = text.parse().ok()?;
    (0.0..=MAX_LOAD_MICROS_PER_SECOND)
        .contains(&micros)
        .then_some(Duration::from_nanos((micros * 1e3) as u64))
}
