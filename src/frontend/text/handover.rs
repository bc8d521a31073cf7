//! Handover: transferring client connections between the predecessor and the successor process of a node.

use super::awaiting_clients::AwaitingClients;
use super::request_line::{OpenRequest, RequestLine};
use super::session::{arrival, EstablishedSession, Session, SessionEnding};
use super::session_end::finish_session;
use super::sessions::Sessions;
use crate::frontend::{FrontendContext, TransferredConnection, TEXT_FRONTEND};
use crate::net::{BufferedConnection, ExportedConnection, SocketOwner, Token, OUTPUT_HIGH_WATERMARK_BYTES};
use crate::requests::HandedOverConnection;
use serde::{Deserialize, Serialize};
use sparbank_time::MonotonicTime;
use std::os::fd::OwnedFd;
use std::time::Duration;

/// A connection with at least this much pending output is not transferred until its peer has read some of it.
const MAX_TRANSFERRED_OUTPUT_BYTES: usize = 2 * OUTPUT_HIGH_WATERMARK_BYTES;

/// A client connection in the format of the handover. The serialized names are fixed.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
enum TransferredSession {
    /// No request has been received: the number of `PING`s, and the client's connection.
    #[serde(rename = "Fresh")]
    AwaitingRequest(u32, BufferedConnection),
    /// The client has an established session.
    #[serde(rename = "Standing")]
    Established(TransferredEstablished),
}

/// An established session in the format of the handover. The serialized names are fixed.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct TransferredEstablished {
    /// The client's request line.
    #[serde(rename = "line")]
    request_line: String,
    /// The server's name in the endpoint list, by which the receiving process finds the server's id.
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

/// A transferred connection cannot be restored: its state is malformed, or a descriptor is missing or unusable.
#[derive(Debug, thiserror::Error)]
#[error("malformed state, or a missing or unusable descriptor")]
pub(super) struct UnreadableConnection;

/// A client connection that this process has taken over. Its buffered input has not been handled yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ImportedClient {
    /// A client that has not sent a request.
    AwaitingRequest(Token),
    /// A client with an established session.
    Established { client: Token, server_connection: Token },
    /// The session could not be continued; the client was sent `MOVE` so that it reconnects.
    Migrated,
}

/// Returns at most `max_connections` client connections that another process can continue in their current state.
pub(super) fn transferable_connections(
    awaiting: &AwaitingClients,
    sessions: &Sessions,
    ctx: &FrontendContext,
    max_connections: usize,
) -> Vec<Token> {
    let awaiting = awaiting.tokens().filter(|token| is_transferable(ctx, *token));
    let established = sessions.iter().filter(|(client, session)| {
        let established = session.established();
        established.is_some_and(|established| {
            is_transferable(ctx, *client) && is_transferable(ctx, established.server_connection)
        })
    });
    let mut tokens: Vec<Token> = awaiting.chain(established.map(|(client, _)| client)).collect();
    tokens.sort_unstable();
    tokens.truncate(max_connections);
    tokens
}

fn is_transferable(ctx: &FrontendContext, token: Token) -> bool {
    ctx.net.can_transfer(token) && ctx.net.pending_output_bytes(token) < MAX_TRANSFERRED_OUTPUT_BYTES
}

/// Removes a client connection from this process and returns it for transfer.
pub(super) fn export_client(
    awaiting: &mut AwaitingClients,
    sessions: &mut Sessions,
    ctx: &mut FrontendContext,
    token: Token,
) -> Option<TransferredConnection> {
    let ExportedConnection { fd: client_fd, connection: client } = ctx.net.export_connection(token)?;
    match awaiting.remove(token) {
        Some(pings) => {
            serialize_session(&TransferredSession::AwaitingRequest(pings, client), vec![client_fd])
        }
        None => export_session(sessions.remove(token)?, ctx, client_fd, client),
    }
}

fn export_session(
    mut session: Session,
    ctx: &mut FrontendContext,
    client_fd: OwnedFd,
    client: BufferedConnection,
) -> Option<TransferredConnection> {
    let established = session.established()?;
    let ExportedConnection { fd: server_fd, connection: server } =
        ctx.net.export_connection(established.server_connection)?;
    let endpoint = session.server().and_then(|server| ctx.registry.entry(server))?;
    let established = TransferredEstablished {
        request_line: session.open().line().to_string(),
        server_name: endpoint.name().to_string(),
        started_at: ctx.requests.hand_over(session.request_id())?,
        unanswered_since: established.unanswered_since,
        ending: established.ending,
        load: established.load,
        client,
        server,
    };
    // The client is not sent anything, because its session continues in the other process.
    session.announce_end();
    finish_session(ctx, &session);
    serialize_session(&TransferredSession::Established(established), vec![client_fd, server_fd])
}

fn serialize_session(session: &TransferredSession, fds: Vec<OwnedFd>) -> Option<TransferredConnection> {
    Some(TransferredConnection { state: serde_json::to_string(session).ok()?, fds })
}

/// Takes over a client connection that was transferred to this process.
///
/// # Errors
/// If its state is malformed, or a descriptor is missing or unusable.
pub(super) fn import_client(
    awaiting: &mut AwaitingClients,
    sessions: &mut Sessions,
    ctx: &mut FrontendContext,
    transferred: TransferredConnection,
) -> Result<ImportedClient, UnreadableConnection> {
    let session = serde_json::from_str(&transferred.state).map_err(|_| UnreadableConnection)?;
    let mut fds = transferred.fds.into_iter();
    match session {
        TransferredSession::AwaitingRequest(pings, client) => {
            let token = import_connection(ctx, fds.next(), client)?;
            awaiting.insert(token, pings);
            Ok(ImportedClient::AwaitingRequest(token))
        }
        TransferredSession::Established(mut established) => {
            let client = import_connection(ctx, fds.next(), std::mem::take(&mut established.client))?;
            let server = import_connection(ctx, fds.next(), std::mem::take(&mut established.server))?;
            Ok(import_session(sessions, ctx, client, server, &established))
        }
    }
}

fn import_session(
    sessions: &mut Sessions,
    ctx: &mut FrontendContext,
    client: Token,
    server_connection: Token,
    transferred: &TransferredEstablished,
) -> ImportedClient {
    let open = parse_open(ctx, &transferred.request_line);
    let (Some(open), Some(server)) = (open, ctx.registry.id_of(&transferred.server_name)) else {
        // The request line is invalid under this process's classes, or the server is unknown here: the client has to
        // reconnect, and a server is selected again.
        ctx.net.send(client, b"MOVE\r\n");
        ctx.net.close_after_delivery(client);
        ctx.net.close_after_delivery(server_connection);
        return ImportedClient::Migrated;
    };
    let connection = HandedOverConnection {
        frontend: TEXT_FRONTEND,
        arrival: arrival(&open),
        server,
        started_at: transferred.started_at,
        load: transferred.load,
    };
    let request_id = ctx.requests.receive_handed_over_connection(ctx.now, connection);
    let established = EstablishedSession {
        server_connection,
        unanswered_since: transferred.unanswered_since,
        ending: transferred.ending,
        load: transferred.load,
        half_closed_at: None,
    };
    let session = Session::inherited(open, request_id, server, established);
    session.trace("inherited", ctx);
    sessions.insert(client, session);
    ImportedClient::Established { client, server_connection }
}

fn parse_open(ctx: &FrontendContext, line: &str) -> Option<OpenRequest> {
    match RequestLine::parse(line.as_bytes(), ctx.settings, ctx.classes) {
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
