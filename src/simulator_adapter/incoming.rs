//! The documents that the simulator sends.
//!
//! Fields whose names begin with an underscore are validated but not used.

use crate::config::{SettingsDocument, UTILIZATION_FIELD};
use crate::model::{Arrival, ListKind, Outcome, RequestId, Status};
use serde::Deserialize;
use serde_json::value::RawValue;
use sparbank_time::MonotonicTime;
use std::borrow::Cow;
use std::collections::HashMap;
use std::time::Duration;

/// One line: events for several instances at the same time.
#[derive(Deserialize)]
pub struct BatchDocument<'a> {
    /// The time of the events, in nanoseconds.
    #[serde(rename = "TsNs")]
    pub now: MonotonicTime,
    pub frame: u64,
    #[serde(rename = "parts", borrow)]
    pub instances: Vec<InstanceEvents<'a>>,
}

/// The events of one instance, in order.
#[derive(Deserialize)]
pub struct InstanceEvents<'a> {
    /// Number of the instance. Optional if all events are `CENSUS` events, whose lists are for all instances.
    #[serde(rename = "I")]
    pub instance: Option<u64>,
    #[serde(rename = "in", borrow)]
    pub events: Vec<&'a RawValue>,
}

/// The field that all events have in common.
#[derive(Deserialize)]
pub struct EventHeader<'a> {
    #[serde(rename = "msg", borrow)]
    pub name: Cow<'a, str>,
}

/// `INIT`: an instance starts.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct InitDocument {
    pub seed: u64,
    pub settings: SettingsDocument,
}

/// `CENSUS`: an endpoint list, stored in a slot to which later `MEMBERS` events refer.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct EndpointListDocument {
    pub slot: usize,
    #[serde(rename = "NodesList")]
    pub endpoints: Vec<EndpointDocument>,
}

/// One endpoint of a list.
#[derive(Deserialize)]
pub struct EndpointDocument {
    #[serde(rename = "Hall", default)]
    pub zone: u32,
    #[serde(rename = "BornNs", default)]
    pub started_at: MonotonicTime,
    #[serde(rename = "Backend")]
    pub server: String,
    #[serde(rename = "UnitGroup", default)]
    pub cell: u32,
    #[serde(rename = "Nominal", default = "default_nominal")]
    pub nominal: f64,
    #[serde(rename = "Status")]
    pub status: StatusDocument,
}

fn default_nominal() -> f64 {
    1.0
}

/// State of an endpoint.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "UPPERCASE")]
pub enum StatusDocument {
    Serving,
    Draining,
    #[serde(rename = "DELETED")]
    Removed,
}

impl From<StatusDocument> for Status {
    fn from(status: StatusDocument) -> Status {
        match status {
            StatusDocument::Serving => Status::Serving,
            StatusDocument::Draining => Status::Draining,
            StatusDocument::Removed => Status::Removed,
        }
    }
}

/// `MEMBERS`: an instance receives the endpoint list of a slot.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ListReceivedDocument {
    pub kind: ListKindDocument,
    #[serde(default)]
    pub slot: usize,
}

/// The kind of list that an instance receives.
#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "UPPERCASE")]
pub enum ListKindDocument {
    Saved,
    Full,
    Incremental,
    Failed,
}

impl From<ListKindDocument> for ListKind {
    fn from(kind: ListKindDocument) -> ListKind {
        match kind {
            ListKindDocument::Saved => ListKind::Saved,
            ListKindDocument::Full => ListKind::Full,
            ListKindDocument::Incremental => ListKind::Incremental,
            ListKindDocument::Failed => ListKind::Failed,
        }
    }
}

/// `REQUEST` and `RESUMED`: a client's request, or a connection that was established before the instance started.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct RequestDocument {
    #[serde(rename = "Txn")]
    request_id: u64,
    #[serde(rename = "CameBack", default)]
    reconnect: bool,
    #[serde(rename = "AgainByClient", default)]
    client_retry: bool,
    grace_ns: u64,
    #[serde(rename = "Category")]
    class: usize,
    #[serde(rename = "Project", default)]
    _tenant: u64,
    cost_ns: Option<u64>,
    #[serde(default)]
    rerouted: bool,
    key: Option<u64>,
    group: Option<u64>,
    /// The server of a resumed connection.
    #[serde(rename = "Backend")]
    pub server: Option<String>,
}

