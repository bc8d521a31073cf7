//! Servers that have stopped answering the lines of established sessions.

use super::session::Session;
use super::session_end::answer_and_close;
use super::sessions::Sessions;
use crate::frontend::FrontendContext;
use crate::model::{Outcome, RequestId};
use std::time::Duration;

/// A client whose established server leaves a line unanswered for this long is migrated. Clients send a line every
/// 2 s, and the rule allows 7 s from the last answer.
const SILENT_SERVER_TIMEOUT: Duration = Duration::from_millis(4_500);

/// Migrates the clients whose servers have stopped answering.
pub(super) fn migrate_clients(sessions: &mut Sessions, ctx: &mut FrontendContext) {
    let now = ctx.now;
    let is_silent = |session: &Session| {
        let since = session.established().and_then(|established| established.unanswered_since);
        since.is_some_and(|since| now.saturating_duration_since(since) > SILENT_SERVER_TIMEOUT)
    };
    let silent = sessions.iter().filter(|(_, session)| is_silent(session));
    let silent: Vec<RequestId> = silent.filter_map(|(_, session)| session.request_id()).collect();
    for request_id in silent {
        tracing::trace!(request = request_id.0, "server is silent, migrating");
        ctx.requests.close_for_migration(now, request_id, Outcome::Reset);
        if let Some(client) = sessions.client_of_request(request_id) {
            answer_and_close(sessions, ctx, client, b"MOVE\r\n");
        }
    }
}
