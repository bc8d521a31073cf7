//! The budgets as data: what an operator writes, and what follows from it.

use crate::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// Bounds on what a file may ask for; memory and the time of a division grow with their product.
const MOST_SEATS: usize = 4096;
const MOST_BUDGETS: usize = 1024;
const MOST_WHOLE: u64 = 1_000_000_000;
const LEASES: std::ops::RangeInclusive<u64> = 300..=60_000;
const MOST_CLEAR: u64 = 120_000;
/// Two clocks may run apart by no more than a tenth; real ones do by less than a thousandth.
const MOST_DRIFT: u64 = 100_000;
const MOST_FLOOR: u64 = 90;

/// Everything that the nodes of a fleet have to agree on beforehand.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Every node that may ever take part. A seat's floor belongs to whoever holds its address.
    pub seats: Vec<Seat>,
    /// The names of the seats whose nodes grant: one, three or five. One alone is a single point of failure.
    pub grantors: Vec<String>,
    /// How long a part may be used after its holder asked for it, milliseconds.
    pub lease_ms: u64,
    /// How long after its lease connections over a holder's floor may still stand, milliseconds: the time in
    /// which it ends them, or in which servers end those of a node that stands still.
    pub clear_ms: u64,
    /// How far apart two nodes' clocks may run, in millionths.
    #[serde(default = "thousand")]
    pub drift_ppm: u64,
    /// The budgets; their order and names are the same in all nodes' files.
    pub budgets: Vec<Budget>,
}

/// One node's place.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Seat {
    /// The node's name, the same across its restarts.
    pub name: String,
    /// Where it listens to other nodes, and what makes the seat its own: only one process can bind it.
    pub address: std::net::SocketAddr,
}

/// A bound on what all nodes together may use.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// What counters and log lines call it.
    pub name: String,
    /// What it counts.
    pub limits: Limits,
    /// Connections, or events a second.
    pub whole: u64,
    /// For rates: events at once, over those that the seconds allow. At least one for each seat.
    #[serde(default)]
    pub burst: u64,
    /// The part of the whole that is set aside for the seats' floors, per cent.
    #[serde(default)]
    pub floor_percent: u64,
    /// Only this subscriber's requests count.
    #[serde(default)]
    pub subscriber: Option<String>,
    /// Only this class's requests count.
    #[serde(default)]
    pub class: Option<String>,
}

/// What a budget counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Limits {
    /// Connections that stand or are being set up: a level.
    Connections,
    /// Attempts sent to servers: a rate, which the session ledger bears.
    Setups,
    /// Attempts that are not a request's first: a rate.
    Retries,
    /// Calls to discovery: a rate.
    Lists,
}

impl Limits {
    /// Whether what is used comes back when it ends; a rate's does with time.
    pub fn is_level(self) -> bool {
        self == Limits::Connections
    }
}

/// What is wrong with a plan, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanError {
    /// The field, as in `budgets[2].burst`.
    pub field: String,
    /// What has to hold.
    pub reason: String,
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

impl std::error::Error for PlanError {}

fn thousand() -> u64 {
    1000
}

fn want(holds: bool, field: impl Into<String>, reason: impl Into<String>) -> Result<(), PlanError> {
    let error = || PlanError { field: field.into(), reason: reason.into() };
    holds.then_some(()).ok_or_else(error)
}

