//! The simulator's adapter, driven end to end over its standard input and output.

use rstest::rstest;
use serde_json::{json, Value};
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the program with these lines as its input until it exits.
fn run(lines: &[String]) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_sparbank-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let text = lines.join("\n") + "\n";
    // An adapter that exits at an invalid line closes the pipe, and a later write fails.
    let _ = adapter.stdin.take().expect("piped").write_all(text.as_bytes());
    adapter.wait_with_output().expect("the adapter exits at the end of its input")
}

/// Runs valid batches. Returns one reply for each.
fn run_batches(lines: &[String]) -> Vec<Value> {
    let output = run(lines);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    text.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect()
}

fn settings() -> Value {
    json!({"Instances": 2, "Zone": 0, "Discovery": "ask", "Novelty": {"Any": 1},
        "Profiles": [{"Name": "a", "ObjectiveNs": 300_000_000u64, "HardLimitNs": 2_000_000_000u64,
            "Effect": "read_like", "DedupScope": "all", "WindowNs": 5_000_000_000u64, "Worth": 1.0}],
        "Limits": {"MaxAttempts": 3, "MayCancel": true, "RetryAfter": true, "MaxRetryAfterNs": 1_000_000_000u64},
        "Rules": {"AskWithinNs": 10_000_000_000u64, "ColdFrom": 0.3, "ColdNs": 8_000_000_000u64,
            "FallMultiple": 3.0, "TipAfterNs": 1_000_000_000u64},
        "FamilyInfo": {"MessageAimNs": [100_000_000u64]}})
}

/// A batch of events by instance. Consecutive frames are one second apart.
fn batch(frame: u64, instances: Value) -> String {
    json!({"TsNs": 1_000_000_000u64 * (frame + 1), "frame": frame, "parts": instances}).to_string()
}

fn init(seed: u64) -> Value {
    json!({"msg": "INIT", "Seed": seed, "Settings": settings()})
}

/// The endpoint list that `MEMBERS` events refer to by its slot.
fn endpoint_list(slot: u64, servers: &[&str]) -> Value {
    let endpoint =
        |name: &&str| json!({"Backend": name, "Hall": 0, "Nominal": 1, "Status": "SERVING", "New": 0});
    json!({"msg": "CENSUS", "Slot": slot, "NodesList": servers.iter().map(endpoint).collect::<Vec<_>>()})
}

/// The event that an instance receives the endpoint list of a slot.
fn list_received(kind: &str, slot: u64) -> Value {
    json!({"msg": "MEMBERS", "Index": 1, "Kind": kind, "Slot": slot})
}

fn request(id: u64) -> Value {
    json!({"msg": "REQUEST", "Txn": id, "GraceNs": 2_000_000_000u64, "Category": 0, "Key": id, "Later": "x"})
}

/// The event that an attempt has ended.
fn attempt_ended(id: u64, server: &str, status: u32) -> Value {
    json!({"msg": "RESPONSE", "Txn": id, "Shot": 0, "Backend": server, "Status": status, "WaitTimeNs": 5})
}

/// The actions with this name of all instances in a reply.
fn actions<'a>(reply: &'a Value, name: &str) -> Vec<&'a Value> {
    let instances = reply["parts"].as_array().expect("parts").iter();
    let all = instances.flat_map(|instance| instance["outbox"].as_array().expect("outbox"));
    all.filter(|action| action["msg"] == name).collect()
}

#[test]
fn an_empty_batch_is_answered_by_an_empty_reply() {
    assert_eq!(run_batches(&[batch(1, json!([]))]), [json!({"frame": 1, "parts": []})]);
}

#[test]
fn every_event_is_accepted_and_a_request_is_placed_retried_and_answered() {
    let report = |topic: u32| json!({"msg": "UPDATE_OF", "Txn": 7, "Level": 120.5, "Shot": 0, "Topic": topic, "Backend": "s"});
    let resumed = json!({"msg": "RESUMED", "Txn": 7, "Backend": "s", "Category": 0, "GraceNs": 5});
    let established = json!({"msg": "ESTABLISHED", "Txn": 9, "Backend": "s", "WaitTimeNs": 9, "Shot": 0});
    let checked =
        json!({"msg": "CHECK_RESULT", "Backend": "s", "Status": 100, "WaitTimeNs": 1, "Gauge": {"x0": 1}});
    let replies = run_batches(&[
        batch(
            0,
            json!([{"I": 0, "in": [init(1), endpoint_list(3, &["s"]), list_received("SAVED", 3), resumed]}]),
        ),
        batch(1, json!([{"I": 0, "in": [request(8), request(9), established, report(1), report(2)]}])),
        batch(2, json!([{"I": 0, "in": [attempt_ended(8, "s", 304), {"msg": "VANISHED", "Txn": 9}]}])),
        batch(
            3,
            json!([{"I": 0, "in": [checked, {"msg": "MAIL", "By": 1, "Raw": "00"}, list_received("FAILED", 9)]}]),
        ),
        batch(
            4,
            json!([{"I": 0, "in": [{"msg": "TICK_DUE", "Cookie": 8}, {"msg": "TICK_DUE", "Cookie": 5}]}]),
        ),
    ]);
    let placed: Vec<_> = actions(&replies[1], "TRY").iter().map(|action| action["Txn"].clone()).collect();
    assert_eq!(placed, [8, 9]);
    assert_eq!(actions(&replies[1], "TRY")[0]["Backend"], "s");
    let retry_timer = &actions(&replies[2], "NOTIFY_ME")[0];
    assert_eq!(retry_timer["Cookie"], 8);
    assert_eq!(actions(&replies[4], "DECLINE")[0]["Txn"], 8, "its deadline has passed, two seconds later");
}

