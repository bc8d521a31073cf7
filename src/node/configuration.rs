//! All that a node is configured by: its own configuration and the optional fronts' files. Read alike at the start,
//! by `check-config` and on SIGHUP.

use crate::config::{Config, ConfigError};
use crate::front::{FrontError, FrontFiles, ParsedFrontFiles, OPTIONAL_FRONTS};
use std::error::Error;
use std::fmt;
use std::io;

/// A checked configuration, not applied yet.
pub struct Configuration {
    /// The node's own.
    pub node: Config,
    /// The optional fronts' files, parsed.
    pub fronts: ParsedFrontFiles,
}

impl Configuration {
    /// Reads the environment's configuration and the optional fronts' files.
    pub fn read(front_files: &FrontFiles) -> Result<Configuration, ConfigurationError> {
        Ok(Configuration { node: Config::from_env()?, fronts: read_front_files(front_files)? })
    }

    /// Reads all again for a running node: all of it is valid, or none of it is applied.
    pub fn reread(running: &Config, front_files: &FrontFiles) -> Result<Configuration, ConfigurationError> {
        Ok(Configuration { node: running.reread()?, fronts: read_front_files(front_files)? })
    }
}

fn read_front_files(front_files: &FrontFiles) -> Result<ParsedFrontFiles, ConfigurationError> {
    let mut parsed = ParsedFrontFiles::new();
    for (which, path) in front_files {
        let file = (OPTIONAL_FRONTS[*which].read)(path)?;
        parsed.push((*which, file));
    }
    Ok(parsed)
}

/// Why a configuration was refused: one line that names the file and the field.
#[derive(Debug)]
pub enum ConfigurationError {
    /// The node's own configuration.
    Node(ConfigError),
    /// An optional front's file.
    Front(FrontError),
}

impl ConfigurationError {
    /// Why the node's own configuration could not be read, where that is the problem.
    pub fn io_error(&self) -> Option<&io::Error> {
        match self {
            ConfigurationError::Node(ConfigError::Unreadable { source, .. }) => Some(source),
            ConfigurationError::Node(_) | ConfigurationError::Front(_) => None,
        }
    }
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigurationError::Node(error) => error.fmt(f),
            ConfigurationError::Front(error) => error.fmt(f),
        }
    }
}

impl Error for ConfigurationError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ConfigurationError::Node(error) => Some(error),
            ConfigurationError::Front(error) => Some(error),
        }
    }
}

impl From<ConfigError> for ConfigurationError {
    fn from(error: ConfigError) -> ConfigurationError {
        ConfigurationError::Node(error)
    }
}

impl From<FrontError> for ConfigurationError {
    fn from(error: FrontError) -> ConfigurationError {
        ConfigurationError::Front(error)
    }
}
