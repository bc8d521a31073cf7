//! The AMQP 1.0 frontend. Each delivery from a client is a request, answered by the outcome of the delivery. Each
//! receiving link of a client is a request too, established once a server attaches the corresponding link. The
//! `sparbank-amqp` crate implements the protocol itself.
//!
//! The event loop calls [`AmqpFrontend`], which owns the modules' state and lends it to the handler of each call:
//!
//! - `clients` and `servers` own the connections on each side and write their output;
//! - `delivery_requests` owns the requests that are deliveries, and the delivery states retained for link resumption;
//! - `forwarding` owns the forwarders, which pass servers' deliveries to clients;
//! - `authentication` authenticates clients;
//! - `client_events` (with `client_links` for attach and detach) and `server_events` handle received events. They own
//!   no state and borrow it for the duration of one call.

mod arrival;
mod authentication;
mod class_names;
mod client_events;
mod client_links;
mod client_octets;
mod clients;
mod config;
mod connection_link;
mod deliveries;
mod delivery_requests;
mod error;
mod fast_map;
mod forwarder_id;
mod forwarding;
mod info;
mod link_memory;
mod message_buffer;
mod message_octets;
mod nonce;
mod password_checks;
mod peers;
mod recovery;
mod replies;
mod server_events;
mod servers;
mod users;

pub use users::{add_user, Rights};

use super::{FlushStatus, Frontend, FrontendContext, FrontendError, FrontendSetup, OptionalFrontend};
use crate::model::{RequestId, ServerId};
use crate::net::{SocketEvent, SocketOwner, Token};
use crate::requests::FrontendId;
use authentication::Authenticator;
use class_names::ClassNames;
use client_events::ClientEvents;
use clients::Clients;
use config::AmqpConfig;
use delivery_requests::DeliveryRequests;
use forwarding::Forwarding;
use info::FrontendInfo;
use peers::Peers;
use replies::{failed_state, rejected_state, retry_error};
use server_events::ServerEvents;
use servers::Servers;
use sparbank_amqp::{condition, Error, State};
use sparbank_time::DurationExt;
use std::any::Any;
use std::time::Duration;

/// How often both sides are flushed in one iteration of the event loop. More rounds than the buffered messages need
/// are a fault, and must not keep the node from its other sockets.
const MAX_FLUSH_ROUNDS: usize = 1_000;

/// The entry that enables this frontend: its name, how its configuration file is read, and how it is opened.
pub const OPTIONAL_FRONTEND: OptionalFrontend = OptionalFrontend {
    name: "amqp",
    read: |path| {
        let config = AmqpConfig::read(path).map_err(|error| FrontendError::Config(error.into()))?;
        Ok(Box::new(config))
    },
    open: |id, config, setup| {
        let config = config.downcast::<AmqpConfig>().map_err(|_| FrontendError::WrongConfigType)?;
        AmqpFrontend::open(id, *config, setup)
    },
};

/// The state of the AMQP frontend, and its interface to the event loop.
pub struct AmqpFrontend {
    info: FrontendInfo,
    config: AmqpConfig,
    clients: Clients,
    servers: Servers,
    requests: DeliveryRequests,
    forwarding: Forwarding,
    authenticator: Authenticator,
}

impl AmqpFrontend {
    /// Opens the listeners that the configuration names.
    fn open(
        id: FrontendId,
        config: AmqpConfig,
        setup: FrontendSetup,
    ) -> Result<Box<dyn Frontend>, FrontendError> {
        let FrontendSetup { net, node_name, settings } = setup;
        let address = net
            .listen(config.listen, SocketOwner::Frontend(id))
            .map_err(|error| FrontendError::Listen { socket: "amqp listen", error })?;
        let tls_listener = match &config.tls {
            None => None,
            Some(tls) => Some(
                net.listen_with_token(tls.listen, SocketOwner::Frontend(id))
                    .map_err(|error| FrontendError::Listen { socket: "amqp tls listen", error })?,
            ),
        };
        let tls_address = tls_listener.as_ref().map(|listener| tracing::field::display(listener.addr));
        tracing::info!(listen = %address, tls_listen = tls_address, "AMQP frontend ready");
        let classes = ClassNames::new(settings.class_names.clone());
        let servers = Servers::new(id, node_name, classes.clone());
        let tls_listener = tls_listener.map(|listener| listener.token);
        let info = FrontendInfo { id, container: node_name.to_string(), classes, tls_listener };
        Ok(Box::new(AmqpFrontend {
            info,
            config,
            clients: Clients::default(),
            servers,
            requests: DeliveryRequests::default(),
            forwarding: Forwarding::default(),
            authenticator: Authenticator::new(id),
        }))
    }

