//! JSON with errors that name the field.

use serde::Deserialize;

/// Decodes JSON; what is wrong is told with its field.
pub fn parse<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, String> {
    let mut reader = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let path = error.path().to_string();
        format!("field {path}: {}", error.into_inner())
    })
}
