//! Schedules of faults. A schedule is fully determined by its seed, before the run starts.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt;
use std::time::Duration;

/// A fault, or an administrative action that faults may overlap with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A node gets SIGTERM, and is started again after its exit.
    Terminate,
    /// A node gets SIGKILL, and is started again at once.
    Kill,
    /// A node is paused for 0.15 s.
    ShortStall,
    /// A node is paused for 1 s.
    LongStall,
    /// Discovery moves to other addresses, and the nodes reload their configuration on SIGHUP.
    MoveDiscovery,
    /// The nodes get SIGHUP without a change of their settings.
    Reload,
    /// A node gets no new file descriptors for some time.
    DescriptorShortage,
    /// A server drains, and is ready again later.
    Drain,
    /// All open watches stop sending, and a server drains.
    SilentWatches,
    /// All open watches are reset.
    ResetWatches,
    /// Discovery resets every connection for some time.
    DiscoveryDown,
    /// Discovery rejects requests with status 503 for some time.
    DiscoveryRejects,
    /// Discovery writes endpoint lists a few bytes at a time for some time.
    ListsFragmented,
    /// Half of the servers accept and never answer.
    ServersHang,
    /// Half of the servers reject requests.
    ServersReject,
    /// Half of the servers reset requests that they have read.
    ServersReset,
    /// Half of the servers send a part of their answer and reset the connection.
    ServersTruncate,
    /// Half of the servers answer late.
    ServersLate,
    /// A server refuses connections for some time.
    ServerRefuses,
    /// Half of the servers end their sessions with `BYE`.
    SessionsEnd,
    /// Half of the servers reset their sessions.
    SessionsReset,
    /// Half of the servers send a burst of lines in each session and end it.
    SessionsBurst,
    /// Clients disconnect while their requests are pending.
    ClientsDisconnect,
    /// Clients send many request lines at once.
    ClientsFlood,
    /// Clients connect and send nothing.
    ClientsIdle,
    /// Clients send half a request line, and keep the connection open.
    ClientsPartialLine,
    /// A node is shut down by a series of signals, and is started again after its exit.
    ShutDown(SignalSeries),
    /// Idle clients use up the descriptors of a node for some time.
    ConnectionBurst,
    /// An AMQP client begins messages, stops within their heads, and stays.
    HalfHeads,
    /// An AMQP client begins messages, stops within their bodies, and stays.
    HalfBodies,
    /// AMQP clients lose their connections and resume their links.
    ConnectionsLost,
    /// The same, and the node notices the loss after the links are resumed.
    ConnectionsLostLate,
    /// The same, and the clients lose their next connections before they have resumed their deliveries.
    ConnectionsLostTwice,
}

/// The signals of a shutdown, close together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalSeries {
    /// SIGTERM.
    Terminate,
    /// SIGTERM twice.
    TerminateTwice,
    /// SIGHUP, then SIGTERM.
    ReloadTerminate,
    /// SIGTERM, then SIGHUP.
    TerminateReload,
    /// SIGTERM, then SIGKILL long before the process could have ended its work.
    TerminateKill,
}

/// The signal series of [`Family::Shutdowns`].
const SERIES: [SignalSeries; 4] = [
    SignalSeries::TerminateTwice,
    SignalSeries::ReloadTerminate,
    SignalSeries::TerminateReload,
    SignalSeries::TerminateKill,
];

/// A family of schedules. Each has its own seeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Family {
    /// Ordered pairs of all faults, and a third fault beside each.
    #[default]
    Faults,
    /// Shutdowns of several nodes beside other faults. Clients keep their sessions until the nodes end them, and rest on
    /// open connections before their requests.
    Shutdowns,
    /// Clients restore sessions, from the nodes' first start on and after each restart, beside faults of the servers and
    /// restarts of the nodes.
    Restorations,
    /// Clients of the AMQP frontend send, receive and resume, beside clients that do not complete their messages, lost
    /// connections, and servers that drain.
    Amqp,
}

/// The faults of [`Family::Amqp`].
const AMQP_FAULTS: [Fault; 11] = [
    Fault::HalfHeads,
    Fault::ConnectionsLost,
    Fault::Drain,
    Fault::HalfBodies,
    Fault::ConnectionsLostLate,
    Fault::SessionsReset,
    Fault::ConnectionsLostTwice,
    Fault::Kill,
    Fault::ShutDown(SignalSeries::TerminateTwice),
    Fault::Drain,
    Fault::ShutDown(SignalSeries::ReloadTerminate),
];
/// Number of faults in a schedule of [`Family::Amqp`], besides the two drains that each has.
const AMQP_FAULT_COUNT: u64 = 4;
/// Time from one fault of [`Family::Amqp`] to the next.
const AMQP_FAULT_INTERVAL_MS: u64 = 700;
/// End of a run of [`Family::Amqp`].
const AMQP_END_MS: u64 = 4_500;

/// The faults of servers and of descriptors that a restoration may meet.
const RESTORATION_FAULTS: [Fault; 7] = [
    Fault::ServerRefuses,
    Fault::ServersHang,
    Fault::ServersReject,
    Fault::ServersReset,
    Fault::ServersTruncate,
    Fault::ServersLate,
    Fault::DescriptorShortage,
];

