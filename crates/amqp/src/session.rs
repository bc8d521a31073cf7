//! Sessions (part 2, section 2.5): windows, handles and the deliveries that are not settled.

use crate::error::{condition, fault, Fault};
use crate::link::Link;
use crate::performative::{Begin, Flow};
use std::collections::HashMap;

pub(crate) type Map<K, V> = HashMap<K, V, foldhash::fast::RandomState>;

/// How much of a delivery went out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    /// Octets of the payload that were taken.
    pub taken: usize,
    /// The last part has gone.
    pub done: bool,
    /// The delivery has begun: the peer knows of it.
    pub begun: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// This side has begun; the peer has not answered.
    Sent,
    Begun,
    /// This side has ended; what still comes is ignored.
    Ending,
}

/// A delivery that one side has not settled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unsettled {
    pub handle: u32,
    pub key: u64,
    /// The user has given a state; the sender's settlement is awaited.
    pub answered: bool,
}

#[derive(Debug)]
pub(crate) struct Session {
    pub phase: Phase,
    pub remote_channel: Option<u16>,
    pub next_incoming: u32,
    /// Frames that the peer may still send, and the most.
    pub window: u32,
    pub most_window: u32,
    pub next_outgoing: u32,
    pub remote_window: u32,
    pub remote_handle_max: u32,
    pub links: Vec<Option<Box<Link>>>,
    pub by_remote: Map<u32, u32>,
    pub next_delivery: u32,
    pub incoming: Map<u32, Unsettled>,
    pub outgoing: Map<u32, Unsettled>,
}

impl Session {
    /// A session that may be sent so many frames ahead, whose first delivery has this number.
    pub fn new(window: u32, first: u32) -> Session {
        Session {
            phase: Phase::Sent,
            remote_channel: None,
            next_incoming: 0,
            window,
            most_window: window,
            next_outgoing: first,
            remote_window: 0,
            remote_handle_max: u32::MAX,
            links: Vec::new(),
            by_remote: Map::default(),
            next_delivery: first,
            incoming: Map::default(),
            outgoing: Map::default(),
        }
    }

    pub fn begin(&self, answer_to: Option<u16>, handle_max: u32) -> Begin {
        Begin {
            remote_channel: answer_to,
            next_outgoing_id: Some(self.next_outgoing),
            incoming_window: Some(self.window),
            outgoing_window: Some(u32::MAX),
            handle_max: Some(handle_max),
            ..Begin::default()
        }
    }

    pub fn began(&mut self, begin: &Begin) -> Result<(), Fault> {
        let missing = || fault(condition::INVALID_FIELD, "begin without its windows");
        self.next_incoming = begin.next_outgoing_id.ok_or_else(missing)?;
        self.remote_window = begin.incoming_window.ok_or_else(missing)?;
        begin.outgoing_window.ok_or_else(missing)?;
        self.remote_handle_max = begin.handle_max.unwrap_or(u32::MAX);
        self.phase = Phase::Begun;
        Ok(())
    }

    /// The session's part of a flow.
    pub fn flow(&self) -> Flow {
        Flow {
            next_incoming_id: (self.phase == Phase::Begun).then_some(self.next_incoming),
            incoming_window: Some(self.window),
            next_outgoing_id: Some(self.next_outgoing),
            outgoing_window: Some(u32::MAX),
            ..Flow::default()
        }
    }

    /// The link's and the session's state.
    pub fn link_flow(&self, handle: u32) -> Flow {
        let Some(link) = self.link(handle) else { return self.flow() };
        Flow {
            handle: Some(handle),
            delivery_count: Some(link.delivery_count),
            link_credit: Some(link.credit),
            drain: link.drain.then_some(true),
            ..self.flow()
        }
    }

    /// Takes the session's part of a flow (2.5.6).
    pub fn flowed(&mut self, flow: &Flow) -> Result<(), Fault> {
        let window =
            flow.incoming_window.ok_or_else(|| fault(condition::INVALID_FIELD, "flow without a window"))?;
        if flow.next_outgoing_id.is_none() || flow.outgoing_window.is_none() {
            return Err(fault(condition::INVALID_FIELD, "flow without its outgoing window"));
        }
        let room = match flow.next_incoming_id {
            Some(next) => next.wrapping_add(window).wrapping_sub(self.next_outgoing),
            None => window,
        };
        // Frames on their way may have filled more than the peer has room for now.
        self.remote_window = if room > u32::MAX / 2 && window <= u32::MAX / 2 { 0 } else { room };
        Ok(())
    }

    pub fn link(&self, handle: u32) -> Option<&Link> {
        self.links.get(handle as usize)?.as_deref()
    }

    pub fn link_mut(&mut self, handle: u32) -> Option<&mut Link> {
        self.links.get_mut(handle as usize)?.as_deref_mut()
    }

    /// Puts a link at the first free handle.
    pub fn insert(&mut self, link: Link) -> u32 {
        let free = self.links.iter().position(Option::is_none).unwrap_or(self.links.len());
        if free == self.links.len() {
            self.links.push(None);
        }
        self.links[free] = Some(Box::new(link));
        free as u32
    }

    /// Frees a handle and gives the keys of what was not settled on it.
    pub fn remove(&mut self, handle: u32) -> Vec<u64> {
        let Some(link) = self.links.get_mut(handle as usize).and_then(Option::take) else {
            return Vec::new();
        };
        if let Some(remote) = link.remote_handle {
            self.by_remote.remove(&remote);
        }
        self.unsettled_of(handle, link.unsettled)
    }

    /// Forgets what is not settled on a link and gives the keys, in the order of the deliveries.
    pub fn unsettled_of(&mut self, handle: u32, count: u32) -> Vec<u64> {
        if count == 0 {
            return Vec::new();
        }
        let mut gone = Vec::new();
        for map in [&mut self.incoming, &mut self.outgoing] {
            map.retain(|id, held| {
                if held.handle == handle {
                    gone.push((*id, held.key));
                }
                held.handle != handle
            });
        }
        gone.sort_unstable();
        gone.into_iter().map(|(_, key)| key).collect()
    }

    /// Ids of one side's unsettled deliveries in a range (serial numbers), in order.
    pub fn range(&self, incoming: bool, first: u32, last: u32) -> Vec<u32> {
        let map = if incoming { &self.incoming } else { &self.outgoing };
        let span = last.wrapping_sub(first);
        if span == 0 {
            return if map.contains_key(&first) { vec![first] } else { Vec::new() };
        }
        if (span as usize) < map.len() {
            return (0..=span).map(|n| first.wrapping_add(n)).filter(|id| map.contains_key(id)).collect();
        }
        // A range may claim the whole number space: what is held bounds the work.
        let mut ids: Vec<u32> = map.keys().copied().filter(|id| id.wrapping_sub(first) <= span).collect();
        ids.sort_unstable_by_key(|id| id.wrapping_sub(first));
        ids
    }
}
