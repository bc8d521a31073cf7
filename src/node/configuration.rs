//! All that a node is configured by: its own configuration and the optional frontends' files. Read alike at the start,
//! by `check-config` and on SIGHUP.

use crate::config::{Config, ConfigError};
use crate::frontend::{FrontendError, FrontendFiles, ParsedFrontendFile};
use std::io;
use thiserror::Error;

/// A checked configuration, not applied yet.
pub struct Configuration {
    /// The node's own.
    pub node: Config,
    /// The optional frontends' files, parsed.
    pub frontends: Vec<ParsedFrontendFile>,
}

impl Configuration {
    /// Reads the environment's configuration and the optional frontends' files.
    ///
    /// # Errors
    /// Where any of them cannot be read, or is invalid.
    pub fn read(frontend_files: &FrontendFiles) -> Result<Configuration, ConfigurationError> {
        Ok(Configuration { node: Config::from_env()?, frontends: frontend_files.read()? })
    }

    /// Reads everything again for a running node.
    ///
    /// # Errors
    /// Where any of it cannot be read, or is invalid: nothing is to be applied then.
    pub fn reread(
        running: &Config,
        frontend_files: &FrontendFiles,
    ) -> Result<Configuration, ConfigurationError> {
        Ok(Configuration { node: running.reread()?, frontends: frontend_files.read()? })
    }
}

/// Why a configuration is invalid: one line that names the file and the field.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// The node's own configuration.
    #[error(transparent)]
    Node(#[from] ConfigError),
    /// An optional frontend's file.
    #[error(transparent)]
    Frontend(#[from] FrontendError),
}

impl ConfigurationError {
    /// Why the node's own configuration could not be read, where that is the problem.
    pub fn io_error(&self) -> Option<&io::Error> {
        match self {
            ConfigurationError::Node(ConfigError::Unreadable { source, .. }) => Some(source),
            ConfigurationError::Node(_) | ConfigurationError::Frontend(_) => None,
        }
    }
}
