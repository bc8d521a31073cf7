//! Memory usage with many connections.

use crate::generator::attach;
use crate::node::Node;
use crate::peer::{settings, Peer, FIXED_TIME};
use crate::process::resident_mb;
use sparbank_amqp::{Connection, Credentials, Event};
use sparbank_test_support::listener;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const CONNECTIONS: usize = 1000;
const LINKS_PER_CONNECTION: usize = 4;
/// How long it may take until all links of a connection are attached.
const ATTACH_TIMEOUT: Duration = Duration::from_secs(10);

/// Prints the node's resident memory with many connections and links, and before they are opened.
pub fn print_memory() {
    let node = Node::start(vec![listener()]);
    let before = resident_mb(node.pid);
    let _peers: Vec<Peer> = (0..CONNECTIONS).map(|_| connect_with_links(node.address)).collect();
    println!(
        "1,000 connections of 4 links: {:.1} MB resident in total ({before:.1} MB before)",
        resident_mb(node.pid)
    );
}

fn connect_with_links(address: SocketAddr) -> Peer {
    let stream = TcpStream::connect(address).expect("connect to the node");
    let mut peer = Peer::new(stream, Connection::dial(FIXED_TIME, settings(), Some(Credentials::Anonymous)));
    let mut attached = 0;
    let deadline = Instant::now() + ATTACH_TIMEOUT;
    let mut buffer = [0; 8192];
    while attached < LINKS_PER_CONNECTION {
        assert!(Instant::now() < deadline, "the links were not attached within {ATTACH_TIMEOUT:?}");
        peer.write();
        peer.read(&mut buffer);
        peer.handle_events(|conn, event| match event {
            Event::Opened {} => drop(conn.begin()),
            Event::Began { channel } => {
                for number in 0..LINKS_PER_CONNECTION {
                    attach(conn, channel, &format!("link-{number}")).expect("a free handle");
                }
            }
            Event::Attached { .. } => attached += 1,
            _ => {}
        });
    }
    peer
}
