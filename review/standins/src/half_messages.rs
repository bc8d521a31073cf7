//! A bad client begins a message on each of its links, stops in the middle, and stays. Usual clients send a delivery
//! every 400 ms, each on its own connection, within the credit that the node has granted. The check: each of their
//! deliveries gets an outcome by half a second after its time.

use crate::client::{message, outcome_text, Client, Lost};
use crate::record::Record;
use crate::{Platform, Verdict};
use sparbank_amqp as amqp;
use sparbank_amqp::{Attach, Performative, Tag, Target, Terminus};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const CLASS: &str = "live-readings";
/// The class's deadline, half a second, and 50 ms as for every time limit on sockets.
const ANSWERED_WITHIN: Duration = Duration::from_millis(1_200 + 500 + 50);
/// The usual clients, which send 7.5 deliveries a second together.
const USUAL_CLIENTS: usize = 3;
const SEND_INTERVAL: Duration = Duration::from_millis(400);
const DELIVERIES: usize = 50;
/// The bad client comes after this time.
const BAD_CLIENT_AT: Duration = Duration::from_secs(3);
/// The bad client's links; the node allows 256 on a connection.
const BAD_LINKS: u32 = 130;
/// What it sends of each message: 4 transfers, each smaller than the node's largest frame of 16,384 octets.
const TRANSFERS: usize = 4;
const TRANSFER_OCTETS: usize = 16_250;

