//! Logging of violations of the text protocol by servers.

use super::load_report::{LoadReport, LoadReportError};
use crate::frontend::FrontendContext;
use crate::model::ServerId;

/// A violation of the protocol by a server.
#[derive(Debug, thiserror::Error)]
pub(super) enum ServerProtocolError {
    /// A line exceeds the maximum length.
    #[error("line too long")]
    LineTooLong,
    /// The first line on a connection is not an answer to a request.
    #[error("first line is not an answer to a request")]
    UnknownAnswer,
    /// The load report at the end of an answer is malformed. The answer itself is still valid.
    #[error("load report after {word}: {error}")]
    TrailingReport {
        /// The first word of the answer.
        word: &'static str,
        /// Why the report cannot be parsed.
        error: LoadReportError,
    },
    /// The answer to a health check cannot be parsed.
    #[error("answer to a health check: {0}")]
    HealthCheckAnswer(LoadReportError),
}

impl ServerProtocolError {
    /// Logs the violation as a warning that names the server, if it is known.
    pub(super) fn log(&self, ctx: &FrontendContext, server: Option<ServerId>) {
        tracing::warn!(server = %server_name(ctx, server), error = %self, "server protocol error");
    }
}

/// Returns the name of a server for log events, or `?` if the server is unknown.
pub(super) fn server_name<'a>(ctx: &'a FrontendContext, server: Option<ServerId>) -> &'a str {
    server.and_then(|server| ctx.registry.entry(server)).map_or("?", |endpoint| endpoint.name())
}

/// Logs a violation if the load report at the end of a server's answer is malformed. The answer itself is still
/// valid.
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
