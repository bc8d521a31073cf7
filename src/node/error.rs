//! Why a node could not be prepared, or had to stop. Each error is printed as one line.

use super::configuration::ConfigurationError;
use crate::frontend::FrontendError;
use crate::handover::PassedListenerError;
use crate::model::SettingsError;
use crate::quota::QuotaFileError;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Why nothing was started: something that was configured is wrong.
#[derive(Debug)]
pub enum PrepareError {
    /// The configuration, or an optional frontend's file.
    Configuration(ConfigurationError),
    /// The file of the fleet-wide quotas.
    Quota(QuotaFileError),
    /// The listening socket that the platform passes.
    PassedListener(PassedListenerError),
}

impl fmt::Display for PrepareError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PrepareError::Configuration(error) => error.fmt(f),
            PrepareError::Quota(error) => error.fmt(f),
            PrepareError::PassedListener(error) => error.fmt(f),
        }
    }
}

impl Error for PrepareError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            PrepareError::Configuration(error) => Some(error),
            PrepareError::Quota(error) => Some(error),
            PrepareError::PassedListener(error) => Some(error),
        }
    }
}

impl From<ConfigurationError> for PrepareError {
    fn from(error: ConfigurationError) -> PrepareError {
        PrepareError::Configuration(error)
    }
}

impl From<QuotaFileError> for PrepareError {
    fn from(error: QuotaFileError) -> PrepareError {
        PrepareError::Quota(error)
    }
}

impl From<PassedListenerError> for PrepareError {
    fn from(error: PassedListenerError) -> PrepareError {
        PrepareError::PassedListener(error)
    }
}

/// Why a node could not start serving, or had to stop.
#[derive(Debug)]
pub enum ServeError {
    /// Sockets cannot be polled.
    Poll(io::Error),
    /// Signals cannot be received.
    Signals(io::Error),
    /// The balancer refuses the settings.
    Settings(SettingsError),
    /// The admin API's address.
    AdminListen {
        /// The address.
        address: SocketAddr,
        /// Why it cannot be listened on.
        source: io::Error,
    },
    /// The clients' address.
    Listen(io::Error),
    /// An optional frontend.
    Frontend(FrontendError),
    /// The export of flow records.
    FlowExport(io::Error),
    /// The lease protocol's address.
    LeaseTransport {
        /// This node's index among the members of the quota file.
        member: usize,
        /// Why it cannot be listened on.
        source: io::Error,
    },
}

impl fmt::Display for ServeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ServeError::Poll(error) => write!(f, "epoll: {error}"),
            ServeError::Signals(error) => write!(f, "signals: {error}"),
            ServeError::Settings(error) => error.fmt(f),
            ServeError::AdminListen { address, source } => write!(f, "operator: {address}: {source}"),
            ServeError::Listen(error) => write!(f, "listen: {error}"),
            ServeError::Frontend(error) => error.fmt(f),
            ServeError::FlowExport(error) => write!(f, "ipfix: {error}"),
            ServeError::LeaseTransport { member, source } => {
                write!(f, "--fleet: members[{member}].address: {source}")
            }
        }
    }
}

impl Error for ServeError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ServeError::Poll(error)
            | ServeError::Signals(error)
            | ServeError::Listen(error)
            | ServeError::FlowExport(error) => Some(error),
            ServeError::AdminListen { source, .. } | ServeError::LeaseTransport { source, .. } => {
                Some(source)
            }
            ServeError::Settings(error) => Some(error),
            ServeError::Frontend(error) => Some(error),
        }
    }
}

impl From<SettingsError> for ServeError {
    fn from(error: SettingsError) -> ServeError {
        ServeError::Settings(error)
    }
}

impl From<FrontendError> for ServeError {
    fn from(error: FrontendError) -> ServeError {
        ServeError::Frontend(error)
    }
}
