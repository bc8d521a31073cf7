//! Discovery: the platform's list over HTTP/1.1, one call at a time for all nodes together.
//!
//! Each node has an address of its own here, so the books know which node was told what, and when.

use super::servers::Servers;
use super::World;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// How discovery behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    Well,
    /// Calls are reset, and watches end.
    Dark,
    /// It answers a quarter of its calls a second, and half of what it turns away it keeps waiting first.
    Overbooked,
    /// Whole lists come as they were before the last changes, under their old version.
    GoneBack,
}

/// A change is seen by watches this long after it.
const LAG: Duration = Duration::from_millis(400);
/// A call that waits longer than this fails.
const PATIENCE: Duration = Duration::from_secs(1);
/// Nothing has changed for this long: an empty line says that the watch lives.
const BEAT: Duration = Duration::from_secs(2);

struct Queue {
    manner: Cell<Manner>,
    waiting: Cell<usize>,
    /// When the call that is served last will have been.
    busy_until: Cell<Instant>,
    rng: RefCell<Pcg64Mcg>,
}

/// Discovery, for all nodes.
pub struct Discovery {
    addresses: Vec<SocketAddr>,
    queue: Rc<Queue>,
}

impl Discovery {
    pub async fn start(world: &World, servers: &Servers, seed: u64) -> Discovery {
        let queue = Rc::new(Queue {
            manner: Cell::new(Manner::Well),
            waiting: Cell::new(0),
            busy_until: Cell::new(Instant::now()),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        });
        let mut addresses = Vec::new();
        for node in 0..world.figures.nodes {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            addresses.push(listener.local_addr().expect("an address"));
            let (world, servers, queue) = (world.clone(), servers.clone(), queue.clone());
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    spawn_local(call(world.clone(), servers.clone(), queue.clone(), node, stream));
                }
            });
        }
        Discovery { addresses, queue }
    }

    pub fn address(&self, node: usize) -> SocketAddr {
        self.addresses[node]
    }

    pub fn set(&self, manner: Manner) {
        self.queue.manner.set(manner);
    }
}

async fn call(world: World, servers: Servers, queue: Rc<Queue>, node: usize, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    let (mut line, mut from) = (String::new(), 0);
    loop {
        line.clear();
        match stream.read_line(&mut line).await {
            Ok(count) if count > 2 => {
                if let Some((_, version)) = line.split_once("from=") {
                    let digits: String = version.chars().take_while(char::is_ascii_digit).collect();
                    from = digits.parse().unwrap_or(0);
                }
            }
            Ok(2) => break,
            _ => return,
        }
    }
    world.books.borrow_mut().called();
    if !admitted(&world, &queue).await {
        let _ = stream.get_mut().write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").await;
        return;
    }
    if queue.manner.get() == Manner::Dark {
        let _ = rustix::net::sockopt::set_socket_linger(stream.get_ref(), Some(Duration::ZERO));
        return;
    }
    watch(world, servers, queue, node, stream.into_inner(), from).await;
}

/// Waits for the call's turn; false where it is turned away.
async fn admitted(world: &World, queue: &Queue) -> bool {
    let slow = if queue.manner.get() == Manner::Overbooked { 4.0 } else { 1.0 };
    let each = Duration::from_secs_f64(slow / world.figures.calls);
    if queue.waiting.get() >= world.figures.call_queue {
        if slow > 1.0 && queue.rng.borrow_mut().random_bool(0.5) {
            sleep(Duration::from_millis(1_500)).await;
        }
        return false;
    }
    queue.waiting.set(queue.waiting.get() + 1);
    let turn = queue.busy_until.get().max(Instant::now()) + each;
    let served = turn <= Instant::now() + PATIENCE;
    if served {
        queue.busy_until.set(turn);
    }
    tokio::time::sleep_until(turn.min(Instant::now() + PATIENCE)).await;
    queue.waiting.set(queue.waiting.get() - 1);
    served
}

async fn watch(
    world: World,
    servers: Servers,
    queue: Rc<Queue>,
    node: usize,
    mut stream: TcpStream,
    from: u64,
) {
    let start = world.books.borrow().start_of(node);
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    if stream.write_all(head.as_bytes()).await.is_err() {
        return;
    }
    // A version that it does not know is answered with the whole list, and so is one that it has gone back from.
    let (mut sent, mut whole, mut last) = (from, from == 0, Instant::now() - BEAT);
    loop {
        if queue.manner.get() == Manner::Dark {
            let _ = rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
            return;
        }
        // Whoever has hung up is told nothing.
        if matches!(stream.try_read(&mut [0; 16]), Ok(0)) {
            return;
        }
        let back = queue.manner.get() == Manner::GoneBack;
        let list = if back { servers.before() } else { servers.since(sent, whole, LAG) };
        let line = match list {
            Some(list) if !back || whole || last.elapsed() >= BEAT => {
                (sent, whole) = (list.version, false);
                // What goes back is no news: nobody is told anything by it.
                if !back {
                    world.books.borrow_mut().told(node, start, &list);
                }
                list.json()
            }
            _ if last.elapsed() >= BEAT => String::new(),
            _ => {
                sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        last = Instant::now();
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        if stream.write_all(chunk.as_bytes()).await.is_err() {
            return;
        }
    }
}