    fn client_events<'a, 'b>(&'a mut self, ctx: &'a mut FrontendContext<'b>) -> ClientEvents<'a, 'b> {
        ClientEvents {
            ctx,
            info: &self.info,
            peers: Peers { config: &self.config, clients: &mut self.clients, servers: &mut self.servers },
            requests: &mut self.requests,
            forwarding: &mut self.forwarding,
            authenticator: &mut self.authenticator,
        }
    }

    fn server_events<'a, 'b>(&'a mut self, ctx: &'a mut FrontendContext<'b>) -> ServerEvents<'a, 'b> {
        ServerEvents {
            ctx,
            peers: Peers { config: &self.config, clients: &mut self.clients, servers: &mut self.servers },
            requests: &mut self.requests,
            forwarding: &mut self.forwarding,
        }
    }

    /// Answers a request that is not served: refuses its link with `error`, or settles its delivery with `state`.
    fn refuse_or_settle(&mut self, request_id: RequestId, error: Error, state: State) {
        let mut peers =
            Peers { config: &self.config, clients: &mut self.clients, servers: &mut self.servers };
        self.forwarding.refuse(&mut peers, request_id, error);
        self.requests.answer(&mut peers, request_id, state);
    }
}

impl Frontend for AmqpFrontend {
    fn on_socket_event(&mut self, ctx: &mut FrontendContext, event: SocketEvent) {
        match self.servers.server_of(event.token) {
            Some(_) => self.server_events(ctx).on_socket_event(event),
            None => self.client_events(ctx).on_socket_event(event),
        }
    }

    fn start_attempt(
        &mut self,
        ctx: &mut FrontendContext,
        request_id: RequestId,
        server: ServerId,
        timeout: Duration,
    ) {
        if self.forwarding.has_request(request_id) {
            self.forwarding.start_attempt(&mut self.servers, request_id, server);
        } else {
            let mut peers =
                Peers { config: &self.config, clients: &mut self.clients, servers: &mut self.servers };
            self.requests.start_attempt(ctx, &mut peers, request_id, server, timeout);
        }
    }

    fn cancel_attempt(&mut self, ctx: &mut FrontendContext, request_id: RequestId) {
        if self.forwarding.cancel_attempt(&mut self.servers, request_id).is_none() {
            self.requests.cancel_attempt(ctx, &mut self.servers, request_id);
        }
    }

    fn on_attempt_timeout(&mut self, ctx: &mut FrontendContext, request_id: RequestId) {
        match self.forwarding.cancel_attempt(&mut self.servers, request_id) {
            Some(outcome) => {
                ctx.requests.on_attempt_ended(ctx.now, request_id, outcome);
            }
            None => {
                let ServerEvents { mut peers, requests, ctx, .. } = self.server_events(ctx);
                requests.on_attempt_timeout(ctx, &mut peers, request_id);
            }
        }
    }

    fn reject(&mut self, _ctx: &mut FrontendContext, request_id: RequestId, retry_after: Duration) {
        let retry_after_ms = retry_after.as_millis_u64() as u32;
        let description = "no region takes it now; come again";
        let error = retry_error(condition::RESOURCE_LIMIT_EXCEEDED, description, retry_after_ms);
        self.refuse_or_settle(request_id, error, rejected_state(retry_after_ms));
    }

