//! Admission of attempts against all quotas that apply to them, acquired atomically. The quotas that apply to a
//! subscriber and class are determined once.

use crate::lease_holder::{LeaseHolder, Rejection};
use crate::plan::{QuotaPlan, Resource};
use sparbank_time::MonotonicTime;
use std::collections::HashMap;

/// The kinds of attempts. They count against different quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first attempt of a request, which counts as a set-up and as a connection.
    First,
    /// A further attempt of an admitted request, which counts as a set-up and as a retry.
    Retry,
}

/// A set of requests to which the same quotas apply, as returned by [`AdmissionController::scope`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaScope(usize);

/// Admits attempts against the quotas of a [`LeaseHolder`]. Admitting an attempt neither allocates memory nor
/// compares names.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    /// The distinct sets of quotas, indexed by scope. Pairs of subscriber and class to which the same quotas apply
    /// share a scope.
    quota_sets: Vec<QuotaSet>,
    scopes: HashMap<ScopeKey, QuotaScope>,
    /// The scope of requests whose subscriber or class is unknown.
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
    levels: Vec<usize>,
}

impl AdmissionController {
    /// Creates a controller for the requests of these subscribers and classes. Its size is bounded by the settings:
    /// it has one entry for each pair of them, and each distinct set of quotas once.
    pub fn new(plan: &QuotaPlan, subscribers: &[String], classes: &[String]) -> AdmissionController {
        let mut quota_sets = QuotaSetInterner::default();
        let default_scope = quota_sets.intern(QuotaSet::new(plan, "", ""));
        let mut scopes = HashMap::new();
        for subscriber in subscribers {
            for class in classes {
                let scope = quota_sets.intern(QuotaSet::new(plan, subscriber, class));
                scopes.insert(ScopeKey { subscriber: subscriber.clone(), class: class.clone() }, scope);
            }
        }
        AdmissionController { quota_sets: quota_sets.distinct, scopes, default_scope }
    }

    /// The scope of the requests of a subscriber and class. It allocates memory, so callers look it up once and keep
    /// the result.
    pub fn scope(&self, subscriber: &str, class: &str) -> QuotaScope {
        let key = ScopeKey { subscriber: subscriber.to_string(), class: class.to_string() };
        self.scopes.get(&key).copied().unwrap_or(self.default_scope)
    }

    /// Admits an attempt.
    ///
    /// # Errors
    ///
    /// The exhausted quota and the time to wait before a retry. In this case nothing is acquired.
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
            AttemptKind::Retry => {
                // The connection was acquired by the first attempt, perhaps on a lease that is over.
                holder.check_levels(now, &quotas.levels)?;
                holder.acquire(now, &quotas.retry)
            }
        }
    }

    /// Whether the node uses more of a scope's levels than it may at this time. An admitted attempt that has not been sent
    /// must not be sent then: it was admitted on a lease that is over.
    pub fn exceeds_levels(&self, holder: &LeaseHolder, now: MonotonicTime, scope: QuotaScope) -> bool {
        holder.exceeds_levels(now, self.levels(scope))
    }

    /// Releases the levels of an admitted request when the request or its connection has ended.
    pub fn release(&self, holder: &mut LeaseHolder, scope: QuotaScope) {
        holder.release(self.levels(scope));
    }

    /// Counts an established connection that another process admitted.
    pub fn adopt_connection(&self, holder: &mut LeaseHolder, scope: QuotaScope) {
        holder.adopt(self.levels(scope));
    }

    /// The levels against which the connections of a scope count, as indices in the plan.
    pub fn levels(&self, scope: QuotaScope) -> &[usize] {
        &self.quota_sets[scope.0].levels
    }
}

/// Assigns one scope to each distinct set of quotas.
#[derive(Default)]
struct QuotaSetInterner {
    distinct: Vec<QuotaSet>,
    scopes: HashMap<QuotaSet, QuotaScope>,
}

impl QuotaSetInterner {
    fn intern(&mut self, quotas: QuotaSet) -> QuotaScope {
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
            levels: applicable(&[Resource::Connections]),
        }
    }
}
