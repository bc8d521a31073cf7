//! The wire of the nodes' simulator: serde types and their translation. Nothing is decided here.

use crate::config::settings::SettingsDocument;
use crate::hash::fnv1a;
use crate::json;
use crate::policy::Balancer;
use crate::vocabulary::*;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::panic::{self, AssertUnwindSafe};
use std::rc::Rc;
use std::sync::Once;

/// What is wrong with a batch: frame, instance, event and field, as far as they are known.
#[derive(Debug)]
pub struct WireError {
    frame: Option<u64>,
    instance: Option<u64>,
    event: String,
    problem: String,
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let known = |n: Option<u64>| n.map_or("unknown".to_string(), |n| n.to_string());
        let (frame, instance) = (known(self.frame), known(self.instance));
        write!(f, "frame {frame}, instance {instance}, {}: {}", self.event, self.problem)
    }
}

impl std::error::Error for WireError {}

// ---- What comes in ------------------------------------------------------------------------------

#[derive(Deserialize)]
struct Batch<'a> {
    #[serde(rename = "TsNs")]
    now: u64,
    frame: u64,
    #[serde(borrow)]
    parts: Vec<Part<'a>>,
}

#[derive(Deserialize)]
struct Part<'a> {
    #[serde(rename = "I")]
    instance: Option<u64>,
    #[serde(rename = "in", borrow)]
    events: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct Head<'a> {
    #[serde(borrow)]
    msg: Cow<'a, str>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InInit {
    seed: u64,
    settings: SettingsDocument,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InCensus {
    slot: usize,
    nodes_list: Vec<InEntry>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InEntry {
    #[serde(default)]
    hall: u32,
    #[serde(default)]
    #[serde(rename = "BornNs")]
    started_at_ns: u64,
    backend: String,
    #[serde(default)]
    unit_group: u32,
    #[serde(default = "one")]
    nominal: f64,
    status: InStatus,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "UPPERCASE")]
