//! Admission: which quotas an attempt counts against. They are looked up once for each subscriber and class, and
//! acquired all or none.

use crate::lease_holder::{LeaseHolder, Rejection};
use crate::plan::{QuotaPlan, Resource};
use sparbank_time::MonotonicTime;
use std::collections::HashMap;

/// The kinds of attempts, which count against different quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first attempt of a request: a set-up, and a connection that may be established.
    First,
    /// A further attempt of an admitted request: a set-up and a retry.
    Retry,
}

/// The requests of one subscriber and class, for [`AdmissionController`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaScope(usize);

/// Admits attempts against the quotas of a [`LeaseHolder`]. Admission neither allocates nor compares names.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    /// The distinct sets of quotas: scopes to which the same quotas apply share one.
    quota_sets: Vec<QuotaSet>,
    scopes: HashMap<ScopeKey, QuotaScope>,
    /// The scope of requests whose subscriber or class is not known.
    default_scope: QuotaScope,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ScopeKey {
    subscriber: String,
    class: String,
}

/// The indices in the plan of the quotas that apply to a scope.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct QuotaSet {
    first_attempt: Vec<usize>,
    retry: Vec<usize>,
    connection: Vec<usize>,
}

impl AdmissionController {
    /// A controller for the requests of these subscribers and classes. Its size is bounded by the settings: one
    /// entry for each pair, and as many sets of quotas as differ.
    pub fn new(plan: &QuotaPlan, subscribers: &[String], classes: &[String]) -> AdmissionController {
        let mut quota_sets = QuotaSets::default();
        let default_scope = quota_sets.scope_of(QuotaSet::new(plan, "", ""));
        let mut scopes = HashMap::new();
        for subscriber in subscribers {
            for class in classes {
                let scope = quota_sets.scope_of(QuotaSet::new(plan, subscriber, class));
                scopes.insert(ScopeKey { subscriber: subscriber.clone(), class: class.clone() }, scope);
            }
        }
        AdmissionController { quota_sets: quota_sets.distinct, scopes, default_scope }
    }

    /// The scope of the requests of a subscriber and a class, looked up when a session begins.
    pub fn scope(&self, subscriber: &str, class: &str) -> QuotaScope {
        let key = ScopeKey { subscriber: subscriber.to_string(), class: class.to_string() };
        self.scopes.get(&key).copied().unwrap_or(self.default_scope)
    }

    /// Admits an attempt.
    ///
    /// # Errors
    ///
    /// The quota that is exhausted, and when to retry; then nothing is acquired.
    pub fn admit(
        &self,
        holder: &mut LeaseHolder,
        now: MonotonicTime,
        scope: QuotaScope,
        attempt: AttemptKind,
    ) -> Result<(), Rejection> {
        let quotas = &self.quota_sets[scope.0];
        match attempt {
            AttemptKind::First => holder.acquire(now, &quotas.first_attempt),
            AttemptKind::Retry => holder.acquire(now, &quotas.retry),
        }
    }

    /// Releases the levels of an admitted request when it, or its connection, has ended.
    pub fn release(&self, holder: &mut LeaseHolder, scope: QuotaScope) {
        holder.release(self.levels(scope));
    }

    /// Counts an established connection that was admitted by another process.
    pub fn adopt_connection(&self, holder: &mut LeaseHolder, scope: QuotaScope) {
        holder.adopt(self.levels(scope));
    }

    /// The levels in which the connections of a scope count, as indices in the plan.
    pub fn levels(&self, scope: QuotaScope) -> &[usize] {
        &self.quota_sets[scope.0].connection
    }
}

/// Collects the distinct sets of quotas.
#[derive(Default)]
struct QuotaSets {
    distinct: Vec<QuotaSet>,
    scopes: HashMap<QuotaSet, QuotaScope>,
}

impl QuotaSets {
    fn scope_of(&mut self, quotas: QuotaSet) -> QuotaScope {
        if let Some(known) = self.scopes.get(&quotas) {
            return *known;
        }
        let scope = QuotaScope(self.distinct.len());
        self.distinct.push(quotas.clone());
        self.scopes.insert(quotas, scope);
        scope
    }
}

impl QuotaSet {
    fn new(plan: &QuotaPlan, subscriber: &str, class: &str) -> QuotaSet {
        let applicable = |resources: &[Resource]| {
            let quotas = plan.quotas.iter().enumerate();
            quotas
                .filter(|(_, quota)| resources.contains(&quota.resource))
                .filter(|(_, quota)| quota.applies_to(subscriber, class))
                .map(|(index, _)| index)
                .collect()
        };
        QuotaSet {
            first_attempt: applicable(&[Resource::Connections, Resource::Setups]),
            retry: applicable(&[Resource::Setups, Resource::Retries]),
            connection: applicable(&[Resource::Connections]),
        }
    }
}
