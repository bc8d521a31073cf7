//! A client that attaches receiving links, each of which is a request that must not run twice.

use super::history::{Answer, Effect, History};
use super::node_address::{Incarnation, NodeAddress};
use super::wire::{Ended, Wire, CLOSE_CROSSES};
use sparbank_amqp::{condition, Attach, Detach, Performative, Source, Target, Terminus, Value};
use sparbank_test_support::invariants::Rule;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const CONTAINER: &str = "subscriber";
const ATTACH_INTERVAL: Duration = Duration::from_millis(50);
/// How long the client waits for the last answers.
const LAST_ANSWERS: Duration = Duration::from_secs(5);

struct Subscriber<'a> {
    node: &'a NodeAddress,
    history: &'a History,
    class: &'static str,
    wire: Wire,
    /// The process that the client is connected to.
    incarnation: Incarnation,
    next_handle: u32,
    next_key: u64,
    /// The keys of the requests, by the names of their links.
    keys: HashMap<String, String>,
    /// The names of the links, by the handles that the node has given them.
    names: HashMap<u32, String>,
    /// When the requests without an answer were sent.
    unanswered: HashMap<String, Instant>,
    /// Requests that are attached again, and when.
    again: Vec<(Instant, String)>,
    retried: HashSet<String>,
}

/// Attaches links until the run stops, and waits for the last answers.
pub fn run(node: &NodeAddress, class: &'static str, history: &Arc<History>, stop: &AtomicBool) {
    let result = Subscriber::connect(node, class, history).and_then(|mut subscriber| subscriber.run(stop));
    if result.is_err() {
        history.report(Rule::CutOff, "the subscriber has lost its connection".into());
    }
}

impl<'a> Subscriber<'a> {
    fn connect(
        node: &'a NodeAddress,
        class: &'static str,
        history: &'a History,
    ) -> Result<Subscriber<'a>, Ended> {
        let incarnation = node.wait_for_node();
        Ok(Subscriber {
            node,
            history,
            class,
            wire: Wire::connect(incarnation.address, CONTAINER)?,
            incarnation,
            next_handle: 0,
            next_key: 0,
            keys: HashMap::new(),
            names: HashMap::new(),
            unanswered: HashMap::new(),
            again: Vec::new(),
            retried: HashSet::new(),
        })
    }

    fn run(&mut self, stop: &AtomicBool) -> Result<(), Ended> {
        let mut result = self.attach_until(stop);
        while result.is_err() && self.node.has_ended(self.incarnation) {
            result = self.connect_again().and_then(|()| self.attach_until(stop));
        }
        result
    }

    /// Connects to the restarted node, which knows nothing of the links.
    fn connect_again(&mut self) -> Result<(), Ended> {
        for (_, key) in self.keys.drain() {
            self.history.on_answer(&key, Answer::MayHaveRun);
        }
        self.unanswered.clear();
        self.names.clear();
        self.incarnation = self.node.wait_for_node();
        self.wire = Wire::connect(self.incarnation.address, CONTAINER)?;
        Ok(())
    }

    fn attach_until(&mut self, stop: &AtomicBool) -> Result<(), Ended> {
        let mut next_at = Instant::now();
        while !stop.load(Ordering::Relaxed) {
            if Instant::now() >= next_at {
                next_at += ATTACH_INTERVAL;
                self.next_key += 1;
                self.attach(format!("subscriber-{}", self.next_key))?;
            }
            self.read()?;
            self.attach_again()?;
        }
        let deadline = Instant::now() + LAST_ANSWERS;
        while Instant::now() < deadline && !self.unanswered.is_empty() {
            self.read()?;
        }
        Ok(())
    }

    fn attach(&mut self, key: String) -> Result<(), Ended> {
        self.history.on_sent(&key, Effect::NonIdempotent);
        let handle = self.next_handle;
        self.next_handle += 1;
        let name = format!("link-{handle}");
        let properties = Value::Map(vec![(Value::symbol("key"), Value::text(&key))]);
        self.keys.insert(name.clone(), key.clone());
        self.unanswered.insert(key, Instant::now());
        let attach = Attach {
            name: Some(name),
            handle: Some(handle),
            role: Some(true),
            source: Some(Source { address: Some(self.class.into()), ..Source::default() }),
            target: Some(Terminus::Target(Target::default())),
            properties: Some(properties),
            ..Attach::default()
        };
        self.wire.send(attach, &[])
    }

    fn attach_again(&mut self) -> Result<(), Ended> {
        let now = Instant::now();
        let due: Vec<_> = self.again.extract_if(.., |(at, _)| *at <= now).collect();
        due.into_iter().try_for_each(|(_, key)| self.attach(key))
    }

    fn read(&mut self) -> Result<(), Ended> {
        while let Some(body) = self.wire.poll()? {
            match body {
                Performative::Attach(attach) => self.on_attach(&attach),
                Performative::Detach(detach) => self.on_detach(&detach)?,
                Performative::Close(_) => return self.on_close(),
                _ => {}
            }
        }
        Ok(())
    }

    /// The node closes the connection: the requests that it has received must have their answers.
    fn on_close(&mut self) -> Result<(), Ended> {
        for (key, _) in self.unanswered.iter().filter(|(_, sent_at)| sent_at.elapsed() > CLOSE_CROSSES) {
            self.history.report(Rule::Lost, format!("{key}: no answer before the close"));
        }
        Err(Ended)
    }

    fn on_attach(&mut self, attach: &Attach) {
        let (Some(handle), Some(name)) = (attach.handle, attach.name.clone()) else { return };
        if attach.source.is_some() {
            self.answer(&name, Answer::Served);
        }
        self.names.insert(handle, name);
    }

    fn on_detach(&mut self, detach: &Detach) -> Result<(), Ended> {
        let Some(name) = detach.handle.and_then(|handle| self.names.remove(&handle)) else { return Ok(()) };
        let error = detach.error.as_deref();
        let retry_after = error.and_then(|error| error.info.as_ref()?.get("retry-after"));
        let is_rejected = error.is_some_and(|error| error.condition == condition::RESOURCE_LIMIT_EXCEEDED);
        match retry_after {
            Some(Value::Uint(ms)) if is_rejected => {
                let retry_at = Instant::now() + Duration::from_millis(u64::from(*ms));
                let key = self.answer(&name, Answer::NotRun);
                if let Some(key) = key.filter(|key| self.retried.insert(key.clone())) {
                    self.again.push((retry_at, key));
                }
            }
            _ => drop(self.answer(&name, Answer::MayHaveRun)),
        }
        Ok(())
    }

    /// Records the answer to the request of a link, if it has none yet. Returns the key of the request then.
    fn answer(&mut self, name: &str, answer: Answer) -> Option<String> {
        let key = self.keys.remove(name)?;
        self.unanswered.remove(&key);
        self.history.on_answer(&key, answer);
        Some(key)
    }
}
