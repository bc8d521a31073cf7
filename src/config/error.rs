//! Why a configuration was rejected. Each error is one line that names the file or variable, and the field.

use crate::json::JsonError;
use crate::model::SettingsError;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;

/// Why a node's configuration could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A variable that is required is not set.
    #[error("{0}: not set")]
    NotSet(&'static str),
    /// A variable is not an address with a port.
    #[error("{variable}: {source}")]
    NotAnAddress {
        /// Its name.
        variable: &'static str,
        /// What is wrong with its value.
        source: AddrParseError,
    },
    /// The file could not be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why not.
        source: io::Error,
    },
    /// The file does not contain a valid configuration.
    #[error("{path}: {source}")]
    Invalid {
        /// The file.
        path: String,
        /// The field at fault and what is wrong with it.
        source: ContentError,
    },
}

/// What is wrong with the content of a configuration file.
#[derive(Debug, thiserror::Error)]
pub enum ContentError {
    /// It is not JSON, or a field is missing or of the wrong type.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// A request class has no name.
    #[error("field settings.Profiles[{index}]: missing field `Name`")]
    MissingClassName {
        /// The index of the class.
        index: usize,
    },
    /// A setting is out of its range.
    #[error("field settings.{}: {}", .0.field, .0.problem)]
    Settings(#[from] SettingsError),
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("field seed: {0}")]
    Seed(#[from] ParseIntError),
}
