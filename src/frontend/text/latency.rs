//! Message latency per server, measured from a client's line to the server's next line.

use crate::frontend::FrontendContext;
use crate::model::{Event, ServerId};
use sparbank_time::MonotonicTime;
use std::collections::HashMap;
use std::time::Duration;

/// The minimum interval between latency reports to the balancer.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// A latency is high, and is reported, if it exceeds the objective divided by this.
const REPORT_ABOVE_OBJECTIVE_DIVISOR: u32 = 3;

/// The objective if no class has one: no latency is high.
const NO_OBJECTIVE: Duration = Duration::from_nanos(u64::MAX);

/// A server's latencies since the last report.
#[derive(Clone, Copy, Default)]
struct ServerLatency {
    worst: Option<Duration>,
    /// Whether the latency was high in the last interval with a measurement. If so, the next one is reported even if
    /// it is low.
    was_high: bool,
}

/// A latency to report to the balancer.
pub(super) struct MeasuredLatency {
    pub(super) server: ServerId,
    pub(super) latency: Duration,
}

/// The latencies of all servers.
#[derive(Default)]
pub(super) struct LatencyTracker {
    by_server: HashMap<ServerId, ServerLatency>,
    reported_at: MonotonicTime,
}

impl LatencyTracker {
    /// Records the time that a server took to answer a message.
    pub(super) fn record(&mut self, server: ServerId, latency: Duration) {
        let measured = self.by_server.entry(server).or_default();
        measured.worst = measured.worst.max(Some(latency));
    }

    /// Discards the latencies of servers that no longer exist.
    pub(super) fn forget(&mut self, servers: &[ServerId]) {
        self.by_server.retain(|server, _| !servers.contains(server));
    }

    /// Reports latencies to the balancer, if the settings enable it and the next reports are due.
    pub(super) fn report(&mut self, ctx: &mut FrontendContext) {
        if !ctx.settings.reports_message_latency || !self.begin_report(ctx.now) {
            return;
        }
        let objectives = ctx.classes.iter().filter_map(|class| class.message_latency_objective);
        for report in self.take_reports(objectives.min().unwrap_or(NO_OBJECTIVE)) {
            ctx.requests.push_event(Event::LatencyReport { server: report.server, latency: report.latency });
        }
    }

    /// Whether the next reports are due. If so, a new interval begins.
    pub(super) fn begin_report(&mut self, now: MonotonicTime) -> bool {
        let report_due = now.saturating_duration_since(self.reported_at) >= REPORT_INTERVAL;
        if report_due {
            self.reported_at = now;
        }
        report_due
    }

    /// Takes the worst latency of each server since the last call. Returns those that are high relative to
    /// `objective` and those that follow a high one, sorted by server.
    pub(super) fn take_reports(&mut self, objective: Duration) -> Vec<MeasuredLatency> {
        let mut reports = Vec::new();
        for (server, measured) in &mut self.by_server {
            let Some(latency) = measured.worst.take() else { continue };
            let is_high = latency > objective / REPORT_ABOVE_OBJECTIVE_DIVISOR;
            if is_high || measured.was_high {
                reports.push(MeasuredLatency { server: *server, latency });
            }
            measured.was_high = is_high;
        }
        reports.sort_unstable_by_key(|report| report.server);
        reports
    }
}

#[cfg(test)]
mod tests;
