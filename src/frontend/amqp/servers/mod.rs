//! The server side of the frontend: the queues of each server and the connections to it.
//!
//! [`Servers`] owns both and is the interface for the rest of the frontend. Queued attempts are sent when the event
//! loop calls [`Servers::flush`]: `link_placement` attaches the links that are needed, and `sending` sends deliveries
//! on them.

mod connection;
mod ended_attempt;
mod fair_queue;
mod link_placement;
mod sending;
mod server;

pub use connection::{ServerConnection, ServerLink};
pub use ended_attempt::EndedAttempt;

use super::class_names::ClassNames;
use super::config::AmqpConfig;
use super::connection_link::ConnectionLink;
use super::deliveries::Deliveries;
use super::fast_map::FastHashMap;
use super::forwarder_id::ForwarderId;
use crate::frontend::FrontendContext;
use crate::model::{Outcome, RequestId, ServerId};
use crate::net::Token;
use crate::requests::FrontendId;
use connection::{SaslSupport, ServerConnections};
use link_placement::LinkPlacer;
use sending::{DeliverySender, MAX_UNWRITTEN_BYTES};
use server::{ClassQueue, Server, WaitingForwarder};
use sparbank_amqp::{Attach, DetachMode};

/// The attempts and forwarders that are affected by the loss of a connection.
#[derive(Default)]
pub struct LostConnection {
    /// The attempts that ended with the connection.
    pub ended: Vec<EndedAttempt>,
    /// The forwarders that received on the connection, in the order of their ids.
    pub forwarders: Vec<ForwarderId>,
}

/// What has become of queued attempts.
#[derive(Default)]
pub struct FlushResult {
    /// The attempts that ended while sending.
    pub ended: Vec<EndedAttempt>,
    /// The forwarders whose attaches were sent.
    pub attached: Vec<ForwarderId>,
}

/// All servers, their queues and their connections.
pub struct Servers {
    classes: ClassNames,
    connections: ServerConnections,
    by_id: FastHashMap<ServerId, Server>,
    /// Servers that may have something to send, in the order in which they were marked.
    dirty: Vec<ServerId>,
    /// The buffer in which the start of a message is encoded. It is a field so that its allocation is reused.
    encode_buffer: Vec<u8>,
}

impl Servers {
    /// Creates an empty set of servers. `container` is this node's container id.
    pub fn new(frontend: FrontendId, container: &str, classes: ClassNames) -> Servers {
        Servers {
            classes,
            connections: ServerConnections::new(frontend, container),
            by_id: FastHashMap::default(),
            dirty: Vec::new(),
            encode_buffer: Vec::new(),
        }
    }

    /// Returns the server to which a connection connects, or `None` if this is not a connection to a server.
    pub fn server_of(&self, token: Token) -> Option<ServerId> {
        self.connections.get(token).map(|connection| connection.server())
    }

    /// Returns the connection with this token.
    pub fn connection(&mut self, token: Token) -> Option<&mut ServerConnection> {
        self.connections.get_mut(token)
    }

    /// Returns the purpose of a link.
    pub fn link(&self, link: ConnectionLink) -> Option<ServerLink> {
        self.connections.get(link.token)?.link(link.id)
    }

    /// Returns the tokens of all connections, in order.
    pub fn tokens(&self) -> Vec<Token> {
        self.connections.tokens()
    }

    /// The current number of connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Whether a connection exists and is not open yet.
    pub fn is_opening(&self, token: Token) -> bool {
        self.connections.get(token).is_some_and(|connection| !connection.conn.is_open())
    }

    /// Whether a connection is idle and its server is draining or was removed from the endpoint list.
    pub fn is_drained(&self, ctx: &FrontendContext, token: Token) -> bool {
        let Some(connection) = self.connections.get(token) else { return false };
        let is_serving = ctx.registry.entry(connection.server()).is_some_and(|server| server.is_ready());
        !is_serving && connection.is_idle()
    }

    /// Whether there are connections to this server, or attempts that wait for one.
    pub fn is_used(&self, server: ServerId) -> bool {
        self.by_id.get(&server).is_some_and(Server::is_used)
    }

