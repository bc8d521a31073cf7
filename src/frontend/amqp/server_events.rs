//! Event handling for servers' connections: input, protocol events, loss, idle timeouts and ended attempts.

use super::connection_link::ConnectionLink;
use super::delivery_requests::DeliveryRequests;
use super::forwarder_id::ForwarderId;
use super::forwarding::Forwarding;
use super::peers::Peers;
use super::servers::{EndedAttempt, ServerLink};
use crate::frontend::FrontendContext;
use crate::model::{RequestId, ServerId};
use crate::net::{SocketEvent, SocketEventKind, Token};
use sparbank_amqp::{Error, Event, Fault, LinkId, Role};

/// Handles the events of servers' connections. The frontend creates a handler for each call from the event loop.
pub struct ServerEvents<'a, 'b> {
    /// The components of the node that the frontend uses.
    pub ctx: &'a mut FrontendContext<'b>,
    /// The connections on both sides.
    pub peers: Peers<'a>,
    /// The requests whose deliveries are sent to servers.
    pub requests: &'a mut DeliveryRequests,
    /// The forwarders of the deliveries that servers send.
    pub forwarding: &'a mut Forwarding,
}

impl ServerEvents<'_, '_> {
    /// Handles an event of a server's socket.
    pub fn on_socket_event(&mut self, event: SocketEvent) {
        let token = event.token;
        let fault = self.process_input(token);
        let Some(connection) = self.peers.servers.connection(token) else { return };
        if let Some(fault) = fault.filter(|_| !connection.conn.peer_lacks_sasl()) {
            tracing::warn!(
                condition = %fault.condition,
                description = %fault.description,
                "server protocol error"
            );
            connection.conn.close(Some(Box::new(fault.into())));
        }
        let is_lost = connection.conn.is_closed()
            || self.ctx.net.is_read_closed(token)
            || matches!(event.kind, SocketEventKind::Failed { .. });
        if is_lost {
            return self.on_connection_lost(token);
        }
        self.peers.servers.mark_connection_dirty(token);
        self.ctx.net.update_interest(token);
    }

