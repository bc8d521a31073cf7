//! Unit tests of JSON decoding and its errors.

use super::{parse, JsonError};
use serde::Deserialize;

#[derive(Debug, Deserialize)]
struct Document {
    items: Vec<Item>,
}

#[derive(Debug, Deserialize)]
struct Item {
    count: u8,
}

fn error_of(text: &str) -> JsonError {
    parse::<Document>(text).expect_err("invalid document")
}

#[rstest::rstest]
#[case(r#"{"items":[{"count":1},{"count":"2"}]}"#, "field items[1].count: invalid type: string")]
#[case(r#"{"items":[{"count":300}]}"#, "field items[0].count: invalid value: integer `300`")]
#[case(r#"{"items":[{}]}"#, "field items[0]: missing field `count`")]
#[case("{}", "field .: missing field `items`")]
#[case("{", "field ?: EOF while parsing an object")]
fn an_error_names_the_path_of_the_field(#[case] text: &str, #[case] expected: &str) {
    let error = error_of(text).to_string();
    assert!(error.starts_with(expected), "{error}");
}

#[test]
fn an_error_in_an_inner_document_names_the_path_in_the_outer_one() {
    let error = error_of(r#"{"items":[{"count":-1}]}"#).within("settings");
    assert!(error.to_string().starts_with("field settings.items[0].count: "), "{error}");
    let error = error_of("{}").within("settings");
    assert!(error.to_string().starts_with("field settings: missing field `items`"), "{error}");
}

#[test]
fn text_after_the_document_is_ignored() {
    let document: Document = parse(r#"{"items":[{"count":7}]} and more"#).expect("valid document");
    assert_eq!(document.items[0].count, 7);
}
