//! Sessions: begin, end and flow (2.5).

use super::{Connection, Event, LinkEnd, LinkId};
use crate::error::{condition, fault, Error, Fault};
use crate::link::{Phase as LinkPhase, Role};
use crate::performative::{Begin, End, Flow};
use crate::session::{Phase as SessionPhase, Session};

impl Connection {
    /// Begins a session. None if there are as many as the peers allow.
    pub fn begin(&mut self) -> Option<u16> {
        let session = Session::new(self.settings.incoming_window, self.settings.initial_id);
        let begin = session.begin(None, self.settings.handle_max);
        let channel = self.add_session(session)?;
        self.send_performative(channel, begin);
        Some(channel)
    }

    /// The peer's begin: it answers this side's, or begins a session.
    pub(super) fn on_begin(&mut self, channel: u16, begin: Begin) -> Result<Event<'static>, Fault> {
        if channel > self.settings.channel_max || self.sessions.at_remote_channel(channel).is_some() {
            return Err(fault(condition::FRAMING_ERROR, "this channel cannot be begun"));
        }
        if let Some(own_channel) = begin.remote_channel {
            return self.on_begin_answered(channel, own_channel, &begin);
        }
        let mut session = Session::new(self.settings.incoming_window, self.settings.initial_id);
        session.on_begin(&begin)?;
        session.remote_channel = Some(channel);
        let answer = session.begin(Some(channel), self.settings.handle_max);
        let own_channel = self
            .add_session(session)
            .ok_or_else(|| fault(condition::RESOURCE_LIMIT_EXCEEDED, "too many sessions"))?;
        self.sessions.bind_remote_channel(channel, own_channel);
        self.send_performative(own_channel, answer);
        Ok(Event::Began { channel: own_channel })
    }

    fn on_begin_answered(
        &mut self,
        channel: u16,
        own_channel: u16,
        begin: &Begin,
    ) -> Result<Event<'static>, Fault> {
        let session = self.session_mut(own_channel).filter(|session| session.remote_channel.is_none());
        let session = session.ok_or_else(|| fault(condition::ILLEGAL_STATE, "begin answers no session"))?;
        let is_ending = session.phase == SessionPhase::Ending;
        session.on_begin(begin)?;
        if is_ending {
            session.phase = SessionPhase::Ending;
        }
        session.remote_channel = Some(channel);
        self.sessions.bind_remote_channel(channel, own_channel);
        Ok(Event::Began { channel: own_channel })
    }

    /// Adds a session. None if there are as many as the peers allow.
    fn add_session(&mut self, session: Session) -> Option<u16> {
        let channel_max = self.channel_max();
        self.sessions.insert(session, channel_max)
    }

    /// Ends a session and detaches its links.
    pub fn end_session(&mut self, channel: u16, error: Option<Box<Error>>) {
        if self.session(channel).is_none_or(|session| session.phase == SessionPhase::Ending) {
            return;
        }
        self.remove_links(channel, error.as_deref());
        self.send_performative(channel, End { error });
        if let Some(session) = self.session_mut(channel) {
            session.phase = SessionPhase::Ending;
        }
        self.events.push_back(Event::Ended { channel });
    }

    /// The peer's end.
    pub(super) fn on_end(&mut self, channel: u16, error: Option<Box<Error>>) -> Option<Event<'static>> {
        let is_ending = self.session(channel).is_some_and(|session| session.phase == SessionPhase::Ending);
        if !is_ending {
            self.remove_links(channel, error.as_deref());
            self.send_performative(channel, End::default());
        }
        self.sessions.remove(channel);
        (!is_ending).then_some(Event::Ended { channel })
    }

    /// Removes all links of a session and reports it.
    fn remove_links(&mut self, channel: u16, error: Option<&Error>) {
        let handles = self.session(channel).map_or(0, |session| session.links.len() as u32);
        for handle in 0..handles {
            let link = LinkId { channel, handle };
            let Some(phase) = self.link(link).map(|link| link.phase) else { continue };
            self.remove_link(link);
            if phase != LinkPhase::Closing {
                let error = error.cloned().map(Box::new);
                self.events.push_back(Event::Detached { link, end: LinkEnd::Suspended, error });
            }
        }
    }

    /// Removes a link. Its unsettled deliveries are reported as lost.
    pub(super) fn remove_link(&mut self, link: LinkId) {
        let Some(role) = self.link(link).map(|link| link.role) else { return };
        let keys = self.sessions.remove_link(link).into_iter();
        self.events.extend(keys.map(|key| Event::DeliveryLost { link, role, key }));
    }

    /// The peer's flow.
    pub(super) fn on_flow(&mut self, channel: u16, flow: Flow) -> Result<Event<'static>, Fault> {
        let link = flow.handle.map(|handle| self.link_at_remote_handle(channel, handle)).transpose()?;
        if let Some(session) = self.session_mut(channel) {
            session.on_flow(&flow)?;
        }
        self.send_aborts(channel);
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
                    // Without a count the receiver has not seen this sender's attach: it counts from 0.
                    let delivery_count = flow.delivery_count.unwrap_or(0);
                    let credit = flow.link_credit.unwrap_or(0);
                    link.on_credit(delivery_count, credit, flow.drain == Some(true));
                }
                Role::Receiver => link.on_credit_returned(flow.delivery_count),
            }
        }
        if echo {
            self.send_flow(link_id);
        }
        Ok(Event::Credit { link: link_id })
    }

    /// Sends a flow with a link's state.
    pub(super) fn send_flow(&mut self, link: LinkId) {
        if let Some(flow) = self.session(link.channel).map(|session| session.link_flow(link.handle)) {
            self.send_performative(link.channel, flow);
        }
    }
}
