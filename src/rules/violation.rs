//! Rules that were broken: counted, and logged with the ids that lead to the cause.

use std::fmt;

/// A rule that a node has broken. None is expected: each is a fault of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A client's connection was closed with its request read and not answered.
    ClosedUnanswered,
    /// A client got a second final answer.
    AnsweredTwice,
    /// An established connection was ended without `MOVE` while both sides were there.
    CutOff,
    /// The process ended with requests or connections open.
    OpenAtExit,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Violation::ClosedUnanswered => "closed-unanswered",
            Violation::AnsweredTwice => "answered-twice",
            Violation::CutOff => "cut-off",
            Violation::OpenAtExit => "open-at-exit",
        })
    }
}

/// What a violation is about, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViolationContext<'a> {
    /// One request.
    Request {
        /// The node's id of the request; zero if it has none yet.
        request: u64,
        /// The client's id of the request.
        id: &'a str,
    },
    /// The end of the process.
    Exit {
        /// Connections that are established still.
        open: usize,
    },
}

/// The violations of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViolationLog {
    count: u64,
}

impl ViolationLog {
    /// Counts a violation and logs it.
    pub fn record(&mut self, violation: Violation, context: ViolationContext<'_>) {
        self.count += 1;
        match context {
            ViolationContext::Request { request, id } => {
                tracing::error!(rule = %violation, request, %id, "invariant violated");
            }
            ViolationContext::Exit { open } => {
                tracing::error!(rule = %violation, open, "invariant violated");
            }
        }
    }

    /// Violations so far.
    pub fn count(&self) -> u64 {
        self.count
    }
}
