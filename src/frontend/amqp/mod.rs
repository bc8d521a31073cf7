//! The AMQP 1.0 frontend. A client's delivery is a request whose answer is the delivery's outcome; a client's receiving link
//! is a request that is established once its server sends. The protocol itself is `sparbank-amqp`'s.
//!
//! `clients`, `servers`, `deliveries`, `forwarders` and `recovery` each own one piece of the state. The methods of
//! [`AmqpFrontend`] that pass events between them are in a file per concern: `client_connections`, `authentication`,
//! `client_links`, `client_transfers`, `server_connections`, `forwarding` and `outcomes`.

mod authentication;
mod client_connections;
mod client_links;
mod client_transfers;
mod clients;
mod config;
mod deliveries;
mod error;
mod fair_queue;
mod forwarder;
mod forwarders;
mod forwarding;
mod outcomes;
mod password_checks;
mod recovery;
mod replies;
mod sending;
mod server_connections;
mod server_links;
mod servers;
mod users;

pub use users::{add_user, Rights};

use super::{Frontend, FrontendContext, FrontendError, FrontendSetup, OptionalFrontend};
use crate::model::{Outcome, RequestId, ServerId};
use crate::net::{SocketEvent, SocketOwner, Token};
use crate::requests::FrontendId;
use clients::Clients;
use config::AmqpConfig;
use deliveries::{Attempt, AttemptStage, Deliveries};
use forwarders::Forwarders;
use password_checks::PasswordChecks;
use recovery::Recovery;
use replies::{failed_state, rejected_state, retry_error};
use servers::Servers;
use sparbank_amqp::{condition, Error};
use sparbank_time::DurationExt;
use std::any::Any;
use std::time::Duration;

/// How this frontend is enabled.
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

/// The AMQP frontend.
pub struct AmqpFrontend {
    id: FrontendId,
    config: AmqpConfig,
    /// The node's container id.
    container: String,
    /// The names of the classes.
    classes: Vec<String>,
    clients: Clients,
    servers: Servers,
    deliveries: Deliveries,
    forwarders: Forwarders,
    recovery: Recovery,
    password_checks: PasswordChecks,
    tls_listener: Option<Token>,
    /// Deliveries aborted after they were sent partly.
    aborted: u64,
    rejected_logins: u64,
    /// Deliveries in clients' unsettled maps of which nothing was known.
    fate_unknown: u64,
    shutting_down: bool,
}

impl AmqpFrontend {
    /// Listens as the configuration says.
    fn open(
        id: FrontendId,
        config: AmqpConfig,
        setup: FrontendSetup,
    ) -> Result<Box<dyn Frontend>, FrontendError> {
        let FrontendSetup { net, node_name, site } = setup;
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
        let classes = site.class_names.clone();
        let frontend = AmqpFrontend {
            id,
            container: node_name.to_string(),
            servers: Servers::new(id, node_name, classes.clone()),
            classes,
            config,
            clients: Clients::default(),
            deliveries: Deliveries::default(),
            forwarders: Forwarders::default(),
            recovery: Recovery::default(),
            password_checks: PasswordChecks::default(),
            tls_listener: tls_listener.map(|listener| listener.token),
            aborted: 0,
            rejected_logins: 0,
            fate_unknown: 0,
            shutting_down: false,
        };
        Ok(Box::new(frontend))
    }

    /// Reads the clients that were paused while memory for messages was short.
    fn read_paused_clients(&mut self, ctx: &mut FrontendContext) {
        if self.deliveries.buffered_bytes() < self.config.max_buffered_bytes / 4 * 3 {
            for token in self.clients.take_paused() {
                self.read_client(ctx, token);
            }
        }
    }

    /// Writes to the clients that are marked dirty.
    fn flush_clients(&mut self, ctx: &mut FrontendContext) {
        for token in self.clients.take_dirty() {
            if !self.clients.flush(ctx, token) {
                self.on_client_gone(ctx, token);
            } else if self.clients.clear_stall(ctx, token) {
                self.forward_all(ctx, token);
            }
        }
    }
}

impl Frontend for AmqpFrontend {
    fn on_socket_event(&mut self, ctx: &mut FrontendContext, event: SocketEvent) {
        match self.servers.server_of(event.token) {
            Some(_) => self.on_server_event(ctx, event),
            None => self.on_client_event(ctx, event),
        }
    }

