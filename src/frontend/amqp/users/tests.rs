//! Tests of the users file, as version 00677b7 wrote it and as this version writes it.

use super::{add_user, Rights, TransportSecurity, Users};
use crate::frontend::amqp::password_checks::PasswordChecks;
use crate::net::token_for_tests as token;
use sparbank_amqp::Mechanism;
use std::path::Path;

/// Runs a password check to its end, and returns whether the password is valid.
fn is_valid(users: &Users, user: &str, password: &str) -> bool {
    let mut checks = PasswordChecks::default();
    checks.start(token(1), users, user.to_string(), password.as_bytes()).expect("no other check is pending");
    loop {
        if let Some(checked) = checks.step() {
            assert_eq!(checked.user, user);
            return checked.is_valid;
        }
    }
}

#[test]
fn the_users_file_that_version_00677b7_wrote_is_read() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/00677b7/amqp-users.json");
    let users = Users::read(&path).expect("valid");
    let anna = users.identity("anna").expect("known");
    assert_eq!(anna.rights.classes, Some(vec!["live-readings".to_string()]));
    assert_eq!(anna.subscriber(), "porto-catania");
    assert!(anna.may_attach_to("live-readings") && !anna.may_attach_to("station-notes"));
    let bruno = users.identity("bruno").expect("known");
    assert_eq!((bruno.rights.classes.as_ref(), bruno.subscriber()), (None, "bruno"));
    assert!(bruno.may_attach_to("station-notes"));
    assert!(users.identity("carla").is_none() && users.anonymous_identity().is_none());
    assert!(is_valid(&users, "anna", "the password") && is_valid(&users, "bruno", "other"));
    assert!(!is_valid(&users, "anna", "other") && !is_valid(&users, "carla", "other"));
    assert_eq!(
        users.mechanisms(TransportSecurity { allows_plain: false, requests_certificate: false }),
        [Mechanism::ScramSha256]
    );
}

#[test]
fn a_user_is_added_to_the_file_that_version_00677b7_wrote() {
    let fixture = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/00677b7/amqp-users.json");
    let path = std::env::temp_dir().join(format!("sparbank-amqp-users-{}.json", std::process::id()));
    std::fs::copy(&fixture, &path).expect("copied");
    add_user(&path, "carla", "third", Rights::default()).expect("added");
    let users = Users::read(&path).expect("valid");
    let text = std::fs::read_to_string(&path).expect("read");
    std::fs::remove_file(&path).expect("removed");
    assert!(is_valid(&users, "anna", "the password") && is_valid(&users, "carla", "third"));
    // The entries that were already in the file are unchanged.
    let before = std::fs::read_to_string(&fixture).expect("read");
    let entries = before.trim_end().trim_end_matches(['}', '\n', ' ']);
    assert!(text.starts_with(entries), "{text}");
}
