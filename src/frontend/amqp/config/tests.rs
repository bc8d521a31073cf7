//! Tests of the configuration file, among them that files written for version 00677b7 keep their meaning.

use super::{AmqpConfig, ServerEntry};
use sparbank_amqp::Credentials;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/00677b7").join(name)
}

/// Writes the text to a temporary file and reads it as a configuration. Errors name the file as `FILE`.
fn read(text: &str) -> Result<AmqpConfig, String> {
    let directory = std::env::temp_dir().join(format!("sparbank-amqp-config-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("created");
    let path = directory.join(format!("{:x}.json", crate::hash::fnv1a(text)));
    std::fs::write(&path, text).expect("written");
    let config = AmqpConfig::read(&path);
    std::fs::remove_file(&path).expect("removed");
    config.map_err(|error| error.to_string().replace(&path.display().to_string(), "FILE"))
}

#[test]
fn a_file_with_the_keys_of_version_00677b7_has_the_same_values() {
    let config = AmqpConfig::read(&fixture("amqp.json")).expect("valid");
    assert_eq!(config.listen, SocketAddr::from(([127, 0, 0, 1], 5672)));
    assert_eq!((config.max_frame_bytes, config.channel_max, config.handle_max), (8192, 3, 63));
    assert_eq!((config.max_links, config.incoming_window_frames, config.max_unsettled), (32, 128, 512));
    assert_eq!((config.credit, config.subscriber_credit, config.max_message_bytes), (16, 1024, 262_144));
    assert_eq!((config.max_retryable_bytes, config.max_buffered_bytes), (32_768, 1_048_576));
    assert_eq!((config.max_connections_per_address, config.client_idle_ms), (64, 20_000));
    assert_eq!(config.server_idle_ms, 9000, "region_idle_ms");
    assert_eq!(config.max_server_connections, 2, "region_connections");
    assert_eq!(config.max_server_links_per_class, 3, "region_lanes");
    assert_eq!((config.max_resumable_links, config.max_resume_timeout_ms), (8, 5000));
    assert!(config.plain_unencrypted);
    let redirect = config.redirect.as_ref().expect("redirect is set");
    assert_eq!((&*redirect.hostname, &*redirect.network_host, redirect.port), ("other", "192.0.2.1", 5673));
    assert!(config.users.is_some(), "the users file in the same directory is read");
}

#[test]
fn the_servers_of_a_file_of_version_00677b7_have_the_same_access() {
    let config = AmqpConfig::read(&fixture("amqp.json")).expect("valid");
    let discovered = SocketAddr::from(([192, 0, 2, 9], 7000));
    let first = config.server_access("north-1", discovered, "nonce");
    assert_eq!(first.address, SocketAddr::from(([127, 0, 0, 1], 6001)));
    assert_eq!(first.credentials, Some(Credentials::Anonymous));
    let second = config.server_access("north-2", discovered, "nonce");
    let (user, password) = ("node".to_string(), "secret".to_string());
    assert_eq!(second.address, SocketAddr::from(([127, 0, 0, 1], 6002)));
    assert_eq!(second.credentials, Some(Credentials::Scram { user, password, nonce: "nonce".to_string() }));
    let third = config.server_access("north-3", discovered, "nonce");
    assert_eq!((third.address, third.credentials), (discovered, None));
    let unlisted = config.server_access("north-4", discovered, "nonce");
    assert_eq!((unlisted.address, unlisted.credentials), (discovered, Some(Credentials::Anonymous)));
}

#[test]
fn old_and_new_keys_are_equivalent() {
    let text = std::fs::read_to_string(fixture("amqp.json")).expect("read");
    let text = text.replace("\"users\": \"amqp-users.json\",", "");
    let renamed = text.replace("region_", "server_").replace("\"regions\"", "\"servers\"");
    assert!(!renamed.contains("region") && text.contains("region_lanes"));
    let old = read(&text).expect("valid");
    let new = read(&renamed).expect("valid");
    assert_eq!(old.servers.len(), 3);
    assert!(matches!(new.servers["north-1"], ServerEntry::Address(_)));
    // The map of servers prints in random order, so only the other fields are compared by their debug output.
    let without_servers =
        |config: AmqpConfig| format!("{:?}", AmqpConfig { servers: Default::default(), ..config });
    assert_eq!(without_servers(old), without_servers(new));
}

#[test]
fn the_file_in_deploy_is_valid() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/amqp.json");
    let config = AmqpConfig::read(&path).expect("valid");
    assert_eq!(
        (config.max_frame_bytes, config.max_buffered_bytes, config.client_idle_ms),
        (16_384, 8_388_608, 10_000)
    );
    assert!(config.servers.is_empty());
}

#[test]
fn an_error_names_the_file_and_the_field() {
    let error = |text: &str| read(text).expect_err("invalid");
    assert_eq!(error(r#"{"max_frame": 511}"#), "FILE: field max_frame: at least 512");
    assert_eq!(
        error(r#"{"max_frame": 1048577}"#),
        "FILE: field max_frame: at most 1048576: frames are buffered whole"
    );
    assert_eq!(error(r#"{"unsettled": 0}"#), "FILE: field window, credit, unsettled, max_links: at least 1");
    assert_eq!(error(r#"{"region_lanes": 0}"#), "FILE: field server_lanes, server_connections: at least 1");
    assert_eq!(
        error(r#"{"keep": 2, "max_held": 1}"#),
        "FILE: field max_held: at least the value of field keep"
    );
    assert!(error(r#"{"max_frame": "x"}"#).starts_with("FILE: field max_frame: invalid type"));
    assert!(error(r#"{"users": "absent.json"}"#).contains("absent.json: No such file"));
}

/// The password for a server must not appear in logs.
#[test]
fn debug_output_contains_no_password() {
    let text = r#"{"servers":{"s-1":{"user":"anna","password":"pencil"}}}"#;
    let config = read(text).expect("valid");
    assert!(!format!("{config:?}").contains("pencil"));
}
