//! Schedules of faults. A seed is a schedule: it is written out before it is run.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt;

/// A fault, or an administrative step beside one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// SIGTERM to a node, and a new process after its end.
    Terminate,
    /// SIGKILL to a node, and a new process at once.
    Kill,
    /// A node is stopped for 0.15 s.
    ShortStall,
    /// A node is stopped for a second.
    LongStall,
    /// Discovery moves, and the nodes are notified by SIGHUP.
    MoveDiscovery,
    /// SIGHUP without a change.
    Reload,
    /// A node gets no new descriptor for a while.
    DescriptorShortage,
    /// A server drains, and returns later.
    Drain,
    /// All open watches fall silent, and a server drains.
    SilentWatches,
    /// All open watches are reset.
    ResetWatches,
    /// Discovery resets every connection for a while.
    DiscoveryDown,
    /// Discovery answers 503 for a while.
    DiscoveryRejects,
    /// Lists come byte by byte for a while.
    ListsInPieces,
    /// Half of the servers accept and never answer.
    ServersHang,
    /// Half of the servers reject.
    ServersReject,
    /// Half of the servers reset requests that they have read.
    ServersReset,
    /// Half of the servers break their first answer off.
    ServersBreakOff,
    /// Half of the servers answer late.
    ServersLate,
    /// A server refuses connections for a while.
    ServerRefuses,
    /// Half of the servers end their sessions in order.
    SessionsEnd,
    /// Half of the servers reset their sessions.
    SessionsReset,
    /// Half of the servers send their sessions a burst and end them.
    SessionsBurst,
    /// Clients disconnect while their requests wait.
    ClientsDisconnect,
    /// Clients send much more than one line.
    ClientsFlood,
    /// Clients connect and rest.
    ClientsIdle,
    /// Clients send half a line and stay.
    ClientsHalfLine,
}

/// All faults, in the order in which pairs are numbered.
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
    Fault::ListsInPieces,
    Fault::ServersHang,
    Fault::ServersReject,
    Fault::ServersReset,
    Fault::ServersBreakOff,
    Fault::ServersLate,
    Fault::ServerRefuses,
    Fault::SessionsEnd,
    Fault::SessionsReset,
    Fault::SessionsBurst,
    Fault::ClientsDisconnect,
    Fault::ClientsFlood,
    Fault::ClientsIdle,
    Fault::ClientsHalfLine,
];

/// Ordered pairs of two different faults.
pub const PAIRS: u64 = (FAULTS.len() * (FAULTS.len() - 1)) as u64;
/// Rounds of one schedule.
pub const ROUNDS: u64 = 3;
/// When the first round begins.
const FIRST_ROUND_MS: u64 = 1_500;
/// From one round to the next.
const ROUND_MS: u64 = 3_500;
/// Gaps between the two faults of a pair: none, one iteration of the event loop, just under and over the node's constants
/// (a tick, a stall, the dial time-out, the end of arrivals after SIGTERM, a deadline).
const GAPS_MS: [u64; 12] = [0, 1, 5, 30, 140, 160, 195, 245, 260, 410, 950, 1_050];
/// The third fault of a round begins within this.
const THIRD_FAULT_MS: u64 = 1_200;

/// A fault at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Milliseconds from the start of the run.
    pub at_ms: u64,
    /// What happens.
    pub fault: Fault,
    /// Draws the node or servers that it hits.
    pub target: u64,
}

/// The faults of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// The seed of all other random draws.
    pub seed: u64,
    /// The faults, by time.
    pub faults: Vec<PlannedFault>,
}

impl Schedule {
    /// The schedule of a seed. Consecutive seeds cover all ordered pairs before one is repeated.
    pub fn for_seed(seed: u64) -> Schedule {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut faults = Vec::new();
        for round in 0..ROUNDS {
            let start = FIRST_ROUND_MS + round * ROUND_MS;
            let (first, second) = pair(seed.wrapping_mul(ROUNDS).wrapping_add(round) % PAIRS);
            let gap = GAPS_MS[rng.random_range(0..GAPS_MS.len())];
            let third = FAULTS[rng.random_range(0..FAULTS.len())];
            let third_at = rng.random_range(0..THIRD_FAULT_MS);
            // Half of the pairs hit the same target.
            let target: u64 = rng.random();
            let other_target = if rng.random_bool(0.5) { target } else { rng.random() };
            faults.push(PlannedFault { at_ms: start, fault: first, target });
            faults.push(PlannedFault { at_ms: start + gap, fault: second, target: other_target });
            faults.push(PlannedFault { at_ms: start + third_at, fault: third, target: rng.random() });
        }
        faults.sort_by_key(|planned| planned.at_ms);
        Schedule { seed, faults }
    }

    /// When the last round is over, in milliseconds.
    pub fn end_ms(&self) -> u64 {
        FIRST_ROUND_MS + ROUNDS * ROUND_MS
    }
}

/// The ordered pair with this number.
fn pair(number: u64) -> (Fault, Fault) {
    let others = FAULTS.len() - 1;
    let first = number as usize / others;
    let second = number as usize % others;
    let skipped = second + usize::from(second >= first);
    (FAULTS[first], FAULTS[skipped])
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}:", self.seed)?;
        for PlannedFault { at_ms, fault, target } in &self.faults {
            write!(f, " {at_ms}ms {fault:?}/{}", target % 1000)?;
        }
        Ok(())
    }
}
