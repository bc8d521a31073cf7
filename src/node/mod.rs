//! The node: the process that serves clients on real sockets, in one thread.
//!
//! [`PreparedNode`] reads and checks the configuration; [`serve`] opens everything in a fixed order ([`startup`]) and
//! runs the [`event_loop`] until the process exits. Sockets, timers and signals become events for the request table and the
//! frontends; the request table lets the balancer decide and returns commands, which [`executor`] executes.
//!
//! Each part of the node's state has one owner, and the methods of an owner are in its file. Owners further down are
//! passed to the methods of those above them:
//!
//! | owner | file | owns |
//! | --- | --- | --- |
//! | `Node` | `event_loop` | the parts below, and the order in which they are called |
//! | `SignalSockets` | `signals` | the sockets by which signals arrive |
//! | `AdminCalls` | `admin` | the server of the admin API |
//! | `HandoverSteps` | `handover` | the links to the predecessor and the successor |
//! | `QuotaLeases` | `quota_leases` | the transport of the lease protocol |
//! | `FlowReports` | `reports` | the export of flow records |
//! | `DrainSteps` | `drain` | the timer of the steps that migrate connections |
//! | `Executor` | `executor` | what a command can reach: the next two |
//! | `EndpointWatch` | `endpoint_watch` | the discovery client |
//! | `FrontendHost` | `frontend_host` | the frontends, and the state |
//! | `NodeState` | `state` | clock, sockets, requests, registry, timers, configuration, lifecycle |

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
