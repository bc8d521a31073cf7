//! The timeline of a run, second by second, and its summary.

use super::auditor::PerSecondCounts;
use crate::invariants::Violation;
use std::fmt;
use std::time::{Duration, Instant};

/// Interval between samples of the number of established connections.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
const SAMPLES_PER_SECOND: usize = 10;
/// Number of samples before the first fault whose mean is the baseline.
const BASELINE_SAMPLES: usize = 20;
/// Number of consecutive samples that must reach the threshold for service to count as recovered.
const RECOVERY_SAMPLES: usize = 50;
/// Recovery threshold, as a percentage of the baseline.
const RECOVERED_PERCENT: i64 = 95;

/// The results of a run.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Violations of [`crate::invariants`] in the run.
    pub violations: Vec<Violation>,
    /// Time from the last fault to the start of the first 5 s in which at least 95% of the connections from before the
    /// first fault are established.
    pub recovery_from_last_fault: Option<Duration>,
    /// Like `recovery_from_last_fault`, but measured from the first fault.
    pub recovery_from_first_fault: Option<Duration>,
    /// Mean number of established connections just before the first fault.
    pub established_before: i64,
    /// Minimum number of established connections since the first fault.
    pub min_established: i64,
    /// Maximum number of set-ups in a second.
    pub peak_setups: u32,
    /// Maximum number of polls of discovery in a second.
    pub peak_polls: u32,
    /// Maximum number of attempts by one process at one server whose process has ended.
    pub max_attempts_at_dead_server: u32,
    /// Maximum load of a server that was warming up, relative to its limit.
    pub max_slow_start_load: f64,
    /// Number of attempts seen at servers, each of which was checked.
    pub attempts: u64,
    /// Number of requests that clients sent.
    pub requests: u64,
    /// Number of requests that were served.
    pub up: u64,
    /// The timeline of the run as text, followed by the configuration of the cluster.
    pub timeline: String,
}

/// How a cluster recovered from its faults.
pub struct Recovery {
    /// The value of [`Summary::recovery_from_last_fault`].
    pub from_last_fault: Option<Duration>,
    /// Like `from_last_fault`, but measured from the first fault.
    pub from_first_fault: Option<Duration>,
    /// Mean number of established connections just before the first fault.
    pub established_before: i64,
    /// Minimum number of established connections since the first fault.
    pub min_established: i64,
}

struct Fault {
    at: Instant,
    what: String,
}

/// The timeline of a run: counts by second, samples and faults.
pub struct Timeline {
    started_at: Instant,
    seconds: Vec<PerSecondCounts>,
    /// Number of established connections, sampled every [`SAMPLE_INTERVAL`].
    samples: Vec<i64>,
    faults: Vec<Fault>,
}

impl Timeline {
    /// Creates the timeline of a run that began at this time.
    pub fn new(started_at: Instant) -> Timeline {
        Timeline { started_at, seconds: Vec::new(), samples: Vec::new(), faults: Vec::new() }
    }

    /// The counts of the current second.
    pub fn current_second(&mut self) -> &mut PerSecondCounts {
        let second = self.started_at.elapsed().as_secs() as usize;
        self.seconds.resize(self.seconds.len().max(second + 1), PerSecondCounts::default());
        &mut self.seconds[second]
    }

    /// The counts of all seconds.
    pub fn seconds(&self) -> &[PerSecondCounts] {
        &self.seconds
    }

    /// The counts of the seconds since the first fault.
    pub fn seconds_since_first_fault(&self) -> &[PerSecondCounts] {
        let first = self.first_fault_sample_index() / SAMPLES_PER_SECOND;
        &self.seconds[first.min(self.seconds.len())..]
    }

    /// Fills in the samples up to now with the current number of connections.
    pub fn sample(&mut self, established: i64) {
        let sample_count = (self.started_at.elapsed().as_millis() / SAMPLE_INTERVAL.as_millis()) as usize;
        self.samples.resize(sample_count.max(self.samples.len()), established);
    }

    /// Records a fault that occurs now.
    pub fn record_fault(&mut self, what: &str) {
        self.faults.push(Fault { at: Instant::now(), what: what.to_string() });
    }

    /// Index of the first sample after a fault, or after the start of the run if there is none.
    fn sample_index(&self, fault: Option<&Fault>) -> usize {
        let at = fault.map_or(self.started_at, |fault| fault.at);
        let sample = ((at - self.started_at).as_millis() / SAMPLE_INTERVAL.as_millis()) as usize;
        sample.min(self.samples.len())
    }

    fn first_fault_sample_index(&self) -> usize {
        self.sample_index(self.faults.first())
    }

    /// Computes how the number of established connections recovered.
    pub fn recovery(&self) -> Recovery {
        let first = self.first_fault_sample_index();
        let last = self.sample_index(self.faults.last());
        let before = &self.samples[first.saturating_sub(BASELINE_SAMPLES)..first];
        let established_before = before.iter().sum::<i64>() / before.len().max(1) as i64;
        let is_enough = |count: &i64| *count * 100 >= established_before * RECOVERED_PERCENT;
        let is_recovered = |at: &usize| self.samples[*at..*at + RECOVERY_SAMPLES].iter().all(is_enough);
        let recovered_at = (last..self.samples.len().saturating_sub(RECOVERY_SAMPLES)).find(is_recovered);
        let time_since = |from: usize| recovered_at.map(|at| SAMPLE_INTERVAL * (at - from) as u32);
        Recovery {
            from_last_fault: time_since(last),
            from_first_fault: time_since(first),
            established_before,
            min_established: self.samples[first..].iter().copied().min().unwrap_or(0),
        }
    }
}

impl fmt::Display for Timeline {
    /// Writes a line for each second, preceded by the faults in it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "second requests up busy failed setups polls at-warming-up at-dead established")?;
        for (second, counts) in self.seconds.iter().enumerate() {
            for fault in &self.faults {
                let elapsed = fault.at - self.started_at;
                if elapsed.as_secs() as usize == second {
                    writeln!(f, "  {:.2} s {}", elapsed.as_secs_f64(), fault.what)?;
                }
            }
            let last_sample = (second + 1) * SAMPLES_PER_SECOND - 1;
            let established = self.samples.get(last_sample).or(self.samples.last()).unwrap_or(&0);
            writeln!(
                f,
                "{second:6} {:8} {:4} {:4} {:6} {:6} {:5} {:13} {:7} {established:11}",
                counts.requests,
                counts.up,
                counts.busy,
                counts.failed,
                counts.setups,
                counts.polls,
                counts.attempts_at_warming_up,
                counts.attempts_at_dead,
            )?;
        }
        Ok(())
    }
}