    fn fail(&mut self, _ctx: &mut FrontendContext, request_id: RequestId) {
        let error = Error::new(condition::INTERNAL_ERROR, "no region could serve it");
        self.refuse_or_settle(request_id, error, failed_state());
    }

    fn migrate(&mut self, ctx: &mut FrontendContext, request_id: RequestId) {
        let ServerEvents { mut peers, forwarding, .. } = self.server_events(ctx);
        forwarding.migrate(&mut peers, request_id);
    }

    fn on_servers_draining(&mut self, ctx: &mut FrontendContext, stopped: &[ServerId]) {
        self.server_events(ctx).on_servers_draining(stopped);
    }

    fn uses_server(&self, server: ServerId) -> bool {
        self.servers.is_used(server)
    }

    fn on_servers_forgotten(&mut self, servers: &[ServerId]) {
        self.servers.forget(servers);
    }

    fn is_idle(&self) -> bool {
        self.clients.is_empty()
    }

    fn on_connect_timeout(&mut self, ctx: &mut FrontendContext, token: Token) {
        self.server_events(ctx).on_connect_timeout(token);
    }

    fn on_timer(&mut self, ctx: &mut FrontendContext, token: Token) {
        self.client_events(ctx).on_timer(token);
    }

    fn on_tick(&mut self, ctx: &mut FrontendContext) {
        self.client_events(ctx).check_connections();
        self.server_events(ctx).check_connections();
        self.client_events(ctx).expire_links();
        self.client_events(ctx).end_blocking_deliveries();
        self.clients.replenish_all_credit(&self.config, self.requests.buffer());
    }

    fn flush(&mut self, ctx: &mut FrontendContext) -> FlushStatus {
        // Writing to one side can free capacity on the other, so both are flushed until neither has pending output.
        for _ in 0..MAX_FLUSH_ROUNDS {
            if !self.servers.is_dirty() && !self.clients.is_dirty() {
                return FlushStatus::Complete;
            }
            self.server_events(ctx).flush();
            let mut client_events = self.client_events(ctx);
            client_events.resume_paused_reads();
            client_events.flush();
        }
        FlushStatus::Incomplete
    }

    fn on_migration_step(&mut self, ctx: &mut FrontendContext) {
        self.clients.start_drain();
        self.client_events(ctx).check_connections();
    }

    fn resume_serving(&mut self, _ctx: &mut FrontendContext) {
        if self.clients.end_drain() {
            self.clients.replenish_all_credit(&self.config, self.requests.buffer());
        }
    }

    fn reload(&mut self, new: Box<dyn Any>) -> Vec<&'static str> {
        let Ok(new) = new.downcast::<AmqpConfig>() else { return Vec::new() };
        let mut unchangeable = Vec::new();
        if new.listen != self.config.listen {
            unchangeable.push("amqp listen");
        }
        let tls_address = |config: &AmqpConfig| config.tls.as_ref().map(|tls| tls.listen);
        if tls_address(&new) != tls_address(&self.config) {
            unchangeable.push("amqp tls.listen");
        }
        self.config = AmqpConfig { listen: self.config.listen, ..*new };
        unchangeable
    }

    fn counter_line(&self) -> Option<String> {
        let deliveries = self.requests.counters();
        Some(format!(
            "clients={} servers={} forwarders={} forwarded={} buffered_bytes={} max_buffered_bytes={} \
             aborted={} logins_refused={} remembered={} resumed={} fate_unknown={} paused={} \
             largest_client_bytes={} incomplete_expired={} link_bytes={}",
            self.clients.len(),
            self.servers.connection_count(),
            self.forwarding.len(),
            self.forwarding.forwarded(),
            deliveries.buffered_bytes,
            deliveries.peak_buffered_bytes,
            deliveries.aborted + self.forwarding.aborted(),
            self.authenticator.rejected_logins(),
            deliveries.remembered_links,
            deliveries.resumed_links,
            deliveries.unknown,
            self.clients.paused_count(),
            deliveries.largest_client_bytes,
            deliveries.expired_incomplete,
            self.clients.link_bytes(),
        ))
    }
}
