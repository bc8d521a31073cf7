//! The node under test: the built program with its AMQP frontend.

use sparbank_test_support::TestNode;
use std::net::{SocketAddr, TcpListener};

const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");
const AMQP_CONFIG: &str =
    r#"{"listen":"127.0.0.1:0","max_frame":70000,"peer_connections":5000,"credit":256,"max_held":16000000}"#;

/// A running node with the AMQP frontend.
pub struct Node {
    pub pid: u32,
    /// The address of the AMQP frontend.
    pub address: SocketAddr,
    /// Terminates the process when it is dropped.
    _bench: TestNode,
}

impl Node {
    /// Starts a node that forwards to these servers.
    pub fn start(servers: Vec<TcpListener>) -> Node {
        let bench = TestNode::start_with_args(PROGRAM, servers, Some(AMQP_CONFIG), &[], |settings| {
            settings.replace(r#""sockets":256"#, r#""sockets":4000"#).replace("1200000000", "10000000000")
        });
        Node {
            pid: bench.process.id(),
            address: bench.amqp_addr.expect("the AMQP frontend is enabled"),
            _bench: bench,
        }
    }
}
