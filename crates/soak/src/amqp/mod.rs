//! The AMQP family of the soak test: one node whose clients send, receive and resume over AMQP, beside clients that do not
//! complete their messages, lost connections, servers that drain, and restarts of the node.
//!
//! Clients and servers run in threads of their own and report what they see to the [`History`](history::History), which
//! checks the rules at the end.

mod half_messages;
mod history;
mod node_address;
mod sender;
mod server;
mod subscriber;
mod wire;

use crate::schedule::{Fault, Schedule, ScheduledFault, SignalSeries};
use crate::{Options, Report};
use half_messages::StopsWithin;
use history::{Effect, History};
use node_address::NodeAddress;
use sender::{Loss, SenderOptions};
use server::Server;
use sparbank_test_support::invariants::Rule;
use sparbank_test_support::watch_protocol::chunk;
use sparbank_test_support::{listener, Peer, Signal, TestNode};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const SERVERS: usize = 5;
const READ_LIKE_CLASS: &str = "live-readings";
const NON_IDEMPOTENT_CLASS: &str = "station-notes";
const AMQP_SETTINGS: &str = r#"{"listen":"127.0.0.1:0","max_held":400000,"server_idle_ms":20000}"#;
/// How often discovery sends an empty line, so that the node does not take its watch for silent.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);
/// After this time the node may be killed: the longest deadline of a request, and 0.7 s.
const EXIT_WITHIN: Duration = Duration::from_millis(1_900);
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a server drains.
const DRAIN: Duration = Duration::from_millis(700);

/// One run of the family.
struct Environment {
    bench: TestNode,
    watch: Peer,
    node: Arc<NodeAddress>,
    servers: Vec<Arc<Server>>,
    history: Arc<History>,
    /// Set when the clients send nothing new any more.
    stop: Arc<AtomicBool>,
    /// Set when the clients have their last answers.
    servers_stop: Arc<AtomicBool>,
    /// Notifies the clients that resume their links of losses.
    losses: Vec<Sender<Loss>>,
    clients: Vec<JoinHandle<()>>,
    /// Servers that are ready again at this time.
    draining: Vec<(Instant, usize)>,
}

/// Runs one schedule to its end.
pub fn run(options: &Options, schedule: &Schedule) -> Report {
    let mut environment = Environment::start(options, schedule.seed);
    environment.start_clients();
    let started_at = Instant::now();
    for scheduled in &schedule.faults {
        environment.wait_until(started_at + Duration::from_millis(scheduled.at_ms));
        environment.inject(scheduled);
    }
    environment.wait_until(started_at + Duration::from_millis(schedule.end_ms()));
    environment.finish(schedule)
}

impl Environment {
    fn start(options: &Options, seed: u64) -> Environment {
        let program = options.program.to_str().expect("the path of the program is UTF-8");
        let listeners = (0..SERVERS).map(|_| listener()).collect();
        let mut bench = TestNode::start_with_servers(program, listeners, Some(AMQP_SETTINGS));
        let watch = bench.accept_watch();
        let history = Arc::new(History::new());
        let [stop, servers_stop] = [(); 2].map(|()| Arc::new(AtomicBool::new(false)));
        let start_server = |(index, listener): (usize, &std::net::TcpListener)| {
            let server = Arc::new(Server::new(index, seed, history.clone(), servers_stop.clone()));
            server.clone().serve(listener.try_clone().expect("a second handle"));
            server
        };
        let servers = bench.servers.iter().enumerate().map(start_server).collect();
        let node = Arc::new(NodeAddress::new(amqp_address(&bench)));
        let (losses, clients, draining) = (Vec::new(), Vec::new(), Vec::new());
        Environment { bench, watch, node, servers, history, stop, servers_stop, losses, clients, draining }
    }

    fn start_clients(&mut self) {
        for number in 0..2 {
            self.start_sender(number, READ_LIKE_CLASS, Effect::ReadLike, false);
        }
        self.start_sender(2, READ_LIKE_CLASS, Effect::ReadLike, true);
        self.start_sender(3, NON_IDEMPOTENT_CLASS, Effect::NonIdempotent, true);
        let (node, history, stop) = (self.node.clone(), self.history.clone(), self.stop.clone());
        let subscriber = move || subscriber::run(&node, NON_IDEMPOTENT_CLASS, &history, &stop);
        self.clients.push(std::thread::spawn(subscriber));
    }

