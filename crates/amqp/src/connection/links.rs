//! Attaching and detaching (2.6.3 to 2.6.6).

use super::*;

impl Connection {
    /// Attaches a link with the fields that are the user's (source, target, modes, unsettled). The peer's
    /// answer is [`Event::Attached`]. None where there are as many as the peers allow.
    pub fn attach(&mut self, channel: u16, name: &str, role: Role, mut attach: Attach) -> Option<LinkId> {
        if self.links >= self.settings.links {
            return None;
        }
        let handle_max = self.handle_max(channel);
        let session = self.session_mut(channel).filter(|s| s.phase != SessionPhase::Ending)?;
        let mut link = Link::new(name.to_string(), role, LinkPhase::Sent);
        link.second = attach.rcv_settle_mode == Some(1);
        let handle = session.insert(link);
        if handle > handle_max {
            session.remove(handle);
            return None;
        }
        self.links += 1;
        attach.name = Some(name.to_string());
        attach.handle = Some(handle);
        attach.role = Some(role == Role::Receiver);
        attach.initial_delivery_count = (role == Role::Sender).then_some(0);
        attach.max_message_size.get_or_insert(self.settings.max_message);
        self.put(channel, attach);
        Some(LinkId { channel, handle })
    }

    pub(super) fn attached(
        &mut self,
        channel: u16,
        attach: Box<Attach>,
    ) -> Result<Option<Event<'static>>, Fault> {
        let missing = |name: &str| fault(condition::INVALID_FIELD, format!("attach without its {name}"));
        let handle = attach.handle.ok_or_else(|| missing("handle"))?;
        let name = attach.name.clone().ok_or_else(|| missing("name"))?;
        let role = match attach.role.ok_or_else(|| missing("role"))? {
            true => Role::Sender,
            false => Role::Receiver,
        };
        if role == Role::Receiver && attach.initial_delivery_count.is_none() {
            return Err(missing("initial-delivery-count"));
        }
        let limit = self.settings.handle_max;
        let (most, full) = (self.settings.links, self.links >= self.settings.links);
        let Some(session) = self.session_mut(channel) else { return Ok(None) };
        if handle > limit || session.by_remote.contains_key(&handle) {
            return Err(fault(condition::HANDLE_IN_USE, "this handle cannot be attached"));
        }
        let ours = session
            .links
            .iter_mut()
            .enumerate()
            .find_map(|(at, l)| l.as_mut().filter(|l| l.name == name && l.role == role).map(|l| (at, l)));
        if let Some((at, link)) = ours {
            let (at, phase) = (at as u32, link.phase);
            if link.remote_handle.is_none() && matches!(phase, LinkPhase::Sent | LinkPhase::Closing) {
                link.attached(&attach);
                session.by_remote.insert(handle, at);
                if phase == LinkPhase::Closing {
                    return Ok(None);
                }
                if let Some(link) = session.link_mut(at) {
                    link.phase = LinkPhase::Attached;
                }
                let link = LinkId { channel, handle: at };
                return Ok(Some(Event::Attached { link, attach }));
            }
            if phase != LinkPhase::Closing {
                // The newer link wins (2.6.1).
                let why = Error::new(condition::STOLEN, "the link was attached again");
                let stolen = LinkId { channel, handle: at };
                self.detach(stolen, false, Some(Box::new(why)));
                self.queue.push_back(Event::Detached { link: stolen, closed: false, error: None });
            }
        }
        let mut link = Link::new(name, role, LinkPhase::Asked);
        link.attached(&attach);
        let Some(session) = self.session_mut(channel) else { return Ok(None) };
        let at = session.insert(link);
        session.by_remote.insert(handle, at);
        self.links += 1;
        let link = LinkId { channel, handle: at };
        if full {
            let why = format!("no more than {most} links on a connection");
            self.refuse_link(link, Error::new(condition::RESOURCE_LIMIT_EXCEEDED, &why));
            return Ok(None);
        }
        // Behind what a stolen link has left to say.
        self.queue.push_back(Event::Asks { link, role, attach });
        Ok(None)
    }

    /// Accepts a link that the peer asked for, with the fields that are the user's. Nothing comes before
    /// [`Connection::grant`].
    pub fn accept_link(&mut self, link: LinkId, mut attach: Attach) {
        let most = self.settings.max_message;
        let Some(at) = self.link_mut(link).filter(|l| l.phase == LinkPhase::Asked) else { return };
        at.phase = LinkPhase::Attached;
        attach.name = Some(at.name.clone());
        attach.handle = Some(link.handle);
        attach.role = Some(at.role == Role::Receiver);
        attach.initial_delivery_count = (at.role == Role::Sender).then_some(0);
        attach.rcv_settle_mode = Some(u8::from(at.second));
        attach.max_message_size.get_or_insert(most);
        self.put(link.channel, attach);
    }

    /// Refuses a link that the peer asked for: an attach without a terminus, and a detach that says why
    /// (2.6.3).
    pub fn refuse_link(&mut self, link: LinkId, error: Error) {
        let Some(at) = self.link(link).filter(|l| l.phase == LinkPhase::Asked) else { return };
        let attach = Attach {
            name: Some(at.name.clone()),
            handle: Some(link.handle),
            role: Some(at.role == Role::Receiver),
            initial_delivery_count: (at.role == Role::Sender).then_some(0),
            ..Attach::default()
        };
        self.put(link.channel, attach);
        self.detach(link, true, Some(Box::new(error)));
    }

    /// Detaches a link: for good, or to be resumed. What was not settled on it is reported as
    /// [`Event::Dropped`].
    pub fn detach(&mut self, link: LinkId, closed: bool, error: Option<Box<Error>>) {
        let Some(at) = self.link_mut(link).filter(|l| l.phase != LinkPhase::Closing) else { return };
        at.phase = LinkPhase::Closing;
        let (count, role) = (std::mem::take(&mut at.unsettled), at.role);
        (at.sending, at.partial, at.abort, at.credit) = (None, None, None, 0);
        if let Some(session) = self.session_mut(link.channel) {
            let gone = session.unsettled_of(link.handle, count);
            self.queue.extend(gone.into_iter().map(|key| Event::Dropped { link, role, key }));
        }
        self.put(link.channel, Detach { handle: Some(link.handle), closed: closed.then_some(true), error });
    }

    pub(super) fn detached(&mut self, channel: u16, detach: Detach) -> Result<Option<Event<'static>>, Fault> {
        let handle =
            detach.handle.ok_or_else(|| fault(condition::INVALID_FIELD, "detach without a handle"))?;
        let link = self.by_remote_handle(channel, handle)?;
        let closing = self.link(link).is_some_and(|l| l.phase == LinkPhase::Closing);
        let closed = detach.closed == Some(true);
        if !closing {
            let answer = Detach { handle: Some(link.handle), closed: closed.then_some(true), error: None };
            self.put(channel, answer);
        }
        self.drop_link(link);
        if !closing {
            self.queue.push_back(Event::Detached { link, closed, error: detach.error });
        }
        Ok(None)
    }
}
