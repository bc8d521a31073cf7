//! Beginning and ending sessions, and their flow (2.5).

use super::*;

impl Connection {
    /// Begins a session. None where there are as many as the peers allow.
    pub fn begin(&mut self) -> Option<u16> {
        let session = Session::new(self.settings.window, self.settings.first);
        let begin = session.begin(None, self.settings.handle_max);
        let channel = self.put_session(session)?;
        self.put(channel, begin);
        Some(channel)
    }

    /// Ends a session; its links go with it.
    pub fn end_session(&mut self, channel: u16, error: Option<Box<Error>>) {
        if self.session(channel).is_none_or(|s| s.phase == SessionPhase::Ending) {
            return;
        }
        self.drop_links(channel, error.as_deref());
        self.put(channel, End { error });
        if let Some(session) = self.session_mut(channel) {
            session.phase = SessionPhase::Ending;
        }
        self.queue.push_back(Event::Ended { channel });
    }

    pub(super) fn flowed(&mut self, channel: u16, flow: Flow) -> Result<Event<'static>, Fault> {
        let link = flow.handle.map(|handle| self.by_remote_handle(channel, handle)).transpose()?;
        if let Some(session) = self.session_mut(channel) {
            session.flowed(&flow)?;
        }
        self.send_aborts(channel);
        let echo = flow.echo == Some(true);
        let Some(at) = link else {
            if let Some(reply) = self.session(channel).filter(|_| echo).map(Session::flow) {
                self.put(channel, reply);
            }
            return Ok(Event::Room { channel });
        };
        if let Some(link) = self.link_mut(at) {
            match link.role {
                Role::Sender => {
                    // Without a count the receiver has not seen this sender's attach: it starts at nought.
                    let count = flow.delivery_count.or(Some(0));
                    link.credited(count, flow.link_credit.unwrap_or(0), flow.drain == Some(true));
                }
                // The sender has used up or given back what a drain left it (2.6.7).
                Role::Receiver => {
                    if let Some(count) = flow.delivery_count {
                        let used = count.wrapping_sub(link.delivery_count);
                        if used <= link.credit {
                            link.credit -= used;
                            link.delivery_count = count;
                        }
                    }
                    if link.credit == 0 {
                        link.drain = false;
                    }
                }
            }
        }
        if echo {
            self.tell_flow(at);
        }
        Ok(Event::Credit { link: at })
    }

    pub(super) fn tell_flow(&mut self, link: LinkId) {
        if let Some(flow) = self.session(link.channel).map(|s| s.link_flow(link.handle)) {
            self.put(link.channel, flow);
        }
    }
}
