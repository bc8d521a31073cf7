//! A client's session: its request and the state of its attempt or established connection.

use super::request_line::OpenRequest;
use super::restoration::Restoration;
use crate::frontend::{FrontendContext, ANSWER_MARGIN};
use crate::model::{Arrival, RequestId, ServerId};
use crate::net::Token;
use crate::rules::{CloseInputs, Violation};
use serde::{Deserialize, Serialize};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// A client with a request.
pub(super) struct Session {
    /// The client's request line.
    open: OpenRequest,
    /// The session's request in the request table.
    request_id: RequestId,
    /// The progress of a session from before this process started, until its server has accepted it.
    restoration: Option<Restoration>,
    /// The server of the latest attempt.
    server: Option<ServerId>,
    state: SessionState,
    /// Whether the client has been sent its final answer.
    is_answered: bool,
    /// Whether the client of the established session was sent `MOVE`, the client or the server has ended the session,
    /// or another process continues it.
    end_announced: bool,
}

/// The state of a session.
pub(super) enum SessionState {
    /// The request waits for its first or next attempt.
    AwaitingAttempt,
    /// An attempt is in flight that the server has not answered.
    Attempting(AttemptState),
    /// The server has answered `UP`: lines are forwarded in both directions.
    Established(EstablishedSession),
}

/// An attempt that the server has not answered.
#[derive(Clone, Copy)]
pub(super) struct AttemptState {
    pub(super) server_connection: Token,
    /// When the node stops waiting for the answer.
    pub(super) deadline: MonotonicTime,
    /// Whether the request line has been passed to the socket. Some of it may not have been written yet.
    pub(super) line_sent: bool,
}

impl AttemptState {
    /// Whether the last byte of the request line has been written, so that the attempt may have run.
    pub(super) fn is_line_written(&self, ctx: &FrontendContext) -> bool {
        self.line_sent && ctx.net.pending_output_bytes(self.server_connection) == 0
    }
}

/// The state of an established session.
pub(super) struct EstablishedSession {
    pub(super) server_connection: Token,
    /// When the oldest line not answered by the server was forwarded to it.
    pub(super) unanswered_since: Option<MonotonicTime>,
    /// The end announced by the server's last line.
    pub(super) ending: SessionEnding,
    /// The load that the server last reported for this connection.
    pub(super) load: Option<Duration>,
    /// When the client's end was passed on to the server: the client has closed its write side.
    pub(super) half_closed_at: Option<MonotonicTime>,
}

/// How a server's last line announces the end of the connection. The names serialized for a handover are fixed.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(super) enum SessionEnding {
    /// The line announces no end. If the connection ends now, that counts as a reset.
    #[serde(rename = "Broken")]
    Unannounced,
    /// `BYE`: the server has completed the request.
    #[serde(rename = "Bye")]
    Completed,
    /// `MOVE`: the client has to reconnect.
    #[serde(rename = "Moved")]
    Migrated,
}

impl Session {
    /// Creates a session with a request in the request table.
    pub(super) fn with_request(open: OpenRequest, request_id: RequestId) -> Session {
        Session {
            open,
            request_id,
            restoration: None,
            server: None,
            state: SessionState::AwaitingAttempt,
            is_answered: false,
            end_announced: false,
        }
    }

    /// Creates a session from before this process started, which is being restored.
    pub(super) fn restoring(open: OpenRequest, request_id: RequestId, now: MonotonicTime) -> Session {
        let restoration = Some(Restoration::new(now, open.time_left));
        Session { restoration, ..Session::with_request(open, request_id) }
    }

    /// Creates an established session that was transferred from another process.
    pub(super) fn inherited(
        open: OpenRequest,
        request_id: RequestId,
        server: ServerId,
        established: EstablishedSession,
    ) -> Session {
        Session {
            server: Some(server),
            state: SessionState::Established(established),
            is_answered: true,
            ..Session::with_request(open, request_id)
        }
    }

