//! Why a node could not be prepared, or had to stop. Each error is printed as one line.

use super::configuration::ConfigurationError;
use crate::frontend::FrontendError;
use crate::handover::PassedListenerError;
use crate::model::SettingsError;
use crate::quota::QuotaFileError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why nothing was started: something that was configured is wrong.
#[derive(Debug, Error)]
pub enum PrepareError {
    /// The configuration, or an optional frontend's file.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The file of the fleet-wide quotas.
    #[error(transparent)]
    Quota(#[from] QuotaFileError),
    /// The listening socket that the platform passes.
    #[error(transparent)]
    PassedListener(#[from] PassedListenerError),
}

/// Why a node could not start serving, or had to stop.
#[derive(Debug, Error)]
pub enum ServeError {
    /// Sockets cannot be polled.
    #[error("epoll: {0}")]
    Poll(#[source] io::Error),
    /// Signals cannot be received.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The balancer rejects the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The admin API's address.
    #[error("operator: {address}: {source}")]
    AdminListen {
        /// The address.
        address: SocketAddr,
        /// Why it cannot be listened on.
        source: io::Error,
    },
    /// The clients' address.
    #[error("listen: {0}")]
    Listen(#[source] io::Error),
    /// An optional frontend.
    #[error(transparent)]
    Frontend(#[from] FrontendError),
    /// The export of flow records.
    #[error("ipfix: {0}")]
    FlowExport(#[source] io::Error),
    /// The lease protocol's address.
    #[error("--fleet: members[{member}].address: {source}")]
    LeaseTransport {
        /// This node's index among the members of the quota file.
        member: usize,
        /// Why it cannot be listened on.
        source: io::Error,
    },
}
