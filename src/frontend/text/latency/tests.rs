use super::{LatencyTracker, REPORT_INTERVAL};
use crate::model::{Nanos, ServerId};

const OBJECTIVE: Nanos = 300;

fn reports(tracker: &mut LatencyTracker) -> Vec<(ServerId, Nanos)> {
    let reports = tracker.take_reports(OBJECTIVE);
    reports.into_iter().map(|report| (report.server, report.latency)).collect()
}

#[test]
fn a_high_latency_is_reported_and_so_is_the_one_after_it() {
    let mut tracker = LatencyTracker::default();
    tracker.record(ServerId(2), 100);
    tracker.record(ServerId(1), 101);
    tracker.record(ServerId(1), 7);
    assert_eq!(reports(&mut tracker), [(ServerId(1), 101)], "the worst of the interval, above a third only");
    assert_eq!(reports(&mut tracker), [], "nothing was measured since");
    tracker.record(ServerId(1), 5);
    assert_eq!(reports(&mut tracker), [(ServerId(1), 5)], "the server has recovered");
    tracker.record(ServerId(1), 5);
    assert_eq!(reports(&mut tracker), []);
}

#[test]
fn reports_are_sorted_by_server() {
    let mut tracker = LatencyTracker::default();
    for server in [3, 1, 2] {
        tracker.record(ServerId(server), 200);
    }
    assert_eq!(reports(&mut tracker), [1, 2, 3].map(|server| (ServerId(server), 200)));
}

#[test]
fn an_interval_lasts_from_report_to_report() {
    let mut tracker = LatencyTracker::default();
    assert!(!tracker.begin_report(REPORT_INTERVAL - 1));
    assert!(tracker.begin_report(REPORT_INTERVAL + 5));
    assert!(!tracker.begin_report(2 * REPORT_INTERVAL + 4));
    assert!(tracker.begin_report(2 * REPORT_INTERVAL + 5));
}
