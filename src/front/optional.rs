//! Fronts that are off unless their configuration file is named on the command line.

use super::api::Front;
use crate::config::SiteSettings;
use crate::net::SocketReactor;
use crate::requests::FrontId;
use std::any::Any;
use std::error::Error;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

/// Configuration files of the optional fronts that are on: an index into [`OPTIONAL_FRONTS`](super::OPTIONAL_FRONTS) and a path.
pub type FrontFiles = Vec<(usize, PathBuf)>;

/// Parsed configurations of optional fronts, each with its front's index into [`OPTIONAL_FRONTS`](super::OPTIONAL_FRONTS).
pub type ParsedFrontFiles = Vec<(usize, Box<dyn Any>)>;

/// A front that is off unless its configuration file is named on the command line.
pub struct OptionalFront {
    /// Its name in log lines and, behind `--`, its option.
    pub name: &'static str,
    /// Reads and checks its configuration file.
    pub read: fn(&Path) -> Result<Box<dyn Any>, FrontError>,
    /// Opens the front: listens, and says where.
    pub open: fn(FrontId, Box<dyn Any>, FrontSetup) -> Result<OpenedFront, FrontError>,
}

/// What a front is opened with, beside its id and its configuration.
pub struct FrontSetup<'a> {
    /// The sockets.
    pub net: &'a mut SocketReactor,
    /// The node's name.
    pub node_name: &'a str,
    /// The settings that fronts need.
    pub site: &'a SiteSettings,
}

/// A front that was opened.
pub struct OpenedFront {
    /// The front.
    pub front: Box<dyn Front>,
    /// Where it listens, as `key=value` pairs of its log line.
    pub listen_line: String,
}

/// Why an optional front could not be configured or opened.
#[derive(Debug)]
pub enum FrontError {
    /// Its configuration file is wrong; the text names the file and the field.
    Config(Box<dyn Error>),
    /// The configuration was read for another front.
    WrongConfigType,
    /// A listening socket could not be opened.
    Listen {
        /// The socket's name in the front's configuration.
        socket: &'static str,
        /// The error of the system.
        error: io::Error,
    },
}

impl fmt::Display for FrontError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrontError::Config(error) => write!(f, "{error}"),
            FrontError::WrongConfigType => write!(f, "not this front's file"),
            FrontError::Listen { socket, error } => write!(f, "{socket}: {error}"),
        }
    }
}

impl Error for FrontError {}