/// The faults of [`Family::Faults`]. Their order determines the numbers of pairs, and with them the schedule of each seed.
pub const FAULTS: [Fault; 26] = [
    Fault::Terminate,
    Fault::Kill,
    Fault::ShortStall,
    Fault::LongStall,
    Fault::MoveDiscovery,
    Fault::Reload,
    Fault::DescriptorShortage,
    Fault::Drain,
    Fault::SilentWatches,
    Fault::ResetWatches,
    Fault::DiscoveryDown,
    Fault::DiscoveryRejects,
    Fault::ListsFragmented,
    Fault::ServersHang,
    Fault::ServersReject,
    Fault::ServersReset,
    Fault::ServersTruncate,
    Fault::ServersLate,
    Fault::ServerRefuses,
    Fault::SessionsEnd,
    Fault::SessionsReset,
    Fault::SessionsBurst,
    Fault::ClientsDisconnect,
    Fault::ClientsFlood,
    Fault::ClientsIdle,
    Fault::ClientsPartialLine,
];

/// Number of ordered pairs of two different faults.
pub const PAIRS: u64 = (FAULTS.len() * (FAULTS.len() - 1)) as u64;
/// Number of rounds in one schedule.
pub const ROUNDS: u64 = 3;
/// Start of the first round.
const FIRST_ROUND_MS: u64 = 1_500;
/// Time from the start of one round to the start of the next.
const ROUND_INTERVAL_MS: u64 = 3_500;
/// Intervals between the two faults of a pair: none, one iteration of the event loop, and times just below and above time
/// constants (a tick, a stall, the dial timeout, the end of arrivals after SIGTERM, a deadline).
const FAULT_INTERVALS_MS: [u64; 12] = [0, 1, 5, 30, 140, 160, 195, 245, 260, 410, 950, 1_050];
/// One run of [`Family::Shutdowns`] in this many has a burst of connections.
const CONNECTION_BURST_PERIOD: u64 = 3;
/// A burst of connections begins up to this long before the shutdown of its node.
const CONNECTION_BURST_LEAD_MS: u64 = 1_000;
/// Times between the two signals of a series.
const SIGNAL_INTERVALS_MS: [u64; 10] = [0, 1, 2, 5, 10, 20, 50, 100, 200, 300];
/// The third fault of a round starts at a random time below this.
const THIRD_FAULT_MS: u64 = 1_200;

/// A fault and the time at which it is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Milliseconds from the start of the run.
    pub at_ms: u64,
    /// The fault that begins at this time.
    pub fault: Fault,
    /// A random number that selects the node or the servers that are affected.
    pub target: u64,
}

impl ScheduledFault {
    /// The time between the two signals of a series.
    pub fn signal_interval(&self) -> Duration {
        // The low digits select the node.
        let index = (self.target / 1_000) as usize % SIGNAL_INTERVALS_MS.len();
        Duration::from_millis(SIGNAL_INTERVALS_MS[index])
    }
}

/// The faults of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// The family that the schedule belongs to.
    pub family: Family,
    /// The seed that the faults were drawn with, and that all other random draws of the run use.
    pub seed: u64,
    /// The faults, sorted by time.
    pub faults: Vec<ScheduledFault>,
}

impl Schedule {
    /// Creates the schedule of a seed.
    pub fn new(family: Family, seed: u64) -> Schedule {
        match family {
            Family::Faults => Schedule::for_seed(seed),
            Family::Shutdowns => Schedule::of_shutdowns(seed),
            Family::Restorations => Schedule::of_restorations(seed),
            Family::Amqp => Schedule::of_amqp(seed),
        }
    }

    /// Creates a schedule of [`Family::Faults`]. Consecutive seeds cover all ordered pairs before a pair is repeated.
    pub fn for_seed(seed: u64) -> Schedule {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut faults = Vec::new();
        for round in 0..ROUNDS {
            let start = FIRST_ROUND_MS + round * ROUND_INTERVAL_MS;
            let (first, second) = pair(seed.wrapping_mul(ROUNDS).wrapping_add(round) % PAIRS);
            let interval_ms = FAULT_INTERVALS_MS[rng.random_range(0..FAULT_INTERVALS_MS.len())];
            let third = FAULTS[rng.random_range(0..FAULTS.len())];
            let third_at = rng.random_range(0..THIRD_FAULT_MS);
            // In about half of the pairs both faults have the same target.
            let target: u64 = rng.random();
            let second_target = if rng.random_bool(0.5) { target } else { rng.random() };
            faults.push(ScheduledFault { at_ms: start, fault: first, target });
            faults.push(ScheduledFault { at_ms: start + interval_ms, fault: second, target: second_target });
            faults.push(ScheduledFault { at_ms: start + third_at, fault: third, target: rng.random() });
        }
        faults.sort_by_key(|scheduled| scheduled.at_ms);
        Schedule { family: Family::Faults, seed, faults }
    }

