//! Another customer's settings, and restarts: the same core of stories (serve, retry, refuse, drain) on generated
//! classes, names, effects, deadlines and lists; and many processes that start at once without discovery.

mod support;

use rstest::rstest;
use std::time::{Duration, Instant};
use support::*;

/// The configuration of a customer with these classes (name, effect, deadline in ms), by turns.
fn customer(text: &str, classes: &[(&str, &str, u64)], zones: &str, discovery: &str) -> String {
    let (head, _) = text.split_once(r#""settings":"#).expect("settings");
    let profile = |(name, effect, ms): &(&str, &str, u64)| {
        let (limit, aim) = (ms * 1_000_000, (*ms).min(1_200) * 250_000);
        format!(
            r#"{{"Effect":"{effect}","HardLimitNs":{limit},"Name":"{name}","ObjectiveNs":{aim},"DedupScope":"all","WindowNs":5000000000}}"#
        )
    };
    let profiles: Vec<String> = classes.iter().map(profile).collect();
    format!(
        r#"{head}"settings":{{"Profiles":[{}],"Discovery":"{discovery}",{zones}
        "Limits":{{"MaxAttempts":3,"MayCancel":true,"RetryAfter":true,"MaxRetryAfterNs":600000000,"DialTimeoutNs":90000000}},
        "Rules":{{"AskWithinNs":1600000000,"ColdFrom":0.5,"ColdNs":3000000000,"FallMultiple":2.0,"TipAfterNs":1000000000}}}}}}"#,
        profiles.join(",")
    )
}

const SIXTEEN: [(&str, &str, u64); 16] = [
    ("a", "read_like", 100),
    ("flux-hélène", "idempotency_key", 60_000),
    ("κλάση", "non_idempotent", 60_000),
    ("潮位", "read_like", 1_000),
    ("d", "idempotency_key", 900),
    ("e", "non_idempotent", 800),
    ("f", "read_like", 700),
    ("g", "idempotency_key", 60_000),
    ("h", "non_idempotent", 500),
    ("i", "read_like", 60_000),
    ("j", "idempotency_key", 3_000),
    ("k", "non_idempotent", 2_000),
    ("l", "read_like", 1_500),
    ("m", "idempotency_key", 1_200),
    ("n", "non_idempotent", 1_100),
    ("0", "read_like", 60_000),
];

fn one_short(text: &str) -> String {
    customer(text, &SIXTEEN[..1], "", "ask")
}

fn one_long(text: &str) -> String {
    customer(text, &SIXTEEN[1..2], r#""Zones":[],"#, "push")
}

fn sixteen_asked(text: &str) -> String {
    customer(text, &SIXTEEN, r#""Zones":["b","a"],"Zone":1,"#, "ask")
}

fn sixteen_pushed(text: &str) -> String {
    customer(text, &SIXTEEN, r#""Zones":["north shore"],"#, "push")
}

#[rstest]
#[case::one_class_of_100_ms(one_short, 0..1)]
#[case::one_class_of_60_s(one_long, 1..2)]
#[case::sixteen_classes(sixteen_asked, 0..16)]
#[case::sixteen_classes_pushed(sixteen_pushed, 0..16)]
fn the_same_core_serves_another_customer(
    #[case] edit: fn(&str) -> String,
    #[case] classes: std::ops::Range<usize>,
) {
    let mut bench = Bench::with_args(vec![listener(), listener()], None, &[], edit);
    let mut watch = bench.accept_watch();
    let line = |number: usize, class: usize| {
        let (name, _, ms) = SIXTEEN[class];
        format!("OPEN r{number} k{number} c={name},d={},g=g{number}", ms)
    };
    // An attempt that never ran is made again elsewhere, whatever the class; then lines pass.
    for class in classes.clone() {
        let mut client = bench.connect_client(&line(class, class));
        let (_, mut first) = accept_any(&bench.servers);
        assert!(first.read_line().contains(&format!("c={}", SIXTEEN[class].0)));
        if SIXTEEN[class].2 > 500 {
            first.send("BUSY\r\n");
            let (_, mut second) = accept_any(&bench.servers);
            second.read_line();
            first = second;
        }
        first.send("UP r\r\nM 1\r\n");
        assert_eq!([client.read_line(), client.read_line()], ["UP r", "M 1"]);
    }
    // Refused in time, where the deadline is short enough to wait for.
    if classes.contains(&0) {
        let asked = Instant::now();
        let mut client = bench.connect_client(&line(100, 0));
        let (_, mut attempt) = accept_any(&bench.servers);
        attempt.read_line();
        attempt.send("BUSY\r\n");
        let servers: Vec<_> = bench.servers.iter().map(|l| l.try_clone().expect("a handle")).collect();
        std::thread::spawn(move || loop {
            accept_any(&servers).1.send("BUSY\r\n").read_line();
        });
        assert!(client.read_line().starts_with("BUSY"));
        assert!(asked.elapsed() < Duration::from_secs(1));
    } else {
        bench.update_lifecycle(&mut watch, 0, "draining");
        drop(watch);
        bench.wait_for_log("list-lost reason=Ended");
        for number in 200..204 {
            let _client = bench.connect_client(&line(number, classes.start));
            let (at, mut attempt) = accept_any(&bench.servers);
            attempt.read_line();
            assert_eq!(at, 1, "nothing new goes to the one that drains");
        }
    }
}

/// A name that no settings told is a bad request, not a class.
#[rstest]
fn a_class_of_another_customer_is_unknown() {
    let mut bench = Bench::with_args(vec![listener()], None, &[], sixteen_asked);
    let mut client = bench.connect_client(&open_line(1));
    assert_eq!(client.read_to_end(), "ERR\r\n");
    bench.assert_no_attempts();
}

/// Twenty-four processes start at once, and discovery is away: each is ready by itself.
#[rstest]
fn many_processes_are_ready_within_ten_seconds_without_discovery() {
    let began = Instant::now();
    let starts: Vec<_> = (0..24)
        .map(|_| {
            std::thread::spawn(move || {
                let bench = Bench::start(1);
                assert_eq!(bench.connect_client("PING").read_line(), "PONG");
                (began.elapsed(), bench)
            })
        })
        .collect();
    let ready: Vec<_> = starts.into_iter().map(|start| start.join().expect("it is ready")).collect();
    let late = ready.iter().filter(|(took, _)| *took > Duration::from_secs(10)).count();
    assert!(late <= 2, "{late} of 24 were not ready within 10 s");
}
