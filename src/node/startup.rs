//! Start-up: opens the sockets and builds the parts of a prepared node, in a fixed order.

use super::admin::AdminHandler;
use super::clock::Clock;
use super::configuration::Configuration;
use super::drain::DrainManager;
use super::endpoint_watch::EndpointWatch;
use super::event_loop::Node;
use super::executor::Executor;
use super::frontend_host::FrontendHost;
use super::handover::HandoverManager;
use super::iteration_timing::SlowIterationLog;
use super::quota_leases::QuotaLeases;
use super::reports::FlowReporter;
use super::shortage_retry::{is_shortage, retry_on_shortage};
use super::signals::SignalSockets;
use super::state::NodeState;
use super::{PreparedNode, ServeError};
use crate::admin::AdminServer;
use crate::config::Config;
use crate::discovery::{DiscoveryClient, EndpointRegistry};
use crate::flow_export::FlowExport;
use crate::frontend::text::EVICTION_ANSWER;
use crate::frontend::{FrontendSetup, Frontends, ParsedFrontendFile, TimerEvent, TEXT_FRONTEND};
use crate::handover::{self, Handover, PredecessorState, StateSnapshot};
use crate::hash::fnv1a;
use crate::lifecycle::Lifecycle;
use crate::net::{SocketOwner, SocketReactor, TimerWheel};
use crate::quota::transport::LeaseTransport;
use crate::quota::{QuotaAdmission, QuotaMembership};
use crate::requests::RequestTable;
use sparbank_time::{DurationExt, WallTime};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::Path;

/// Starts a node and serves until it has shut down.
///
/// # Errors
/// Returns an error if a socket cannot be opened, the balancer rejects the settings, or the sockets cannot be polled.
pub fn serve(prepared: PreparedNode) -> Result<(), ServeError> {
    start(prepared)?.run()
}

/// Opens all sockets, and runs the balancer on the endpoint list that is available at start.
///
/// # Errors
/// Returns an error if a socket cannot be opened or the balancer rejects the settings.
fn start(prepared: PreparedNode) -> Result<Node, ServeError> {
    let Configuration { node: config, frontends: frontend_configs } = prepared.configuration;
    let reactor = || SocketReactor::new(config.max_descriptors);
    let mut net = retry_on_shortage(reactor, is_shortage).map_err(ServeError::Poll)?;
    let signals = prepared.signals.and_then(|pipes| SignalSockets::register(&mut net, pipes));
    let signals = signals.map_err(ServeError::Signals)?;
    let mut startup = Startup::new(config, net)?;
    let admin = startup.open_admin()?;
    // The predecessor's state is requested only after the steps that can fail without its sockets: when the predecessor
    // sends its state, it releases its discovery watch.
    let handover_path =
        prepared.passed_listener.as_ref().and_then(|_| handover::socket_path(&startup.config.name));
    let predecessor = startup.take_over_state(handover_path.as_deref());
    if handover_path.is_some() {
        startup.net.reserve_descriptors(handover::SUCCESSOR_DESCRIPTORS);
    }
    startup.listen_for_clients(prepared.passed_listener)?;
    let frontends = startup.open_frontends(frontend_configs)?;
    if let Some(admin) = &admin {
        tracing::info!(listen = %admin.address(), "admin API ready");
    }
    let flow_export = startup.open_flow_export(prepared.flow_collector)?;
    let lease_transport = startup.enable_quotas(prepared.quota_membership)?;
    let wheel = initial_timers(&startup.clock, lease_transport.is_some());
    let handover = handover_path.map(|path| Handover::open(&mut startup.net, &path, predecessor.channel));
    let mut node = Node {
        executor: startup.into_executor(frontends, wheel),
        drain: DrainManager::default(),
        handover: HandoverManager::new(handover),
        admin: AdminHandler::new(admin),
        leases: QuotaLeases::new(lease_transport),
        flow_reporter: FlowReporter::new(flow_export),
        signals,
        slow_iterations: SlowIterationLog::default(),
        frontend_files: prepared.frontend_files,
    };
    node.initialize(predecessor.snapshot.as_ref());
    Ok(node)
}

/// A timer wheel with the periodic timers.
fn initial_timers(clock: &Clock, exchanges_leases: bool) -> TimerWheel<TimerEvent> {
    let mut wheel = TimerWheel::new(clock.now());
    wheel.schedule(clock.now(), TimerEvent::Tick);
    if exchanges_leases {
        wheel.schedule(clock.now(), TimerEvent::LeaseExchange);
    }
    wheel
}

/// The inputs for completing the handover from a predecessor. Both fields are `None` if there is no predecessor.
#[derive(Default)]
struct Predecessor {
    /// The predecessor's state. The balancer's part is restored after the balancer has run on the endpoint list.
    snapshot: Option<StateSnapshot>,
    /// The handover socket, over which the predecessor transfers its connections.
    channel: Option<OwnedFd>,
}

/// The parts of the node that the start-up steps build and use.
struct Startup {
    clock: Clock,
    config: Config,
    net: SocketReactor,
    requests: RequestTable,
    registry: EndpointRegistry,
    discovery: DiscoveryClient,
}

