//! Deliveries that come in, and what either side says of deliveries (2.6.12 to 2.6.14).

use super::*;

impl Connection {
    pub(super) fn transferred<'a>(
        &mut self,
        channel: u16,
        transfer: Transfer,
        payload: &'a [u8],
    ) -> Result<Option<Event<'a>>, Fault> {
        let max_message = self.settings.max_message;
        let Some(session) = self.session_mut(channel) else { return Ok(None) };
        session.window = session
            .window
            .checked_sub(1)
            .ok_or_else(|| fault(condition::WINDOW_VIOLATION, "more frames than the window allows"))?;
        session.next_incoming = session.next_incoming.wrapping_add(1);
        if session.window <= session.most_window / 2 {
            session.window = session.most_window;
            let flow = session.flow();
            self.put(channel, flow);
        }
        let handle =
            transfer.handle.ok_or_else(|| fault(condition::INVALID_FIELD, "transfer without a handle"))?;
        let at = self.by_remote_handle(channel, handle)?;
        let Some(session) = self.session_mut(channel) else { return Ok(None) };
        let Some(link) = session.link_mut(at.handle) else { return Ok(None) };
        match link.phase {
            LinkPhase::Closing => return Ok(None),
            LinkPhase::Attached if link.role == Role::Receiver => {}
            _ => return Err(fault(condition::ERRANT_LINK, "a transfer on a link that takes none")),
        }
        let first = link.partial.is_none();
        let mut partial = match link.partial.take() {
            Some(partial) => {
                let same = transfer.delivery_id.is_none_or(|id| id == partial.id);
                let tagged = transfer.delivery_tag.is_none_or(|tag| tag == partial.tag);
                if !same || !tagged {
                    return Err(fault(condition::NOT_ALLOWED, "a delivery starts inside another"));
                }
                partial
            }
            None => {
                let missing = || fault(condition::INVALID_FIELD, "a first transfer without its id or tag");
                let id = transfer.delivery_id.ok_or_else(missing)?;
                let tag = transfer.delivery_tag.ok_or_else(missing)?;
                if link.credit == 0 {
                    let why = Error::new(condition::TRANSFER_LIMIT_EXCEEDED, "no credit is left");
                    self.detach(at, true, Some(Box::new(why)));
                    self.queue.push_back(Event::Detached { link: at, closed: true, error: None });
                    return Ok(None);
                }
                link.credit -= 1;
                link.delivery_count = link.delivery_count.wrapping_add(1);
                Partial { id, tag, settled: false, octets: 0 }
            }
        };
        partial.settled |= transfer.settled == Some(true);
        partial.octets += payload.len() as u64;
        if partial.octets > max_message {
            let why = format!("no message above {max_message} octets is taken");
            self.detach(at, true, Some(Box::new(Error::new(condition::MESSAGE_SIZE_EXCEEDED, &why))));
            self.queue.push_back(Event::Detached { link: at, closed: true, error: None });
            return Ok(None);
        }
        let aborted = transfer.aborted == Some(true);
        let last = transfer.more != Some(true) || aborted;
        if !last {
            link.partial = Some(partial);
        }
        let Partial { id, tag, settled, .. } = partial;
        let unsettled = link.unsettled;
        if first && session.incoming.contains_key(&id) {
            return Err(fault(condition::NOT_ALLOWED, "this delivery id is in use"));
        }
        if first && !aborted {
            if unsettled >= self.settings.unsettled {
                let why = Error::new(condition::RESOURCE_LIMIT_EXCEEDED, "too many unsettled deliveries");
                self.detach(at, true, Some(Box::new(why)));
                self.queue.push_back(Event::Detached { link: at, closed: true, error: None });
                return Ok(None);
            }
            self.hold(at, true, id, 0);
        }
        if aborted || (last && settled) {
            // Nobody waits for an answer to it.
            self.release(at.channel, true, id);
        }
        let resume = transfer.resume == Some(true);
        let payload = if aborted { &[] } else { payload };
        let part = Part { id, tag, first, last, aborted, settled, resume, payload };
        Ok(Some(Event::Transfer { link: at, part }))
    }

    /// Takes a delivery into the books of its session.
    pub(super) fn hold(&mut self, link: LinkId, incoming: bool, id: u32, key: u64) {
        let Some(session) = self.session_mut(link.channel) else { return };
        if let Some(at) = session.link_mut(link.handle) {
            at.unsettled += 1;
        }
        let map = if incoming { &mut session.incoming } else { &mut session.outgoing };
        map.insert(id, Unsettled { handle: link.handle, key, answered: false });
    }

    pub(super) fn release(&mut self, channel: u16, incoming: bool, id: u32) -> Option<Unsettled> {
        let session = self.session_mut(channel)?;
        let map = if incoming { &mut session.incoming } else { &mut session.outgoing };
        let held = map.remove(&id)?;
        if let Some(link) = session.link_mut(held.handle) {
            link.unsettled = link.unsettled.saturating_sub(1);
        }
        Some(held)
    }

    /// Names an unsettled delivery that came in: [`Event::Forgotten`] and [`Event::Dropped`] bring the name
    /// back.
    pub fn name_delivery(&mut self, channel: u16, id: u32, key: u64) {
        if let Some(held) = self.session_mut(channel).and_then(|s| s.incoming.get_mut(&id)) {
            held.key = key;
        }
    }

    /// Says how a delivery that came in ended. Where the receiver settles second the sender settles it
    /// after that; otherwise it is settled now.
    pub fn settle(&mut self, channel: u16, id: u32, state: State) {
        let Some(session) = self.session_mut(channel) else { return };
        let Some(held) = session.incoming.get_mut(&id).filter(|held| !held.answered) else { return };
        held.answered = true;
        let handle = held.handle;
        let second = session.link(handle).is_some_and(|l| l.second);
        if !second {
            self.release(channel, true, id);
        }
        self.dispose(channel, Role::Receiver, id, !second, Some(state));
    }

    /// A receiver's credit is now this much; a flow says so where it is more than it was, or is to be told.
    pub fn grant(&mut self, link: LinkId, credit: u32) {
        let most = self.settings.unsettled;
        let Some(at) = self.link_mut(link).filter(|l| l.phase == LinkPhase::Attached) else { return };
        let credit = credit.min(most.saturating_sub(at.unsettled));
        if at.role == Role::Receiver && at.credit != credit {
            at.credit = credit;
            self.tell_flow(link);
        }
    }

    /// A receiver wants its sender to use up the credit or give it back.
    pub fn drain(&mut self, link: LinkId) {
        if let Some(at) = self.link_mut(link).filter(|l| l.role == Role::Receiver) {
            at.drain = true;
            self.tell_flow(link);
        }
    }

    pub(super) fn disposed(&mut self, channel: u16, d: Disposition) -> Result<(), Fault> {
        let missing = |name: &str| fault(condition::INVALID_FIELD, format!("disposition without {name}"));
        let first = d.first.ok_or_else(|| missing("first"))?;
        let last = d.last.unwrap_or(first);
        let from_receiver = d.role.ok_or_else(|| missing("role"))?;
        let settled = d.settled == Some(true);
        let Some(session) = self.session(channel) else { return Ok(()) };
        if !from_receiver {
            if settled {
                for id in session.range(true, first, last) {
                    if let Some(held) = self.release(channel, true, id).filter(|held| !held.answered) {
                        let link = LinkId { channel, handle: held.handle };
                        self.queue.push_back(Event::Forgotten { link, key: held.key });
                    }
                }
            }
            return Ok(());
        }
        if !settled && !d.state.as_ref().is_some_and(State::is_terminal) {
            return Ok(());
        }
        for id in session.range(false, first, last) {
            let Some(held) = self.release(channel, false, id) else { continue };
            let link = LinkId { channel, handle: held.handle };
            if let Some(at) = self.link_mut(link).filter(|l| l.sending == Some(id)) {
                // Answered before it had gone whole: the rest must not follow.
                at.sending = None;
                at.abort = Some(id);
            }
            if !settled {
                self.dispose(channel, Role::Sender, id, true, d.state.clone());
            }
            self.queue.push_back(Event::Settled { link, id, key: held.key, state: d.state.clone() });
        }
        self.send_aborts(channel);
        Ok(())
    }
}
