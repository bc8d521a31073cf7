//! Records of ended flows and of attempts, collected for flow export and for the attempt trace.

use crate::frontend_id::FrontendId;
use crate::model::{Outcome, RequestId, ServerId};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// Collects flow records and attempt records. Each kind is collected only after it has been enabled.
#[derive(Default)]
pub struct Records {
    flows: RecordBuffer<FlowRecord>,
    attempts: RecordBuffer<AttemptRecord>,
}

impl Records {
    /// Enables the collection of flow records.
    pub fn enable_flows(&mut self) {
        self.flows.enable();
    }

    /// Adds the record of an ended flow, if flow records are enabled.
    pub fn push_flow(&mut self, record: FlowRecord) {
        self.flows.push(record);
    }

    /// Removes and returns the collected flow records, oldest first.
    pub fn take_flows(&mut self) -> Vec<FlowRecord> {
        self.flows.take()
    }

    /// Enables the collection of attempt records.
    pub fn enable_attempts(&mut self) {
        self.attempts.enable();
    }

    /// Adds the record of one step of an attempt, if attempt records are enabled.
    pub fn push_attempt(&mut self, record: AttemptRecord) {
        self.attempts.push(record);
    }

    /// Removes and returns the collected attempt records, oldest first.
    pub fn take_attempts(&mut self) -> Vec<AttemptRecord> {
        self.attempts.take()
    }
}

/// Records collected until [`RecordBuffer::take`]; `None` while disabled.
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

/// An ended flow: a request from its arrival to its final answer or to the end of its connection.
#[derive(Clone, Debug, PartialEq)]
pub struct FlowRecord {
    pub request_id: RequestId,
    /// The frontend through which the request arrived.
    pub frontend: FrontendId,
    /// The request's class, an index into [`Settings::classes`](crate::model::Settings::classes).
    pub class: usize,
    /// The server of the request's last attempt, unless the request ended between two attempts.
    pub server: Option<ServerId>,
    /// When the request arrived.
    pub started_at: MonotonicTime,
    /// When the flow ended.
    pub ended_at: MonotonicTime,
    /// The number of attempts started.
    pub attempts: u32,
    /// How the flow ended.
    pub result: FlowResult,
}

/// How a flow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowResult {
    /// Served, then ended by the client or the server.
    Served,
    /// The final answer was "rejected": a retry cannot run an effect twice.
    Rejected,
    /// The final answer was "failed": the request may have had an effect.
    Failed,
    /// The client disconnected before the final answer.
    ClientDisconnected,
    /// This node closed the established connection so that the client reconnects.
    Migrated,
    /// The established connection was lost.
    Broken,
}

/// One step of an attempt, for the attempt trace.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptRecord {
    pub request_id: RequestId,
    pub server: ServerId,
    pub step: AttemptStep,
    /// Time since the attempt was started; for the end of an established connection, time since the request arrived.
    pub elapsed: Duration,
}

/// The steps of an attempt that are recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStep {
    /// The attempt's connection was established.
    Established,
    /// The attempt, or the connection that it established, ended with this outcome.
    Ended(Outcome),
}