impl RequestDocument {
    /// Converts the document to the balancer's representation.
    pub fn arrival(&self) -> Arrival {
        Arrival {
            id: RequestId(self.request_id),
            class: self.class,
            time_left: Duration::from_nanos(self.grace_ns),
            cost: self.cost_ns.map(Duration::from_nanos),
            key: self.key,
            group: self.group,
            reconnect: self.reconnect,
            client_retry: self.client_retry,
            rerouted: self.rerouted,
        }
    }
}

/// `ESTABLISHED`: a connection was established.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct EstablishedDocument {
    #[serde(rename = "Txn")]
    pub request_id: u64,
    #[serde(rename = "Backend")]
    pub server: String,
    #[serde(rename = "Shot")]
    _attempt: u32,
    /// Time since the attempt was sent, in nanoseconds.
    pub wait_time_ns: u64,
}

/// `UPDATE_OF` topic of the load of an established connection, in microseconds of work per second.
pub const TOPIC_LOAD: u32 = 1;
/// `UPDATE_OF` topic of the message latency at a server, in milliseconds.
pub const TOPIC_LATENCY: u32 = 2;

/// `UPDATE_OF`: a load or latency report. Other topics are ignored.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ReportDocument {
    #[serde(rename = "Txn")]
    pub request_id: u64,
    #[serde(rename = "Shot")]
    _attempt: u32,
    pub level: f64,
    pub topic: u32,
    #[serde(rename = "Backend")]
    pub server: String,
}

/// `RESPONSE`: an attempt has ended.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct AttemptEndedDocument {
    #[serde(rename = "Txn")]
    pub request_id: u64,
    #[serde(rename = "Shot")]
    _attempt: u32,
    #[serde(rename = "WaitTimeNs", default)]
    _wait: u64,
    #[serde(rename = "Backend")]
    pub server: String,
    status: u32,
    #[serde(rename = "DoneFlag", default)]
    pub done: bool,
}

/// Status codes of attempts and health checks.
const STATUS_OK: u32 = 100;
const STATUS_REJECTED: u32 = 302;
const STATUS_TIMEOUT: u32 = 303;
const STATUS_CONNECT_FAILED: u32 = 304;
const STATUS_RESET: u32 = 305;
const STATUS_CANCELLED: u32 = 306;
const STATUS_NOT_SENT: u32 = 307;

impl AttemptEndedDocument {
    /// Returns the outcome of the attempt. An unknown status is treated as an error.
    pub fn outcome(&self) -> Outcome {
        match self.status {
            STATUS_OK => Outcome::Ok,
            STATUS_REJECTED => Outcome::Rejected,
            STATUS_TIMEOUT => Outcome::Timeout,
            STATUS_CONNECT_FAILED => Outcome::ConnectFailed,
            STATUS_RESET => Outcome::Reset,
            STATUS_CANCELLED => Outcome::Cancelled,
            STATUS_NOT_SENT => Outcome::NotSent,
            _ => Outcome::Error,
        }
    }
}

/// `VANISHED`: a client has disconnected.
#[derive(Deserialize)]
pub struct ClientDisconnectedDocument {
    #[serde(rename = "Txn")]
    pub request_id: u64,
}

/// `TICK_DUE`: a timer has elapsed.
#[derive(Deserialize)]
pub struct TimerDocument {
    #[serde(rename = "Cookie")]
    pub token: u64,
}

/// `CHECK_RESULT`: a health check has ended.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct HealthCheckDocument {
    #[serde(rename = "Backend")]
    pub server: String,
    status: u32,
    #[serde(rename = "Gauge", default)]
    load_report: Option<HashMap<String, f64>>,
}

impl HealthCheckDocument {
    /// Returns the ratio of load to capacity, or `None` if the check failed or the report does not contain it.
    pub fn utilization(&self) -> Option<f64> {
        if self.status != STATUS_OK {
            return None;
        }
        self.load_report.as_ref()?.get(UTILIZATION_FIELD).copied()
    }
}
