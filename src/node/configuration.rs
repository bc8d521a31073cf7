//! The complete configuration of a node: its own configuration and the files of the optional frontends. It is read at
//! start, by `check-config` and on SIGHUP.

use crate::config::{Config, ConfigError};
use crate::frontend::{FrontendError, FrontendFiles, ParsedFrontendFile};
use std::io;
use thiserror::Error;

/// A configuration that has been validated but not applied.
pub struct Configuration {
    /// The node's own configuration.
    pub node: Config,
    /// The parsed configuration files of the optional frontends.
    pub frontends: Vec<ParsedFrontendFile>,
}

impl Configuration {
    /// Reads the node's configuration, as set by the environment, and the files of the optional frontends.
    ///
    /// # Errors
    /// Returns an error if any of them cannot be read or is invalid.
    pub fn read(frontend_files: &FrontendFiles) -> Result<Configuration, ConfigurationError> {
        Ok(Configuration { node: Config::from_env()?, frontends: frontend_files.read()? })
    }

    /// Reads the configuration again for a node that is running under `running`.
    ///
    /// # Errors
    /// Returns an error if any part of it cannot be read or is invalid. The caller then applies none of it.
    pub fn reread(
        running: &Config,
        frontend_files: &FrontendFiles,
    ) -> Result<Configuration, ConfigurationError> {
        Ok(Configuration { node: running.reread()?, frontends: frontend_files.read()? })
    }
}

/// Why a configuration was rejected. Printed as one line that names the file and the field.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// The node's own configuration cannot be read or is invalid.
    #[error(transparent)]
    Node(#[from] ConfigError),
    /// The file of an optional frontend cannot be read or is invalid.
    #[error(transparent)]
    Frontend(#[from] FrontendError),
}

impl ConfigurationError {
    /// The I/O error if the node's own configuration file could not be read.
    pub fn io_error(&self) -> Option<&io::Error> {
        match self {
            ConfigurationError::Node(ConfigError::Unreadable { source, .. }) => Some(source),
            ConfigurationError::Node(_) | ConfigurationError::Frontend(_) => None,
        }
    }
}