    fn start_attempt(
        &mut self,
        ctx: &mut FrontendContext,
        request_id: RequestId,
        server: ServerId,
        timeout: Duration,
    ) {
        if let Some(id) = self.forwarders.of_request(request_id) {
            if let Some(forwarder) = self.forwarders.get(id) {
                forwarder.server = Some(server);
                let attach = client_links::attach_for_server(&forwarder.attach);
                self.servers.enqueue_forwarder(server, id, Box::new(attach));
            }
            return;
        }
        if let Some(delivery) = self.deliveries.get_mut(request_id) {
            let deadline = ctx.now + timeout;
            delivery.attempt = Some(Attempt { server, deadline, stage: AttemptStage::Queued });
            self.servers.enqueue(server, delivery.class, delivery.client, request_id);
        }
    }

    fn cancel_attempt(&mut self, ctx: &mut FrontendContext, request_id: RequestId) -> Outcome {
        self.cancel_delivery_or_forwarder(ctx, request_id)
    }

    fn reject(&mut self, _ctx: &mut FrontendContext, request_id: RequestId, retry_after: Duration) {
        let retry_after_ms = retry_after.as_millis_u64() as u32;
        let description = "no region takes it now; come again";
        let error = retry_error(condition::RESOURCE_LIMIT_EXCEEDED, description, retry_after_ms);
        self.refuse_forwarder(request_id, error);
        self.answer(request_id, rejected_state(retry_after_ms));
    }

    fn fail(&mut self, _ctx: &mut FrontendContext, request_id: RequestId) {
        self.refuse_forwarder(request_id, Error::new(condition::INTERNAL_ERROR, "no region could serve it"));
        self.answer(request_id, failed_state());
    }

    fn migrate(&mut self, _ctx: &mut FrontendContext, request_id: RequestId) {
        let Some(id) = self.forwarders.of_request(request_id) else { return };
        if let Some(forwarder) = self.forwarders.remove(id, &mut self.servers) {
            let error = retry_error(condition::DETACH_FORCED, "moved: come again", 0);
            self.detach_client_link(&forwarder, Some(error));
        }
    }

    fn on_servers_draining(&mut self, ctx: &mut FrontendContext, stopped: &[ServerId]) {
        for request_id in self.deliveries.unsent_at(stopped) {
            self.cancel_delivery_or_forwarder(ctx, request_id);
            self.on_attempt_ended(ctx, request_id, Outcome::ConnectFailed);
        }
        for forwarder in self.forwarders.unanswered_at(stopped) {
            self.on_forwarder_attempt_failed(ctx, forwarder, Outcome::ConnectFailed);
        }
    }

    fn is_idle(&self) -> bool {
        self.clients.is_empty()
    }

    fn on_connect_timeout(&mut self, ctx: &mut FrontendContext, token: Token) {
        if self.servers.is_opening(token) {
            self.on_server_connection_lost(ctx, token);
        }
    }

    fn on_timer(&mut self, ctx: &mut FrontendContext, token: Token) {
        self.check_passwords(ctx);
        self.reject_due_login(ctx, token);
    }

    fn on_tick(&mut self, ctx: &mut FrontendContext) {
        self.check_client_connections(ctx);
        self.check_server_connections(ctx);
        for request_id in self.recovery.expire(ctx.now) {
            self.abandon_request(ctx, request_id);
        }
        if self.deliveries.buffered_bytes() < self.config.max_buffered_bytes / 2 {
            self.replenish_all_credit();
        }
    }

    fn flush(&mut self, ctx: &mut FrontendContext) {
        // What one side writes may give capacity to the other: both are flushed until neither has more.
        while self.servers.is_dirty() || self.clients.is_dirty() {
            let results = self.servers.flush(ctx, &self.config, &mut self.deliveries);
            self.on_attempt_results(ctx, results);
            self.read_paused_clients(ctx);
            self.flush_clients(ctx);
        }
    }

    fn on_drain_step(&mut self, ctx: &mut FrontendContext) {
        if !std::mem::replace(&mut self.shutting_down, true) {
            for token in self.clients.tokens() {
                self.clients.revoke_credit(token);
            }
        }
        self.check_client_connections(ctx);
    }

    fn resume_serving(&mut self, _ctx: &mut FrontendContext) {
        if std::mem::take(&mut self.shutting_down) {
            self.replenish_all_credit();
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
        Some(format!(
            "clients={} servers={} forwarders={} forwarded={} buffered_bytes={} max_buffered_bytes={} \
             aborted={} logins_refused={} remembered={} resumed={} fate_unknown={}",
            self.clients.len(),
            self.servers.len(),
            self.forwarders.len(),
            self.forwarders.forwarded,
            self.deliveries.buffered_bytes(),
            self.deliveries.max_buffered_bytes,
            self.aborted,
            self.rejected_logins,
            self.recovery.len(),
            self.recovery.resumed,
            self.fate_unknown,
        ))
    }
}
