//! Frontends that are off unless their configuration file is named on the command line.

use super::api::{Frontend, FrontendConfig};
use crate::config::FrontendSettings;
use crate::net::SocketReactor;
use crate::requests::FrontendId;
use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};

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

/// The configuration files of the optional frontends that are on, in the order in which they are opened.
#[derive(Default)]
pub struct FrontendFiles {
    files: Vec<FrontendFile>,
}

struct FrontendFile {
    frontend: &'static OptionalFrontend,
    path: PathBuf,
}

impl FrontendFiles {
    /// Turns a frontend on. Its file replaces one that was named for it before.
    pub fn set(&mut self, frontend: &'static OptionalFrontend, path: PathBuf) {
        self.files.retain(|file| file.frontend.name != frontend.name);
        self.files.push(FrontendFile { frontend, path });
    }

    /// Reads and checks all files.
    ///
    /// # Errors
    /// The first file that cannot be used, with the field that is wrong.
    pub fn read(&self) -> Result<Vec<ParsedFrontendFile>, FrontendError> {
        let read = |file: &FrontendFile| {
            let config = (file.frontend.read)(&file.path)?;
            Ok(ParsedFrontendFile { frontend: file.frontend, config })
        };
        self.files.iter().map(read).collect()
    }
}

/// A configuration file that has been read and checked, with the frontend that it is for.
pub struct ParsedFrontendFile {
    /// The frontend.
    pub frontend: &'static OptionalFrontend,
    /// Its configuration.
    pub config: FrontendConfig,
}

/// What a frontend is opened with, beside its id and its configuration.
pub struct FrontendSetup<'a> {
    /// The sockets.
    pub net: &'a mut SocketReactor,
    /// The node's name.
    pub node_name: &'a str,
    /// The settings that frontends need.
    pub settings: &'a FrontendSettings,
}

/// Why an optional frontend could not be configured or opened.
#[derive(Debug, thiserror::Error)]
pub enum FrontendError {
    /// Its configuration file is wrong; the text names the file and the field.
    #[error("{0}")]
    Config(#[source] Box<dyn Error>),
    /// The configuration was read for another frontend.
    #[error("not this frontend's file")]
    WrongConfigType,
    /// A listening socket could not be opened.
    #[error("{socket}: {error}")]
    Listen {
        /// The socket's name in the frontend's configuration.
        socket: &'static str,
        /// The error of the system.
        #[source]
        error: io::Error,
    },
}

#[cfg(test)]
mod tests;
