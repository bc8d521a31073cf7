//! sparbank makes the decisions of a balancer for long-lived connections.
//!
//! A relay tells a [`Balancer`] what happens and does what it answers. Here one request meets a server
//! that cannot be reached, sleeps, and is placed on the other:
//!
//! ```
//! use sparbank::interface::*;
//! use sparbank::Balancer;
//!
//! const SECOND: Nanos = 1_000_000_000;
//! let class = Class {
//!     objective: SECOND / 2,
//!     hard_limit: 2 * SECOND,
//!     effect: Effect::ReadLike,
//!     scope: Scope::All,
//!     window: 0,
//!     worth: 1.0,
//!     message_aim: None,
//! };
//! let settings = Settings {
//!     instances: 1,
//!     zone: 0,
//!     classes: vec![class],
//!     discovery: Discovery::Unasked,
//!     worth_by_work: false,
//!     max_attempts: 3,
//!     may_cancel: true,
//!     max_retry_after: 0,
//!     ask_within: 10 * SECOND,
//!     dial_timeout: SECOND / 4,
//!     cold_from: 0.3,
//!     cold_time: 10 * SECOND,
//!     fall_multiple: 3.0,
//!     tip_after: SECOND,
//!     quota_open: 0.0,
//!     quota_rate: 0.0,
//!     probes: false,
//! };
//! let mut balancer = Balancer::new(42, settings)?;
//! let (mut now, mut actions) = (0, Vec::new());
//! let status = Status::Serving;
//! let member = |n: u32| {
//!     let (server, tag) = (ServerId(n), u64::from(n) + 1);
//!     Member { server, tag, zone: 0, cell: 0, nominal: 1.0, born: 0, status }
//! };
//! balancer.handle(now, Event::Members(ListKind::Full, vec![member(0), member(1)]), &mut actions);
//!
//! let id = RequestId(7);
//! let (came_back, repeated, rerouted) = (false, false, false);
//! let (class, grace, cost, key, group) = (0, 2 * SECOND, None, None, None);
//! let arrival = Arrival { id, class, grace, cost, key, group, came_back, repeated, rerouted };
//! balancer.handle(now, Event::Request(arrival), &mut actions);
//! let Some(Action::Try { server: first, .. }) = actions.pop() else { panic!("tried at once") };
//!
//! let outcome = Outcome::ConnectFailed;
//! balancer.handle(now, Event::Response { id, server: first, outcome, done: false }, &mut actions);
//! let Some(Action::Timer { after, token }) = actions.pop() else { panic!("it sleeps") };
//!
//! now += after;
//! balancer.handle(now, Event::Timer(token), &mut actions);
//! let Some(Action::Try { server: second, .. }) = actions.pop() else { panic!("tried again") };
//! assert_ne!(first, second);
//! # Ok::<(), SettingsError>(())
//! ```
#![forbid(unsafe_code)]

mod asking;
pub mod balance;
mod budgets;
pub mod cli;
mod config;
mod core;
mod counters;
pub mod fleet;
mod fleet_talk;
mod flow_export;
mod front;
pub mod interface;
mod lifecycle;
mod log;
mod net;
mod node;
mod operator;
pub mod returns;
mod service_table;
mod takeover;
pub mod trust;
pub mod wire;

pub use balance::Balancer;

/// Arithmetic on random numbers, written out so that no library version changes a decision.
mod random {
    use rand_core::{RngCore, SeedableRng};

    /// A relay's random numbers: a PCG from its seed.
    pub struct Rng(rand_pcg::Pcg64Mcg);

    impl Default for Rng {
        fn default() -> Rng {
            Rng::seeded(0)
        }
    }

    impl Rng {
        /// The numbers that this seed gives.
        pub fn seeded(seed: u64) -> Rng {
            Rng(rand_pcg::Pcg64Mcg::seed_from_u64(seed))
        }

        /// The next one.
        pub fn next_u64(&mut self) -> u64 {
            self.0.next_u64()
        }
    }

    /// A well-mixed number from another (the finalizer of splitmix64).
    pub fn mix(x: u64) -> u64 {
        let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// A roll brought into [0, 1).
    pub fn unit(roll: u64) -> f64 {
        (roll >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A roll brought into [0, most].
    pub fn below(roll: u64, most: u64) -> u64 {
        ((u128::from(roll) * (u128::from(most) + 1)) >> 64) as u64
    }
}
