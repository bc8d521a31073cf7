//! Sessions (standard, section 2.5): windows, handles and unsettled deliveries.

use crate::error::{condition, fault, Fault};
use crate::link::{Link, Role};
use crate::performative::{Begin, Flow};
use std::collections::HashMap;

/// A hash map with a fast hasher, for keys that are numbers.
pub(crate) type Map<K, V> = HashMap<K, V, foldhash::fast::RandomState>;

/// How much of a delivery was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    /// Octets of the payload that were sent.
    pub octets: usize,
    /// The last transfer was sent.
    pub complete: bool,
    /// The first transfer was sent: the peer knows of the delivery.
    pub started: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// This side has begun; the peer has not answered.
    BeginSent,
    Begun,
    /// This side has ended; what is still received is ignored.
    Ending,
}

/// Whether a delivery is received or sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    /// The peer sends it.
    Incoming,
    /// This side sends it.
    Outgoing,
}

/// A delivery that one side has not settled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unsettled {
    /// Its link.
    pub handle: u32,
    /// The user's own key for it.
    pub key: u64,
    /// The user has given its final state; the sender's settlement is awaited.
    pub answered: bool,
}

/// A session.
#[derive(Debug)]
pub(crate) struct Session {
    pub phase: Phase,
    pub remote_channel: Option<u16>,
    pub next_incoming_id: u32,
    /// Frames that the peer may still send.
    pub incoming_window: u32,
    /// Frames that the peer may send after the window was opened.
    pub max_incoming_window: u32,
    pub next_outgoing_id: u32,
    /// Frames that this side may still send.
    pub remote_window: u32,
    pub remote_handle_max: u32,
    /// By this side's handle.
    pub links: Vec<Option<Box<Link>>>,
    /// This side's handle, by the peer's.
    pub by_remote_handle: Map<u32, u32>,
    pub next_delivery_id: u32,
    /// Received deliveries that are not settled, by their number.
    pub incoming: Map<u32, Unsettled>,
    /// Sent deliveries that are not settled, by their number.
    pub outgoing: Map<u32, Unsettled>,
}

impl Session {
    /// A session with this incoming window, whose first transfer and delivery have this number.
    pub fn new(incoming_window: u32, initial_id: u32) -> Session {
        Session {
            phase: Phase::BeginSent,
            remote_channel: None,
            next_incoming_id: 0,
            incoming_window,
            max_incoming_window: incoming_window,
            next_outgoing_id: initial_id,
            remote_window: 0,
            remote_handle_max: u32::MAX,
            links: Vec::new(),
            by_remote_handle: Map::default(),
            next_delivery_id: initial_id,
            incoming: Map::default(),
            outgoing: Map::default(),
        }
    }

    /// This side's begin, which answers the peer's if `answer_to` is its channel.
    pub fn begin(&self, answer_to: Option<u16>, handle_max: u32) -> Begin {
        Begin {
            remote_channel: answer_to,
            next_outgoing_id: Some(self.next_outgoing_id),
            incoming_window: Some(self.incoming_window),
            outgoing_window: Some(u32::MAX),
            handle_max: Some(handle_max),
            ..Begin::default()
        }
    }

    /// The peer has begun.
    pub fn on_begin(&mut self, begin: &Begin) -> Result<(), Fault> {
        let missing = || fault(condition::INVALID_FIELD, "begin without its windows");
        self.next_incoming_id = begin.next_outgoing_id.ok_or_else(missing)?;
        self.remote_window = begin.incoming_window.ok_or_else(missing)?;
        begin.outgoing_window.ok_or_else(missing)?;
        self.remote_handle_max = begin.handle_max.unwrap_or(u32::MAX);
        self.phase = Phase::Begun;
        Ok(())
    }

    /// A flow with the session's state.
    pub fn flow(&self) -> Flow {
        Flow {
            next_incoming_id: (self.phase == Phase::Begun).then_some(self.next_incoming_id),
            incoming_window: Some(self.incoming_window),
            next_outgoing_id: Some(self.next_outgoing_id),
            outgoing_window: Some(u32::MAX),
            ..Flow::default()
        }
    }

