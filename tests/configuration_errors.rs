//! Invalid configurations, which the node rejects when it starts.

use rstest::rstest;
use sparbank_test_support::{config, node_command, temp_file};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

#[rstest]
#[case::not_json("{", "EOF")]
#[case::missing_field(r#"{"name":"n"}"#, "listen")]
#[case::wrong_type(r#"{"name":1}"#, "field name")]
#[case::unknown_effect(
    &config(([127, 0, 0, 1], 1).into(), "", 64).replace("read_like", "odd"),
    "field settings.Profiles[0].Effect"
)]
fn an_invalid_configuration_is_reported_in_one_line_with_exit_code_2(
    #[case] text: &str,
    #[case] expected: &str,
) {
    let path = temp_file("wrong.json", text);
    let output = node_command(PROGRAM, &["serve"], &path).output().expect("it exits");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        errors.lines().count() == 1 && errors.contains("wrong.json") && errors.contains(expected),
        "{errors}"
    );
}
