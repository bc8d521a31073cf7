//! Records of ended flows and of attempts, gathered for an export or a trace.

use crate::frontend_id::FrontendId;
use crate::model::{Outcome, RequestId, ServerId};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// Records gathered between two turns of the event loop; none while it is disabled.
pub struct RecordBuffer<T> {
    records: Option<Vec<T>>,
}

impl<T> RecordBuffer<T> {
    /// A disabled buffer.
    pub fn new() -> RecordBuffer<T> {
        RecordBuffer { records: None }
    }

    /// Gathers records from now on.
    pub fn enable(&mut self) {
        self.records.get_or_insert_with(Vec::new);
    }

    /// Adds a record, where the buffer is enabled.
    pub fn push(&mut self, record: T) {
        if let Some(records) = &mut self.records {
            records.push(record);
        }
    }

    /// Takes the records gathered so far, oldest first.
    pub fn take(&mut self) -> Vec<T> {
        self.records.as_mut().map(std::mem::take).unwrap_or_default()
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
