//! Two connections that are linked in memory.

use sparbank_amqp::{
    Attach, Connection, Event, Fault, IncomingTransfer, LinkId, OutgoingDelivery, Role, Settings, Target,
    Terminus,
};
use sparbank_time::MonotonicTime;
use std::collections::VecDeque;

/// A client and a server connection, and the octets in transit between them.
pub struct Pair {
    /// The client end and the server end.
    pub ends: [Connection; 2],
    /// The octets that each end has sent and the other has not processed.
    in_transit: [Vec<u8>; 2],
    /// The events of each end that the test has not taken yet.
    pub events: [VecDeque<Event<'static>>; 2],
}

/// A delivery with its key as the tag.
pub fn outgoing(key: u64, settled: bool) -> OutgoingDelivery {
    OutgoingDelivery { key, tag: key.into(), settled }
}

/// Converts an event to an owned one. The payload is replaced with zeros of the same size, as the tests check only
/// sizes.
fn to_owned_event(event: Event<'_>) -> Event<'static> {
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
        Event::Detached { link, mode, error } => Event::Detached { link, mode, error },
        Event::Closed { error } => Event::Closed { error },
    }
}

impl Pair {
    /// Creates a pair of connections that are not open yet.
    pub fn new(client: Settings, server: Settings) -> Pair {
        let ends = [
            Connection::dial(MonotonicTime::ZERO, client, None),
            Connection::accept(MonotonicTime::ZERO, server, None),
        ];
        Pair { ends, in_transit: Default::default(), events: Default::default() }
    }

    /// Passes at most `max_octets` octets from one end to the other.
    pub fn forward(&mut self, from: usize, max_octets: usize) -> Result<(), Fault> {
        let output = self.ends[from].take_output(MonotonicTime::ZERO);
        let in_transit = &mut self.in_transit[from];
        in_transit.extend(output);
        let end = max_octets.min(in_transit.len());
        let mut input = &in_transit[..end];
        while let Some(event) = self.ends[1 - from].next_event(MonotonicTime::ZERO, &mut input)? {
            self.events[1 - from].push_back(to_owned_event(event));
        }
        let processed = end - input.len();
        in_transit.drain(..processed);
        Ok(())
    }

    /// Passes all octets in both directions, eight times, so that both ends have nothing more to send.
    pub fn exchange_all(&mut self) {
        for _ in 0..8 {
            self.forward(0, usize::MAX).expect("the server accepts the input");
            self.forward(1, usize::MAX).expect("the client accepts the input");
        }
    }

    /// Creates an open pair with a session and a link from the client to the server. The link has no credit.
    pub fn linked(client: Settings, server: Settings) -> (Pair, LinkId, LinkId) {
        let mut pair = Pair::new(client, server);
        pair.exchange_all();
        let channel = pair.ends[0].begin().expect("a free channel");
        let target = Some(Terminus::Target(Target { address: Some("a".into()), ..Default::default() }));
        let attach = Attach { target, ..Default::default() };
        let sender_link = pair.ends[0].attach(channel, "l", Role::Sender, attach).expect("a free handle");
        pair.exchange_all();
        let requested = pair.events[1].iter().find_map(|event| match event {
            Event::AttachRequested { link, role: Role::Receiver, attach } => Some((*link, attach.clone())),
            _ => None,
        });
        let (receiver_link, attach) = requested.expect("an AttachRequested event");
        pair.ends[1].accept_link(receiver_link, Attach { target: attach.target, ..Default::default() });
        pair.exchange_all();
        pair.events.iter_mut().for_each(VecDeque::clear);
        (pair, sender_link, receiver_link)
    }
}
