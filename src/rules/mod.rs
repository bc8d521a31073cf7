//! The rules of the protocol, checked at the moments at which a node could break them: whether a request may be
//! started, sent, retried or closed now.
//!
//! Each check is a function without clock, I/O or state: its inputs are a struct, and the reasons against are an enum.
//! The balancer calls [`may_retry`] before each attempt, frontends the others before they act. A [`Violation`] is a rule
//! that was broken nevertheless: a [`ViolationLog`] counts and logs it.

mod close;
mod retry;
mod send;
mod start;
#[cfg(test)]
mod tests;
mod violation;

pub use close::{check_close, CloseInputs};
pub use retry::{may_retry, RetryInputs, RetryRefusal};
pub use send::{may_send, send_by, PeerStatus, SendInputs, SendRefusal};
pub use start::{may_start, StartInputs, StartRefusal};
pub use violation::{Violation, ViolationContext, ViolationLog};
