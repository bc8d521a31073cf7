//! Benchmarks of the admission of a request and of the division of quotas by a grantor:
//! `cargo bench -p sparbank-quota`.

use sparbank_quota::{
    AdmissionController, AttemptKind, Grantor, HolderId, LeaseHolder, LeaseRequest, LeaseTable, LogEntry,
    Member, Quota, QuotaPlan, QuotaScope, Resource,
};
use sparbank_time::MonotonicTime;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

const QUOTAS: usize = 100;
const SUBSCRIBERS: usize = 1000;
const ADMISSIONS: u64 = 2_000_000;
/// A prime number, so that consecutive admissions use subscribers that are far apart.
const SUBSCRIBER_STRIDE: usize = 7919;
/// The virtual time between two admissions.
const ADMISSION_INTERVAL: Duration = Duration::from_micros(100);
const DIVISION_ROUNDS: u64 = 5;

/// Four quotas apply to all subscribers, each of the others to one subscriber.
fn plan(members: u16) -> QuotaPlan {
    let member = |i: u16| Member { name: format!("n{i}"), address: ([127, 0, 0, 1], 2000 + i).into() };
    let quota = |i: usize| Quota {
        name: format!("q{i}"),
        resource: [Resource::Connections, Resource::Setups, Resource::Retries][i % 3],
        total: 1_000_000_000,
        burst: if i.is_multiple_of(3) { 0 } else { 1_000_000_000 },
        floor_percent: 10,
        subscriber: (i >= 4).then(|| format!("s{i}")),
        class: None,
    };
    let plan = QuotaPlan {
        members: (0..members).map(member).collect(),
        grantors: vec!["n0".to_string()],
        lease_ms: 5000,
        clear_ms: 1000,
        drift_ppm: 1000,
        quotas: (0..QUOTAS).map(quota).collect(),
    };
    plan.validate().expect("the plan is valid");
    plan
}

fn measure_admission() {
    let plan = plan(300);
    let subscribers: Vec<String> = (0..SUBSCRIBERS).map(|i| format!("s{i}")).collect();
    let controller = AdmissionController::new(&plan, &subscribers, &["a".into(), "b".into(), "c".into()]);
    let mut holder =
        LeaseHolder::new(HolderId { member: 0, incarnation: 1 }, plan.clone(), MonotonicTime::ZERO);
    let scopes: Vec<QuotaScope> = subscribers.iter().map(|s| controller.scope(s, "b")).collect();
    let mut rejected = 0;
    let started = Instant::now();
    let mut now = MonotonicTime::ZERO;
    for i in 0..ADMISSIONS {
        let scope = scopes[i as usize * SUBSCRIBER_STRIDE % SUBSCRIBERS];
        match controller.admit(&mut holder, now, scope, AttemptKind::First) {
            Ok(()) => controller.release(&mut holder, scope),
            Err(rejection) => rejected += u64::from(black_box(rejection).retry_after > Duration::ZERO),
        }
        now += ADMISSION_INTERVAL;
    }
    let nanos_per_request = started.elapsed().as_nanos() as f64 / ADMISSIONS as f64;
    println!(
        "admission, {QUOTAS} quotas, {SUBSCRIBERS} subscribers: {nanos_per_request:.0} ns per request, \
         {rejected} of {ADMISSIONS} rejected"
    );
}

fn measure_division(members: u16) {
    let plan = plan(members);
    let layout = plan.layout_hash();
    let mut grantor = Grantor::new(LeaseTable::new(plan), MonotonicTime::ZERO);
    let request = |member: u16, sequence: u64| LeaseRequest {
        holder: HolderId { member, incarnation: 1 },
        sequence,
        layout,
        retained: vec![100; QUOTAS],
        wanted: (0..QUOTAS as u64).map(|i| (u64::from(member) * 131 + i * 7 + sequence) % 1000).collect(),
        shutting_down: false,
    };
    let mut times_ms = Vec::new();
    for sequence in 1..=DIVISION_ROUNDS {
        let requests = (0..members).map(|member| request(member, sequence)).collect();
        let entry = LogEntry { requests, ..LogEntry::default() };
        let started = Instant::now();
        black_box(grantor.apply(MonotonicTime::ZERO + Duration::from_millis(sequence), &entry));
        times_ms.push(started.elapsed().as_secs_f64() * 1e3);
    }
    times_ms.sort_by(f64::total_cmp);
    let median_ms = times_ms[times_ms.len() / 2];
    println!(
        "division among {members} members, {QUOTAS} quotas, one request of each: {median_ms:.2} ms \
         (median of {DIVISION_ROUNDS})"
    );
}

fn main() {
    measure_admission();
    for members in [3, 48, 300, 3000] {
        measure_division(members);
    }
}
