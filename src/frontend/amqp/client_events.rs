//! Events on clients' connections: accepted sockets, input, protocol events, disconnects, and idle timeouts.

use super::authentication::Authenticator;
use super::client_links::ClientLinks;
use super::clients::{ClientLink, Flushed};
use super::connection_link::ConnectionLink;
use super::delivery_requests::transfers::TransferHandler;
use super::delivery_requests::DeliveryRequests;
use super::forwarding::Forwarding;
use super::info::FrontendInfo;
use super::peers::Peers;
use super::replies::shutdown_error;
use super::users::TransportSecurity;
use crate::frontend::tls::TlsConnection;
use crate::frontend::FrontendContext;
use crate::model::RequestId;
use crate::net::{SocketEvent, SocketEventKind, Token, OUTPUT_HIGH_WATERMARK_BYTES};
use sparbank_amqp::{Connection, Event, Fault, LinkId, Role};

/// Handles the events of clients' connections. The frontend creates a handler for each call from the event loop.
pub struct ClientEvents<'a, 'b> {
    /// The components of the node that the frontend uses.
    pub ctx: &'a mut FrontendContext<'b>,
    /// The immutable properties of the frontend.
    pub info: &'a FrontendInfo,
    /// The connections on both sides.
    pub peers: Peers<'a>,
    /// The requests of clients' sending links.
    pub requests: &'a mut DeliveryRequests,
    /// The forwarders of clients' receiving links.
    pub forwarding: &'a mut Forwarding,
    /// The state of the clients' pending logins.
    pub authenticator: &'a mut Authenticator,
}

/// The result of processing a client's input.
struct ProcessedInput {
    /// The number of octets that were processed.
    count: usize,
    /// The protocol error that ends the connection, if there is one.
    fault: Option<Fault>,
}

