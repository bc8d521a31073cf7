//! The rules of the protocol, checked wherever the node could break one: whether a request may be started, sent or
//! retried, and whether a connection may be closed.
//!
//! Each check is a function without clock, I/O or state: a struct contains its inputs, an enum the reasons for a
//! refusal. The balancer calls [`may_retry`] before each attempt; the frontends call the others before they act. A
//! [`Violation`] is a rule that was broken in spite of the checks: a [`ViolationLog`] counts and logs it.

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
