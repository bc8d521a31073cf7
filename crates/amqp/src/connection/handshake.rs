//! Connection setup: protocol headers (2.2), SASL (5.3) and open (2.7.1).

use super::{Auth, Connection, Event, PeerInfo, Stage, AMQP_HEADER, MIN_MAX_FRAME_SIZE, SASL_HEADER};
use crate::error::{condition, fault, Fault};
use crate::frame::{write_frame, AMQP};
use crate::performative::{Open, Performative, SaslOutcome};
use crate::sasl::{self, Mechanism, Step};
use crate::scram::SaltedKeys;

/// The outcome code of a failed authentication (5.3.3.6).
const SASL_CODE_AUTH: u8 = 1;

impl Connection {
    /// Handles the peer's protocol header.
    pub(super) fn on_header(&mut self, header: &[u8; 8]) -> Result<(), Fault> {
        match (&mut self.auth, self.stage, header) {
            (Auth::Server(server), Stage::AwaitingHeader, SASL_HEADER) => {
                let server = server.get_or_insert_with(|| sasl::Server::new(vec![Mechanism::Anonymous]));
                let mechanisms = server.mechanisms();
                self.output.extend(SASL_HEADER);
                self.send_sasl(&mechanisms);
                self.stage = Stage::Sasl;
            }
            (Auth::Server(None), Stage::AwaitingHeader, AMQP_HEADER)
            | (Auth::Server(_), Stage::AwaitingAmqpHeader, AMQP_HEADER) => {
                self.output.extend(AMQP_HEADER);
                self.stage = Stage::AwaitingOpen;
            }
            (Auth::Client(Some(_)), Stage::AwaitingHeader, SASL_HEADER) => self.stage = Stage::Sasl,
            (Auth::Client(_), Stage::AwaitingAmqpHeader, AMQP_HEADER) => self.stage = Stage::AwaitingOpen,
            (Auth::Client(Some(_)), Stage::AwaitingHeader, AMQP_HEADER) => {
                self.peer_lacks_sasl = true;
                self.stage = Stage::Closed;
                return Err(fault(condition::FRAMING_ERROR, "the peer speaks no SASL"));
            }
            _ => return Err(self.reject_header()),
        }
        Ok(())
    }

    /// Closes the connection because the peer's protocol header is not supported. A server first sends a header that it
    /// supports (2.2).
    pub(super) fn reject_header(&mut self) -> Fault {
        if let Auth::Server(server) = &self.auth {
            let requires_sasl = server.is_some() && self.stage == Stage::AwaitingHeader;
            self.output.extend(if requires_sasl { SASL_HEADER } else { AMQP_HEADER });
        }
        self.stage = Stage::Closed;
        fault(condition::FRAMING_ERROR, "not the protocol header that is wanted")
    }

    /// Handles the body of a SASL frame.
    pub(super) fn on_sasl(&mut self, body: Performative) -> Result<(), Fault> {
        let step = match &mut self.auth {
            Auth::Server(Some(server)) => server.handle(body),
            Auth::Client(Some(client)) => client.handle(body),
            _ => Err(fault(condition::ILLEGAL_STATE, "no SASL is spoken")),
        };
        match step {
            Ok(Step::Send(body)) => self.send_sasl(&body),
            Ok(Step::Request(request)) => self.events.push_back(Event::SaslRequest(request)),
            Ok(Step::Done) => {
                self.output.extend(AMQP_HEADER);
                self.send_open();
                self.stage = Stage::AwaitingAmqpHeader;
            }
            Err(fault) => {
                if matches!(self.auth, Auth::Server(_)) {
                    let outcome = SaslOutcome { code: Some(SASL_CODE_AUTH), additional_data: None };
                    self.send_sasl(&outcome.into());
                }
                self.stage = Stage::Closed;
                return Err(fault);
            }
        }
        Ok(())
    }

    /// Answers [`SaslRequest::ScramKeys`](crate::SaslRequest::ScramKeys) with the keys of the user and a server
    /// nonce. For an unknown user `keys` is `None`, and `fake_salt` is sent in place of the stored salt.
    pub fn provide_scram_keys(&mut self, keys: Option<SaltedKeys>, fake_salt: &[u8], nonce: &str) {
        if let Auth::Server(Some(server)) = &mut self.auth {
            if let Some(body) = server.provide_keys(keys, fake_salt, nonce) {
                self.send_sasl(&body);
            }
        }
    }

    /// Answers [`Event::SaslRequest`]. If the client is not authorized, it is sent a negative outcome and the
    /// connection is closed.
    pub fn finish_sasl(&mut self, is_authorized: bool) {
        let Auth::Server(Some(server)) = &mut self.auth else { return };
        let Some(body) = server.finish(is_authorized) else { return };
        self.send_sasl(&body);
        self.stage = if is_authorized { Stage::AwaitingAmqpHeader } else { Stage::Closed };
    }

    pub(super) fn send_open(&mut self) {
        let idle_timeout_ms = self.settings.idle_timeout.as_millis();
        let open = Open {
            container_id: Some(self.settings.container.clone()),
            hostname: self.settings.hostname.clone(),
            max_frame_size: Some(self.settings.max_frame_size),
            channel_max: Some(self.settings.channel_max),
            // The standard advises to announce half of the timeout that is enforced (2.4.5).
            idle_time_out: Some((idle_timeout_ms / 2) as u32).filter(|timeout| *timeout > 0),
            ..Open::default()
        };
        write_frame(&mut self.output, AMQP, 0, Some(&open.into()), &[]);
    }

    /// Handles the peer's open.
    pub(super) fn on_open(&mut self, open: Open) -> Result<Event<'static>, Fault> {
        let container =
            open.container_id.ok_or_else(|| fault(condition::INVALID_FIELD, "open without a container"))?;
        let max_frame_size = open.max_frame_size.unwrap_or(u32::MAX);
        if max_frame_size < MIN_MAX_FRAME_SIZE {
            return Err(fault(condition::INVALID_FIELD, "max-frame-size below 512"));
        }
        self.remote_max_frame_size = max_frame_size;
        self.remote_channel_max = open.channel_max.unwrap_or(u16::MAX);
        self.idle.set_remote_timeout(open.idle_time_out);
        self.peer = PeerInfo {
            container,
            hostname: open.hostname,
            properties: open.properties,
            offered_capabilities: open.offered_capabilities,
            desired_capabilities: open.desired_capabilities,
        };
        if matches!(self.auth, Auth::Server(_)) {
            self.send_open();
        }
        self.stage = Stage::Open;
        Ok(Event::Opened {})
    }
}
