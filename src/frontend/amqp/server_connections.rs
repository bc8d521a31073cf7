//! What happens on servers' connections: input, events of the protocol, loss, and idle timeouts.

use super::deliveries::{Attempt, AttemptStage};
use super::forwarders::Peers;
use super::servers::{interrupted_outcome, ServerLink};
use super::AmqpFrontend;
use crate::frontend::FrontendContext;
use crate::model::{Outcome, RequestId};
use crate::net::{SocketEvent, SocketEventKind, Token};
use sparbank_amqp::{Error, Event, Fault, LinkId, Role, State};

impl AmqpFrontend {
    /// Something happened at a server's socket.
    pub(super) fn on_server_event(&mut self, ctx: &mut FrontendContext, event: SocketEvent) {
        let token = event.token;
        let fault = self.process_server_input(ctx, token);
        let Some(connection) = self.servers.get(token) else { return };
        if let Some(fault) = fault.filter(|_| !connection.conn.peer_has_no_sasl()) {
            tracing::warn!(
                condition = %fault.condition,
                description = %fault.description,
                "server protocol error"
            );
            connection.conn.close(Some(Box::new(fault.into())));
        }
        let is_lost = connection.conn.is_closed()
            || ctx.net.is_read_closed(token)
            || matches!(event.kind, SocketEventKind::Failed { .. });
        if is_lost {
            return self.on_server_connection_lost(ctx, token);
        }
        self.servers.mark_connection_dirty(token);
        ctx.net.update_interest(token);
    }

    /// Processes a server's input. Gives the fault that ends it, if there is one.
    fn process_server_input(&mut self, ctx: &mut FrontendContext, token: Token) -> Option<Fault> {
        let mut bytes = ctx.net.input_buffer(token).map(std::mem::take).unwrap_or_default();
        let mut rest = &bytes[..];
        let mut fault = None;
        while let Some(connection) = self.servers.get(token) {
            match connection.conn.next_event(ctx.now, &mut rest) {
                Ok(Some(event)) => self.on_server_protocol_event(ctx, token, event),
                Ok(None) => break,
                Err(error) => {
                    fault = Some(error);
                    break;
                }
            }
        }
        let processed = bytes.len() - rest.len();
        if processed < bytes.len() {
            bytes.drain(..processed);
            if let Some(input) = ctx.net.input_buffer(token) {
                *input = bytes;
            }
        }
        fault
    }

    /// A server's connection is lost or closed.
    pub(super) fn on_server_connection_lost(&mut self, ctx: &mut FrontendContext, token: Token) {
        if let Some(connection) = self.servers.get(token) {
            // Pending output, such as the reason for a close, is still written.
            let out = connection.conn.take_output(ctx.now);
            ctx.net.send(token, &out);
        }
        let lost = self.servers.connection_lost(ctx, token, &self.deliveries);
        for forwarder in lost.forwarders {
            self.on_source_connection_lost(ctx, forwarder);
        }
        self.on_attempt_results(ctx, lost.results);
    }

    fn on_server_protocol_event(&mut self, ctx: &mut FrontendContext, token: Token, event: Event<'_>) {
        match event {
            Event::Attached { link, attach } => {
                if let Some(ServerLink::Receiving(forwarder)) = self.server_link(token, link) {
                    // Without a source the attach is refused: its detach follows.
                    if attach.source.is_some() {
                        self.on_source_attached(ctx, forwarder, token, link, &attach);
                    }
                }
            }
            Event::AttachRequested { link, role, attach } => {
                self.on_server_attach_request(ctx, token, link, role, &attach)
            }
            Event::Settled { link, key, state, .. } => {
                if let Some(ServerLink::Sending(class)) = self.server_link(token, link) {
                    self.on_settled_by_server(ctx, class, RequestId(key), state);
                }
            }
            Event::Transfer { link, transfer } => {
                if let Some(ServerLink::Receiving(forwarder)) = self.server_link(token, link) {
                    let peers = Peers { clients: &mut self.clients, servers: &mut self.servers };
                    self.forwarders.on_transfer(ctx, forwarder, token, link, transfer, peers);
                }
            }
            Event::SettledBySender { link, key } => {
                let forwarder = self.server_link(token, link).and_then(|link| link.forwarder());
                if let Some(forwarder) = forwarder.and_then(|id| self.forwarders.get(id)) {
                    // The key of a server's delivery is its delivery id.
                    forwarder.settled_by_server(token, link, key as u32, &mut self.clients);
                }
            }
            Event::DeliveryLost { link, role: Role::Sender, key } => {
                if let Some(ServerLink::Sending(_)) = self.server_link(token, link) {
                    let written = ctx.net.bytes_written(token);
                    let request_id = RequestId(key);
                    let outcome = interrupted_outcome(&self.deliveries, request_id, written);
                    self.on_attempt_ended(ctx, request_id, outcome);
                }
            }
            Event::Detached { link, error, .. } => {
                self.on_server_link_detached(ctx, token, link, error.map(|error| *error))
            }
            _ => {}
        }
    }

    fn server_link(&mut self, token: Token, link: LinkId) -> Option<ServerLink> {
        self.servers.get(token)?.links.get(&link).copied()
    }

    fn on_server_link_detached(
        &mut self,
        ctx: &mut FrontendContext,
        token: Token,
        link: LinkId,
        error: Option<Error>,
    ) {
        let removed = self.servers.get(token).and_then(|connection| connection.links.remove(&link));
        match removed {
            Some(ServerLink::Sending(class)) => {
                let results = self.servers.sending_link_lost(token, link, class);
                self.on_attempt_results(ctx, results);
            }
            Some(ServerLink::Receiving(forwarder)) => {
                self.on_source_detached(ctx, forwarder, token, link, error)
            }
            None => {}
        }
    }

    /// The server has settled a delivery.
    fn on_settled_by_server(
        &mut self,
        ctx: &mut FrontendContext,
        class: usize,
        request_id: RequestId,
        state: Option<State>,
    ) {
        let outcome = match state {
            Some(State::Accepted) => Outcome::Ok,
            // It was not processed, and nothing has changed: it has not run.
            Some(State::Released | State::Modified { failed: false, .. }) => Outcome::Rejected,
            // Any other settlement says that it may have run, or nothing.
            _ => Outcome::Error,
        };
        let attempt = self.deliveries.get(request_id).and_then(|delivery| delivery.attempt.as_ref());
        if let Some(Attempt { server, stage: AttemptStage::Sending { .. }, .. }) = attempt {
            self.servers.free_sending_link(*server, class, request_id);
        }
        self.on_attempt_ended(ctx, request_id, outcome);
    }

    /// Checks the idle timeouts of the servers' connections, and closes those that are no longer needed.
    pub(super) fn check_server_connections(&mut self, ctx: &mut FrontendContext) {
        for token in self.servers.tokens() {
            let Some(connection) = self.servers.get(token) else { continue };
            if connection.conn.tick(ctx.now).is_err() {
                self.on_server_connection_lost(ctx, token);
                continue;
            }
            if connection.conn.pending() > 0 {
                self.servers.mark_connection_dirty(token);
            }
            if self.servers.is_drained(ctx, token) {
                if let Some(connection) = self.servers.get(token) {
                    connection.conn.close(None);
                }
                self.on_server_connection_lost(ctx, token);
            }
        }
    }
}
