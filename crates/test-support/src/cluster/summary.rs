//! The course of a run by seconds, and its summary.

use super::auditor::SecondCounts;
use crate::invariants::Violation;
use std::fmt;
use std::time::{Duration, Instant};

/// How often the established connections are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
const SAMPLES_PER_SECOND: usize = 10;
/// The level before a fault is the mean of so many samples.
const SAMPLES_BEFORE_FAULT: usize = 20;
/// Service is recovered once so many samples in a row are high enough.
const SAMPLES_OF_RECOVERY: usize = 50;
/// Service is recovered with this percentage of the connections before the first fault.
const RECOVERED_PERCENT: i64 = 95;

/// The result of a run.
#[derive(Clone, Debug)]
pub struct Summary {
    /// The invariants that were violated.
    pub violations: Vec<Violation>,
    /// From the last fault to the first moment from which 95% of the connections from before the first fault are
    /// established for 5 s.
    pub recovery_from_last_fault: Option<Duration>,
    /// The same from the first fault.
    pub recovery_from_first_fault: Option<Duration>,
    /// Connections established before the first fault.
    pub established_before: i64,
    /// The fewest connections established after the first fault.
    pub min_established: i64,
    /// Most set-ups in a second.
    pub peak_setups: u32,
    /// Most polls of discovery in a second.
    pub peak_polls: u32,
    /// Most attempts of one process at one dead server.
    pub max_attempts_at_dead_server: u32,
    /// Highest load of a server that was warming up, over what it could serve.
    pub max_slow_start_load: f64,
    /// Attempts seen at servers: each was checked.
    pub attempts: u64,
    /// Requests that clients sent.
    pub requests: u64,
    /// Of these, served ones.
    pub up: u64,
    /// The run second by second, and its figures.
    pub timeline: String,
}

/// How a cluster recovered from its faults.
pub struct Recovery {
    /// See [`Summary::recovery_from_last_fault`].
    pub from_last_fault: Option<Duration>,
    /// The same from the first fault.
    pub from_first_fault: Option<Duration>,
    /// Connections established before the first fault.
    pub established_before: i64,
    /// The fewest connections established after the first fault.
    pub min_established: i64,
}

struct Fault {
    at: Instant,
    what: String,
}

/// The course of a run.
pub struct Timeline {
    started_at: Instant,
    seconds: Vec<SecondCounts>,
    /// Established connections, every [`SAMPLE_INTERVAL`].
    samples: Vec<i64>,
    faults: Vec<Fault>,
}

impl Timeline {
    /// A run that began at this time.
    pub fn new(started_at: Instant) -> Timeline {
        Timeline { started_at, seconds: Vec::new(), samples: Vec::new(), faults: Vec::new() }
    }

    /// Counts of the present second.
    pub fn current_second(&mut self) -> &mut SecondCounts {
        let second = self.started_at.elapsed().as_secs() as usize;
        self.seconds.resize(self.seconds.len().max(second + 1), SecondCounts::default());
        &mut self.seconds[second]
    }

    /// Counts of all seconds.
    pub fn seconds(&self) -> &[SecondCounts] {
        &self.seconds
    }

    /// Counts of the seconds since the first fault.
    pub fn seconds_since_first_fault(&self) -> &[SecondCounts] {
        let first = self.sample_of_first_fault() / SAMPLES_PER_SECOND;
        &self.seconds[first.min(self.seconds.len())..]
    }

    /// Fills the samples up to now with the present number of connections.
    pub fn sample(&mut self, established: i64) {
        let wanted = (self.started_at.elapsed().as_millis() / SAMPLE_INTERVAL.as_millis()) as usize;
        self.samples.resize(wanted.max(self.samples.len()), established);
    }

    /// Notes a fault that begins now.
    pub fn record_fault(&mut self, what: &str) {
        self.faults.push(Fault { at: Instant::now(), what: what.to_string() });
    }

    fn sample_of(&self, fault: Option<&Fault>) -> usize {
        let at = fault.map_or(self.started_at, |fault| fault.at);
        let sample = ((at - self.started_at).as_millis() / SAMPLE_INTERVAL.as_millis()) as usize;
        sample.min(self.samples.len())
    }

    fn sample_of_first_fault(&self) -> usize {
        self.sample_of(self.faults.first())
    }

    /// How the established connections recovered.
    pub fn recovery(&self) -> Recovery {
        let first = self.sample_of_first_fault();
        let last = self.sample_of(self.faults.last());
        let before = &self.samples[first.saturating_sub(SAMPLES_BEFORE_FAULT)..first];
        let established_before = before.iter().sum::<i64>() / before.len().max(1) as i64;
        let is_enough = |count: &i64| *count * 100 >= established_before * RECOVERED_PERCENT;
        let is_recovered = |at: &usize| self.samples[*at..*at + SAMPLES_OF_RECOVERY].iter().all(is_enough);
        let recovered_at = (last..self.samples.len().saturating_sub(SAMPLES_OF_RECOVERY)).find(is_recovered);
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
    /// A line a second, with the faults between them.
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
