//! One node's parts: what it may use now, what it asks for, what it gives back.

use crate::lease_table::{Answer, Ask, HolderId};
use crate::plan::Plan;
use crate::Nanos;

/// One event, in the pieces that a rate of one thousandth a second brings in a nanosecond.
const EVENT: u64 = 1_000_000_000_000;
/// A want falls by a quarter an ask at most, and some more is asked for than was wanted: parts don't chase noise.
const KEEPS: (u64, u64) = (3, 4);
const SPARE: u64 = 16;
/// A part this little over its target, as a part of it, stays.
const NEAR: u64 = 16;
/// Asks in a lease, while all is quiet; and at most, where something was refused.
const ASKS: u64 = 3;
const MOST_ASKS: u64 = 12;
/// Nobody is told to come later than this.
const LONGEST_WAIT: Nanos = 60_000_000_000;

/// Why something may not be used now: the budget that is used up, and when to come again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Its place in the plan.
    pub budget: usize,
    /// When there is room for it, as far as this node knows, if all who were told so before it come.
    pub wait: Nanos,
}

/// What people on call read of one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The whole, this node's floor and its part beside that: connections or thousandths of an event a second.
    pub whole: u64,
    /// See `whole`.
    pub floor: u64,
    /// See `whole`.
    pub part: u64,
    /// Connections that stand now, or events since the start.
    pub used: u64,
    /// Refused since the start.
    pub refused: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct One {
    level: bool,
    floor: u64,
    /// Granted, until the lease ends; of a level, what was held at its end is remembered.
    part: u64,
    stood: u64,
    target: u64,
    /// Connections now; events since the start.
    used: u64,
    refused: u64,
    /// As of the last ask.
    used_then: u64,
    refused_then: u64,
    want: u64,
    /// The bucket of a rate, in pieces of an event, as of then.
    bucket: u64,
    filled_at: Nanos,
    /// The last time that was promised to somebody.
    turn: Nanos,
}

/// A node's parts of all budgets. It fails safe: without answers it comes down to its floors.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    id: HolderId,
    plan: Plan,
    layout: u64,
    ones: Vec<One>,
    /// The number of the last ask, when it was sent, and whether it is still to be answered.
    number: u64,
    asked_at: Nanos,
    waits: bool,
    lease_until: Nanos,
    leased: bool,
    going: bool,
    fenced: bool,
}

impl Holder {
    /// A holder that has its seat and so its floors, and nothing else. Buckets begin empty: whatever a process
    /// before it spent in its seat counts for the same seconds.
    pub fn new(id: HolderId, plan: Plan, now: Nanos) -> Holder {
        let one = |budget: usize| One {
            level: plan.budgets[budget].limits.is_level(),
            floor: plan.floor(budget),
            filled_at: now,
            ..One::default()
        };
        let ones = (0..plan.budgets.len()).map(one).collect();
        let (number, asked_at, lease_until) = (0, now, now);
        let (waits, leased, going, fenced) = (false, false, false, false);
        Holder {
            id,
            layout: plan.layout(),
            plan,
            ones,
            number,
            asked_at,
            waits,
            lease_until,
            leased,
            going,
            fenced,
        }
    }

    /// Takes one of each of these budgets, or of none: then the one that refuses is named.
    pub fn take(&mut self, now: Nanos, budgets: &[usize]) -> Result<(), Refusal> {
        self.expire(now);
        budgets.iter().for_each(|budget| self.fill(*budget, now));
        if let Some(full) = budgets.iter().copied().find(|b| !self.room(*b)) {
            return Err(self.refuse(now, full));
        }
        for budget in budgets {
            let one = &mut self.ones[*budget];
            one.used += 1;
            one.bucket = one.bucket.saturating_sub(if one.level { 0 } else { EVENT });
        }
        Ok(())
    }

    /// A connection that was taken has ended.
    pub fn ended(&mut self, budgets: &[usize]) {
        for budget in budgets {
            let one = &mut self.ones[*budget];
            one.used -= u64::from(one.level && one.used > 0);
        }
    }

    /// A connection stands that was not taken here: it counts, whether there is room or not.
    pub fn stands(&mut self, budgets: &[usize]) {
        for budget in budgets {
            self.ones[*budget].used += u64::from(self.ones[*budget].level);
        }
    }

    /// How many connections of a level have to end: what stands over the part that is left.
    pub fn over(&mut self, now: Nanos, budget: usize) -> u64 {
        self.settle(now);
        let one = &self.ones[budget];
        if one.level {
            one.used.saturating_sub(one.floor + one.part)
        } else {
            0
        }
    }

    /// What this node may use of a budget now, floor and part: connections, or thousandths of an event a second.
    pub fn allowed(&mut self, now: Nanos, budget: usize) -> u64 {
        self.settle(now);
        self.ones[budget].floor + self.ones[budget].part
    }

    /// When the next ask is due: sooner where something was refused or is to be given back.
    pub fn next_ask(&self) -> Nanos {
        if self.number == 0 {
            return self.asked_at;
        }
        let hurry = self.going || self.ones.iter().any(|one| one.refused > one.refused_then);
        self.asked_at + self.plan.lease() / if hurry { MOST_ASKS } else { ASKS }
    }

