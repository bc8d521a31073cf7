//! Deliveries that are received (2.6.14), and the receiver's credit (2.6.7).

use super::{Connection, Event, IncomingTransfer, LinkEnd, LinkId};
use crate::error::{condition, fault, Error, Fault};
use crate::link::{IncompleteDelivery, Link, Phase as LinkPhase, Role};
use crate::performative::Transfer;
use crate::session::Direction;

/// Why a transfer is not accepted.
enum Violation {
    /// It ends the connection or the session.
    Fatal(Fault),
    /// It closes its link.
    Link(Error),
}

impl Connection {
    /// The peer's transfer.
    pub(super) fn on_transfer<'a>(
        &mut self,
        channel: u16,
        transfer: Transfer,
        payload: &'a [u8],
    ) -> Result<Option<Event<'a>>, Fault> {
        self.consume_window(channel)?;
        let handle =
            transfer.handle.ok_or_else(|| fault(condition::INVALID_FIELD, "transfer without a handle"))?;
        let link_id = self.link_at_remote_handle(channel, handle)?;
        match self.link(link_id).map(|link| (link.phase, link.role)) {
            None | Some((LinkPhase::Closing, _)) => return Ok(None),
            Some((LinkPhase::Attached, Role::Receiver)) => {}
            Some(_) => return Err(fault(condition::ERRANT_LINK, "a transfer on a link that takes none")),
        }
        match self.receive_transfer(link_id, transfer, payload) {
            Ok(transfer) => Ok(Some(Event::Transfer { link: link_id, transfer })),
            Err(Violation::Fatal(fault)) => Err(fault),
            Err(Violation::Link(error)) => {
                self.detach(link_id, LinkEnd::Closed, Some(Box::new(error)));
                self.events.push_back(Event::Detached { link: link_id, end: LinkEnd::Closed, error: None });
                Ok(None)
            }
        }
    }

    /// Counts a transfer in its session's window, and opens the window again once it is half used.
    fn consume_window(&mut self, channel: u16) -> Result<(), Fault> {
        let Some(session) = self.session_mut(channel) else { return Ok(()) };
        session.incoming_window = session
            .incoming_window
            .checked_sub(1)
            .ok_or_else(|| fault(condition::WINDOW_VIOLATION, "more frames than the window allows"))?;
        session.next_incoming_id = session.next_incoming_id.wrapping_add(1);
        if session.incoming_window <= session.max_incoming_window / 2 {
            session.incoming_window = session.max_incoming_window;
            let flow = session.flow();
            self.send_performative(channel, flow);
        }
        Ok(())
    }

    /// Adds a transfer to its delivery.
    fn receive_transfer<'a>(
        &mut self,
        link_id: LinkId,
        transfer: Transfer,
        payload: &'a [u8],
    ) -> Result<IncomingTransfer<'a>, Violation> {
        let max_message_size = self.settings.max_message_size;
        let Some(link) = self.link_mut(link_id) else {
            return Err(Violation::Fatal(fault(condition::UNATTACHED_HANDLE, "no link at this handle")));
        };
        let first = link.incomplete.is_none();
        let delivery = link.add_transfer(&transfer, payload.len(), max_message_size)?;
        let aborted = transfer.aborted == Some(true);
        let last = transfer.more != Some(true) || aborted;
        let IncompleteDelivery { id, tag, settled, .. } = delivery;
        if !last {
            link.incomplete = Some(delivery);
        }
        if first {
            self.check_delivery_id(link_id.channel, id)?;
        }
        if first && !aborted {
            self.check_unsettled(link_id)?;
            self.track_unsettled(link_id, Direction::Incoming, id, 0);
        }
        if aborted || (last && settled) {
            // No state is expected for it.
            self.remove_unsettled(link_id.channel, Direction::Incoming, id);
        }
        let resume = transfer.resume == Some(true);
        let payload = if aborted { &[] } else { payload };
        Ok(IncomingTransfer { id, tag, first, last, aborted, settled, resume, payload })
    }

    fn check_delivery_id(&self, channel: u16, id: u32) -> Result<(), Violation> {
        if self.session(channel).is_some_and(|session| session.incoming.contains_key(&id)) {
            return Err(Violation::Fatal(fault(condition::NOT_ALLOWED, "this delivery id is in use")));
        }
        Ok(())
    }

    /// Checks that a further delivery may be unsettled on a link.
    fn check_unsettled(&self, link: LinkId) -> Result<(), Violation> {
        if self.unsettled(link) >= self.settings.max_unsettled {
            let description = "too many unsettled deliveries";
            return Err(Violation::Link(Error::new(condition::RESOURCE_LIMIT_EXCEEDED, description)));
        }
        Ok(())
    }

    /// Sets a receiver's credit. A flow announces it if it changes.
    pub fn set_credit(&mut self, link_id: LinkId, credit: u32) {
        let max_unsettled = self.settings.max_unsettled;
        let link = self.link_mut(link_id).filter(|link| link.phase == LinkPhase::Attached);
        let Some(link) = link else { return };
        let credit = credit.min(max_unsettled.saturating_sub(link.unsettled));
        if link.role == Role::Receiver && link.credit != credit {
            link.credit = credit;
            self.send_flow(link_id);
        }
    }

    /// Drains a receiver's credit: its sender has to use it up or give it back.
    pub fn drain(&mut self, link_id: LinkId) {
        if let Some(link) = self.link_mut(link_id).filter(|link| link.role == Role::Receiver) {
            link.drain = true;
            self.send_flow(link_id);
        }
    }
}

impl IncompleteDelivery {
    /// The delivery, if a transfer continues it.
    fn continued_by(self, transfer: &Transfer) -> Result<IncompleteDelivery, Fault> {
        let same_id = transfer.delivery_id.is_none_or(|id| id == self.id);
        let same_tag = transfer.delivery_tag.is_none_or(|tag| tag == self.tag);
        if !same_id || !same_tag {
            return Err(fault(condition::NOT_ALLOWED, "a delivery starts inside another"));
        }
        Ok(self)
    }
}

impl Link {
    /// Adds a transfer to the delivery that is being received, or starts one with it.
    fn add_transfer(
        &mut self,
        transfer: &Transfer,
        octets: usize,
        max_message_size: u64,
    ) -> Result<IncompleteDelivery, Violation> {
        let mut delivery = match self.incomplete.take() {
            Some(delivery) => delivery.continued_by(transfer).map_err(Violation::Fatal)?,
            None => self.start_delivery(transfer)?,
        };
        delivery.settled |= transfer.settled == Some(true);
        delivery.octets += octets as u64;
        if delivery.octets > max_message_size {
            let description = format!("no message above {max_message_size} octets is taken");
            return Err(Violation::Link(Error::new(condition::MESSAGE_SIZE_EXCEEDED, &description)));
        }
        Ok(delivery)
    }

    /// Starts a received delivery, which uses a credit.
    fn start_delivery(&mut self, transfer: &Transfer) -> Result<IncompleteDelivery, Violation> {
        let missing =
            || Violation::Fatal(fault(condition::INVALID_FIELD, "a first transfer without its id or tag"));
        let id = transfer.delivery_id.ok_or_else(missing)?;
        let tag = transfer.delivery_tag.ok_or_else(missing)?;
        if self.credit == 0 {
            let error = Error::new(condition::TRANSFER_LIMIT_EXCEEDED, "no credit is left");
            return Err(Violation::Link(error));
        }
        self.credit -= 1;
        self.delivery_count = self.delivery_count.wrapping_add(1);
        Ok(IncompleteDelivery { id, tag, settled: false, octets: 0 })
    }
}
