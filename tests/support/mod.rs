//! One node on loopback and its scripted peers: discovery, servers, clients. Every wait is for an event; the
//! time-out only ends a test that has gone wrong.
#![allow(dead_code, unused_imports)]

mod amqp;
mod bench;
mod handover;
mod node_config;
mod node_process;
mod peer;

pub use amqp::*;
pub use bench::{counter_value, counter_values, establish, established_client, Bench};
pub use handover::{listen_for_handover, HandoverFolder, HandoverNode, HandoverPeer};
pub use node_config::{config, instance, open_line, temp_file};
pub use node_process::{is_log_of, log_field, node_command, NodeProcess};
pub use peer::{accept_any, listener, refusing_port, try_accept, FullBacklogServer, Peer};
