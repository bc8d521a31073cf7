//! The shares' state machine, checked exhaustively at a small scope: two holders of two starts, two grantors of
//! which either leads, messages lost, doubled and out of order, clocks that tick apart, a grantor started anew.
//! The holders, books and granters are the program's own; the checker only chooses what happens next.

use sparbank_quota::*;
use stateright::{Checker, Model, Property};

const MS: u64 = 1_000_000;
/// One tick is longer than any lease's odd nanoseconds: a lease is two ticks.
const TICK: u64 = 151 * MS;

/// What is wrong on purpose.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    Early,
    EmptyBook,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Shares {
    t: u64,
    holders: Vec<Holder>,
    asks: Vec<Ask>,
    answers: Vec<Answer>,
    log: Vec<Batch>,
    grantors: Vec<(Granter, usize)>,
    restarts: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Act {
    Tick,
    Ask(usize),
    /// A grantor leads and agrees with the others on an ask that arrived, which stays: it may come again.
    Write(usize, usize),
    /// It takes back what its clock says is over.
    Free(usize),
    CatchUp(usize),
    Answer(usize),
    Take(usize),
    End(usize),
    Restart(usize),
}

struct Scope {
    plan: Plan,
    fault: Fault,
    ticks: u64,
    /// How often each may ask, and how many entries the log may have.
    asks: [usize; 2],
    entries: usize,
    seats: Vec<u16>,
}

impl Scope {
    fn new(fault: Fault, seats: &[u16], ticks: u64, asks: [usize; 2], entries: usize) -> Scope {
        let seat = |i: u16| Seat { name: format!("n{i}"), address: ([127, 0, 0, 1], 9000 + i).into() };
        let plan = Plan {
            seats: (0..2).map(seat).collect(),
            grantors: vec!["n0".into()],
            lease_ms: 300,
            clear_ms: 0,
            drift_ppm: 0,
            budgets: vec![Budget {
                name: "standing".into(),
                limits: Limits::Connections,
                whole: 2,
                burst: 0,
                floor_percent: 0,
                subscriber: None,
                class: None,
            }],
        };
        plan.check().unwrap();
        Scope { plan, fault, ticks, asks, entries, seats: seats.to_vec() }
    }
}

impl Model for Scope {
    type State = Shares;
    type Action = Act;

    fn init_states(&self) -> Vec<Shares> {
        let holder = |(start, seat): (usize, &u16)| {
            let id = HolderId { seat: *seat, start: start as u64 + 1 };
            Holder::new(id, self.plan.clone(), 0)
        };
        let granter = || (Granter::new(Book::new(self.plan.clone()), 0), 0);
        vec![Shares {
            t: 0,
            holders: self.seats.iter().enumerate().map(holder).collect(),
            asks: Vec::new(),
            answers: Vec::new(),
            log: Vec::new(),
            grantors: vec![granter(), granter()],
            restarts: 0,
        }]
    }

    fn actions(&self, s: &Shares, acts: &mut Vec<Act>) {
        if s.t < self.ticks * TICK {
            acts.push(Act::Tick);
        }
        for i in 0..s.holders.len() {
            if s.asks.iter().filter(|a| a.holder.start == i as u64 + 1).count() < self.asks[i] {
                acts.push(Act::Ask(i));
            }
            acts.extend([Act::Take(i), Act::End(i)]);
        }
        for g in 0..2 {
            // Only one that has all that was agreed can lead.
            if s.grantors[g].1 < s.log.len() {
                acts.push(Act::CatchUp(g));
            } else if s.log.len() < self.entries {
                acts.extend((0..s.asks.len()).map(|ask| Act::Write(g, ask)));
                acts.push(Act::Free(g));
            }
            if s.restarts == 0 {
                acts.push(Act::Restart(g));
            }
        }
        acts.extend((0..s.answers.len()).map(Act::Answer));
    }

    fn next_state(&self, last: &Shares, act: Act) -> Option<Shares> {
        let mut s = last.clone();
        let t = s.t;
        match act {
            Act::Tick => s.t += TICK,
            Act::Ask(i) => {
                let ask = s.holders[i].ask(t);
                s.asks.push(ask);
            }
            Act::Write(g, ask) => {
                let batch = Batch { asks: vec![s.asks[ask].clone()], ..Batch::default() };
                let answers = s.grantors[g].0.write(t, &batch);
                if s.grantors[g].0 == last.grantors[g].0 {
                    return None;
                }
                s.answers.extend(answers);
                s.answers.sort();
                s.answers.dedup();
                s.log.push(batch);
                s.grantors[g].1 += 1;
            }
            Act::Free(g) => {
                let early = if self.fault == Fault::Early { TICK } else { 0 };
                let frees = s.grantors[g].0.due(t + early);
                if frees.is_empty() {
                    return None;
                }
                let batch = Batch { frees, ..Batch::default() };
                s.grantors[g].0.write(t, &batch);
                s.log.push(batch);
                s.grantors[g].1 += 1;
            }
            Act::CatchUp(g) => {
                let (granter, applied) = &mut s.grantors[g];
                for batch in &s.log[*applied..] {
                    granter.write(t, batch);
                }
                *applied = s.log.len();
            }
            Act::Answer(a) => {
                let answer = s.answers[a].clone();
                let holder = &mut s.holders[answer.holder.start as usize - 1];
                if !holder.answered(t, &answer) {
                    return None;
                }
            }
            Act::Take(i) => s.holders[i].take(t, &[0]).ok()?,
            Act::End(i) => {
                if s.holders[i].reading(0).used == 0 {
                    return None;
                }
                s.holders[i].ended(&[0]);
            }
            Act::Restart(g) => {
                s.restarts += 1;
                let applied = if self.fault == Fault::EmptyBook { s.log.len() } else { 0 };
                s.grantors[g] = (Granter::new(Book::new(self.plan.clone()), t), applied);
            }
        }
        // A node's loop: what stands over its part ends as soon as its lease is over.
        for holder in &mut s.holders {
            (0..holder.over(s.t, 0)).for_each(|_| holder.ended(&[0]));
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never over the whole", |scope: &Scope, s: &Shares| {
                let mut holders = s.holders.clone();
                let allowed: u64 = holders.iter_mut().map(|h| h.allowed(s.t, 0)).sum();
                let used: u64 = holders.iter().map(|h| h.reading(0).used).sum();
                allowed.max(used) <= scope.plan.budgets[0].whole
            }),
            Property::always("the book holds", |scope: &Scope, s: &Shares| {
                s.grantors.iter().all(|g| g.0.book().granted(0) <= scope.plan.divisible(0))
            }),
            Property::sometimes("all of it is used", |scope: &Scope, s: &Shares| {
                s.holders.iter().map(|h| h.reading(0).used).sum::<u64>() == scope.plan.budgets[0].whole
            }),
        ]
    }
}

