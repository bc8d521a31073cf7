//! What the gate costs a request, and what a division costs a grantor: `cargo bench -p sparbank-shares`.

use sparbank_quota::*;
use std::hint::black_box;
use std::time::Instant;

fn plan(seats: u16, budgets: usize) -> Plan {
    let seat = |i: u16| Seat { name: format!("n{i}"), address: ([127, 0, 0, 1], 2000 + i).into() };
    let budget = |i: usize| Budget {
        name: format!("b{i}"),
        limits: [Limits::Connections, Limits::Setups, Limits::Retries][i % 3],
        whole: 1_000_000_000,
        burst: if i.is_multiple_of(3) { 0 } else { 1_000_000_000 },
        floor_percent: 10,
        // Four budgets are everybody's; the others are one subscriber's each.
        subscriber: (i >= 4).then(|| format!("s{i}")),
        class: None,
    };
    let budgets = (0..budgets).map(budget).collect();
    let (lease_ms, clear_ms, drift_ppm) = (5000, 1000, 1000);
    let grantors = vec!["n0".to_string()];
    let plan =
        Plan { seats: (0..seats).map(seat).collect(), grantors, lease_ms, clear_ms, drift_ppm, budgets };
    plan.check().expect("the plan is right");
    plan
}

fn main() {
    let plan_100 = plan(300, 100);
    let subscribers: Vec<String> = (0..1000).map(|i| format!("s{i}")).collect();
    let gate = Gate::new(&plan_100, &subscribers, &["a".into(), "b".into(), "c".into()]);
    let mut holder = Holder::new(HolderId { seat: 0, start: 1 }, plan_100.clone(), 0);
    let parties: Vec<Party> = subscribers.iter().map(|s| gate.party(s, "b")).collect();
    let (many, mut refused) = (2_000_000u64, 0);
    let began = Instant::now();
    for i in 0..many {
        let party = parties[(i * 7919 % 1000) as usize];
        match gate.pass(&mut holder, i * 100_000, party, Use::First) {
            Ok(()) => gate.over(&mut holder, party),
            Err(refusal) => refused += u64::from(black_box(refusal).wait > 0),
        }
    }
    let each = began.elapsed().as_nanos() as f64 / many as f64;
    println!("gate, 100 budgets, 1,000 subscribers: {each:.0} ns a request, {refused} of {many} refused");

    for nodes in [3u16, 48, 300, 3000] {
        let plan = plan(nodes, 100);
        let mut granter = Granter::new(Book::new(plan.clone()), 0);
        let ask = |seat: u16, number: u64| Ask {
            holder: HolderId { seat, start: 1 },
            number,
            layout: plan.layout(),
            keep: vec![100; 100],
            want: (0..100).map(|b| (u64::from(seat) * 131 + b * 7 + number) % 1000).collect(),
            leaves: false,
        };
        let mut times = Vec::new();
        for number in 1..=5 {
            let asks = (0..nodes).map(|seat| ask(seat, number)).collect();
            let batch = Batch { asks, ..Batch::default() };
            let began = Instant::now();
            black_box(granter.write(number * 1_000_000, &batch));
            times.push(began.elapsed().as_secs_f64() * 1e3);
        }
        times.sort_by(f64::total_cmp);
        println!(
            "division among {nodes} nodes, 100 budgets, all ask at once: {:.2} ms (median of 5)",
            times[2]
        );
    }
}
