//! Attaching and detaching links (2.6.3 to 2.6.6).

use super::{Connection, DetachMode, Event, LinkId};
use crate::error::{condition, fault, Error, Fault};
use crate::link::{Link, Phase as LinkPhase, Role};
use crate::performative::{Attach, Detach};
use crate::session::Phase as SessionPhase;

/// A validated attach from the peer.
struct RemoteAttach {
    handle: u32,
    name: String,
    /// The local role on the link.
    role: Role,
    attach: Box<Attach>,
}

impl Connection {
    /// Requests a link. `attach` contains the fields that the application chooses (source, target, settle modes,
    /// unsettled); the connection sets the others. [`Event::Attached`] reports the peer's answer. Returns `None` if a
    /// limit of either side allows no further link.
    pub fn attach(&mut self, channel: u16, name: &str, role: Role, mut attach: Attach) -> Option<LinkId> {
        if self.sessions.link_count() >= self.settings.max_links {
            return None;
        }
        let handle_max = self.handle_max(channel);
        self.session(channel).filter(|session| session.phase != SessionPhase::EndSent)?;
        let mut link = Link::new(name.to_string(), role, LinkPhase::AttachSent);
        link.receiver_settles_second = attach.rcv_settle_mode == Some(1);
        let link_id = self.sessions.insert_link(channel, link)?;
        if link_id.handle > handle_max {
            self.sessions.remove_link(link_id);
            return None;
        }
        attach.name = Some(name.to_string());
        attach.handle = Some(link_id.handle);
        attach.role = Some(role == Role::Receiver);
        attach.initial_delivery_count = (role == Role::Sender).then_some(0);
        attach.max_message_size.get_or_insert(self.settings.max_message_size);
        self.send_performative(channel, attach);
        Some(link_id)
    }

