//! sparbank makes the decisions of a balancer for long-lived connections.
//!
//! A node tells a [`Balancer`] what happens and does what it answers. Here one request meets a server
//! that cannot be reached, sleeps, and is placed on the other:
//!
//! ```
//! use sparbank::vocabulary::*;
//! use sparbank::Balancer;
//!
//! const SECOND: Nanos = 1_000_000_000;
//! let class = RequestClass {
//!     objective: SECOND / 2,
//!     hard_limit: 2 * SECOND,
//!     effect: Effect::ReadLike,
//!     dedup_scope: DedupScope::All,
//!     dedup_window: 0,
//!     priority_weight: 1.0,
//!     message_latency_objective: None,
//! };
//! let settings = Settings {
//!     instances: 1,
//!     zone: 0,
//!     classes: vec![class],
//!     discovery: Discovery::Pushed,
//!     weight_by_work: false,
//!     max_attempts: 3,
//!     may_cancel: true,
//!     max_retry_after: 0,
//!     poll_within: 10 * SECOND,
//!     dial_timeout: SECOND / 4,
//!     slow_start_floor: 0.3,
//!     slow_start_duration: 10 * SECOND,
//!     overload_multiple: 3.0,
//!     overload_after: SECOND,
//!     quota_connections: 0.0,
//!     quota_setups_per_second: 0.0,
//!     probes: false,
//! };
//! let mut balancer = Balancer::new(42, settings)?;
//! let (mut now, mut actions) = (0, Vec::new());
//! let status = Status::Serving;
//! let endpoint = |n: u32| {
//!     let (server, tag) = (ServerId(n), u64::from(n) + 1);
//!     Endpoint { server, tag, zone: 0, cell: 0, nominal: 1.0, started_at: 0, status }
//! };
//! balancer.handle(now, Event::EndpointList(ListKind::Full, vec![endpoint(0), endpoint(1)]), &mut actions);
//!
//! let id = RequestId(7);
//! let (reconnect, client_retry, rerouted) = (false, false, false);
//! let (class, time_left, cost, key, group) = (0, 2 * SECOND, None, None, None);
//! let arrival = Arrival { id, class, time_left, cost, key, group, reconnect, client_retry, rerouted };
//! balancer.handle(now, Event::Request(arrival), &mut actions);
//! let Some(Action::StartAttempt { server: first, .. }) = actions.pop() else { panic!("tried at once") };
//!
//! let outcome = Outcome::ConnectFailed;
//! balancer.handle(now, Event::AttemptEnded { id, server: first, outcome, done: false }, &mut actions);
//! let Some(Action::SetTimer { after, token }) = actions.pop() else { panic!("it sleeps") };
//!
//! now += after;
//! balancer.handle(now, Event::Timer(token), &mut actions);
//! let Some(Action::StartAttempt { server: second, .. }) = actions.pop() else { panic!("tried again") };
//! assert_ne!(first, second);
//! # Ok::<(), SettingsError>(())
//! ```
#![forbid(unsafe_code)]

mod admin;
pub mod cli;
mod config;
mod counters;
mod discovery;
mod flow_export;
mod front;
mod handover;
mod hash;
mod json;
mod lifecycle;
mod log;
mod net;
mod node;
pub mod policy;
mod quota;
mod random;
mod requests;
pub mod resilience;
pub mod simulator;
pub mod vocabulary;

pub use policy::Balancer;