impl Startup {
    fn new(config: Config, net: SocketReactor) -> Result<Startup, ServeError> {
        let mut requests = RequestTable::new(config.seed, config.settings.clone())?;
        if tracing::enabled!(tracing::Level::TRACE) {
            requests.enable_attempt_records();
        }
        let clock = Clock::new();
        let now = clock.now();
        // The node's clock has just been set from the wall clock: both have the same time.
        let wall = WallTime::from_unix_nanos(now.as_nanos());
        let registry = EndpointRegistry::new(config.frontend_settings.zone_names.clone(), now, wall);
        let discovery = DiscoveryClient::new(config.discovery);
        Ok(Startup { clock, config, net, requests, registry, discovery })
    }

    /// Opens the admin API, if it is configured.
    fn open_admin(&mut self) -> Result<Option<AdminServer>, ServeError> {
        let Some(address) = self.config.admin_listen else { return Ok(None) };
        let server = retry_on_shortage(|| AdminServer::open(&mut self.net, address), is_shortage);
        server.map(Some).map_err(|source| ServeError::AdminListen { address, source })
    }

    /// Takes over the endpoint list, the watch and the listening sockets of a predecessor. Without one, the balancer
    /// starts with the endpoint list of the configuration.
    fn take_over_state(&mut self, handover_path: Option<&Path>) -> Predecessor {
        let inherited = handover_path.and_then(|path| handover::request_state(path, &self.config.name));
        let Some(PredecessorState { channel, snapshot, listeners, watch }) = inherited else {
            let event = self.registry.restore(&self.config.known_endpoints);
            self.requests.push_event(event);
            return Predecessor::default();
        };
        if let Some(now) = snapshot.clock {
            // Times in the predecessor's state stay valid here, even if the wall clock has stepped since it started.
            self.clock = Clock::continuing(now);
            self.registry.reset_clocks(now, Clock::wall());
        }
        let list = &snapshot.endpoint_list;
        let event = self.discovery.take_over(&mut self.net, &mut self.registry, list, watch);
        self.requests.push_event(event);
        self.net.inherit_listeners(listeners);
        Predecessor { snapshot: Some(snapshot), channel: Some(channel) }
    }

    /// Listens for text protocol clients, on the socket that the platform passes if there is one.
    fn listen_for_clients(&mut self, passed_listener: Option<OwnedFd>) -> Result<(), ServeError> {
        let owner = SocketOwner::Frontend(TEXT_FRONTEND);
        self.net.set_eviction_answer(owner, EVICTION_ANSWER);
        let listening = match passed_listener {
            Some(socket) => self.net.register_listener(socket, owner),
            None => retry_on_shortage(|| self.net.listen(self.config.listen, owner), is_shortage),
        };
        let listen = listening.map_err(ServeError::Listen)?;
        tracing::info!(name = %self.config.name, %listen, "node started");
        Ok(())
    }

    /// Opens the text frontend, and the optional frontends whose files are given.
    fn open_frontends(&mut self, frontend_files: Vec<ParsedFrontendFile>) -> Result<Frontends, ServeError> {
        let mut frontends = Frontends::new();
        for file in frontend_files {
            let setup = FrontendSetup {
                net: &mut self.net,
                node_name: &self.config.name,
                settings: &self.config.frontend_settings,
            };
            frontends.open(file, setup)?;
        }
        Ok(frontends)
    }

    /// Opens the export of flow records, if a collector is given.
    fn open_flow_export(&mut self, collector: Option<SocketAddr>) -> Result<Option<FlowExport>, ServeError> {
        let Some(collector) = collector else { return Ok(None) };
        let domain = fnv1a(&self.config.name) as u32;
        let export = FlowExport::new(self.config.listen.ip(), collector, domain);
        let export = export.map_err(ServeError::FlowExport)?;
        self.requests.enable_flow_records();
        tracing::info!(%collector, observation_domain = domain, "IPFIX export enabled");
        Ok(Some(export))
    }

    /// Opens the transport of the lease protocol, if this node is a member of a fleet with quotas. From then on,
    /// requests are admitted against the fleet-wide quotas.
    fn enable_quotas(
        &mut self,
        membership: Option<QuotaMembership>,
    ) -> Result<Option<LeaseTransport>, ServeError> {
        let Some(membership) = membership else { return Ok(None) };
        let (now, member) = (self.clock.now(), membership.member);
        let transport = LeaseTransport::open(&mut self.net, &membership, now)
            .map_err(|source| ServeError::LeaseTransport { member, source })?;
        let grants_in_ms = transport.grant_delay(now).map(|delay| delay.as_millis_u64());
        tracing::info!(member, grants_in_ms, "fleet-wide quotas enabled");
        let classes = &self.config.frontend_settings.class_names;
        let max_retry_after = self.config.settings.max_retry_after;
        self.requests.enable_quotas(QuotaAdmission::new(membership, now, classes, max_retry_after));
        Ok(Some(transport))
    }

    /// Builds the executor, with the state of the serving node.
    fn into_executor(self, frontends: Frontends, wheel: TimerWheel<TimerEvent>) -> Executor {
        let Startup { clock, config, net, requests, registry, discovery } = self;
        let lifecycle = Lifecycle::default();
        let state = NodeState { clock, net, requests, registry, wheel, config, lifecycle };
        Executor::new(FrontendHost::new(state, frontends), EndpointWatch::new(discovery))
    }
}
