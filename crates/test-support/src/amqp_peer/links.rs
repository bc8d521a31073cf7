//! Links of an AMQP peer, their credit, and the messages sent and received on them.

use super::{AmqpPeer, ReceivedMessage};
use crate::read_until;
use sparbank_amqp as amqp;
use sparbank_amqp::{Attach, Performative, Source, State, Target, Terminus};

impl AmqpPeer {
    /// Attaches a sending link to this address, waits for credit and returns it.
    ///
    /// # Errors
    /// The node detached the link.
    pub fn attach_sender(&mut self, address: &str) -> Result<u32, amqp::Detach> {
        let address = Some(address.to_string());
        let target = Some(Terminus::Target(Target { address, ..Default::default() }));
        let (name, handle, role) = (Some("link".to_string()), Some(0), Some(false));
        let count = Some(0);
        let attach =
            amqp::Attach { name, handle, role, target, initial_delivery_count: count, ..Default::default() };
        self.send_performative(attach);
        loop {
            match self.read_performative().0 {
                Performative::Flow(flow) => return Ok(flow.link_credit.expect("flow without link credit")),
                Performative::Detach(detach) => return Err(detach),
                _ => {}
            }
        }
    }

    /// Sends the attach of a sending link to this address, with this handle, and does not wait for the answer.
    pub fn send_sender_attach(&mut self, handle: u32, address: &str) {
        let target = Target { address: Some(address.to_string()), ..Default::default() };
        self.send_performative(Attach {
            name: Some(format!("link-{handle}")),
            handle: Some(handle),
            role: Some(false),
            target: Some(Terminus::Target(target)),
            initial_delivery_count: Some(0),
            ..Default::default()
        });
    }

    /// Attaches a receiving link from this source and returns the node's attach.
    ///
    /// # Errors
    /// The node detached the link.
    pub fn attach_receiver(&mut self, handle: u32, source: Source) -> Result<Attach, amqp::Detach> {
        let (name, role) = (Some(format!("from-{handle}")), Some(true));
        let (source, target) = (Some(source), Some(Terminus::Target(Target::default())));
        let handle = Some(handle);
        self.send_performative(Attach { name, handle, role, source, target, ..Default::default() });
        let (attach, _) = read_until!(self, Attach);
        if attach.source.is_some() {
            return Ok(*attach);
        }
        Err(read_until!(self, Detach).0)
    }

    /// Grants credit on a receiving link of this client.
    pub fn grant_credit(&mut self, handle: u32, count: u32, credit: u32) {
        self.send_performative(amqp::Flow {
            next_incoming_id: Some(0),
            incoming_window: Some(1000),
            next_outgoing_id: Some(0),
            outgoing_window: Some(100),
            handle: Some(handle),
            delivery_count: Some(count),
            link_credit: Some(credit),
            ..Default::default()
        });
    }

    /// Grants credit on a receiving link of this client, with an incoming window of a million frames.
    pub fn grant_credit_wide(&mut self, handle: u32, credit: u32) {
        self.send_performative(amqp::Flow {
            next_incoming_id: Some(0),
            incoming_window: Some(1_000_000),
            next_outgoing_id: Some(0),
            outgoing_window: Some(100),
            handle: Some(handle),
            delivery_count: Some(0),
            link_credit: Some(credit),
            ..Default::default()
        });
    }

    /// Accepts the node's receiving link as a server, which sends on it with this handle. Returns the node's attach.
    pub fn accept_receiving_link(&mut self, handle: u32) -> Attach {
        let (attach, _) = read_until!(self, Attach);
        assert_eq!(attach.role, Some(true), "the node's link is not a receiving link");
        self.send_performative(Attach {
            name: attach.name.clone(),
            handle: Some(handle),
            role: Some(false),
            source: attach.source.clone(),
            target: attach.target.clone(),
            initial_delivery_count: Some(0),
            ..Default::default()
        });
        *attach
    }

    /// Sends a delivery in a single transfer on this link, with a four-byte delivery tag.
    pub fn send(&mut self, handle: u32, id: u32, message: &[u8]) {
        let (handle, delivery_tag) = (Some(handle), amqp::Tag::new(&id.to_be_bytes()));
        let transfer = amqp::Transfer { handle, delivery_id: Some(id), delivery_tag, ..Default::default() };
        self.send_frame(amqp::AMQP, transfer.into(), message);
    }

    /// Sends a delivery in a single transfer on the link with handle 0, with a one-byte delivery tag.
    pub fn send_on_first_link(&mut self, id: u32, message: &[u8]) {
        let (handle, delivery_id, delivery_tag) = (Some(0), Some(id), amqp::Tag::new(&[id as u8]));
        let transfer = amqp::Transfer { handle, delivery_id, delivery_tag, ..Default::default() };
        self.send_frame(amqp::AMQP, transfer.into(), message);
    }

    /// Sends a delivery on the link with handle 0, split into transfers of this size.
    pub fn deliver_in_transfers(&mut self, id: u32, message: &[u8], transfer_bytes: usize) {
        let count = message.len().div_ceil(transfer_bytes);
        for (index, piece) in message.chunks(transfer_bytes).enumerate() {
            let transfer = amqp::Transfer {
                handle: Some(0),
                delivery_id: Some(id),
                delivery_tag: amqp::Tag::new(&id.to_be_bytes()),
                more: Some(index + 1 < count),
                ..Default::default()
            };
            self.send_frame(amqp::AMQP, transfer.into(), piece);
        }
    }

    /// Reads the next complete message, assembled from its transfers.
    pub fn receive_message(&mut self) -> ReceivedMessage {
        let (mut delivery_id, mut bytes) = (None, Vec::new());
        loop {
            let (transfer, payload) = read_until!(self, Transfer);
            delivery_id = delivery_id.or(transfer.delivery_id);
            bytes.extend(payload);
            if transfer.more != Some(true) {
                return ReceivedMessage { delivery_id: delivery_id.expect("delivery without an id"), bytes };
            }
        }
    }

    /// Reads the next disposition and returns its delivery state.
    pub fn receive_delivery_state(&mut self) -> State {
        read_until!(self, Disposition).0.state.expect("disposition without a state")
    }

    /// Accepts the node's sending link, and grants it credit and an incoming window of this many frames.
    pub fn accept_sending_link(&mut self, credit: u32, window: u32) {
        let (attach, _) = read_until!(self, Attach);
        let (name, handle, target) = (attach.name, Some(7), attach.target);
        self.send_performative(amqp::Attach { name, handle, role: Some(true), target, ..Default::default() });
        self.grant_server_credit(credit, 0, window);
    }

    /// Sends a flow that grants credit on the node's sending link, with an incoming window of this many frames.
    pub fn grant_server_credit(&mut self, credit: u32, next_incoming: u32, window: u32) {
        self.send_performative(amqp::Flow {
            next_incoming_id: Some(next_incoming),
            incoming_window: Some(window),
            next_outgoing_id: Some(0),
            outgoing_window: Some(100),
            handle: Some(7),
            delivery_count: Some(0),
            link_credit: Some(credit),
            ..Default::default()
        });
    }

    /// Settles one of the node's deliveries with this state.
    pub fn settle(&mut self, id: u32, state: State) {
        let (role, first, settled) = (Some(true), Some(id), Some(true));
        self.send_performative(amqp::Disposition {
            role,
            first,
            settled,
            state: Some(state),
            ..Default::default()
        });
    }
}
