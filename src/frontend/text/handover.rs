//! Connections that go on in the next process of the node.

use super::request_line::{OpenRequest, RequestLine};
use super::session::{
    arrival, ConnectionEvent, ConnectionRole, EstablishedSession, Session, SessionEnding, SessionState,
};
use super::TextFrontend;
use crate::frontend::{FrontendContext, TransferredConnection, TEXT_FRONTEND};
use crate::net::{BufferedConnection, ExportedConnection, SocketOwner, Token, OUTPUT_HIGH_WATERMARK_BYTES};
use crate::requests::HandedOverConnection;
use serde::{Deserialize, Serialize};
use sparbank_time::MonotonicTime;
use std::fmt;
use std::os::fd::OwnedFd;
use std::time::Duration;

/// A connection with more output than this stays until its peer has read.
const MAX_TRANSFERRED_OUTPUT_BYTES: usize = 2 * OUTPUT_HIGH_WATERMARK_BYTES;

/// A client's connection as the next process takes it. The names on the wire are fixed.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
enum TransferredSession {
    /// No request has come; the number of `PING`s, and the client's connection.
    #[serde(rename = "Fresh")]
    AwaitingRequest(u32, BufferedConnection),
    /// The session is established.
    #[serde(rename = "Standing")]
    Established(TransferredEstablished),
}

/// An established session as the next process takes it. The names on the wire are fixed.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct TransferredEstablished {
    /// The client's request line.
    #[serde(rename = "line")]
    request_line: String,
    /// The server's name.
    #[serde(rename = "region")]
    server_name: String,
    /// When the request arrived.
    #[serde(rename = "began")]
    started_at: MonotonicTime,
    #[serde(rename = "asked")]
    unanswered_since: Option<MonotonicTime>,
    #[serde(rename = "last")]
    ending: SessionEnding,
    #[serde(default, with = "sparbank_time::serde_nanos::option")]
    load: Option<Duration>,
    #[serde(rename = "terminal")]
    client: BufferedConnection,
    #[serde(rename = "task")]
    server: BufferedConnection,
}

/// A transferred connection cannot be continued: its state is malformed, or a descriptor is missing or unusable.
#[derive(Debug)]
pub(super) struct UnreadableConnection;

impl fmt::Display for UnreadableConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a connection that cannot be read")
    }
}

impl std::error::Error for UnreadableConnection {}

impl TextFrontend {
    /// The clients' connections that can go on in another process as they are, at most so many.
    pub(super) fn transferable_connections(
        &self,
        ctx: &FrontendContext,
        max_connections: usize,
    ) -> Vec<Token> {
        let mut tokens: Vec<Token> =
            self.connections.keys().filter(|token| self.can_transfer(ctx, **token)).copied().collect();
        tokens.sort_unstable();
        tokens.truncate(max_connections);
        tokens
    }

    fn can_transfer(&self, ctx: &FrontendContext, client: Token) -> bool {
        let is_ready = |token: Token| {
            ctx.net.can_transfer(token) && ctx.net.pending_output_bytes(token) < MAX_TRANSFERRED_OUTPUT_BYTES
        };
        match self.connections.get(&client) {
            Some(ConnectionRole::AwaitingRequest { .. }) => is_ready(client),
            Some(ConnectionRole::Client) => {
                let established = self.sessions.get(&client).and_then(|session| session.established());
                established
                    .is_some_and(|established| is_ready(client) && is_ready(established.server_connection))
            }
            Some(ConnectionRole::Server { .. } | ConnectionRole::HealthCheck) | None => false,
        }
    }

    /// Takes a client's connection out of this process.
    pub(super) fn export_client(
        &mut self,
        ctx: &mut FrontendContext,
        token: Token,
    ) -> Option<TransferredConnection> {
        let role = self.connections.remove(&token)?;
        let ExportedConnection { fd: client_fd, connection: client } = ctx.net.export_connection(token)?;
        match role {
            ConnectionRole::AwaitingRequest { pings } => {
                let transferred = TransferredSession::AwaitingRequest(pings, client);
                Some(TransferredConnection {
                    state: serde_json::to_string(&transferred).ok()?,
                    fds: vec![client_fd],
                })
            }
            ConnectionRole::Client => self.export_session(ctx, token, client_fd, client),
            ConnectionRole::Server { .. } | ConnectionRole::HealthCheck => None,
        }
    }

