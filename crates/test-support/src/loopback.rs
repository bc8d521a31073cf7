//! Loopback addresses for test runs, and helpers for connections on them.

use rustix::io::Errno;
use rustix::net::sockopt::set_socket_linger;
use rustix::net::{recv, RecvFlags};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Number of blocks in an [`AddressRange`].
const BLOCK_COUNT: u32 = 16_000;
/// Number of addresses in a block.
const ADDRESSES_PER_BLOCK: u32 = 256;
/// The port that is bound at the first address of a block in use.
const GUARD_PORT: u16 = 7999;
/// A health check that takes longer than this has failed.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// The range of 127.0.0.0/8 from which a test harness takes its blocks of addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressRange {
    /// The range of [`crate::cluster`].
    Cluster,
    /// The range of the soak test (`crates/soak`).
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

/// A block of addresses for one run, which no concurrent run on this machine has: its first address is bound while the
/// block is in use.
#[derive(Debug)]
pub struct AddressBlock {
    first: u32,
    _guard: TcpListener,
}

impl AddressBlock {
    /// Takes the block for a new run.
    pub fn allocate(range: AddressRange) -> AddressBlock {
        static RUN_COUNT: AtomicU32 = AtomicU32::new(0);
        let run = RUN_COUNT.fetch_add(1, Ordering::Relaxed);
        let preferred = std::process::id().wrapping_mul(37).wrapping_add(run.wrapping_mul(11));
        let mut blocks = (0..BLOCK_COUNT).map(|offset| preferred.wrapping_add(offset) % BLOCK_COUNT);
        let in_use = "every block of addresses is in use";
        blocks
            .find_map(|block| AddressBlock::bind(range.first() + block * ADDRESSES_PER_BLOCK))
            .expect(in_use)
    }

    fn bind(first: u32) -> Option<AddressBlock> {
        let guard = TcpListener::bind((Ipv4Addr::from(first), GUARD_PORT)).ok()?;
        Some(AddressBlock { first, _guard: guard })
    }

    /// The address of a node. Each node has its own IP address in the block.
    pub fn node_address(&self, node: usize, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::from(self.first + 1 + node as u32), port))
    }

    /// The address on which stand-ins of the nodes' peers listen, each on a free port.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::from(self.first + ADDRESSES_PER_BLOCK - 1), 0))
    }
}

/// Makes a connection end with a reset, rather than an orderly close, when it is dropped.
pub fn reset_on_drop(stream: &impl AsFd) {
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}

/// Whether the peer of a connection has closed it, for connections on which the peer sends nothing more. This asks the
/// kernel: tokio learns of a close only when its task yields, which a busy thread does late.
pub fn has_peer_closed(stream: &impl AsFd) -> bool {
    let mut byte = [0; 1];
    match recv(stream, &mut byte, RecvFlags::PEEK | RecvFlags::DONTWAIT) {
        Ok((count, _)) => count == 0,
        Err(error) => error != Errno::AGAIN && error != Errno::INTR,
    }
}

/// Whether a node answers a health check (`PING`) on its text protocol.
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

#[cfg(test)]
mod tests;
