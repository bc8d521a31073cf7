//! Optional frontends, which are enabled by naming their configuration file on the command line.

use super::api::{Frontend, FrontendConfig};
use crate::config::FrontendSettings;
use crate::net::SocketReactor;
use crate::requests::FrontendId;
use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};

/// Creates a frontend from its id, its configuration and the parts of the node that it needs.
pub type OpenFrontend =
    fn(FrontendId, FrontendConfig, FrontendSetup) -> Result<Box<dyn Frontend>, FrontendError>;

/// A frontend that is enabled by naming its configuration file on the command line.
pub struct OptionalFrontend {
    /// The frontend's name in log lines. The command-line option is the name prefixed with `--`.
    pub name: &'static str,
    /// Reads and validates the configuration file.
    pub read: fn(&Path) -> Result<FrontendConfig, FrontendError>,
    /// Opens the frontend: starts listening and logs the addresses.
    pub open: OpenFrontend,
}

/// The configuration files of the enabled optional frontends, in the order in which the frontends are opened.
#[derive(Default)]
pub struct FrontendFiles {
    files: Vec<FrontendFile>,
}

struct FrontendFile {
    frontend: &'static OptionalFrontend,
    path: PathBuf,
}

impl FrontendFiles {
    /// Enables a frontend. If it was enabled before, the new path replaces the previous one.
    pub fn set(&mut self, frontend: &'static OptionalFrontend, path: PathBuf) {
        self.files.retain(|file| file.frontend.name != frontend.name);
        self.files.push(FrontendFile { frontend, path });
    }

    /// Reads and validates all files.
    ///
    /// # Errors
    /// If a file is invalid: the error of the first such file, naming the invalid field.
    pub fn read(&self) -> Result<Vec<ParsedFrontendFile>, FrontendError> {
        let read = |file: &FrontendFile| {
            let config = (file.frontend.read)(&file.path)?;
            Ok(ParsedFrontendFile { frontend: file.frontend, config })
        };
        self.files.iter().map(read).collect()
    }
}

/// A validated configuration with the frontend it belongs to.
pub struct ParsedFrontendFile {
    /// The frontend that the file configures.
    pub frontend: &'static OptionalFrontend,
    /// The result of [`OptionalFrontend::read`].
    pub config: FrontendConfig,
}

/// The parts of the node that a frontend needs when it is opened.
pub struct FrontendSetup<'a> {
    /// The reactor that the frontend registers its listening sockets with.
    pub net: &'a mut SocketReactor,
    /// The node's name, by which the frontend identifies itself to its peers.
    pub node_name: &'a str,
    /// The settings that only frontends use.
    pub settings: &'a FrontendSettings,
}

/// Why an optional frontend could not be configured or opened.
#[derive(Debug, thiserror::Error)]
pub enum FrontendError {
    /// The configuration file is invalid; the message names the file and the field.
    #[error("{0}")]
    Config(#[source] Box<dyn Error>),
    /// The configuration has the type of another frontend.
    #[error("configuration belongs to another frontend")]
    WrongConfigType,
    /// A listening socket could not be opened.
    #[error("{socket}: {error}")]
    Listen {
        /// The name of the socket in the frontend's configuration.
        socket: &'static str,
        /// The operating system's error.
        #[source]
        error: io::Error,
    },
}

#[cfg(test)]
mod tests;
