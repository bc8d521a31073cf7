//! A simulated node: its balancer, and the conversion between the simulator's documents and the balancer's types.

use super::error::EventError;
use super::incoming::{
    AttemptEndedDocument, ClientDisconnectedDocument, EndpointDocument, EndpointListDocument,
    EstablishedDocument, HealthCheckDocument, InitDocument, ListReceivedDocument, ReportDocument,
    RequestDocument, TimerDocument, TOPIC_LATENCY, TOPIC_LOAD,
};
use super::outgoing::ActionDocument;
use super::panics::{catch_panic, DecisionPanic};
use crate::hash::fnv1a;
use crate::json;
use crate::model::{Action, Endpoint, Event, ListKind, RequestId, ServerId, Settings};
use crate::policy::Balancer;
use serde::Deserialize;
use sparbank_time::{DurationExt, MonotonicTime};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

const NANOS_PER_MICROSECOND: f64 = 1e3;
const NANOS_PER_MILLISECOND: f64 = 1e6;

/// Endpoint lists by the slot in which the simulator stored them.
pub type ListsBySlot = HashMap<usize, EndpointListDocument>;

/// Decodes a document from the simulator.
///
/// # Errors
///
/// An error that names the invalid field and the reason.
pub fn decode<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, EventError> {
    Ok(json::parse(text)?)
}

/// A simulated node, which the simulator calls an instance.
pub struct Instance {
    balancer: Balancer,
    server_ids: HashMap<Rc<str>, ServerId>,
    /// Names of the servers, indexed by [`ServerId`].
    server_names: Vec<Rc<str>>,
}

impl Instance {
    /// Starts a node with the seed and the settings of its `INIT` event.
    ///
    /// # Errors
    ///
    /// The first setting that is invalid.
    pub fn start(init: InitDocument) -> Result<Instance, EventError> {
        let balancer = Balancer::new(init.seed, Settings::from(init.settings))?;
        Ok(Instance { balancer, server_ids: HashMap::new(), server_names: Vec::new() })
    }

    /// Decodes the event of this name. Returns `None` for an event that is not passed to the balancer.
    ///
    /// # Errors
    ///
    /// If the event is unknown, its document is invalid, or it refers to an unknown list.
    pub fn decode_event(
        &mut self,
        name: &str,
        raw: &str,
        lists: &ListsBySlot,
    ) -> Result<Option<Event>, EventError> {
        let event = match name {
            "MEMBERS" => self.endpoint_list(&decode(raw)?, lists)?,
            "REQUEST" => Event::Request(decode::<RequestDocument>(raw)?.arrival()),
            "RESUMED" => self.resumed(&decode(raw)?)?,
            "ESTABLISHED" => self.established(&decode(raw)?),
            "UPDATE_OF" => return Ok(self.report(&decode(raw)?)),
            "RESPONSE" => self.attempt_ended(&decode(raw)?),
            "VANISHED" => {
                let document: ClientDisconnectedDocument = decode(raw)?;
                Event::ClientDisconnected(RequestId(document.request_id))
            }
            "TICK_DUE" => Event::Timer(decode::<TimerDocument>(raw)?.token),
            "CHECK_RESULT" => self.health_check_result(&decode(raw)?),
            "MAIL" => return Ok(None),
            _ => return Err(EventError::UnknownEvent),
        };
        Ok(Some(event))
    }

    /// Lets the balancer handle an event, and returns its actions as documents for the simulator.
    ///
    /// # Errors
    ///
    /// If the balancer panics.
    pub fn handle(&mut self, now: MonotonicTime, event: Event) -> Result<Vec<ActionDocument>, DecisionPanic> {
        let actions = catch_panic(|actions| self.balancer.handle(now, event, actions))?;
        Ok(actions.into_iter().map(|action| self.action_document(action)).collect())
    }

