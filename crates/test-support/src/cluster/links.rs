//! A TCP proxy on one link: it forwards, blocks (both ways or one), delays and resets, and heals.

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

/// What the link does with connections and their bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkMode {
    /// All is forwarded.
    Open,
    /// Nothing is forwarded and no connection is reset; all of it is forwarded once the link is open again.
    Blocked,
    /// Only bytes from the side that connects are forwarded.
    OutboundOnly,
    /// All is forwarded this many milliseconds late.
    Delayed(u64),
    /// Open connections and new ones are reset.
    Reset,
}

/// How often a connection checks the link's mode.
const MODE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Bytes that are forwarded at a time.
const CHUNK_BYTES: usize = 4096;

/// One link, with its own address.
pub struct Link {
    /// Where the side that connects finds it.
    pub address: SocketAddr,
    mode: Rc<Cell<LinkMode>>,
}

#[derive(Clone, Copy, PartialEq)]
enum Direction {
    /// From the side that connects.
    Outbound,
    Inbound,
}

impl Link {
    /// A link to an address, at a port that the system picks.
    pub async fn open(target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let mode = Rc::new(Cell::new(LinkMode::Open));
        let shared_mode = mode.clone();
        spawn_local(async move {
            while let Ok((near, _)) = listener.accept().await {
                spawn_local(forward(near, target, shared_mode.clone()));
            }
        });
        Link { address, mode }
    }

    /// The link behaves like this from now on.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.set(mode);
    }
}

async fn forward(near: TcpStream, target: SocketAddr, mode: Rc<Cell<LinkMode>>) {
    while matches!(mode.get(), LinkMode::Blocked) {
        sleep(MODE_CHECK_INTERVAL).await;
    }
    if mode.get() == LinkMode::Reset {
        return reset_on_drop(&near);
    }
    // A refused connection is forwarded as a reset, the nearest that a proxy has.
    let Ok(far) = TcpStream::connect(target).await else { return reset_on_drop(&near) };
    for stream in [&near, &far] {
        let _ = stream.set_nodelay(true);
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let outbound = spawn_local(copy(near_read, far_write, mode.clone(), Direction::Outbound));
    let inbound = spawn_local(copy(far_read, near_write, mode, Direction::Inbound));
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
