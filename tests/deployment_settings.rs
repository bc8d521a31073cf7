//! The settings of other deployments: requests are served, retried and rejected and servers drain with other request
//! classes, names, effects, deadlines and kinds of discovery. Many processes start at once without discovery.

use rstest::rstest;
use sparbank_test_support::{accept_any, listener, request_line, Peer, TestNode};
use std::time::{Duration, Instant};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

const NANOS_PER_MILLISECOND: u64 = 1_000_000;

/// A request class of a deployment.
struct ClassSettings {
    name: &'static str,
    effect: &'static str,
    deadline_ms: u64,
}

const fn class(name: &'static str, effect: &'static str, deadline_ms: u64) -> ClassSettings {
    ClassSettings { name, effect, deadline_ms }
}

impl ClassSettings {
    /// The class as an entry of the settings' `Profiles`.
    fn profile(&self) -> String {
        let ClassSettings { name, effect, deadline_ms } = self;
        let hard_limit = deadline_ms * NANOS_PER_MILLISECOND;
        // A quarter of the deadline, or of 1.2 s if that is shorter.
        let objective = (*deadline_ms).min(1_200) * NANOS_PER_MILLISECOND / 4;
        format!(
            r#"{{"Effect":"{effect}","HardLimitNs":{hard_limit},"Name":"{name}","ObjectiveNs":{objective},"DedupScope":"all","WindowNs":5000000000}}"#
        )
    }
}

/// Replaces the settings in a configuration by those of a deployment with these classes, zones and kind of discovery.
fn with_settings(text: &str, classes: &[ClassSettings], zones: &str, discovery: &str) -> String {
    let (head, _) = text.split_once(r#""settings":"#).expect("settings");
    let profiles: Vec<String> = classes.iter().map(ClassSettings::profile).collect();
    format!(
        r#"{head}"settings":{{"Profiles":[{}],"Discovery":"{discovery}",{zones}
        "Limits":{{"MaxAttempts":3,"MayCancel":true,"RetryAfter":true,"MaxRetryAfterNs":600000000,"DialTimeoutNs":90000000}},
        "Rules":{{"AskWithinNs":1600000000,"ColdFrom":0.5,"ColdNs":3000000000,"FallMultiple":2.0,"TipAfterNs":1000000000}}}}}}"#,
        profiles.join(",")
    )
}

const CLASSES: [ClassSettings; 16] = [
    class("a", "read_like", 100),
    class("flux-hélène", "idempotency_key", 60_000),
    class("κλάση", "non_idempotent", 60_000),
    class("潮位", "read_like", 1_000),
    class("d", "idempotency_key", 900),
    class("e", "non_idempotent", 800),
    class("f", "read_like", 700),
    class("g", "idempotency_key", 60_000),
    class("h", "non_idempotent", 500),
    class("i", "read_like", 60_000),
    class("j", "idempotency_key", 3_000),
    class("k", "non_idempotent", 2_000),
    class("l", "read_like", 1_500),
    class("m", "idempotency_key", 1_200),
    class("n", "non_idempotent", 1_100),
    class("0", "read_like", 60_000),
];

fn one_class_with_short_deadline(text: &str) -> String {
    with_settings(text, &CLASSES[..1], "", "ask")
}