#[test]
fn a_list_slot_used_twice_in_one_batch_is_resolved_in_order() {
    let events = json!([
        init(1),
        endpoint_list(0, &["old"]),
        list_received("SAVED", 0),
        request(1),
        endpoint_list(0, &["new"]),
        list_received("FULL", 0),
        request(2)
    ]);
    let replies = run_batches(&[batch(0, json!([{"I": 4, "in": events}]))]);
    let backends: Vec<_> =
        actions(&replies[0], "TRY").iter().map(|action| action["Backend"].clone()).collect();
    assert_eq!(backends, ["old", "new"]);
}

#[test]
fn a_crash_and_a_restart_in_one_batch_discard_all_state() {
    let first = json!([init(1), endpoint_list(0, &["s"]), list_received("SAVED", 0), request(1)]);
    let restart = json!([{"msg": "CRASH_NOW"}, init(2), list_received("SAVED", 0), attempt_ended(1, "s", 301), request(2)]);
    let replies =
        run_batches(&[batch(0, json!([{"I": 0, "in": first}])), batch(1, json!([{"I": 0, "in": restart}]))]);
    assert_eq!(actions(&replies[1], "TRY").len(), 1);
    assert_eq!(actions(&replies[1], "TRY")[0]["Txn"], 2);
}

#[test]
fn an_attempt_with_an_unknown_status_may_have_run() {
    let mut settings = settings();
    settings["Profiles"][0]["Effect"] = json!("non_idempotent");
    let start = json!({"msg": "INIT", "Seed": 1, "Settings": settings});
    let first = json!([start, endpoint_list(0, &["s", "t"]), list_received("SAVED", 0), request(1)]);
    let replies = run_batches(&[batch(0, json!([{"I": 0, "in": first}]))]);
    let backend = actions(&replies[0], "TRY")[0]["Backend"].as_str().expect("a server name").to_string();
    let replies = run_batches(&[
        batch(0, json!([{"I": 0, "in": first}])),
        batch(
            1,
            json!([{"I": 0, "in": [attempt_ended(1, &backend, 399), {"msg": "TICK_DUE", "Cookie": 1}]}]),
        ),
    ]);
    assert_eq!(actions(&replies[1], "REPORT_FAILURE").len(), 1);
}

