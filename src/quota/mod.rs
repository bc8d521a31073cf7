//! The fleet's budgets at this node: the file (`--fleet`, `docs/BUDGETS.md`), and what a request passes.

pub mod transport;

use crate::vocabulary::Nanos;
use sparbank_quota::{Answer, Ask, Gate, Holder, HolderId, Limits, Party, Plan, Reading, Refusal, Use};
use std::path::Path;

/// Reads and checks the file. The error is one line that names the file and the field.
pub fn read(path: &Path) -> Result<Plan, String> {
    let at = |problem: String| format!("{}: {problem}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| at(e.to_string()))?;
    let plan: Plan = crate::json::parse(&text).map_err(|e| at(e.to_string()))?;
    plan.check().map_err(|e| at(format!("field {e}")))?;
    Ok(plan)
}

/// The plan for a node of this name, and its seat. What `serve` cannot do yet is an error: nothing is half applied.
pub fn seat(path: &Path, name: &str, sockets: usize) -> Result<(Plan, usize), String> {
    let plan = read(path)?;
    let not_yet = |field: String| Err(format!("{}: field {field}: is not served yet", path.display()));
    if plan.grantors.len() > 1 {
        return not_yet("grantors: more than one".to_string());
    }
    for (i, budget) in plan.budgets.iter().enumerate() {
        if budget.subscriber.is_some() {
            return not_yet(format!("budgets[{i}].subscriber"));
        }
        if budget.limits == Limits::Lists {
            return not_yet(format!("budgets[{i}].limits: lists"));
        }
    }
    match plan.seats.iter().position(|seat| seat.name == name) {
        // Each caller has a descriptor set aside; at least as many are left for the rest.
        Some(_) if plan.grantors[0] == name && 2 * plan.seats.len() > sockets => Err(format!(
            "{}: field seats: a grantor of {} needs limits.sockets of {} at least, not {sockets}",
            path.display(),
            plan.seats.len(),
            2 * plan.seats.len()
        )),
        Some(seat) => Ok((plan, seat)),
        None => Err(format!("{}: field seats: none is named {name:?}, as this node is", path.display())),
    }
}

/// This node's parts, and the ways of its classes' requests into them.
pub struct QuotaAdmission {
    plan: Plan,
    holder: Holder,
    gate: Gate,
    /// By class.
    parties: Vec<Party>,
    /// Nobody is told to come later than this.
    most_wait: Nanos,
}

impl QuotaAdmission {
    /// Floors alone until the first answer. `start` tells this start of the seat from others.
    pub fn new(plan: Plan, seat: usize, now: Nanos, classes: &[String], most_wait: Nanos) -> QuotaAdmission {
        let id = HolderId { seat: seat as u16, start: now };
        let gate = Gate::new(&plan, &[String::new()], classes);
        let parties = classes.iter().map(|class| gate.party("", class)).collect();
        QuotaAdmission { holder: Holder::new(id, plan.clone(), now), plan, gate, parties, most_wait }
    }

    fn told(&self, refusal: Refusal) -> Nanos {
        refusal.wait.min(self.most_wait)
    }

    /// A request comes in: it has its part of all budgets that concern it, or is to come again after this.
    pub fn first(&mut self, now: Nanos, class: usize) -> Result<(), Nanos> {
        let done = self.gate.pass(&mut self.holder, now, self.parties[class], Use::First);
        done.map_err(|refusal| self.told(refusal))
    }

    /// One that was let in makes a further attempt.
    pub fn again(&mut self, now: Nanos, class: usize) -> Result<(), Nanos> {
        let done = self.gate.pass(&mut self.holder, now, self.parties[class], Use::Again);
        done.map_err(|refusal| self.told(refusal))
    }

    /// One that was let in is over.
    pub fn over(&mut self, class: usize) {
        self.gate.over(&mut self.holder, self.parties[class]);
    }

    /// One stands that this node did not let in.
    pub fn stands(&mut self, class: usize) {
        self.gate.stands(&mut self.holder, self.parties[class]);
    }

    /// Whether more stands than some level's part.
    pub fn is_over(&mut self, now: Nanos) -> bool {
        (0..self.plan.budgets.len()).any(|budget| self.holder.over(now, budget) > 0)
    }

    /// Which of these standing connections, by class and newest first, have to end: over the part of some level.
    pub fn excess(&mut self, now: Nanos, newest: impl Iterator<Item = usize>) -> Vec<bool> {
        let mut over: Vec<u64> = (0..self.plan.budgets.len()).map(|b| self.holder.over(now, b)).collect();
        let ends = |class: usize| {
            let levels = self.gate.levels(self.parties[class]);
            let ends = levels.iter().any(|level| over[*level] > 0);
            if ends {
                levels.iter().for_each(|level| over[*level] = over[*level].saturating_sub(1));
            }
            ends
        };
        newest.map(ends).collect()
    }

    /// The next ask, where it is due.
    pub fn ask(&mut self, now: Nanos) -> Option<Ask> {
        (self.holder.next_ask() <= now).then(|| self.holder.ask(now))
    }

    /// An answer came; whether it was taken.
    pub fn answered(&mut self, now: Nanos, answer: &Answer) -> bool {
        self.holder.answered(now, answer)
    }

    /// The node leaves.
    pub fn go(&mut self) {
        self.holder.go();
    }

    /// How long the parts may still be used; zero on the floors.
    pub fn lease_left(&self, now: Nanos) -> Nanos {
        self.holder.lease_left(now)
    }

    /// The budgets' names and what people on call read of them.
    pub fn readings(&self) -> impl Iterator<Item = (&str, Reading)> {
        self.plan.budgets.iter().enumerate().map(|(at, b)| (b.name.as_str(), self.holder.reading(at)))
    }
}
