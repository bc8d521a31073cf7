//! A burst of connections: idle clients that use up the descriptors of a node.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// More connections than a node has descriptors.
const CONNECTIONS: usize = 320;
/// A connection that takes longer than this is given up: the node's accept queue is full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// Opens idle connections to a node, and closes them after some time.
pub async fn burst_of_connections(address: SocketAddr, duration: Duration) {
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        if let Ok(Ok(connection)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            connections.push(connection);
        }
    }
    sleep(duration).await;
}
