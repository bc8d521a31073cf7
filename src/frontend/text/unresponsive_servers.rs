//! Detection of servers that have stopped answering the lines of established sessions.

use super::session::Session;
use super::session_end::answer_and_close;
use super::sessions::Sessions;
use crate::frontend::FrontendContext;
use crate::model::Outcome;
use crate::net::{Token, OUTPUT_HIGH_WATERMARK_BYTES};
use std::time::Duration;

/// A client with an established session is migrated if its server leaves a line unanswered for longer than this.
/// Clients send a line every 2 s, and they must be migrated within 7 s of the last answer.
const UNANSWERED_LINE_TIMEOUT: Duration = Duration::from_millis(4_500);

/// Returns the clients whose servers seem to have left a line unanswered for too long, with the connections to these
/// servers. A client that is slow to read is not among them: its server's answers wait behind the output pending for it.
pub(super) fn overdue_sessions(sessions: &Sessions, ctx: &FrontendContext) -> Vec<OverdueSession> {
    let overdue = |(client, session): (Token, &Session)| {
        let established = session.established()?;
        let since = established.unanswered_since?;
        let is_overdue = ctx.now.saturating_duration_since(since) > UNANSWERED_LINE_TIMEOUT;
        let is_slow_client = ctx.net.pending_output_bytes(client) >= OUTPUT_HIGH_WATERMARK_BYTES;
        let server_connection = established.server_connection;
        (is_overdue && !is_slow_client).then_some(OverdueSession { client, server_connection })
    };
    sessions.iter().filter_map(overdue).collect()
}

/// An established session whose server has left a line unanswered for longer than [`UNANSWERED_LINE_TIMEOUT`].
pub(super) struct OverdueSession {
    pub(super) client: Token,
    pub(super) server_connection: Token,
}

/// Migrates the clients whose servers have stopped answering.
pub(super) fn migrate_clients(sessions: &mut Sessions, ctx: &mut FrontendContext) {
    let now = ctx.now;
    for OverdueSession { client, .. } in overdue_sessions(sessions, ctx) {
        let Some(request_id) = sessions.get(client).map(Session::request_id) else { continue };
        tracing::trace!(request = request_id.0, "server does not answer, migrating the client");
        ctx.requests.close_for_migration(now, request_id, Outcome::Reset);
        answer_and_close(sessions, ctx, client, b"MOVE\r\n");
    }
}
