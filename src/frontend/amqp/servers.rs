//! The servers' connections, and the requests and forwarders that wait at each server. `server_links` attaches links to
//! servers, `sending` sends deliveries on them.

use super::config::AmqpConfig;
use super::deliveries::{AttemptStage, Deliveries, Map};
use super::fair_queue::FairQueue;
use super::forwarders::ForwarderId;
use crate::frontend::{FrontendContext, TimerEvent};
use crate::model::{Outcome, RequestId, ServerId};
use crate::net::{ConnectError, SocketOwner, Token};
use crate::requests::FrontendId;
use sparbank_amqp::{AbandonedDelivery, Attach, Connection, Credentials, LinkId, Role};

/// A connection to a server.
pub struct ServerConnection {
    /// The server.
    pub server: ServerId,
    /// The protocol state.
    pub conn: Connection,
    /// What its links are for.
    pub links: Map<LinkId, ServerLink>,
}

/// What a link to a server is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerLink {
    /// Deliveries of the class with this index are sent on it.
    Sending(usize),
    /// A forwarder's deliveries are received on it.
    Receiving(ForwarderId),
}

/// A link on which deliveries of one class are sent to a server.
pub(super) struct SendingLink {
    pub token: Token,
    pub link: LinkId,
    /// The delivery that was sent on it partly.
    pub current: Option<RequestId>,
}

/// The requests of one class that wait at a server, and the links for them.
#[derive(Default)]
pub(super) struct ClassQueue {
    pub waiting: FairQueue,
    pub links: Vec<SendingLink>,
}

/// A server.
#[derive(Default)]
pub(super) struct Server {
    pub connections: Vec<Token>,
    /// By class; empty until the first request.
    pub classes: Vec<ClassQueue>,
    /// Forwarders that wait for a session.
    pub waiting_forwarders: Vec<(ForwarderId, Box<Attach>)>,
    /// It answered the SASL header with AMQP's: it has no SASL layer.
    pub has_no_sasl: bool,
    /// It is listed among the servers that may have something to do.
    dirty: bool,
    /// Rotates the class that is served first.
    pub rotation: usize,
}

/// What became of an attempt at a server.
pub enum AttemptResult {
    /// A delivery's attempt has ended.
    Ended(RequestId, Outcome),
    /// A forwarder got no link: there is no connection, or no capacity.
    ForwarderNotAttached(ForwarderId, Outcome),
}

/// What a lost connection leaves behind.
#[derive(Default)]
pub struct LostConnection {
    /// Attempts that ended with it.
    pub results: Vec<AttemptResult>,
    /// Forwarders that received on it, in order.
    pub forwarders: Vec<ForwarderId>,
}

/// All servers and their connections.
pub struct Servers {
    frontend: FrontendId,
    pub(super) container: String,
    /// The names of the classes.
    pub(super) classes: Vec<String>,
    pub(super) by_id: Map<ServerId, Server>,
    pub(super) by_token: Map<Token, ServerConnection>,
    pub(super) dirty: Vec<ServerId>,
    /// A message's first octets, put together for its first frame; a field so that its allocation is reused.
    pub(super) scratch: Vec<u8>,
}

impl Servers {
    /// No servers yet. `container` is this node's container id.
    pub fn new(frontend: FrontendId, container: &str, classes: Vec<String>) -> Servers {
        Servers {
            frontend,
            container: container.to_string(),
            classes,
            by_id: Map::default(),
            by_token: Map::default(),
            dirty: Vec::new(),
            scratch: Vec::new(),
        }
    }

    /// The server at the other end of a connection.
    pub fn server_of(&self, token: Token) -> Option<ServerId> {
        self.by_token.get(&token).map(|connection| connection.server)
    }

    /// A connection.
    pub fn get(&mut self, token: Token) -> Option<&mut ServerConnection> {
        self.by_token.get_mut(&token)
    }