    /// A flow with the link's and the session's state.
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

    /// The session's state in the peer's flow (2.5.6).
    pub fn on_flow(&mut self, flow: &Flow) -> Result<(), Fault> {
        let window =
            flow.incoming_window.ok_or_else(|| fault(condition::INVALID_FIELD, "flow without a window"))?;
        if flow.next_outgoing_id.is_none() || flow.outgoing_window.is_none() {
            return Err(fault(condition::INVALID_FIELD, "flow without its outgoing window"));
        }
        let remote_window = match flow.next_incoming_id {
            Some(next) => next.wrapping_add(window).wrapping_sub(self.next_outgoing_id),
            None => window,
        };
        // Frames on their way may have used more than the window that the peer announces now.
        let is_negative = remote_window > u32::MAX / 2 && window <= u32::MAX / 2;
        self.remote_window = if is_negative { 0 } else { remote_window };
        Ok(())
    }

    /// A link.
    pub fn link(&self, handle: u32) -> Option<&Link> {
        self.links.get(handle as usize)?.as_deref()
    }

    /// A link.
    pub fn link_mut(&mut self, handle: u32) -> Option<&mut Link> {
        self.links.get_mut(handle as usize)?.as_deref_mut()
    }

    /// The handle of the first link with this name and role.
    pub fn find_link(&self, name: &str, role: Role) -> Option<u32> {
        let is_it = |link: &Link| link.name == name && link.role == role;
        let place = self.links.iter().position(|link| link.as_deref().is_some_and(is_it));
        place.map(|place| place as u32)
    }

    /// Adds a link at the first free handle.
    pub fn insert(&mut self, link: Link) -> u32 {
        let free = self.links.iter().position(Option::is_none).unwrap_or(self.links.len());
        if free == self.links.len() {
            self.links.push(None);
        }
        self.links[free] = Some(Box::new(link));
        free as u32
    }

    /// Removes a link. Returns the keys of its unsettled deliveries.
    pub fn remove(&mut self, handle: u32) -> Vec<u64> {
        let Some(link) = self.links.get_mut(handle as usize).and_then(Option::take) else {
            return Vec::new();
        };
        if let Some(remote) = link.remote_handle {
            self.by_remote_handle.remove(&remote);
        }
        self.take_unsettled(handle, link.unsettled)
    }

    /// Removes the `count` unsettled deliveries of a link. Returns their keys, in the order of the deliveries.
    pub fn take_unsettled(&mut self, handle: u32, count: u32) -> Vec<u64> {
        if count == 0 {
            return Vec::new();
        }
        let mut removed = Vec::new();
        for map in [&mut self.incoming, &mut self.outgoing] {
            map.retain(|id, delivery| {
                if delivery.handle == handle {
                    removed.push((*id, delivery.key));
                }
                delivery.handle != handle
            });
        }
        removed.sort_unstable();
        removed.into_iter().map(|(_, key)| key).collect()
    }

    /// The unsettled deliveries of one direction.
    pub fn unsettled_mut(&mut self, direction: Direction) -> &mut Map<u32, Unsettled> {
        match direction {
            Direction::Incoming => &mut self.incoming,
            Direction::Outgoing => &mut self.outgoing,
        }
    }

    /// The numbers of the unsettled deliveries in a range of serial numbers (RFC 1982), in order.
    pub fn unsettled_in_range(&self, direction: Direction, first: u32, last: u32) -> Vec<u32> {
        let map = match direction {
            Direction::Incoming => &self.incoming,
            Direction::Outgoing => &self.outgoing,
        };
        let span = last.wrapping_sub(first);
        if span == 0 {
            return if map.contains_key(&first) { vec![first] } else { Vec::new() };
        }
        if (span as usize) < map.len() {
            return (0..=span).map(|n| first.wrapping_add(n)).filter(|id| map.contains_key(id)).collect();
        }
        // A range may cover all numbers: the deliveries that there are bound the work.
        let mut ids: Vec<u32> = map.keys().copied().filter(|id| id.wrapping_sub(first) <= span).collect();
        ids.sort_unstable_by_key(|id| id.wrapping_sub(first));
        ids
    }
}
