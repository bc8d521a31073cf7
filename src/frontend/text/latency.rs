//! Message latency by server, measured from a client's line to the server's next line.

use crate::frontend::FrontendContext;
use crate::model::{Event, ServerId};
use sparbank_time::MonotonicTime;
use std::collections::HashMap;
use std::time::Duration;

/// How often latencies are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// A latency is reported once it is above the objective divided by this.
const REPORT_ABOVE_OBJECTIVE_DIVISOR: u32 = 3;

/// The objective where no class has one: no latency is high.
const NO_OBJECTIVE: Duration = Duration::from_nanos(u64::MAX);

/// A server's latency since the last report.
#[derive(Clone, Copy, Default)]
struct ServerLatency {
    worst: Option<Duration>,
    /// The latency was high in the last report, so the next one is reported whatever it is.
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
    /// A server has answered a message after this time.
    pub(super) fn record(&mut self, server: ServerId, latency: Duration) {
        let measured = self.by_server.entry(server).or_default();
        measured.worst = measured.worst.max(Some(latency));
    }

    /// Reports latencies to the balancer, where the settings say that it uses them and the next reports are due.
    pub(super) fn report(&mut self, ctx: &mut FrontendContext) {
        if !ctx.settings.reports_message_latency || !self.begin_report(ctx.now) {
            return;
        }
        let objectives = ctx.classes.iter().filter_map(|class| class.message_latency_objective);
        for report in self.take_reports(objectives.min().unwrap_or(NO_OBJECTIVE)) {
            ctx.requests.push_event(Event::LatencyReport { server: report.server, latency: report.latency });
        }
    }

    /// Whether the next reports are due; if so, the interval begins anew.
    pub(super) fn begin_report(&mut self, now: MonotonicTime) -> bool {
        let report_due = now.saturating_duration_since(self.reported_at) >= REPORT_INTERVAL;
        if report_due {
            self.reported_at = now;
        }
        report_due
    }

    /// Takes the latencies that are high against this objective or were so in the last report, by server.
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
