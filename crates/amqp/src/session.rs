//! Session state (standard, section 2.5): windows, link handles and unsettled deliveries.

use crate::error::{condition, fault, Fault};
use crate::link::{Link, Role};
use crate::performative::{Begin, Flow};
use std::collections::HashMap;

/// A hash map with a fast hasher, for numeric keys.
pub(crate) type FastHashMap<K, V> = HashMap<K, V, foldhash::fast::RandomState>;

/// The result of [`Connection::send`](crate::Connection::send).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendResult {
    /// The number of payload octets that were sent.
    pub octets: usize,
    /// Whether the last transfer of the delivery was sent.
    pub complete: bool,
    /// Whether a transfer was sent, which starts the delivery for the peer.
    pub started: bool,
}

/// The progress of a session from begin to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Begin was sent, and the peer has not answered yet.
    BeginSent,
    /// Both sides have sent begin.
    Begun,
    /// End was sent. Frames received before the peer's end are ignored.
    EndSent,
}

/// The direction of a delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    /// Received from the peer.
    Incoming,
    /// Sent to the peer.
    Outgoing,
}

/// A delivery that is not settled on both sides.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnsettledDelivery {
    /// The local handle of the delivery's link.
    pub handle: u32,
    /// The application's key for the delivery; 0 until the application sets the key of a received one.
    pub key: u64,
    /// Whether the outcome was sent and only the sender's settlement is outstanding.
    pub outcome_sent: bool,
}

/// The state of a session.
#[derive(Debug)]
pub(crate) struct Session {
    pub phase: Phase,
    /// The channel that the peer uses for the session; `None` until its begin is received.
    pub remote_channel: Option<u16>,
    /// The id expected for the next transfer frame from the peer, a serial number (RFC 1982).
    pub next_incoming_id: u32,
    /// The id of the first transfer frame beyond the window that was announced, a serial number.
    window_end: u32,
    /// The `window_end` that the peer may know: the last one that was written.
    written_window_end: u32,
    /// The number of transfer frames in a window.
    max_incoming_window: u32,
    /// The id of the next transfer frame to be sent, a serial number.
    pub next_outgoing_id: u32,
    /// The number of transfer frames that may still be sent to the peer.
    pub remote_window: u32,
    /// The highest link handle that the peer accepts on the session.
    pub remote_handle_max: u32,
    /// The links, indexed by local handle. A removed link leaves `None`, and its handle is used again.
    pub links: Vec<Option<Box<Link>>>,
    /// Maps the peer's handles to local handles.
    pub by_remote_handle: FastHashMap<u32, u32>,
    /// The delivery id of the next delivery to be sent, a serial number.
    pub next_delivery_id: u32,
    /// Unsettled received deliveries, by delivery id.
    pub incoming: FastHashMap<u32, UnsettledDelivery>,
    /// Unsettled sent deliveries, by delivery id.
    pub outgoing: FastHashMap<u32, UnsettledDelivery>,
}

impl Session {
    /// Creates a session. `initial_id` is the id of the first transfer and of the first delivery to be sent.
    pub fn new(incoming_window: u32, initial_id: u32) -> Session {
        Session {
            phase: Phase::BeginSent,
            remote_channel: None,
            next_incoming_id: 0,
            window_end: incoming_window,
            written_window_end: incoming_window,
            max_incoming_window: incoming_window,
            next_outgoing_id: initial_id,
            remote_window: 0,
            remote_handle_max: u32::MAX,
            links: Vec::new(),
            by_remote_handle: FastHashMap::default(),
            next_delivery_id: initial_id,
            incoming: FastHashMap::default(),
            outgoing: FastHashMap::default(),
        }
    }

    /// The begin to send. If it answers the peer's begin, `remote_channel` is the channel of the latter.
    pub fn begin(&self, remote_channel: Option<u16>, handle_max: u32) -> Begin {
        Begin {
            remote_channel,
            next_outgoing_id: Some(self.next_outgoing_id),
            incoming_window: Some(self.incoming_window()),
            outgoing_window: Some(u32::MAX),
            handle_max: Some(handle_max),
            ..Begin::default()
        }
    }

    /// Applies the peer's begin.
    pub fn on_begin(&mut self, begin: &Begin) -> Result<(), Fault> {
        let missing = || fault(condition::INVALID_FIELD, "begin without its windows");
        self.next_incoming_id = begin.next_outgoing_id.ok_or_else(missing)?;
        self.window_end = self.next_incoming_id.wrapping_add(self.max_incoming_window);
        self.written_window_end = self.window_end;
        self.remote_window = begin.incoming_window.ok_or_else(missing)?;
        begin.outgoing_window.ok_or_else(missing)?;
        self.remote_handle_max = begin.handle_max.unwrap_or(u32::MAX);
        self.phase = Phase::Begun;
        Ok(())
    }