enum InStatus {
    Serving,
    Draining,
    Deleted,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InMembers {
    kind: InKind,
    #[serde(default)]
    slot: usize,
}

#[derive(Deserialize, Clone, Copy, PartialEq)]
#[serde(rename_all = "UPPERCASE")]
enum InKind {
    Saved,
    Full,
    Incremental,
    Failed,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InRequest {
    #[serde(rename = "Txn")]
    request_id: u64,
    #[serde(default)]
    #[serde(rename = "CameBack")]
    reconnect: bool,
    #[serde(default)]
    #[serde(rename = "AgainByClient")]
    client_retry: bool,
    grace_ns: u64,
    category: usize,
    #[serde(rename = "Project", default)]
    _tenant: u64,
    cost_ns: Option<u64>,
    #[serde(default)]
    rerouted: bool,
    key: Option<u64>,
    group: Option<u64>,
    backend: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InEstablished {
    #[serde(rename = "Txn")]
    request_id: u64,
    backend: String,
    #[serde(rename = "Shot")]
    _attempt: u32,
    wait_time_ns: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InUpdate {
    #[serde(rename = "Txn")]
    request_id: u64,
    #[serde(rename = "Shot")]
    _attempt: u32,
    level: f64,
    topic: u32,
    backend: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InResponse {
    #[serde(rename = "Txn")]
    request_id: u64,
    #[serde(rename = "Shot")]
    _attempt: u32,
    #[serde(rename = "WaitTimeNs", default)]
    _wait: u64,
    backend: String,
    status: u32,
    #[serde(default)]
    done_flag: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InRequestId {
    #[serde(rename = "Txn")]
    request_id: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InTick {
    cookie: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InChecked {
    backend: String,
    status: u32,
    #[serde(default)]
    gauge: Option<HashMap<String, f64>>,
}

fn outcome(status: u32) -> Outcome {
    match status {
        100 => Outcome::Ok,
        302 => Outcome::Rejected,
        303 => Outcome::Timeout,
        304 => Outcome::ConnectFailed,
        305 => Outcome::Reset,
        306 => Outcome::Cancelled,
        307 => Outcome::NotSent,
        _ => Outcome::Error,
    }
}

// ---- What goes out ------------------------------------------------------------------------------

#[derive(Serialize)]
struct Reply<'a> {
    frame: u64,
    parts: Vec<OutPart<'a>>,
}

#[derive(Serialize)]
struct OutPart<'a> {
    #[serde(rename = "I")]
    instance: u64,
    outbox: Vec<Out<'a>>,
}

#[derive(Serialize)]
#[serde(tag = "msg", rename_all = "SCREAMING_SNAKE_CASE", rename_all_fields = "PascalCase")]
enum Out<'a> {
    Try {
        #[serde(rename = "Txn")]
        request_id: u64,
        backend: Cow<'a, str>,
        give_up_after_ns: u64,
    },
    Recall {
        #[serde(rename = "Txn")]
        request_id: u64,
        #[serde(rename = "Shot")]
        attempt: u32,
    },
    Decline {
        #[serde(rename = "Txn")]
        request_id: u64,
        cool_down_ns: u64,
    },
    ReportFailure {
        #[serde(rename = "Txn")]
        request_id: u64,
    },
    GoAway {
        #[serde(rename = "Txn")]
        request_id: u64,
    },
    Inspect {
        backend: Cow<'a, str>,
    },
    NotifyMe {
        from_now_ns: u64,
        cookie: u64,
    },
    KeepInformed {
        on: bool,
    },
    SayLog {
        words: String,
    },
    Exception {
        words: String,
    },
}

// ---- Instances ----------------------------------------------------------------------------------

struct Instance {
    balancer: Balancer,
    numbers: HashMap<Rc<str>, ServerId>,
    names: Vec<Rc<str>>,
}

impl Instance {
    fn number(&mut self, name: &str) -> ServerId {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let (number, name) = (ServerId(self.names.len() as u32), Rc::<str>::from(name));
        self.names.push(name.clone());
        self.numbers.insert(name, number);
        number
    }

    fn member(&mut self, entry: &InEntry) -> Endpoint {
        Endpoint {
            server: self.number(&entry.backend),
            tag: fnv1a(&entry.backend),
            zone: entry.hall,
            cell: entry.unit_group,
            nominal: entry.nominal,
            started_at: entry.started_at_ns,
            status: match entry.status {
                InStatus::Serving => Status::Serving,
                InStatus::Draining => Status::Draining,
                InStatus::Deleted => Status::Removed,
            },
        }
    }

    fn arrival(wire: &InRequest) -> Arrival {
        Arrival {
            id: RequestId(wire.request_id),
            class: wire.category,
            time_left: wire.grace_ns,
            cost: wire.cost_ns,
            key: wire.key,
            group: wire.group,
            reconnect: wire.reconnect,
            client_retry: wire.client_retry,
            rerouted: wire.rerouted,
        }
    }

    fn out(&self, action: Action) -> Out<'static> {
        match action {
            Action::StartAttempt { id, server, timeout } => Out::Try {
                request_id: id.0,
                backend: Cow::Owned(self.names[server.0 as usize].to_string()),
                give_up_after_ns: timeout,
            },
            Action::CancelAttempt { id, attempt } => Out::Recall { request_id: id.0, attempt },
            Action::Reject { id, retry_after } => {
                Out::Decline { request_id: id.0, cool_down_ns: retry_after }
            }
            Action::Fail(id) => Out::ReportFailure { request_id: id.0 },
            Action::Migrate(id) => Out::GoAway { request_id: id.0 },
            Action::HealthCheck(server) => {
                Out::Inspect { backend: Cow::Owned(self.names[server.0 as usize].to_string()) }
            }
            Action::SetTimer { after, token } => Out::NotifyMe { from_now_ns: after, cookie: token },
            Action::Subscribe => Out::KeepInformed { on: true },
            Action::Log(words) => Out::SayLog { words },
        }
    }
}

fn one() -> f64 {
    1.0
}

fn parse<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, String> {
    json::parse(text).map_err(|e| e.to_string())
}

/// Hosts instances: takes batches, gives replies.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    lists: HashMap<usize, Rc<InCensus>>,
}

impl Host {
    /// A host without instances.
    pub fn new() -> Host {
        keep_panics_quiet();
        Host::default()
    }

    /// Takes one batch, a line of JSON, and gives the reply with its line end.
    pub fn batch(&mut self, line: &[u8]) -> Result<String, WireError> {
        let bad = |problem: String| WireError { frame: None, instance: None, event: "batch".into(), problem };
        let text = std::str::from_utf8(line).map_err(|e| bad(format!("not UTF-8: {e}")))?;
        let batch: Batch = parse(text).map_err(bad)?;
        let mut parts = Vec::new();
        for part in batch.parts {
            let mut outbox = Vec::new();
            for raw in part.events {
                let (event, result) = match parse::<Head>(raw.get()) {
                    Ok(head) => {
                        let result = self.event(batch.now, part.instance, &head.msg, raw.get(), &mut outbox);
                        (head.msg.into_owned(), result)
                    }
                    Err(problem) => ("event".to_string(), Err(problem)),
                };
                let (frame, instance) = (Some(batch.frame), part.instance);
                result.map_err(|problem| WireError { frame, instance, event, problem })?;
            }
            if let (Some(instance), false) = (part.instance, outbox.is_empty()) {
                parts.push(OutPart { instance, outbox });
            }
        }
        let reply = Reply { frame: batch.frame, parts };
        serde_json::to_string(&reply).map(|text| text + "\n").map_err(|e| bad(e.to_string()))
    }

    fn event(
        &mut self,
        now: u64,
        id: Option<u64>,
        name: &str,
        raw: &str,
        outbox: &mut Vec<Out>,
    ) -> Result<(), String> {
        if name == "CENSUS" {
            let census: InCensus = parse(raw)?;
            self.lists.insert(census.slot, Rc::new(census));
            return Ok(());
        }
        let id = id.ok_or("field I: missing")?;
        match name {
            "INIT" => {
                let init: InInit = parse(raw)?;
                let balancer =
                    Balancer::new(init.seed, Settings::from(init.settings)).map_err(|e| e.to_string())?;
                let (numbers, names) = (HashMap::new(), Vec::new());
                self.instances.insert(id, Instance { balancer, numbers, names });
                return Ok(());
            }
            "CRASH_NOW" => {
                self.instances.remove(&id).ok_or("field I: this instance was never started")?;
                return Ok(());
            }
            _ => {}
        }
        let instance = self.instances.get_mut(&id).ok_or("field I: this instance was never started")?;
        let event = match name {
            "MEMBERS" => {
                let wire: InMembers = parse(raw)?;
                let kind = match wire.kind {
                    InKind::Saved => ListKind::Saved,
                    InKind::Full => ListKind::Full,
                    InKind::Incremental => ListKind::Incremental,
                    InKind::Failed => ListKind::Failed,
                };
                let mut members = Vec::new();
                if kind != ListKind::Failed {
                    let unknown = || format!("field Slot: list {} was never sent", wire.slot);
                    let list = self.lists.get(&wire.slot).ok_or_else(unknown)?;
                    members.extend(list.nodes_list.iter().map(|entry| instance.member(entry)));
                }
                Event::EndpointList(kind, members)
            }
            "REQUEST" => Event::Request(Instance::arrival(&parse(raw)?)),
            "RESUMED" => {
                let wire: InRequest = parse(raw)?;
                let backend = wire.backend.as_ref().ok_or("field Backend: missing")?;
                let server = instance.number(backend);
                Event::Resumed(Instance::arrival(&wire), server)
            }
            "ESTABLISHED" => {
                let wire: InEstablished = parse(raw)?;
                let server = instance.number(&wire.backend);
                Event::Established { id: RequestId(wire.request_id), server, setup_time: wire.wait_time_ns }
            }
            "UPDATE_OF" => {
                let wire: InUpdate = parse(raw)?;
                let server = instance.number(&wire.backend);
                match wire.topic {
                    1 => {
                        Event::LoadReport { id: RequestId(wire.request_id), cost: (wire.level * 1e3) as u64 }
                    }
                    2 => Event::LatencyReport { server, latency: (wire.level * 1e6) as u64 },
                    _ => return Ok(()),
                }
            }
            "RESPONSE" => {
                let wire: InResponse = parse(raw)?;
                Event::AttemptEnded {
                    id: RequestId(wire.request_id),
                    server: instance.number(&wire.backend),
                    outcome: outcome(wire.status),
                    done: wire.done_flag,
                }
            }
            "VANISHED" => Event::ClientDisconnected(RequestId(parse::<InRequestId>(raw)?.request_id)),
            "TICK_DUE" => Event::Timer(parse::<InTick>(raw)?.cookie),
            "CHECK_RESULT" => {
                let wire: InChecked = parse(raw)?;
                let over = wire.gauge.and_then(|g| g.get("x0").copied()).filter(|_| wire.status == 100);
                Event::HealthCheckResult { server: instance.number(&wire.backend), utilization: over }
            }
            "MAIL" => return Ok(()),
            _ => return Err("field msg: unknown event".to_string()),
        };
        match guarded(|out| instance.balancer.handle(now, event, out)) {
            Ok(actions) => outbox.extend(actions.into_iter().map(|action| instance.out(action))),
            Err(what) => outbox.push(Out::Exception { words: format!("instance {id}, {name}: {what}") }),
        }
        Ok(())
    }
}

/// The actions of one decision, or what failed in it and where.
fn guarded(decide: impl FnOnce(&mut Vec<Action>)) -> Result<Vec<Action>, String> {
    let mut actions = Vec::new();
    panic::catch_unwind(AssertUnwindSafe(|| decide(&mut actions))).map_err(|_| PANIC.with(RefCell::take))?;
    Ok(actions)
}

thread_local! {
    static PANIC: RefCell<String> = const { RefCell::new(String::new()) };
}

/// A failed decision is reported on the wire; nothing of it is printed.
fn keep_panics_quiet() {
    static QUIET: Once = Once::new();
    QUIET.call_once(|| {
        panic::set_hook(Box::new(|info| PANIC.with(|text| text.replace(info.to_string()).clear())));
    });
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_decision_that_fails_is_told_with_what_and_where() {
        keep_panics_quiet();
        let broken: Vec<u32> = Vec::new();
        let told = guarded(|_| assert_eq!(broken[1], 0)).expect_err("it fails");
        assert!(told.contains("src/simulator") && told.contains("index out of bounds"), "{told}");
        assert_eq!(guarded(|out| out.push(Action::Subscribe)), Ok(vec![Action::Subscribe]));
    }
}
