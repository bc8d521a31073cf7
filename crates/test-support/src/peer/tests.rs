use super::{Peer, Received};
use crate::child_command::child_command;
use crate::listeners::listener;
use crate::process::ChildProcess;
use std::thread;

/// More readers than the kernel has other threads of this process to choose from for a signal.
const READERS: usize = 16;
/// Enough that several children end while another one is spawned, which is when their SIGCHLD interrupts other threads.
const SPAWNING_THREADS: usize = 8;
const CHILDREN_PER_THREAD: usize = 60;

/// Starts and ends child processes from several threads, as parallel tests do.
fn run_children() {
    thread::scope(|scope| {
        for _ in 0..SPAWNING_THREADS {
            scope.spawn(|| {
                for _ in 0..CHILDREN_PER_THREAD {
                    ChildProcess::spawn(child_command("true")).wait();
                }
            });
        }
    });
}

#[test]
fn reads_that_are_interrupted_by_the_end_of_a_child_process_go_on() {
    let listener = listener();
    let address = listener.local_addr().expect("an address");
    let (mut writers, mut reads) = (Vec::new(), Vec::new());
    for _ in 0..READERS {
        let mut reader = Peer::connect(address);
        writers.push(Peer::accept(&listener));
        reads.push(thread::spawn(move || reader.receive(&mut [0; 16])));
    }
    run_children();
    for (writer, read) in writers.iter_mut().zip(reads) {
        writer.send("late");
        assert_eq!(read.join().expect("the read has not failed"), Received::Bytes(4));
    }
}

#[test]
fn an_end_and_a_reset_are_received_as_such() {
    let listener = listener();
    let connect = || {
        let client = Peer::connect(listener.local_addr().expect("an address"));
        (client, Peer::accept(&listener))
    };
    let (mut client, server) = connect();
    drop(server);
    assert_eq!(client.receive(&mut [0; 16]), Received::Ended);
    let (mut client, server) = connect();
    server.reset();
    assert_eq!(client.receive(&mut [0; 16]), Received::Reset);
}
