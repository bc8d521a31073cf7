//! Why a configuration was refused. Each error is one line that names the file or variable, and the field.

use crate::json::JsonError;
use crate::model::SettingsError;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;

/// Why a node's configuration could not be read.
#[derive(Debug)]
pub enum ConfigError {
    /// A variable that must be there is not.
    NotSet(&'static str),
    /// A variable is not an address with a port.
    NotAnAddress {
        /// Its name.
        variable: &'static str,
        /// What is wrong with its value.
        source: AddrParseError,
    },
    /// The file could not be read.
    Unreadable {
        /// The file.
        path: String,
        /// Why not.
        source: io::Error,
    },
    /// The file does not say a configuration.
    Invalid {
        /// The file.
        path: String,
        /// The field at fault and its fault.
        source: ContentError,
    },
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::NotSet(variable) => write!(f, "{variable}: not set"),
            ConfigError::NotAnAddress { variable, source } => write!(f, "{variable}: {source}"),
            ConfigError::Unreadable { path, source } => write!(f, "{path}: {source}"),
            ConfigError::Invalid { path, source } => write!(f, "{path}: {source}"),
        }
    }
}

impl Error for ConfigError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ConfigError::NotSet(_) => None,
            ConfigError::NotAnAddress { source, .. } => Some(source),
            ConfigError::Unreadable { source, .. } => Some(source),
            ConfigError::Invalid { source, .. } => Some(source),
        }
    }
}

/// What is wrong with the content of a configuration file.
#[derive(Debug)]
pub enum ContentError {
    /// It is not JSON, or a field is missing or of the wrong type.
    Json(JsonError),
    /// A setting is out of its range.
    Settings(SettingsError),
    /// The seed is not a hexadecimal number of 64 bits.
    Seed(ParseIntError),
}

impl fmt::Display for ContentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ContentError::Json(error) => error.fmt(f),
            ContentError::Settings(error) => write!(f, "field settings.{}: {}", error.field, error.problem),
            ContentError::Seed(error) => write!(f, "field seed: {error}"),
        }
    }
}

impl Error for ContentError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ContentError::Json(error) => Some(error),
            ContentError::Settings(error) => Some(error),
            ContentError::Seed(error) => Some(error),
        }
    }
}

impl From<JsonError> for ContentError {
    fn from(error: JsonError) -> ContentError {
        ContentError::Json(error)
    }
}

impl From<SettingsError> for ContentError {
    fn from(error: SettingsError) -> ContentError {
        ContentError::Settings(error)
    }
}

impl From<ParseIntError> for ContentError {
    fn from(error: ParseIntError) -> ContentError {
        ContentError::Seed(error)
    }
}
