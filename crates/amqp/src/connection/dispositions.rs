//! Dispositions and settlement of deliveries (2.6.12).

use super::{Connection, Event, LinkId, Stage};
use crate::composite::write_composite;
use crate::error::{condition, fault, Fault};
use crate::frame::{write_frame_with, AMQP};
use crate::link::Role;
use crate::performative::Disposition;
use crate::session::{Direction, UnsettledDelivery};
use crate::state::State;

/// Dispositions of consecutive deliveries with the same state, which are sent as one frame with a range of delivery ids
/// (2.6.12).
pub(super) struct DispositionBatch {
    channel: u16,
    role: Role,
    first: u32,
    last: u32,
    settled: bool,
    state: Option<State>,
}

/// A disposition of a single delivery to be sent.
pub(super) struct OutgoingDisposition {
    /// The local role on the link.
    pub role: Role,
    pub id: u32,
    /// Whether the local side has settled the delivery.
    pub settled: bool,
    /// The outcome; `None` if the delivery is settled without one.
    pub state: Option<State>,
}

impl Connection {
    /// Adds a delivery to the unsettled deliveries of its session and link.
    pub(super) fn track_unsettled(&mut self, link: LinkId, direction: Direction, id: u32, key: u64) {
        let Some(session) = self.session_mut(link.channel) else { return };
        if let Some(link) = session.link_mut(link.handle) {
            link.unsettled += 1;
        }
        session
            .unsettled_mut(direction)
            .insert(id, UnsettledDelivery { handle: link.handle, key, outcome_sent: false });
    }

    /// Removes a settled delivery from the unsettled deliveries of its session and link.
    pub(super) fn remove_unsettled(
        &mut self,
        channel: u16,
        direction: Direction,
        id: u32,
    ) -> Option<UnsettledDelivery> {
        let session = self.session_mut(channel)?;
        let delivery = session.unsettled_mut(direction).remove(&id)?;
        if let Some(link) = session.link_mut(delivery.handle) {
            link.unsettled = link.unsettled.saturating_sub(1);
        }
        Some(delivery)
    }

    /// Sets the application's key of an unsettled received delivery. [`Event::SettledBySender`] and
    /// [`Event::DeliveryLost`] report the key.
    pub fn set_delivery_key(&mut self, channel: u16, id: u32, key: u64) {
        let session = self.session_mut(channel);
        if let Some(delivery) = session.and_then(|session| session.incoming.get_mut(&id)) {
            delivery.key = key;
        }
    }

    /// Sends the outcome of a received delivery. The delivery is settled at once, unless the link's receiver settle
    /// mode is `second`: then it stays unsettled until the sender settles it.
    pub fn settle(&mut self, channel: u16, id: u32, state: State) {
        let Some(session) = self.session_mut(channel) else { return };
        let delivery = session.incoming.get_mut(&id).filter(|delivery| !delivery.outcome_sent);
        let Some(delivery) = delivery else { return };
        delivery.outcome_sent = true;
        let handle = delivery.handle;
        let settles_second = session.link(handle).is_some_and(|link| link.receiver_settles_second);
        if !settles_second {
            self.remove_unsettled(channel, Direction::Incoming, id);
        }
        let settled = !settles_second;
        let disposition = OutgoingDisposition { role: Role::Receiver, id, settled, state: Some(state) };
        self.send_disposition(channel, disposition);
    }

    /// Handles the peer's disposition.
    pub(super) fn on_disposition(&mut self, channel: u16, disposition: Disposition) -> Result<(), Fault> {
        let missing = |field: &str| fault(condition::INVALID_FIELD, format!("disposition without {field}"));
        let first = disposition.first.ok_or_else(|| missing("first"))?;
        let last = disposition.last.unwrap_or(first);
        let is_from_receiver = disposition.role.ok_or_else(|| missing("role"))?;
        let settled = disposition.settled == Some(true);
        let is_terminal = disposition.state.as_ref().is_some_and(State::is_terminal);
        if !is_from_receiver {
            if settled {
                self.on_sender_settlement(channel, first, last);
            }
        } else if settled || is_terminal {
            self.on_receiver_disposition(channel, first, last, settled, disposition.state);
        }
        Ok(())
    }

    /// Handles a disposition with which the sender settles received deliveries.
    fn on_sender_settlement(&mut self, channel: u16, first: u32, last: u32) {
        let Some(session) = self.session(channel) else { return };
        for id in session.unsettled_in_range(Direction::Incoming, first, last) {
            let delivery = self.remove_unsettled(channel, Direction::Incoming, id);
            if let Some(delivery) = delivery.filter(|delivery| !delivery.outcome_sent) {
                let link = LinkId { channel, handle: delivery.handle };
                self.events.push_back(Event::SettledBySender { link, key: delivery.key });
            }
        }
    }

    /// Handles a disposition with which the receiver settles sent deliveries or reports their outcome.
    fn on_receiver_disposition(
        &mut self,
        channel: u16,
        first: u32,
        last: u32,
        settled: bool,
        state: Option<State>,
    ) {
        let Some(session) = self.session(channel) else { return };
        for id in session.unsettled_in_range(Direction::Outgoing, first, last) {
            let Some(delivery) = self.remove_unsettled(channel, Direction::Outgoing, id) else { continue };
            let link_id = LinkId { channel, handle: delivery.handle };
            if let Some(link) = self.link_mut(link_id).filter(|link| link.incomplete_outgoing == Some(id)) {
                // The outcome arrived before the last transfer was sent: the rest of the delivery must not be sent.
                link.incomplete_outgoing = None;
                link.pending_abort = Some(id);
            }
            if !settled {
                let state = state.clone();
                let disposition = OutgoingDisposition { role: Role::Sender, id, settled: true, state };
                self.send_disposition(channel, disposition);
            }
            self.events.push_back(Event::Settled {
                link: link_id,
                id,
                key: delivery.key,
                state: state.clone(),
            });
        }
        self.send_pending_aborts(channel);
    }

    /// Adds a disposition to the current batch if it continues its range. Otherwise flushes the batch and starts a
    /// new one.
    pub(super) fn send_disposition(&mut self, channel: u16, disposition: OutgoingDisposition) {
        let OutgoingDisposition { role, id, settled, state } = disposition;
        if let Some(batch) = &mut self.disposition_batch {
            let is_next = batch.last.wrapping_add(1) == id && (batch.channel, batch.role) == (channel, role);
            if is_next && batch.settled == settled && batch.state == state {
                batch.last = id;
                return;
            }
        }
        self.flush_dispositions();
        self.disposition_batch =
            Some(DispositionBatch { channel, role, first: id, last: id, settled, state });
    }

    /// Writes the batched disposition to the output buffer.
    pub(super) fn flush_dispositions(&mut self) {
        let Some(batch) = self.disposition_batch.take() else { return };
        if self.stage == Stage::Closed {
            return;
        }
        let body = Disposition {
            role: Some(batch.role == Role::Receiver),
            first: Some(batch.first),
            last: (batch.last != batch.first).then_some(batch.last),
            settled: batch.settled.then_some(true),
            state: batch.state,
            batchable: None,
        };
        write_frame_with(&mut self.output, AMQP, batch.channel, |out| write_composite(&body, out), &[]);
    }
}
