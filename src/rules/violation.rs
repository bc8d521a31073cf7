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

/// The violations of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViolationLog {
    count: u64,
}

impl ViolationLog {
    /// Counts a violation and logs it. `detail` has the ids, as `name=value` pairs.
    pub fn record(&mut self, violation: Violation, detail: fmt::Arguments<'_>) {
        self.count += 1;
        crate::log::line(format_args!("invariant-violated rule={violation} {detail}"));
    }

    /// Violations so far.
    pub fn count(&self) -> u64 {
        self.count
    }
}
