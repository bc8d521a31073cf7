//! Clients that send deliveries one after the other. Some lose their connection and resume their link.

use super::history::{Answer, Effect, History};
use super::node_address::{Incarnation, NodeAddress};
use super::wire::{Ended, SenderAttach, Wire, CLOSE_CROSSES};
use sparbank_amqp::{Disposition, Performative, State};
use sparbank_test_support::invariants::Rule;
use sparbank_test_support::message_with_key;
use std::collections::{BTreeMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::time::{Duration, Instant};

const SEND_INTERVAL: Duration = Duration::from_millis(60);
/// How long a client stays away after it has lost its connection.
const ABSENCE: Duration = Duration::from_millis(120);
/// How long after the client has connected again its old connection ends, if that ends late.
const LATE_END: Duration = Duration::from_millis(90);
/// A client that may not send for this long counts as stopped by the node.
const MAX_TIME_WITHOUT_CREDIT: Duration = Duration::from_secs(2);
/// How long the clients wait for the last answers: several times the time limit of a request.
const LAST_ANSWERS: Duration = Duration::from_secs(5);
const REQUEST_TTL_MS: u32 = 1_200;
const RESUME_TIMEOUT_SECONDS: u32 = 20;

/// How a client loses its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Both ends notice at once.
    Noticed,
    /// The node notices only after the client has resumed its link on another connection.
    NoticedLate,
    /// The next connection is lost as well, before the client has resumed its deliveries.
    Twice,
}

/// What a sender does.
pub struct SenderOptions {
    /// The number of the client, which its keys contain.
    pub number: usize,
    /// The node that it sends to.
    pub node: Arc<NodeAddress>,
    /// The class that it sends to.
    pub class: &'static str,
    /// The effect of that class.
    pub effect: Effect,
    /// The losses of its connection, as they happen; `None` for a client that does not resume its link.
    pub losses: Option<Receiver<Loss>>,
}

/// A delivery that has no outcome yet.
struct OpenDelivery {
    tag: u64,
    key: String,
    sent_at: Instant,
}

struct Sender<'a> {
    options: &'a SenderOptions,
    history: &'a History,
    wire: Wire,
    /// The process that the client is connected to.
    incarnation: Incarnation,
    /// The previous connection, if its end is to be late, and when it ends.
    old_wire: Option<(Instant, Wire)>,
    next_id: u32,
    next_tag: u64,
    next_key: u64,
    /// The number of deliveries that the link's credit has allowed so far, and of those that were sent.
    allowed: u32,
    sent: u32,
    has_credit_at: Instant,
    open: BTreeMap<u32, OpenDelivery>,
    /// Requests that were not run and are sent again.
    again: Vec<String>,
    retried: HashSet<String>,
}

/// Sends until the run stops, and waits for the last answers.
pub fn run(options: &SenderOptions, history: &Arc<History>, stop: &AtomicBool) {
    let result = Sender::connect(options, history).and_then(|mut sender| sender.run(stop));
    if result.is_err() {
        let detail = format!("client {} has lost a connection that was not cut", options.number);
        history.report(Rule::CutOff, detail);
    }
}

