//! Errors in the files of the AMQP frontend: its configuration and the users file.

use crate::frontend::tls::TlsConfigError;
use std::io;
use std::path::{Path, PathBuf};

/// An error in a file of the AMQP frontend. It is printed as one line that names the file and, if known, the field.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file cannot be read or written.
    #[error("{}: {source}", .path.display())]
    Io {
        /// The path that could not be accessed.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is not valid JSON, or its structure is not the expected one.
    #[error("{}: {problem}", .path.display())]
    Parse {
        /// The path of the invalid file.
        path: PathBuf,
        /// The problem, and the field that it is in.
        problem: String,
    },
    /// A field has an invalid value.
    #[error("{}: field {field}: {problem}", .path.display())]
    Field {
        /// The path of the file that contains the field.
        path: PathBuf,
        /// The path of the field in the file.
        field: String,
        /// The requirement that the value does not meet.
        problem: String,
    },
    /// The certificates or the key that the file names cannot be used.
    #[error("{}: {source}", .path.display())]
    Tls {
        /// The path of the configuration file, which names the certificate and key files.
        path: PathBuf,
        /// The problem with the certificates or the key.
        source: Box<TlsConfigError>,
    },
    /// The operating system provides no random numbers for a salt.
    #[error("cannot get random numbers from the operating system: {0}")]
    Randomness(#[source] getrandom::Error),
}

impl FileError {
    /// Creates the error for a file that cannot be read or written.
    pub fn io(path: &Path, source: io::Error) -> FileError {
        FileError::Io { path: path.to_path_buf(), source }
    }

    /// Creates the error for a file that is not valid JSON, or whose structure is not the expected one.
    pub fn parse(path: &Path, problem: impl ToString) -> FileError {
        FileError::Parse { path: path.to_path_buf(), problem: problem.to_string() }
    }

    /// Creates the error for a file that names certificates or a key that cannot be used.
    pub fn tls(path: &Path, source: TlsConfigError) -> FileError {
        FileError::Tls { path: path.to_path_buf(), source: Box::new(source) }
    }

    /// Creates the error for a field with an invalid value.
    pub fn field(path: &Path, field: impl Into<String>, problem: impl Into<String>) -> FileError {
        FileError::Field { path: path.to_path_buf(), field: field.into(), problem: problem.into() }
    }
}
