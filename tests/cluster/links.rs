//! A proxy on one link: it passes on, cuts (both ways or one), delays, holds and resets, and heals.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// What the link does with what comes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    Open,
    /// Nothing passes either way, and nothing says so; it passes once the link heals.
    Held,
    /// Only what goes from the one who connects passes.
    Outward,
    /// All passes this many milliseconds late.
    Late(u64),
    /// What is open is reset, and what comes is.
    Reset,
}

/// How often a held link looks whether it has healed.
const LOOK: Duration = Duration::from_millis(10);

/// One link, with its own address.
pub struct Link {
    pub address: SocketAddr,
    way: Rc<Cell<Way>>,
}

impl Link {
    /// A link to an address, at a port that the system picks.
    pub async fn open(to: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let way = Rc::new(Cell::new(Way::Open));
        let ways = way.clone();
        spawn_local(async move {
            while let Ok((near, _)) = listener.accept().await {
                spawn_local(pass(near, to, ways.clone()));
            }
        });
        Link { address, way }
    }

    pub fn set(&self, way: Way) {
        self.way.set(way);
    }
}

async fn pass(near: TcpStream, to: SocketAddr, way: Rc<Cell<Way>>) {
    while matches!(way.get(), Way::Held) {
        sleep(LOOK).await;
    }
    if way.get() == Way::Reset {
        return reset(near);
    }
    // A refused connection is passed on as a reset, the nearest that a proxy has.
    let Ok(far) = TcpStream::connect(to).await else { return reset(near) };
    for stream in [&near, &far] {
        let _ = stream.set_nodelay(true);
    }
    let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
    let there = spawn_local(copy(near_in, far_out, way.clone(), true));
    let back = spawn_local(copy(far_in, near_out, way, false));
    let _ = (there.await, back.await);
}

fn reset(stream: TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, way: Rc<Cell<Way>>, outward: bool) {
    let mut chunk = [0; 4096];
    loop {
        let got = tokio::select! {
            got = from.read(&mut chunk) => got,
            () = turned(&way) => { broken(to.as_ref()); return }
        };
        let at = Instant::now();
        loop {
            match way.get() {
                Way::Open => break,
                Way::Outward if outward => break,
                Way::Late(ms) if at.elapsed() >= Duration::from_millis(ms) => break,
                Way::Reset => return broken(to.as_ref()),
                _ => sleep(LOOK).await,
            }
        }
        match got {
            Ok(0) => return drop(to.shutdown().await),
            Ok(count) if to.write_all(&chunk[..count]).await.is_ok() => {}
            _ => return broken(to.as_ref()),
        }
    }
}

async fn turned(way: &Cell<Way>) {
    while way.get() != Way::Reset {
        sleep(LOOK).await;
    }
}

fn broken(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}
