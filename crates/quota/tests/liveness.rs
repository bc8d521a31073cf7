//! That the bound is not bought by idleness: how much of a level is in use under demand over the whole, and how soon
//! again after a node left or died, in virtual time, beside an even static part. Twelve nodes, messages take 5 ms, the
//! grantors write every 50 ms, connections live 1 s on the mean. `SHARES_SEEDS` sets the seeds.

use rand::{rngs::StdRng, Rng, SeedableRng};
use sparbank_quota::*;

const MS: u64 = 1_000_000;
const NODES: usize = 12;
const WHOLE: u64 = 600;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Parts {
    Shares,
    Even,
    /// One pool that all see at once: the least time and the most use that there can be.
    Pool,
}

/// What happens to half of the nodes at 20 s.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Nothing,
    /// They are told to go, and end what they hold within a second.
    Leave,
    Killed,
}

fn plan() -> Plan {
    let seat = |i: usize| Seat { name: format!("n{i}"), address: ([127, 0, 0, 1], 9000 + i as u16).into() };
    let (name, limits, whole, burst, floor_percent) = ("standing".into(), Limits::Connections, WHOLE, 0, 10);
    let budget = Budget { name, limits, whole, burst, floor_percent, subscriber: None, class: None };
    let (lease_ms, clear_ms, drift_ppm) = (3000, 0, 1000);
    let seats = (0..NODES).map(seat).collect();
    Plan { seats, grantors: vec!["n0".into()], lease_ms, clear_ms, drift_ppm, budgets: vec![budget] }
}

struct Played {
    /// Part of the whole in use on the mean, 10 to 20 s and after 30 s.
    before: f64,
    /// Milliseconds from the event's end (who leaves has ended all after 1 s) to the first from which nine tenths
    /// of the whole are in use for 1 s; None if they never are.
    back: Option<u64>,
    most: u64,
}

fn play(seed: u64, parts: Parts, busy: f64, event: Event) -> Played {
    let (mut rng, plan) = (StdRng::seed_from_u64(seed), plan());
    let id = |seat: usize| HolderId { seat: seat as u16, start: 1 };
    let mut holders: Vec<Holder> = (0..NODES).map(|seat| Holder::new(id(seat), plan.clone(), 0)).collect();
    let mut granter = Granter::new(Book::new(plan.clone()), 0);
    let mut ends: Vec<Vec<u64>> = vec![Vec::new(); NODES];
    let mut asks: Vec<(u64, Ask)> = Vec::new();
    let mut answers: Vec<(u64, Answer)> = Vec::new();
    let (mut used, mut back, mut most, mut since) = (0, None, 0, 0);
    let from = if event == Event::Leave { 21_000 } else { 20_000 };
    let dead = |seat: usize, t: u64| event == Event::Killed && t >= 20_000 && seat % 2 == 1;
    let gone = |seat: usize, t: u64| event != Event::Nothing && t >= 20_000 && seat % 2 == 1;
    for t in 0..40_000u64 {
        let now = t * MS;
        for seat in 0..NODES {
            if dead(seat, t) {
                ends[seat].clear();
                continue;
            }
            let holder = &mut holders[seat];
            let standing = ends[seat].len();
            ends[seat].retain(|end| *end > t && !(gone(seat, t) && t >= 21_000));
            (ends[seat].len()..standing).for_each(|_| holder.ended(&[0]));
            if gone(seat, t) {
                holder.go();
            } else {
                // Half as much again as the whole bears, by all nodes that are there, or ten times at the first.
                let weight = if seat == 0 { busy } else { 1.0 };
                let there = if gone(1, t) { NODES / 2 } else { NODES } as f64;
                let chance = 1.5 * WHOLE as f64 / 1000.0 * weight / (there - 1.0 + busy);
                let wants = chance as u32 + u32::from(rng.random_bool(chance.fract()));
                for _ in 0..wants {
                    let room = match parts {
                        Parts::Shares => holder.take(now, &[0]).is_ok(),
                        Parts::Even => ends[seat].len() < WHOLE as usize / NODES,
                        Parts::Pool => ends.iter().map(Vec::len).sum::<usize>() < WHOLE as usize,
                    };
                    if room {
                        let life = -1000.0 * rng.random_range(f64::EPSILON..1.0).ln();
                        ends[seat].push(t + 1 + life as u64);
                    }
                }
            }
            if parts == Parts::Shares && holder.next_ask() <= now {
                asks.push((t + 5, holder.ask(now)));
            }
        }
        if t % 50 == 0 {
            let frees = granter.due(now);
            let (come, later): (Vec<_>, Vec<_>) = asks.into_iter().partition(|(at, _)| *at <= t);
            asks = later;
            let come = come.into_iter().map(|(_, ask)| ask).collect();
            let written = granter.write(now, &Batch { frees, asks: come });
            answers.extend(written.into_iter().map(|answer| (t + 5, answer)));
        }
        let (come, later): (Vec<_>, Vec<_>) = answers.into_iter().partition(|(at, _)| *at <= t);
        answers = later;
        for (_, answer) in come {
            holders[usize::from(answer.holder.seat)].answered(now, &answer);
        }
        let standing: u64 = ends.iter().map(|e| e.len() as u64).sum();
        most = most.max(standing);
        used += if (10_000..20_000).contains(&t) { standing } else { 0 };
        if t < from || (standing as f64) < 0.9 * WHOLE as f64 {
            since = t + 1;
        } else if back.is_none() && t >= from + 500 && t - since >= 1000 {
            back = Some(since - from);
        }
    }
    Played { before: used as f64 / 10_000.0 / WHOLE as f64, back, most }
}

fn median(mut of: Vec<f64>) -> (f64, f64, f64) {
    of.sort_by(f64::total_cmp);
    (of[0], of[of.len() / 2], of[of.len() - 1])
}

#[test]
fn the_whole_is_used_and_comes_back() {
    let seeds: Vec<u64> = std::env::var("SHARES_SEEDS").map_or((1..=10).collect(), |seeds| {
        seeds.split(',').map(|seed| seed.trim().parse().expect("SHARES_SEEDS: numbers")).collect()
    });
    let all = |parts, busy, event| seeds.iter().map(|s| play(*s, parts, busy, event)).collect::<Vec<_>>();
    for (busy, wanted) in [(1.0, 0.95), (10.0, 0.9)] {
        for parts in [Parts::Shares, Parts::Even, Parts::Pool] {
            let played = all(parts, busy, Event::Nothing);
            let (least, middle, _) = median(played.iter().map(|p| p.before).collect());
            println!(
                "{parts:?}, one node at {busy} times: {middle:.3} of the whole in use (least {least:.3})"
            );
            assert!(least >= wanted || parts != Parts::Shares);
            assert!(played.iter().all(|p| p.most <= WHOLE));
        }
    }
    // Half of the nodes at once: within a second of an orderly leave, within a lease and a second of a kill, over
    // the least time that demand itself takes.
    for (event, within) in [(Event::Leave, 1_000.0), (Event::Killed, 4_000.0)] {
        let times = [Parts::Shares, Parts::Even, Parts::Pool].map(|parts| {
            let played = all(parts, 1.0, event);
            assert!(played.iter().all(|p| p.most <= WHOLE));
            let back = played.iter().map(|p| p.back.map_or(f64::INFINITY, |ms| ms as f64)).collect();
            let (_, middle, worst) = median(back);
            println!("{event:?}, {parts:?}: nine tenths again after {middle:.0} ms (worst {worst:.0})");
            worst
        });
        assert!(times[0] <= within + times[2], "{times:?}");
    }
}
