//! The rules of the protocol page at the moments at which a node could break them: whether something may be started,
//! sent, repeated or closed now.
//!
//! Each question has its facts as a struct and its reasons for "no" as an enum. Whoever writes to a server, repeats an
//! attempt, takes a request on or closes a client's connection asks here; nothing here has a clock, I/O or state. What
//! must never happen at all is counted by a [`ViolationLog`], and each [`Violation`] is logged with its ids.

mod close;
mod retry;
mod send;
mod start;
#[cfg(test)]
mod tests;
mod violation;

pub use close::{check_close, CloseInputs};
pub use retry::{may_retry, RetryInputs, RetryRefusal};
pub use send::{may_send, send_by, SendInputs, SendRefusal};
pub use start::{may_start, StartInputs, StartRefusal};
pub use violation::{Violation, ViolationContext, ViolationLog};
