//! The load generator: the clients of one thread.

use crate::load::{new_histogram, Load, Shared};
use crate::peer::{settings, Peer, FIXED_TIME, READ_BUFFER_BYTES};
use crate::poller::Poller;
use crate::CLASS;
use hdrhistogram::Histogram;
use sparbank_amqp::{
    Attach, Connection, Credentials, Event, LinkId, OutgoingDelivery, Role, State, Target, Terminus,
};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// How long a poll lasts at most if the rate is not limited.
const POLL_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a poll lasts at most if the rate is limited.
const PACED_POLL_TIMEOUT: Duration = Duration::from_millis(1);

/// A client: one connection with one link.
struct Client {
    peer: Peer,
    link: Option<LinkId>,
    in_flight: u64,
}

/// The clients of one thread.
pub struct Generator<'a> {
    load: &'a Load,
    shared: &'a Shared,
    poller: Poller,
    clients: Vec<Client>,
    progress: Progress,
    pacer: Option<Pacer>,
    buffer: Vec<u8>,
}

/// The progress of a thread's clients, all together.
struct Progress {
    started: Instant,
    latency: Histogram<u64>,
    attached_links: usize,
    /// Whether the links of all threads are attached, so that deliveries may be sent.
    has_begun: bool,
    in_flight: u64,
    /// Whether no delivery of the run is left to be sent.
    has_sent_all: bool,
}

/// Limits the rate of deliveries.
struct Pacer {
    /// Target rate, in deliveries per second.
    rate: f64,
    /// Deliveries that may be sent now.
    allowance: f64,
    /// When the allowance was last computed.
    updated_at: Instant,
    /// The offset of the client that may send first. It advances with each poll, so that the clients take turns.
    rotation: usize,
}

impl<'a> Generator<'a> {
    /// Connects the clients of one thread.
    pub fn connect(load: &'a Load, shared: &'a Shared) -> Generator<'a> {
        let poller = Poller::new();
        let clients = (0..load.connections).map(|index| Client::connect(load, &poller, index)).collect();
        let now = Instant::now();
        let pacer = load.rate.map(|rate| Pacer { rate, allowance: 0.0, updated_at: now, rotation: 0 });
        let progress = Progress {
            started: now,
            latency: new_histogram(),
            attached_links: 0,
            has_begun: false,
            in_flight: 0,
            has_sent_all: false,
        };
        Generator { load, shared, poller, clients, progress, pacer, buffer: vec![0; READ_BUFFER_BYTES] }
    }

    /// Runs until all deliveries of the run have been sent, and those of this thread settled. Returns their
    /// latencies.
    pub fn run(mut self) -> Histogram<u64> {
        for client in &mut self.clients {
            client.peer.write();
        }
        while !self.progress.has_sent_all || self.progress.in_flight > 0 {
            for index in self.next_clients() {
                self.process_client(index);
            }
            self.progress.has_sent_all |= self.shared.unsent.load(Ordering::Relaxed) == 0;
        }
        self.progress.latency
    }

    /// Polls the sockets. Returns the clients to process, in order: those whose sockets are ready or, if the rate is
    /// limited, all of them.
    fn next_clients(&mut self) -> Vec<usize> {
        let timeout = if self.pacer.is_some() { PACED_POLL_TIMEOUT } else { POLL_TIMEOUT };
        let mut ready = self.poller.wait(timeout);
        let count = self.clients.len();
        if self.progress.attached_links == count && !self.progress.has_begun {
            self.shared.all_attached.wait();
            self.progress.has_begun = true;
            if let Some(pacer) = &mut self.pacer {
                pacer.updated_at = Instant::now();
            }
            ready = (0..count).collect();
        }
        let Some(pacer) = &mut self.pacer else { return ready };
        pacer.update();
        let rotation = pacer.rotation;
        pacer.rotation += 1;
        (0..count).map(|index| (index + rotation) % count).collect()
    }

    /// Reads the outcomes of a client's deliveries and sends as many new ones as allowed.
    fn process_client(&mut self, index: usize) {
        let client = &mut self.clients[index];
        loop {
            let has_read = client.peer.read(&mut self.buffer);
            assert!(!client.peer.is_closed, "the connection was closed");
            client.handle_events(&mut self.progress);
            client.send(self.load, self.shared, &mut self.progress, self.pacer.as_mut());
            client.peer.write();
            if !has_read {
                return;
            }
        }
    }
}

impl Client {
    fn connect(load: &Load, poller: &Poller, index: usize) -> Client {
        let stream = TcpStream::connect(load.address).expect("connect");
        let conn = Connection::dial(FIXED_TIME, settings(), Some(Credentials::Anonymous));
        let peer = Peer::new(stream, conn);
        poller.add(&peer.stream, index);
        Client { peer, link: None, in_flight: 0 }
    }

    fn handle_events(&mut self, progress: &mut Progress) {
        let Client { peer, link, in_flight } = self;
        peer.handle_events(|conn, event| match event {
            Event::Opened {} => drop(conn.begin()),
            Event::Began { channel } => *link = attach(conn, channel, "l"),
            Event::Credit { .. } => progress.attached_links += usize::from(!progress.has_begun),
            Event::Settled { key, state, .. } => {
                assert_eq!(state, Some(State::Accepted));
                let latency = progress.now() - key;
                progress.latency.record(latency.max(1)).expect("a latency in the histogram's range");
                *in_flight -= 1;
                progress.in_flight -= 1;
            }
            _ => {}
        });
    }

    /// Sends as many deliveries as the credit, the limit of deliveries in flight and the rate allow.
    fn send(&mut self, load: &Load, shared: &Shared, progress: &mut Progress, mut pacer: Option<&mut Pacer>) {
        let conn = &mut self.peer.conn;
        let is_ready = |link: &LinkId| progress.has_begun && conn.is_attached(*link);
        let Some(link) = self.link.filter(is_ready) else { return };
        while self.in_flight < load.max_in_flight
            && conn.can_send(link)
            && pacer.as_ref().is_none_or(|pacer| pacer.allowance >= 1.0)
        {
            let take_one = |unsent: u64| unsent.checked_sub(1);
            if shared.unsent.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take_one).is_err() {
                progress.has_sent_all = true;
                return;
            }
            if let Some(pacer) = &mut pacer {
                pacer.allowance -= 1.0;
            }
            let key = progress.now();
            let delivery = OutgoingDelivery { key, tag: key.into(), settled: false };
            let sent = conn.send(link, delivery, &load.message, true, usize::MAX);
            assert!(sent.complete, "the message fits into one frame");
            self.in_flight += 1;
            progress.in_flight += 1;
        }
    }
}

impl Progress {
    /// Nanoseconds since the thread started.
    fn now(&self) -> u64 {
        self.started.elapsed().as_nanos() as u64
    }
}

impl Pacer {
    /// Increases the allowance by the rate multiplied by the time since the last update.
    fn update(&mut self) {
        let now = Instant::now();
        self.allowance += (now - self.updated_at).as_nanos() as f64 / 1e9 * self.rate;
        self.updated_at = now;
    }
}

/// Attaches a sending link to the benchmark's class. Returns none if no handle is free.
pub fn attach(conn: &mut Connection, channel: u16, name: &str) -> Option<LinkId> {
    let target = Target { address: Some(CLASS.into()), ..Target::default() };
    let target = Some(Terminus::Target(target));
    conn.attach(channel, name, Role::Sender, Attach { target, ..Attach::default() })
}
