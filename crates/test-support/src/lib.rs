//! What tests of the node share: its processes and their logs, and stand-ins for the peers of a node.
//!
//! Integration tests of one node use a [`Bench`]: the node's process, a discovery and servers that the test plays itself,
//! step by step, over blocking sockets ([`Peer`], [`AmqpPeer`]). Tests of many nodes under load use a
//! [`Cluster`](cluster::Cluster), whose simulated peers act on their own. The soak test (`crates/soak`) has peers of its
//! own and uses the parts that are not tied to either. Both are judged by the same [`invariants`].
//!
//! The path of the program under test is an argument everywhere: only Cargo knows it, and tells it to integration tests
//! and benchmarks alone (`env!("CARGO_BIN_EXE_sparbank")`).
//!
//! Every wait is for an event; time-outs only end a test that has gone wrong. What goes wrong in a stand-in fails the test
//! with a panic, so the functions here have no error results.

#![allow(clippy::missing_panics_doc, reason = "the crate documentation says what panics mean here")]

mod amqp_messages;
mod amqp_peer;
mod bench;
pub mod cluster;
mod handover_node;
mod handover_peer;
pub mod invariants;
mod listeners;
mod log;
pub mod loopback;
mod node_config;
mod peer;
mod process;
pub mod watch_protocol;

pub use amqp_messages::{addressed, message};
pub use amqp_peer::{AmqpPeer, NextFrame, ReceivedMessage};
pub use bench::{establish, established_client, Bench};
pub use handover_node::{HandoverFolder, HandoverNode};
pub use handover_peer::{listen_for_handover, HandoverPeer};
pub use listeners::{accept_any, listener, refusing_port, try_accept, FullBacklogServer};
pub use log::{counter_value, counter_values, is_log_of, log_field};
pub use node_config::{config, instance, open_line, temp_file};
pub use peer::Peer;
pub use process::{configure_node, node_command, ChildProcess, NodeProcess, StartOptions};
pub use rustix::process::Signal;
#[doc(hidden)]
pub use sparbank_amqp as amqp;
pub use watch_protocol::ListKind;
