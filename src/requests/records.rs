//! Records of ended flows and of attempts, gathered for an export or a trace.

use crate::frontend_id::FrontendId;
use crate::model::{Outcome, RequestId, ServerId};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// The records of flows and of attempts. Each kind is gathered once it is enabled.
#[derive(Default)]
pub struct Records {
    flows: RecordBuffer<FlowRecord>,
    attempts: RecordBuffer<AttemptRecord>,
}

impl Records {
    /// Gathers records of flows from now on.
    pub fn enable_flows(&mut self) {
        self.flows.enable();
    }

    /// Adds a flow that ended, if records of flows are enabled.
    pub fn push_flow(&mut self, record: FlowRecord) {
        self.flows.push(record);
    }

    /// Takes the records of flows that were gathered, oldest first.
    pub fn take_flows(&mut self) -> Vec<FlowRecord> {
        self.flows.take()
    }

    /// Gathers records of attempts from now on.
    pub fn enable_attempts(&mut self) {
        self.attempts.enable();
    }

    /// Adds a step of an attempt, if records of attempts are enabled.
    pub fn push_attempt(&mut self, record: AttemptRecord) {
        self.attempts.push(record);
    }

    /// Takes the records of attempts that were gathered, oldest first.
    pub fn take_attempts(&mut self) -> Vec<AttemptRecord> {
        self.attempts.take()
    }
}

/// Records gathered until they are taken; `None` while disabled.
struct RecordBuffer<T>(Option<Vec<T>>);

impl<T> Default for RecordBuffer<T> {
    fn default() -> RecordBuffer<T> {
        RecordBuffer(None)
    }
}

impl<T> RecordBuffer<T> {
    fn enable(&mut self) {
        self.0.get_or_insert_default();
    }

    fn push(&mut self, record: T) {
        if let Some(records) = &mut self.0 {
            records.push(record);
        }
    }

    fn take(&mut self) -> Vec<T> {
        self.0.as_mut().map(std::mem::take).unwrap_or_default()
    }
}

/// A flow that ended: a request from its arrival to its final answer or the end of its connection.
#[derive(Clone, Debug, PartialEq)]
pub struct FlowRecord {
    /// The request.
    pub request_id: RequestId,
    /// The frontend through which it arrived.
    pub frontend: FrontendId,
    /// Its class, an index into the settings' classes.
    pub class: usize,
    /// The server of its last attempt, unless the request ended between two attempts.
    pub server: Option<ServerId>,
    /// When it arrived.
    pub started_at: MonotonicTime,
    /// When it ended.
    pub ended_at: MonotonicTime,
    /// The number of attempts sent.
    pub attempts: u32,
    /// How it ended.
    pub result: FlowResult,
}

/// How a flow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowResult {
    /// It was served, and the client or the server ended it.
    Served,
    /// It was rejected.
    Rejected,
    /// It failed.
    Failed,
    /// The client disconnected before the final answer.
    ClientDisconnected,
    /// This node closed it for its client to reconnect.
    Migrated,
    /// Its established connection was lost.
    Broken,
}

/// A step of an attempt, for the trace.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptRecord {
    /// The request.
    pub request_id: RequestId,
    /// The attempt's server.
    pub server: ServerId,
    /// What happened.
    pub step: AttemptStep,
    /// Since the attempt was sent; for the end of an established connection, since the request arrived.
    pub elapsed: Duration,
}

/// What happened to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStep {
    /// Its connection was established.
    Established,
    /// It ended, or the connection that it established did.
    Ended(Outcome),
}
