//! When a grantor may take a part back: the only thing about granting that needs a clock.

use crate::lease_table::{Answer, Batch, Book, Free, HolderId};
use crate::plan::Plan;
use crate::Nanos;
use std::collections::BTreeMap;

/// A grantor's book and its own clock's reading of each holder's last ask. Whoever leads proposes what
/// [`Granter::due`] gives; all grantors write what was agreed.
///
/// An ask was sent before any grantor wrote it, so a lease counted from the writing ends later than the
/// holder's own. That holds for every grantor, one that wrote it long after the others too; so a new leader
/// needs nothing from the old one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Granter {
    book: Book,
    /// When this grantor wrote each holder's last ask, and whether its rates are back.
    written: BTreeMap<HolderId, (Nanos, bool)>,
}

impl Granter {
    /// A grantor whose book is this one, as of now: empty, or as another grantor has it.
    pub fn new(book: Book, now: Nanos) -> Granter {
        let written = book.holders().map(|holder| (holder, (now, false))).collect();
        Granter { book, written }
    }

    /// The book.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// Writes what was agreed.
    pub fn write(&mut self, now: Nanos, batch: &Batch) -> Vec<Answer> {
        let numbers: Vec<_> = batch.asks.iter().map(|a| (a.holder, self.book.number(a.holder))).collect();
        let answers = self.book.write(batch);
        for (holder, number) in numbers {
            if self.book.number(holder) != number {
                self.written.insert(holder, (now, false));
            }
        }
        for free in batch.frees.iter().filter(|f| !f.levels) {
            if self.book.number(free.holder) == Some(free.number) {
                self.written.entry(free.holder).and_modify(|w| w.1 = true);
            }
        }
        self.written.retain(|holder, _| self.book.number(*holder).is_some());
        answers
    }

    /// The holders whose leases are over by now, and whose parts are to come back.
    pub fn due(&self, now: Nanos) -> Vec<Free> {
        let plan = self.book.plan();
        let (rates, levels) = (plan.lease_over(), plan.cleared());
        let due = |(holder, (at, rates_back)): (&HolderId, &(Nanos, bool))| {
            let age = now.saturating_sub(*at);
            let levels = age >= levels;
            let number = self.book.number(*holder)?;
            (levels || (age >= rates && !rates_back)).then_some(Free { holder: *holder, number, levels })
        };
        self.written.iter().filter_map(due).collect()
    }

    /// The next time at which something may be due; None while nobody holds anything.
    pub fn next(&self) -> Option<Nanos> {
        let plan: &Plan = self.book.plan();
        let end = |(at, back): &(Nanos, bool)| at + if *back { plan.cleared() } else { plan.lease_over() };
        self.written.values().map(end).min()
    }
}