    /// Discards what is known of servers that no longer exist.
    pub fn forget(&mut self, servers: &[ServerId]) {
        for server in servers {
            self.by_id.remove(server);
        }
    }

    /// Queues the attempt of a request until a link can send it.
    pub fn enqueue(&mut self, server_id: ServerId, class: usize, client: Token, request_id: RequestId) {
        let class_count = self.classes.len();
        let server = self.by_id.entry(server_id).or_default();
        if server.classes.is_empty() {
            server.classes.resize_with(class_count, ClassQueue::default);
        }
        server.classes[class].waiting.push(client, request_id);
        self.mark_dirty(server_id);
    }

    /// Removes the attempt of a request from its queue.
    pub fn dequeue(&mut self, server: ServerId, class: usize, client: Token, request_id: RequestId) {
        if let Some(server) = self.by_id.get_mut(&server) {
            server.classes[class].waiting.remove(client, request_id);
        }
    }

    /// Queues the attach of a forwarder until a session is available for it.
    pub fn enqueue_forwarder(&mut self, server: ServerId, id: ForwarderId, attach: Box<Attach>) {
        self.by_id.entry(server).or_default().waiting_forwarders.push(WaitingForwarder { id, attach });
        self.mark_dirty(server);
    }

    /// Cancels a forwarder that is not established. If its attach was sent, the link is detached.
    pub fn cancel_forwarder(&mut self, server_id: ServerId, forwarder: ForwarderId) {
        let Some(server) = self.by_id.get_mut(&server_id) else { return };
        server.remove_waiting_forwarder(forwarder);
        let mut is_attached = false;
        for token in &server.connections {
            let Some(connection) = self.connections.get_mut(*token) else { continue };
            if let Some(link) = connection.link_of_forwarder(forwarder) {
                connection.remove_link(link);
                connection.conn.detach(link, DetachMode::Closed, None);
                is_attached = true;
            }
        }
        if is_attached {
            self.mark_dirty(server_id);
        }
    }

    /// Detaches a link on which a forwarder received.
    pub fn detach_source(&mut self, link: ConnectionLink) {
        if let Some(connection) = self.connections.get_mut(link.token) {
            connection.remove_link(link.id);
            connection.conn.detach(link.id, DetachMode::Closed, None);
        }
        self.mark_connection_dirty(link.token);
    }

    /// Handles the loss of a sending link. If it was the last link of its class, the waiting attempts end; otherwise
    /// they wait for the other links.
    pub fn on_sending_link_lost(&mut self, link: ConnectionLink, class: usize) -> Vec<EndedAttempt> {
        let Some(server_id) = self.server_of(link.token) else { return Vec::new() };
        let Some(server) = self.by_id.get_mut(&server_id) else { return Vec::new() };
        let queue = &mut server.classes[class];
        queue.links.retain(|sending_link| sending_link.link != link);
        if queue.links.is_empty() {
            return queue.fail_waiting(Outcome::ConnectFailed);
        }
        self.mark_dirty(server_id);
        Vec::new()
    }

    /// Releases the link of a delivery that was settled or aborted before it was sent completely.
    pub fn free_sending_link(&mut self, server_id: ServerId, class: usize, request_id: RequestId) {
        if let Some(server) = self.by_id.get_mut(&server_id) {
            let links = server.classes[class].links.iter_mut();
            for sending_link in links.filter(|sending_link| sending_link.sending == Some(request_id)) {
                sending_link.sending = None;
            }
        }
        self.mark_dirty(server_id);
    }

    /// Marks a server to which there may be something to send.
    pub fn mark_dirty(&mut self, server_id: ServerId) {
        if let Some(server) = self.by_id.get_mut(&server_id).filter(|server| !server.is_dirty) {
            server.is_dirty = true;
            self.dirty.push(server_id);
        }
    }

    /// Marks the server of a connection as dirty.
    pub fn mark_connection_dirty(&mut self, token: Token) {
        if let Some(server) = self.server_of(token) {
            self.mark_dirty(server);
        }
    }