    /// The client's request line.
    pub(super) fn open(&self) -> &OpenRequest {
        &self.open
    }

    /// The session's request in the request table.
    pub(super) fn request_id(&self) -> RequestId {
        self.request_id
    }

    /// The progress of a session that is being restored; `None` if it is not.
    pub(super) fn restoration(&self) -> Option<&Restoration> {
        self.restoration.as_ref()
    }

    /// Mutable access to the progress of a session that is being restored.
    pub(super) fn restoration_mut(&mut self) -> Option<&mut Restoration> {
        self.restoration.as_mut()
    }

    /// Records that the server has accepted a session that was being restored.
    pub(super) fn end_restoration(&mut self) {
        self.restoration = None;
    }

    /// The server of the latest attempt.
    pub(super) fn server(&self) -> Option<ServerId> {
        self.server
    }

    /// The state of the session.
    pub(super) fn state(&self) -> &SessionState {
        &self.state
    }

    /// The number of the request for log events.
    pub(super) fn request_number(&self) -> u64 {
        self.request_id.0
    }

    /// Whether the server has accepted the client.
    pub(super) fn is_established(&self) -> bool {
        matches!(self.state, SessionState::Established(_))
    }

    /// The state of the established session; `None` if it is not established.
    pub(super) fn established(&self) -> Option<&EstablishedSession> {
        match &self.state {
            SessionState::Established(established) => Some(established),
            SessionState::AwaitingAttempt | SessionState::Attempting(_) => None,
        }
    }

    /// Mutable access to the state of the established session; `None` if it is not established.
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

    /// The inputs of the invariant check that is made when the session has ended.
    pub(super) fn close_inputs(&self) -> CloseInputs {
        CloseInputs {
            has_request: true,
            is_answered: self.is_answered,
            is_established: self.is_established(),
            is_end_announced: self.end_announced,
        }
    }

    /// Records that an attempt of the request has started.
    pub(super) fn start_attempt(&mut self, server: ServerId, attempt: AttemptState) {
        self.state = SessionState::Attempting(attempt);
        self.server = Some(server);
    }

    /// Records that the request line is being sent. Returns the attempt, if there is one.
    pub(super) fn mark_line_sent(&mut self) -> Option<AttemptState> {
        let SessionState::Attempting(attempt) = &mut self.state else { return None };
        attempt.line_sent = true;
        Some(*attempt)
    }

    /// Ends the attempt or the established connection. Returns the previous state.
    pub(super) fn end_attempt(&mut self) -> SessionState {
        std::mem::replace(&mut self.state, SessionState::AwaitingAttempt)
    }

    /// Records that the client is sent its final answer, or `MOVE` if its session is established.
    ///
    /// # Errors
    /// If the client has already been sent its final answer.
    pub(super) fn record_answer(&mut self) -> Result<(), Violation> {
        if self.is_established() {
            self.end_announced = true;
        } else if std::mem::replace(&mut self.is_answered, true) {
            return Err(Violation::AnsweredTwice);
        }
        Ok(())
    }

    /// Records that the client need not be sent `MOVE`: the client or the server has ended the established session, or
    /// another process continues it.
    pub(super) fn announce_end(&mut self) {
        self.end_announced = true;
    }

    /// Records that the server has accepted the client, which is the final answer to the request.
    pub(super) fn establish(&mut self) {
        self.is_answered = true;
        if let SessionState::Attempting(attempt) = self.state {
            self.state = SessionState::Established(EstablishedSession {
                server_connection: attempt.server_connection,
                unanswered_since: None,
                ending: SessionEnding::Unannounced,
                load: None,
                half_closed_at: None,
            });
        }
    }

    /// Logs an event of the session at trace level.
    pub(super) fn trace(&self, event: &str, ctx: &FrontendContext) {
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
            "client {event}"
        );
    }
}

/// Converts a request line into an arrival for the request table, which assigns the id.
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
