//! Rules, and where they were broken.

use std::fmt;

/// What holds in every run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Each request gets a final answer in its time.
    Lost,
    /// No request is at two servers at once, and none runs twice that must not.
    Duplicate,
    /// A node sends nothing new to a server once it was notified that the server drains or is gone.
    Drain,
    /// No attempt begins once the request's client has disconnected.
    ClientGone,
    /// Servers get the lines that clients sent; only their deadlines are changed.
    Line,
    /// A server that is warming up is not overloaded.
    SlowStartOverload,
    /// A request has one final answer.
    SecondAnswer,
    /// A client that sends no complete request line gets an answer and a close.
    BadClient,
    /// A client whose server is silent is migrated.
    SilentServer,
    /// The end of a server's session reaches its client.
    SessionEndDelayed,
    /// A client gets all that its server sent, and ends with its server or with `MOVE`.
    CutOff,
    /// A node that was started becomes ready.
    Ready,
    /// A node exits in time after SIGTERM.
    Exit,
    /// No process ends by itself, or with another exit code than 0.
    Crash,
    /// A node logs no broken rule of its own.
    OwnReport,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When, in milliseconds from the start of the run.
    pub at_ms: u128,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {} ms: {}", self.rule, self.at_ms, self.detail)
    }
}