fn check(fault: Fault, seats: &[u16], ticks: u64, asks: [usize; 2], entries: usize) -> (usize, bool) {
    let checker = Scope::new(fault, seats, ticks, asks, entries).checker().threads(2).spawn_bfs().join();
    let states = checker.unique_state_count();
    println!("{states} states");
    (
        states,
        checker.discovery("never over the whole").is_some() || checker.discovery("the book holds").is_some(),
    )
}

#[test]
fn two_seats_never_over_the_whole() {
    let (states, broken) = check(Fault::None, &[0, 1], 2, [2, 1], 4);
    assert!(!broken && states > 10_000, "{states}");
}

/// Two starts of one seat at once: an upgrade's two processes, or a copy started by mistake.
#[test]
fn two_starts_of_a_seat_never_over_the_whole() {
    let (states, broken) = check(Fault::None, &[0, 0], 2, [2, 1], 4);
    assert!(!broken && states > 10_000, "{states}");
}

#[test]
fn a_part_taken_back_early_is_seen() {
    assert!(check(Fault::Early, &[0, 1], 2, [1, 1], 4).1);
}

#[test]
fn a_grantor_that_lost_its_book_is_seen() {
    assert!(check(Fault::EmptyBook, &[0, 1], 2, [1, 1], 4).1);
}