impl<'a> Sender<'a> {
    fn connect(options: &'a SenderOptions, history: &'a History) -> Result<Sender<'a>, Ended> {
        let incarnation = options.node.wait_for_node();
        let wire = attach(options, incarnation, &[])?;
        Ok(Sender {
            options,
            history,
            wire,
            incarnation,
            old_wire: None,
            next_id: 0,
            next_tag: 0,
            next_key: 0,
            allowed: 0,
            sent: 0,
            has_credit_at: Instant::now(),
            open: BTreeMap::new(),
            again: Vec::new(),
            retried: HashSet::new(),
        })
    }

    fn run(&mut self, stop: &AtomicBool) -> Result<(), Ended> {
        let mut result = self.send_until(stop);
        while result.is_err() && self.options.node.has_ended(self.incarnation) {
            result = self.connect_again().and_then(|()| self.send_until(stop));
        }
        result
    }

    /// Connects to the restarted node. A client that resumes its link loses its next connection as well, every other time,
    /// before it has resumed its deliveries.
    fn connect_again(&mut self) -> Result<(), Ended> {
        if self.options.losses.is_none() {
            for delivery in std::mem::take(&mut self.open).into_values() {
                self.history.on_answer(&delivery.key, Answer::MayHaveRun);
            }
        }
        self.has_credit_at = Instant::now();
        let loss = if self.next_key.is_multiple_of(2) { Loss::Twice } else { Loss::Noticed };
        self.resume(loss)
    }

    fn send_until(&mut self, stop: &AtomicBool) -> Result<(), Ended> {
        let mut next_at = Instant::now();
        while !stop.load(Ordering::Relaxed) {
            let loss = self.options.losses.as_ref().and_then(|losses| losses.try_recv().ok());
            if let Some(loss) = loss {
                self.lose_connection(loss)?;
            }
            self.end_old_connection();
            self.read()?;
            if Instant::now() >= next_at {
                next_at = Instant::now() + SEND_INTERVAL;
                self.send_next()?;
            }
        }
        let deadline = Instant::now() + LAST_ANSWERS;
        while Instant::now() < deadline && !self.open.is_empty() {
            self.end_old_connection();
            self.read()?;
        }
        Ok(())
    }

    fn send_next(&mut self) -> Result<(), Ended> {
        if self.sent == self.allowed {
            if self.has_credit_at.elapsed() > MAX_TIME_WITHOUT_CREDIT {
                let detail = format!("client {} has no credit", self.options.number);
                self.history.report(Rule::Lost, detail);
                self.has_credit_at = Instant::now();
            }
            return Ok(());
        }
        self.has_credit_at = Instant::now();
        let key = self.again.pop().unwrap_or_else(|| {
            self.next_key += 1;
            format!("sender-{}-{}", self.options.number, self.next_key)
        });
        self.history.on_sent(&key, self.options.effect);
        let tag = self.free_tag();
        self.deliver(OpenDelivery { tag, key, sent_at: Instant::now() }, false)
    }

    /// The next tag that no delivery without an outcome has.
    fn free_tag(&mut self) -> u64 {
        while self.open.values().any(|delivery| delivery.tag == self.next_tag) {
            self.next_tag += 1;
        }
        self.next_tag += 1;
        self.next_tag - 1
    }

    fn deliver(&mut self, delivery: OpenDelivery, resumes: bool) -> Result<(), Ended> {
        let message = message_with_key(REQUEST_TTL_MS, &delivery.key, b"reading");
        let (id, tag) = (self.next_id, delivery.tag);
        self.next_id += 1;
        self.sent += 1;
        // What the node gets of a delivery on a connection that ends is not known.
        self.open.insert(id, delivery);
        self.wire.deliver(id, tag, resumes, &message)
    }

    fn read(&mut self) -> Result<(), Ended> {
        while let Some(body) = self.wire.poll()? {
            match body {
                Performative::Flow(flow) if flow.handle.is_some() => {
                    let count = flow.delivery_count.unwrap_or(0);
                    self.allowed = count + flow.link_credit.unwrap_or(0);
                }
                Performative::Disposition(disposition) => self.on_disposition(&disposition),
                Performative::Close(_) => return self.on_close(),
                _ => {}
            }
        }
        Ok(())
    }

    /// The node closes the connection: the deliveries that it has received must have their outcomes.
    fn on_close(&mut self) -> Result<(), Ended> {
        for delivery in self.open.values().filter(|delivery| delivery.sent_at.elapsed() > CLOSE_CROSSES) {
            self.history.report(Rule::Lost, format!("{}: no outcome before the close", delivery.key));
        }
        Err(Ended)
    }

    fn on_disposition(&mut self, disposition: &Disposition) {
        let (Some(first), Some(state)) = (disposition.first, &disposition.state) else { return };
        for id in first..=disposition.last.unwrap_or(first) {
            let Some(delivery) = self.open.remove(&id) else { continue };
            let answer = answer_of(state);
            self.history.on_answer(&delivery.key, answer);
            if answer == Answer::NotRun && self.retried.insert(delivery.key.clone()) {
                self.again.push(delivery.key);
            }
        }
    }

    fn lose_connection(&mut self, loss: Loss) -> Result<(), Ended> {
        // What has arrived before the loss is known to the client.
        self.read()?;
        if loss != Loss::NoticedLate {
            let _ = self.wire.reset();
            std::thread::sleep(ABSENCE);
        }
        self.resume(loss)
    }

    /// Attaches the link on a new connection, and resumes the deliveries that have no outcome.
    fn resume(&mut self, loss: Loss) -> Result<(), Ended> {
        let unsettled: Vec<u64> = self.open.values().map(|delivery| delivery.tag).collect();
        if loss == Loss::Twice {
            let lost = self.attach(&unsettled)?;
            let _ = lost.reset();
            std::thread::sleep(ABSENCE);
        }
        let wire = self.attach(&unsettled)?;
        let old = std::mem::replace(&mut self.wire, wire);
        if loss == Loss::NoticedLate {
            self.old_wire = Some((Instant::now() + LATE_END, old));
        }
        (self.next_id, self.next_tag, self.allowed, self.sent) = (0, 0, 0, 0);
        let mut unresumed = std::mem::take(&mut self.open).into_values();
        let result = unresumed.by_ref().try_for_each(|delivery| self.deliver(delivery, true));
        for delivery in unresumed {
            self.open.insert(self.next_id, delivery);
            self.next_id += 1;
        }
        result
    }

    fn attach(&mut self, unsettled: &[u64]) -> Result<Wire, Ended> {
        self.incarnation = self.options.node.wait_for_node();
        attach(self.options, self.incarnation, unsettled)
    }

    fn end_old_connection(&mut self) {
        if self.old_wire.as_ref().is_some_and(|(at, _)| *at <= Instant::now()) {
            self.old_wire = None;
        }
    }
}

/// Connects and attaches the client's link, with these tags in its unsettled map.
fn attach(options: &SenderOptions, incarnation: Incarnation, unsettled: &[u64]) -> Result<Wire, Ended> {
    let mut wire = Wire::connect(incarnation.address, &format!("sender-{}", options.number))?;
    let timeout_seconds = if options.losses.is_some() { RESUME_TIMEOUT_SECONDS } else { 0 };
    wire.send_sender_attach(SenderAttach {
        name: "readings".into(),
        handle: 0,
        class: options.class,
        timeout_seconds,
        unsettled: unsettled.to_vec(),
    })?;
    wire.wait_for(|body| matches!(body, Performative::Attach(_)))?;
    Ok(wire)
}

fn answer_of(state: &State) -> Answer {
    match state {
        State::Accepted => Answer::Served,
        State::Released | State::Modified { delivery_failed: false, .. } => Answer::NotRun,
        _ => Answer::MayHaveRun,
    }
}
