//! Bytes in: headers, SASL, and which session a frame is for (2.2 to 2.5, 5.3).

use super::*;

impl Connection {
    /// Takes frames off the bytes until one means something: what. None where more is to be waited for.
    /// After a fault the user calls [`Connection::close`] with it and writes what is left to write.
    pub fn next<'a>(&mut self, now: Nanos, input: &mut &'a [u8]) -> Result<Option<Event<'a>>, Fault> {
        if !input.is_empty() {
            self.heard = now;
        }
        loop {
            if let Some(event) = self.queue.pop_front() {
                return Ok(Some(event));
            }
            match self.stage {
                Stage::Start | Stage::Header => {
                    let Some((header, rest)) = input.split_first_chunk::<8>() else {
                        // What can no longer become a header is answered at once (2.2).
                        let known = |header: &[u8; 8]| header.starts_with(input);
                        if known(SASL_HEADER) || known(AMQP_HEADER) || input.starts_with(b"AMQP") {
                            return Ok(None);
                        }
                        return Err(self.no_header());
                    };
                    *input = rest;
                    self.header(header)?;
                }
                Stage::Closed => {
                    *input = &[];
                    return Ok(None);
                }
                Stage::Sasl => {
                    let Some(frame) = take_frame(input, MIN_MAX_FRAME)? else { return Ok(None) };
                    if frame.kind != SASL {
                        return Err(fault(condition::FRAMING_ERROR, "a frame of the wrong type"));
                    }
                    if let Some(body) = frame.body {
                        self.sasl(body)?;
                    }
                }
                Stage::Opening | Stage::Open => {
                    let Some(frame) = take_frame(input, self.settings.max_frame)? else { return Ok(None) };
                    if frame.kind != AMQP {
                        return Err(fault(condition::FRAMING_ERROR, "a frame of the wrong type"));
                    }
                    let Some(body) = frame.body else { continue };
                    if let Some(event) = self.frame(frame.channel, body, frame.payload)? {
                        return Ok(Some(event));
                    }
                }
            }
        }
    }

    pub(super) fn header(&mut self, header: &[u8; 8]) -> Result<(), Fault> {
        match (&mut self.auth, self.stage, header) {
            (Auth::Server(server), Stage::Start, SASL_HEADER) => {
                let server = server.get_or_insert_with(|| sasl::Server::new(vec![Mechanism::Anonymous]));
                let mechanisms = server.mechanisms();
                self.out.extend(SASL_HEADER);
                self.put_sasl(&mechanisms);
                self.stage = Stage::Sasl;
            }
            (Auth::Server(None), Stage::Start, AMQP_HEADER)
            | (Auth::Server(_), Stage::Header, AMQP_HEADER) => {
                self.out.extend(AMQP_HEADER);
                self.stage = Stage::Opening;
            }
            (Auth::Client(Some(_)), Stage::Start, SASL_HEADER) => self.stage = Stage::Sasl,
            (Auth::Client(_), Stage::Header, AMQP_HEADER) => self.stage = Stage::Opening,
            (Auth::Client(Some(_)), Stage::Start, AMQP_HEADER) => {
                self.no_sasl = true;
                self.stage = Stage::Closed;
                return Err(fault(condition::FRAMING_ERROR, "the peer speaks no SASL"));
            }
            _ => return Err(self.no_header()),
        }
        Ok(())
    }

    /// The peer's header is none of ours: it is told which would be (2.2) and the connection ends.
    pub(super) fn no_header(&mut self) -> Fault {
        if let Auth::Server(server) = &self.auth {
            let sasl = server.is_some() && self.stage == Stage::Start;
            self.out.extend(if sasl { SASL_HEADER } else { AMQP_HEADER });
        }
        self.stage = Stage::Closed;
        fault(condition::FRAMING_ERROR, "not the protocol header that is wanted")
    }

    pub(super) fn sasl(&mut self, body: Performative) -> Result<(), Fault> {
        let step = match &mut self.auth {
            Auth::Server(Some(server)) => server.take(body),
            Auth::Client(Some(client)) => client.take(body),
            _ => Err(fault(condition::ILLEGAL_STATE, "no SASL is spoken")),
        };
        match step {
            Ok(Step::Say(body)) => self.put_sasl(&body),
            Ok(Step::Ask(asked)) => self.queue.push_back(Event::Asked(asked)),
            Ok(Step::Done) => {
                self.out.extend(AMQP_HEADER);
                self.say_open();
                self.stage = Stage::Header;
            }
            Err(why) => {
                if matches!(self.auth, Auth::Server(_)) {
                    let refused = SaslOutcome { code: Some(1), additional_data: None };
                    self.put_sasl(&refused.into());
                }
                self.stage = Stage::Closed;
                return Err(why);
            }
        }
        Ok(())
    }

    /// Answers [`Asked::Keys`]: the user's keys, or none and a salt that stands in for them; and a nonce.
    pub fn keys(&mut self, keys: Option<SaltedKeys>, fake_salt: &[u8], nonce: &str) {
        if let Auth::Server(Some(server)) = &mut self.auth {
            if let Some(body) = server.keys(keys, fake_salt, nonce) {
                self.put_sasl(&body);
            }
        }
    }

    /// Answers [`Event::Asked`]. One that is refused is told so and the connection is over.
    pub fn verdict(&mut self, good: bool) {
        let Auth::Server(Some(server)) = &mut self.auth else { return };
        let Some(body) = server.verdict(good) else { return };
        self.put_sasl(&body);
        self.stage = if good { Stage::Header } else { Stage::Closed };
    }

    pub(super) fn say_open(&mut self) {
        let open = Open {
            container_id: Some(self.settings.container.clone()),
            hostname: self.settings.hostname.clone(),
            max_frame_size: Some(self.settings.max_frame),
            channel_max: Some(self.settings.channel_max),
            // The peer is asked to be livelier than it must be, as the standard advises.
            idle_time_out: Some((self.settings.idle / MS / 2) as u32).filter(|idle| *idle > 0),
            ..Open::default()
        };
        put_frame(&mut self.out, AMQP, 0, Some(&open.into()), &[]);
    }

    pub(super) fn frame<'a>(
        &mut self,
        channel: u16,
        body: Performative,
        payload: &'a [u8],
    ) -> Result<Option<Event<'a>>, Fault> {
        match (self.stage, body) {
            (Stage::Opening, Performative::Open(open)) => self.opened(*open).map(Some),
            (_, Performative::Close(close)) => {
                self.close(None);
                Ok(Some(Event::Closed { error: close.error }))
            }
            (Stage::Opening, _) | (_, Performative::Open(_)) => {
                Err(fault(condition::ILLEGAL_STATE, "open comes once and first"))
            }
            (_, Performative::Begin(begin)) => self.begun(channel, *begin).map(Some),
            (_, body) => {
                let Some(ours) = self.by_remote.get(&channel).copied() else {
                    return Err(fault(condition::ILLEGAL_STATE, "no such session"));
                };
                if let Performative::End(end) = body {
                    return Ok(self.end(ours, end.error));
                }
                if self.session(ours).is_none_or(|s| s.phase == SessionPhase::Ending) {
                    return Ok(None);
                }
                match self.session_frame(ours, body, payload) {
                    Ok(event) => Ok(event),
                    // What concerns a session ends it and not its connection (2.5.4).
                    Err(why) if why.condition.starts_with("amqp:session:") => {
                        self.end_session(ours, Some(Box::new(why.into())));
                        Ok(None)
                    }
                    Err(why) => Err(why),
                }
            }
        }
    }

    pub(super) fn opened(&mut self, open: Open) -> Result<Event<'static>, Fault> {
        let container =
            open.container_id.ok_or_else(|| fault(condition::INVALID_FIELD, "open without a container"))?;
        let most = open.max_frame_size.unwrap_or(u32::MAX);
        if most < MIN_MAX_FRAME {
            return Err(fault(condition::INVALID_FIELD, "max-frame-size below 512"));
        }
        self.peer_max_frame = most;
        self.peer_channel_max = open.channel_max.unwrap_or(u16::MAX);
        let idle = open.idle_time_out.filter(|ms| *ms > 0);
        self.peer_idle = idle.map(|ms| (Nanos::from(ms) * MS).max(LEAST_IDLE));
        self.peer = PeerInfo {
            container,
            hostname: open.hostname,
            properties: open.properties,
            offered: open.offered_capabilities,
            desired: open.desired_capabilities,
        };
        if matches!(self.auth, Auth::Server(_)) {
            self.say_open();
        }
        self.stage = Stage::Open;
        Ok(Event::Opened {})
    }

    pub(super) fn begun(&mut self, channel: u16, begin: Begin) -> Result<Event<'static>, Fault> {
        if channel > self.settings.channel_max || self.by_remote.contains_key(&channel) {
            return Err(fault(condition::FRAMING_ERROR, "this channel cannot be begun"));
        }
        if let Some(ours) = begin.remote_channel {
            let session = self.session_mut(ours).filter(|s| s.remote_channel.is_none());
            let session =
                session.ok_or_else(|| fault(condition::ILLEGAL_STATE, "begin answers no session"))?;
            let ending = session.phase == SessionPhase::Ending;
            session.began(&begin)?;
            if ending {
                session.phase = SessionPhase::Ending;
            }
            session.remote_channel = Some(channel);
            self.by_remote.insert(channel, ours);
            return Ok(Event::Began { channel: ours });
        }
        let mut session = Session::new(self.settings.window, self.settings.first);
        session.began(&begin)?;
        session.remote_channel = Some(channel);
        let handle_max = self.settings.handle_max;
        let ours = self
            .put_session(session)
            .ok_or_else(|| fault(condition::RESOURCE_LIMIT_EXCEEDED, "too many sessions"))?;
        self.by_remote.insert(channel, ours);
        if let Some(body) = self.session(ours).map(|s| s.begin(Some(channel), handle_max)) {
            self.put(ours, body);
        }
        Ok(Event::Began { channel: ours })
    }

    pub(super) fn put_session(&mut self, session: Session) -> Option<u16> {
        let free = self.sessions.iter().position(Option::is_none).unwrap_or(self.sessions.len());
        if free > self.channel_max() as usize {
            return None;
        }
        if free == self.sessions.len() {
            self.sessions.push(None);
        }
        self.sessions[free] = Some(session);
        Some(free as u16)
    }

    /// The peer has ended a session.
    pub(super) fn end(&mut self, channel: u16, error: Option<Box<Error>>) -> Option<Event<'static>> {
        let ending = self.session(channel).is_some_and(|s| s.phase == SessionPhase::Ending);
        if !ending {
            self.drop_links(channel, error.as_deref());
            self.put(channel, End::default());
        }
        self.forget_session(channel);
        (!ending).then_some(Event::Ended { channel })
    }

    pub(super) fn forget_session(&mut self, channel: u16) {
        if let Some(session) = self.sessions.get_mut(channel as usize).and_then(Option::take) {
            self.links -= session.links.iter().flatten().count();
            if let Some(remote) = session.remote_channel {
                self.by_remote.remove(&remote);
            }
        }
    }

    /// All links of a session are gone: their users hear of it.
    pub(super) fn drop_links(&mut self, channel: u16, error: Option<&Error>) {
        let handles = self.session(channel).map_or(0, |s| s.links.len() as u32);
        for handle in 0..handles {
            let link = LinkId { channel, handle };
            let Some(phase) = self.link(link).map(|l| l.phase) else { continue };
            self.drop_link(link);
            if phase != LinkPhase::Closing {
                self.queue.push_back(Event::Detached {
                    link,
                    closed: false,
                    error: error.cloned().map(Box::new),
                });
            }
        }
    }

    pub(super) fn drop_link(&mut self, link: LinkId) {
        let Some(role) = self.link(link).map(|l| l.role) else { return };
        let Some(session) = self.session_mut(link.channel) else { return };
        let gone = session.remove(link.handle);
        self.links -= 1;
        self.queue.extend(gone.into_iter().map(|key| Event::Dropped { link, role, key }));
    }

    pub(super) fn session_frame<'a>(
        &mut self,
        channel: u16,
        body: Performative,
        payload: &'a [u8],
    ) -> Result<Option<Event<'a>>, Fault> {
        match body {
            Performative::Transfer(transfer) => self.transferred(channel, transfer, payload),
            Performative::Disposition(d) => self.disposed(channel, d).map(|()| None),
            Performative::Flow(flow) => self.flowed(channel, flow).map(Some),
            Performative::Attach(attach) => self.attached(channel, attach),
            Performative::Detach(detach) => self.detached(channel, detach),
            _ => Err(fault(condition::NOT_ALLOWED, "a SASL body in an AMQP frame")),
        }
    }

    pub(super) fn by_remote_handle(&self, channel: u16, handle: u32) -> Result<LinkId, Fault> {
        let found = self.session(channel).and_then(|s| s.by_remote.get(&handle).copied());
        let handle = found.ok_or_else(|| fault(condition::UNATTACHED_HANDLE, "no link at this handle"))?;
        Ok(LinkId { channel, handle })
    }
}
