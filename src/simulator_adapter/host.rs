//! The host of the simulated nodes.

use super::error::{BatchError, EventError};
use super::incoming::{BatchDocument, EndpointListDocument, EventHeader, InstanceEvents};
use super::instance::{decode, Instance, ListsBySlot};
use super::outgoing::{ActionDocument, InstanceActions, ReplyDocument};
use super::panics::capture_panic_messages;
use sparbank_time::MonotonicTime;
use std::collections::BTreeMap;

/// Runs the simulated nodes of one simulation: handles batches and returns replies.
pub struct Host {
    /// The running nodes, by their numbers.
    instances: BTreeMap<u64, Instance>,
    lists: ListsBySlot,
}

impl Default for Host {
    fn default() -> Host {
        Host::new()
    }
}

impl Host {
    /// Creates a host without instances. From then on, panics of this process are not printed; a panic in a decision is
    /// reported to the simulator.
    pub fn new() -> Host {
        capture_panic_messages();
        Host { instances: BTreeMap::new(), lists: ListsBySlot::new() }
    }

    /// Handles one batch, a line of JSON, and returns the reply with a line end.
    ///
    /// # Errors
    ///
    /// A [`BatchError`] for the first event that cannot be handled. The events before it have been handled, but their
    /// actions are discarded, so the host must not be used afterwards.
    pub fn handle_batch(&mut self, line: &[u8]) -> Result<String, BatchError> {
        let text = std::str::from_utf8(line).map_err(BatchError::in_batch)?;
        let batch: BatchDocument = decode(text).map_err(BatchError::in_batch)?;
        let mut reply = ReplyDocument { frame: batch.frame, instances: Vec::new() };
        for instance_events in &batch.instances {
            let actions = self.handle_instance_events(&batch, instance_events)?;
            if let (Some(instance), false) = (instance_events.instance, actions.is_empty()) {
                reply.instances.push(InstanceActions { instance, actions });
            }
        }
        let reply = serde_json::to_string(&reply).map_err(BatchError::in_batch)?;
        Ok(reply + "\n")
    }

    fn handle_instance_events(
        &mut self,
        batch: &BatchDocument,
        instance_events: &InstanceEvents,
    ) -> Result<Vec<ActionDocument>, BatchError> {
        let instance = instance_events.instance;
        let mut actions = Vec::new();
        for raw in &instance_events.events {
            let batch_error = |event: &str, error: EventError| BatchError {
                frame: Some(batch.frame),
                instance,
                event: event.to_string(),
                error,
            };
            let header: EventHeader = decode(raw.get()).map_err(|error| batch_error("event", error))?;
            self.handle_event(batch.now, instance, &header.name, raw.get(), &mut actions)
                .map_err(|error| batch_error(&header.name, error))?;
        }
        Ok(actions)
    }

    fn handle_event(
        &mut self,
        now: MonotonicTime,
        instance: Option<u64>,
        name: &str,
        raw: &str,
        actions: &mut Vec<ActionDocument>,
    ) -> Result<(), EventError> {
        if name == "CENSUS" {
            let list: EndpointListDocument = decode(raw)?;
            self.lists.insert(list.slot, list);
            return Ok(());
        }
        let instance_number = instance.ok_or(EventError::MissingField("I"))?;
        match name {
            "INIT" => {
                let instance = Instance::start(decode(raw)?)?;
                self.instances.insert(instance_number, instance);
                return Ok(());
            }
            "CRASH_NOW" => {
                self.instances.remove(&instance_number).ok_or(EventError::UnknownInstance)?;
                return Ok(());
            }
            _ => {}
        }
        let instance = self.instances.get_mut(&instance_number).ok_or(EventError::UnknownInstance)?;
        let Some(event) = instance.decode_event(name, raw, &self.lists)? else { return Ok(()) };
        match instance.handle(now, event) {
            Ok(new_actions) => actions.extend(new_actions),
            Err(panic) => {
                let text = format!("instance {instance_number}, {name}: {panic}");
                actions.push(ActionDocument::DecisionPanicked { text });
            }
        }
        Ok(())
    }
}
