//! Which budgets a request passes: looked up once for each subscriber and class, then taken all or none.

use crate::holder::{Holder, Refusal};
use crate::plan::{Limits, Plan};
use crate::Nanos;
use std::collections::HashMap;

/// What happens that budgets count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// A request's first attempt: a set-up, and a connection that may come to stand.
    First,
    /// A further attempt of a request that has been let in: a set-up and a retry.
    Again,
}

/// One subscriber's requests of one class, for [`Gate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Party(usize);

/// The way into a holder's budgets. No allocation after the start, and no name is compared on the way.
#[derive(Clone, Debug)]
pub struct Gate {
    /// Every way that requests may pass, each once: parties that the same budgets concern share it.
    ways: Vec<Way>,
    parties: HashMap<(String, String), Party>,
    others: Party,
    lists: Vec<usize>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Way {
    first: Vec<usize>,
    again: Vec<usize>,
    standing: Vec<usize>,
}

impl Gate {
    /// The ways of these subscribers' requests of these classes, and of requests that name neither. Bounded by
    /// the settings: one entry for each pair, and as many ways as differ.
    pub fn new(plan: &Plan, subscribers: &[String], classes: &[String]) -> Gate {
        let (mut ways, mut known) = (Vec::new(), HashMap::new());
        let mut party = |subscriber: &str, class: &str| {
            let way = Way::new(plan, subscriber, class);
            Party(*known.entry(way.clone()).or_insert_with(|| {
                ways.push(way);
                ways.len() - 1
            }))
        };
        let others = party("", "");
        let mut parties = HashMap::new();
        for subscriber in subscribers {
            for class in classes {
                parties.insert((subscriber.clone(), class.clone()), party(subscriber, class));
            }
        }
        let lists = of(plan, "", "", |limits| limits == Limits::Lists);
        Gate { ways, parties, others, lists }
    }

    /// Whose requests these are: looked up when a session begins.
    pub fn party(&self, subscriber: &str, class: &str) -> Party {
        let key = (subscriber.to_string(), class.to_string());
        self.parties.get(&key).copied().unwrap_or(self.others)
    }

    /// Lets an attempt through, or says which budget is used up and when to come again.
    pub fn pass(&self, holder: &mut Holder, now: Nanos, party: Party, what: Use) -> Result<(), Refusal> {
        let way = &self.ways[party.0];
        holder.take(now, if what == Use::First { &way.first } else { &way.again })
    }

    /// A request that was let in is over, or its connection is.
    pub fn over(&self, holder: &mut Holder, party: Party) {
        holder.ended(&self.ways[party.0].standing);
    }

    /// A connection stands that was let in elsewhere.
    pub fn stands(&self, holder: &mut Holder, party: Party) {
        holder.stands(&self.ways[party.0].standing);
    }

    /// The levels that its requests' connections count in.
    pub fn levels(&self, party: Party) -> &[usize] {
        &self.ways[party.0].standing
    }

    /// Lets a call to discovery through.
    pub fn call(&self, holder: &mut Holder, now: Nanos) -> Result<(), Refusal> {
        holder.take(now, &self.lists)
    }
}

impl Way {
    fn new(plan: &Plan, subscriber: &str, class: &str) -> Way {
        let which = |wanted: &[Limits]| of(plan, subscriber, class, |limits| wanted.contains(&limits));
        Way {
            first: which(&[Limits::Connections, Limits::Setups]),
            again: which(&[Limits::Setups, Limits::Retries]),
            standing: which(&[Limits::Connections]),
        }
    }
}

fn of(plan: &Plan, subscriber: &str, class: &str, wanted: impl Fn(Limits) -> bool) -> Vec<usize> {
    let concerned = |(_, b): &(usize, &crate::Budget)| wanted(b.limits) && b.concerns(subscriber, class);
    plan.budgets.iter().enumerate().filter(concerned).map(|(at, _)| at).collect()
}
