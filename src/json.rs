//! JSON decoding with errors that name the invalid field.

use serde::Deserialize;

#[cfg(test)]
mod tests;

/// The path of the document root.
const ROOT_PATH: &str = ".";

/// The reason why a JSON text could not be decoded.
#[derive(Debug, thiserror::Error)]
#[error("field {field_path}: {source}")]
pub struct JsonError {
    /// The path of the invalid field, such as `Profiles[0].Effect`; `.` for the document root, `?` if it is not known.
    field_path: String,
    source: serde_json::Error,
}

impl JsonError {
    /// Prefixes the path with `parent`, the field of an outer document that contains the decoded one.
    pub fn within(self, parent: &str) -> JsonError {
        let field_path = match self.field_path.as_str() {
            ROOT_PATH => parent.to_string(),
            inner => format!("{parent}.{inner}"),
        };
        JsonError { field_path, source: self.source }
    }
}

/// Decodes the JSON value at the beginning of `text`. Any text after it is ignored.
///
/// # Errors
///
/// A [`JsonError`] that names the invalid field and the reason.
pub fn parse<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, JsonError> {
    let mut reader = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let field_path = error.path().to_string();
        JsonError { field_path, source: error.into_inner() }
    })
}
