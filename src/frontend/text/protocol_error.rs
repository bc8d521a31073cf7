//! Violations of the text protocol by servers.

use super::load_report::{LoadReport, LoadReportError};
use crate::frontend::FrontendContext;
use crate::model::ServerId;

/// What a server sent against the protocol.
#[derive(Debug, thiserror::Error)]
pub(super) enum ServerProtocolError {
    /// A line without an end within the permitted length.
    #[error("line too long")]
    LineTooLong,
    /// The first line on a connection is none of the answers that a request has.
    #[error("first line is not an answer to a request")]
    UnknownAnswer,
    /// The load report at the end of an answer cannot be read. The answer counts all the same.
    #[error("load report after {word}: {error}")]
    TrailingReport {
        /// The answer that the report follows.
        word: &'static str,
        /// What is wrong with the report.
        error: LoadReportError,
    },
    /// The answer to a health check cannot be read.
    #[error("answer to a health check: {0}")]
    HealthCheckAnswer(LoadReportError),
}

impl ServerProtocolError {
    /// Writes the violation to the log.
    pub(super) fn log(&self, ctx: &FrontendContext, server: Option<ServerId>) {
        tracing::warn!(server = %server_name(ctx, server), error = %self, "server protocol error");
    }
}

/// The name of a server in log events: `?` where it is not known.
pub(super) fn server_name<'a>(ctx: &'a FrontendContext, server: Option<ServerId>) -> &'a str {
    server.and_then(|server| ctx.registry.entry(server)).map_or("?", |endpoint| endpoint.name())
}

/// Writes a log line about a malformed report at the end of a server's answer. The answer means what its word says
/// all the same.
pub(super) fn log_malformed_trailing_report(
    ctx: &FrontendContext,
    server: Option<ServerId>,
    line: &[u8],
    word: &'static str,
) {
    if let Some(Err(error)) = LoadReport::parse_trailing(&String::from_utf8_lossy(line), word) {
        ServerProtocolError::TrailingReport { word, error }.log(ctx, server);
    }
}
