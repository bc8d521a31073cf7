//! A client's session: its request, and how far it has got.

use super::request_line::OpenRequest;
use crate::frontend::{FrontendContext, ANSWER_MARGIN};
use crate::model::{Arrival, RequestId, ServerId};
use crate::net::Token;
use serde::{Deserialize, Serialize};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// A client with a request.
pub(super) struct Session {
    /// The client's request line.
    pub(super) open: OpenRequest,
    /// None while a connection from before the run is being restored: it becomes a request once its server has
    /// accepted it.
    pub(super) request_id: Option<RequestId>,
    /// The server of the latest attempt.
    pub(super) server: Option<ServerId>,
    pub(super) state: SessionState,
    /// The client has its final answer.
    pub(super) is_answered: bool,
    /// The client of the established session was sent `MOVE`, or one of the two sides has ended.
    pub(super) end_announced: bool,
}

/// How far a session has got.
pub(super) enum SessionState {
    /// The request waits for its first attempt, or for the next one.
    AwaitingAttempt,
    /// An attempt is out, and the server has not answered it.
    Attempting(AttemptState),
    /// The server has said `UP`: lines pass both ways.
    Established(EstablishedSession),
}

/// An attempt that the server has not answered.
#[derive(Clone, Copy)]
pub(super) struct AttemptState {
    pub(super) server_connection: Token,
    /// The node stops waiting then.
    pub(super) ends_at: MonotonicTime,
    /// The request line has been passed to the socket, which may not have written all of it.
    pub(super) line_sent: bool,
}

impl AttemptState {
    /// Whether the last byte of the request line has been written: from then on the attempt may have run.
    pub(super) fn is_line_written(&self, ctx: &FrontendContext) -> bool {
        self.line_sent && ctx.net.pending_output_bytes(self.server_connection) == 0
    }
}

/// What is known of an established session.
pub(super) struct EstablishedSession {
    pub(super) server_connection: Token,
    /// When the oldest line that the server has not answered was sent.
    pub(super) unanswered_since: Option<MonotonicTime>,
    /// How the server's last line announces the end.
    pub(super) ending: SessionEnding,
    /// The load that the server reported last.
    pub(super) load: Option<Duration>,
}

/// How a server's last line announces the end of its connection. The names on the handover wire are fixed.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(super) enum SessionEnding {
    /// It does not: an end would be a reset.
    #[serde(rename = "Broken")]
    Unannounced,
    /// `BYE`: the service is complete.
    #[serde(rename = "Bye")]
    Completed,
    /// `MOVE`: the client is to reconnect.
    #[serde(rename = "Moved")]
    Migrated,
}

impl Session {
    /// A session whose request has just been read.
    pub(super) fn new(open: OpenRequest) -> Session {
        Session {
            open,
            request_id: None,
            server: None,
            state: SessionState::AwaitingAttempt,
            is_answered: false,
            end_announced: false,
        }
    }

    /// The number of its request in log events: 0 where it has none yet.
    pub(super) fn request_number(&self) -> u64 {
        self.request_id.map_or(0, |request_id| request_id.0)
    }

    /// Whether the server has accepted the client.
    pub(super) fn is_established(&self) -> bool {
        matches!(self.state, SessionState::Established(_))
    }

    /// What is known of the session, where it is established.
    pub(super) fn established(&self) -> Option<&EstablishedSession> {
        match &self.state {
            SessionState::Established(established) => Some(established),
            SessionState::AwaitingAttempt | SessionState::Attempting(_) => None,
        }
    }

    /// The same, to change it.
    pub(super) fn established_mut(&mut self) -> Option<&mut EstablishedSession> {
        match &mut self.state {
            SessionState::Established(established) => Some(established),
            SessionState::AwaitingAttempt | SessionState::Attempting(_) => None,
        }
    }

    /// The connection to the server, if there is one.
    pub(super) fn server_connection(&self) -> Option<Token> {
        match &self.state {
            SessionState::AwaitingAttempt => None,
            SessionState::Attempting(attempt) => Some(attempt.server_connection),
            SessionState::Established(established) => Some(established.server_connection),
        }
    }

    /// The attempt that the server has not answered, if there is one.
    pub(super) fn attempt(&self) -> Option<&AttemptState> {
        match &self.state {
            SessionState::Attempting(attempt) => Some(attempt),
            SessionState::AwaitingAttempt | SessionState::Established(_) => None,
        }
    }

    /// The server has accepted the client.
    pub(super) fn establish(&mut self) {
        if let SessionState::Attempting(attempt) = self.state {
            self.state = SessionState::Established(EstablishedSession {
                server_connection: attempt.server_connection,
                unanswered_since: None,
                ending: SessionEnding::Unannounced,
                load: None,
            });
        }
    }

    /// Writes the session's state to the trace, if that is on.
    pub(super) fn trace(&self, what: &str, ctx: &FrontendContext) {
        if !tracing::enabled!(tracing::Level::TRACE) {
            return;
        }
        let server = self.server.and_then(|server| ctx.registry.entry(server));
        let server = server.map_or("-", |endpoint| endpoint.name());
        let open = &self.open;
        tracing::trace!(
            request = self.request_number(),
            key = %format_args!("{:x}", open.key),
            group = %format_args!("{:x}", open.group.unwrap_or(0)),
            class = open.class,
            %server,
            reconnect = open.reconnect,
            retry = open.client_retry,
            established_at_start = self.is_established(),
            "client {what}"
        );
    }
}

/// A request line as an arrival at the requests module.
pub(super) fn arrival(open: &OpenRequest) -> Arrival {
    Arrival {
        id: RequestId(0),
        class: open.class,
        time_left: open.time_left.saturating_sub(ANSWER_MARGIN),
        cost: open.load_hint,
        key: Some(open.key),
        group: open.group,
        reconnect: open.reconnect,
        client_retry: open.client_retry,
        rerouted: false,
    }
}
