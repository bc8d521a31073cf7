use super::{LatencyTracker, REPORT_INTERVAL};
use crate::model::ServerId;
use sparbank_time::MonotonicTime;
use std::time::Duration;

const OBJECTIVE: Duration = nanos(300);

const fn nanos(count: u64) -> Duration {
    Duration::from_nanos(count)
}

fn at(since_origin: Duration) -> MonotonicTime {
    MonotonicTime::ZERO + since_origin
}

fn reports(tracker: &mut LatencyTracker) -> Vec<(ServerId, Duration)> {
    let reports = tracker.take_reports(OBJECTIVE);
    reports.into_iter().map(|report| (report.server, report.latency)).collect()
}

#[test]
fn a_high_latency_is_reported_and_so_is_the_one_after_it() {
    let mut tracker = LatencyTracker::default();
    tracker.record(ServerId(2), nanos(100));
    tracker.record(ServerId(1), nanos(101));
    tracker.record(ServerId(1), nanos(7));
    assert_eq!(
        reports(&mut tracker),
        [(ServerId(1), nanos(101))],
        "only the worst latency of the interval, and only above a third of the objective"
    );
    assert_eq!(reports(&mut tracker), [], "nothing was measured since the last report");
    tracker.record(ServerId(1), nanos(5));
    assert_eq!(reports(&mut tracker), [(ServerId(1), nanos(5))], "the server has recovered");
    tracker.record(ServerId(1), nanos(5));
    assert_eq!(reports(&mut tracker), []);
}

#[test]
fn reports_are_sorted_by_server() {
    let mut tracker = LatencyTracker::default();
    for server in [3, 1, 2] {
        tracker.record(ServerId(server), nanos(200));
    }
    assert_eq!(reports(&mut tracker), [1, 2, 3].map(|server| (ServerId(server), nanos(200))));
}

#[test]
fn an_interval_begins_with_each_report() {
    let mut tracker = LatencyTracker::default();
    assert!(!tracker.begin_report(at(REPORT_INTERVAL - nanos(1))));
    assert!(tracker.begin_report(at(REPORT_INTERVAL + nanos(5))));
    assert!(!tracker.begin_report(at(2 * REPORT_INTERVAL + nanos(4))));
    assert!(tracker.begin_report(at(2 * REPORT_INTERVAL + nanos(5))));
}
