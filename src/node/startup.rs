//! Start-up: first everything configured is read and checked, then everything is opened, in a fixed order.

use super::clock::Clock;
use super::configuration::Configuration;
use super::signals::{SignalPipes, SignalSockets};
use super::startup_retry::{is_shortage, retry_while_short};
use super::{Node, NodeState, Options, PrepareError, ServeError};
use crate::admin::AdminServer;
use crate::config::Config;
use crate::discovery::{DiscoveryClient, EndpointRegistry};
use crate::flow_export::FlowExport;
use crate::frontend::{
    FrontendFiles, FrontendSetup, Frontends, ParsedFrontendFile, TimerEvent, TEXT_FRONTEND,
};
use crate::handover::{self, Handover, PredecessorState, StateSnapshot};
use crate::hash::fnv1a;
use crate::lifecycle::Lifecycle;
use crate::net::{SocketOwner, SocketReactor, TimerWheel};
use crate::quota::transport::LeaseTransport;
use crate::quota::{self, QuotaAdmission, QuotaMembership};
use crate::requests::RequestTable;
use sparbank_time::{DurationExt, MonotonicTime, WallTime};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::Path;

/// A node whose configuration has been read and checked, and which has opened nothing yet.
pub struct PreparedNode {
    /// The signals' handlers, or why there are none.
    signals: io::Result<SignalPipes>,
    configuration: Configuration,
    frontend_files: FrontendFiles,
    flow_collector: Option<SocketAddr>,
    quota_membership: Option<QuotaMembership>,
    /// The clients' listening socket, where the platform passes it.
    passed_listener: Option<OwnedFd>,
}

impl PreparedNode {
    /// Reads and checks all that is configured: it is valid, or nothing starts.
    pub fn prepare(options: Options) -> Result<PreparedNode, PrepareError> {
        let signals = retry_while_short(SignalPipes::install, is_shortage);
        let configuration = retry_while_short(
            || Configuration::read(&options.frontend_files),
            |error| error.io_error().is_some_and(is_shortage),
        )?;
        let quota_membership = match &options.quota_file {
            Some(file) => {
                let Config { name, max_descriptors, .. } = &configuration.node;
                Some(quota::load_membership(file, name, *max_descriptors)?)
            }
            None => None,
        };
        let passed_listener = handover::passed_listener()?;
        Ok(PreparedNode {
            signals,
            configuration,
            frontend_files: options.frontend_files,
            flow_collector: options.flow_collector,
            quota_membership,
            passed_listener,
        })
    }

    /// Starts the node and serves until it is told to stop.
    pub fn serve(self) -> Result<(), ServeError> {
        let node = self.start()?;
        node.run()
    }

    /// Opens everything, and lets the balancer decide on the endpoints that are known from the start.
    fn start(self) -> Result<Node, ServeError> {
        let Configuration { node: config, frontends: frontend_configs } = self.configuration;
        let reactor = || SocketReactor::new(config.max_descriptors);
        let mut net = retry_while_short(reactor, is_shortage).map_err(ServeError::Poll)?;
        let signals = self.signals.and_then(|pipes| SignalSockets::register(&mut net, pipes));
        let signals = signals.map_err(ServeError::Signals)?;
        let mut startup = Startup::new(config, net)?;
        let admin = startup.open_admin()?;
        // What can fail without the predecessor's sockets is open: its state may be requested now.
        let handover_path =
            self.passed_listener.as_ref().and_then(|_| handover::socket_path(&startup.config.name));
        let predecessor = startup.take_over_state(handover_path.as_deref());
        if handover_path.is_some() {
            startup.net.reserve_descriptors(handover::SUCCESSOR_DESCRIPTORS);
        }
        let mut frontends = Frontends::new();
        startup.listen_for_clients(self.passed_listener)?;
        startup.open_optional_frontends(&mut frontends, frontend_configs)?;
        if let Some(admin) = &admin {
            tracing::info!(listen = %admin.listen, "admin API ready");
        }
        let flow_export = startup.open_flow_export(self.flow_collector)?;
        let clock = startup.clock;
        let lease_transport = match self.quota_membership {
            Some(membership) => Some(startup.join_fleet(membership, clock.now())?),
            None => None,
        };
        let wheel = first_timers(&clock, lease_transport.is_some());
        let handover = handover_path.map(|path| Handover::open(&mut startup.net, &path, predecessor.channel));
        let Startup { config, net, requests, registry, discovery, .. } = startup;
        let lifecycle = Lifecycle::default();
        let mut node = Node {
            state: NodeState { clock, net, requests, registry, wheel, config, lifecycle },
            frontends,
            frontend_files: self.frontend_files,
            discovery,
            admin: admin.map(|admin| admin.server),
            handover,
            lease_transport,
            flow_export,
            signals,
            drain_step_scheduled: false,
        };
        node.run_balancer();
        if let Some(snapshot) = predecessor.snapshot {
            node.restore_snapshot(&snapshot);
        }
        Ok(node)
    }
}

/// The timers that run from the start on.
fn first_timers(clock: &Clock, exchanges_leases: bool) -> TimerWheel<TimerEvent> {
    let mut wheel = TimerWheel::new(clock.now());
    wheel.schedule(clock.now(), TimerEvent::Tick);
    if exchanges_leases {
        wheel.schedule(clock.now(), TimerEvent::LeaseExchange);
    }
    wheel
}

