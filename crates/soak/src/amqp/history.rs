//! What clients and servers of the AMQP family observe, and the rules that are checked on it.

use sparbank_test_support::invariants::{Rule, Violation};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// The final answer that a client has received to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request was served: a server has run it.
    Served,
    /// The request was not run: trying again is harmless.
    NotRun,
    /// The request may have run.
    MayHaveRun,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may.
    ReadLike,
    /// It must not.
    NonIdempotent,
}

/// One request, under the key in its message or attach.
struct Record {
    effect: Effect,
    /// The servers that have run it.
    runs: Vec<usize>,
    answers: Vec<Answer>,
}

/// All requests of one run.
pub struct History {
    started_at: Instant,
    records: Mutex<BTreeMap<String, Record>>,
    violations: Mutex<Vec<Violation>>,
}

/// The number of requests, and of those that were served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Totals {
    /// Requests that clients have sent completely.
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
}

impl History {
    /// Creates an empty history of a run that starts now.
    pub fn new() -> History {
        History {
            started_at: Instant::now(),
            records: Mutex::new(BTreeMap::new()),
            violations: Mutex::new(Vec::new()),
        }
    }

    fn records(&self) -> MutexGuard<'_, BTreeMap<String, Record>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a request that a client sends, for the first time or again.
    pub fn on_sent(&self, key: &str, effect: Effect) {
        let record = || Record { effect, runs: Vec::new(), answers: Vec::new() };
        self.records().entry(key.to_string()).or_insert_with(record);
    }

    /// Records that a server runs a request.
    pub fn on_run(&self, key: &str, server: usize) {
        if let Some(record) = self.records().get_mut(key) {
            record.runs.push(server);
        }
    }

    /// Records a client's final answer.
    pub fn on_answer(&self, key: &str, answer: Answer) {
        if let Some(record) = self.records().get_mut(key) {
            record.answers.push(answer);
        }
    }

    /// Records a violation that a peer has observed itself.
    pub fn report(&self, rule: Rule, detail: String) {
        let at_ms = self.started_at.elapsed().as_millis();
        let mut violations = self.violations.lock().unwrap_or_else(PoisonError::into_inner);
        violations.push(Violation { rule, at_ms, detail });
    }

    /// Checks all requests after the end of the run. Returns the violations of the rules.
    pub fn finish(&self) -> Vec<Violation> {
        for (key, record) in self.records().iter() {
            if let Some((rule, detail)) = record.check() {
                self.report(rule, format!("{key}: {detail}, runs {:?}, {:?}", record.runs, record.answers));
            }
        }
        self.violations.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The numbers of requests.
    pub fn totals(&self) -> Totals {
        let records = self.records();
        let is_served = |record: &&Record| record.answers.contains(&Answer::Served);
        Totals { requests: records.len() as u64, served: records.values().filter(is_served).count() as u64 }
    }
}

impl Record {
    fn check(&self) -> Option<(Rule, &'static str)> {
        if self.answers.is_empty() {
            return Some((Rule::Lost, "no answer"));
        }
        if self.answers.contains(&Answer::Served) && self.runs.is_empty() {
            return Some((Rule::Lost, "served, and no server has run it"));
        }
        if self.effect == Effect::NonIdempotent && self.runs.len() > 1 {
            return Some((Rule::Duplicate, "run more than once"));
        }
        None
    }
}

#[cfg(test)]
mod tests;
