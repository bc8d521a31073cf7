//! The log: a reader that does not read its pipe delays no client.

use sparbank_test_support::{listener, request_line, Peer, TestNode};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

/// Requests that are open at once. The node may hold 256 sockets.
const BATCH: u64 = 150;
/// Enough batches that their trace lines exceed the capacity of a pipe.
const BATCHES: u64 = 4;

/// The pipe of the node's log is full because the test does not read it. Every request still gets its answer.
#[test]
fn a_log_that_nobody_reads_delays_no_answer() {
    let servers = vec![listener()];
    let bench = TestNode::start_with_args(PROGRAM, servers, None, &["--trace"], |text| {
        text.replace(r#""lifecycle":"ready""#, r#""lifecycle":"draining""#)
    });
    for batch in 0..BATCHES {
        let numbers = batch * BATCH..(batch + 1) * BATCH;
        let mut clients: Vec<Peer> =
            numbers.map(|number| bench.connect_client(&request_line(number))).collect();
        for client in &mut clients {
            assert!(client.read_line().starts_with("BUSY"));
        }
    }
    assert_eq!(bench.connect_client("PING").read_line(), "PONG");
}