    /// Handles the peer's attach, which answers a local attach or requests a link.
    pub(super) fn on_attach(
        &mut self,
        channel: u16,
        attach: Box<Attach>,
    ) -> Result<Option<Event<'static>>, Fault> {
        let remote = RemoteAttach::validate(attach)?;
        let handle_max = self.settings.handle_max;
        let Some(session) = self.session_mut(channel) else { return Ok(None) };
        if remote.handle > handle_max || session.by_remote_handle.contains_key(&remote.handle) {
            return Err(fault(condition::HANDLE_IN_USE, "this handle cannot be attached"));
        }
        let local_handle = session.find_link(&remote.name, remote.role);
        let Some(link_id) = local_handle.map(|handle| LinkId { channel, handle }) else {
            self.add_requested_link(channel, remote);
            return Ok(None);
        };
        let Some(link) = self.link(link_id) else { return Ok(None) };
        let phase = link.phase;
        let is_unanswered = matches!(phase, LinkPhase::AttachSent | LinkPhase::DetachSent);
        if link.remote_handle.is_none() && is_unanswered {
            return Ok(self.on_attach_answered(link_id, remote));
        }
        if phase != LinkPhase::DetachSent {
            // The new attachment replaces the existing one (2.6.1).
            let error = Error::new(condition::STOLEN, "the link was attached again");
            self.detach(link_id, DetachMode::Suspended, Some(Box::new(error)));
            self.events.push_back(Event::Detached {
                link: link_id,
                mode: DetachMode::Suspended,
                error: None,
            });
        }
        self.add_requested_link(channel, remote);
        Ok(None)
    }

    /// Handles the peer's answer to a local attach.
    fn on_attach_answered(&mut self, link_id: LinkId, remote: RemoteAttach) -> Option<Event<'static>> {
        let session = self.session_mut(link_id.channel)?;
        session.by_remote_handle.insert(remote.handle, link_id.handle);
        let link = session.link_mut(link_id.handle)?;
        link.on_attach(&remote.attach);
        if link.phase == LinkPhase::DetachSent {
            return None;
        }
        link.phase = LinkPhase::Attached;
        Some(Event::Attached { link: link_id, attach: remote.attach })
    }

    /// Adds a link that the peer requests, or refuses it if there are too many.
    fn add_requested_link(&mut self, channel: u16, remote: RemoteAttach) {
        let max_links = self.settings.max_links;
        let is_full = self.sessions.link_count() >= max_links;
        let mut link = Link::new(remote.name, remote.role, LinkPhase::AttachReceived);
        link.on_attach(&remote.attach);
        let Some(link) = self.sessions.insert_link(channel, link) else { return };
        if let Some(session) = self.session_mut(channel) {
            session.by_remote_handle.insert(remote.handle, link.handle);
        }
        if is_full {
            let description = format!("no more than {max_links} links on a connection");
            self.refuse_link(link, Error::new(condition::RESOURCE_LIMIT_EXCEEDED, &description));
            return;
        }
        // Queued, not returned, so that it follows the events of the link that it replaces.
        self.events.push_back(Event::AttachRequested { link, role: remote.role, attach: remote.attach });
    }

    /// Accepts a link that the peer requested. `attach` contains the fields that the application chooses. A receiver
    /// gets no deliveries until [`Connection::set_credit`] is called.
    pub fn accept_link(&mut self, link_id: LinkId, mut attach: Attach) {
        let max_message_size = self.settings.max_message_size;
        let link = self.link_mut(link_id).filter(|link| link.phase == LinkPhase::AttachReceived);
        let Some(link) = link else { return };
        link.phase = LinkPhase::Attached;
        attach.name = Some(link.name.clone());
        attach.handle = Some(link_id.handle);
        attach.role = Some(link.role == Role::Receiver);
        attach.initial_delivery_count = (link.role == Role::Sender).then_some(0);
        attach.rcv_settle_mode = Some(u8::from(link.receiver_settles_second));
        attach.max_message_size.get_or_insert(max_message_size);
        self.send_performative(link_id.channel, attach);
    }

    /// Refuses a link that the peer requested: sends an attach without a terminus, followed by a detach with the error
    /// (2.6.3).
    pub fn refuse_link(&mut self, link_id: LinkId, error: Error) {
        if self.send_refusing_attach(link_id) {
            self.detach(link_id, DetachMode::Closed, Some(Box::new(error)));
        }
    }

    /// Answers a link that the peer requested with an attach without a terminus. Returns false if there is no such link.
    fn send_refusing_attach(&mut self, link_id: LinkId) -> bool {
        let link = self.link(link_id).filter(|link| link.phase == LinkPhase::AttachReceived);
        let Some(link) = link else { return false };
        let attach = Attach {
            name: Some(link.name.clone()),
            handle: Some(link_id.handle),
            role: Some(link.role == Role::Receiver),
            initial_delivery_count: (link.role == Role::Sender).then_some(0),
            ..Attach::default()
        };
        self.send_performative(link_id.channel, attach);
        true
    }

    /// Detaches a link. [`Event::DeliveryLost`] reports each of its unsettled deliveries.
    pub fn detach(&mut self, link_id: LinkId, mode: DetachMode, error: Option<Box<Error>>) {
        let link = self.link_mut(link_id).filter(|link| link.phase != LinkPhase::DetachSent);
        let Some(link) = link else { return };
        let role = link.role;
        let unsettled = link.mark_detach_sent();
        if let Some(session) = self.session_mut(link_id.channel) {
            let keys = session.take_unsettled(link_id.handle, unsettled).into_iter();
            self.events.extend(keys.map(|key| Event::DeliveryLost { link: link_id, role, key }));
        }
        let handle = Some(link_id.handle);
        self.send_performative(link_id.channel, Detach { handle, closed: mode.to_field(), error });
    }

    /// Handles the peer's detach.
    pub(super) fn on_detach(&mut self, channel: u16, detach: Detach) -> Result<(), Fault> {
        let handle =
            detach.handle.ok_or_else(|| fault(condition::INVALID_FIELD, "detach without a handle"))?;
        let link_id = self.link_by_remote_handle(channel, handle)?;
        let is_detach_sent = self.link(link_id).is_some_and(|link| link.phase == LinkPhase::DetachSent);
        let mode = DetachMode::from_field(detach.closed);
        if !is_detach_sent {
            // The peer knows the local handle of a link only once the link is attached on both sides.
            self.send_refusing_attach(link_id);
            let handle = Some(link_id.handle);
            let answer = Detach { handle, closed: mode.to_field(), error: None };
            self.send_performative(channel, answer);
        }
        self.remove_link(link_id);
        if !is_detach_sent {
            self.events.push_back(Event::Detached { link: link_id, mode, error: detach.error });
        }
        Ok(())
    }
}

impl RemoteAttach {
    /// Checks that the fields that the standard requires are present.
    fn validate(attach: Box<Attach>) -> Result<RemoteAttach, Fault> {
        let missing = |field: &str| fault(condition::INVALID_FIELD, format!("attach without its {field}"));
        let handle = attach.handle.ok_or_else(|| missing("handle"))?;
        let name = attach.name.clone().ok_or_else(|| missing("name"))?;
        let is_peer_receiver = attach.role.ok_or_else(|| missing("role"))?;
        let role = if is_peer_receiver { Role::Sender } else { Role::Receiver };
        if role == Role::Receiver && attach.initial_delivery_count.is_none() {
            return Err(missing("initial-delivery-count"));
        }
        Ok(RemoteAttach { handle, name, role, attach })
    }
}
