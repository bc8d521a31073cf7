//! Authentication and authorization of AMQP clients: users, passwords, classes.

use rstest::rstest;
use sparbank_amqp::{condition, Connection, Credentials, Event, SaslRequest, Settings, State, Transfer};
use sparbank_test_support::{
    config, counter_value, listener, message_with_key, node_command, read_until, receive, temp_file,
    AmqpPeer, NextFrame, Peer, Received, TestNode,
};
use sparbank_time::MonotonicTime;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Stdio;
use std::time::{Duration, Instant};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

const CLASS: &str = "live-readings";

/// Writes a users file with one user and its classes by the `amqp-user` sub-command.
fn create_users_file(name: &str, password: &str, classes: &[&str]) -> std::path::PathBuf {
    let path = temp_file("users.json", r#"{"users":{}}"#);
    let mut args = vec!["amqp-user", path.to_str().expect("a path"), name, "--subscriber", "porto-catania"];
    for class in classes {
        args.extend(["--class", class]);
    }
    let mut child =
        node_command(PROGRAM, &args, &path).stdin(Stdio::piped()).spawn().expect("the program starts");
    let mut stdin = child.stdin.take().expect("standard input");
    stdin.write_all(format!("{password}\n").as_bytes()).expect("written");
    drop(stdin);
    assert!(child.wait().expect("the program ends").success());
    let text = std::fs::read_to_string(&path).expect("the file");
    assert!(!text.contains(password), "the file does not contain the password");
    path
}

fn start_bench(users: &std::path::Path) -> TestNode {
    let settings = format!(
        r#"{{"listen":"127.0.0.1:0","users":{:?},"plain_unencrypted":true}}"#,
        users.to_str().expect("a path")
    );
    TestNode::start_with_servers(PROGRAM, vec![listener()], Some(&settings))
}

/// Authenticates by SCRAM-SHA-256 with the client of the AMQP crate; returns whether the node accepts it.
fn authenticates_by_scram(addr: SocketAddr, user: &str, password: &str) -> bool {
    let mut stream = TcpStream::connect(addr).expect("the node listens");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a time-out");
    let (user, password) = (user.to_string(), password.to_string());
    let credentials = Credentials::Scram { user, password, nonce: "fyko+d2lbbFgONRv9qkxdawL".into() };
    let mut conn = Connection::dial(MonotonicTime::ZERO, Settings::default(), Some(credentials));
    let mut input = Vec::new();
    loop {
        stream.write_all(&conn.take_output(MonotonicTime::ZERO)).expect("written");
        let mut chunk = [0; 4096];
        match receive(&mut stream, &mut chunk) {
            Received::Bytes(count) => input.extend(&chunk[..count]),
            Received::Ended => return false,
            Received::Reset => panic!("the node reset the connection"),
        }
        let mut unread = &input[..];
        loop {
            match conn.next_event(MonotonicTime::ZERO, &mut unread) {
                Ok(Some(Event::Opened {})) => return true,
                Ok(Some(Event::SaslRequest(SaslRequest::Anonymous))) => {
                    unreachable!("a server sends no SASL request")
                }
                Ok(Some(_)) => {}
                Ok(None) => break,
                Err(error) => {
                    assert_eq!(error.condition, condition::UNAUTHORIZED_ACCESS);
                    return false;
                }
            }
        }
        let consumed = input.len() - unread.len();
        input.drain(..consumed);
    }
}

#[rstest]
fn plain_and_scram_accept_only_the_right_password() {
    let mut bench = start_bench(&create_users_file("anna", "wind and rain", &[]));
    let addr = bench.amqp_addr.expect("AMQP is on");
    let mut client = AmqpPeer::authenticated(addr, "PLAIN", b"\0anna\0wind and rain").expect("authenticated");
    client.open("c", None, 4096);
    read_until!(client, Open);
    assert!(authenticates_by_scram(addr, "anna", "wind and rain"));
    assert!(!authenticates_by_scram(addr, "anna", "wind"));
    assert!(!authenticates_by_scram(addr, "nobody", "wind and rain"));
    assert_eq!(counter_value(&bench.frontend_counters("amqp"), "logins_refused"), 2);
}

#[rstest]
#[case::wrong_password("PLAIN", b"\0anna\0wrong", true)]
#[case::unknown_user("PLAIN", b"\0nobody\0wind", true)]
#[case::no_user("PLAIN", b"\0\0", true)]
#[case::malformed_plain_response("PLAIN", b"anna", false)]
#[case::anonymous("ANONYMOUS", b"", false)]
#[case::mechanism_not_offered("CRAM-MD5", b"", false)]
fn failed_authentication_is_refused_and_wrong_passwords_are_delayed(
    #[case] mechanism: &str,
    #[case] response: &[u8],
    #[case] is_delayed: bool,
) {
    let bench = start_bench(&create_users_file("anna", "wind", &[]));
    let started = Instant::now();
    let code = AmqpPeer::authenticated(bench.amqp_addr.expect("AMQP is on"), mechanism, response).err();
    assert_eq!(code, Some(1));
    assert_eq!(started.elapsed() >= Duration::from_secs(1), is_delayed);
}

#[rstest]
fn a_connection_without_sasl_is_refused_where_users_are_configured() {
    let bench = start_bench(&create_users_file("anna", "wind", &[]));
    let mut peer = Peer::connect(bench.amqp_addr.expect("AMQP is on"));
    peer.send("AMQP\u{0}\u{1}\u{0}\u{0}");
    let mut header = [0; 8];
    peer.read_exact(&mut header);
    assert_eq!(&header, b"AMQP\x03\x01\x00\x00", "the node answers with the header that it expects");
    peer.expect_closed();
}

#[rstest]
fn a_user_attaches_to_its_classes_only() {
    let bench = start_bench(&create_users_file("anna", "wind", &[CLASS]));
    let mut client = AmqpPeer::authenticated(bench.amqp_addr.expect("AMQP is on"), "PLAIN", b"\0anna\0wind")
        .expect("authenticated");
    client.open("c", None, 4096);
    read_until!(client, Open);
    client.begin(None, 100);
    read_until!(client, Begin);
    let detach = client.attach_sender("station-notes").expect_err("not a class of this user");
    assert_eq!(detach.error.expect("an error").condition, condition::UNAUTHORIZED_ACCESS);
    client.send_performative(sparbank_amqp::Detach { handle: Some(0), closed: Some(true), error: None });
    let source = sparbank_amqp::Source { address: Some("station-notes".into()), ..Default::default() };
    let detach = client.attach_receiver(4, source).expect_err("nor for receiving");
    assert_eq!(detach.error.expect("an error").condition, condition::UNAUTHORIZED_ACCESS);
    assert!(client.attach_sender(CLASS).expect("a class of this user") > 0);
}

/// Starts a server that accepts all deliveries of one connection.
fn accept_all_deliveries(listener: TcpListener) {
    std::thread::spawn(move || {
        let mut server = AmqpPeer::server(Peer::accept(&listener), 1000, 65536);
        server.accept_sending_link(1000, 1000);
        while let NextFrame::Body(body, _) = server.read_frame() {
            if let sparbank_amqp::Performative::Transfer(Transfer { delivery_id: Some(id), .. }) = *body {
                server.settle(id, State::Accepted);
            }
        }
    });
}

/// A hundred simultaneous password guesses do not delay the deliveries of an authenticated client.
#[rstest]
fn password_guessing_does_not_delay_authenticated_clients() {
    let settings = format!(
        r#"{{"listen":"127.0.0.1:0","users":{:?},"plain_unencrypted":true}}"#,
        create_users_file("anna", "wind", &[]).to_str().expect("a path")
    );
    let bench = TestNode::start_with_args(PROGRAM, vec![listener()], Some(&settings), &[], |text| {
        text.replace(r#""sockets":256"#, r#""sockets":600"#)
    });
    let addr = bench.amqp_addr.expect("AMQP is on");
    let mut client = AmqpPeer::authenticated(addr, "PLAIN", b"\0anna\0wind").expect("authenticated");
    client.open("c", None, 4096);
    read_until!(client, Open);
    client.begin(None, 1000);
    read_until!(client, Begin);
    assert!(client.attach_sender(CLASS).expect("the class is known") > 0);
    let mut guessing_peers: Vec<Peer> = (0..100).map(|_| Peer::connect(addr)).collect();
    let init = sparbank_amqp::SaslInit {
        mechanism: Some(sparbank_amqp::Symbol("PLAIN".into())),
        initial_response: Some(b"\0anna\0guess".to_vec()),
        hostname: None,
    };
    let mut bytes = b"AMQP\x03\x01\x00\x00".to_vec();
    sparbank_amqp::write_frame(&mut bytes, sparbank_amqp::SASL, 0, Some(&init.into()), &[]);
    for peer in &mut guessing_peers {
        peer.stream.write_all(&bytes).expect("written");
    }
    accept_all_deliveries(bench.servers[0].try_clone().expect("a second handle"));
    for id in 0..20 {
        client.send_on_first_link(id, &message_with_key(1000, "7f3a", b"reading"));
        assert_eq!(
            read_until!(client, Disposition).0.state,
            Some(State::Accepted),
            "within the ttl of one second"
        );
    }
}

#[rstest]
#[case::missing_file("nowhere.json", "nowhere.json")]
#[case::invalid_key("", "users.anna.stored_key")]
fn an_invalid_users_file_is_named_in_the_error(#[case] path: &str, #[case] named: &str) {
    let path = if path.is_empty() {
        let invalid =
            r#"{"users":{"anna":{"salt":"AA==","rounds":4096,"stored_key":"!","server_key":"AA=="}}}"#;
        temp_file("users.json", invalid).to_str().expect("a path").to_string()
    } else {
        path.to_string()
    };
    let amqp = temp_file("amqp.json", &format!(r#"{{"users":{path:?}}}"#));
    let node = temp_file("node.json", &config(listener().local_addr().expect("bound"), "", 256));
    let args = ["check-config", "--amqp", amqp.to_str().expect("a path")];
    let output = node_command(PROGRAM, &args, &node).output().expect("the program runs");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).expect("text");
    assert!(text.contains(named) && text.lines().count() == 1, "{text}");
}
