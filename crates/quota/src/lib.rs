//! Budgets of a whole fleet, divided among its nodes and divided anew as they come and go.
//!
//! A budget bounds what all nodes together may use: standing connections (a *level*) or events a second (a
//! *rate*). Nodes hold *parts* of it, on leases. The bound holds by construction:
//!
//! - the grantors' [`Book`] hands out only what nobody can still be using;
//! - a [`Holder`] lowers itself before it says so, raises itself only by the answer to its newest ask, and
//!   counts its lease from when it sent that ask;
//! - a [`Granter`] takes a part back only when that lease has ended on the holder's clock too;
//! - each seat's floor is set aside once and never granted to anybody.
//!
//! The book has no clock: it is a state machine that several grantors can keep agreed through a log. Nothing
//! here does I/O; time is handed in, in nanoseconds of whoever calls.

mod divide;
mod gate;
mod grantor;
mod holder;
mod lease_table;
mod plan;

pub use divide::divide;
pub use gate::{Gate, Party, Use};
pub use grantor::Granter;
pub use holder::{Holder, Reading, Refusal};
pub use lease_table::{Answer, Ask, Batch, Book, Free, HolderId};
pub use plan::{Budget, Limits, Plan, PlanError, Seat};

/// Nanoseconds, of the clock of whoever calls: no two clocks are compared.
pub type Nanos = u64;
