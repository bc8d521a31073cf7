//! Two connections against each other, in memory.

use sparbank_amqp::{
    Attach, Connection, Event, Fault, IncomingTransfer, LinkId, Outgoing, Role, Settings, Target, Terminus,
};
use sparbank_time::MonotonicTime;
use std::collections::VecDeque;

/// Two ends and the octets between them.
pub struct Pair {
    pub ends: [Connection; 2],
    wires: [Vec<u8>; 2],
    pub events: [VecDeque<Event<'static>>; 2],
}

/// A delivery whose tag is its key.
pub fn out(key: u64, settled: bool) -> Outgoing {
    Outgoing { key, tag: key.into(), settled }
}

/// The event with a payload of zeros, of the same size: the tests look at sizes alone.
fn owned(event: Event<'_>) -> Event<'static> {
    match event {
        Event::Transfer { link, transfer } => {
            let IncomingTransfer { id, tag, first, last, aborted, settled, resume, payload } = transfer;
            let payload: &'static [u8] = &[0; 65536][..payload.len()];
            Event::Transfer {
                link,
                transfer: IncomingTransfer { id, tag, first, last, aborted, settled, resume, payload },
            }
        }
        Event::SaslRequest(request) => Event::SaslRequest(request),
        Event::Opened {} => Event::Opened {},
        Event::Began { channel } => Event::Began { channel },
        Event::Ended { channel } => Event::Ended { channel },
        Event::AttachRequested { link, role, attach } => Event::AttachRequested { link, role, attach },
        Event::Attached { link, attach } => Event::Attached { link, attach },
        Event::Credit { link } => Event::Credit { link },
        Event::SessionWindow { channel } => Event::SessionWindow { channel },
        Event::Settled { link, id, key, state } => Event::Settled { link, id, key, state },
        Event::SettledBySender { link, key } => Event::SettledBySender { link, key },
        Event::DeliveryLost { link, role, key } => Event::DeliveryLost { link, role, key },
        Event::Detached { link, end, error } => Event::Detached { link, end, error },
        Event::Closed { error } => Event::Closed { error },
    }
}

impl Pair {
    /// Two ends that are not open yet.
    pub fn new(client: Settings, server: Settings) -> Pair {
        let ends = [
            Connection::dial(MonotonicTime::ZERO, client, None),
            Connection::accept(MonotonicTime::ZERO, server, None),
        ];
        Pair { ends, wires: Default::default(), events: Default::default() }
    }

    /// Carries at most this many octets from one end to the other.
    pub fn carry(&mut self, from: usize, most: usize) -> Result<(), Fault> {
        let out = self.ends[from].take_output(MonotonicTime::ZERO);
        let wire = &mut self.wires[from];
        wire.extend(out);
        let end = most.min(wire.len());
        let mut left = &wire[..end];
        while let Some(event) = self.ends[1 - from].next_event(MonotonicTime::ZERO, &mut left)? {
            self.events[1 - from].push_back(owned(event));
        }
        let taken = end - left.len();
        wire.drain(..taken);
        Ok(())
    }

    /// Carries everything until nothing more is sent.
    pub fn settle_down(&mut self) {
        for _ in 0..8 {
            self.carry(0, usize::MAX).expect("sound");
            self.carry(1, usize::MAX).expect("sound");
        }
    }

    /// An open pair with a session and a link from the first end to the second, without credit.
    pub fn linked(client: Settings, server: Settings) -> (Pair, LinkId, LinkId) {
        let mut pair = Pair::new(client, server);
        pair.settle_down();
        let channel = pair.ends[0].begin().expect("room");
        let target = Some(Terminus::Target(Target { address: Some("a".into()), ..Default::default() }));
        let attach = Attach { target, ..Default::default() };
        let ours = pair.ends[0].attach(channel, "l", Role::Sender, attach).expect("room");
        pair.settle_down();
        let requested = pair.events[1].iter().find_map(|event| match event {
            Event::AttachRequested { link, role: Role::Receiver, attach } => Some((*link, attach.clone())),
            _ => None,
        });
        let (theirs, attach) = requested.expect("the link is requested");
        pair.ends[1].accept_link(theirs, Attach { target: attach.target, ..Default::default() });
        pair.settle_down();
        pair.events.iter_mut().for_each(VecDeque::clear);
        (pair, ours, theirs)
    }
}
