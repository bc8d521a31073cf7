//! The grantors' book: which part of which budget is whose. A state machine without clock or I/O; fed the same
//! batches in the same order, all grantors' books are equal.

use crate::divide::divide;
use crate::plan::Plan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One start of the node in a seat: a restarted or doubled process is another holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
pub struct HolderId {
    /// The seat's place in the plan.
    pub seat: u16,
    /// Tells its starts apart; a later one is greater.
    pub start: u64,
}

/// What a holder says: until the answer to this very ask it uses no more than it keeps.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
pub struct Ask {
    /// Who asks.
    pub holder: HolderId,
    /// Its asks are numbered from one; an older one that comes late changes nothing.
    pub number: u64,
    /// [`Plan::layout`] of the holder's plan.
    pub layout: u64,
    /// What it keeps of each budget: it has lowered itself to this already.
    pub keep: Vec<u64>,
    /// What it would like to have of each budget, floor not counted.
    pub want: Vec<u64>,
    /// It goes: once this is written it holds nothing.
    pub leaves: bool,
}

/// What the book says to an ask.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
pub struct Answer {
    /// To whom.
    pub holder: HolderId,
    /// To which of its asks.
    pub number: u64,
    /// What it may use of each budget until its lease ends.
    pub parts: Vec<u64>,
    /// To what it should come down as soon as it can.
    pub targets: Vec<u64>,
    /// A later start of its seat has come: it gets no more.
    pub fenced: bool,
}

/// What a grantor says of a holder whose lease is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct Free {
    /// Whose parts come back.
    pub holder: HolderId,
    /// The last ask that the grantor knew of: had there been a newer one, this would change nothing.
    pub number: u64,
    /// The levels too: what stood on them is gone.
    pub levels: bool,
}

/// What is written at once: one entry of the grantors' log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct Batch {
    /// Parts that come back.
    pub frees: Vec<Free>,
    /// Asks, each answered.
    pub asks: Vec<Ask>,
}

/// One holder as the book has it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
struct Held {
    number: u64,
    parts: Vec<u64>,
    wants: Vec<u64>,
    targets: Vec<u64>,
}

/// Who holds what. At most [`Book::MOST_STARTS`] starts of one seat are kept apart at a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct Book {
    plan: Plan,
    layout: u64,
    held: BTreeMap<HolderId, Held>,
    /// The latest start that each seat has asked with.
    starts: BTreeMap<u16, u64>,
}

impl Book {
    /// A seat that starts again and again waits, beyond this, until the parts of its first starts are back.
    pub const MOST_STARTS: usize = 8;

    /// Nobody holds anything.
    pub fn new(plan: Plan) -> Book {
        Book { layout: plan.layout(), plan, held: BTreeMap::new(), starts: BTreeMap::new() }
    }

    /// The plan in force.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// All that is granted of a budget now, floors not counted.
    pub fn granted(&self, budget: usize) -> u64 {
        self.held.values().map(|h| h.parts[budget]).sum()
    }

    /// The number of a holder's last ask that was written.
    pub fn number(&self, holder: HolderId) -> Option<u64> {
        self.held.get(&holder).map(|h| h.number)
    }

