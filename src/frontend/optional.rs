//! Frontends that are off unless their configuration file is named on the command line.

use super::api::Frontend;
use crate::config::FrontendSettings;
use crate::net::SocketReactor;
use crate::requests::FrontendId;
use std::any::Any;
use std::error::Error;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// Configuration files of the optional frontends that are on: an index into [`OPTIONAL_FRONTENDS`](super::OPTIONAL_FRONTENDS) and a path.
pub type FrontendFiles = Vec<(usize, PathBuf)>;

/// Parsed configurations of optional frontends, each with its frontend's index into [`OPTIONAL_FRONTENDS`](super::OPTIONAL_FRONTENDS).
pub type ParsedFrontendFiles = Vec<(usize, Box<dyn Any>)>;

/// A parsed configuration file, of a type that its frontend knows.
pub type FrontendConfig = Box<dyn Any>;

/// Opens a frontend with its id and its configuration.
pub type OpenFrontend =
    fn(FrontendId, FrontendConfig, FrontendSetup) -> Result<Box<dyn Frontend>, FrontendError>;

/// A frontend that is off unless its configuration file is named on the command line.
pub struct OptionalFrontend {
    /// Its name in log lines and, behind `--`, its option.
    pub name: &'static str,
    /// Reads and checks its configuration file.
    pub read: fn(&Path) -> Result<FrontendConfig, FrontendError>,
    /// Opens the frontend: listens, and logs where.
    pub open: OpenFrontend,
}

/// What a frontend is opened with, beside its id and its configuration.
pub struct FrontendSetup<'a> {
    /// The sockets.
    pub net: &'a mut SocketReactor,
    /// The node's name.
    pub node_name: &'a str,
    /// The settings that frontends need.
    pub site: &'a FrontendSettings,
}

/// Why an optional frontend could not be configured or opened.
#[derive(Debug)]
pub enum FrontendError {
    /// Its configuration file is wrong; the text names the file and the field.
    Config(Box<dyn Error>),
    /// The configuration was read for another frontend.
    WrongConfigType,
    /// A listening socket could not be opened.
    Listen {
        /// The socket's name in the frontend's configuration.
        socket: &'static str,
        /// The error of the system.
        error: io::Error,
    },
}

impl fmt::Display for FrontendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrontendError::Config(error) => write!(f, "{error}"),
            FrontendError::WrongConfigType => write!(f, "not this frontend's file"),
            FrontendError::Listen { socket, error } => write!(f, "{socket}: {error}"),
        }
    }
}

impl Error for FrontendError {}
