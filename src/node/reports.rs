//! What the node reports of itself: trace lines, counters, flow records.

use super::Node;
use crate::admin::AdminServer;
use crate::log;
use crate::model::Nanos;
use crate::requests::AttemptStep;

const NANOS_PER_MS: Nanos = 1_000_000;

impl Node {
    /// Prints the lines of `--trace` on attempts.
    pub(super) fn print_trace(&mut self) {
        for record in self.state.requests.attempt_trace.take() {
            let server = self.state.registry.entry(record.server).map_or("?", |entry| entry.name());
            let step = match record.step {
                AttemptStep::Ended(outcome) => format!("ended={outcome:?}"),
                AttemptStep::Established => "up".to_string(),
            };
            let (request, ms) = (record.request_id.0, record.elapsed / NANOS_PER_MS);
            log::line(format_args!("trace attempt request={request} server={server} {step} after_ms={ms}"));
        }
    }

    /// Prints the node's counters, those of the lease protocol and those of the frontends.
    pub(super) fn print_counters(&mut self) {
        let violations = self.state.requests.violations.count();
        let counters = &mut self.state.requests.counters;
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
        log::line(format_args!("{counters}"));
        self.print_quotas();
        for line in self.frontends.counter_lines() {
            log::line(format_args!("{line}"));
        }
    }

    fn print_quotas(&self) {
        let Some(transport) = &self.lease_transport else { return };
        let Some(quotas) = &self.state.requests.quotas else { return };
        let counters = transport.counters();
        let lease_left_ms = quotas.lease_remaining(self.state.now()) / NANOS_PER_MS;
        log::line(format_args!(
            "quotas lease_left_ms={lease_left_ms} requests={} grants={} unread={} written={} freed={}",
            counters.requests,
            counters.grants,
            counters.undecodable_frames,
            counters.applied_requests,
            counters.reclaimed_leases
        ));
        for (name, status) in quotas.statuses() {
            log::line(format_args!(
                "quota name={name} total={} floor={} allotment={} used={} refused={}",
                status.total, status.floor, status.allotment, status.used, status.rejected
            ));
        }
    }

    /// Exports the flows that have ended since the last call.
    pub(super) fn export_flows(&mut self, now: Nanos) {
        if let Some(export) = &mut self.flow_export {
            let flows = self.state.requests.ended_flows.take();
            export.send(now, &flows, &self.state.registry, &self.state.config.site);
        }
    }
}
