//! Errors of preparing and running a node. Each is printed as one line.

use super::configuration::ConfigurationError;
use crate::frontend::FrontendError;
use crate::handover::PassedListenerError;
use crate::model::SettingsError;
use crate::quota::QuotaFileError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a node could not be prepared. Nothing has been started.
#[derive(Debug, Error)]
pub enum PrepareError {
    /// The node's configuration or the file of an optional frontend cannot be read or is invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The quota file cannot be read or is invalid.
    #[error(transparent)]
    Quota(#[from] QuotaFileError),
    /// The listening socket that the platform passes is invalid.
    #[error(transparent)]
    PassedListener(#[from] PassedListenerError),
}

/// Why a node could not start serving or had to stop.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The epoll set cannot be created or polled.
    #[error("epoll: {0}")]
    Poll(#[source] io::Error),
    /// The signal handlers cannot be installed, or their sockets cannot be registered.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The balancer rejects the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The admin API's address cannot be listened on.
    #[error("operator: {address}: {source}")]
    AdminListen {
        /// The value of `operator` in the configuration file, or of `NODE_OPERATOR`.
        address: SocketAddr,
        /// Why the address cannot be listened on.
        source: io::Error,
    },
    /// The address for text protocol clients cannot be listened on.
    #[error("listen: {0}")]
    Listen(#[source] io::Error),
    /// An optional frontend cannot be opened.
    #[error(transparent)]
    Frontend(#[from] FrontendError),
    /// The export of flow records cannot be opened.
    #[error("ipfix: {0}")]
    FlowExport(#[source] io::Error),
    /// The transport of the lease protocol cannot be opened.
    #[error("--fleet: members[{member}].address: {source}")]
    LeaseTransport {
        /// This node's index among the members in the quota file.
        member: usize,
        /// Why the member's address cannot be listened on.
        source: io::Error,
    },
}
