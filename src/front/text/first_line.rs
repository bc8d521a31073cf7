//! A client's first line: read whole and checked before the core hears of it.

use crate::config::SiteSettings;
use crate::hash::fnv1a;
use crate::vocabulary::{Nanos, RequestClass};
use std::ops::Range;

/// The longest id.
const MOST_ID: usize = 64;
/// The longest wait that a client can mean, in milliseconds. Clients that were there before the run
/// come with more (4,294,967 was seen): they wait for no placement.
const MOST_WAIT: u64 = 3_600_000;
/// The largest load that a hint can mean, in microseconds of work a second.
const MOST_LOAD: f64 = 1e12;

#[derive(Debug, PartialEq)]
pub enum FirstLine {
    Ping,
    Open(Open),
}

/// An `OPEN`.
#[derive(Debug, PartialEq)]
pub struct Open {
    pub id: String,
    line: String,
    /// Where the value of `d` stands.
    d: Option<Range<usize>>,
    pub class: usize,
    pub grace: Nanos,
    pub key: u64,
    pub group: Option<u64>,
    pub reconnect: bool,
    /// The client repeats a try that failed.
    pub client_retry: bool,
    pub hint: Option<Nanos>,
    pub at: Option<String>,
}

impl FirstLine {
    /// Reads a line with its end. None is one that no server could use: it is answered here, at once.
    pub fn parse(line: &[u8], site: &SiteSettings, classes: &[RequestClass]) -> Option<FirstLine> {
        let text = std::str::from_utf8(line).ok()?;
        let text = text.strip_suffix('\n').unwrap_or(text);
        let text = text.strip_suffix('\r').unwrap_or(text);
        if text == "PING" {
            return Some(FirstLine::Ping);
        }
        if text.chars().any(char::is_control) {
            return None;
        }
        Open::parse(text, site, classes).map(FirstLine::Open)
    }
}

impl Open {
    fn parse(line: &str, site: &SiteSettings, classes: &[RequestClass]) -> Option<Open> {
        let mut words = line.split(' ');
        let (verb, id, key, list) = (words.next()?, words.next()?, words.next()?, words.next()?);
        let odd = |word: &str| word.is_empty() || word.len() > MOST_ID || word.contains(['=', ',']);
        if verb != "OPEN" || odd(id) || odd(key) || words.next().is_some() {
            return None;
        }
        let (mut class, mut wait, mut d, mut at) = (None, None, None, None);
        let (mut reconnect, mut client_retry, mut hint, mut group) = (false, false, None, None);
        let mut start = line.len() - list.len();
        for pair in list.split(',') {
            let (name, value) = pair.split_once('=')?;
            match name {
                "c" if class.is_none() => class = Some(site.classes.iter().position(|c| c.name == value)?),
                "d" if d.is_none() => {
                    wait = Some(milliseconds(value)?);
                    d = Some(start + 2..start + pair.len());
                }
                "at" if at.is_none() => at = Some(value.to_string()),
                "h" if hint.is_none() => hint = Some(load(value)?),
                "g" => group = Some(fnv1a(value)),
                "again" => reconnect = flag(value)?,
                "r" => client_retry = flag(value)?,
                // The same thing said twice has no one meaning.
                "c" | "d" | "at" | "h" => return None,
                _ => {}
            }
            start += pair.len() + 1;
        }
        let class = class?;
        if at.is_none() && wait.is_some_and(|ms| ms > MOST_WAIT) {
            return None;
        }
        let grace = wait.map_or(classes.get(class)?.hard_limit, |ms| ms * 1_000_000);
        let (id, key) = (id.to_string(), u64::from_str_radix(key, 16).unwrap_or_else(|_| fnv1a(key)));
        let line = line.to_string();
        Some(Open { id, line, d, class, grace, key, group, reconnect, client_retry, hint, at })
    }

    /// The line as it came, without its end.
    pub fn line(&self) -> &str {
        &self.line
    }

    /// The line for the server: as it came, but for how long the node will wait.
    pub fn for_server(&self, wait: Nanos) -> String {
        match &self.d {
            Some(d) => {
                let ms = (wait / 1_000_000).max(1);
                format!("{}{ms}{}\r\n", &self.line[..d.start], &self.line[d.end..])
            }
            None => format!("{}\r\n", self.line),
        }
    }
}

/// Digits and nothing else: a sign, which the library's parser takes, is no deadline.
fn milliseconds(value: &str) -> Option<u64> {
    let digits = value.bytes().all(|b| b.is_ascii_digit());
    value.parse::<u32>().ok().filter(|_| digits).map(u64::from)
}

fn flag(value: &str) -> Option<bool> {
    match value {
        "0" => Some(false),
        "1" => Some(true),
        _ => None,
    }
}

/// A load in microseconds of work a second.
pub fn load(text: &str) -> Option<Nanos> {
    let micros: f64 = text.parse().ok()?;
    (0.0..=MOST_LOAD).contains(&micros).then_some((micros * 1e3) as Nanos)
}
