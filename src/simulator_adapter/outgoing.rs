//! The documents that the simulator receives.

use serde::Serialize;

/// One line: the actions in reply to a batch.
#[derive(Serialize)]
pub struct ReplyDocument {
    pub frame: u64,
    #[serde(rename = "parts")]
    pub instances: Vec<InstanceActions>,
}

/// The actions of one instance, in order.
#[derive(Serialize)]
pub struct InstanceActions {
    /// Number of the instance.
    #[serde(rename = "I")]
    pub instance: u64,
    #[serde(rename = "outbox")]
    pub actions: Vec<ActionDocument>,
}

/// An action of the balancer, under the name and with the fields that the simulator defines.
#[derive(Serialize)]
#[serde(tag = "msg", rename_all_fields = "PascalCase")]
pub enum ActionDocument {
    /// Start an attempt of a request. The simulator reports its outcome with `ESTABLISHED` or `RESPONSE`.
    #[serde(rename = "TRY")]
    StartAttempt {
        #[serde(rename = "Txn")]
        request_id: u64,
        #[serde(rename = "Backend")]
        server: String,
        /// Time after which the attempt has failed, in nanoseconds.
        give_up_after_ns: u64,
    },
    /// Cancel the attempt with this number of a request.
    #[serde(rename = "RECALL")]
    CancelAttempt {
        #[serde(rename = "Txn")]
        request_id: u64,
        #[serde(rename = "Shot")]
        attempt: u32,
    },
    /// Reject a request. The client may retry after the given time.
    #[serde(rename = "DECLINE")]
    Reject {
        #[serde(rename = "Txn")]
        request_id: u64,
        #[serde(rename = "CoolDownNs")]
        retry_after_ns: u64,
    },
    /// Give a request the final answer "failed".
    #[serde(rename = "REPORT_FAILURE")]
    Fail {
        #[serde(rename = "Txn")]
        request_id: u64,
    },
    /// Migrate an established connection: its client has to reconnect.
    #[serde(rename = "GO_AWAY")]
    Migrate {
        #[serde(rename = "Txn")]
        request_id: u64,
    },
    /// Check a server's health. The simulator reports the result with `CHECK_RESULT`.
    #[serde(rename = "INSPECT")]
    HealthCheck {
        #[serde(rename = "Backend")]
        server: String,
    },
    /// Set a timer. When it elapses, the simulator sends `TICK_DUE` with the same token.
    #[serde(rename = "NOTIFY_ME")]
    SetTimer {
        #[serde(rename = "FromNowNs")]
        after_ns: u64,
        #[serde(rename = "Cookie")]
        token: u64,
    },
    /// Subscribe to changes of the endpoint list.
    #[serde(rename = "KEEP_INFORMED")]
    Subscribe { on: bool },
    /// Write a log line.
    #[serde(rename = "SAY_LOG")]
    Log {
        #[serde(rename = "Words")]
        text: String,
    },
    /// Report that the balancer panicked in a decision.
    #[serde(rename = "EXCEPTION")]
    DecisionPanicked {
        #[serde(rename = "Words")]
        text: String,
    },
}
