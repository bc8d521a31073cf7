//! Probes of servers, and the load reports that servers write.
//!
//! Where the settings allow probes, a connection to a server may begin with `STATS`, which the server answers
//! `PONG` with its load report after it, or `ERR`; the connection may go on so. Elsewhere a server answers
//! `NO`. A report is `name=value` pairs apart by commas, as in `PONG avg_ms=12.5,rps=40,active=3,x0=0.8`;
//! `BYE`, `ERR` and `BUSY` may end with one where the settings say that answers hold reports.
//!
//! The node keeps one probe connection a server at most and one probe out on it at a time, so what probes
//! hold is bounded by the servers in the endpoint registry.

use crate::net::Token;
use crate::vocabulary::{Nanos, ServerId};
use std::collections::HashMap;
use std::fmt;

/// A report holds at most this many values: the settings name four or fewer, and a server may add some.
pub const MOST_VALUES: usize = 16;
/// The report's value of the load asked of a server over what it can do.
pub const OVER: &str = "x0";
/// What a probe is sent as.
pub const STATS: &[u8] = b"STATS\r\n";
/// A probe that has no answer after this is given up, and its connection with it: a server that takes longer
/// to answer a probe than the aim of a message is no better for knowing why.
pub const PROBE_WAIT: Nanos = 250_000_000;

/// The values of a load report, by the names that the server gave them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report(Vec<(String, f64)>);

impl Report {
    /// The value of this name, where the report has it.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.0.iter().find(|(n, _)| n == name).map(|(_, v)| *v)
    }
}

/// What is wrong with a report or a probe's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportError {
    /// The answer is none that a probe has: not `PONG`, `ERR` or `NO`.
    NotAnAnswer,
    /// A pair without `=`, or without a name.
    NoPair,
    /// A value that is no finite number, with its name.
    NotANumber(String),
    /// More than [`MOST_VALUES`] values.
    TooMany,
}

impl fmt::Display for ReportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReportError::NotAnAnswer => write!(f, "no answer to a probe"),
            ReportError::NoPair => write!(f, "a pair without a name or '='"),
            ReportError::NotANumber(name) => write!(f, "{name} is no number"),
            ReportError::TooMany => write!(f, "more than {MOST_VALUES} values"),
        }
    }
}

/// Reads a report: `name=value` pairs apart by commas. An empty text is an empty report.
pub fn report(text: &str) -> Result<Report, ReportError> {
    let mut values = Vec::new();
    for pair in text.trim().split(',').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').ok_or(ReportError::NoPair)?;
        if name.is_empty() {
            return Err(ReportError::NoPair);
        }
        let number = value.parse::<f64>().ok().filter(|v| v.is_finite());
        let number = number.ok_or_else(|| ReportError::NotANumber(name.to_string()))?;
        if values.len() == MOST_VALUES {
            return Err(ReportError::TooMany);
        }
        values.push((name.to_string(), number));
    }
    Ok(Report(values))
}

/// Reads the report at the end of an answer that may have one (`BYE`, `ERR`, `BUSY`): what follows the word.
pub fn trailing(line: &str, word: &str) -> Option<Result<Report, ReportError>> {
    let rest = line.trim_end().strip_prefix(word)?.strip_prefix(' ')?;
    Some(report(rest))
}

/// A probe's answer: the report, or None where the server answered `ERR` or `NO`.
pub fn answer(line: &str) -> Result<Option<Report>, ReportError> {
    let line = line.trim_end();
    let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
    match word {
        "PONG" => report(rest).map(Some),
        "ERR" | "NO" => Ok(None),
        _ => Err(ReportError::NotAnAnswer),
    }
}

/// The probe connections of the node, one a server at most.
#[derive(Default)]
pub struct Probes {
    lines: HashMap<ServerId, (Token, Option<Nanos>)>,
    servers: HashMap<Token, ServerId>,
}

/// What to do for a probe that is asked for.
#[derive(Debug, PartialEq, Eq)]
pub enum Ask {
    /// One is out there already: its answer will do.
    Out,
    /// Send `STATS` on this connection, which stands.
    On(Token),
    /// Open a connection and send `STATS` on it.
    Dial,
}

impl Probes {
    /// A probe of this server is wanted at `now`.
    pub fn ask(&mut self, now: Nanos, server: ServerId) -> Ask {
        match self.lines.get_mut(&server) {
            Some((_, Some(_))) => Ask::Out,
            Some((token, asked)) => {
                *asked = Some(now);
                Ask::On(*token)
            }
            None => Ask::Dial,
        }
    }

