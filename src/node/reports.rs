//! The node's reports: trace events, counters and flow records.

use super::admin::AdminHandler;
use super::executor::Executor;
use super::quota_leases::QuotaLeases;
use super::state::NodeState;
use crate::flow_export::FlowExport;
use crate::log;
use crate::requests::AttemptStep;
use sparbank_time::{DurationExt, MonotonicTime};

/// Owns the export of flow records.
pub(super) struct FlowReporter {
    /// `None` if the export is disabled.
    export: Option<FlowExport>,
}

impl FlowReporter {
    pub(super) fn new(export: Option<FlowExport>) -> FlowReporter {
        FlowReporter { export }
    }

    /// Exports the flows that have ended since the last call.
    pub(super) fn export(&mut self, state: &mut NodeState, now: MonotonicTime) {
        if let Some(export) = &mut self.export {
            let flows = state.requests.take_flow_records();
            export.send(now, &flows, &state.registry, &state.config.frontend_settings);
        }
    }
}

/// Emits trace events for the steps of attempts since the last call. Attempts are recorded only if tracing is enabled.
pub(super) fn trace_attempts(state: &mut NodeState) {
    for record in state.requests.take_attempt_records() {
        let server = state.registry.entry(record.server).map_or("?", |entry| entry.name());
        let (request, after_ms) = (record.request_id.0, record.elapsed.as_millis_u64());
        match record.step {
            AttemptStep::Established => tracing::trace!(request, %server, after_ms, "attempt established"),
            AttemptStep::Ended(outcome) => {
                tracing::trace!(request, %server, ?outcome, after_ms, "attempt ended");
            }
        }
    }
}

/// Logs the node's counters, followed by those of the lease protocol and of the frontends.
pub(super) fn log_counters(executor: &mut Executor, admin: &AdminHandler, leases: &QuotaLeases) {
    update_counters(executor, admin);
    tracing::info!("{}", executor.host.state.requests.counters());
    leases.log(&executor.host.state);
    for line in executor.host.counter_lines() {
        tracing::info!("{line}");
    }
}

/// Copies the counters that other parts of the node keep into the node's counters.
fn update_counters(executor: &mut Executor, admin: &AdminHandler) {
    let state = &mut executor.host.state;
    let violations = state.requests.violation_count();
    let counters = state.requests.counters_mut();
    counters.invariant_violations = violations;
    let shortages = state.net.shortages();
    counters.accept_pauses = shortages.accept_pauses;
    counters.refused_watches = shortages.refused_watches;
    counters.transfer_pauses = shortages.transfer_pauses;
    counters.failed_connects = shortages.failed_connects;
    counters.log_lines_dropped = log::dropped_lines();
    counters.discovery_polls = executor.endpoints.request_count();
    counters.known_servers = state.registry.known_count() as u64;
    counters.stale_lists = state.registry.stale_lists();
    if let Some(calls) = admin.counts() {
        counters.admin_accepted = calls.succeeded;
        counters.admin_rejected = calls.failed;
        counters.admin_incomplete = calls.incomplete;
    }
}