#[test]
fn an_instance_decides_the_same_in_a_shared_process_and_in_its_own() {
    let names: Vec<String> = (0..30).map(|n| format!("server-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let start = |id: u64| json!({"I": id, "in": [init(id), endpoint_list(1, &names[id as usize..]), list_received("SAVED", 1)]});
    let later = |id: u64, frame: u64| {
        let events: Vec<_> = (0..20).map(|n| request(1000 * frame + 100 * id + n)).collect();
        json!({"I": id, "in": events})
    };
    let script = |ids: &[u64]| {
        let mut lines = vec![batch(0, ids.iter().map(|id| start(*id)).collect())];
        lines.extend((1..20).map(|frame| batch(frame, ids.iter().map(|id| later(*id, frame)).collect())));
        lines
    };
    let together = run_batches(&script(&[0, 1, 2]));
    for id in 0..3 {
        let alone = run_batches(&script(&[id]));
        for (separate, shared) in alone.iter().zip(&together) {
            let in_shared = shared["parts"].as_array().expect("parts").iter().find(|part| part["I"] == id);
            assert_eq!(separate["parts"].get(0), in_shared);
        }
    }
    assert_eq!(together, run_batches(&script(&[0, 1, 2])), "the same events cause the same actions");
}

#[test]
fn a_batch_of_some_megabytes_is_answered() {
    let mut events = vec![init(1), endpoint_list(0, &["s", "t"]), list_received("SAVED", 0)];
    events.extend((0..30_000).map(request));
    let replies = run_batches(&[batch(0, json!([{"I": 0, "in": events}])), batch(1, json!([]))]);
    assert_eq!(actions(&replies[0], "TRY").len(), 30_000);
    assert_eq!(replies.len(), 2);
}

/// Asserts that the program fails without output, with one line on standard error that contains all these names.
fn assert_rejected(lines: &[String], names: &[&str]) {
    let output = run(lines);
    let error = String::from_utf8_lossy(&output.stderr).to_string();
    assert!(!output.status.success(), "{lines:?}");
    assert_eq!(output.stdout, b"", "{lines:?}");
    assert_eq!(error.lines().count(), 1, "{error}");
    assert!(names.iter().all(|name| error.contains(name)), "{error} lacks one of {names:?}");
    assert!(!error.contains("panicked"), "{error}");
}

#[test]
fn an_invalid_batch_is_reported_with_frame_and_field() {
    assert_rejected(&["{not json".to_string()], &["batch"]);
    assert_rejected(&[json!({"TsNs": 1, "frame": 3}).to_string()], &["parts"]);
    assert_rejected(&[json!({"TsNs": "x", "frame": 3, "parts": []}).to_string()], &["TsNs"]);
    assert_rejected(&[batch(5, json!([{"in": [{"msg": "CRASH_NOW"}]}]))], &["frame 5", "field I"]);
    let never_started = vec![batch(5, json!([{"I": 2, "in": [{"msg": "VANISHED", "Txn": 1}]}]))];
    assert_rejected(&never_started, &["frame 5", "instance 2", "never started"]);
}

#[rstest]
#[case(json!({"msg": "REQUEST", "GraceNs": 5, "Category": 0}), &["frame 5", "instance 9", "REQUEST", "Txn"])]
#[case(json!({"msg": "REQUEST", "Txn": "x", "GraceNs": 5, "Category": 0}), &["instance 9", "Txn"])]
#[case(json!({"msg": "RESPONSE", "Txn": 1, "Backend": "s", "Status": 100}), &["RESPONSE", "Shot"])]
#[case(json!({"msg": "RESUMED", "Txn": 1, "Category": 0, "GraceNs": 1}), &["RESUMED", "Backend"])]
#[case(json!({"msg": "SURPRISE"}), &["SURPRISE", "field msg"])]
#[case(json!({"Txn": 1}), &["msg"])]
#[case(list_received("SAVED", 7), &["MEMBERS", "Slot", "7"])]
#[case(
    json!({"msg": "CENSUS", "Slot": 0, "NodesList": [{"Backend": "s", "Status": "ASLEEP"}]}),
    &["CENSUS", "NodesList[0].Status"]
)]
fn an_invalid_event_is_reported_with_instance_and_field(#[case] event: Value, #[case] names: &[&str]) {
    assert_rejected(&[batch(5, json!([{"I": 9, "in": [init(1), event]}]))], names);
}

/// A batch that starts an instance with these settings.
fn start_with(settings: Value) -> String {
    let start = json!({"msg": "INIT", "Seed": 1, "Settings": settings});
    batch(1, json!([{"I": 0, "in": [start]}]))
}

#[rstest]
#[case("/Profiles", json!([]), "classes")]
#[case("/Limits/MaxAttempts", json!(0), "max_attempts")]
#[case("/Rules/ColdNs", json!(-5), "ColdNs")]
#[case("/Profiles/0/Effect", json!("odd"), "Effect")]
fn an_invalid_setting_is_reported_with_its_name(
    #[case] path: &str,
    #[case] value: Value,
    #[case] name: &str,
) {
    let mut settings = settings();
    *settings.pointer_mut(path).expect("a setting") = value;
    assert_rejected(&[start_with(settings)], &["INIT", name]);
}

/// Requests refer to a class by its index, so a class needs no name.
#[test]
fn classes_need_no_name() {
    let mut settings = settings();
    settings["Profiles"][0].as_object_mut().expect("a class").remove("Name");
    assert_eq!(run_batches(&[start_with(settings)]), [json!({"frame": 1, "parts": []})]);
}

#[test]
fn unknown_requests_and_servers_are_harmless() {
    let events = json!([init(1), endpoint_list(0, &["s"]), list_received("SAVED", 0), attempt_ended(99, "nobody", 100),
        {"msg": "VANISHED", "Txn": 98}, {"msg": "TICK_DUE", "Cookie": 97},
        {"msg": "ESTABLISHED", "Txn": 96, "Backend": "nobody", "WaitTimeNs": 1, "Shot": 0}, request(1)]);
    let replies = run_batches(&[batch(0, json!([{"I": 0, "in": events}]))]);
    assert_eq!(actions(&replies[0], "TRY").len(), 1);
}