    fn endpoint_list(
        &mut self,
        document: &ListReceivedDocument,
        lists: &ListsBySlot,
    ) -> Result<Event, EventError> {
        let kind = ListKind::from(document.kind);
        let mut endpoints = Vec::new();
        if kind != ListKind::Failed {
            let list = lists.get(&document.slot).ok_or(EventError::UnknownList(document.slot))?;
            endpoints.extend(list.endpoints.iter().map(|endpoint| self.endpoint(endpoint)));
        }
        Ok(Event::EndpointList(kind, endpoints))
    }

    fn endpoint(&mut self, document: &EndpointDocument) -> Endpoint {
        Endpoint {
            server: self.server_id(&document.server),
            name_hash: fnv1a(&document.server),
            zone: document.zone,
            cell: document.cell,
            nominal: document.nominal,
            started_at: document.started_at,
            status: document.status.into(),
        }
    }

    fn resumed(&mut self, document: &RequestDocument) -> Result<Event, EventError> {
        let server = document.server.as_ref().ok_or(EventError::MissingField("Backend"))?;
        let server = self.server_id(server);
        Ok(Event::Resumed(document.arrival(), server))
    }

    fn established(&mut self, document: &EstablishedDocument) -> Event {
        Event::Established {
            id: RequestId(document.request_id),
            server: self.server_id(&document.server),
            setup_time: Duration::from_nanos(document.wait_time_ns),
        }
    }

    fn report(&mut self, document: &ReportDocument) -> Option<Event> {
        let server = self.server_id(&document.server);
        match document.topic {
            TOPIC_LOAD => {
                let cost = Duration::from_nanos((document.level * NANOS_PER_MICROSECOND) as u64);
                Some(Event::LoadReport { id: RequestId(document.request_id), cost })
            }
            TOPIC_LATENCY => {
                let latency = Duration::from_nanos((document.level * NANOS_PER_MILLISECOND) as u64);
                Some(Event::LatencyReport { server, latency })
            }
            _ => None,
        }
    }

    fn attempt_ended(&mut self, document: &AttemptEndedDocument) -> Event {
        Event::AttemptEnded {
            id: RequestId(document.request_id),
            server: self.server_id(&document.server),
            outcome: document.outcome(),
            done: document.done,
        }
    }

    fn health_check_result(&mut self, document: &HealthCheckDocument) -> Event {
        let server = self.server_id(&document.server);
        Event::HealthCheckResult { server, utilization: document.utilization() }
    }

    fn action_document(&self, action: Action) -> ActionDocument {
        match action {
            Action::StartAttempt { id, server, timeout, .. } => ActionDocument::StartAttempt {
                request_id: id.0,
                server: self.server_name(server),
                give_up_after_ns: timeout.as_nanos_u64(),
            },
            Action::CancelAttempt { id, attempt } => {
                ActionDocument::CancelAttempt { request_id: id.0, attempt }
            }
            Action::Reject { id, retry_after } => {
                ActionDocument::Reject { request_id: id.0, retry_after_ns: retry_after.as_nanos_u64() }
            }
            Action::Fail(id) => ActionDocument::Fail { request_id: id.0 },
            Action::Migrate(id) => ActionDocument::Migrate { request_id: id.0 },
            Action::HealthCheck(server) => ActionDocument::HealthCheck { server: self.server_name(server) },
            Action::SetTimer { after, token } => {
                ActionDocument::SetTimer { after_ns: after.as_nanos_u64(), token }
            }
            Action::Subscribe => ActionDocument::Subscribe { on: true },
            Action::Log(notice) => ActionDocument::Log { text: notice.to_string() },
        }
    }

    /// Returns the id of a server. A new name is assigned the next id.
    fn server_id(&mut self, name: &str) -> ServerId {
        if let Some(id) = self.server_ids.get(name) {
            return *id;
        }
        let id = ServerId(self.server_names.len() as u32);
        let name = Rc::<str>::from(name);
        self.server_names.push(name.clone());
        self.server_ids.insert(name, id);
        id
    }

    fn server_name(&self, id: ServerId) -> String {
        self.server_names[id.0 as usize].to_string()
    }
}
