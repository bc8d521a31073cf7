//! Clients that want to stand all the time, and the front that deals them out among the nodes.

use super::auditor::Answer;
use super::World;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// How long a client waits for its answer, in milliseconds.
pub const WAITS: u64 = 1_200;
/// A client with no answer this long after its time has lost it; the rule's half second and what slow cores add.
const LOST_AFTER: Duration = Duration::from_millis(1_500);
/// Tries in a row, the first included, before it starts anew.
const TRIES: u32 = 4;
const LINE_EVERY: Duration = Duration::from_secs(2);

struct Door {
    address: SocketAddr,
    open: Cell<bool>,
}

/// All clients of a run.
pub struct Clients {
    doors: Rc<Vec<Door>>,
}

impl Clients {
    pub async fn start(world: &World, addresses: Vec<SocketAddr>, seed: u64) -> Clients {
        let door = |address| Door { address, open: Cell::new(false) };
        let doors: Rc<Vec<Door>> = Rc::new(addresses.into_iter().map(door).collect());
        for number in 0..doors.len() {
            spawn_local(mind(world.clone(), doors.clone(), number));
        }
        for number in 0..world.figures.clients {
            let rng = Pcg64Mcg::seed_from_u64(seed ^ (number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
            spawn_local(live(world.clone(), doors.clone(), number, rng));
        }
        Clients { doors }
    }
}

/// The front takes a node in once it has answered, and notices late that one has died.
async fn mind(world: World, doors: Rc<Vec<Door>>, number: usize) {
    loop {
        let door = &doors[number];
        door.open.set(timeout(Duration::from_millis(500), ping(door.address)).await.unwrap_or(false));
        sleep(Duration::from_millis(if door.open.get() { world.figures.notice } else { 100 })).await;
    }
}

async fn ping(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address).await else { return false };
    let mut line = String::new();
    stream.write_all(b"PING\r\n").await.is_ok()
        && BufReader::new(&mut stream).read_line(&mut line).await.is_ok()
        && line.trim() == "PONG"
}

enum Try {
    /// Nobody took it in.
    NotTaken,
    /// It stood and ended by its own will.
    Lived,
    /// It stood and was moved or broke.
    Cut,
    /// A final answer that is not `UP`, with when to come again where it was told.
    Refused(Option<u64>),
}

async fn live(world: World, doors: Rc<Vec<Door>>, number: usize, mut rng: Pcg64Mcg) {
    // They do not all begin at once.
    sleep(Duration::from_millis(rng.random_range(0..4_000))).await;
    let (mut again, mut tries, mut count) = (false, 0, 0u64);
    loop {
        count += 1;
        let open: Vec<usize> = (0..doors.len()).filter(|at| doors[*at].open.get()).collect();
        let result = match open.is_empty() {
            true => Try::NotTaken,
            false => {
                let node = open[rng.random_range(0..open.len())];
                let id = format!("{:x}", ((number as u64) << 32) | count);
                let line = format!(
                    "OPEN {id} {number:x} c=live-readings,t=acme,d={WAITS},g={:x}{}{}\r\n",
                    number / 4,
                    if again { ",again=1" } else { "" },
                    if tries > 0 { ",r=1" } else { "" },
                );
                once(&world, doors[node].address, node, &id, &line, &mut rng).await
            }
        };
        let fixed = rng.random_range(23..180);
        let rest = match result {
            Try::Lived => {
                (again, tries) = (false, 0);
                rng.random_range(0..100)
            }
            Try::Cut => {
                (again, tries) = (true, 0);
                let (least, most) = world.figures.rejoin;
                rng.random_range(least..most)
            }
            Try::NotTaken => fixed,
            Try::Refused(ms) => {
                tries = (tries + 1) % TRIES;
                // Half of them honour what they are told.
                ms.filter(|_| rng.random_bool(0.5)).unwrap_or(fixed)
            }
        };
        sleep(Duration::from_millis(rest)).await;
    }
}

async fn once(world: &World, door: SocketAddr, node: usize, id: &str, line: &str, rng: &mut Pcg64Mcg) -> Try {
    let Ok(stream) = TcpStream::connect(door).await else { return Try::NotTaken };
    let _ = stream.set_nodelay(true);
    let (read, mut write) = stream.into_split();
    let mut read = BufReader::new(read);
    world.books.borrow_mut().asked(id, node);
    let sent = write.write_all(line.as_bytes()).await.is_ok();
    let mut text = String::new();
    let wait = Duration::from_millis(WAITS) + LOST_AFTER;
    let got = if sent { timeout(wait, read.read_line(&mut text)).await } else { Ok(Ok(0)) };
    let answer = match &got {
        Err(_) => Answer::None,
        Ok(Ok(count)) if *count > 0 => match text.trim().split(' ').next() {
            Some("UP") => Answer::Up,
            Some("BUSY") => Answer::Busy,
            _ => Answer::Failed,
        },
        // The connection ended with no answer: whether that may be, the books know.
        _ => Answer::Ended,
    };
    world.books.borrow_mut().answered(id, answer);
    match answer {
        Answer::Up => {}
        Answer::Busy => return Try::Refused(text.trim().split(' ').nth(1).and_then(|ms| ms.parse().ok())),
        Answer::Ended => return Try::NotTaken,
        Answer::Failed | Answer::None => return Try::Refused(None),
    }
    let standing = Standing::new(world);
    // An exponential life; nobody stays for ever.
    let life = -(1.0 - rng.random::<f64>()).ln() * world.figures.life as f64;
    let end = Instant::now() + Duration::from_millis(life.clamp(500.0, 300_000.0) as u64);
    let mut next = Instant::now() + LINE_EVERY;
    loop {
        text.clear();
        let pause = next.min(end);
        match tokio::time::timeout_at(pause, read.read_line(&mut text)).await {
            Err(_) if Instant::now() >= end => {
                drop(standing);
                return Try::Lived;
            }
            Err(_) => {
                next = Instant::now() + LINE_EVERY;
                if write.write_all(b"M 1\r\n").await.is_err() {
                    return Try::Cut;
                }
            }
            Ok(Ok(count)) if count > 0 && !text.starts_with("MOVE") => {}
            Ok(_) => return Try::Cut,
        }
    }
}

/// Stands, until it is dropped.
struct Standing<'a>(&'a World);

impl<'a> Standing<'a> {
    fn new(world: &'a World) -> Standing<'a> {
        world.books.borrow_mut().stands(1);
        Standing(world)
    }
}

impl Drop for Standing<'_> {
    fn drop(&mut self) {
        self.0.books.borrow_mut().stands(-1);
    }
}
