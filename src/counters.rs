//! What the node took in, sent and answered, printed on SIGUSR1 and at exit.

use crate::vocabulary::Outcome;
use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Counts since the start.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counters { $($(#[$doc])* pub $name: u64),* }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "counters")?;
                $(write!(f, concat!(" ", stringify!($name), "={}"), self.$name)?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// Requests taken in.
    taken,
    /// Connections handed over at the start of a run.
    resumed,
    /// Attempts sent.
    sent,
    /// Of these: the server took it.
    up,
    /// Answered served.
    served,
    /// Answered refused.
    refused,
    /// Of these, with no attempt made: it waited for its turn, or no server could be drawn.
    refused_unsent,
    /// Answered failed.
    failed,
    /// The client left before an answer.
    left,
    /// Served requests that either side ended.
    ended,
    /// Standing connections moved by this node.
    moved,
    /// Attempts that ended in an error answer.
    task_error,
    /// Turned away by the server.
    task_full,
    /// Gave no answer in time.
    task_timeout,
    /// Could not connect.
    task_connect_failed,
    /// Broke after the last byte was written.
    task_reset,
    /// Called off.
    task_cancelled,
    /// First lines or deliveries that could not be read.
    malformed,
    /// Closed without a first line (or an AMQP open): none came in time, or another needed the room.
    silent,
    /// Turned away because descriptors run short.
    over_budget,
    /// Probes sent to servers (`STATS`), where the settings allow them.
    probes,
    /// Calls to discovery.
    list_calls,
    /// Failed calls to discovery and lost watches.
    list_failed,
    /// Lists whose version went back, which revive nothing.
    list_back,
    /// Times that this process took another's place, or another took this one's.
    upgrades,
    /// Standing connections that went on in the next process, and that came from the one before.
    passed_on,
    taken_over,
    /// Attempts that the fleet's budgets turned away, and standing connections moved over them.
    budget_refused,
    budget_moved,
    /// Operators' calls that sent clients away, and that took them again.
    drains,
    resumes,
    /// Operators' calls answered yes, answered no, and never whole.
    operator_yes,
    operator_no,
    operator_unheard,
}

impl Counters {
    /// Counts how an attempt ended before it stood.
    pub fn task(&mut self, outcome: Outcome) {
        let count = match outcome {
            Outcome::Ok | Outcome::NotSent => return,
            Outcome::Error => &mut self.task_error,
            Outcome::Rejected => &mut self.task_full,
            Outcome::Timeout => &mut self.task_timeout,
            Outcome::ConnectFailed => &mut self.task_connect_failed,
            Outcome::Reset => &mut self.task_reset,
            Outcome::Cancelled => &mut self.task_cancelled,
        };
        *count += 1;
    }
}
