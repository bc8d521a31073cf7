//! The public AMQP library `fe2o3_amqp` against the node, as client and as server.

use fe2o3_amqp::acceptor::{
    ConnectionAcceptor, LinkAcceptor, LinkEndpoint, SaslAnonymousMechanism, SessionAcceptor,
};
use fe2o3_amqp::sasl_profile::SaslProfile;
use fe2o3_amqp::types::messaging::{Body, Outcome};
use fe2o3_amqp::types::primitives::Value;
use fe2o3_amqp::{Connection, Receiver, Sender, Session};
use rstest::rstest;
use sparbank_test_support::{listener, node_command, temp_file, TestNode};
use std::net::TcpListener;
use std::time::Duration;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

const CLASS: &str = "live-readings";
const AMQP_SETTINGS: &str = r#"{"listen":"127.0.0.1:0"}"#;

/// Runs a server on the library's acceptors: it accepts every delivery, and sends three readings on each link
/// that receives.
async fn run_server(listener: TcpListener, sasl: bool) {
    listener.set_nonblocking(true).expect("non-blocking");
    let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
    loop {
        let (stream, _) = listener.accept().await.expect("the node connects");
        tokio::spawn(async move {
            let builder = ConnectionAcceptor::builder().container_id("server");
            let connection = if sasl {
                builder.sasl_acceptor(SaslAnonymousMechanism {}).build().accept(stream).await
            } else {
                builder.build().accept(stream).await
            };
            // Without SASL, the node's first connection fails here, and the node connects again.
            let Ok(mut connection) = connection else { return };
            while let Ok(mut session) = SessionAcceptor::new().accept(&mut connection).await {
                tokio::spawn(async move {
                    while let Ok(link) = LinkAcceptor::new().accept(&mut session).await {
                        tokio::spawn(serve_link(link));
                    }
                });
            }
        });
    }
}

async fn serve_link(link: LinkEndpoint) {
    match link {
        LinkEndpoint::Receiver(mut receiver) => {
            while let Ok(delivery) = receiver.recv::<Body<Value>>().await {
                // Long enough for the link to be detached while the request runs.
                tokio::time::sleep(Duration::from_millis(100)).await;
                receiver.accept(&delivery).await.expect("accepted");
            }
        }
        LinkEndpoint::Sender(mut sender) => {
            for n in 0..3u32 {
                let outcome = sender.send(format!("reading {n}")).await.expect("an outcome");
                assert!(matches!(outcome, Outcome::Accepted(_)));
            }
            // The link is attached until one side detaches it.
            std::future::pending::<()>().await;
        }
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().expect("a runtime")
}

/// Fails the test if this future takes longer than 20 s.
async fn with_timeout<T>(work: impl std::future::Future<Output = T>) -> T {
    tokio::time::timeout(Duration::from_secs(20), work).await.expect("done within 20 s")
}

#[rstest]
#[case::server_with_sasl(true)]
#[case::server_without_sasl(false)]
fn the_library_sends_receives_and_resumes_a_link(#[case] sasl: bool) {
    let mut bench = TestNode::start_with_servers(PROGRAM, vec![listener()], Some(AMQP_SETTINGS));
    let addr = bench.amqp_addr.expect("AMQP is on");
    let copy = bench.servers[0].try_clone().expect("a second handle");
    let runtime = runtime();
    runtime.spawn(run_server(copy, sasl));
    runtime.block_on(with_timeout(async {
        let url = format!("amqp://{addr}");
        let mut connection = Connection::open("client", url.as_str()).await.expect("open");
        let mut session = Session::begin(&mut connection).await.expect("begun");
        let mut sender = Sender::attach(&mut session, "sending", CLASS).await.expect("attached");
        for n in 0..5 {
            let outcome = sender.send(format!("reading {n}")).await.expect("an outcome");
            assert!(matches!(outcome, Outcome::Accepted(_)), "{outcome:?}");
        }
        let large = vec![7u8; 300_000];
        let outcome = sender.send(serde_bytes::ByteBuf::from(large)).await.expect("an outcome");
        assert!(matches!(outcome, Outcome::Accepted(_)), "{outcome:?}");
        // A delivery is unsettled when the link is detached; the link is then resumed under its name.
        let unsettled = sender.send_batchable("running").await.expect("sent");
        let detached = sender.detach().await.map_err(|(_, e)| e).expect("detached");
        let mut sender = detached.resume().await.expect("resumed");
        assert!(matches!(unsettled.await.expect("an outcome"), Outcome::Accepted(_)));
        assert!(matches!(sender.send("after").await.expect("an outcome"), Outcome::Accepted(_)));
        sender.close().await.expect("closed");

        let mut receiver = Receiver::attach(&mut session, "receiving", CLASS).await.expect("attached");
        for n in 0..3 {
            let delivery = receiver.recv::<String>().await.expect("a reading");
            assert_eq!(delivery.body(), &format!("reading {n}"));
            receiver.accept(&delivery).await.expect("accepted");
        }
        receiver.close().await.expect("closed");
        session.end().await.expect("ended");
        connection.close().await.expect("closed");
    }));
    let counters = bench.counters();
    // Eight deliveries and one established link, each of them run once.
    assert_eq!([counters["requests"], counters["sent"], counters["served"]], [9, 9, 9]);
}

#[rstest]
#[case::right_password("wind", true)]
#[case::wrong_password("rain", false)]
fn the_library_authenticates_by_plain(#[case] password: &str, #[case] is_accepted: bool) {
    let users = temp_file("users.json", r#"{"users":{}}"#);
    let mut child = node_command(PROGRAM, &["amqp-user", users.to_str().expect("a path"), "anna"], &users)
        .stdin(std::process::Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut stdin = child.stdin.take().expect("standard input");
    std::io::Write::write_all(&mut stdin, b"wind\n").expect("written");
    drop(stdin);
    assert!(child.wait().expect("the program ends").success());
    let settings = format!(
        r#"{{"listen":"127.0.0.1:0","users":{:?},"plain_unencrypted":true}}"#,
        users.to_str().expect("a path")
    );
    let bench = TestNode::start_with_servers(PROGRAM, vec![listener()], Some(&settings));
    let url = format!("amqp://{}", bench.amqp_addr.expect("AMQP is on"));
    runtime().block_on(with_timeout(async {
        let (username, password) = ("anna".to_string(), password.to_string());
        let profile = SaslProfile::Plain { username, password };
        let opened =
            Connection::builder().container_id("client").sasl_profile(profile).open(url.as_str()).await;
        assert_eq!(opened.is_ok(), is_accepted);
        if let Ok(mut connection) = opened {
            connection.close().await.expect("closed");
        }
    }));
}
