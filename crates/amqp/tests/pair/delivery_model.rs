//! A model of a link: random steps on both ends, and the invariants of the deliveries after each step.

use crate::pair::{outgoing, Pair};
use proptest::prelude::*;
use sparbank_amqp::{Event, LinkId, Settings, State};
use std::collections::{BTreeSet, VecDeque};

/// The limit of pending output at the sender, in octets.
const CAPACITY: usize = 1 << 16;
/// The number of exchanges after which all deliveries must be settled.
const FINAL_ROUNDS: usize = 64;

/// An action of either end.
#[derive(Clone, Debug)]
pub enum Step {
    /// The receiver grants this credit.
    GrantCredit(u32),
    /// The sender sends a payload of this size, which ends the delivery if the flag is set.
    Send(usize, bool),
    /// The sender aborts the incomplete delivery.
    Abort,
    /// The receiver accepts a delivery.
    Settle,
    /// Octets of the given end reach the other, up to this number.
    Forward(usize, usize),
    /// The sender returns its credit if the receiver drains the link.
    ReturnCredit,
}

pub fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u32..8).prop_map(Step::GrantCredit),
        (0usize..3000, any::<bool>()).prop_map(|(size, last)| Step::Send(size, last)),
        Just(Step::Abort),
        Just(Step::Settle),
        (0usize..2, 1usize..2000).prop_map(|(from, max_octets)| Step::Forward(from, max_octets)),
        Just(Step::ReturnCredit),
    ]
}

/// A link from the client to the server, and the expected state of its deliveries.
pub struct DeliveryModel {
    pair: Pair,
    /// The link at the client.
    sender_link: LinkId,
    /// The link at the server.
    receiver_link: LinkId,
    next_key: u64,
    /// The key of the delivery that is not sent completely.
    incomplete: Option<u64>,
    /// The keys of the deliveries that are neither settled nor aborted.
    unsettled: BTreeSet<u64>,
    /// The ids of the deliveries that were received completely and are not settled.
    received: VecDeque<u32>,
    /// The total credit that the server granted.
    granted: u32,
    /// The number of deliveries of which the server received the first transfer.
    started: u32,
}

impl DeliveryModel {
    pub fn new(client: Settings, server: Settings) -> DeliveryModel {
        let (pair, sender_link, receiver_link) = Pair::linked(client, server);
        DeliveryModel {
            pair,
            sender_link,
            receiver_link,
            next_key: 0,
            incomplete: None,
            unsettled: BTreeSet::new(),
            received: VecDeque::new(),
            granted: 0,
            started: 0,
        }
    }

    /// Performs a step. Checks that no delivery is settled twice and that none is started without credit.
    pub fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::GrantCredit(credit) => self.grant(credit),
            Step::Send(size, last) => self.send(size, last),
            Step::Abort => self.abort(),
            Step::Settle => {
                if let Some(id) = self.received.pop_front() {
                    self.pair.ends[1].settle(self.receiver_link.channel, id, State::Accepted);
                }
            }
            Step::Forward(from, max_octets) => {
                self.pair.forward(from, max_octets).expect("the peer accepts the input")
            }
            Step::ReturnCredit => self.pair.ends[0].return_credit(self.sender_link),
        }
        self.take_events();
        let (started, granted) = (self.started, self.granted);
        prop_assert!(started <= granted, "{started} deliveries started with a credit of {granted}");
        Ok(())
    }

    /// Completes and settles all deliveries. Checks that neither end has unsettled deliveries afterwards.
    pub fn finish(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..FINAL_ROUNDS {
            self.complete_delivery();
            self.pair.exchange_all();
            self.take_events();
            while let Some(id) = self.received.pop_front() {
                self.pair.ends[1].settle(self.receiver_link.channel, id, State::Accepted);
            }
        }
        prop_assert!(self.unsettled.is_empty(), "{:?} were never settled", self.unsettled);
        let unsettled =
            [self.pair.ends[0].unsettled(self.sender_link), self.pair.ends[1].unsettled(self.receiver_link)];
        prop_assert_eq!(unsettled, [0, 0]);
        Ok(())
    }

    fn grant(&mut self, credit: u32) {
        let receiver = &mut self.pair.ends[1];
        let before = receiver.credit(self.receiver_link);
        receiver.set_credit(self.receiver_link, credit.max(before));
        self.granted += receiver.credit(self.receiver_link) - before;
    }

    fn send(&mut self, size: usize, last: bool) {
        let key = self.incomplete.unwrap_or(self.next_key);
        let sent =
            self.pair.ends[0].send(self.sender_link, outgoing(key, false), &vec![0; size], last, CAPACITY);
        if sent.started && self.incomplete.is_none() {
            self.next_key += 1;
            self.incomplete = Some(key);
            self.unsettled.insert(key);
        }
        if sent.complete {
            self.incomplete = None;
        }
    }

    /// Sends the last transfer of the incomplete delivery.
    fn complete_delivery(&mut self) {
        let sender = &mut self.pair.ends[0];
        let Some(key) = self.incomplete.filter(|_| sender.is_sending(self.sender_link)) else { return };
        if sender.send(self.sender_link, outgoing(key, false), &[1], true, CAPACITY).complete {
            self.incomplete = None;
        }
    }

    fn abort(&mut self) {
        if let Some(key) = self.incomplete.take() {
            self.pair.ends[0].abort(self.sender_link);
            self.unsettled.remove(&key);
        }
    }

    fn take_events(&mut self) {
        while let Some(event) = self.pair.events[1].pop_front() {
            if let Event::Transfer { transfer, .. } = event {
                self.started += u32::from(transfer.first);
                if transfer.last && !transfer.aborted {
                    self.received.push_back(transfer.id);
                }
            }
        }
        while let Some(event) = self.pair.events[0].pop_front() {
            if let Event::Settled { key, .. } = event {
                assert!(self.unsettled.remove(&key), "delivery {key} was settled twice");
            }
        }
    }
}