    /// The number of transfer frames that the peer may still send.
    fn incoming_window(&self) -> u32 {
        self.window_end.wrapping_sub(self.next_incoming_id)
    }

    /// Counts a received transfer frame against the window. Once half of the window is used, renews it; returns whether
    /// that has to be announced.
    ///
    /// # Errors
    /// The peer has sent more frames than the window allowed that it knows.
    pub fn consume_window(&mut self) -> Result<bool, Fault> {
        if self.next_incoming_id == self.written_window_end {
            return Err(fault(condition::WINDOW_VIOLATION, "more frames than the window allows"));
        }
        self.next_incoming_id = self.next_incoming_id.wrapping_add(1);
        let is_renewed = self.incoming_window() <= self.max_incoming_window / 2;
        if is_renewed {
            self.window_end = self.next_incoming_id.wrapping_add(self.max_incoming_window);
        }
        Ok(is_renewed)
    }

    /// Records that the announced window has been written, so that the peer may use it.
    pub fn on_window_written(&mut self) {
        self.written_window_end = self.window_end;
    }

    /// A flow with the state of the session.
    pub fn flow(&self) -> Flow {
        Flow {
            next_incoming_id: (self.phase == Phase::Begun).then_some(self.next_incoming_id),
            incoming_window: Some(self.incoming_window()),
            next_outgoing_id: Some(self.next_outgoing_id),
            outgoing_window: Some(u32::MAX),
            ..Flow::default()
        }
    }

    /// A flow with the state of a link and of the session.
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

    /// Applies the session state in the peer's flow (2.5.6).
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
        // Transfers that the peer had not received when it sent the flow may exceed the window that it announces. The
        // result is then negative.
        let is_negative = remote_window > u32::MAX / 2 && window <= u32::MAX / 2;
        self.remote_window = if is_negative { 0 } else { remote_window };
        Ok(())
    }

    /// The link with the given local handle.
    pub fn link(&self, handle: u32) -> Option<&Link> {
        self.links.get(handle as usize)?.as_deref()
    }

    /// The link with the given local handle, mutably.
    pub fn link_mut(&mut self, handle: u32) -> Option<&mut Link> {
        self.links.get_mut(handle as usize)?.as_deref_mut()
    }

    /// The local handle of the first link with the given name and role.
    pub fn find_link(&self, name: &str, role: Role) -> Option<u32> {
        let is_match = |link: &Link| link.name == name && link.role == role;
        let handle = self.links.iter().position(|link| link.as_deref().is_some_and(is_match));
        handle.map(|handle| handle as u32)
    }

    /// Adds a link at the lowest free handle, which it returns.
    pub fn insert_link(&mut self, link: Link) -> u32 {
        let free = self.links.iter().position(Option::is_none).unwrap_or(self.links.len());
        if free == self.links.len() {
            self.links.push(None);
        }
        self.links[free] = Some(Box::new(link));
        free as u32
    }

    /// Removes a link and returns the keys of its unsettled deliveries.
    pub fn remove_link(&mut self, handle: u32) -> Vec<u64> {
        let Some(link) = self.links.get_mut(handle as usize).and_then(Option::take) else {
            return Vec::new();
        };
        if let Some(remote) = link.remote_handle {
            self.by_remote_handle.remove(&remote);
        }
        self.take_unsettled(handle, link.unsettled)
    }

    /// Removes the unsettled deliveries of a link and returns their keys in order of delivery id. `count` is their
    /// number; with 0 the search is skipped.
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

    /// The unsettled deliveries in the given direction.
    pub fn unsettled_mut(&mut self, direction: Direction) -> &mut FastHashMap<u32, UnsettledDelivery> {
        match direction {
            Direction::Incoming => &mut self.incoming,
            Direction::Outgoing => &mut self.outgoing,
        }
    }

    /// The ids of the unsettled deliveries in a range of serial numbers (RFC 1982), in the order of the range.
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
        // A range may cover up to 2^32 ids, so iterate over the deliveries instead if there are fewer of them.
        let mut ids: Vec<u32> = map.keys().copied().filter(|id| id.wrapping_sub(first) <= span).collect();
        ids.sort_unstable_by_key(|id| id.wrapping_sub(first));
        ids
    }
}
