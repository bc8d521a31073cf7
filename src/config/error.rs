//! Errors of the configuration. The text of each is one line that names the file or variable, and the field.

use crate::json::JsonError;
use crate::model::SettingsError;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;

/// Why the configuration of a node was rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A required environment variable is not set.
    #[error("{0}: not set")]
    NotSet(&'static str),
    /// The value of an environment variable is not an address with a port.
    #[error("{variable}: {source}")]
    NotAnAddress {
        /// The name of the variable.
        variable: &'static str,
        /// Why the value could not be parsed.
        source: AddrParseError,
    },
    /// The file could not be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// Why the file could not be read.
        source: io::Error,
    },
    /// The content of the file is not a valid configuration.
    #[error("{path}: {source}")]
    Invalid {
        /// The path of the file.
        path: String,
        /// The invalid field and the reason why it is invalid.
        source: ContentError,
    },
}

/// Why the content of a configuration file was rejected.
#[derive(Debug, thiserror::Error)]
pub enum ContentError {
    /// The content is not JSON, or a field is missing or of the wrong type.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// A request class has no name.
    #[error("field settings.Profiles[{index}]: missing field `Name`")]
    MissingClassName {
        /// The index of the class.
        index: usize,
    },
    /// A setting is out of range.
    #[error("field settings.{}: {}", .0.field, .0.problem)]
    Settings(#[from] SettingsError),
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("field seed: {0}")]
    Seed(#[from] ParseIntError),
}