    fn export_session(
        &mut self,
        ctx: &mut FrontendContext,
        token: Token,
        client_fd: OwnedFd,
        client: BufferedConnection,
    ) -> Option<TransferredConnection> {
        let session = self.sessions.get(&token)?;
        let established = session.established()?;
        self.connections.remove(&established.server_connection);
        let ExportedConnection { fd: server_fd, connection: server } =
            ctx.net.export_connection(established.server_connection)?;
        let endpoint = session.server.and_then(|server| ctx.registry.entry(server))?;
        let transferred = TransferredEstablished {
            request_line: session.open.line().to_string(),
            server_name: endpoint.name().to_string(),
            started_at: session.request_id.and_then(|request_id| ctx.requests.hand_over(request_id))?,
            unanswered_since: established.unanswered_since,
            ending: established.ending,
            load: established.load,
            client,
            server,
        };
        // Here it ends without a word, since it goes on in the other process.
        if let Some(session) = self.sessions.get_mut(&token) {
            session.end_announced = true;
        }
        self.remove_session(ctx, token);
        let transferred = TransferredSession::Established(transferred);
        Some(TransferredConnection {
            state: serde_json::to_string(&transferred).ok()?,
            fds: vec![client_fd, server_fd],
        })
    }

    /// Goes on with a client's connection of the process before this one.
    pub(super) fn import_client(
        &mut self,
        ctx: &mut FrontendContext,
        transferred: TransferredConnection,
    ) -> Result<(), UnreadableConnection> {
        let session = serde_json::from_str(&transferred.state).map_err(|_| UnreadableConnection)?;
        let mut fds = transferred.fds.into_iter();
        match session {
            TransferredSession::AwaitingRequest(pings, client) => {
                let token = import_connection(ctx, fds.next(), client)?;
                self.connections.insert(token, ConnectionRole::AwaitingRequest { pings });
                self.on_request_input(ctx, token);
                ctx.net.update_interest(token);
            }
            TransferredSession::Established(mut established) => {
                let client = import_connection(ctx, fds.next(), std::mem::take(&mut established.client))?;
                let server = import_connection(ctx, fds.next(), std::mem::take(&mut established.server))?;
                self.continue_session(ctx, client, server, &established);
            }
        }
        Ok(())
    }

    fn continue_session(
        &mut self,
        ctx: &mut FrontendContext,
        client: Token,
        server_connection: Token,
        transferred: &TransferredEstablished,
    ) {
        let open = parse_open(ctx, &transferred.request_line);
        let (Some(open), Some(server)) = (open, ctx.registry.id_of(&transferred.server_name)) else {
            // It was placed under other classes, or on a server that is unknown here: it is placed anew.
            ctx.net.send(client, b"MOVE\r\n");
            ctx.net.close(client);
            ctx.net.close(server_connection);
            return;
        };
        let connection = HandedOverConnection {
            frontend: TEXT_FRONTEND,
            arrival: arrival(&open),
            server,
            started_at: transferred.started_at,
            load: transferred.load,
        };
        let request_id = ctx.requests.receive_handed_over(ctx.now, connection);
        self.open_ids.insert(open.id.clone());
        self.connections.insert(client, ConnectionRole::Client);
        self.connections.insert(server_connection, ConnectionRole::Server { client });
        self.clients.insert(request_id, client);
        let established = EstablishedSession {
            server_connection,
            unanswered_since: transferred.unanswered_since,
            ending: transferred.ending,
            load: transferred.load,
        };
        let session = Session {
            open,
            request_id: Some(request_id),
            server: Some(server),
            state: SessionState::Established(established),
            is_answered: true,
            end_announced: false,
        };
        session.trace("inherited", ctx);
        self.sessions.insert(client, session);
        self.on_server_event(ctx, client, server_connection, ConnectionEvent::Ready);
        ctx.net.update_interest(server_connection);
        ctx.net.update_interest(client);
    }
}

fn parse_open(ctx: &FrontendContext, line: &str) -> Option<OpenRequest> {
    match RequestLine::parse(line.as_bytes(), ctx.site, ctx.classes) {
        Some(RequestLine::Open(open)) => Some(open),
        Some(RequestLine::Ping) | None => None,
    }
}

fn import_connection(
    ctx: &mut FrontendContext,
    fd: Option<OwnedFd>,
    connection: BufferedConnection,
) -> Result<Token, UnreadableConnection> {
    let fd = fd.ok_or(UnreadableConnection)?;
    ctx.net
        .import_connection(fd, connection, SocketOwner::Frontend(TEXT_FRONTEND))
        .map_err(|_| UnreadableConnection)
}

#[cfg(test)]
mod tests;
