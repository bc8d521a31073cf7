//! Receiving deliveries (2.6.14) and granting credit (2.6.7).

use super::{Connection, DetachMode, Event, IncomingTransfer, LinkId};
use crate::error::{condition, fault, Error, Fault};
use crate::link::{IncompleteDelivery, Link, Phase as LinkPhase, Role};
use crate::performative::Transfer;
use crate::session::Direction;

/// The error of a transfer that is not accepted.
enum Violation {
    /// Ends the connection or the session.
    Fatal(Fault),
    /// Closes the link with this error; the session and the connection continue.
    Link(Error),
}

impl Connection {
    /// Handles the peer's transfer.
    pub(super) fn on_transfer<'a>(
        &mut self,
        channel: u16,
        transfer: Transfer,
        payload: &'a [u8],
    ) -> Result<Option<Event<'a>>, Fault> {
        self.consume_window(channel)?;
        let handle =
            transfer.handle.ok_or_else(|| fault(condition::INVALID_FIELD, "transfer without a handle"))?;
        let link_id = self.link_by_remote_handle(channel, handle)?;
        match self.link(link_id).map(|link| (link.phase, link.role)) {
            None | Some((LinkPhase::DetachSent, _)) => return Ok(None),
            Some((LinkPhase::Attached, Role::Receiver)) => {}
            Some(_) => return Err(fault(condition::ERRANT_LINK, "a transfer on a link that takes none")),
        }
        match self.receive_transfer(link_id, transfer, payload) {
            Ok(transfer) => Ok(Some(Event::Transfer { link: link_id, transfer })),
            Err(Violation::Fatal(fault)) => Err(fault),
            Err(Violation::Link(error)) => {
                self.detach(link_id, DetachMode::Closed, Some(Box::new(error)));
                self.events.push_back(Event::Detached {
                    link: link_id,
                    mode: DetachMode::Closed,
                    error: None,
                });
                Ok(None)
            }
        }
    }

    /// Counts a transfer against the session's incoming window, and announces the window with a flow when it is renewed.
    fn consume_window(&mut self, channel: u16) -> Result<(), Fault> {
        let Some(session) = self.session_mut(channel) else { return Ok(()) };
        if session.consume_window()? {
            let flow = session.flow();
            self.has_unwritten_windows = true;
            self.send_performative(channel, flow);
        }
        Ok(())
    }

    /// Adds a transfer to its delivery and updates the unsettled deliveries.
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
        let first = link.incomplete_incoming.is_none();
        let delivery = link.add_transfer(&transfer, payload.len(), max_message_size)?;
        let aborted = transfer.aborted == Some(true);
        let last = transfer.more != Some(true) || aborted;
        let IncompleteDelivery { id, tag, settled, .. } = delivery;
        if !last {
            link.incomplete_incoming = Some(delivery);
        }
        if first {
            self.check_delivery_id(link_id.channel, id)?;
        }
        if first && !aborted {
            self.check_unsettled_limit(link_id)?;
            self.track_unsettled(link_id, Direction::Incoming, id, 0);
        }
        if aborted || (last && settled) {
            // The sender expects no outcome for the delivery.
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

    /// Checks that the link may have one more unsettled delivery.
    fn check_unsettled_limit(&self, link: LinkId) -> Result<(), Violation> {
        if self.unsettled(link) >= self.settings.max_unsettled {
            let description = "too many unsettled deliveries";
            return Err(Violation::Link(Error::new(condition::RESOURCE_LIMIT_EXCEEDED, description)));
        }
        Ok(())
    }

    /// Sets a receiver's link credit, limited by [`Settings::max_unsettled`](super::Settings::max_unsettled). Sends a
    /// flow if the credit changes.
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

    /// Requests a drain of a receiver's link: the sender has to use the credit or return it.
    pub fn drain(&mut self, link_id: LinkId) {
        if let Some(link) = self.link_mut(link_id).filter(|link| link.role == Role::Receiver) {
            link.drain = true;
            self.send_flow(link_id);
        }
    }
}

impl IncompleteDelivery {
    /// Returns the delivery if the transfer belongs to it.
    fn continue_with(self, transfer: &Transfer) -> Result<IncompleteDelivery, Fault> {
        let same_id = transfer.delivery_id.is_none_or(|id| id == self.id);
        let same_tag = transfer.delivery_tag.is_none_or(|tag| tag == self.tag);
        if !same_id || !same_tag {
            return Err(fault(condition::NOT_ALLOWED, "a delivery starts inside another"));
        }
        Ok(self)
    }
}

impl Link {
    /// Adds a transfer to the delivery that is being received, or starts a delivery with it.
    fn add_transfer(
        &mut self,
        transfer: &Transfer,
        payload_size: usize,
        max_message_size: u64,
    ) -> Result<IncompleteDelivery, Violation> {
        let mut delivery = match self.incomplete_incoming.take() {
            Some(delivery) => delivery.continue_with(transfer).map_err(Violation::Fatal)?,
            None => self.start_delivery(transfer)?,
        };
        delivery.settled |= transfer.settled == Some(true);
        delivery.octets += payload_size as u64;
        if delivery.octets > max_message_size {
            let description = format!("no message above {max_message_size} octets is taken");
            return Err(Violation::Link(Error::new(condition::MESSAGE_SIZE_EXCEEDED, &description)));
        }
        Ok(delivery)
    }

    /// Starts receiving a delivery, which uses one credit.
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
