//! The servers: what waits at each, and the connections to them.
//!
//! [`Servers`] owns both and is the way in for the rest of the frontend. What is queued here is sent when the event loop
//! calls [`Servers::flush`]: `link_placement` attaches the links that are needed, `sending` sends deliveries on them.

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
use sparbank_amqp::{Attach, LinkEnd};

/// What a lost connection leaves behind.
#[derive(Default)]
pub struct LostConnection {
    /// Attempts that ended with it.
    pub ended: Vec<EndedAttempt>,
    /// Forwarders that received on it, in order.
    pub forwarders: Vec<ForwarderId>,
}

/// All servers and their connections.
pub struct Servers {
    classes: ClassNames,
    connections: ServerConnections,
    by_id: FastHashMap<ServerId, Server>,
    /// Servers that may have something to send, in the order in which they were marked.
    dirty: Vec<ServerId>,
    /// A message's first octets, put together for its first frame; a field so that its allocation is reused.
    scratch: Vec<u8>,
}

impl Servers {
    /// No servers yet. `container` is this node's container id.
    pub fn new(frontend: FrontendId, container: &str, classes: ClassNames) -> Servers {
        Servers {
            classes,
            connections: ServerConnections::new(frontend, container),
            by_id: FastHashMap::default(),
            dirty: Vec::new(),
            scratch: Vec::new(),
        }
    }

    /// The server at the other end of a connection.
    pub fn server_of(&self, token: Token) -> Option<ServerId> {
        self.connections.get(token).map(|connection| connection.server())
    }

    /// A connection.
    pub fn connection(&mut self, token: Token) -> Option<&mut ServerConnection> {
        self.connections.get_mut(token)
    }

    /// What a link is for.
    pub fn link(&self, link: ConnectionLink) -> Option<ServerLink> {
        self.connections.get(link.token)?.link(link.id)
    }

    /// All connections, in order.
    pub fn tokens(&self) -> Vec<Token> {
        self.connections.tokens()
    }

    /// The number of connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Whether a connection is not open yet.
    pub fn is_opening(&self, token: Token) -> bool {
        self.connections.get(token).is_some_and(|connection| !connection.conn.is_open())
    }

    /// Whether a connection is idle and its server is draining or gone.
    pub fn is_drained(&self, ctx: &FrontendContext, token: Token) -> bool {
        let Some(connection) = self.connections.get(token) else { return false };
        let is_serving = ctx.registry.entry(connection.server()).is_some_and(|server| server.is_ready());
        !is_serving && connection.is_idle()
    }

    /// Queues a request's attempt until a link can send it.
    pub fn enqueue(&mut self, server_id: ServerId, class: usize, client: Token, request_id: RequestId) {
        let class_count = self.classes.len();
        let server = self.by_id.entry(server_id).or_default();
        if server.classes.is_empty() {
            server.classes.resize_with(class_count, ClassQueue::default);
        }
        server.classes[class].waiting.push(client, request_id);
        self.mark_dirty(server_id);
    }

    /// Removes a request's attempt from its queue.
    pub fn dequeue(&mut self, server: ServerId, class: usize, client: Token, request_id: RequestId) {
        if let Some(server) = self.by_id.get_mut(&server) {
            server.classes[class].waiting.remove(client, request_id);
        }
    }

    /// Queues a forwarder's attach until there is a session for it.
    pub fn enqueue_forwarder(&mut self, server: ServerId, id: ForwarderId, attach: Box<Attach>) {
        self.by_id.entry(server).or_default().waiting_forwarders.push(WaitingForwarder { id, attach });
        self.mark_dirty(server);
    }

    /// Cancels a forwarder that is not established: its link, if its attach was sent, is detached. True if nothing was
    /// sent.
    pub fn cancel_forwarder(&mut self, server_id: ServerId, forwarder: ForwarderId) -> bool {
        let Some(server) = self.by_id.get_mut(&server_id) else { return false };
        if server.remove_waiting_forwarder(forwarder) {
            return true;
        }
        let mut is_attached = false;
        for token in &server.connections {
            let Some(connection) = self.connections.get_mut(*token) else { continue };
            if let Some(link) = connection.link_of_forwarder(forwarder) {
                connection.remove_link(link);
                connection.conn.detach(link, LinkEnd::Closed, None);
                is_attached = true;
            }
        }
        if is_attached {
            self.mark_dirty(server_id);
        }
        false
    }

    /// Detaches a link that a forwarder received on.
    pub fn detach_source(&mut self, link: ConnectionLink) {
        if let Some(connection) = self.connections.get_mut(link.token) {
            connection.remove_link(link.id);
            connection.conn.detach(link.id, LinkEnd::Closed, None);
        }
        self.mark_connection_dirty(link.token);
    }

    /// A sending link is lost. The requests that wait for it go on waiting if there is another.
    pub fn on_sending_link_lost(&mut self, link: ConnectionLink, class: usize) -> Vec<EndedAttempt> {
        let Some(server_id) = self.server_of(link.token) else { return Vec::new() };
        let Some(server) = self.by_id.get_mut(&server_id) else { return Vec::new() };
        let queue = &mut server.classes[class];
        queue.links.retain(|other| other.at != link);
        if queue.links.is_empty() {
            return queue.fail_waiting(Outcome::ConnectFailed);
        }
        self.mark_dirty(server_id);
        Vec::new()
    }

