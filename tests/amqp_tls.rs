//! AMQP under TLS: by rustls from both ends, with certificates made for the test.

use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use rstest::{fixture, rstest};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned};
use sparbank_amqp::{Connection, Credentials, Event, Settings};
use sparbank_test_support::{listener, log_field, node_command, temp_file, AmqpPeer, Bench, Peer, Signal};
use sparbank_time::MonotonicTime;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

/// An authority, and what it signed.
struct Keys {
    authority: CertifiedIssuer<'static, KeyPair>,
    folder: PathBuf,
}

impl Keys {
    fn sign(&self, name: &str) -> (CertificateDer<'static>, PrivateKeyDer<'static>, String, String) {
        let key = KeyPair::generate().expect("a key");
        let params = CertificateParams::new(vec![name.to_string()]).expect("a name");
        let cert = params.signed_by(&key, &self.authority).expect("signed");
        let der = PrivateKeyDer::try_from(key.serialize_der()).expect("a key");
        (cert.der().clone(), der, cert.pem(), key.serialize_pem())
    }

    /// A certificate of the node's, where its configuration looks for it.
    fn renew(&self, name: &str) {
        let (_, _, cert, key) = self.sign(name);
        std::fs::write(self.folder.join("node.pem"), cert).expect("written");
        std::fs::write(self.folder.join("node.key"), key).expect("written");
    }
}

#[fixture]
fn keys() -> Keys {
    let mut params = CertificateParams::new(Vec::new()).expect("no names");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority =
        CertifiedIssuer::self_signed(params, KeyPair::generate().expect("a key")).expect("signed");
    let folder = temp_file("keys", "");
    std::fs::remove_file(&folder).expect("its name is free");
    std::fs::create_dir(&folder).expect("a folder");
    std::fs::write(folder.join("ca.pem"), authority.pem()).expect("written");
    let keys = Keys { authority, folder };
    keys.renew("node.test");
    keys
}