    /// The next ask, to be sent now. From here on this node uses no more than it says it keeps.
    pub fn ask(&mut self, now: Nanos) -> Ask {
        self.settle(now);
        let span = now.saturating_sub(self.asked_at).max(1);
        let going = self.going || self.fenced;
        for one in &mut self.ones {
            one.wants(span, going);
            let keep = if one.part - one.part.min(one.target) <= one.part / NEAR && !going {
                one.part
            } else {
                one.part.min(if going { 0 } else { one.target })
            };
            one.part =
                if one.level { keep.max(one.used.saturating_sub(one.floor)).min(one.part) } else { keep };
        }
        self.clip();
        self.number += 1;
        (self.asked_at, self.waits) = (now, true);
        let keep = self.ones.iter().map(One::keeps).collect();
        let want = self.ones.iter().map(|one| one.want).collect();
        let leaves = self.going && self.ones.iter().all(|one| !one.level || one.used == 0);
        Ask { holder: self.id, number: self.number, layout: self.layout, keep, want, leaves }
    }

    /// An answer came. One to an older ask, one that comes twice, or one that comes after the lease that it
    /// gives is over changes nothing. Whether it was taken.
    pub fn answered(&mut self, now: Nanos, answer: &Answer) -> bool {
        self.settle(now);
        let until = self.asked_at.saturating_add(self.plan.lease());
        let newest = self.waits && (answer.holder, answer.number) == (self.id, self.number);
        if !newest || until <= now || answer.parts.len() != self.ones.len() {
            return false;
        }
        (self.waits, self.leased, self.lease_until, self.fenced) = (false, true, until, answer.fenced);
        for (i, one) in self.ones.iter_mut().enumerate() {
            (one.part, one.target) = (answer.parts[i], answer.targets.get(i).copied().unwrap_or(0));
        }
        self.clip();
        true
    }

    /// This node goes: it asks for nothing and gives back what it does not use.
    pub fn go(&mut self) {
        self.going = true;
    }

    /// Whether a later start of this seat has come.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// How long the parts may still be used; zero where this node lives on its floors.
    pub fn lease_left(&self, now: Nanos) -> Nanos {
        self.lease_until.saturating_sub(now)
    }

    /// What people on call read of a budget.
    pub fn reading(&self, budget: usize) -> Reading {
        let one = &self.ones[budget];
        let whole = self.plan.budgets[budget].parts();
        Reading { whole, floor: one.floor, part: one.part, used: one.used, refused: one.refused }
    }

    /// Takes parts whose lease is over, and brings all buckets up to now.
    fn settle(&mut self, now: Nanos) {
        self.expire(now);
        self.fill_all(now);
    }

    fn expire(&mut self, now: Nanos) {
        if !self.leased || now < self.lease_until {
            return;
        }
        self.leased = false;
        self.fill_all(self.lease_until);
        for one in &mut self.ones {
            one.stood = if one.level { one.part } else { 0 };
            (one.part, one.target) = (0, 0);
        }
        self.clip();
    }

    fn fill_all(&mut self, now: Nanos) {
        (0..self.ones.len()).for_each(|budget| self.fill(budget, now));
    }

    fn fill(&mut self, budget: usize, now: Nanos) {
        let most = self.most(budget);
        let one = &mut self.ones[budget];
        if one.level || now <= one.filled_at {
            return;
        }
        let came = u128::from(now - one.filled_at) * u128::from(one.floor + one.part);
        one.bucket = came.saturating_add(u128::from(one.bucket)).min(u128::from(most)) as u64;
        one.filled_at = now;
    }

    /// No bucket holds more than its part of the burst.
    fn clip(&mut self) {
        for budget in 0..self.ones.len() {
            self.ones[budget].bucket = self.ones[budget].bucket.min(self.most(budget));
        }
    }

    /// What a bucket holds at most: one event for the seat, and the part's part of the rest of the burst.
    fn most(&self, budget: usize) -> u64 {
        let (one, set) = (&self.ones[budget], &self.plan.budgets[budget]);
        let rest = set.burst.saturating_sub(self.plan.seats.len() as u64);
        let part = u128::from(rest) * u128::from(one.floor + one.part) * u128::from(EVENT);
        (part / u128::from(set.parts()).max(1)) as u64 + EVENT
    }

    fn room(&self, budget: usize) -> bool {
        let one = &self.ones[budget];
        if one.level {
            one.used < one.floor + one.part
        } else {
            one.bucket >= EVENT
        }
    }

    fn refuse(&mut self, now: Nanos, budget: usize) -> Refusal {
        let (lease, one) = (self.plan.lease(), &mut self.ones[budget]);
        one.refused += 1;
        if one.level {
            return Refusal { budget, wait: lease / ASKS };
        }
        // One after the other, from when the bucket holds an event again.
        let each = EVENT.checked_div(one.floor + one.part).unwrap_or(LONGEST_WAIT);
        let soon =
            now.saturating_add((EVENT - one.bucket).checked_div(one.floor + one.part).unwrap_or(lease));
        one.turn = soon.max(one.turn.saturating_add(each)).min(now.saturating_add(LONGEST_WAIT));
        Refusal { budget, wait: one.turn - now }
    }
}

impl One {
    /// What would be wanted next, floor not counted, by what was used and refused since the last ask.
    fn wants(&mut self, span: Nanos, going: bool) {
        let refused = self.refused - self.refused_then;
        let seen = if self.level {
            self.used + refused
        } else {
            let events = u128::from(self.used - self.used_then + refused);
            (events * u128::from(EVENT) / u128::from(span)).min(u128::from(u64::MAX / 4)) as u64
        };
        (self.used_then, self.refused_then) = (self.used, self.refused);
        let wants = (seen + seen / SPARE).saturating_sub(self.floor);
        self.want = if going { 0 } else { wants.max(self.want / KEEPS.1 * KEEPS.0) };
    }

    /// What it still holds, its lease over or not: connections over the floor stand until they end.
    fn keeps(&self) -> u64 {
        if self.level && self.part == 0 {
            self.stood.min(self.used.saturating_sub(self.floor))
        } else {
            self.part
        }
    }
}
