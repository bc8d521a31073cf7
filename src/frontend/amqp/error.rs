//! Errors in the AMQP frontend's own files: its configuration and the users' file.

use crate::frontend::tls::TlsConfigError;
use std::io;
use std::path::{Path, PathBuf};

/// Why a file of the AMQP frontend cannot be used. Printed in one line that names the file and, if there is one, the
/// field.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file cannot be read or written.
    #[error("{}: {source}", .path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The file is not JSON of the expected form.
    #[error("{}: {problem}", .path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// What is wrong, and in which field.
        problem: String,
    },
    /// A field has a value out of its range.
    #[error("{}: field {field}: {problem}", .path.display())]
    Field {
        /// The file.
        path: PathBuf,
        /// The field's path in the file.
        field: String,
        /// What its value must be.
        problem: String,
    },
    /// The certificates or the key that the file names cannot be used.
    #[error("{}: {source}", .path.display())]
    Tls {
        /// The file.
        path: PathBuf,
        /// What is wrong with them.
        source: Box<TlsConfigError>,
    },
    /// The system has no random numbers for a salt.
    #[error("no random numbers: {0}")]
    Randomness(#[source] getrandom::Error),
}

impl FileError {
    /// A file that cannot be read or written.
    pub fn io(path: &Path, source: io::Error) -> FileError {
        FileError::Io { path: path.to_path_buf(), source }
    }

    /// A file that is not JSON of the expected form.
    pub fn parse(path: &Path, problem: impl ToString) -> FileError {
        FileError::Parse { path: path.to_path_buf(), problem: problem.to_string() }
    }

    /// A file whose certificates or key cannot be used.
    pub fn tls(path: &Path, source: TlsConfigError) -> FileError {
        FileError::Tls { path: path.to_path_buf(), source: Box::new(source) }
    }

    /// A field with a value out of its range.
    pub fn field(path: &Path, field: impl Into<String>, problem: impl Into<String>) -> FileError {
        FileError::Field { path: path.to_path_buf(), field: field.into(), problem: problem.into() }
    }
}
