//! The wire of the relays' simulator: serde types and their translation. Nothing is decided here.

use crate::balance::Balancer;
use crate::interface::*;
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
    settings: InSettings,
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
    born_ns: u64,
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
    txn: u64,
    #[serde(default)]
    came_back: bool,
    #[serde(default)]
    again_by_client: bool,
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
    txn: u64,
    backend: String,
    #[serde(rename = "Shot")]
    _shot: u32,
    wait_time_ns: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InUpdate {
    txn: u64,
    #[serde(rename = "Shot")]
    _shot: u32,
    level: f64,
    topic: u32,
    backend: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InResponse {
    txn: u64,
    #[serde(rename = "Shot")]
    _shot: u32,
    #[serde(rename = "WaitTimeNs", default)]
    _wait: u64,
    backend: String,
    status: u32,
    #[serde(default)]
    done_flag: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InTxn {
    txn: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InTick {
    cookie: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InSettings {
    #[serde(default = "one_instance")]
    instances: u32,
    #[serde(default)]
    zone: u32,
    profiles: Vec<InProfile>,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    worth_by: String,
    limits: InLimits,
    rules: InRules,
    #[serde(default)]
    family_info: InFamily,
    #[serde(default)]
    parties: Vec<InParty>,
    #[serde(default)]
    feedback: InFeedback,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct InFeedback {
    fields: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InChecked {
    backend: String,
    status: u32,
    #[serde(default)]
    gauge: Option<HashMap<String, f64>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InProfile {
    objective_ns: u64,
    hard_limit_ns: u64,
    effect: InEffect,
    #[serde(default)]
    dedup_scope: InScope,
    #[serde(default)]
    window_ns: u64,
    #[serde(default = "one")]
    worth: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum InEffect {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
enum InScope {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InLimits {
    max_attempts: u32,
    #[serde(default)]
    may_cancel: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_ns: u64,
    #[serde(default)]
    dial_timeout_ns: u64,
    #[serde(default)]
    probes: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct InRules {
    #[serde(default = "forever")]
    ask_within_ns: u64,
    #[serde(default = "one")]
    cold_from: f64,
    #[serde(default)]
    cold_ns: u64,
    #[serde(default = "one")]
    fall_multiple: f64,
    #[serde(default)]
    tip_after_ns: u64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct InFamily {
    message_aim_ns: Vec<u64>,
    tenant_quota_connections: Vec<f64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct InParty {
    quota_per_s: f64,
    share: f64,
}

fn one() -> f64 {
    1.0
}

fn one_instance() -> u32 {
    1
}

fn forever() -> u64 {
    u64::MAX / 2
}

/// The settings object of an instance's first message, as a real node finds it in its configuration.
pub fn settings_from(text: &str) -> Result<Settings, String> {
    parse(text).map(settings)
}

/// What the shares allow a second, all together. The figures are whole numbers: in a small fleet each is rounded,
/// some to zero, and their sum says too little. The shares beside them tell the largest rate that rounds so.
fn quota_rate(parties: &[InParty]) -> f64 {
    let told = parties.iter().filter(|p| p.share > 0.0);
    let most = told.map(|p| (p.quota_per_s + 0.5) / p.share).fold(f64::INFINITY, f64::min);
    let sum: f64 = parties.iter().map(|p| p.quota_per_s).sum();
    if most.is_finite() {
        most.max(sum)
    } else {
        sum
    }
}

fn settings(wire: InSettings) -> Settings {
    let aims = wire.family_info.message_aim_ns;
    let classes = wire.profiles.into_iter().enumerate().map(|(at, p)| Class {
        objective: p.objective_ns,
        hard_limit: p.hard_limit_ns,
        effect: match p.effect {
            InEffect::ReadLike => Effect::ReadLike,
            InEffect::IdempotencyKey => Effect::IdempotencyKey,
            InEffect::NonIdempotent => Effect::NonIdempotent,
        },
        scope: match p.dedup_scope {
            InScope::All => Scope::All,
            InScope::Zone => Scope::Zone,
            InScope::Cell => Scope::Cell,
        },
        window: p.window_ns,
        worth: p.worth,
        message_aim: aims.get(at).copied(),
    });
    Settings {
        classes: classes.collect(),
        instances: wire.instances,
        zone: wire.zone,
        discovery: if wire.discovery == "ask" { Discovery::Asked } else { Discovery::Unasked },
        worth_by_work: wire.worth_by == "work",
        max_attempts: wire.limits.max_attempts,
        may_cancel: wire.limits.may_cancel,
        max_retry_after: if wire.limits.retry_after { wire.limits.max_retry_after_ns } else { 0 },
        ask_within: wire.rules.ask_within_ns,
        dial_timeout: wire.limits.dial_timeout_ns,
        cold_from: wire.rules.cold_from,
        cold_time: wire.rules.cold_ns,
        fall_multiple: wire.rules.fall_multiple,
        tip_after: wire.rules.tip_after_ns,
        quota_open: wire.family_info.tenant_quota_connections.iter().sum(),
        quota_rate: quota_rate(&wire.parties),
        probes: wire.limits.probes && wire.feedback.fields.iter().any(|f| f == "x0"),
    }
}

fn outcome(status: u32) -> Outcome {
    match status {
        100 => Outcome::Ok,
        302 => Outcome::Full,
        303 => Outcome::Timeout,
        304 => Outcome::ConnectFailed,
        305 => Outcome::Reset,
        306 => Outcome::Cancelled,
        307 => Outcome::Moot,
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
    Try { txn: u64, backend: Cow<'a, str>, give_up_after_ns: u64 },
    Recall { txn: u64, shot: u32 },
    Decline { txn: u64, cool_down_ns: u64 },
    ReportFailure { txn: u64 },
    GoAway { txn: u64 },
    Inspect { backend: Cow<'a, str> },
    NotifyMe { from_now_ns: u64, cookie: u64 },
    KeepInformed { on: bool },
    SayLog { words: String },
    Exception { words: String },
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

    fn member(&mut self, entry: &InEntry) -> Member {
        Member {
            server: self.number(&entry.backend),
            tag: tag(&entry.backend),
            zone: entry.hall,
            cell: entry.unit_group,
            nominal: entry.nominal,
            born: entry.born_ns,
            status: match entry.status {
                InStatus::Serving => Status::Serving,
                InStatus::Draining => Status::Draining,
                InStatus::Deleted => Status::Gone,
            },
        }
    }

    fn arrival(wire: &InRequest) -> Arrival {
        Arrival {
            id: RequestId(wire.txn),
            class: wire.category,
            grace: wire.grace_ns,
            cost: wire.cost_ns,
            key: wire.key,
            group: wire.group,
            came_back: wire.came_back,
            repeated: wire.again_by_client,
            rerouted: wire.rerouted,
        }
    }

    fn out(&self, action: Action) -> Out<'static> {
        match action {
            Action::Try { id, server, give_up } => Out::Try {
                txn: id.0,
                backend: Cow::Owned(self.names[server.0 as usize].to_string()),
                give_up_after_ns: give_up,
            },
            Action::Recall { id, shot } => Out::Recall { txn: id.0, shot },
            Action::Decline { id, cool_down } => Out::Decline { txn: id.0, cool_down_ns: cool_down },
            Action::Fail(id) => Out::ReportFailure { txn: id.0 },
            Action::GoAway(id) => Out::GoAway { txn: id.0 },
            Action::Probe(server) => {
                Out::Inspect { backend: Cow::Owned(self.names[server.0 as usize].to_string()) }
            }
            Action::Timer { after, token } => Out::NotifyMe { from_now_ns: after, cookie: token },
            Action::Subscribe => Out::KeepInformed { on: true },
            Action::Log(words) => Out::SayLog { words },
        }
    }
}

/// FNV-1a of a server's name: the same at every relay and in every version.
pub fn tag(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
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
                    Balancer::new(init.seed, settings(init.settings)).map_err(|e| e.to_string())?;
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
                Event::Members(kind, members)
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
                Event::Established { id: RequestId(wire.txn), server, waited: wire.wait_time_ns }
            }
            "UPDATE_OF" => {
                let wire: InUpdate = parse(raw)?;
                let server = instance.number(&wire.backend);
                match wire.topic {
                    1 => Event::LoadNote { id: RequestId(wire.txn), cost: (wire.level * 1e3) as u64 },
                    2 => Event::DelayNote { server, delay: (wire.level * 1e6) as u64 },
                    _ => return Ok(()),
                }
            }
            "RESPONSE" => {
                let wire: InResponse = parse(raw)?;
                Event::Response {
                    id: RequestId(wire.txn),
                    server: instance.number(&wire.backend),
                    outcome: outcome(wire.status),
                    done: wire.done_flag,
                }
            }
            "VANISHED" => Event::Vanished(RequestId(parse::<InTxn>(raw)?.txn)),
            "TICK_DUE" => Event::Timer(parse::<InTick>(raw)?.cookie),
            "CHECK_RESULT" => {
                let wire: InChecked = parse(raw)?;
                let over = wire.gauge.and_then(|g| g.get("x0").copied()).filter(|_| wire.status == 100);
                Event::Probed { server: instance.number(&wire.backend), over }
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

/// Decodes JSON; what is wrong is told with its field.
pub fn parse<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, String> {
    let mut reader = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let path = error.path().to_string();
        format!("field {path}: {}", error.into_inner())
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_decision_that_fails_is_told_with_what_and_where() {
        keep_panics_quiet();
        let broken: Vec<u32> = Vec::new();
        let told = guarded(|_| assert_eq!(broken[1], 0)).expect_err("it fails");
        assert!(told.contains("src/wire.rs") && told.contains("index out of bounds"), "{told}");
        assert_eq!(guarded(|out| out.push(Action::Subscribe)), Ok(vec![Action::Subscribe]));
    }

    /// Five parties have 1 a second, three have 0; or all have 0: the fleet still takes something.
    #[rstest::rstest]
    #[case([1.0, 1.0, 1.0, 1.0, 1.0, 0.0, 0.0, 0.0], 6.0)]
    #[case([0.0; 8], 2.0)]
    #[case([4.0, 3.0, 2.0, 2.0, 2.0, 1.0, 1.0, 1.0], 17.9)]
    fn whole_numbers_are_read_as_what_rounds_to_them(#[case] rates: [f64; 8], #[case] most: f64) {
        let shares = [0.25, 0.18, 0.14, 0.12, 0.1, 0.08, 0.07, 0.06];
        let party = |(quota_per_s, share)| InParty { quota_per_s, share };
        let parties: Vec<InParty> = rates.into_iter().zip(shares).map(party).collect();
        assert!((quota_rate(&parties) - most).abs() < 0.05, "{}", quota_rate(&parties));
        let untold: Vec<InParty> = rates.into_iter().map(|rate| party((rate, 0.0))).collect();
        assert_eq!(quota_rate(&untold), rates.iter().sum::<f64>());
    }
}