    /// A delivery was settled or aborted before it was sent completely: its link is free again.
    pub fn free_sending_link(&mut self, server_id: ServerId, class: usize, request_id: RequestId) {
        if let Some(server) = self.by_id.get_mut(&server_id) {
            let links = server.classes[class].links.iter_mut();
            for link in links.filter(|link| link.current == Some(request_id)) {
                link.current = None;
            }
        }
        self.mark_dirty(server_id);
    }

    /// Marks a server: there may be something to send to it.
    pub fn mark_dirty(&mut self, server_id: ServerId) {
        if let Some(server) = self.by_id.get_mut(&server_id).filter(|server| !server.is_dirty) {
            server.is_dirty = true;
            self.dirty.push(server_id);
        }
    }

    /// Marks the server of a connection.
    pub fn mark_connection_dirty(&mut self, token: Token) {
        if let Some(server) = self.server_of(token) {
            self.mark_dirty(server);
        }
    }

    /// Whether any server is marked.
    pub fn is_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Sends everything that credit, session windows and sockets allow to the servers that are marked dirty. Returns the
    /// attempts that ended meanwhile.
    pub fn flush(
        &mut self,
        ctx: &mut FrontendContext,
        config: &AmqpConfig,
        deliveries: &mut Deliveries,
    ) -> Vec<EndedAttempt> {
        let mut ended = Vec::new();
        for server_id in std::mem::take(&mut self.dirty) {
            let is_connection_full = self.send_waiting(ctx, config, server_id, deliveries, &mut ended);
            let has_capacity = self.write_pending(ctx, server_id);
            // If the socket took everything at once, no event says that it takes more.
            if is_connection_full && has_capacity {
                self.mark_dirty(server_id);
            }
        }
        ended
    }

    /// Sends a server what waits for it. True if a connection is full and there is more to send.
    fn send_waiting(
        &mut self,
        ctx: &mut FrontendContext,
        config: &AmqpConfig,
        server_id: ServerId,
        deliveries: &mut Deliveries,
        ended: &mut Vec<EndedAttempt>,
    ) -> bool {
        let Some(server) = self.by_id.get_mut(&server_id) else { return false };
        let connections = &mut self.connections;
        server.is_dirty = false;
        let placer = LinkPlacer { config, classes: &self.classes, server_id };
        placer.attach_waiting_forwarders(ctx, server, connections, ended);
        placer.add_sending_links(ctx, server, connections, ended);
        if server.classes.is_empty() {
            return false;
        }
        let mut sender = DeliverySender {
            ctx: &mut *ctx,
            server_id,
            max_retryable_bytes: config.max_retryable_bytes,
            deliveries,
            scratch: &mut self.scratch,
            ended: &mut *ended,
        };
        let is_connection_full = sender.send_all(server, connections);
        placer.add_sending_links(ctx, server, connections, ended);
        is_connection_full
    }

    /// Passes the pending output of a server's connections to their sockets. True if one of them takes more.
    fn write_pending(&mut self, ctx: &mut FrontendContext, server_id: ServerId) -> bool {
        let Some(server) = self.by_id.get(&server_id) else { return false };
        let mut has_capacity = false;
        for token in &server.connections {
            self.connections.write_pending(ctx, *token);
            has_capacity |= ctx.net.pending_output_bytes(*token) < MAX_UNWRITTEN_BYTES;
        }
        has_capacity
    }

    /// A connection is lost. An attempt on it has not run unless its last octet was written.
    pub fn on_connection_lost(
        &mut self,
        ctx: &mut FrontendContext,
        token: Token,
        deliveries: &Deliveries,
    ) -> LostConnection {
        let mut lost = LostConnection::default();
        let written = ctx.net.bytes_written(token);
        ctx.net.close(token);
        let Some(mut connection) = self.connections.remove(token) else { return lost };
        lost.ended = connection.end_attempts(written, deliveries);
        lost.forwarders = connection.forwarders();
        let server_id = connection.server();
        let Some(server) = self.by_id.get_mut(&server_id) else { return lost };
        server.remove_connection(token);
        if connection.conn.peer_has_no_sasl() && server.sasl != SaslSupport::Absent {
            // The next connection goes without SASL: the requests in the queues wait for it.
            server.sasl = SaslSupport::Absent;
            self.mark_dirty(server_id);
            return lost;
        }
        if server.connections.is_empty() {
            lost.ended.extend(self.remove_server(server_id));
        }
        lost
    }

    /// Removes a server without connections: everything that waits there could not connect.
    fn remove_server(&mut self, server_id: ServerId) -> Vec<EndedAttempt> {
        let Some(mut server) = self.by_id.remove(&server_id) else { return Vec::new() };
        if server.sasl == SaslSupport::Absent {
            self.by_id.insert(server_id, Server { sasl: SaslSupport::Absent, ..Server::default() });
        }
        server.fail_all(Outcome::ConnectFailed)
    }
}