    /// Creates a schedule of [`Family::Shutdowns`]: each round shuts down two nodes, the first one by the next signal
    /// series, beside another fault. One run in three has a burst of connections at a node that is shut down.
    fn of_shutdowns(seed: u64) -> Schedule {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let others: Vec<Fault> =
            FAULTS.into_iter().filter(|fault| !matches!(fault, Fault::Terminate | Fault::Kill)).collect();
        let mut faults = Vec::new();
        for round in 0..ROUNDS {
            let start = FIRST_ROUND_MS + round * ROUND_INTERVAL_MS;
            let series = seed.wrapping_mul(ROUNDS).wrapping_add(round) as usize % SERIES.len();
            let target: u64 = rng.random();
            let mut add = |at_ms, fault, target| faults.push(ScheduledFault { at_ms, fault, target });
            add(start, Fault::ShutDown(SERIES[series]), target);
            add(
                start + rng.random_range(0..THIRD_FAULT_MS),
                others[rng.random_range(0..others.len())],
                rng.random(),
            );
            let second_series = SERIES[rng.random_range(0..SERIES.len())];
            add(start + rng.random_range(0..THIRD_FAULT_MS), Fault::ShutDown(second_series), rng.random());
            if seed.is_multiple_of(CONNECTION_BURST_PERIOD) && round == 1 {
                add(
                    start.saturating_sub(rng.random_range(0..CONNECTION_BURST_LEAD_MS)),
                    Fault::ConnectionBurst,
                    target,
                );
            }
        }
        faults.sort_by_key(|scheduled| scheduled.at_ms);
        Schedule { family: Family::Shutdowns, seed, faults }
    }

    /// Creates a schedule of [`Family::Restorations`]: a fault of the servers from the start on and in each round, a
    /// restart of a node shortly before or after it, and any third fault. One run in three has a burst of connections.
    fn of_restorations(seed: u64) -> Schedule {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut add = |at_ms, fault, target| faults.push(ScheduledFault { at_ms, fault, target });
        for round in 0..ROUNDS {
            let start = if round == 0 { 0 } else { FIRST_ROUND_MS + round * ROUND_INTERVAL_MS };
            let number = seed.wrapping_mul(ROUNDS).wrapping_add(round) as usize;
            let interval = FAULT_INTERVALS_MS[rng.random_range(0..FAULT_INTERVALS_MS.len())];
            add(start, RESTORATION_FAULTS[number % RESTORATION_FAULTS.len()], rng.random());
            let restart = match rng.random_range(0..=SERIES.len()) {
                index if index < SERIES.len() => Fault::ShutDown(SERIES[index]),
                _ => Fault::Kill,
            };
            let node: u64 = rng.random();
            add(start + interval, restart, node);
            let third = FAULTS[rng.random_range(0..FAULTS.len())];
            add(start + rng.random_range(0..THIRD_FAULT_MS), third, rng.random());
            if seed.is_multiple_of(CONNECTION_BURST_PERIOD) && round == 1 {
                add(
                    start.saturating_sub(rng.random_range(0..CONNECTION_BURST_LEAD_MS)),
                    Fault::ConnectionBurst,
                    node,
                );
            }
        }
        faults.sort_by_key(|scheduled| scheduled.at_ms);
        Schedule { family: Family::Restorations, seed, faults }
    }

    /// Creates a schedule of [`Family::Amqp`]: consecutive faults at random distances, and two drains at any time.
    fn of_amqp(seed: u64) -> Schedule {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut faults = Vec::new();
        for round in 0..AMQP_FAULT_COUNT {
            let number = seed.wrapping_mul(AMQP_FAULT_COUNT).wrapping_add(round) as usize;
            let at_ms = (round + 1) * AMQP_FAULT_INTERVAL_MS + rng.random_range(0..AMQP_FAULT_INTERVAL_MS);
            let fault = AMQP_FAULTS[number % AMQP_FAULTS.len()];
            faults.push(ScheduledFault { at_ms, fault, target: rng.random() });
        }
        for _ in 0..2 {
            let at_ms = rng.random_range(AMQP_FAULT_INTERVAL_MS..AMQP_END_MS);
            faults.push(ScheduledFault { at_ms, fault: Fault::Drain, target: rng.random() });
        }
        faults.sort_by_key(|scheduled| scheduled.at_ms);
        Schedule { family: Family::Amqp, seed, faults }
    }

    /// End of the last round, in milliseconds from the start of the run.
    pub fn end_ms(&self) -> u64 {
        if self.family == Family::Amqp {
            return AMQP_END_MS;
        }
        FIRST_ROUND_MS + ROUNDS * ROUND_INTERVAL_MS
    }
}

/// The ordered pair with this number.
fn pair(number: u64) -> (Fault, Fault) {
    let others = FAULTS.len() - 1;
    let first = number as usize / others;
    let second = number as usize % others;
    // Skips the first fault, so that the two differ.
    let second = second + usize::from(second >= first);
    (FAULTS[first], FAULTS[second])
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}:", self.seed)?;
        for ScheduledFault { at_ms, fault, target } in &self.faults {
            write!(f, " {at_ms}ms {fault:?}/{}", target % 1000)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
