//! Compatibility with version 00677b7: its recorded messages are decoded, and encoded again to the same bytes.
//! `tests/fixtures/handover-00677b7/README.md` documents how they were recorded.

use super::channel::EncodedMessage;
use super::message::{Message, PROTOCOL_VERSION};
use super::snapshot::{SnapshotAssembler, StateSnapshot};
use crate::discovery::EndpointRegistry;
use crate::model::{DedupScope, Discovery, Effect, RequestClass, Settings};
use crate::policy::Balancer;
use rstest::rstest;
use sparbank_time::{MonotonicTime, WallTime};
use std::fs::File;
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::time::Duration;

/// The node's clock, later than the start of each recorded server.
const NOW: MonotonicTime = MonotonicTime::from_nanos(u64::MAX / 4);
/// The wall clock, which shows the same time.
const WALL_NOW: WallTime = WallTime::from_unix_nanos(u64::MAX / 4);

const SECOND: Duration = Duration::from_secs(1);

/// A recorded message and the number of descriptors that arrived with it.
struct Recorded {
    bytes: Vec<u8>,
    descriptors: usize,
}

impl Recorded {
    fn encoded(&self) -> EncodedMessage {
        let descriptor = |_| OwnedFd::from(File::open("/dev/null").expect("a file"));
        EncodedMessage { bytes: self.bytes.clone(), fds: (0..self.descriptors).map(descriptor).collect() }
    }

    fn message(&self) -> Message {
        Message::decode(self.encoded())
            .unwrap_or_else(|error| panic!("the message of the older version is rejected: {error}"))
    }
}

/// The messages of a recording, in the order in which they were sent.
fn recording(name: &str) -> Vec<Recorded> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/handover-00677b7").join(name);
    let manifest = std::fs::read_to_string(folder.join("MANIFEST.txt")).expect("a manifest");
    let messages = manifest.lines().filter_map(|line| line.strip_prefix("message "));
    messages
        .map(|line| {
            let (file, descriptors) = line.split_once(" descriptors=").expect("a file and a number");
            let bytes = std::fs::read(folder.join(file)).expect("a recorded message");
            Recorded { bytes, descriptors: descriptors.parse().expect("a number") }
        })
        .collect()
}

fn snapshot(name: &str) -> StateSnapshot {
    let mut assembler = SnapshotAssembler::default();
    for recorded in recording(name) {
        if let Message::StateChunk { chunk } = recorded.message() {
            assembler.add(&chunk).expect("within the limit");
        }
    }
    assembler.finish().expect("the state is complete")
}

fn kind(message: &Message) -> &'static str {
    match message {
        Message::StateRequest { .. } => "request",
        Message::StateChunk { .. } => "chunk",
        Message::Listener { .. } => "listener",
        Message::Watch(..) => "watch",
        Message::StateComplete => "complete",
        Message::Ready => "ready",
        Message::Connection { .. } => "connection",
    }
}

#[rstest]
#[case::established("established", &[("chunk", 1), ("listener", 1), ("watch", 1), ("complete", 1), ("connection", 7)])]
#[case::drained("drained", &[("chunk", 2), ("listener", 1), ("watch", 1), ("complete", 1)])]
fn each_recorded_message_is_decoded_and_encoded_to_the_same_bytes(
    #[case] name: &str,
    #[case] expected: &[(&'static str, usize)],
) {
    let recorded = recording(name);
    let mut kinds = Vec::new();
    for recorded in &recorded {
        let message = recorded.message();
        kinds.push(kind(&message));
        let written = message.encode().expect("the message can be encoded");
        assert_eq!(written.fds.len(), recorded.descriptors);
        assert_eq!(String::from_utf8_lossy(&written.bytes), String::from_utf8_lossy(&recorded.bytes));
    }
    let expected: Vec<_> =
        expected.iter().flat_map(|(kind, count)| std::iter::repeat_n(*kind, *count)).collect();
    assert_eq!(kinds, expected);
}

#[test]
fn the_messages_of_a_successor_are_those_that_the_older_version_decodes() {
    let written = |message: Message| {
        String::from_utf8(message.encode().expect("the message can be encoded").bytes).expect("text")
    };
    let request = Message::StateRequest { version: PROTOCOL_VERSION, name: "n1".to_string() };
    assert_eq!(written(request), r#"{"Take":{"version":1,"name":"n1"}}"#);
    assert_eq!(written(Message::Ready), r#""Ready""#);
}

#[rstest]
#[case::established("established", false, 5, 23)]
#[case::drained("drained", true, 120, 10)]
fn the_recorded_state_is_reassembled_and_split_into_the_same_chunks(
    #[case] name: &str,
    #[case] is_drained: bool,
    #[case] endpoints: usize,
    #[case] open_descriptors: usize,
) {
    let snapshot = snapshot(name);
    assert_eq!((snapshot.is_drained, snapshot.open_descriptors), (is_drained, open_descriptors));
    let list = serde_json::to_value(&snapshot.endpoint_list).expect("a list");
    assert_eq!(list["instances"].as_array().map(Vec::len), Some(endpoints));
    let states = recording(name).into_iter().filter(|recorded| recorded.bytes.starts_with(b"{\"State\""));
    let chunks = snapshot.to_chunks().expect("the state can be serialized");
    let written: Vec<_> =
        chunks.into_iter().map(|chunk| chunk.encode().expect("the message can be encoded").bytes).collect();
    assert!(written == states.map(|recorded| recorded.bytes).collect::<Vec<_>>(), "different chunks");
}

/// The settings of the recorded node, as far as the balancer's state depends on them.
fn settings() -> Settings {
    let class = RequestClass {
        objective: 3 * SECOND / 10,
        hard_limit: 12 * SECOND / 10,
        effect: Effect::ReadLike,
        dedup_scope: DedupScope::All,
        dedup_window: Duration::ZERO,
        priority_weight: 2.0,
        message_latency_objective: None,
    };
    Settings {
        instances: 1,
        zone: 0,
        classes: vec![class],
        discovery: Discovery::Polled,
        weight_basis: crate::model::WeightBasis::Request,
        max_attempts: 3,
        may_cancel: true,
        max_retry_after: 6 * SECOND / 10,
        poll_within: 16 * SECOND / 10,
        dial_timeout: SECOND / 4,
        slow_start_floor: 0.12,
        slow_start_duration: 23 * SECOND,
        overload_multiple: 3.0,
        overload_after: 2 * SECOND,
        quota_connections: 0.0,
        quota_setups_per_second: 0.0,
        health_checks: false,
    }
}

/// The balancer serializes the restored state to the same text, digit by digit: no part of it is lost.
#[rstest]
#[case::established("established")]
#[case::drained("drained")]
fn the_recorded_balancer_state_is_restored_completely(#[case] name: &str) {
    let snapshot = snapshot(name);
    let list = EndpointRegistry::new(vec!["a".to_string()], NOW, WALL_NOW).restore(&snapshot.endpoint_list);
    let mut balancer = Balancer::new(7, settings()).expect("valid settings");
    balancer.handle(MonotonicTime::ZERO + SECOND, list, &mut Vec::new());
    assert_ne!(balancer.state_snapshot(), snapshot.balancer_state, "nothing is restored yet");
    balancer.restore_state(&snapshot.balancer_state).expect("a valid state");
    assert_eq!(balancer.state_snapshot(), snapshot.balancer_state);
}