    /// Everybody who holds anything or may.
    pub fn holders(&self) -> impl Iterator<Item = HolderId> + '_ {
        self.held.keys().copied()
    }

    /// Whether an ask is of this plan; one that is not is never written.
    pub fn fits(&self, ask: &Ask) -> bool {
        let budgets = self.plan.budgets.len();
        ask.layout == self.layout
            && usize::from(ask.holder.seat) < self.plan.seats.len()
            && (ask.keep.len(), ask.want.len()) == (budgets, budgets)
    }

    /// Writes a batch and gives the answers to its asks. What does not fit the plan, is old, or comes from too
    /// many starts of one seat gets none.
    pub fn write(&mut self, batch: &Batch) -> Vec<Answer> {
        batch.frees.iter().for_each(|free| self.free(free));
        let taken: Vec<&Ask> = batch.asks.iter().filter(|ask| self.lower(ask)).collect();
        if taken.is_empty() {
            return Vec::new();
        }
        self.divide();
        let free = |b| self.plan.divisible(b).saturating_sub(self.granted(b));
        let mut free: Vec<u64> = (0..self.plan.budgets.len()).map(free).collect();
        taken.into_iter().filter_map(|ask| self.raise(ask, &mut free)).collect()
    }

    fn free(&mut self, free: &Free) {
        let Some(held) = self.held.get_mut(&free.holder).filter(|h| h.number == free.number) else { return };
        if free.levels {
            self.held.remove(&free.holder);
            return;
        }
        for (part, budget) in held.parts.iter_mut().zip(&self.plan.budgets) {
            *part *= u64::from(budget.limits.is_level());
        }
        held.wants.fill(0);
    }

    /// Takes what an ask no longer keeps. Whether it is to be answered.
    fn lower(&mut self, ask: &Ask) -> bool {
        let budgets = self.plan.budgets.len();
        let starts = self.held.keys().filter(|h| h.seat == ask.holder.seat).count();
        let known = self.held.contains_key(&ask.holder);
        if !self.fits(ask) || (!known && (ask.leaves || starts >= Book::MOST_STARTS)) {
            return false;
        }
        let latest = self.starts.entry(ask.holder.seat).or_default();
        *latest = (*latest).max(ask.holder.start);
        let none = || Held {
            number: 0,
            parts: vec![0; budgets],
            wants: vec![0; budgets],
            targets: vec![0; budgets],
        };
        let held = self.held.entry(ask.holder).or_insert_with(none);
        if ask.number <= held.number {
            return false;
        }
        held.number = ask.number;
        held.wants.clone_from(&ask.want);
        for (part, keep) in held.parts.iter_mut().zip(&ask.keep) {
            *part = (*part).min(*keep);
        }
        if ask.leaves {
            self.held.remove(&ask.holder);
        }
        true
    }

    /// What each should have, by what all want. A seat's older starts should have nothing.
    fn divide(&mut self) {
        let live = |id: &HolderId| self.starts.get(&id.seat).is_none_or(|start| *start <= id.start);
        let budgets = self.plan.budgets.len();
        let mut wants: Vec<Vec<(u64, u64)>> = vec![Vec::with_capacity(self.held.len()); budgets];
        for held in self.held.iter().filter(|(id, _)| live(id)).map(|(_, held)| held) {
            wants.iter_mut().zip(&held.wants).for_each(|(of, want)| of.push((*want, 1)));
        }
        let divided = wants.iter().enumerate().map(|(b, wants)| divide(self.plan.divisible(b), wants));
        let parts: Vec<Vec<u64>> = divided.collect();
        let mut row = 0;
        for (id, held) in &mut self.held {
            let live = self.starts.get(&id.seat).is_none_or(|start| *start <= id.start);
            for (target, parts) in held.targets.iter_mut().zip(&parts) {
                *target = if live { parts[row] } else { 0 };
            }
            row += usize::from(live);
        }
    }

    /// Gives what an ask's holder should have more, out of what nobody holds.
    fn raise(&mut self, ask: &Ask, free: &mut [u64]) -> Option<Answer> {
        let (holder, number) = (ask.holder, ask.number);
        let fenced = self.starts.get(&holder.seat).is_some_and(|s| *s > holder.start);
        let nothing = || vec![0; self.plan.budgets.len()];
        if ask.leaves {
            return Some(Answer { holder, number, parts: nothing(), targets: nothing(), fenced });
        }
        let held = self.held.get_mut(&holder).filter(|h| h.number == number)?;
        for ((part, target), free) in held.parts.iter_mut().zip(&held.targets).zip(free) {
            let more = target.saturating_sub(*part).min(*free);
            *part += more;
            *free -= more;
        }
        Some(Answer { holder, number, parts: held.parts.clone(), targets: held.targets.clone(), fenced })
    }
}
