//! The load: clients that send deliveries of one size, on one or two threads.

use crate::generator::Generator;
use crate::process::cpu_seconds;
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Barrier};
use std::time::Instant;

/// What the clients of one run send.
#[derive(Clone)]
pub struct Load {
    /// Where they connect.
    pub address: SocketAddr,
    pub connections: usize,
    /// Deliveries of all clients together.
    pub deliveries: u64,
    /// The message that each delivery is.
    pub message: Vec<u8>,
    /// The most unanswered deliveries of one client.
    pub max_in_flight: u64,
    /// Deliveries a second of all clients together; none for as many as they can.
    pub rate: Option<f64>,
}

/// How a run went.
pub struct Run {
    /// From when all links were attached.
    pub seconds: f64,
    /// CPU seconds of the node in that time.
    pub node_cpu_seconds: f64,
    /// Nanoseconds from the sending of a delivery to its answer.
    pub latency: Histogram<u64>,
}

/// What the threads of a run share.
pub struct Shared {
    /// Deliveries that no client has sent.
    pub unsent: AtomicU64,
    /// Passed once the links of all threads are attached.
    pub all_attached: Barrier,
}

impl Load {
    /// Runs the load, and measures the process `pid` meanwhile.
    pub fn run(&self, pid: u32) -> Run {
        let threads = if self.connections == 1 { 1 } else { 2 };
        let unsent = AtomicU64::new(self.deliveries);
        let shared = Arc::new(Shared { unsent, all_attached: Barrier::new(threads + 1) });
        let handles: Vec<_> = (0..threads)
            .map(|thread| {
                let (load, shared) = (self.of_thread(thread, threads), shared.clone());
                std::thread::spawn(move || Generator::connect(&load, &shared).run())
            })
            .collect();
        let mut latency = new_histogram();
        shared.all_attached.wait();
        let (started, cpu_before) = (Instant::now(), cpu_seconds(pid));
        for handle in handles {
            latency.add(handle.join().expect("a client's thread")).expect("alike");
        }
        let seconds = started.elapsed().as_secs_f64();
        Run { seconds, node_cpu_seconds: cpu_seconds(pid) - cpu_before, latency }
    }

    /// The part of one of the threads.
    fn of_thread(&self, thread: usize, threads: usize) -> Load {
        let remainder = usize::from(thread < self.connections % threads);
        Load {
            connections: self.connections / threads + remainder,
            rate: self.rate.map(|rate| rate / threads as f64),
            ..self.clone()
        }
    }
}

/// A histogram of latencies.
pub fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("a histogram")
}