    /// Whether any server is marked as dirty.
    pub fn is_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Sends to the servers that are marked dirty, as far as credit, session windows and sockets allow.
    pub fn flush(
        &mut self,
        ctx: &mut FrontendContext,
        config: &AmqpConfig,
        deliveries: &mut Deliveries,
    ) -> FlushResult {
        let mut result = FlushResult::default();
        for server_id in std::mem::take(&mut self.dirty) {
            let full = self.send_waiting(ctx, config, server_id, deliveries, &mut result);
            self.write_pending(ctx, server_id);
            // If the socket of a full connection accepted its output immediately, no event will report that it is
            // writable again. The next round sends on this connection, so each round leaves less to send.
            if full.iter().any(|token| ctx.net.pending_output_bytes(*token) < MAX_UNWRITTEN_BYTES) {
                self.mark_dirty(server_id);
            }
        }
        result
    }

    /// Sends the queued attempts of a server. Returns the connections that are full and have more to send.
    fn send_waiting(
        &mut self,
        ctx: &mut FrontendContext,
        config: &AmqpConfig,
        server_id: ServerId,
        deliveries: &mut Deliveries,
        result: &mut FlushResult,
    ) -> Vec<Token> {
        let Some(server) = self.by_id.get_mut(&server_id) else { return Vec::new() };
        let FlushResult { ended, attached } = result;
        let connections = &mut self.connections;
        server.is_dirty = false;
        let placer = LinkPlacer { config, classes: &self.classes, server_id };
        attached.extend(placer.attach_waiting_forwarders(ctx, server, connections, ended));
        placer.add_sending_links(ctx, server, connections, ended);
        if server.classes.is_empty() {
            return Vec::new();
        }
        let mut sender = DeliverySender {
            ctx: &mut *ctx,
            server_id,
            max_retryable_bytes: config.max_retryable_bytes,
            max_links_per_class: config.max_server_links_per_class,
            deliveries,
            encode_buffer: &mut self.encode_buffer,
            ended: &mut *ended,
        };
        let full = sender.send_all(server, connections);
        placer.add_sending_links(ctx, server, connections, ended);
        full
    }

    /// Moves the pending output of a server's connections to their sockets.
    fn write_pending(&mut self, ctx: &mut FrontendContext, server_id: ServerId) {
        let Some(server) = self.by_id.get(&server_id) else { return };
        for token in &server.connections {
            self.connections.write_pending(ctx, *token);
        }
    }

    /// Closes and removes a connection, and discards its buffered output. Its attempts end; an attempt can have run only
    /// if its last octet was written to the socket.
    pub fn on_connection_lost(
        &mut self,
        ctx: &mut FrontendContext,
        token: Token,
        deliveries: &Deliveries,
    ) -> LostConnection {
        let mut lost = LostConnection::default();
        let written = ctx.net.close_discarding_output(token);
        let Some(mut connection) = self.connections.remove(token) else { return lost };
        lost.ended = connection.end_attempts(written, deliveries);
        lost.forwarders = connection.forwarders();
        let server_id = connection.server();
        let Some(server) = self.by_id.get_mut(&server_id) else { return lost };
        server.remove_connection(token);
        if connection.conn.peer_lacks_sasl() && server.sasl != SaslSupport::Absent {
            // The queued requests wait for the next connection, which is opened without SASL.
            server.sasl = SaslSupport::Absent;
            self.mark_dirty(server_id);
            return lost;
        }
        if server.connections.is_empty() {
            lost.ended.extend(self.remove_server(server_id));
        }
        lost
    }

    /// Removes a server without connections and ends its waiting attempts with `ConnectFailed`. If the server has
    /// no SASL layer, an entry with this fact is retained for its next connection.
    fn remove_server(&mut self, server_id: ServerId) -> Vec<EndedAttempt> {
        let Some(mut server) = self.by_id.remove(&server_id) else { return Vec::new() };
        if server.sasl == SaslSupport::Absent {
            self.by_id.insert(server_id, Server { sasl: SaslSupport::Absent, ..Server::default() });
        }
        server.fail_all(Outcome::ConnectFailed)
    }
}