pub fn play(platform: Platform) -> Verdict {
    let mut node = platform.start_node(["read_like", "read_like", "read_like"]);
    let amqp = node.amqp;
    if platform.has_trouble {
        let record = platform.record.clone();
        std::thread::spawn(move || {
            std::thread::sleep(BAD_CLIENT_AT);
            let end = stop_in_the_middle(&record, amqp);
            record.line("bad client", if end.is_ok() { "its connection has ended" } else { "cannot send" });
        });
    }
    let start_usual = |number: usize| {
        let record = platform.record.clone();
        std::thread::spawn(move || UsualClient::new(record, number).run(amqp))
    };
    let clients: Vec<_> = (0..USUAL_CLIENTS).map(start_usual).collect();
    let counts: Vec<_> = clients.into_iter().map(|client| client.join().ok().and_then(Result::ok)).collect();
    node.stop();
    let Some(counts) = counts.into_iter().collect::<Option<Vec<Counts>>>() else {
        return Verdict::CouldNotRun("a usual client has lost its connection".into());
    };
    let sum = |of: fn(&Counts) -> usize| counts.iter().map(of).sum::<usize>();
    let (answered, late, never) = (sum(|c| c.answered), sum(|c| c.late), sum(|c| c.never));
    let total = USUAL_CLIENTS * DELIVERIES;
    let text = format!("{total} deliveries, {answered} answered ({late} of them too late), {never} never");
    platform.record.line("check", &text);
    println!("{text}");
    if late + never > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// What became of a client's deliveries.
struct Counts {
    answered: usize,
    late: usize,
    never: usize,
}

struct UsualClient {
    record: Record,
    name: String,
    number: usize,
    /// The deliveries without an outcome, by id.
    sent_at: BTreeMap<u32, Instant>,
    counts: Counts,
}

impl UsualClient {
    fn new(record: Record, number: usize) -> UsualClient {
        let counts = Counts { answered: 0, late: 0, never: 0 };
        UsualClient { record, name: format!("client {number}"), number, sent_at: BTreeMap::new(), counts }
    }

    fn key(&self, id: u32) -> String {
        format!("{:04x}", 0x4000 + self.number * 0x100 + id as usize)
    }

    fn run(mut self, amqp: SocketAddr) -> Result<Counts, Lost> {
        // The clients do not all send at the same time.
        std::thread::sleep(SEND_INTERVAL * self.number as u32 / USUAL_CLIENTS as u32);
        let mut client = Client::connect(amqp, &format!("archive-{}", self.number), None)?;
        client.attach_sender("readings", CLASS, 0, &[])?;
        self.record.line(&self.name, &format!("has a link with a credit of {}", client.credit));
        if (client.credit as usize) < DELIVERIES {
            return Err(Lost);
        }
        let mut next_at = Instant::now();
        for id in 0..DELIVERIES as u32 {
            self.record.line(&self.name, &format!("sends {}", self.key(id)));
            client.deliver(id, u64::from(id), false, &message(None, &self.key(id)))?;
            self.sent_at.insert(id, Instant::now());
            next_at += SEND_INTERVAL;
            self.read(&mut client, next_at)?;
        }
        self.read(&mut client, Instant::now() + ANSWERED_WITHIN)?;
        let overdue = self.sent_at.iter().filter(|(_, at)| at.elapsed() >= ANSWERED_WITHIN);
        let never: Vec<u32> = overdue.map(|(id, _)| *id).collect();
        for id in &never {
            self.record.line("check", &format!("{} has no outcome", self.key(*id)));
        }
        self.counts.never = never.len();
        Ok(self.counts)
    }

    fn read(&mut self, client: &mut Client, until: Instant) -> Result<(), Lost> {
        client.send_heartbeat()?;
        while let Some(body) = client.next(until)? {
            let Performative::Disposition(disposition) = body else { continue };
            let (Some(first), Some(state)) = (disposition.first, disposition.state) else { continue };
            for id in first..=disposition.last.unwrap_or(first) {
                let Some(at) = self.sent_at.remove(&id) else { continue };
                let after = at.elapsed();
                self.counts.answered += 1;
                self.counts.late += usize::from(after > ANSWERED_WITHIN);
                let text =
                    format!("gets {} after {} ms: {}", self.key(id), after.as_millis(), outcome_text(&state));
                self.record.line(&self.name, &text);
            }
        }
        Ok(())
    }
}

/// The start of a message: an application property whose value is 65,400 octets long and does not end.
fn half_message() -> Vec<u8> {
    let mut out = vec![0x00, 0x53, 0x74, 0xd1];
    // A map of two elements: its size, the count, the name "note", and the size of the value.
    out.extend((65_400u32 + 15).to_be_bytes());
    out.extend(2u32.to_be_bytes());
    out.extend([0xa1, 4, b'n', b'o', b't', b'e', 0xb1]);
    out.extend(65_400u32.to_be_bytes());
    out.resize(TRANSFERS * TRANSFER_OCTETS, b'x');
    out
}

/// Attaches links, sends half a message on each, and stays until the connection ends.
fn stop_in_the_middle(record: &Record, amqp: SocketAddr) -> Result<(), Lost> {
    let mut client = Client::connect(amqp, "noname", None)?;
    for handle in 0..BAD_LINKS {
        let target = Target { address: Some(CLASS.into()), ..Default::default() };
        client.send(Attach {
            name: Some(format!("link-{handle}")),
            handle: Some(handle),
            role: Some(false),
            target: Some(Terminus::Target(target)),
            initial_delivery_count: Some(0),
            ..Default::default()
        })?;
    }
    record.line("bad client", &format!("attaches {BAD_LINKS} links, and sends half a message on each"));
    let message = half_message();
    let (mut sent, mut window_end, mut with_credit) = (0u32, 0u32, std::collections::BTreeSet::new());
    let mut next_handle = 0;
    let end = loop {
        let more = next_handle < BAD_LINKS;
        match client.next(Instant::now() + Duration::from_millis(if more { 1 } else { 1000 })) {
            Ok(Some(Performative::Flow(flow))) => {
                if let (Some(next), Some(window)) = (flow.next_incoming_id, flow.incoming_window) {
                    window_end = window_end.max(next + window);
                }
                if let (Some(handle), Some(1..)) = (flow.handle, flow.link_credit) {
                    with_credit.insert(handle);
                }
                continue;
            }
            Ok(Some(Performative::Detach(detach))) => {
                let why = detach.error.map(|error| error.condition).unwrap_or_default();
                record.line("bad client", &format!("a link is detached: {why}"));
            }
            Ok(Some(Performative::Close(close))) => {
                let why = close.error.map(|error| error.condition).unwrap_or_default();
                record.line("bad client", &format!("its connection is closed: {why}"));
            }
            Ok(_) => {}
            Err(Lost) => break Ok(()),
        }
        while next_handle < BAD_LINKS && with_credit.contains(&next_handle) && sent + 4 <= window_end {
            for (index, piece) in message.chunks(TRANSFER_OCTETS).enumerate() {
                let is_first = index == 0;
                let transfer = amqp::Transfer {
                    handle: Some(next_handle),
                    delivery_id: is_first.then_some(next_handle),
                    delivery_tag: if is_first { Tag::new(&next_handle.to_be_bytes()) } else { None },
                    more: Some(true),
                    ..Default::default()
                };
                client.send_frame(amqp::AMQP, transfer.into(), piece)?;
                sent += 1;
            }
            next_handle += 1;
            if next_handle == BAD_LINKS {
                record.line("bad client", &format!("has sent {sent} transfers, says nothing more and stays"));
            }
        }
    };
    end
}