    /// Queues a request's attempt until a link can send it.
    pub fn enqueue(&mut self, server_id: ServerId, class: usize, client: Token, request_id: RequestId) {
        let classes = self.classes.len();
        let server = self.by_id.entry(server_id).or_default();
        if server.classes.is_empty() {
            server.classes.resize_with(classes, ClassQueue::default);
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
    pub fn enqueue_forwarder(&mut self, server: ServerId, forwarder: ForwarderId, attach: Box<Attach>) {
        self.by_id.entry(server).or_default().waiting_forwarders.push((forwarder, attach));
        self.mark_dirty(server);
    }

    /// Marks a server: there may be something to send to it.
    pub fn mark_dirty(&mut self, server_id: ServerId) {
        if let Some(server) = self.by_id.get_mut(&server_id).filter(|server| !server.dirty) {
            server.dirty = true;
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

    /// Unmarks a server.
    pub(super) fn clear_dirty(&mut self, server: ServerId) {
        if let Some(server) = self.by_id.get_mut(&server) {
            server.dirty = false;
        }
    }

    // ---- Connections -----------------------------------------------------------------------------

    /// Opens a connection to a server.
    ///
    /// # Errors
    /// The outcome of the attempts that needed it, where that is impossible.
    pub(super) fn dial(
        &mut self,
        ctx: &mut FrontendContext,
        config: &AmqpConfig,
        server_id: ServerId,
    ) -> Result<(), Outcome> {
        let endpoint = ctx.registry.entry(server_id).ok_or(Outcome::ConnectFailed)?;
        let nonce = super::password_checks::nonce();
        let access = config.server_access(endpoint.name(), endpoint.address(), &nonce);
        let server = self.by_id.get_mut(&server_id).ok_or(Outcome::ConnectFailed)?;
        let mut credentials = access.credentials;
        if server.has_no_sasl && credentials == Some(Credentials::Anonymous) {
            credentials = None;
        }
        let connecting = ctx.net.connect(access.address, SocketOwner::Frontend(self.frontend));
        let token = connecting.map_err(ConnectError::outcome)?;
        ctx.net.set_read_limit(token, config.read_ahead_bytes());
        let conn = Connection::dial(ctx.now, config.server_settings(&self.container), credentials);
        server.connections.push(token);
        let connection = ServerConnection { server: server_id, conn, links: Map::default() };
        self.by_token.insert(token, connection);
        ctx.wheel.schedule(ctx.now + ctx.site.dial_timeout, TimerEvent::ConnectTimeout(self.frontend, token));
        self.write_pending(ctx, token);
        Ok(())
    }

    /// Passes a connection's pending output to its socket.
    pub(super) fn write_pending(&mut self, ctx: &mut FrontendContext, token: Token) {
        if let Some(connection) = self.by_token.get_mut(&token) {
            let out = connection.conn.take_output(ctx.now);
            if !out.is_empty() {
                ctx.net.send(token, &out);
            }
        }
    }

    /// A connection is lost. An attempt on it has not run where its last octet was not written.
    pub fn connection_lost(
        &mut self,
        ctx: &mut FrontendContext,
        token: Token,
        deliveries: &Deliveries,
    ) -> LostConnection {
        let mut lost = LostConnection::default();
        let written = ctx.net.bytes_written(token);
        ctx.net.close(token);
        let Some(mut connection) = self.by_token.remove(&token) else { return lost };
        lost.results = connection.end_attempts(written, deliveries);
        lost.forwarders = connection.receiving_forwarders();
        let server_id = connection.server;
        let Some(server) = self.by_id.get_mut(&server_id) else { return lost };
        server.remove_connection(token);
        if connection.conn.peer_has_no_sasl() && !std::mem::replace(&mut server.has_no_sasl, true) {
            // The next connection goes without SASL: the requests in the queues wait for it.
            self.mark_dirty(server_id);
            return lost;
        }
        if server.connections.is_empty() {
            self.remove_server(server_id, &mut lost.results);
        }
        lost
    }

    /// Removes a server without connections: everything that waits there could not connect.
    fn remove_server(&mut self, server_id: ServerId, results: &mut Vec<AttemptResult>) {
        let Some(mut server) = self.by_id.remove(&server_id) else { return };
        for class in &mut server.classes {
            results.extend(class.fail_waiting(Outcome::ConnectFailed));
        }
        let waiting = server.waiting_forwarders.into_iter();
        results
            .extend(waiting.map(|(forwarder, _)| {
                AttemptResult::ForwarderNotAttached(forwarder, Outcome::ConnectFailed)
            }));
        if server.has_no_sasl {
            self.by_id.insert(server_id, Server { has_no_sasl: true, ..Server::default() });
        }
    }

    /// Whether a connection is not open yet.
    pub fn is_opening(&self, token: Token) -> bool {
        self.by_token.get(&token).is_some_and(|connection| !connection.conn.is_open())
    }

    /// All connections, in order.
    pub fn tokens(&self) -> Vec<Token> {
        let mut tokens: Vec<Token> = self.by_token.keys().copied().collect();
        tokens.sort_unstable();
        tokens
    }

    /// The number of connections.
    pub fn len(&self) -> usize {
        self.by_token.len()
    }

    /// Whether a connection is idle and its server is draining or gone.
    pub fn is_drained(&self, ctx: &FrontendContext, token: Token) -> bool {
        let Some(connection) = self.by_token.get(&token) else { return false };
        let is_serving = ctx.registry.entry(connection.server).is_some_and(|server| server.is_ready());
        !is_serving && connection.is_idle()
    }
}

impl Server {
    fn remove_connection(&mut self, token: Token) {
        self.connections.retain(|connection| *connection != token);
        for class in &mut self.classes {
            class.links.retain(|link| link.token != token);
        }
    }
}

impl ClassQueue {
    /// Empties the queue: its attempts could not connect, with this outcome.
    pub fn fail_waiting(&mut self, outcome: Outcome) -> Vec<AttemptResult> {
        let waiting = self.waiting.drain().into_iter();
        waiting.map(|request_id| AttemptResult::Ended(request_id, outcome)).collect()
    }

    /// Whether each link is taken by a delivery that was sent partly.
    pub fn all_links_busy(&self) -> bool {
        self.links.iter().all(|link| link.current.is_some())
    }
}

impl ServerConnection {
    /// Ends the attempts on this connection, of whose output `written` octets were written.
    fn end_attempts(&mut self, written: u64, deliveries: &Deliveries) -> Vec<AttemptResult> {
        let mut results = Vec::new();
        for AbandonedDelivery { link, role, key } in self.conn.abandon() {
            if let (Some(ServerLink::Sending(_)), Role::Sender) = (self.links.get(&link), role) {
                let request_id = RequestId(key);
                let outcome = interrupted_outcome(deliveries, request_id, written);
                results.push(AttemptResult::Ended(request_id, outcome));
            }
        }
        results
    }

    /// The forwarders that receive on this connection, in order.
    fn receiving_forwarders(&self) -> Vec<ForwarderId> {
        let mut forwarders: Vec<ForwarderId> =
            self.links.values().filter_map(|link| link.forwarder()).collect();
        forwarders.sort_unstable();
        forwarders
    }

    /// Whether it is open, no forwarder uses it and no delivery on it is unsettled.
    fn is_idle(&self) -> bool {
        let is_idle = |(id, link): (&LinkId, &ServerLink)| {
            matches!(link, ServerLink::Sending(_)) && self.conn.unsettled(*id) == 0
        };
        self.conn.is_open() && self.links.iter().all(is_idle)
    }
}

impl ServerLink {
    /// The forwarder that receives on it.
    pub fn forwarder(&self) -> Option<ForwarderId> {
        match self {
            ServerLink::Receiving(forwarder) => Some(*forwarder),
            ServerLink::Sending(_) => None,
        }
    }
}

/// The outcome of an attempt whose link or connection is lost after `written` octets of the connection's output: it may
/// have run where its last octet was written.
pub fn interrupted_outcome(deliveries: &Deliveries, request_id: RequestId, written: u64) -> Outcome {
    let attempt = deliveries.get(request_id).and_then(|delivery| delivery.attempt.as_ref());
    match attempt.map(|attempt| &attempt.stage) {
        Some(AttemptStage::Sent { end, .. }) if *end <= written => Outcome::Reset,
        _ => Outcome::ConnectFailed,
    }
}
