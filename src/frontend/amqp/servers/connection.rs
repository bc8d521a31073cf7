//! Connections to servers, and the table of them indexed by socket.

use super::ended_attempt::EndedAttempt;
use crate::frontend::amqp::config::AmqpConfig;
use crate::frontend::amqp::deliveries::Deliveries;
use crate::frontend::amqp::fast_map::FastHashMap;
use crate::frontend::amqp::forwarder_id::ForwarderId;
use crate::frontend::amqp::nonce::nonce;
use crate::frontend::{FrontendContext, TimerEvent};
use crate::model::{Outcome, RequestId, ServerId};
use crate::net::{ConnectError, SocketOwner, Token};
use crate::requests::FrontendId;
use sparbank_amqp::{AbandonedDelivery, Connection, Credentials, LinkId, Role};

/// A connection to a server.
pub struct ServerConnection {
    /// The state of the AMQP connection.
    pub conn: Connection,
    server: ServerId,
    links: FastHashMap<LinkId, ServerLink>,
}

/// The purpose of a link to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerLink {
    /// Sends deliveries of the class with this index.
    Sending(usize),
    /// Receives deliveries for this forwarder.
    Receiving(ForwarderId),
}

/// Whether a server has a SASL layer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SaslSupport {
    /// The server is assumed to have a SASL layer, because it has not shown otherwise.
    #[default]
    Assumed,
    /// The server has no SASL layer: it answered the SASL header with the AMQP header.
    Absent,
}

impl ServerConnection {
    /// The server to which the connection leads.
    pub fn server(&self) -> ServerId {
        self.server
    }

    /// Returns the purpose of a link.
    pub fn link(&self, link: LinkId) -> Option<ServerLink> {
        self.links.get(&link).copied()
    }

    /// Adds a link with its purpose.
    pub fn add_link(&mut self, link: LinkId, purpose: ServerLink) {
        self.links.insert(link, purpose);
    }

    /// Removes a link and returns its purpose.
    pub fn remove_link(&mut self, link: LinkId) -> Option<ServerLink> {
        self.links.remove(&link)
    }

    /// Returns the link on which a forwarder receives.
    pub fn link_of_forwarder(&self, forwarder: ForwarderId) -> Option<LinkId> {
        let mut links = self.links.iter();
        let found = links.find(|(_, link)| **link == ServerLink::Receiving(forwarder));
        found.map(|(id, _)| *id)
    }

    /// Returns the forwarders that receive on this connection, in the order of their ids.
    pub fn forwarders(&self) -> Vec<ForwarderId> {
        let mut forwarders: Vec<ForwarderId> =
            self.links.values().filter_map(|link| link.forwarder()).collect();
        forwarders.sort_unstable();
        forwarders
    }

    /// Ends the attempts on this connection after it was closed. `written` is the number of octets of its output that
    /// were written to the socket; the others were discarded.
    pub fn end_attempts(&mut self, written: u64, deliveries: &Deliveries) -> Vec<EndedAttempt> {
        let mut ended = Vec::new();
        for AbandonedDelivery { link, role, key } in self.conn.abandon() {
            if let (Some(ServerLink::Sending(_)), Role::Sender) = (self.links.get(&link), role) {
                let request_id = RequestId(key);
                let outcome = deliveries.outcome_of_closed_connection(request_id, written);
                ended.push(EndedAttempt::Delivery { request_id, outcome });
            }
        }
        ended
    }

    /// Whether the connection is open, used by no forwarder, and without unsettled deliveries.
    pub fn is_idle(&self) -> bool {
        let is_idle = |(id, link): (&LinkId, &ServerLink)| {
            matches!(link, ServerLink::Sending(_)) && self.conn.unsettled(*id) == 0
        };
        self.conn.is_open() && self.links.iter().all(is_idle)
    }
}

impl ServerLink {
    /// The forwarder that receives on the link, if there is one.
    pub fn forwarder(&self) -> Option<ForwarderId> {
        match self {
            ServerLink::Receiving(forwarder) => Some(*forwarder),
            ServerLink::Sending(_) => None,
        }
    }
}

/// All connections to servers, indexed by socket.
pub struct ServerConnections {
    frontend: FrontendId,
    /// This node's container id.
    container: String,
    by_token: FastHashMap<Token, ServerConnection>,
}

impl ServerConnections {
    /// Creates an empty table. `container` is this node's container id.
    pub fn new(frontend: FrontendId, container: &str) -> ServerConnections {
        ServerConnections { frontend, container: container.to_string(), by_token: FastHashMap::default() }
    }

    /// This node's container id.
    pub fn container(&self) -> &str {
        &self.container
    }

    /// Returns the connection with this token.
    pub fn get(&self, token: Token) -> Option<&ServerConnection> {
        self.by_token.get(&token)
    }

    /// Returns the connection with this token, for modification.
    pub fn get_mut(&mut self, token: Token) -> Option<&mut ServerConnection> {
        self.by_token.get_mut(&token)
    }

    /// Removes the connection with this token from the table.
    pub fn remove(&mut self, token: Token) -> Option<ServerConnection> {
        self.by_token.remove(&token)
    }

    /// Returns the tokens of all connections, in order.
    pub fn tokens(&self) -> Vec<Token> {
        let mut tokens: Vec<Token> = self.by_token.keys().copied().collect();
        tokens.sort_unstable();
        tokens
    }

    /// The current number of connections.
    pub fn len(&self) -> usize {
        self.by_token.len()
    }

    /// Starts to open a connection to a server.
    ///
    /// # Errors
    /// The outcome of the attempts that need the connection, if it cannot be opened.
    pub fn dial(
        &mut self,
        ctx: &mut FrontendContext,
        config: &AmqpConfig,
        server: ServerId,
        sasl: SaslSupport,
    ) -> Result<Token, Outcome> {
        let endpoint = ctx.registry.entry(server).ok_or(Outcome::ConnectFailed)?;
        let access = config.server_access(endpoint.name(), endpoint.address(), &nonce());
        let is_without_sasl =
            sasl == SaslSupport::Absent && access.credentials == Some(Credentials::Anonymous);
        let credentials = access.credentials.filter(|_| !is_without_sasl);
        let connecting = ctx.net.connect(access.address, SocketOwner::Frontend(self.frontend));
        let token = connecting.map_err(ConnectError::outcome)?;
        ctx.net.set_read_limit(token, config.read_ahead_bytes());
        let conn = Connection::dial(ctx.now, config.server_settings(&self.container), credentials);
        let connection = ServerConnection { conn, server, links: FastHashMap::default() };
        self.by_token.insert(token, connection);
        ctx.wheel
            .schedule(ctx.now + ctx.settings.dial_timeout, TimerEvent::ConnectTimeout(self.frontend, token));
        self.write_pending(ctx, token);
        Ok(token)
    }

    /// Moves a connection's pending output to its socket.
    pub fn write_pending(&mut self, ctx: &mut FrontendContext, token: Token) {
        if let Some(connection) = self.by_token.get_mut(&token) {
            let out = connection.conn.take_output(ctx.now);
            if !out.is_empty() {
                ctx.net.send(token, &out);
            }
        }
    }
}
