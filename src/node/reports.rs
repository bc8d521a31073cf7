//! What the node reports of itself: trace lines, counters, flow records.

use super::Node;
use crate::admin::AdminServer;
use crate::log;
use crate::vocabulary::Nanos;

const NANOS_PER_MS: Nanos = 1_000_000;

impl Node {
    /// Prints the lines of `--trace` on attempts.
    pub(super) fn print_trace(&mut self) {
        let attempts = std::mem::take(&mut self.state.requests.trace.tasks);
        for (request_id, server, outcome, waited) in attempts {
            let server = self.state.registry.entry(server).map_or("?", |entry| entry.name());
            let (request, ms) = (request_id.0, waited / NANOS_PER_MS);
            match outcome {
                Some(outcome) => log::line(format_args!(
                    "trace attempt request={request} server={server} ended={outcome:?} after_ms={ms}"
                )),
                None => log::line(format_args!(
                    "trace attempt request={request} server={server} up after_ms={ms}"
                )),
            }
        }
    }

    /// Prints the node's counters, those of the lease protocol and those of the fronts.
    pub(super) fn print_counters(&mut self) {
        let counters = &mut self.state.requests.counters;
        counters.discovery_polls = self.discovery.watch_requests;
        counters.stale_lists = self.state.registry.stale_lists;
        if let Some(calls) = self.admin.as_ref().map(AdminServer::counts) {
            counters.admin_accepted = calls.succeeded;
            counters.admin_rejected = calls.failed;
            counters.admin_incomplete = calls.incomplete;
        }
        log::line(format_args!("{counters}"));
        self.print_quotas();
        for line in self.fronts.counter_lines() {
            log::line(format_args!("{line}"));
        }
    }

    fn print_quotas(&self) {
        let Some(transport) = &self.lease_transport else { return };
        let Some(quotas) = &self.state.requests.quotas else { return };
        let counts = transport.counts();
        let lease_left_ms = quotas.lease_left(self.state.now()) / NANOS_PER_MS;
        log::line(format_args!(
            "budgets lease_left_ms={lease_left_ms} asks={} answers={} unread={} written={} freed={}",
            counts.asks, counts.answers, counts.unread, counts.written, counts.freed
        ));
        for (name, reading) in quotas.readings() {
            log::line(format_args!(
                "budget name={name} whole={} floor={} part={} used={} refused={}",
                reading.whole, reading.floor, reading.part, reading.used, reading.refused
            ));
        }
    }

    /// Exports the flows that have ended since the last call.
    pub(super) fn export_flows(&mut self, now: Nanos) {
        if let (Some(export), Some(flows)) = (&mut self.flow_export, &mut self.state.requests.flows) {
            let ended = std::mem::take(flows);
            export.send(now, &ended, &self.state.registry, &self.state.config.site);
        }
    }
}
