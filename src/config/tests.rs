//! Unit tests of the configuration file, its errors and the effects of a reload.

use super::*;

const SETTINGS: &str = r#"{"Profiles":[{"ObjectiveNs":1,"HardLimitNs":2,"Effect":"read_like","Name":"a"}],
    "Limits":{"MaxAttempts":3},"Rules":{}}"#;

/// The text of a configuration file in which `from` is replaced by `to`.
fn file(from: &str, to: &str) -> String {
    let head = r#""name":"n1","listen":"127.0.0.1:1","operator":"127.0.0.1:2","discovery":"127.0.0.1:3","seed":"7f""#;
    let known = r#""known":{"generation":0,"reset":true,"instances":[]}"#;
    format!(r#"{{{head},"limits":{{"sockets":20}},{known},"settings":{SETTINGS}}}"#).replace(from, to)
}

#[test]
fn the_file_is_decoded() {
    let config = Config::parse(&file("", "")).expect("a valid configuration");
    assert_eq!((config.seed, config.max_descriptors), (0x7f, 20));
    assert_eq!(config.admin_listen, Some("127.0.0.1:2".parse().expect("an address")));
    assert_eq!(config.settings.dial_timeout, std::time::Duration::from_millis(250));
    assert_eq!(config.settings.discovery, Discovery::LocalAgent);
}

#[rstest::rstest]
#[case("read_like", "odd", "field settings.Profiles[0].Effect: unknown variant `odd`")]
#[case(r#""MaxAttempts":3"#, r#""MaxAttempts":0"#, "field settings.max_attempts: must be at least one")]
#[case("\"7f\"", "\"7g\"", "field seed: invalid digit found in string")]
#[case("\"sockets\":20", "\"sockets\":\"20\"", "field limits.sockets: invalid type")]
#[case(r#","Name":"a""#, "", "field settings.Profiles[0]: missing field `Name`")]
#[case(
    r#""Name":"a""#,
    r#""Name":null"#,
    "field settings.Profiles[0].Name: invalid type: null, expected a string at"
)]
#[case("\"name\"", "\"nome\"", "field .: missing field `name`")]
#[case(
    "{\"sockets\":20}",
    "20",
    "field limits: invalid type: integer `20`, expected struct LimitsDocument at"
)]
#[case(
    "\"Rules\":{}",
    "\"Rules\":1",
    "field settings.Rules: invalid type: integer `1`, expected struct RulesDocument at"
)]
fn an_error_names_the_field(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let error = Config::parse(&file(from, to)).expect_err("an invalid configuration").to_string();
    assert!(error.starts_with(expected), "{error}");
}

#[test]
fn a_reload_returns_the_fields_that_need_a_restart_and_applies_the_others() {
    let mut running = Config::parse(&file("", "")).expect("a valid configuration");
    let new = Config::parse(&file("\"sockets\":20", "\"sockets\":40").replace("\"n1\"", "\"n2\""));
    assert_eq!(running.apply_reload(new.expect("a valid configuration")), ["name"]);
    assert_eq!((running.name.as_str(), running.max_descriptors), ("n1", 40));
    let new = Config::parse(&file(r#""Name":"a""#, r#""Name":"b""#).replace("127.0.0.1:2", "127.0.0.1:9"));
    assert_eq!(running.apply_reload(new.expect("a valid configuration")), ["settings", "operator"]);
    assert_eq!(running.frontend_settings.class_names, ["a"]);
}
