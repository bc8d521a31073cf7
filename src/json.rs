//! JSON decoding whose errors name the field at fault.

use serde::Deserialize;

#[cfg(test)]
mod tests;

/// The path of the document itself.
const DOCUMENT_ITSELF: &str = ".";

/// Why a JSON text could not be decoded.
#[derive(Debug, thiserror::Error)]
#[error("field {field_path}: {source}")]
pub struct JsonError {
    /// The path of the field at fault, such as `Profiles[0].Effect`; `.` for the document itself, `?` where it is not
    /// known.
    field_path: String,
    source: serde_json::Error,
}

impl JsonError {
    /// The same error in a document that has the decoded one in its field `parent`.
    pub fn within(self, parent: &str) -> JsonError {
        let field_path = match self.field_path.as_str() {
            DOCUMENT_ITSELF => parent.to_string(),
            inner => format!("{parent}.{inner}"),
        };
        JsonError { field_path, source: self.source }
    }
}

/// Decodes a JSON text. It may be followed by more text, which is not read.
///
/// # Errors
///
/// Names the field at fault and what is wrong with it.
pub fn parse<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, JsonError> {
    let mut reader = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let field_path = error.path().to_string();
        JsonError { field_path, source: error.into_inner() }
    })
}
