//! The rules that are checked, and violations of them.

use std::fmt;

/// A rule that must hold in every run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Each request gets a final answer in time.
    Lost,
    /// No request has attempts at two servers at the same time, and no request that must not be retried runs twice.
    Duplicate,
    /// A node sends no new requests to a server after it was notified that the server drains or was removed.
    Drain,
    /// No attempt begins after the request's client has disconnected.
    ClientGone,
    /// Servers receive request lines as clients sent them, except for the deadline.
    Line,
    /// A server that is warming up is not overloaded.
    SlowStartOverload,
    /// A request gets only one final answer.
    SecondAnswer,
    /// A client that sends no complete request line gets an answer, and its connection is closed.
    BadClient,
    /// A client whose server sends nothing any more is migrated.
    SilentServer,
    /// The end of a session at the server reaches the client in time.
    SessionEndDelayed,
    /// A client receives all data that its server sent, and its connection ends only with the server's or after
    /// `MOVE`.
    CutOff,
    /// A started node becomes ready in time.
    Ready,
    /// A node exits in time after SIGTERM.
    Exit,
    /// No process ends on its own or with an exit code other than 0.
    Crash,
    /// No node logs a violation of its own invariants.
    OwnReport,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// When the violation was recorded, in milliseconds since the start of the run.
    pub at_ms: u128,
    /// The observation that violates the rule.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {} ms: {}", self.rule, self.at_ms, self.detail)
    }
}
