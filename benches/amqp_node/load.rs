//! A load: clients that send deliveries of one size, on one or two threads.

use crate::generator::Generator;
use crate::process::cpu_seconds;
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Barrier};
use std::time::Instant;

/// The parameters of a run.
#[derive(Clone)]
pub struct Load {
    /// The address that the clients connect to.
    pub address: SocketAddr,
    pub connections: usize,
    /// The number of deliveries of all clients together.
    pub deliveries: u64,
    /// The encoded message that every delivery carries.
    pub message: Vec<u8>,
    /// The maximum number of unsettled deliveries per client.
    pub max_in_flight: u64,
    /// Deliveries per second of all clients together. None does not limit the rate.
    pub rate: Option<f64>,
}

/// The measurements of a run.
pub struct Run {
    /// The duration from when all links were attached to the end.
    pub seconds: f64,
    /// CPU seconds that the node used in that time.
    pub node_cpu_seconds: f64,
    /// Nanoseconds from the sending of each delivery to its settlement.
    pub latency: Histogram<u64>,
}

/// The state that the threads of a run share.
pub struct Shared {
    /// The number of deliveries that have not been sent.
    pub unsent: AtomicU64,
    /// Holds the threads back until the links of all of them are attached.
    pub all_attached: Barrier,
}

impl Load {
    /// Runs the load and measures the CPU time of the process `pid` during it.
    pub fn run(&self, pid: u32) -> Run {
        let threads = if self.connections == 1 { 1 } else { 2 };
        let unsent = AtomicU64::new(self.deliveries);
        let shared = Arc::new(Shared { unsent, all_attached: Barrier::new(threads + 1) });
        let handles: Vec<_> = (0..threads)
            .map(|thread| {
                let (load, shared) = (self.share_of_thread(thread, threads), shared.clone());
                std::thread::spawn(move || Generator::connect(&load, &shared).run())
            })
            .collect();
        let mut latency = new_histogram();
        shared.all_attached.wait();
        let (started, cpu_before) = (Instant::now(), cpu_seconds(pid));
        for handle in handles {
            latency
                .add(handle.join().expect("a thread of the load generator"))
                .expect("histograms of the same range");
        }
        let seconds = started.elapsed().as_secs_f64();
        Run { seconds, node_cpu_seconds: cpu_seconds(pid) - cpu_before, latency }
    }

    /// Returns the share of one thread: its connections and its part of the rate. The deliveries are not divided, but
    /// taken from [`Shared::unsent`].
    fn share_of_thread(&self, thread: usize, threads: usize) -> Load {
        let remainder = usize::from(thread < self.connections % threads);
        Load {
            connections: self.connections / threads + remainder,
            rate: self.rate.map(|rate| rate / threads as f64),
            ..self.clone()
        }
    }
}

/// Creates a histogram for latencies in nanoseconds.
pub fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("a valid precision")
}