impl<'b> ClientEvents<'_, 'b> {
    /// Handles an event of a client's socket.
    pub fn on_socket_event(&mut self, event: SocketEvent) {
        let token = event.token;
        match event.kind {
            SocketEventKind::Accepted => return self.accept(token),
            SocketEventKind::Evicted | SocketEventKind::HandshakeTimeout => {
                self.ctx.requests.counters_mut().idle_closed += 1;
                self.ctx.net.close(token);
                return self.on_disconnected(token);
            }
            SocketEventKind::Failed { .. } => return self.on_disconnected(token),
            SocketEventKind::OutputFlushed => self.forwarding.forward_all(self.ctx, &mut self.peers, token),
            SocketEventKind::Readable => {}
        }
        self.read(token);
    }

    fn accept(&mut self, token: Token) {
        let net = &mut *self.ctx.net;
        if net.is_short_of_descriptors() && !net.reclaim_descriptors() {
            self.ctx.requests.counters_mut().capacity_rejected += 1;
            return self.ctx.net.close(token);
        }
        let tls_listener = self.info.tls_listener;
        let is_tls = tls_listener.is_some() && net.accepting_listener(token) == tls_listener;
        let config = self.peers.config;
        let tls_config = config.tls_config.as_ref().filter(|_| is_tls);
        let tls = tls_config.and_then(|tls_config| TlsConnection::new(tls_config).ok());
        if is_tls && tls.is_none() {
            return net.close(token);
        }
        let requests_certificate = config.tls.as_ref().is_some_and(|tls| tls.client_ca.is_some());
        let transport = TransportSecurity {
            allows_plain: is_tls || config.plain_unencrypted,
            requests_certificate: is_tls && requests_certificate,
        };
        let mechanisms = config.users.as_ref().map(|users| users.mechanisms(transport));
        let settings = config.client_settings(&self.info.container);
        let conn = Connection::accept(self.ctx.now, settings, mechanisms);
        net.set_read_limit(token, config.read_ahead_bytes());
        net.watch_peer_end(token);
        let address = net.peer_addr(token).map(|peer| peer.ip());
        let max_per_address = config.max_connections_per_address;
        if self.peers.clients.insert(token, conn, tls, address, max_per_address).is_err() {
            self.ctx.requests.counters_mut().capacity_rejected += 1;
            self.ctx.net.close(token);
        }
    }

    /// Reads again from the clients that were paused because the buffered messages reached `max_buffered_bytes`, as far
    /// as there is memory for them.
    pub fn resume_paused_reads(&mut self) {
        let max_bytes = self.peers.config.max_buffered_bytes;
        for token in self.peers.clients.take_resumable(self.requests.buffer(), max_bytes) {
            self.read(token);
        }
    }

    /// Stops reading a client that holds much of the buffered messages while they have reached their limit.
    fn pause(&mut self, token: Token) {
        self.peers.clients.pause(token);
        self.requests.warn_buffer_full(self.ctx.now, self.peers.clients, self.peers.config);
    }

    /// Handles the end of a client's stream before all of its input is read. The client waits for no answer any more, so
    /// its requests are abandoned, except those on links that it may resume, and no further ones are started. The
    /// remaining input is read without limits, because none of it is buffered.
    fn on_departed(&mut self, token: Token) {
        let Some(client) = self.peers.clients.get(token) else { return };
        if !client.depart() {
            return;
        }
        self.peers.clients.resume(token);
        self.requests.on_client_departed(self.ctx, &mut self.peers, token);
    }

    /// Processes a client's input, unless its pending output or the buffered messages have reached their limit.
    fn read(&mut self, token: Token) {
        let is_output_full = self.ctx.net.pending_output_bytes(token) >= OUTPUT_HIGH_WATERMARK_BYTES;
        if self.ctx.net.has_peer_ended(token) {
            if is_output_full {
                // The client reads no answers any more.
                return self.on_disconnected(token);
            }
            self.on_departed(token);
        } else if is_output_full {
            return self.ctx.net.update_interest(token);
        }
        // Unprocessed plaintext has the same limit as unprocessed input in the socket's buffer.
        let max_plaintext = self.peers.config.read_ahead_bytes();
        let client = self.peers.clients.get(token);
        let was_full = client.is_some_and(|client| client.is_plaintext_full(max_plaintext));
        // While the plaintext buffer is full, no input is taken from the socket.
        let input = self.ctx.net.input_buffer(token).filter(|_| !was_full);
        let mut bytes = input.map(std::mem::take).unwrap_or_default();
        let processed = self.process(token, &mut bytes);
        let Some(client) = self.peers.clients.get(token) else { return self.ctx.net.close(token) };
        let is_incomplete = processed.count < bytes.len();
        if is_incomplete {
            bytes.drain(..processed.count);
            client.restore_input(self.ctx, token, bytes);
        }
        let is_still_full = client.is_plaintext_full(max_plaintext);
        if is_incomplete {
            self.transfer_handler().on_incomplete_frame(token);
        }
        if let Some(fault) = processed.fault {
            self.close_on_fault(token, fault);
        }
        self.peers.clients.mark_dirty(token);
        let has_capacity_again = was_full && !is_still_full;
        if has_capacity_again && self.ctx.net.input_buffer(token).is_some_and(|input| !input.is_empty()) {
            // Input that is already in the socket's buffer raises no further event.
            return self.read(token);
        }
        if self.ctx.net.is_read_closed(token) {
            return self.on_disconnected(token);
        }
        self.ctx.net.update_interest(token);
    }

    /// Decrypts a client's input if it uses TLS, and handles the protocol events in it. On return, `bytes` holds the
    /// plaintext of the input, preceded by the plaintext that earlier calls left unprocessed.
    fn process(&mut self, token: Token, bytes: &mut Vec<u8>) -> ProcessedInput {
        if let Some(Err(fault)) = self.peers.clients.get(token).map(|client| client.decrypt(bytes)) {
            return ProcessedInput { count: 0, fault: Some(fault) };
        }
        let mut rest = &bytes[..];
        let mut fault = None;
        while let Some(client) = self.peers.clients.get(token) {
            let may_receive = self.requests.buffer().may_receive(token, self.peers.config.max_buffered_bytes);
            if !may_receive && !client.has_departed() {
                self.pause(token);
                break;
            }
            match client.conn.next_event(self.ctx.now, &mut rest) {
                Ok(Some(event)) => self.on_protocol_event(token, event),
                Ok(None) => break,
                Err(error) => {
                    fault = Some(error);
                    break;
                }
            }
        }
        ProcessedInput { count: bytes.len() - rest.len(), fault }
    }

    /// Closes the connection of a client that violated the protocol.
    fn close_on_fault(&mut self, token: Token, fault: Fault) {
        let Some(client) = self.peers.clients.get(token) else { return };
        self.ctx.requests.counters_mut().malformed += 1;
        tracing::warn!(
            condition = %fault.condition,
            description = %fault.description,
            "AMQP client protocol error"
        );
        client.conn.close(Some(Box::new(fault.into())));
    }

    fn on_protocol_event(&mut self, token: Token, event: Event<'_>) {
        let connection_link = |id: LinkId| ConnectionLink { token, id };
        match event {
            Event::SaslRequest(request) => {
                self.authenticator.on_request(self.ctx, &mut self.peers, token, request)
            }
            Event::Opened {} => self.on_opened(token),
            Event::AttachRequested { link, role, attach } => {
                self.link_handler().on_attach(connection_link(link), role, attach)
            }
            Event::Credit { link } => {
                if let Some(forwarder) = self.peers.clients.forwarder_of(connection_link(link)) {
                    self.forwarding.forward(self.ctx, &mut self.peers, forwarder);
                }
            }
            Event::SessionWindow { channel } => {
                self.forwarding.on_session_window(self.ctx, &mut self.peers, token, channel)
            }
            Event::Transfer { link, transfer } => {
                self.transfer_handler().on_transfer(connection_link(link), transfer)
            }
            Event::Settled { link, key, state, .. } => {
                if let Some(forwarder) = self.peers.clients.forwarder_of(connection_link(link)) {
                    self.forwarding.on_settled_by_client(self.peers.servers, forwarder, key, state);
                }
            }
            Event::SettledBySender { link, key } => {
                let (link, request_id) = (connection_link(link), RequestId(key));
                self.requests.on_settled_by_client(self.ctx, &mut self.peers, link, request_id)
            }
            Event::DeliveryLost { role: Role::Receiver, key, .. } => {
                if let Some(client) = self.peers.clients.get(token) {
                    client.add_detached_request(RequestId(key));
                }
            }
            Event::Detached { link, mode, .. } => {
                self.link_handler().on_detached(connection_link(link), mode)
            }
            _ => {}
        }
    }

    fn link_handler(&mut self) -> ClientLinks<'_, 'b> {
        ClientLinks {
            ctx: self.ctx,
            info: self.info,
            peers: self.peers.reborrow(),
            requests: self.requests,
            forwarding: self.forwarding,
        }
    }

    fn transfer_handler(&mut self) -> TransferHandler<'_, 'b> {
        TransferHandler {
            ctx: self.ctx,
            info: self.info,
            peers: self.peers.reborrow(),
            requests: self.requests,
        }
    }

    fn on_opened(&mut self, token: Token) {
        self.ctx.net.mark_handshake_complete(token);
        let anonymous = self.peers.config.users.as_ref().and_then(|users| users.anonymous_identity());
        if let (Some(client), Some(identity)) = (self.peers.clients.get(token), anonymous) {
            if client.identity().name.is_none() {
                client.set_identity(identity);
            }
        }
    }

    /// Writes the pending output of the clients that are marked dirty.
    pub fn flush(&mut self) {
        for token in self.peers.clients.take_dirty() {
            if self.peers.clients.flush(self.ctx, token) == Flushed::Closed {
                self.on_disconnected(token);
            } else if self.peers.clients.clear_stall(self.ctx, token) {
                self.forwarding.forward_all(self.ctx, &mut self.peers, token);
            }
        }
    }

    /// Handles the end of a client's connection, closed or lost. Requests on links that may be resumed continue; all
    /// others are abandoned.
    fn on_disconnected(&mut self, token: Token) {
        if let Some(client) = self.peers.clients.get(token) {
            client.write_final_output(self.ctx, token);
        }
        self.ctx.net.close(token);
        let Some(mut client) = self.peers.clients.remove(token) else { return };
        self.requests.on_connection_lost(self.ctx, &mut self.peers, token, &mut client);
        for link in client.take_links() {
            match link {
                ClientLink::Receiving(forwarder) => {
                    self.forwarding.on_client_disconnected(self.ctx, self.peers.servers, forwarder)
                }
                ClientLink::Sending(link) => self.requests.drop_incomplete(token, &link.incomplete),
            }
        }
    }

    /// Handles the expiry of a timer of a client's socket.
    pub fn on_timer(&mut self, token: Token) {
        self.authenticator.on_timer(self.ctx, &mut self.peers, token);
        if self.peers.clients.get(token).is_none() {
            return;
        }
        // What has arrived while the process did not run is not late.
        self.ctx.net.read_available(token);
        self.read(token);
        if let Err(fault) = self.transfer_handler().check_incomplete(token) {
            self.close_on_fault(token, fault);
            self.peers.clients.mark_dirty(token);
        }
    }

    /// Ends the incomplete deliveries that keep clients from being read.
    pub fn end_blocking_deliveries(&mut self) {
        self.transfer_handler().end_blocking_deliveries();
    }

    /// Discards the state of links that were not resumed in time.
    pub fn expire_links(&mut self) {
        self.requests.expire(self.ctx, &mut self.peers);
    }

    /// Checks the idle timeouts of the clients' connections. While the node drains, also closes the connections without
    /// open requests.
    pub fn check_connections(&mut self) {
        let redirect = self.peers.config.redirect.as_ref();
        let is_draining = self.peers.clients.is_draining();
        for token in self.peers.clients.tokens() {
            self.peers.clients.record_activity(self.ctx, token);
            let Some(client) = self.peers.clients.get(token) else { continue };
            if let Err(fault) = client.conn.tick(self.ctx.now) {
                client.conn.close(Some(Box::new(fault.into())));
            } else if is_draining && client.is_idle() {
                client.conn.close(Some(Box::new(shutdown_error(redirect))));
            }
            self.peers.clients.mark_dirty(token);
        }
    }
}