    fn start_sender(&mut self, number: usize, class: &'static str, effect: Effect, resumes: bool) {
        let losses = resumes.then(|| {
            let (sender, receiver) = channel();
            self.losses.push(sender);
            receiver
        });
        let options = SenderOptions { number, node: self.node.clone(), class, effect, losses };
        let (history, stop) = (self.history.clone(), self.stop.clone());
        self.clients.push(std::thread::spawn(move || sender::run(&options, &history, &stop)));
    }

    fn inject(&mut self, scheduled: &ScheduledFault) {
        let ScheduledFault { fault, target, .. } = *scheduled;
        let server = target as usize % SERVERS;
        match fault {
            Fault::HalfHeads => self.start_half_messages(StopsWithin::Head),
            Fault::HalfBodies => self.start_half_messages(StopsWithin::Body),
            Fault::ConnectionsLost => self.lose_connections(Loss::Noticed),
            Fault::ConnectionsLostLate => self.lose_connections(Loss::NoticedLate),
            Fault::ConnectionsLostTwice => self.lose_connections(Loss::Twice),
            Fault::Drain => {
                self.bench.update_lifecycle(&mut self.watch, server, "draining");
                self.draining.push((Instant::now() + DRAIN, server));
            }
            Fault::Kill => {
                self.node.set_down();
                self.restart_node();
            }
            Fault::ShutDown(series) => self.shut_down_node(series, scheduled.signal_interval()),
            Fault::SessionsReset => self.servers[server].reset_connections(),
            _ => unreachable!("{fault:?} is not a fault of this family"),
        }
    }

    /// Shuts the node down by a series of signals, and starts it again once it has exited.
    fn shut_down_node(&mut self, series: SignalSeries, interval: Duration) {
        self.node.set_down();
        if series == SignalSeries::ReloadTerminate {
            self.bench.signal(Signal::HUP);
            std::thread::sleep(interval);
        }
        self.bench.signal(Signal::TERM);
        let sent_at = Instant::now();
        if series == SignalSeries::TerminateTwice {
            std::thread::sleep(interval);
            self.bench.signal(Signal::TERM);
        }
        self.check_exit(sent_at);
        self.restart_node();
    }

    /// Waits until the node has exited after SIGTERM, but not beyond the time at which it may be killed.
    fn check_exit(&mut self, sent_at: Instant) {
        while sent_at.elapsed() < EXIT_WITHIN {
            if let Some(status) = self.bench.process.try_wait() {
                if !status.success() {
                    self.history.report(Rule::Crash, format!("the node failed: {status}"));
                }
                return;
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
        self.history.report(Rule::Exit, format!("no exit within {EXIT_WITHIN:?} after SIGTERM"));
    }

    /// Kills the node, unless it has exited, and starts it again, without the state that it had.
    fn restart_node(&mut self) {
        self.bench.kill_and_restart();
        self.watch = self.bench.accept_watch();
        for (_, server) in &self.draining {
            self.bench.update_lifecycle(&mut self.watch, *server, "draining");
        }
        self.node.set_up(amqp_address(&self.bench));
    }

    fn start_half_messages(&mut self, stops_within: StopsWithin) {
        let (node, stop) = (self.node.clone(), self.stop.clone());
        let client = move || half_messages::run(&node, READ_LIKE_CLASS, stops_within, &stop);
        self.clients.push(std::thread::spawn(client));
    }

    fn lose_connections(&self, loss: Loss) {
        for client in &self.losses {
            // A client that has ended early has reported why.
            let _ = client.send(loss);
        }
    }

    fn wait_until(&mut self, at: Instant) {
        while Instant::now() < at {
            std::thread::sleep(WATCH_INTERVAL.min(at.saturating_duration_since(Instant::now())));
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.watch.send(&chunk(""));
        let now = Instant::now();
        let ready: Vec<_> = self.draining.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, server) in ready {
            self.bench.update_lifecycle(&mut self.watch, server, "ready");
        }
    }

    /// Stops the clients once they have their last answers, and checks the rules.
    fn finish(mut self, schedule: &Schedule) -> Report {
        self.stop_clients();
        let violations = self.history.finish();
        let totals = self.history.totals();
        self.bench.stop();
        Report {
            seed: schedule.seed,
            schedule: schedule.clone(),
            violations,
            requests: totals.requests,
            served: totals.served,
        }
    }

    fn stop_clients(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        while self.clients.iter().any(|client| !client.is_finished()) {
            std::thread::sleep(WATCH_INTERVAL);
            self.tick();
        }
        for client in self.clients.drain(..) {
            client.join().expect("a client panicked");
        }
        self.servers_stop.store(true, Ordering::Relaxed);
    }
}

fn amqp_address(bench: &TestNode) -> SocketAddr {
    bench.amqp_addr.expect("the AMQP frontend is on")
}
