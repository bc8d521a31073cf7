//! A TCP proxy for fault injection on a link: it forwards, blocks (in both directions or one), delays or resets.

use crate::loopback::reset_on_drop;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// The treatment of connections and their data by a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkMode {
    /// All data is forwarded.
    Open,
    /// No data is forwarded and no connection is reset; the data is forwarded once the link is open again.
    Blocked,
    /// Only data from the connecting side is forwarded.
    OutboundOnly,
    /// All data is forwarded after a delay of this many milliseconds.
    Delayed(u64),
    /// Existing and new connections are reset.
    Reset,
}

/// Interval at which a connection checks the link's mode.
const MODE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of bytes forwarded at a time.
const CHUNK_BYTES: usize = 4096;

/// A link with its own address.
pub struct Link {
    /// Address for the connecting side.
    pub address: SocketAddr,
    mode: Rc<Cell<LinkMode>>,
}

#[derive(Clone, Copy, PartialEq)]
enum Direction {
    /// From the connecting side to the target.
    Outbound,
    Inbound,
}

impl Link {
    /// Opens a link to a target address, on a free loopback port.
    pub async fn open(target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port");
        let address = listener.local_addr().expect("failed to read a socket address");
        let mode = Rc::new(Cell::new(LinkMode::Open));
        let shared_mode = mode.clone();
        spawn_local(async move {
            while let Ok((downstream, _)) = listener.accept().await {
                spawn_local(forward(downstream, target, shared_mode.clone()));
            }
        });
        Link { address, mode }
    }

    /// Sets the mode of the link.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.set(mode);
    }
}

async fn forward(downstream: TcpStream, target: SocketAddr, mode: Rc<Cell<LinkMode>>) {
    while matches!(mode.get(), LinkMode::Blocked) {
        sleep(MODE_CHECK_INTERVAL).await;
    }
    if mode.get() == LinkMode::Reset {
        return reset_on_drop(&downstream);
    }
    // The proxy has accepted already and can't refuse the connection any more, so it resets it.
    let Ok(upstream) = TcpStream::connect(target).await else { return reset_on_drop(&downstream) };
    for stream in [&downstream, &upstream] {
        let _ = stream.set_nodelay(true);
    }
    let (downstream_read, downstream_write) = downstream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let outbound = spawn_local(copy(downstream_read, upstream_write, mode.clone(), Direction::Outbound));
    let inbound = spawn_local(copy(upstream_read, downstream_write, mode, Direction::Inbound));
    let _ = (outbound.await, inbound.await);
}

async fn copy(
    mut source: OwnedReadHalf,
    mut target: OwnedWriteHalf,
    mode: Rc<Cell<LinkMode>>,
    direction: Direction,
) {
    let mut chunk = [0; CHUNK_BYTES];
    loop {
        let read = tokio::select! {
            read = source.read(&mut chunk) => read,
            () = wait_for_reset(&mode) => return reset_on_drop(target.as_ref()),
        };
        let read_at = Instant::now();
        loop {
            match mode.get() {
                LinkMode::Open => break,
                LinkMode::OutboundOnly if direction == Direction::Outbound => break,
                LinkMode::Delayed(millis) if read_at.elapsed() >= Duration::from_millis(millis) => break,
                LinkMode::Reset => return reset_on_drop(target.as_ref()),
                _ => sleep(MODE_CHECK_INTERVAL).await,
            }
        }
        match read {
            Ok(0) => return drop(target.shutdown().await),
            Ok(count) if target.write_all(&chunk[..count]).await.is_ok() => {}
            _ => return reset_on_drop(target.as_ref()),
        }
    }
}

async fn wait_for_reset(mode: &Cell<LinkMode>) {
    while mode.get() != LinkMode::Reset {
        sleep(MODE_CHECK_INTERVAL).await;
    }
}
