//! What happens on clients' connections: accept, input, events of the protocol, loss, and idle timeouts.

use super::clients::{Client, ClientLink, IncompleteDelivery};
use super::forwarders::ForwarderId;
use super::replies::shutdown_error;
use super::AmqpFrontend;
use crate::frontend::tls::TlsConnection;
use crate::frontend::FrontendContext;
use crate::model::RequestId;
use crate::net::{SocketEvent, SocketEventKind, Token, OUTPUT_HIGH_WATERMARK_BYTES};
use sparbank_amqp::{condition, AbandonedDelivery, Connection, Event, Fault, LinkId, Role};

/// The result of processing a client's input.
struct ProcessedInput {
    /// Octets that were processed.
    count: usize,
    /// What ends the connection.
    fault: Option<Fault>,
}

impl AmqpFrontend {
    /// Something happened at a client's socket.
    pub(super) fn on_client_event(&mut self, ctx: &mut FrontendContext, event: SocketEvent) {
        let token = event.token;
        match event.kind {
            SocketEventKind::Accepted => return self.accept_client(ctx, token),
            SocketEventKind::Evicted | SocketEventKind::HandshakeTimeout => {
                ctx.requests.counters_mut().idle_closed += 1;
                ctx.net.close(token);
                return self.on_client_gone(ctx, token);
            }
            SocketEventKind::Failed { .. } => return self.on_client_gone(ctx, token),
            SocketEventKind::OutputFlushed => self.forward_all(ctx, token),
            SocketEventKind::Readable => {}
        }
        self.read_client(ctx, token);
    }

    fn accept_client(&mut self, ctx: &mut FrontendContext, token: Token) {
        if ctx.net.is_short_of_descriptors() && !ctx.net.reclaim_descriptors() {
            ctx.requests.counters_mut().capacity_rejected += 1;
            return ctx.net.close(token);
        }
        let is_tls = self.tls_listener.is_some() && ctx.net.accepting_listener(token) == self.tls_listener;
        let tls_config = self.config.tls_config.as_ref().filter(|_| is_tls);
        let tls = tls_config.and_then(|config| TlsConnection::new(config).ok());
        if is_tls && tls.is_none() {
            return ctx.net.close(token);
        }
        let requests_certificate = self.config.tls.as_ref().is_some_and(|tls| tls.client_ca.is_some());
        let allows_external = is_tls && requests_certificate;
        let allows_plain = is_tls || self.config.plain_unencrypted;
        let users = self.config.known_users.as_ref();
        let mechanisms = users.map(|users| users.mechanisms(allows_plain, allows_external));
        let settings = self.config.client_settings(&self.container);
        let conn = Connection::accept(ctx.now, settings, mechanisms);
        ctx.net.set_read_limit(token, self.config.read_ahead_bytes());
        let address = ctx.net.peer_addr(token).map(|peer| peer.ip());
        let max_per_address = self.config.max_connections_per_address;
        if !self.clients.insert(token, conn, tls, address, max_per_address) {
            ctx.requests.counters_mut().capacity_rejected += 1;
            ctx.net.close(token);
        }
    }