/// What the steps of the start-up work on.
struct Startup {
    clock: Clock,
    config: Config,
    net: SocketReactor,
    requests: RequestTable,
    registry: EndpointRegistry,
    discovery: DiscoveryClient,
}

/// The admin API, and where it listens.
struct OpenedAdmin {
    server: AdminServer,
    listen: SocketAddr,
}

/// What is left to do of the handover from a predecessor; nothing where there is none.
#[derive(Default)]
struct Predecessor {
    /// The balancer's state, to be restored once the node runs.
    snapshot: Option<StateSnapshot>,
    /// The socket over which connections come.
    channel: Option<OwnedFd>,
}

impl Startup {
    fn new(config: Config, net: SocketReactor) -> Result<Startup, ServeError> {
        let mut requests = RequestTable::new(config.seed, config.settings.clone())?;
        if tracing::enabled!(tracing::Level::TRACE) {
            requests.attempt_trace.enable();
        }
        let clock = Clock::new();
        let now = clock.now();
        // The wall clock has just set the node's clock: both show the same.
        let wall = WallTime::from_unix_nanos(now.as_nanos());
        let registry = EndpointRegistry::new(config.site.zones.clone(), now, wall);
        let discovery = DiscoveryClient::new(config.discovery);
        Ok(Startup { clock, config, net, requests, registry, discovery })
    }

    fn open_admin(&mut self) -> Result<Option<OpenedAdmin>, ServeError> {
        let Some(address) = self.config.admin_listen else { return Ok(None) };
        match retry_while_short(|| AdminServer::open(&mut self.net, address), is_shortage) {
            Ok((server, listen)) => Ok(Some(OpenedAdmin { server, listen })),
            Err(source) => Err(ServeError::AdminListen { address, source }),
        }
    }

    /// Takes over the endpoint list, the watch and the listening sockets of a predecessor. Without one, the endpoint
    /// list of the configuration is where the balancer starts from.
    fn take_over_state(&mut self, handover_path: Option<&Path>) -> Predecessor {
        let inherited = handover_path.and_then(|path| handover::request_state(path, &self.config.name));
        let Some(PredecessorState { channel, snapshot, listening, watch }) = inherited else {
            let event = self.registry.restore(&self.config.known_endpoints);
            self.requests.push_event(event);
            return Predecessor::default();
        };
        if let Some(now) = snapshot.clock {
            // The predecessor's times are this process's too, whatever the wall clock has done meanwhile.
            self.clock = Clock::continuing(now);
            self.registry.reset_clocks(now, Clock::wall());
        }
        let list = &snapshot.endpoint_list;
        let event = self.discovery.take_over(&mut self.net, &mut self.registry, list, watch);
        self.requests.push_event(event);
        self.net.inherit_listeners(listening);
        Predecessor { snapshot: Some(snapshot), channel: Some(channel) }
    }

    /// Opens the platform's own frontend to clients.
    fn listen_for_clients(&mut self, passed_listener: Option<OwnedFd>) -> Result<(), ServeError> {
        let owner = SocketOwner::Frontend(TEXT_FRONTEND);
        let listening = match passed_listener {
            Some(socket) => self.net.register_listener(socket, owner),
            None => retry_while_short(|| self.net.listen(self.config.listen, owner), is_shortage),
        };
        let listen = listening.map_err(ServeError::Listen)?;
        tracing::info!(name = %self.config.name, %listen, "node started");
        Ok(())
    }

    fn open_optional_frontends(
        &mut self,
        frontends: &mut Frontends,
        frontend_files: Vec<ParsedFrontendFile>,
    ) -> Result<(), ServeError> {
        for file in frontend_files {
            let setup =
                FrontendSetup { net: &mut self.net, node_name: &self.config.name, site: &self.config.site };
            frontends.open(file, setup)?;
        }
        Ok(())
    }

    fn open_flow_export(&mut self, collector: Option<SocketAddr>) -> Result<Option<FlowExport>, ServeError> {
        let Some(collector) = collector else { return Ok(None) };
        let domain = fnv1a(&self.config.name) as u32;
        let export = FlowExport::new(self.config.listen.ip(), collector, domain);
        let export = export.map_err(ServeError::FlowExport)?;
        self.requests.ended_flows.enable();
        tracing::info!(%collector, observation_domain = domain, "IPFIX export enabled");
        Ok(Some(export))
    }

    /// Opens the lease protocol's transport, and admits requests against the fleet-wide quotas from now on.
    fn join_fleet(
        &mut self,
        membership: QuotaMembership,
        now: MonotonicTime,
    ) -> Result<LeaseTransport, ServeError> {
        let member = membership.member;
        let transport = match LeaseTransport::open(&mut self.net, &membership, now) {
            Ok(transport) => transport,
            Err(source) => return Err(ServeError::LeaseTransport { member, source }),
        };
        let grants_in_ms = transport.grant_delay(now).map(|delay| delay.as_millis_u64());
        tracing::info!(member, grants_in_ms, "fleet-wide quotas enabled");
        let classes: Vec<String> = self.config.site.classes.iter().map(|class| class.name.clone()).collect();
        let max_retry_after = self.config.settings.max_retry_after;
        self.requests.quotas = Some(QuotaAdmission::new(membership, now, &classes, max_retry_after));
        Ok(transport)
    }
}
