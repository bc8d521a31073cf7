//! Steps on a link in any order, and what has to hold of its deliveries after each.

use crate::pair::{out, Pair};
use proptest::prelude::*;
use sparbank_amqp::{Event, LinkId, Settings, State};
use std::collections::{BTreeSet, VecDeque};

/// The octets of pending output up to which a step sends.
const CAPACITY: usize = 1 << 16;
/// Rounds after which nothing is left over.
const FINAL_ROUNDS: usize = 64;

/// What either end does next.
#[derive(Clone, Debug)]
pub enum Step {
    Grant(u32),
    Send(usize, bool),
    Abort,
    Settle,
    Carry(usize, usize),
    Drain,
}

pub fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u32..8).prop_map(Step::Grant),
        (0usize..3000, any::<bool>()).prop_map(|(size, last)| Step::Send(size, last)),
        Just(Step::Abort),
        Just(Step::Settle),
        (0usize..2, 1usize..2000).prop_map(|(from, most)| Step::Carry(from, most)),
        Just(Step::Drain),
    ]
}

/// A link from the first end of a pair to the second, and its deliveries.
pub struct DeliveryModel {
    pair: Pair,
    /// The link at the first end.
    ours: LinkId,
    /// The link at the second end.
    theirs: LinkId,
    next_key: u64,
    /// The delivery that was sent partly.
    sending: Option<u64>,
    /// Deliveries that have not ended.
    open: BTreeSet<u64>,
    /// Deliveries that were received completely and are not settled.
    complete: VecDeque<u32>,
    /// Credit that the second end granted, and deliveries that it received the start of.
    granted: u32,
    begun: u32,
}

impl DeliveryModel {
    pub fn new(client: Settings, server: Settings) -> DeliveryModel {
        let (pair, ours, theirs) = Pair::linked(client, server);
        DeliveryModel {
            pair,
            ours,
            theirs,
            next_key: 0,
            sending: None,
            open: BTreeSet::new(),
            complete: VecDeque::new(),
            granted: 0,
            begun: 0,
        }
    }

    /// Does one step. No delivery ends twice, and none begins without credit.
    pub fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Grant(credit) => self.grant(credit),
            Step::Send(size, last) => self.send(size, last),
            Step::Abort => self.abort(),
            Step::Settle => {
                if let Some(id) = self.complete.pop_front() {
                    self.pair.ends[1].settle(self.theirs.channel, id, State::Accepted);
                }
            }
            Step::Carry(from, most) => self.pair.carry(from, most).expect("both keep to the standard"),
            Step::Drain => self.pair.ends[0].return_credit(self.ours),
        }
        self.take_events();
        let (begun, granted) = (self.begun, self.granted);
        prop_assert!(begun <= granted, "{begun} deliveries on a credit of {granted}");
        Ok(())
    }

    /// Whatever is on its way comes through, is settled, and nothing is left over.
    pub fn finish(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..FINAL_ROUNDS {
            self.send_rest();
            self.pair.settle_down();
            self.take_events();
            while let Some(id) = self.complete.pop_front() {
                self.pair.ends[1].settle(self.theirs.channel, id, State::Accepted);
            }
        }
        prop_assert!(self.open.is_empty(), "{:?} never ended", self.open);
        let unsettled = [self.pair.ends[0].unsettled(self.ours), self.pair.ends[1].unsettled(self.theirs)];
        prop_assert_eq!(unsettled, [0, 0]);
        Ok(())
    }

    fn grant(&mut self, credit: u32) {
        let receiver = &mut self.pair.ends[1];
        let before = receiver.credit(self.theirs);
        receiver.set_credit(self.theirs, credit.max(before));
        self.granted += receiver.credit(self.theirs) - before;
    }

    fn send(&mut self, size: usize, last: bool) {
        let key = self.sending.unwrap_or(self.next_key);
        let sent = self.pair.ends[0].send(self.ours, out(key, false), &vec![0; size], last, CAPACITY);
        if sent.started && self.sending.is_none() {
            self.next_key += 1;
            self.sending = Some(key);
            self.open.insert(key);
        }
        if sent.complete {
            self.sending = None;
        }
    }

    /// Sends the end of the delivery that was sent partly.
    fn send_rest(&mut self) {
        let sender = &mut self.pair.ends[0];
        let Some(key) = self.sending.filter(|_| sender.is_sending(self.ours)) else { return };
        if sender.send(self.ours, out(key, false), &[1], true, CAPACITY).complete {
            self.sending = None;
        }
    }

    fn abort(&mut self) {
        if let Some(key) = self.sending.take() {
            self.pair.ends[0].abort(self.ours);
            self.open.remove(&key);
        }
    }

    fn take_events(&mut self) {
        while let Some(event) = self.pair.events[1].pop_front() {
            if let Event::Transfer { transfer, .. } = event {
                self.begun += u32::from(transfer.first);
                if transfer.last && !transfer.aborted {
                    self.complete.push_back(transfer.id);
                }
            }
        }
        while let Some(event) = self.pair.events[0].pop_front() {
            if let Event::Settled { key, .. } = event {
                assert!(self.open.remove(&key), "{key} ended twice");
            }
        }
    }
}
