//! Tests of SCRAM-SHA-256 with the example of RFC 7677 and with invalid messages.

use super::{parse_client_first, Client, Pbkdf2, SaltedKeys, Server};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;

/// Uses the messages of RFC 7677, section 3.
#[test]
fn both_sides_compute_the_example_of_rfc_7677() {
    let mut client = Client::new("user", "pencil", "rOprNGfwEbeRWgbNEkqO");
    assert_eq!(client.client_first(), b"n,,n=user,r=rOprNGfwEbeRWgbNEkqO");
    let first = parse_client_first(&client.client_first()).expect("a valid message");
    assert_eq!(first.user, "user");
    let salt = STANDARD.decode("W22ZaJ0SNY7soEsUEjb6gQ==").expect("valid base64");
    let salted = Pbkdf2::new(b"pencil", &salt, 4096).step(4096).expect("all iterations are done");
    let keys = SaltedKeys::from_salted(&salted, salt, 4096);
    assert!(keys.matches(&salted));
    let server = Server::new(first, Some(keys), b"", "%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0");
    let challenge = server.challenge();
    assert_eq!(
        challenge,
        b"r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096"
    );
    let client_final = client.client_final(&challenge).expect("a valid challenge");
    assert!(client_final.ends_with(b",p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ="));
    let server_final = server.finish(&client_final).expect("the proof is valid");
    assert_eq!(server_final, b"v=6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4=");
    assert!(client.verify_server(&server_final));
}

#[test]
fn a_wrong_password_a_changed_nonce_and_an_unknown_user_are_rejected() {
    let salted = Pbkdf2::new(b"right", b"salt", 64).step(64).expect("all iterations are done");
    let keys = SaltedKeys::from_salted(&salted, b"salt".to_vec(), 64);
    for (password, is_known) in [("wrong", true), ("right", false), ("right", true)] {
        let mut client = Client::new("a,b=c", password, "xyz");
        let first = parse_client_first(&client.client_first()).expect("a valid message");
        assert_eq!(first.user, "a,b=c");
        let server = Server::new(first, is_known.then(|| keys.clone()), b"fake", "123");
        let client_final = client.client_final(&server.challenge()).expect("a valid challenge");
        assert_eq!(server.finish(&client_final).is_some(), password == "right" && is_known);
        assert!(server.finish(b"c=biws,r=other,p=AAAA").is_none());
    }
    assert!(parse_client_first(b"p=tls-unique,,n=u,r=x").is_none());
    assert!(parse_client_first(b"n,,n=u").is_none());
}

/// Secrets must not appear in logs: neither the password nor keys that allow to guess it or to pose as the server.
#[test]
fn debug_output_contains_no_secret() {
    let client = Client::new("user", "pencil", "rOprNGfwEbeRWgbNEkqO");
    assert!(!format!("{client:?}").contains("pencil"));
    let salted = Pbkdf2::new(b"pencil", b"salt", 4096).step(4096).expect("all iterations are done");
    let keys = SaltedKeys::from_salted(&salted, b"salt".to_vec(), 4096);
    let secrets = [format!("{:?}", keys.stored_key), format!("{:?}", keys.server_key)];
    let first = parse_client_first(&client.client_first()).expect("a valid message");
    let server = Server::new(first, Some(keys.clone()), b"", "nonce");
    for text in [format!("{keys:?}"), format!("{server:?}")] {
        assert!(secrets.iter().all(|secret| !text.contains(secret)), "{text}");
    }
}
