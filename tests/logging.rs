//! The log: a reader that stands still delays no client.

use sparbank_test_support::{listener, open_line, Bench, Peer};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

/// Requests at a time; the node may hold 256 sockets.
const BATCH: u64 = 150;
/// Batches whose trace lines are more than a pipe holds.
const BATCHES: u64 = 4;

/// Nobody reads the node's log, which fills its pipe: every request still gets its answer.
#[test]
fn a_log_that_nobody_reads_delays_no_answer() {
    let servers = vec![listener()];
    let bench = Bench::with_args(PROGRAM, servers, None, &["--trace"], |text| {
        text.replace(r#""lifecycle":"ready""#, r#""lifecycle":"draining""#)
    });
    for batch in 0..BATCHES {
        let numbers = batch * BATCH..(batch + 1) * BATCH;
        let mut clients: Vec<Peer> = numbers.map(|number| bench.connect_client(&open_line(number))).collect();
        for client in &mut clients {
            assert!(client.read_line().starts_with("BUSY"));
        }
    }
    assert_eq!(bench.connect_client("PING").read_line(), "PONG");
}