    /// Processes a client's input, unless the client does not read its answers or no memory is left for messages.
    pub(super) fn read_client(&mut self, ctx: &mut FrontendContext, token: Token) {
        if ctx.net.pending_output_bytes(token) >= OUTPUT_HIGH_WATERMARK_BYTES {
            return ctx.net.update_interest(token);
        }
        // Unprocessed plaintext is bounded as unprocessed input of the socket is.
        let max_plaintext = self.config.read_ahead_bytes();
        let is_full = |client: &mut Client| client.tls.is_some() && client.plaintext.len() >= max_plaintext;
        let was_full = self.clients.get(token).is_some_and(is_full);
        let mut bytes = Vec::new();
        let processed = match self.take_client_input(ctx, token, was_full, &mut bytes) {
            Ok(()) => self.process_client_input(ctx, token, &bytes),
            Err(fault) => ProcessedInput { count: 0, fault: Some(fault) },
        };
        let Some(client) = self.clients.get(token) else { return ctx.net.close(token) };
        if processed.count < bytes.len() {
            bytes.drain(..processed.count);
            if client.tls.is_some() {
                client.plaintext = bytes;
            } else if let Some(input) = ctx.net.input_buffer(token) {
                *input = bytes;
            }
        }
        if let Some(fault) = processed.fault {
            ctx.requests.counters_mut().malformed += 1;
            tracing::warn!(
                condition = %fault.condition,
                description = %fault.description,
                "AMQP client protocol error"
            );
            client.conn.close(Some(Box::new(fault.into())));
        }
        let has_room_again = was_full && client.plaintext.len() < max_plaintext;
        self.clients.mark_dirty(token);
        if has_room_again && ctx.net.input_buffer(token).is_some_and(|input| !input.is_empty()) {
            // For input that is already here, no further event comes.
            return self.read_client(ctx, token);
        }
        if ctx.net.is_read_closed(token) {
            return self.on_client_gone(ctx, token);
        }
        ctx.net.update_interest(token);
    }

    /// Takes a client's unprocessed input, decrypted where it uses TLS. While its plaintext is full, nothing is taken
    /// from the socket.
    fn take_client_input(
        &mut self,
        ctx: &mut FrontendContext,
        token: Token,
        is_full: bool,
        bytes: &mut Vec<u8>,
    ) -> Result<(), Fault> {
        let input = ctx.net.input_buffer(token).filter(|_| !is_full);
        *bytes = input.map(std::mem::take).unwrap_or_default();
        if let Some(Client { tls: Some(tls), plaintext, .. }) = self.clients.get(token) {
            let wire = std::mem::replace(bytes, std::mem::take(plaintext));
            tls.decrypt(&wire, bytes)
                .map_err(|error| sparbank_amqp::fault(condition::FRAMING_ERROR, error.to_string()))?;
        }
        Ok(())
    }

    fn process_client_input(
        &mut self,
        ctx: &mut FrontendContext,
        token: Token,
        bytes: &[u8],
    ) -> ProcessedInput {
        let mut rest = bytes;
        let mut fault = None;
        while let Some(client) = self.clients.get(token) {
            if self.deliveries.buffered_bytes() >= self.config.max_buffered_bytes {
                self.clients.pause(token);
                break;
            }
            match client.conn.next_event(ctx.now, &mut rest) {
                Ok(Some(event)) => self.on_client_protocol_event(ctx, token, event),
                Ok(None) => break,
                Err(error) => {
                    fault = Some(error);
                    break;
                }
            }
        }
        ProcessedInput { count: bytes.len() - rest.len(), fault }
    }

    fn on_client_protocol_event(&mut self, ctx: &mut FrontendContext, token: Token, event: Event<'_>) {
        match event {
            Event::SaslRequest(request) => self.authenticate(ctx, token, request),
            Event::Opened {} => self.on_client_opened(ctx, token),
            Event::AttachRequested { link, role: Role::Receiver, attach } => {
                self.attach_sending_link(ctx, token, link, &attach)
            }
            Event::AttachRequested { link, role: Role::Sender, attach } => {
                self.attach_receiving_link(ctx, token, link, attach)
            }
            Event::Credit { link } => {
                if let Some(forwarder) = self.forwarder_of_link(token, link) {
                    self.forward(ctx, forwarder);
                }
            }
            Event::SessionWindow { channel } => {
                for forwarder in self.forwarders.on_session(token, channel) {
                    self.forward(ctx, forwarder);
                }
            }
            Event::Transfer { link, transfer } => self.on_client_transfer(ctx, token, link, transfer),
            Event::Settled { link, key, state, .. } => {
                let forwarder = self.forwarder_of_link(token, link);
                if let Some(forwarder) = forwarder.and_then(|id| self.forwarders.get(id)) {
                    forwarder.settled_by_client(key, state, &mut self.servers);
                }
            }
            Event::SettledBySender { key, .. } => self.abandon_request(ctx, RequestId(key)),
            Event::DeliveryLost { role: Role::Receiver, key, .. } => {
                if let Some(client) = self.clients.get(token) {
                    client.detached_requests.push(RequestId(key));
                }
            }
            Event::Detached { link, closed, .. } => self.on_client_link_detached(ctx, token, link, closed),
            _ => {}
        }
    }

