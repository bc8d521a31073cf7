//! Clients of both frontends. They count the answers to their items.

use crate::items::{ItemNumbers, CLASSES};
use crate::servers::{read_available, HEARTBEAT_INTERVAL};
use sparbank_amqp::{
    Attach, Connection, Credentials, Event, LinkId, OutgoingDelivery, Role, Settings, State, Target,
    Terminus, Value,
};
use sparbank_time::MonotonicTime;
use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The time that is passed to each call of the protocol library, which ignores it as no timeout is set.
const START: MonotonicTime = MonotonicTime::ZERO;
/// After this time an item counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum time between two items of a client.
const ITEM_INTERVAL: Duration = Duration::from_millis(3);
/// How long an AMQP client waits for input before it checks whether it may send.
const READ_TIMEOUT: Duration = Duration::from_millis(5);
/// The deadline of each item.
const DEADLINE_MS: u32 = 1_200;

/// The number of items that were sent, and of each answer to them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    pub items: u64,
    pub served: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Items without an answer, with an invalid one or with more than one.
    pub invalid: u64,
}

impl AnswerCounts {
    /// Counts the answer to an AMQP delivery.
    fn count(&mut self, state: Option<State>) {
        match state {
            Some(State::Accepted) => self.served += 1,
            Some(State::Modified { delivery_failed: false, .. }) => self.rejected += 1,
            Some(State::Modified { delivery_failed: true, .. }) => self.failed += 1,
            _ => self.invalid += 1,
        }
    }

    pub fn plus(self, other: AnswerCounts) -> AnswerCounts {
        AnswerCounts {
            items: self.items + other.items,
            served: self.served + other.served,
            rejected: self.rejected + other.rejected,
            failed: self.failed + other.failed,
            invalid: self.invalid + other.invalid,
        }
    }
}

/// Sends one request of the text protocol after another, each on its own connection.
pub fn text_client(address: SocketAddr, numbers: &ItemNumbers, until: Instant) -> AnswerCounts {
    let mut counts = AnswerCounts::default();
    while Instant::now() < until {
        let item = numbers.next_item();
        let mut stream = TcpStream::connect(address).expect("the node listens");
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("a valid timeout");
        let (number, class) = (item.number, item.class);
        write!(stream, "OPEN {number:x} {number:x} c={class},t=acme,d={DEADLINE_MS},g=5c0f\r\n")
            .expect("the node reads the request");
        let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
        counts.items += 1;
        match lines.next().as_deref() {
            Some(line) if line.starts_with("UP") => counts.served += 1,
            Some(line) if line.starts_with("BUSY") => counts.rejected += 1,
            Some("ERR") => counts.failed += 1,
            _ => counts.invalid += 1,
        }
        let later_lines: Vec<String> = lines.collect();
        counts.invalid += u64::from(later_lines.iter().any(|line| line != "BYE"));
        std::thread::sleep(ITEM_INTERVAL);
    }
    counts
}

/// Encodes a message with the key and the number of an item.
fn item_message(item: u64) -> Vec<u8> {
    let mut message = Vec::new();
    let header = vec![Value::Null, Value::Null, Value::Uint(DEADLINE_MS)];
    sparbank_amqp::encode(&Value::composite(0x70, header), &mut message);
    let properties = vec![
        (Value::text("key"), Value::text(&format!("{item:x}"))),
        (Value::text("item"), Value::Ulong(item)),
    ];
    sparbank_amqp::encode(&Value::described(0x74, Value::Map(properties)), &mut message);
    sparbank_amqp::encode(&Value::described(0x75, Value::Binary(vec![7; 100])), &mut message);
    message
}

/// An AMQP client with one sender link for each class.
struct AmqpClient {
    connection: Connection,
    /// The sender link of each class.
    links: HashMap<&'static str, LinkId>,
    /// Numbers of the items that have no answer yet.
    unsettled: HashSet<u64>,
    counts: AnswerCounts,
}

impl AmqpClient {
    fn new() -> AmqpClient {
        let settings = Settings { idle_timeout: Duration::ZERO, ..Settings::default() };
        AmqpClient {
            connection: Connection::dial(START, settings, Some(Credentials::Anonymous)),
            links: HashMap::new(),
            unsettled: HashSet::new(),
            counts: AnswerCounts::default(),
        }
    }

    fn attach_links(&mut self, channel: u16) {
        for class in CLASSES {
            let target = Target { address: Some(class.into()), ..Target::default() };
            let attach = Attach { target: Some(Terminus::Target(target)), ..Attach::default() };
            let link = self.connection.attach(channel, class, Role::Sender, attach).expect("a free handle");
            self.links.insert(class, link);
        }
    }

    fn on_event(&mut self, event: Event<'_>) {
        match event {
            Event::Opened {} => drop(self.connection.begin()),
            Event::Began { channel } => self.attach_links(channel),
            Event::Settled { key, state, .. } => {
                self.counts.invalid += u64::from(!self.unsettled.remove(&key));
                self.counts.count(state);
            }
            _ => {}
        }
    }

    fn can_send(&self) -> bool {
        !self.links.is_empty() && self.links.values().all(|link| self.connection.can_send(*link))
    }

    fn send(&mut self, numbers: &ItemNumbers) {
        let item = numbers.next_item();
        let payload = item_message(item.number);
        let delivery = OutgoingDelivery { key: item.number, tag: item.number.into(), settled: false };
        let link = self.links[item.class];
        assert!(self.connection.send(link, delivery, &payload, true, usize::MAX).complete);
        self.unsettled.insert(item.number);
        self.counts.items += 1;
    }
}

/// Sends items on one AMQP connection until a time, and waits for the answers to all of them.
pub fn amqp_client(address: SocketAddr, numbers: &ItemNumbers, until: Instant) -> AnswerCounts {
    let mut stream = TcpStream::connect(address).expect("the node listens");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a valid timeout");
    let mut client = AmqpClient::new();
    let mut input = Vec::new();
    let (mut last_item, mut last_heartbeat) = (Instant::now(), Instant::now());
    while Instant::now() < until || !client.unsettled.is_empty() {
        assert!(Instant::now() < until + ANSWER_TIMEOUT, "{} items have no answer", client.unsettled.len());
        let mut output = client.connection.take_output(START);
        if last_heartbeat.elapsed() > HEARTBEAT_INTERVAL {
            last_heartbeat = Instant::now();
            sparbank_amqp::write_frame(&mut output, sparbank_amqp::AMQP, 0, None, &[]);
        }
        stream.write_all(&output).expect("the node keeps the connection open");
        assert!(read_available(&mut stream, &mut input).is_ok(), "the node closed the connection");
        let bytes = std::mem::take(&mut input);
        let mut unread = &bytes[..];
        while let Some(event) =
            client.connection.next_event(START, &mut unread).expect("the node sends valid AMQP")
        {
            client.on_event(event);
        }
        input = unread.to_vec();
        let is_due = last_item.elapsed() > ITEM_INTERVAL && Instant::now() < until;
        if is_due && client.can_send() {
            last_item = Instant::now();
            client.send(numbers);
        }
    }
    client.counts
}
