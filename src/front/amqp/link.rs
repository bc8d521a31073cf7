//! Links: one that takes deliveries in from a terminal, one that sends them out to a region.

use super::codec::{Flow, Transfer};
use super::connection::{fault, Fault};
use crate::interface::RequestId;
use std::collections::{HashMap, VecDeque};

/// Deliveries that a terminal may have in hand on one link.
pub const CREDIT: u32 = 16;

/// A delivery that is still coming.
struct Partial {
    id: u32,
    settled: bool,
    bytes: Vec<u8>,
}

/// A delivery that has come whole.
pub struct Delivery {
    pub id: u32,
    /// The terminal wants no answer.
    pub settled: bool,
    pub bytes: Vec<u8>,
}

/// A terminal's link: its target names the class.
pub struct Intake {
    pub class: usize,
    pub address: String,
    delivery_count: u32,
    credit: u32,
    partial: Option<Partial>,
    /// Deliveries that are not answered yet.
    pub live: HashMap<u32, RequestId>,
}

impl Intake {
    pub fn new(class: usize, address: String, delivery_count: u32) -> Intake {
        Intake { class, address, delivery_count, credit: 0, partial: None, live: HashMap::new() }
    }

    /// The credit to tell the terminal of, when enough has been used up.
    pub fn grant(&mut self) -> Option<(u32, u32)> {
        let most = CREDIT.saturating_sub(self.live.len() as u32 + u32::from(self.partial.is_some()));
        if self.credit >= most || self.credit > CREDIT / 2 {
            return None;
        }
        self.credit = most;
        Some((self.delivery_count, most))
    }

    /// Takes the credit back: the node is leaving.
    pub fn stop(&mut self) -> (u32, u32) {
        self.credit = 0;
        (self.delivery_count, 0)
    }

    /// A transfer frame; gives the delivery once it is whole. One that the terminal aborts was none.
    pub fn take(&mut self, t: Transfer, payload: &[u8], most: usize) -> Result<Option<Delivery>, Fault> {
        let mut partial = match self.partial.take() {
            Some(partial) => {
                if t.delivery_id.is_some_and(|id| id != partial.id) {
                    return Err(fault("amqp:illegal-state", "another delivery before the last was whole"));
                }
                partial
            }
            None => {
                let id = t.delivery_id.ok_or_else(|| fault("amqp:invalid-field", "no delivery-id"))?;
                if self.live.contains_key(&id) {
                    return Err(fault("amqp:invalid-field", "this delivery-id is in use"));
                }
                self.credit = self
                    .credit
                    .checked_sub(1)
                    .ok_or_else(|| fault("amqp:link:transfer-limit-exceeded", "no credit is left"))?;
                self.delivery_count = self.delivery_count.wrapping_add(1);
                Partial { id, settled: false, bytes: Vec::new() }
            }
        };
        if t.aborted == Some(true) {
            return Ok(None);
        }
        if partial.bytes.len() + payload.len() > most {
            return Err(fault("amqp:link:message-size-exceeded", "the message is too large"));
        }
        partial.bytes.extend(payload);
        partial.settled |= t.settled == Some(true);
        if t.more == Some(true) {
            self.partial = Some(partial);
            return Ok(None);
        }
        Ok(Some(Delivery { id: partial.id, settled: partial.settled, bytes: partial.bytes }))
    }
}

/// A link to a region, for one class.
pub struct Outlet {
    pub handle: u32,
    /// The region's own number for the link.
    pub remote_handle: Option<u32>,
    pub attached: bool,
    pub delivery_count: u32,
    credit: u32,
    /// Routed tasks of which no byte has gone out.
    pub queue: VecDeque<RequestId>,
    /// The one that is going out: deliveries on a link do not mix.
    pub sending: Option<RequestId>,
    /// A delivery that was given up half sent: until the window lets its abort go, nothing follows.
    pub abort: Option<u32>,
}

impl Outlet {
    pub fn new(handle: u32) -> Outlet {
        let (queue, sending, abort) = (VecDeque::new(), None, None);
        let (remote_handle, attached, delivery_count, credit) = (None, false, 0, 0);
        Outlet { handle, remote_handle, attached, delivery_count, credit, queue, sending, abort }
    }

    pub fn credit(&self) -> u32 {
        self.credit
    }

    /// A flow from the region.
    pub fn flowed(&mut self, flow: &Flow) {
        let seen = flow.delivery_count.unwrap_or(0);
        let until = seen.wrapping_add(flow.link_credit.unwrap_or(0));
        let room = until.wrapping_sub(self.delivery_count);
        self.credit = if room > u32::MAX / 2 { 0 } else { room };
    }

    /// The next routed task that the region's credit lets go.
    pub fn next(&mut self) -> Option<RequestId> {
        if !self.attached || self.credit == 0 || self.sending.is_some() || self.abort.is_some() {
            return None;
        }
        let txn = self.queue.pop_front()?;
        self.credit -= 1;
        self.delivery_count = self.delivery_count.wrapping_add(1);
        self.sending = Some(txn);
        Some(txn)
    }

    /// The one that was going out is given up. Of one that had not begun the region never hears: its
    /// credit is whole again.
    pub fn give_up(&mut self, id: u32, begun: bool) {
        self.sending = None;
        if begun {
            self.abort = Some(id);
        } else {
            self.delivery_count = self.delivery_count.wrapping_sub(1);
            self.credit += 1;
        }
    }

    /// The region asks that credit not used be given up.
    pub fn drained(&mut self) {
        self.delivery_count = self.delivery_count.wrapping_add(self.credit);
        self.credit = 0;
    }
}
