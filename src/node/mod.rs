//! The node: a single-threaded process that serves clients.
//!
//! [`PreparedNode`] reads and validates the configuration. [`serve`] opens all sockets in a fixed order (`startup`) and
//! runs the `event_loop` until the process exits. The loop turns socket events, timers and signals into events for the
//! request table and the frontends. The request table runs the balancer on these events and returns commands, which
//! `executor` executes.
//!
//! Each part of the node's state has one owner, whose methods are in the same file. A method may borrow the owners that
//! are listed below its own:
//!
//! | owner | file | owns |
//! | --- | --- | --- |
//! | `Node` | `event_loop` | all parts below, and the order in which they are called |
//! | `SignalSockets` | `signals` | the sockets that become readable when a signal arrives |
//! | `AdminHandler` | `admin` | the server of the admin API |
//! | `HandoverManager` | `handover` | the links to the predecessor and the successor |
//! | `QuotaLeases` | `quota_leases` | the transport of the lease protocol |
//! | `FlowReporter` | `reports` | the export of flow records |
//! | `DrainManager` | `drain` | the timer of the migration steps |
//! | `Executor` | `executor` | the two owners that execute commands: `EndpointWatch` and `FrontendHost` |
//! | `EndpointWatch` | `endpoint_watch` | the discovery client |
//! | `FrontendHost` | `frontend_host` | the frontends and the node state |
//! | `NodeState` | `state` | clock, sockets, requests, endpoint registry, timers, configuration, lifecycle |

mod admin;
mod clock;
mod configuration;
mod drain;
mod endpoint_watch;
mod error;
mod event_loop;
mod executor;
mod frontend_host;
mod handover;
mod iteration_timing;
mod options;
mod prepared;
mod quota_leases;
mod reload;
mod reports;
mod shortage_retry;
mod signals;
mod startup;
mod state;
#[cfg(test)]
mod tests;

pub use configuration::{Configuration, ConfigurationError};
pub use error::{PrepareError, ServeError};
pub use options::Options;
pub use prepared::PreparedNode;
pub use startup::serve;
