//! Processing of received octets: protocol headers, frames and the dispatch of frames to sessions (2.2 to 2.5).

use super::{Connection, Event, LinkId, Stage, AMQP_HEADER, MIN_MAX_FRAME_SIZE, SASL_HEADER};
use crate::error::{condition, fault, Fault};
use crate::frame::{read_frame, Frame, AMQP, SASL};
use crate::performative::Performative;
use crate::session::Phase as SessionPhase;
use sparbank_time::MonotonicTime;

impl Connection {
    /// Processes received octets up to the next event and advances `input` past them. Returns `None` if more input is
    /// needed: the caller keeps the rest of `input`, appends the octets that follow and calls this again.
    ///
    /// # Errors
    /// The peer violated the protocol or exceeded a limit of [`Settings`](super::Settings). The caller has to call
    /// [`Connection::close`] with the fault and write the remaining output.
    pub fn next_event<'a>(
        &mut self,
        now: MonotonicTime,
        input: &mut &'a [u8],
    ) -> Result<Option<Event<'a>>, Fault> {
        if !input.is_empty() {
            self.idle.on_received(now);
        }
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(Some(event));
            }
            match self.stage {
                Stage::AwaitingHeader | Stage::AwaitingAmqpHeader => {
                    if !self.process_header(input)? {
                        return Ok(None);
                    }
                }
                Stage::Sasl => {
                    let Some(frame) = next_frame(input, MIN_MAX_FRAME_SIZE, SASL)? else { return Ok(None) };
                    if let Some(body) = frame.body {
                        self.on_sasl(body)?;
                    }
                }
                Stage::AwaitingOpen | Stage::Open => {
                    let max_size = self.settings.max_frame_size;
                    let Some(frame) = next_frame(input, max_size, AMQP)? else { return Ok(None) };
                    let Some(body) = frame.body else { continue };
                    if let Some(event) = self.on_performative(frame.channel, body, frame.payload)? {
                        return Ok(Some(event));
                    }
                }
                Stage::Closed => {
                    *input = &[];
                    return Ok(None);
                }
            }
        }
    }

    /// Processes a protocol header. Returns false if it is incomplete.
    fn process_header(&mut self, input: &mut &[u8]) -> Result<bool, Fault> {
        let Some((header, rest)) = input.split_first_chunk::<8>() else {
            // Octets that cannot become a valid header are rejected without waiting for all eight (2.2).
            let is_prefix_of = |header: &[u8; 8]| header.starts_with(input);
            if is_prefix_of(SASL_HEADER) || is_prefix_of(AMQP_HEADER) || input.starts_with(b"AMQP") {
                return Ok(false);
            }
            return Err(self.reject_header());
        };
        *input = rest;
        self.on_header(header)?;
        Ok(true)
    }

    fn on_performative<'a>(
        &mut self,
        channel: u16,
        body: Performative,
        payload: &'a [u8],
    ) -> Result<Option<Event<'a>>, Fault> {
        match (self.stage, body) {
            (Stage::AwaitingOpen, Performative::Open(open)) => self.on_open(*open).map(Some),
            (_, Performative::Close(close)) => {
                self.close(None);
                Ok(Some(Event::Closed { error: close.error }))
            }
            (Stage::AwaitingOpen, _) | (_, Performative::Open(_)) => {
                Err(fault(condition::ILLEGAL_STATE, "open comes once and first"))
            }
            (_, Performative::Begin(begin)) => self.on_begin(channel, *begin).map(Some),
            (_, body) => {
                let Some(local_channel) = self.sessions.local_channel(channel) else {
                    return Err(fault(condition::ILLEGAL_STATE, "no such session"));
                };
                self.on_session_performative(local_channel, body, payload)
            }
        }
    }

    /// Handles a frame on the session with the given local channel.
    fn on_session_performative<'a>(
        &mut self,
        channel: u16,
        body: Performative,
        payload: &'a [u8],
    ) -> Result<Option<Event<'a>>, Fault> {
        if let Performative::End(end) = body {
            return Ok(self.on_end(channel, end.error));
        }
        if self.session(channel).is_none_or(|session| session.phase == SessionPhase::EndSent) {
            return Ok(None);
        }
        let event = match body {
            Performative::Transfer(transfer) => self.on_transfer(channel, transfer, payload),
            Performative::Disposition(disposition) => {
                self.on_disposition(channel, disposition).map(|()| None)
            }
            Performative::Flow(flow) => self.on_flow(channel, flow).map(Some),
            Performative::Attach(attach) => self.on_attach(channel, attach),
            Performative::Detach(detach) => self.on_detach(channel, detach).map(|()| None),
            _ => Err(fault(condition::NOT_ALLOWED, "a SASL body in an AMQP frame")),
        };
        match event {
            // A session error ends only the session, not the connection (2.5.4).
            Err(fault) if fault.condition.starts_with("amqp:session:") => {
                self.end_session(channel, Some(Box::new(fault.into())));
                Ok(None)
            }
            event => event,
        }
    }

    /// Finds a link by the handle that the peer uses for it.
    pub(super) fn link_by_remote_handle(&self, channel: u16, handle: u32) -> Result<LinkId, Fault> {
        let session = self.session(channel);
        let local_handle = session.and_then(|session| session.by_remote_handle.get(&handle).copied());
        let handle =
            local_handle.ok_or_else(|| fault(condition::UNATTACHED_HANDLE, "no link at this handle"))?;
        Ok(LinkId { channel, handle })
    }
}

/// Reads the next frame, which must have the given type. Returns `None` if it is incomplete.
fn next_frame<'a>(input: &mut &'a [u8], max_size: u32, frame_type: u8) -> Result<Option<Frame<'a>>, Fault> {
    let frame = read_frame(input, max_size)?;
    if frame.as_ref().is_some_and(|frame| frame.frame_type != frame_type) {
        return Err(fault(condition::FRAMING_ERROR, "a frame of the wrong type"));
    }
    Ok(frame)
}