impl Plan {
    /// Whether all fields can be right together; the first that can't is named.
    pub fn check(&self) -> Result<(), PlanError> {
        let seats = self.seats.len();
        want((1..=MOST_SEATS).contains(&seats), "seats", format!("1 to {MOST_SEATS} are needed"))?;
        let (mut names, mut places) = (BTreeSet::new(), BTreeSet::new());
        for (i, seat) in self.seats.iter().enumerate() {
            want(!seat.name.is_empty(), format!("seats[{i}].name"), "is empty")?;
            want(names.insert(&seat.name), format!("seats[{i}].name"), "is there twice")?;
            want(places.insert(seat.address), format!("seats[{i}].address"), "is there twice")?;
        }
        want(matches!(self.grantors.len(), 1 | 3 | 5), "grantors", "one, three or five are needed")?;
        let mut grant = BTreeSet::new();
        for (i, name) in self.grantors.iter().enumerate() {
            want(names.contains(name), format!("grantors[{i}]"), format!("no seat is named {name:?}"))?;
            want(grant.insert(name), format!("grantors[{i}]"), "is there twice")?;
        }
        want(LEASES.contains(&self.lease_ms), "lease_ms", format!("{LEASES:?} is allowed"))?;
        want(self.clear_ms <= MOST_CLEAR, "clear_ms", format!("at most {MOST_CLEAR} is allowed"))?;
        want(self.drift_ppm <= MOST_DRIFT, "drift_ppm", format!("at most {MOST_DRIFT} is allowed"))?;
        let budgets = self.budgets.len();
        want((1..=MOST_BUDGETS).contains(&budgets), "budgets", format!("1 to {MOST_BUDGETS} are needed"))?;
        let mut names = BTreeSet::new();
        for (i, budget) in self.budgets.iter().enumerate() {
            let field = |name: &str| format!("budgets[{i}].{name}");
            want(!budget.name.is_empty(), field("name"), "is empty")?;
            want(names.insert(&budget.name), field("name"), "is there twice")?;
            let whole = (1..=MOST_WHOLE).contains(&budget.whole);
            want(whole, field("whole"), format!("1 to {MOST_WHOLE} is allowed"))?;
            let floor = budget.floor_percent <= MOST_FLOOR;
            want(floor, field("floor_percent"), format!("at most {MOST_FLOOR} is allowed"))?;
            if budget.limits.is_level() {
                want(budget.burst == 0, field("burst"), "connections have none")?;
            } else {
                let each = (seats as u64..=MOST_WHOLE).contains(&budget.burst);
                want(each, field("burst"), format!("one for each seat is needed, {seats} at least"))?;
            }
        }
        Ok(())
    }

    /// The lease as its holder counts it from when it asked.
    pub fn lease(&self) -> Nanos {
        self.lease_ms * 1_000_000
    }

    /// After so long on a grantor's clock, since it learned of an ask, its lease has ended on the holder's.
    pub fn lease_over(&self) -> Nanos {
        self.stretched(self.lease())
    }

    /// And after so long what stood over the holder's floor is gone.
    pub fn cleared(&self) -> Nanos {
        self.stretched(self.lease() + self.clear_ms * 1_000_000)
    }

    fn stretched(&self, span: Nanos) -> Nanos {
        span + span / 1_000_000 * self.drift_ppm + 1
    }

    /// What two nodes have to have in common so that their parts mean the same: seats, leases, and the
    /// budgets' order, names and what they count.
    pub fn layout(&self) -> u64 {
        // FNV-1a: stable across builds, unlike the standard library's hashers.
        let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
        let mut add = |text: &str| {
            for byte in text.bytes().chain([0]) {
                hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
        };
        self.seats.iter().for_each(|s| add(&s.name));
        for b in &self.budgets {
            add(&b.name);
            add(&format!("{:?} {:?} {:?}", b.limits, b.subscriber, b.class));
        }
        add(&format!("{} {} {}", self.lease_ms, self.clear_ms, self.drift_ppm));
        hash
    }

    /// What one seat has without asking anybody, in the budget's parts.
    pub fn floor(&self, budget: usize) -> u64 {
        let budget = &self.budgets[budget];
        budget.parts() * budget.floor_percent / 100 / self.seats.len().max(1) as u64
    }

    /// What the grantors divide: the whole without all seats' floors.
    pub fn divisible(&self, budget: usize) -> u64 {
        self.budgets[budget].parts() - self.floor(budget) * self.seats.len() as u64
    }
}

impl Budget {
    /// The whole in the parts that are granted: connections, or thousandths of an event a second.
    pub fn parts(&self) -> u64 {
        self.whole * if self.limits.is_level() { 1 } else { 1000 }
    }

    /// Whether a request of this subscriber and class counts here.
    pub fn concerns(&self, subscriber: &str, class: &str) -> bool {
        self.subscriber.as_deref().is_none_or(|s| s == subscriber)
            && self.class.as_deref().is_none_or(|c| c == class)
    }
}
