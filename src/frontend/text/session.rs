//! A client's session: its request, and how far it has got.

use super::request_line::OpenRequest;
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
    /// None while a connection from before the run is being restored: it becomes a request once its server has
    /// accepted it.
    request_id: Option<RequestId>,
    /// The server of the latest attempt.
    server: Option<ServerId>,
    state: SessionState,
    /// The client has its final answer.
    is_answered: bool,
    /// The client of the established session was sent `MOVE`, or one of the two sides has ended.
    end_announced: bool,
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

    /// A session that is a request of the request table.
    pub(super) fn of_request(open: OpenRequest, request_id: RequestId) -> Session {
        Session { request_id: Some(request_id), ..Session::new(open) }
    }

    /// An established session of the process before this one.
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
            ..Session::of_request(open, request_id)
        }
    }

    // ---- State ---------------------------------------------------------------------------------

    /// The client's request line.
    pub(super) fn open(&self) -> &OpenRequest {
        &self.open
    }

    /// The request, unless a connection from before the run is being restored: it becomes a request once its server has
    /// accepted it.
    pub(super) fn request_id(&self) -> Option<RequestId> {
        self.request_id
    }

    /// The server of the latest attempt.
    pub(super) fn server(&self) -> Option<ServerId> {
        self.server
    }

    /// How far it has got.
    pub(super) fn state(&self) -> &SessionState {
        &self.state
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

    /// What is checked when it is over.
    pub(super) fn close_inputs(&self) -> CloseInputs {
        CloseInputs {
            has_request: true,
            is_answered: self.is_answered,
            is_established: self.is_established(),
            is_announced: self.end_announced,
        }
    }

    // ---- Steps ---------------------------------------------------------------------------------

    /// The session has become a request of the request table.
    pub(super) fn set_request(&mut self, request_id: RequestId) {
        self.request_id = Some(request_id);
    }

    /// An attempt of its request has started.
    pub(super) fn start_attempt(&mut self, server: ServerId, attempt: AttemptState) {
        self.state = SessionState::Attempting(attempt);
        self.server = Some(server);
    }

    /// The request line is sent now. Yields the attempt, if there is one.
    pub(super) fn mark_line_sent(&mut self) -> Option<AttemptState> {
        let SessionState::Attempting(attempt) = &mut self.state else { return None };
        attempt.line_sent = true;
        Some(*attempt)
    }

    /// The attempt, or the established connection, is over. Yields the state before.
    pub(super) fn end_attempt(&mut self) -> SessionState {
        std::mem::replace(&mut self.state, SessionState::AwaitingAttempt)
    }

    /// The client gets its final answer, or `MOVE` once its session is established.
    ///
    /// # Errors
    /// Where it has had its final answer before.
    pub(super) fn record_answer(&mut self) -> Result<(), Violation> {
        if self.is_established() {
            self.end_announced = true;
        } else if std::mem::replace(&mut self.is_answered, true) {
            return Err(Violation::AnsweredTwice);
        }
        Ok(())
    }

    /// The client knows of the end of its established session, or continues elsewhere.
    pub(super) fn announce_end(&mut self) {
        self.end_announced = true;
    }

    /// The server has accepted the client, which is its final answer.
    pub(super) fn establish(&mut self) {
        self.is_answered = true;
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
