//! Shared support for tests of the node: node processes and their logs, and stand-ins for the node's peers.
//!
//! Integration tests of a single node use a [`TestNode`]: a node process, plus discovery and servers that the test drives
//! step by step over blocking sockets ([`Peer`], [`AmqpPeer`]). Tests of many nodes under load use a
//! [`Cluster`](cluster::Cluster), whose simulated peers run on their own. The soak test (`crates/soak`) has its own
//! peers and uses only the parts that depend on neither. The cluster and the soak test check the same [`invariants`].
//!
//! The path of the program under test is always an argument: Cargo provides it to integration tests and benchmarks
//! only (`env!("CARGO_BIN_EXE_sparbank")`).
//!
//! Tests wait for events; a time-out only ends a test that has already failed. An error in a stand-in panics and so
//! fails the test, which is why the functions here don't return errors.

#![allow(clippy::missing_panics_doc, reason = "a panic fails the test; see the crate documentation")]

mod amqp_messages;
mod amqp_peer;
mod bench;
mod child_command;
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

pub use amqp_messages::{incomplete_head, message_to, message_with_key};
pub use amqp_peer::{AmqpPeer, NextFrame, ReceivedMessage};
pub use bench::{establish, established_client, TestNode};
pub use child_command::child_command;
pub use handover_node::{HandoverFolder, HandoverNode};
pub use handover_peer::{listen_for_handover, HandoverPeer};
pub use listeners::{accept_any, listener, refusing_port, try_accept, FullBacklogServer};
pub use log::{counter_value, counter_values, is_log_of, log_field};
pub use node_config::{config, endpoint_entry, preload_library, request_line, temp_file};
pub use peer::{read_uninterrupted, receive, Peer, Received};
pub use process::{configure_node, node_command, ChildProcess, NodeProcess, StartOptions};
pub use rustix::process::Signal;
#[doc(hidden)]
pub use sparbank_amqp as amqp;
pub use watch_protocol::ListKind;
