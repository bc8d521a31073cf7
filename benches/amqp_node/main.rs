//! Load benchmark of the AMQP frontend: `cargo bench --bench amqp_node [-- QUICK]`. Runs the built program between
//! stand-in servers and clients on loopback. The cost is the CPU time of the node's process alone, as the kernel
//! reports it.
//!
//! Prints CPU seconds per 100,000 deliveries of 256 octets at 1, 64 and 1,000 connections, CPU seconds per GB of 64
//! KiB messages, the latency at half load through the node and, in the same run, from the same clients to a server
//! directly, and the memory at 1,000 connections of 4 links.

mod generator;
mod load;
mod memory;
mod node;
mod peer;
mod poller;
mod process;
mod server;

use hdrhistogram::Histogram;
use load::Load;
use node::Node;
use sparbank_test_support::{listener, message_with_key};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The class of all deliveries.
const CLASS: &str = "live-readings";
const SERVERS: usize = 4;
/// The numbers of connections at which the cost is measured.
const CONNECTIONS: [usize; 3] = [1, 64, 1000];
/// Deliveries per second while the latency is measured.
const LATENCY_RATE: f64 = 20_000.0;

fn main() {
    let is_quick = std::env::args().any(|argument| argument.eq_ignore_ascii_case("quick"));
    let deliveries = if is_quick { 20_000 } else { 200_000 };
    let stop = Arc::new(AtomicBool::new(false));
    let servers = start_servers(&stop);
    let server_address = servers[0].local_addr().expect("bound");
    let node = Node::start(servers);
    let message = message_with_key(60_000, "7f3a", &[7; 200]);
    println!("{} octets per message, {SERVERS} servers", message.len());
    let small =
        Load { address: node.address, connections: 4, deliveries, message, max_in_flight: 64, rate: None };
    Load { deliveries: deliveries / 10, ..small.clone() }.run(node.pid);
    print_cost_of_deliveries(&node, &small);
    print_cost_of_octets(&node, if is_quick { 1_000 } else { 8_000 });
    print_latency(&node, server_address, &small);
    drop(node);
    memory::print_memory();
    stop.store(true, Ordering::Relaxed);
}

fn start_servers(stop: &Arc<AtomicBool>) -> Vec<TcpListener> {
    let servers: Vec<TcpListener> = (0..SERVERS).map(|_| listener()).collect();
    for server in &servers {
        let (server, stop) = (server.try_clone().expect("duplicate the listener"), stop.clone());
        std::thread::spawn(move || server::serve(server, stop));
    }
    servers
}

fn print_cost_of_deliveries(node: &Node, small: &Load) {
    // First a fixed number of deliveries in flight per connection, then a fixed total of at most 256 per connection.
    let fixed_per_connection = CONNECTIONS.map(|count| (count, 16));
    let fixed_total = CONNECTIONS.map(|count| (count, (4096 / count as u64).clamp(1, 256)));
    for (connections, max_in_flight) in fixed_per_connection.into_iter().chain(fixed_total) {
        let load = Load { connections, max_in_flight, ..small.clone() };
        let run = load.run(node.pid);
        let (deliveries, cpu) = (load.deliveries as f64, run.node_cpu_seconds);
        println!(
            "{connections:>5} connections, {max_in_flight:>3} in flight on each: {:.3} CPU s per 100,000 deliveries ({:.0} per CPU second), {:.0} per second",
            cpu * 100_000.0 / deliveries,
            deliveries / cpu,
            deliveries / run.seconds
        );
    }
}

fn print_cost_of_octets(node: &Node, deliveries: u64) {
    let message = message_with_key(60_000, "7f3a", &vec![7; 64 * 1024]);
    let gigabytes = deliveries as f64 * message.len() as f64 / 1e9;
    let load =
        Load { address: node.address, connections: 64, deliveries, message, max_in_flight: 2, rate: None };
    let run = load.run(node.pid);
    println!(
        "64 KiB messages: {:.2} CPU s per GB, {:.2} GB per second",
        run.node_cpu_seconds / gigabytes,
        gigabytes / run.seconds
    );
}

fn print_latency(node: &Node, server_address: SocketAddr, small: &Load) {
    let through_node =
        Load { connections: 64, deliveries: small.deliveries / 4, rate: Some(LATENCY_RATE), ..small.clone() };
    let direct = Load { address: server_address, ..through_node.clone() };
    let through_node = through_node.run(node.pid).latency;
    let direct = direct.run(node.pid).latency;
    for quantile in [0.5, 0.99, 0.999] {
        let milliseconds = |latency: &Histogram<u64>| latency.value_at_quantile(quantile) as f64 / 1e6;
        println!(
            "p{:<5} at {LATENCY_RATE:.0} per second: {:.2} ms through the node, {:.2} ms to a server directly",
            quantile * 100.0,
            milliseconds(&through_node),
            milliseconds(&direct)
        );
    }
}
