//! What the node reports of itself: trace lines, counters, flow records.

use super::Node;
use crate::admin::AdminServer;
use crate::log;
use crate::requests::AttemptStep;
use sparbank_time::{DurationExt, MonotonicTime};

impl Node {
    /// Prints the lines of `--trace` on attempts.
    pub(super) fn print_trace(&mut self) {
        for record in self.state.requests.take_attempt_records() {
            let server = self.state.registry.entry(record.server).map_or("?", |entry| entry.name());
            let (request, after_ms) = (record.request_id.0, record.elapsed.as_millis_u64());
            match record.step {
                AttemptStep::Established => {
                    tracing::trace!(request, %server, after_ms, "attempt established")
                }
                AttemptStep::Ended(outcome) => {
                    tracing::trace!(request, %server, ?outcome, after_ms, "attempt ended");
                }
            }
        }
    }

    /// Prints the node's counters, those of the lease protocol and those of the frontends.
    pub(super) fn print_counters(&mut self) {
        let violations = self.state.requests.violation_count();
        let counters = self.state.requests.counters_mut();
        counters.invariant_violations = violations;
        let shortages = self.state.net.shortages();
        counters.accept_pauses = shortages.accept_pauses;
        counters.refused_watches = shortages.refused_watches;
        counters.transfer_pauses = shortages.transfer_pauses;
        counters.failed_connects = shortages.failed_connects;
        counters.log_lines_dropped = log::dropped_lines();
        counters.discovery_polls = self.discovery.watch_requests;
        counters.stale_lists = self.state.registry.stale_lists;
        if let Some(calls) = self.admin.as_ref().map(AdminServer::counts) {
            counters.admin_accepted = calls.succeeded;
            counters.admin_rejected = calls.failed;
            counters.admin_incomplete = calls.incomplete;
        }
        tracing::info!("{counters}");
        self.print_quotas();
        for line in self.frontends.counter_lines() {
            tracing::info!("{line}");
        }
    }

    fn print_quotas(&self) {
        let Some(transport) = &self.lease_transport else { return };
        let Some(quotas) = self.state.requests.quotas() else { return };
        let counters = transport.counters();
        tracing::info!(
            lease_remaining_ms = quotas.lease_remaining(self.state.now()).as_millis_u64(),
            requests = counters.requests,
            grants = counters.grants,
            undecodable_frames = counters.undecodable_frames,
            applied_requests = counters.applied_requests,
            reclaimed_leases = counters.reclaimed_leases,
            "quota lease"
        );
        for (name, status) in quotas.statuses() {
            tracing::info!(
                %name,
                total = %status.total,
                floor = %status.floor,
                allotment = %status.allotment,
                used = %status.used,
                rejected = status.rejected,
                "quota"
            );
        }
    }

    /// Exports the flows that have ended since the last call.
    pub(super) fn export_flows(&mut self, now: MonotonicTime) {
        if let Some(export) = &mut self.flow_export {
            let flows = self.state.requests.take_flow_records();
            export.send(now, &flows, &self.state.registry, &self.state.config.frontend_settings);
        }
    }
}