    /// Processes a server's buffered input. Returns the protocol fault at which processing stopped, if there was one.
    fn process_input(&mut self, token: Token) -> Option<Fault> {
        let mut bytes = self.ctx.net.input_buffer(token).map(std::mem::take).unwrap_or_default();
        let mut rest = &bytes[..];
        let mut fault = None;
        while let Some(connection) = self.peers.servers.connection(token) {
            match connection.conn.next_event(self.ctx.now, &mut rest) {
                Ok(Some(event)) => self.on_protocol_event(token, event),
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
            if let Some(input) = self.ctx.net.input_buffer(token) {
                *input = bytes;
            }
        }
        fault
    }

    fn on_protocol_event(&mut self, token: Token, event: Event<'_>) {
        let at = |id: LinkId| ConnectionLink { token, id };
        match event {
            Event::Attached { link, attach } => {
                let Some(id) = self.forwarder_of(at(link)) else { return };
                if attach.source.is_none() {
                    // A refusal, which a detach follows.
                    self.forwarding.on_source_refused(id);
                } else {
                    self.forwarding.on_source_attached(self.ctx, &mut self.peers, id, at(link), &attach);
                }
            }
            Event::AttachRequested { link, role, attach } => {
                self.forwarding.on_server_attach_request(self.ctx, &mut self.peers, at(link), role, &attach)
            }
            Event::Settled { link, key, state, .. } => {
                if let Some(class) = self.class_of(at(link)) {
                    let request_id = RequestId(key);
                    self.requests.on_settled_by_server(self.ctx, &mut self.peers, class, request_id, state);
                }
            }
            Event::Transfer { link, transfer } => {
                if let Some(id) = self.forwarder_of(at(link)) {
                    self.forwarding.on_transfer(self.ctx, &mut self.peers, id, at(link), transfer);
                }
            }
            Event::SettledBySender { link, key } => {
                if let Some(id) = self.forwarder_of(at(link)) {
                    // The key of a server's delivery is its delivery id.
                    self.forwarding.on_settled_by_server(&mut self.peers, id, at(link), key as u32);
                }
            }
            Event::DeliveryLost { link, role: Role::Sender, key } if self.class_of(at(link)).is_some() => {
                self.requests.on_delivery_lost(self.ctx, &mut self.peers, RequestId(key));
            }
            Event::Detached { link, error, .. } => self.on_link_detached(at(link), error.map(|error| *error)),
            _ => {}
        }
    }

    /// Returns the forwarder that receives on a link.
    fn forwarder_of(&self, link: ConnectionLink) -> Option<ForwarderId> {
        self.peers.servers.link(link)?.forwarder()
    }

    /// Returns the index of the class whose deliveries are sent on a link.
    fn class_of(&self, link: ConnectionLink) -> Option<usize> {
        match self.peers.servers.link(link)? {
            ServerLink::Sending(class) => Some(class),
            ServerLink::Receiving(_) => None,
        }
    }

    fn on_link_detached(&mut self, link: ConnectionLink, error: Option<Error>) {
        let connection = self.peers.servers.connection(link.token);
        match connection.and_then(|connection| connection.remove_link(link.id)) {
            Some(ServerLink::Sending(class)) => {
                let ended = self.peers.servers.on_sending_link_lost(link, class);
                self.on_attempts_ended(ended);
            }
            Some(ServerLink::Receiving(id)) => {
                self.forwarding.on_source_detached(self.ctx, &mut self.peers, id, link, error)
            }
            None => {}
        }
    }

    /// Handles the loss or the close of a server's connection.
    pub fn on_connection_lost(&mut self, token: Token) {
        if let Some(connection) = self.peers.servers.connection(token) {
            // Pending output, such as a close with its error, is written before the socket is closed.
            let out = connection.conn.take_output(self.ctx.now);
            self.ctx.net.send(token, &out);
        }
        let lost = self.peers.servers.on_connection_lost(self.ctx, token, self.requests.deliveries());
        for id in lost.forwarders {
            self.forwarding.on_source_connection_lost(self.ctx, &mut self.peers, token, id);
        }
        self.on_attempts_ended(lost.ended);
    }

    /// Handles the connect timeout of a connection. If the connection is not open yet, it is closed.
    pub fn on_connect_timeout(&mut self, token: Token) {
        if self.peers.servers.is_opening(token) {
            self.on_connection_lost(token);
        }
    }

    /// Reports ended attempts to the owners of their requests.
    fn on_attempts_ended(&mut self, ended: Vec<EndedAttempt>) {
        for attempt in ended {
            match attempt {
                EndedAttempt::Delivery { request_id, outcome } => {
                    self.requests.on_attempt_ended(self.ctx, &mut self.peers, request_id, outcome)
                }
                EndedAttempt::Forwarder { id, outcome } => {
                    self.forwarding.on_attempt_failed(self.ctx, &mut self.peers, id, outcome)
                }
            }
        }
    }

    /// Ends the attempts at these servers that were not sent, because the servers accept no new attempts.
    pub fn on_servers_draining(&mut self, stopped: &[ServerId]) {
        self.requests.on_servers_draining(self.ctx, &mut self.peers, stopped);
        self.forwarding.on_servers_draining(self.ctx, &mut self.peers, stopped);
    }

    /// Sends what is queued for the servers that are marked dirty.
    pub fn flush(&mut self) {
        let Peers { config, servers, .. } = &mut self.peers;
        let result = servers.flush(self.ctx, config, self.requests.deliveries());
        self.forwarding.on_attaches_sent(&result.attached);
        self.on_attempts_ended(result.ended);
    }

    /// Checks the idle timeouts of servers' connections, and closes the connections that are no longer needed.
    pub fn check_connections(&mut self) {
        for token in self.peers.servers.tokens() {
            let Some(connection) = self.peers.servers.connection(token) else { continue };
            if connection.conn.tick(self.ctx.now).is_err() {
                self.on_connection_lost(token);
                continue;
            }
            if connection.conn.pending_output() > 0 {
                self.peers.servers.mark_connection_dirty(token);
            }
            if self.peers.servers.is_drained(self.ctx, token) {
                if let Some(connection) = self.peers.servers.connection(token) {
                    connection.conn.close(None);
                }
                self.on_connection_lost(token);
            }
        }
    }
}
