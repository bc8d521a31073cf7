//! Recorded seeds keep their schedules.

use super::*;

/// The schedule of a seed that is named in reports and in `KNOWN-RED.txt`.
#[test]
fn a_recorded_seed_keeps_its_schedule() {
    assert_eq!(
        Schedule::for_seed(7_006).to_string(),
        "seed 7006: 1500ms SilentWatches/803 2450ms SessionsEnd/803 2498ms ServersReset/799 5000ms SilentWatches/514 \
         5049ms SilentWatches/952 5950ms SessionsReset/514 8500ms SilentWatches/833 8505ms SessionsBurst/581 9313ms \
         DiscoveryDown/974"
    );
}

/// The schedules that were reported before other families were added.
#[test]
fn a_recorded_seed_of_shutdowns_keeps_its_schedule() {
    assert_eq!(Schedule::new(Family::Shutdowns, 8_001).to_string(), "seed 8001: 1500ms ShutDown(TerminateKill)/427 1725ms SessionsBurst/335 2388ms ShutDown(TerminateTwice)/485 \
         4299ms ConnectionBurst/478 5000ms ShutDown(TerminateTwice)/478 5676ms Reload/435 6171ms \
         ShutDown(TerminateReload)/295 8500ms ShutDown(ReloadTerminate)/470 8720ms ShutDown(TerminateTwice)/546 9117ms \
         DescriptorShortage/836");
}

#[test]
fn each_restoration_schedule_has_a_fault_of_the_servers_at_the_start() {
    for seed in 0..50 {
        let schedule = Schedule::new(Family::Restorations, seed);
        let at_start = |scheduled: &ScheduledFault| scheduled.at_ms == 0;
        assert!(schedule
            .faults
            .iter()
            .any(|fault| at_start(fault) && RESTORATION_FAULTS.contains(&fault.fault)));
        assert_eq!(schedule, Schedule::new(Family::Restorations, seed));
    }
}

#[test]
fn each_shutdown_schedule_has_a_series_of_signals_in_each_round() {
    for seed in 0..50 {
        let schedule = Schedule::new(Family::Shutdowns, seed);
        let is_shutdown = |scheduled: &&ScheduledFault| matches!(scheduled.fault, Fault::ShutDown(_));
        assert_eq!(schedule.faults.iter().filter(is_shutdown).count() as u64, 2 * ROUNDS);
        let has_connection_burst =
            schedule.faults.iter().any(|scheduled| scheduled.fault == Fault::ConnectionBurst);
        assert_eq!(has_connection_burst, seed.is_multiple_of(CONNECTION_BURST_PERIOD), "seed {seed}");
        assert_eq!(schedule, Schedule::new(Family::Shutdowns, seed));
    }
}