fn one_class_with_long_deadline(text: &str) -> String {
    with_settings(text, &CLASSES[1..2], r#""Zones":[],"#, "push")
}

fn sixteen_classes_polled(text: &str) -> String {
    with_settings(text, &CLASSES, r#""Zones":["b","a"],"Zone":1,"#, "ask")
}

fn sixteen_classes_pushed_with_zone(text: &str) -> String {
    with_settings(text, &CLASSES, r#""Zones":["north shore"],"#, "push")
}

#[rstest]
#[case::one_class_of_100_ms(one_class_with_short_deadline, 0..1)]
#[case::one_class_of_60_s(one_class_with_long_deadline, 1..2)]
#[case::sixteen_classes(sixteen_classes_polled, 0..16)]
#[case::sixteen_classes_pushed(sixteen_classes_pushed_with_zone, 0..16)]
fn a_node_serves_retries_rejects_and_drains_under_other_settings(
    #[case] edit: fn(&str) -> String,
    #[case] classes: std::ops::Range<usize>,
) {
    let mut bench = TestNode::start_with_args(PROGRAM, vec![listener(), listener()], None, &[], edit);
    let watch = bench.accept_watch();
    for class in classes.clone() {
        serve_after_a_retry(&bench, class);
    }
    if classes.contains(&0) {
        reject_before_the_deadline(&bench, 0);
    } else {
        drain_the_first_server(&mut bench, watch, classes.start);
    }
}

/// The first line of a request of this class.
fn request_line_of_class(number: usize, class: usize) -> String {
    let ClassSettings { name, deadline_ms, .. } = &CLASSES[class];
    format!("OPEN r{number} k{number} c={name},d={deadline_ms},g=g{number}")
}

/// An attempt that never ran is retried at another server, whatever the class. After that, lines are forwarded.
fn serve_after_a_retry(bench: &TestNode, class: usize) {
    /// The longest deadline that leaves no time for a retry.
    const MAX_DEADLINE_WITHOUT_RETRY_MS: u64 = 500;
    let mut client = bench.connect_client(&request_line_of_class(class, class));
    let (_, mut attempt) = accept_any(&bench.servers);
    assert!(attempt.read_line().contains(&format!("c={}", CLASSES[class].name)));
    if CLASSES[class].deadline_ms > MAX_DEADLINE_WITHOUT_RETRY_MS {
        attempt.send("BUSY\r\n");
        let (_, mut retry) = accept_any(&bench.servers);
        retry.read_line();
        attempt = retry;
    }
    attempt.send("UP r\r\nM 1\r\n");
    assert_eq!([client.read_line(), client.read_line()], ["UP r", "M 1"]);
}

/// All servers reject the request: the client gets its answer in time.
fn reject_before_the_deadline(bench: &TestNode, class: usize) {
    let requested_at = Instant::now();
    let mut client = bench.connect_client(&request_line_of_class(100, class));
    let (_, mut attempt) = accept_any(&bench.servers);
    attempt.read_line();
    attempt.send("BUSY\r\n");
    let servers: Vec<_> = bench.servers.iter().map(|l| l.try_clone().expect("a handle")).collect();
    std::thread::spawn(move || loop {
        accept_any(&servers).1.send("BUSY\r\n").read_line();
    });
    assert!(client.read_line().starts_with("BUSY"));
    assert!(requested_at.elapsed() < Duration::from_secs(1));
}

/// The first server drains, and then the watch is lost: new requests go to the second server.
fn drain_the_first_server(bench: &mut TestNode, mut watch: Peer, class: usize) {
    bench.update_lifecycle(&mut watch, 0, "draining");
    drop(watch);
    bench.wait_for_log("endpoint watch lost error=discovery ended the response");
    for number in 200..204 {
        let _client = bench.connect_client(&request_line_of_class(number, class));
        let (server, mut attempt) = accept_any(&bench.servers);
        attempt.read_line();
        assert_eq!(server, 1, "a draining server gets no new request");
    }
}

/// A request whose class is not in the settings is malformed.
#[rstest]
fn a_request_of_an_unknown_class_is_malformed() {
    let mut bench = TestNode::start_with_args(PROGRAM, vec![listener()], None, &[], sixteen_classes_polled);
    let mut client = bench.connect_client(&request_line(1));
    assert_eq!(client.read_to_end(), "ERR\r\n");
    bench.assert_no_attempts();
}

/// Without discovery, each process becomes ready with the endpoints in its configuration.
#[rstest]
fn many_processes_start_within_ten_seconds_without_discovery() {
    let started_at = Instant::now();
    let starts: Vec<_> = (0..24)
        .map(|_| {
            std::thread::spawn(move || {
                let bench = TestNode::start(PROGRAM, 1);
                assert_eq!(bench.connect_client("PING").read_line(), "PONG");
                (started_at.elapsed(), bench)
            })
        })
        .collect();
    let ready: Vec<_> = starts.into_iter().map(|start| start.join().expect("the process is ready")).collect();
    let late = ready.iter().filter(|(took, _)| *took > Duration::from_secs(10)).count();
    assert!(late <= 2, "{late} of 24 were not ready within 10 s");
}
