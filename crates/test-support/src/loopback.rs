//! Addresses and connections on loopback.

use rustix::net::sockopt::set_socket_linger;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Blocks of a [`AddressRange`].
const BLOCKS: u32 = 16_000;
/// Addresses of a block.
const ADDRESSES_PER_BLOCK: u32 = 256;
/// A node's health check that takes longer than this has failed.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// The ranges of 127.0.0.0/8 that harnesses take blocks of addresses from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressRange {
    /// Of clusters.
    Cluster,
    /// Of the soak test.
    Soak,
}

impl AddressRange {
    fn first(self) -> u32 {
        match self {
            AddressRange::Cluster => 0x7f10_0000,
            AddressRange::Soak => 0x7f50_0000,
        }
    }
}

/// Addresses of one run, so that runs beside each other do not collide: by process and by run.
#[derive(Debug)]
pub struct AddressBlock {
    first: u32,
}

impl AddressBlock {
    /// The block of a new run.
    pub fn of_new_run(range: AddressRange) -> AddressBlock {
        static RUNS: AtomicU32 = AtomicU32::new(0);
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let block = std::process::id().wrapping_mul(37).wrapping_add(run.wrapping_mul(11)) % BLOCKS;
        AddressBlock { first: range.first() + block * ADDRESSES_PER_BLOCK }
    }

    /// The address of a node.
    pub fn of_node(&self, node: usize, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::from(self.first + 1 + node as u32), port))
    }
}

/// The connection is reset, rather than ended in order, once it is dropped.
pub fn reset_on_drop(stream: &impl AsFd) {
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}

/// Whether a node answers a health check (`PING`) of its text protocol.
pub async fn answers_ping(address: SocketAddr) -> bool {
    let ping = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(b"PING\r\n").await.ok()?;
        let mut line = String::new();
        BufReader::new(&mut stream).read_line(&mut line).await.ok()?;
        (line.trim() == "PONG").then_some(())
    };
    timeout(HEALTH_CHECK_TIMEOUT, ping).await.ok().flatten().is_some()
}
