//! All that a node is configured by: its own configuration and the optional frontends' files. Read alike at the start,
//! by `check-config` and on SIGHUP.

use crate::config::{Config, ConfigError};
use crate::frontend::{FrontendError, FrontendFiles, ParsedFrontendFile};
use std::error::Error;
use std::fmt;
use std::io;

/// A checked configuration, not applied yet.
pub struct Configuration {
    /// The node's own.
    pub node: Config,
    /// The optional frontends' files, parsed.
    pub frontends: Vec<ParsedFrontendFile>,
}

impl Configuration {
    /// Reads the environment's configuration and the optional frontends' files.
    pub fn read(frontend_files: &FrontendFiles) -> Result<Configuration, ConfigurationError> {
        Ok(Configuration { node: Config::from_env()?, frontends: frontend_files.read()? })
    }

    /// Reads all again for a running node: all of it is valid, or none of it is applied.
    pub fn reread(
        running: &Config,
        frontend_files: &FrontendFiles,
    ) -> Result<Configuration, ConfigurationError> {
        Ok(Configuration { node: running.reread()?, frontends: frontend_files.read()? })
    }
}

/// Why a configuration was refused: one line that names the file and the field.
#[derive(Debug)]
pub enum ConfigurationError {
    /// The node's own configuration.
    Node(ConfigError),
    /// An optional frontend's file.
    Frontend(FrontendError),
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

impl fmt::Display for ConfigurationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigurationError::Node(error) => error.fmt(f),
            ConfigurationError::Frontend(error) => error.fmt(f),
        }
    }
}

impl Error for ConfigurationError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ConfigurationError::Node(error) => Some(error),
            ConfigurationError::Frontend(error) => Some(error),
        }
    }
}

impl From<ConfigError> for ConfigurationError {
    fn from(error: ConfigError) -> ConfigurationError {
        ConfigurationError::Node(error)
    }
}

impl From<FrontendError> for ConfigurationError {
    fn from(error: FrontendError) -> ConfigurationError {
        ConfigurationError::Frontend(error)
    }
}
