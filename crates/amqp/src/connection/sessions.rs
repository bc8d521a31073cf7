//! Session handling: begin, end and flow (2.5).

use super::{Connection, DetachMode, Event, LinkId};
use crate::error::{condition, fault, Error, Fault};
use crate::link::{Phase as LinkPhase, Role};
use crate::performative::{Begin, End, Flow};
use crate::session::{Phase as SessionPhase, Session};

impl Connection {
    /// Begins a session and returns its local channel, or `None` if all channels that both sides allow are in use.
    pub fn begin(&mut self) -> Option<u16> {
        let session = Session::new(self.settings.incoming_window, self.settings.initial_id);
        let begin = session.begin(None, self.settings.handle_max);
        let channel = self.add_session(session)?;
        self.send_performative(channel, begin);
        Some(channel)
    }

    /// Handles the peer's begin, which answers a local begin or starts a session.
    pub(super) fn on_begin(&mut self, channel: u16, begin: Begin) -> Result<Event<'static>, Fault> {
        if channel > self.settings.channel_max || self.sessions.local_channel(channel).is_some() {
            return Err(fault(condition::FRAMING_ERROR, "this channel cannot be begun"));
        }
        if let Some(local_channel) = begin.remote_channel {
            return self.on_begin_answered(channel, local_channel, &begin);
        }
        let mut session = Session::new(self.settings.incoming_window, self.settings.initial_id);
        session.on_begin(&begin)?;
        session.remote_channel = Some(channel);
        let answer = session.begin(Some(channel), self.settings.handle_max);
        let local_channel = self
            .add_session(session)
            .ok_or_else(|| fault(condition::RESOURCE_LIMIT_EXCEEDED, "too many sessions"))?;
        self.sessions.bind_remote_channel(channel, local_channel);
        self.send_performative(local_channel, answer);
        Ok(Event::Began { channel: local_channel })
    }

    /// Handles the peer's answer to a local begin.
    fn on_begin_answered(
        &mut self,
        channel: u16,
        local_channel: u16,
        begin: &Begin,
    ) -> Result<Event<'static>, Fault> {
        let session = self.session_mut(local_channel).filter(|session| session.remote_channel.is_none());
        let session = session.ok_or_else(|| fault(condition::ILLEGAL_STATE, "begin answers no session"))?;
        let is_end_sent = session.phase == SessionPhase::EndSent;
        session.on_begin(begin)?;
        if is_end_sent {
            session.phase = SessionPhase::EndSent;
        }
        session.remote_channel = Some(channel);
        self.sessions.bind_remote_channel(channel, local_channel);
        Ok(Event::Began { channel: local_channel })
    }

    /// Adds a session and returns its local channel, or `None` if all channels that both sides allow are in use.
    fn add_session(&mut self, session: Session) -> Option<u16> {
        let channel_max = self.channel_max();
        self.sessions.insert(session, channel_max)
    }

    /// Ends a session. Its links are detached with it.
    pub fn end_session(&mut self, channel: u16, error: Option<Box<Error>>) {
        if self.session(channel).is_none_or(|session| session.phase == SessionPhase::EndSent) {
            return;
        }
        self.remove_links(channel, error.as_deref());
        self.send_performative(channel, End { error });
        if let Some(session) = self.session_mut(channel) {
            session.phase = SessionPhase::EndSent;
        }
        self.events.push_back(Event::Ended { channel });
    }

    /// Handles the peer's end.
    pub(super) fn on_end(&mut self, channel: u16, error: Option<Box<Error>>) -> Option<Event<'static>> {
        let is_end_sent = self.session(channel).is_some_and(|session| session.phase == SessionPhase::EndSent);
        if !is_end_sent {
            self.remove_links(channel, error.as_deref());
            self.send_performative(channel, End::default());
        }
        self.sessions.remove(channel);
        (!is_end_sent).then_some(Event::Ended { channel })
    }

    /// Removes all links of a session and reports each as detached.
    fn remove_links(&mut self, channel: u16, error: Option<&Error>) {
        let handles = self.session(channel).map_or(0, |session| session.links.len() as u32);
        for handle in 0..handles {
            let link = LinkId { channel, handle };
            let Some(phase) = self.link(link).map(|link| link.phase) else { continue };
            self.remove_link(link);
            if phase != LinkPhase::DetachSent {
                let error = error.cloned().map(Box::new);
                self.events.push_back(Event::Detached { link, mode: DetachMode::Suspended, error });
            }
        }
    }

    /// Removes a link. [`Event::DeliveryLost`] reports each of its unsettled deliveries.
    pub(super) fn remove_link(&mut self, link: LinkId) {
        let Some(role) = self.link(link).map(|link| link.role) else { return };
        let keys = self.sessions.remove_link(link).into_iter();
        self.events.extend(keys.map(|key| Event::DeliveryLost { link, role, key }));
    }

    /// Handles the peer's flow.
    pub(super) fn on_flow(&mut self, channel: u16, flow: Flow) -> Result<Event<'static>, Fault> {
        let link = flow.handle.map(|handle| self.link_by_remote_handle(channel, handle)).transpose()?;
        if let Some(session) = self.session_mut(channel) {
            session.on_flow(&flow)?;
        }
        self.send_pending_aborts(channel);
        let echo = flow.echo == Some(true);
        let Some(link_id) = link else {
            if let Some(answer) = self.session(channel).filter(|_| echo).map(Session::flow) {
                self.send_performative(channel, answer);
            }
            return Ok(Event::SessionWindow { channel });
        };
        if let Some(link) = self.link_mut(link_id) {
            match link.role {
                Role::Sender => {
                    // A flow without a delivery count was sent before the receiver got the local attach, which sets the
                    // initial delivery count to 0.
                    let delivery_count = flow.delivery_count.unwrap_or(0);
                    let credit = flow.link_credit.unwrap_or(0);
                    link.on_receiver_flow(delivery_count, credit, flow.drain == Some(true));
                }
                Role::Receiver => link.on_sender_flow(flow.delivery_count),
            }
        }
        if echo {
            self.send_flow(link_id);
        }
        Ok(Event::Credit { link: link_id })
    }

    /// Sends a flow with the state of a link and its session.
    pub(super) fn send_flow(&mut self, link: LinkId) {
        if let Some(flow) = self.session(link.channel).map(|session| session.link_flow(link.handle)) {
            self.send_performative(link.channel, flow);
        }
    }
}