    fn on_client_opened(&mut self, ctx: &mut FrontendContext, token: Token) {
        ctx.net.mark_handshake_complete(token);
        let anonymous = self.config.known_users.as_ref().and_then(|users| users.anonymous());
        if let (Some(client), Some(identity)) = (self.clients.get(token), anonymous) {
            if client.identity.name.is_none() {
                client.identity = identity;
            }
        }
    }

    fn forwarder_of_link(&mut self, token: Token, link: LinkId) -> Option<ForwarderId> {
        match self.clients.get(token)?.links.get(&link)? {
            ClientLink::Receiving(forwarder) => Some(*forwarder),
            ClientLink::Sending(_) => None,
        }
    }

    /// A client's socket takes more output: its forwarders continue, in order.
    pub(super) fn forward_all(&mut self, ctx: &mut FrontendContext, token: Token) {
        let Some(client) = self.clients.get(token) else { return };
        let mut forwarders = client.forwarders();
        forwarders.sort_unstable();
        for forwarder in forwarders {
            self.forward(ctx, forwarder);
        }
    }

    /// A client's connection is closed or lost. Requests on links that may be resumed go on; the others are abandoned.
    pub(super) fn on_client_gone(&mut self, ctx: &mut FrontendContext, token: Token) {
        if let Some(client) = self.clients.get(token) {
            if let Some(tls) = &mut client.tls {
                tls.send_close_notify();
            }
            client.write_pending(ctx, token);
        }
        ctx.net.close(token);
        let Some(mut client) = self.clients.remove(token) else { return };
        self.release_unsettled(ctx, &mut client);
        for request_id in self.recovery.connection_lost(token, ctx.now) {
            self.abandon_request(ctx, request_id);
        }
        let mut links: Vec<(LinkId, ClientLink)> = client.links.drain().collect();
        links.sort_unstable_by_key(|(id, _)| *id);
        for (_, link) in links {
            match link {
                ClientLink::Receiving(forwarder) => self.on_forwarder_client_gone(ctx, forwarder),
                ClientLink::Sending(link) => {
                    if let IncompleteDelivery::ReadingHead(bytes) = link.incomplete {
                        self.deliveries.subtract_buffered(bytes.len());
                    }
                }
            }
        }
    }

    /// Suspends or abandons the unsettled requests of a client that is gone.
    fn release_unsettled(&mut self, ctx: &mut FrontendContext, client: &mut Client) {
        for AbandonedDelivery { link, role, key } in client.conn.abandon() {
            if role != Role::Receiver {
                continue;
            }
            let request_id = RequestId(key);
            let resumable = match client.links.get(&link) {
                Some(ClientLink::Sending(link)) if link.is_remembered => Some(link.key.clone()),
                _ => None,
            };
            let is_complete = self.deliveries.get(request_id).is_some_and(|delivery| delivery.complete);
            match resumable.filter(|_| is_complete) {
                Some(link_key) => self.suspend_request(&link_key, request_id),
                None => self.abandon_request(ctx, request_id),
            }
        }
    }

    /// Checks the idle timeouts of the clients' connections. When the node shuts down, closes those without open
    /// requests.
    pub(super) fn check_client_connections(&mut self, ctx: &mut FrontendContext) {
        let redirect = self.config.redirect.clone();
        for token in self.clients.tokens() {
            let Some(client) = self.clients.get(token) else { continue };
            if let Err(fault) = client.conn.tick(ctx.now) {
                client.conn.close(Some(Box::new(fault.into())));
            } else if self.shutting_down && client.is_idle() {
                client.conn.close(Some(Box::new(shutdown_error(redirect.as_ref()))));
            }
            self.clients.mark_dirty(token);
        }
    }
}
