//! Unit tests of a client's output, with rustls at the other end.

use super::Client;
use crate::frontend::tls::TlsConnection;
use rcgen::{CertificateParams, KeyPair};
use rustls::pki_types::{PrivateKeyDer, ServerName};
use rustls::{ClientConfig, ClientConnection, RootCertStore, ServerConfig};
use sparbank_amqp::{Connection, Settings};
use sparbank_time::MonotonicTime;
use std::io::Read;
use std::sync::Arc;

/// The length of a TLS record's header: its type, version and length.
const RECORD_HEADER_BYTES: usize = 5;
const AMQP_HEADER: &[u8] = b"AMQP\x00\x01\x00\x00";

/// Both ends of a TLS connection that have not exchanged anything.
fn tls_pair() -> (TlsConnection, ClientConnection) {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let key = KeyPair::generate().expect("a key");
    let params = CertificateParams::new(vec!["node.test".to_string()]).expect("a name");
    let certificate = params.self_signed(&key).expect("signed").der().clone();
    let key = PrivateKeyDer::try_from(key.serialize_der()).expect("a key");
    let server = ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .expect("supported versions")
        .with_no_client_auth()
        .with_single_cert(vec![certificate.clone()], key)
        .expect("a certificate and its key");
    let mut roots = RootCertStore::empty();
    roots.add(certificate).expect("a root");
    let client = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("supported versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let name = ServerName::try_from("node.test").expect("a name");
    let client = ClientConnection::new(Arc::new(client), name).expect("a client");
    (TlsConnection::new(&Arc::new(server)).expect("a server"), client)
}

/// Passes the peer's pending output to the client. Returns the plaintext.
fn receive(client: &mut Client, peer: &mut ClientConnection) -> Vec<u8> {
    let mut octets = Vec::new();
    while peer.wants_write() {
        peer.write_tls(&mut octets).expect("a vector takes everything");
    }
    client.decrypt(&mut octets).expect("valid TLS");
    octets
}

/// Splits octets after each TLS record.
fn records(mut octets: &[u8]) -> Vec<&[u8]> {
    let mut records = Vec::new();
    while !octets.is_empty() {
        let length = usize::from(u16::from_be_bytes([octets[3], octets[4]]));
        let (record, rest) = octets.split_at(RECORD_HEADER_BYTES + length);
        records.push(record);
        octets = rest;
    }
    records
}

/// A close_notify alert that precedes the last answer truncates it: peers must ignore what follows the alert.
#[test]
fn the_last_output_precedes_the_close_notify() {
    let (tls, mut peer) = tls_pair();
    let conn = Connection::accept(MonotonicTime::ZERO, Settings::default(), None);
    let mut client = Client::new(conn, Some(tls), None);
    while peer.is_handshaking() {
        receive(&mut client, &mut peer);
        let out = client.take_output(MonotonicTime::ZERO);
        peer.read_tls(&mut &out[..]).expect("a slice can be read");
        peer.process_new_packets().expect("valid TLS");
    }
    receive(&mut client, &mut peer);
    let mut header = AMQP_HEADER;
    client.conn.next_event(MonotonicTime::ZERO, &mut header).expect("a valid header");
    let mut received = Vec::new();
    let mut closed_after = None;
    for record in records(&client.take_final_output(MonotonicTime::ZERO)) {
        peer.read_tls(&mut &*record).expect("a slice can be read");
        let state = peer.process_new_packets().expect("valid TLS");
        let mut plaintext = vec![0; state.plaintext_bytes_to_read()];
        peer.reader().read_exact(&mut plaintext).expect("all of it is available");
        received.extend(plaintext);
        if state.peer_has_closed() {
            closed_after.get_or_insert(received.clone());
        }
    }
    assert_eq!(closed_after.as_deref(), Some(AMQP_HEADER), "the answer to the header, then the alert");
}
