//! Detection of servers that have stopped answering the lines of established sessions.

use super::session::Session;
use super::session_end::answer_and_close;
use super::sessions::Sessions;
use crate::frontend::FrontendContext;
use crate::model::{Outcome, RequestId};
use std::time::Duration;

/// A client with an established session is migrated if its server leaves a line unanswered for longer than this.
/// Clients send a line every 2 s, and they must be migrated within 7 s of the last answer.
const UNANSWERED_LINE_TIMEOUT: Duration = Duration::from_millis(4_500);

/// Migrates the clients whose servers have stopped answering.
pub(super) fn migrate_clients(sessions: &mut Sessions, ctx: &mut FrontendContext) {
    let now = ctx.now;
    let is_unresponsive = |session: &Session| {
        let since = session.established().and_then(|established| established.unanswered_since);
        since.is_some_and(|since| now.saturating_duration_since(since) > UNANSWERED_LINE_TIMEOUT)
    };
    let affected = sessions.iter().filter(|(_, session)| is_unresponsive(session));
    let affected: Vec<RequestId> = affected.filter_map(|(_, session)| session.request_id()).collect();
    for request_id in affected {
        tracing::trace!(request = request_id.0, "server does not answer, migrating the client");
        ctx.requests.close_for_migration(now, request_id, Outcome::Reset);
        if let Some(client) = sessions.client_of_request(request_id) {
            answer_and_close(sessions, ctx, client, b"MOVE\r\n");
        }
    }
}