impl Drop for Keys {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A node with TLS, and where it listens for it.
fn bench(folder: &Path, more: &str) -> (Bench, SocketAddr) {
    let at = |name: &str| folder.join(name).to_str().expect("a path").to_string();
    let tls = format!(
        r#"{{"listen":"127.0.0.1:0","certificate":{:?},"key":{:?},"client_ca":{:?}}}"#,
        at("node.pem"),
        at("node.key"),
        at("ca.pem")
    );
    let on = format!(r#"{{"listen":"127.0.0.1:0","tls":{tls}{more}}}"#);
    let bench = Bench::with(PROGRAM, vec![listener()], Some(&on));
    let addr = log_field(&bench.amqp_line, "tls_listen").parse().expect("an address");
    (bench, addr)
}

/// Opens a connection under TLS; the reason where it cannot.
fn open(
    keys: &Keys,
    addr: SocketAddr,
    name: &str,
    client: Option<&str>,
    credentials: Credentials,
) -> Result<StreamOwned<ClientConnection, TcpStream>, String> {
    let config = client_config(keys, client);
    let name = ServerName::try_from(name.to_string()).expect("a name");
    let conn = ClientConnection::new(Arc::new(config), name).expect("a client");
    let stream = TcpStream::connect(addr).expect("it listens");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a time-out");
    let mut stream = StreamOwned::new(conn, stream);
    open_amqp(&mut stream, credentials)?;
    Ok(stream)
}

/// The client's side of TLS, with the certificate of this client if one is named.
fn client_config(keys: &Keys, client: Option<&str>) -> ClientConfig {
    let mut roots = RootCertStore::empty();
    roots.add(keys.authority.der().clone()).expect("a root");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let builder = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("versions")
        .with_root_certificates(roots);
    match client {
        None => builder.with_no_client_auth(),
        Some(name) => {
            let (cert, key, ..) = keys.sign(name);
            builder.with_client_auth_cert(vec![cert], key).expect("a pair")
        }
    }
}

/// Opens an AMQP connection on a stream under TLS; the reason where it cannot.
fn open_amqp(
    stream: &mut StreamOwned<ClientConnection, TcpStream>,
    credentials: Credentials,
) -> Result<(), String> {
    let mut amqp = Connection::dial(MonotonicTime::ZERO, Settings::default(), Some(credentials));
    let mut input = Vec::new();
    loop {
        stream.write_all(&amqp.take_output(MonotonicTime::ZERO)).map_err(|e| e.to_string())?;
        let mut chunk = [0; 4096];
        let count = stream.read(&mut chunk).map_err(|e| e.to_string())?;
        if count == 0 {
            return Err("ended".into());
        }
        input.extend(&chunk[..count]);
        let mut left = &input[..];
        while let Some(event) =
            amqp.next_event(MonotonicTime::ZERO, &mut left).map_err(|e| e.condition.to_string())?
        {
            if matches!(event, Event::Opened {}) {
                return Ok(());
            }
        }
        let taken = input.len() - left.len();
        input.drain(..taken);
    }
}

fn users(keys: &Keys) -> String {
    let path = keys.folder.join("users.json");
    let mut child = node_command(PROGRAM, &["amqp-user", path.to_str().expect("a path"), "anna.test"], &path)
        .stdin(std::process::Stdio::piped())
        .spawn()
        .expect("it starts");
    child.stdin.take().expect("its input").write_all(b"wind\n").expect("written");
    assert!(child.wait().expect("it ends").success());
    format!(r#","users":{:?}"#, path.to_str().expect("a path"))
}

#[rstest]
fn a_certificate_is_a_user_by_external_and_a_password_may_come_under_tls(keys: Keys) {
    let (_bench, addr) = bench(&keys.folder, &users(&keys));
    let external = || Credentials::External;
    assert!(open(&keys, addr, "node.test", Some("anna.test"), external()).is_ok());
    let unknown = open(&keys, addr, "node.test", Some("nobody.test"), external()).err();
    assert_eq!(unknown.as_deref(), Some("amqp:unauthorized-access"));
    let none = open(&keys, addr, "node.test", None, external()).err();
    assert_eq!(none.as_deref(), Some("amqp:unauthorized-access"));
    let plain = Credentials::Plain { user: "anna.test".into(), password: "wind".into() };
    assert!(open(&keys, addr, "node.test", None, plain).is_ok());
}

#[rstest]
fn plain_is_not_offered_without_tls(keys: Keys) {
    let (bench, _) = bench(&keys.folder, &users(&keys));
    let refused = AmqpPeer::known(bench.amqp.expect("on"), "PLAIN", b"\0anna.test\0wind").err();
    assert_eq!(refused, Some(1));
}

#[rstest]
fn certificates_are_reloaded_on_sighup_and_open_connections_stay(keys: Keys) {
    let (mut bench, addr) = bench(&keys.folder, "");
    let mut old = open(&keys, addr, "node.test", None, Credentials::Anonymous).expect("the first name");
    keys.renew("renewed.test");
    bench.signal(Signal::HUP);
    bench.wait_for_log("configuration reloaded");
    assert!(open(&keys, addr, "renewed.test", None, Credentials::Anonymous).is_ok());
    assert!(open(&keys, addr, "node.test", None, Credentials::Anonymous).is_err());
    // The old connection still beats, or is closed politely when it has been silent too long.
    let mut received = [0; 64];
    assert!(old.read(&mut received).expect("it is not broken") > 0);
}

#[rstest]
fn an_invalid_certificate_is_rejected_and_named_in_the_log(keys: Keys) {
    let (mut bench, addr) = bench(&keys.folder, "");
    std::fs::write(keys.folder.join("node.pem"), "not a certificate").expect("written");
    bench.signal(Signal::HUP);
    let line = bench.wait_for_log("configuration reload rejected");
    assert!(line.contains("field tls.certificate"), "{line}");
    assert!(open(&keys, addr, "node.test", None, Credentials::Anonymous).is_ok());
}

#[rstest]
#[case::amqp_in_the_clear(b"AMQP\x03\x01\x00\x00".to_vec())]
#[case::noise(vec![0x16; 4000])]
#[case::a_record_that_never_ends(vec![0x16, 3, 1, 0x40, 0])]
fn what_is_not_tls_is_closed_within_three_seconds(keys: Keys, #[case] bytes: Vec<u8>) {
    let (_bench, addr) = bench(&keys.folder, "");
    let mut peer = Peer::connect(addr);
    let _ = peer.stream.write_all(&bytes);
    peer.drain_until_closed(Duration::from_secs(3));
}