    /// A connection was opened for a probe sent at `now`.
    pub fn dialled(&mut self, now: Nanos, server: ServerId, token: Token) {
        self.lines.insert(server, (token, Some(now)));
        self.servers.insert(token, server);
    }

    /// The server of a probe connection.
    pub fn server(&self, token: Token) -> Option<ServerId> {
        self.servers.get(&token).copied()
    }

    /// A line came on a probe connection: the server, where a probe was out on it.
    pub fn answered(&mut self, token: Token) -> Option<ServerId> {
        let server = self.server(token)?;
        self.lines.get_mut(&server)?.1.take().map(|_| server)
    }

    /// Whether the probe out on this connection, if any, was sent before `before`.
    pub fn is_late(&self, token: Token, before: Nanos) -> bool {
        let asked = self.server(token).and_then(|r| self.lines.get(&r)).and_then(|(_, asked)| *asked);
        asked.is_some_and(|asked| asked < before)
    }

    /// The connection is over: its server, and whether a probe was out on it.
    pub fn ended(&mut self, token: Token) -> Option<(ServerId, bool)> {
        let server = self.servers.remove(&token)?;
        let (_, asked) = self.lines.remove(&server)?;
        Some((server, asked.is_some()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn answers_of_the_protocol_page() {
        let pong = answer("PONG avg_ms=12.5,rps=40,active=3,x0=0.8\r\n").expect("read").expect("a report");
        assert_eq!((pong.get("x0"), pong.get("avg_ms"), pong.get("queue")), (Some(0.8), Some(12.5), None));
        assert_eq!(answer("PONG"), Ok(Some(Report::default())));
        assert_eq!(answer("ERR"), Ok(None));
        assert_eq!(answer("ERR inflight=7"), Ok(None));
        assert_eq!(answer("NO"), Ok(None));
        assert_eq!(answer("UP r1"), Err(ReportError::NotAnAnswer));
        assert_eq!(answer(""), Err(ReportError::NotAnAnswer));
        let bye = trailing("BYE inflight=7,queue=2,util=0.61", "BYE").expect("one").expect("read");
        assert_eq!(bye.get("util"), Some(0.61));
        assert_eq!(trailing("BYE", "BYE"), None);
        assert_eq!(trailing("BYEBYE x=1", "BYE"), None);
    }

    #[test]
    fn a_bad_report_is_named_and_a_report_is_bounded() {
        assert_eq!([report("x0"), report("=1")], [Err(ReportError::NoPair), Err(ReportError::NoPair)]);
        for bad in ["x0=fast", "x0=NaN", "x0=inf", "x0="] {
            assert_eq!(report(bad), Err(ReportError::NotANumber("x0".into())), "{bad}");
        }
        let many: Vec<String> = (0..=MOST_VALUES).map(|n| format!("k{n}=1")).collect();
        assert_eq!(report(&many.join(",")), Err(ReportError::TooMany));
        assert_eq!(report(&many[..MOST_VALUES].join(",")).map(|r| r.0.len()), Ok(MOST_VALUES));
    }

    #[test]
    fn one_probe_out_a_server_and_its_connection_kept() {
        let mut probes = Probes::default();
        let (server, token) = (ServerId(3), Token::for_tests(9));
        assert_eq!(probes.ask(0, server), Ask::Dial);
        probes.dialled(0, server, token);
        assert_eq!(probes.ask(5, server), Ask::Out);
        assert!(probes.is_late(token, 1) && !probes.is_late(token, 0));
        assert_eq!(probes.answered(token), Some(server));
        assert_eq!(probes.answered(token), None, "a line that no probe asked for answers nothing");
        assert_eq!(probes.ask(10, server), Ask::On(token));
        assert_eq!(probes.ended(token), Some((server, true)));
        assert_eq!(probes.ask(20, server), Ask::Dial);
    }

    proptest! {
        /// Whatever the values, a report reads back what was written.
        #[test]
        fn reports_read_back(values in prop::collection::vec(("[a-z_][a-z0-9_]{0,8}", -1e9f64..1e9), 0..MOST_VALUES)) {
            let text: Vec<String> = values.iter().map(|(n, v)| format!("{n}={v}")).collect();
            let read = report(&text.join(",")).expect("read");
            for (name, value) in &values {
                prop_assert!(read.0.iter().any(|(n, v)| n == name && v == value));
            }
        }
    }
}
