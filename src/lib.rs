//! sparbank is a node that distributes long-lived client connections over servers.
//!
//! A [`Balancer`] makes the decisions. It is a state machine that reads no clock and performs no I/O: a node passes
//! events to it and executes the actions that it returns. In this example, the connection to the first server fails,
//! and the request is retried at the other server after a backoff:
//!
//! ```
//! use sparbank::model::{
//!     Action, Arrival, DedupScope, Discovery, Effect, Endpoint, Event, ListKind, Outcome, RequestClass,
//!     RequestId, ServerId, Settings, SettingsError, Status, WeightBasis,
//! };
//! use sparbank::Balancer;
//! use sparbank_time::MonotonicTime;
//! use std::time::Duration;
//!
//! const SECOND: Duration = Duration::from_secs(1);
//! let class = RequestClass {
//!     objective: SECOND / 2,
//!     hard_limit: 2 * SECOND,
//!     effect: Effect::ReadLike,
//!     dedup_scope: DedupScope::All,
//!     dedup_window: Duration::ZERO,
//!     priority_weight: 1.0,
//!     message_latency_objective: None,
//! };
//! let settings = Settings {
//!     instances: 1,
//!     zone: 0,
//!     classes: vec![class],
//!     discovery: Discovery::Pushed,
//!     weight_basis: WeightBasis::Request,
//!     max_attempts: 3,
//!     may_cancel: true,
//!     max_retry_after: Duration::ZERO,
//!     poll_within: 10 * SECOND,
//!     dial_timeout: SECOND / 4,
//!     slow_start_floor: 0.3,
//!     slow_start_duration: 10 * SECOND,
//!     overload_multiple: 3.0,
//!     overload_after: SECOND,
//!     quota_connections: 0.0,
//!     quota_setups_per_second: 0.0,
//!     health_checks: false,
//! };
//! let mut balancer = Balancer::new(42, settings)?;
//! let mut now = MonotonicTime::ZERO;
//! let mut actions = Vec::new();
//! let endpoint = |number: u32| Endpoint {
//!     server: ServerId(number),
//!     name_hash: u64::from(number) + 1,
//!     zone: 0,
//!     cell: 0,
//!     nominal: 1.0,
//!     started_at: MonotonicTime::ZERO,
//!     status: Status::Serving,
//! };
//! balancer.handle(now, Event::EndpointList(ListKind::Full, vec![endpoint(0), endpoint(1)]), &mut actions);
//!
//! let id = RequestId(7);
//! let arrival = Arrival {
//!     id,
//!     class: 0,
//!     time_left: 2 * SECOND,
//!     cost: None,
//!     key: None,
//!     group: None,
//!     reconnect: false,
//!     client_retry: false,
//!     rerouted: false,
//! };
//! balancer.handle(now, Event::Request(arrival), &mut actions);
//! let Some(Action::StartAttempt { server: first, .. }) = actions.pop() else { panic!("expected an attempt") };
//!
//! let outcome = Outcome::ConnectFailed;
//! balancer.handle(now, Event::AttemptEnded { id, server: first, outcome, done: false }, &mut actions);
//! let Some(Action::SetTimer { after, token }) = actions.pop() else { panic!("expected a backoff timer") };
//!
//! now += after;
//! balancer.handle(now, Event::Timer(token), &mut actions);
//! let Some(Action::StartAttempt { server: second, .. }) = actions.pop() else { panic!("expected a second attempt") };
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
mod frontend;
mod frontend_id;
mod handover;
mod hash;
mod json;
mod lifecycle;
mod log;
mod log_throttle;
pub mod model;
mod net;
mod node;
pub mod policy;
mod quota;
mod random;
mod requests;
pub mod resilience;
mod rules;
pub mod simulator_adapter;

pub use policy::Balancer;
