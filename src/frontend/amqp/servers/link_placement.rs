//! Attaches links to servers. Each class has up to `server_lanes` sending links to a server, so that a long message
//! blocks only its own link. Each forwarder has one receiving link. The links use as few connections and sessions as
//! the limits of the server allow.

use super::connection::{ServerConnections, ServerLink};
use super::ended_attempt::EndedAttempt;
use super::server::{SendingLink, Server, WaitingForwarder};
use crate::frontend::amqp::class_names::ClassNames;
use crate::frontend::amqp::config::AmqpConfig;
use crate::frontend::amqp::connection_link::ConnectionLink;
use crate::frontend::amqp::forwarder_id::ForwarderId;
use crate::frontend::FrontendContext;
use crate::model::{Outcome, ServerId};
use sparbank_amqp::{Attach, Role, Source, Target, Terminus};

/// Attaches the links to one server.
pub struct LinkPlacer<'a> {
    /// The configuration, which limits the connections to the server and the links on them.
    pub config: &'a AmqpConfig,
    /// The names of the classes, which are the addresses of sending links.
    pub classes: &'a ClassNames,
    /// The server to which the links are attached.
    pub server_id: ServerId,
}

/// A link to be attached.
struct NewLink<'a> {
    name: &'a str,
    /// The role of this node on the link.
    role: Role,
    attach: &'a Attach,
}

/// The result of placing a link on a connection.
enum Placement {
    /// The attach was sent, on this connection and session.
    Attached(ConnectionLink),
    /// A connection or session for the link is being opened.
    Pending,
    /// No connection or session is available. The attempts that need the link end with this outcome.
    Unavailable(Outcome),
}

impl LinkPlacer<'_> {
    /// Adds a sending link for each class whose requests are waiting because it has no link, or because partly sent
    /// messages occupy all of its links. If the first link of a class cannot be attached, the waiting attempts end.
    pub fn add_sending_links(
        &self,
        ctx: &mut FrontendContext,
        server: &mut Server,
        connections: &mut ServerConnections,
        ended: &mut Vec<EndedAttempt>,
    ) {
        for class in 0..server.classes.len() {
            let queue = &server.classes[class];
            if !queue.needs_link() || queue.links.len() >= self.config.max_server_links_per_class {
                continue;
            }
            let is_first = queue.links.is_empty();
            match self.add_sending_link(ctx, server, connections, class) {
                Err(outcome) if is_first => ended.extend(server.classes[class].fail_waiting(outcome)),
                Ok(()) | Err(_) => {}
            }
        }
    }

    /// Attaches a sending link for a class, or opens a connection or session for it.
    ///
    /// # Errors
    /// The outcome of the waiting attempts, if no connection or session is available for the link.
    fn add_sending_link(
        &self,
        ctx: &mut FrontendContext,
        server: &mut Server,
        connections: &mut ServerConnections,
        class: usize,
    ) -> Result<(), Outcome> {
        let address = self.classes.name(class);
        let name = match server.classes[class].links.len() {
            0 => address.to_string(),
            count => format!("{address}#{count}"),
        };
        let attach = sending_attach(address);
        let link = NewLink { name: &name, role: Role::Sender, attach: &attach };
        match self.place(ctx, server, connections, link) {
            Placement::Attached(link) => {
                if let Some(connection) = connections.get_mut(link.token) {
                    connection.add_link(link.id, ServerLink::Sending(class));
                }
                server.classes[class].links.push(SendingLink { link, sending: None });
                Ok(())
            }
            Placement::Pending => Ok(()),
            Placement::Unavailable(outcome) => Err(outcome),
        }
    }

    /// Attaches the receiving links of the forwarders that wait for a session with the server, and returns the forwarders
    /// whose attaches were sent.
    pub fn attach_waiting_forwarders(
        &self,
        ctx: &mut FrontendContext,
        server: &mut Server,
        connections: &mut ServerConnections,
        ended: &mut Vec<EndedAttempt>,
    ) -> Vec<ForwarderId> {
        let mut attached = Vec::new();
        for WaitingForwarder { id, attach } in std::mem::take(&mut server.waiting_forwarders) {
            let name = format!("{}/{id}", connections.container());
            let link = NewLink { name: &name, role: Role::Receiver, attach: &attach };
            match self.place(ctx, server, connections, link) {
                Placement::Attached(link) => {
                    if let Some(connection) = connections.get_mut(link.token) {
                        connection.add_link(link.id, ServerLink::Receiving(id));
                    }
                    attached.push(id);
                }
                Placement::Pending => server.waiting_forwarders.push(WaitingForwarder { id, attach }),
                Placement::Unavailable(outcome) => ended.push(EndedAttempt::Forwarder { id, outcome }),
            }
        }
        attached
    }

    /// Attaches a link on the first session that has room for it. If there is none, begins a session or opens a
    /// connection.
    fn place(
        &self,
        ctx: &mut FrontendContext,
        server: &mut Server,
        connections: &mut ServerConnections,
        link: NewLink<'_>,
    ) -> Placement {
        for token in &server.connections {
            let Some(connection) = connections.get_mut(*token) else { continue };
            let conn = &mut connection.conn;
            if !conn.is_open() {
                return Placement::Pending;
            }
            for channel in conn.channels() {
                if !conn.has_begun(channel) {
                    return Placement::Pending;
                }
                if let Some(id) = conn.attach(channel, link.name, link.role, link.attach.clone()) {
                    return Placement::Attached(ConnectionLink { token: *token, id });
                }
            }
            if conn.begin().is_some() {
                return Placement::Pending;
            }
        }
        if server.connections.len() >= self.config.max_server_connections {
            return Placement::Unavailable(Outcome::ConnectFailed);
        }
        match connections.dial(ctx, self.config, self.server_id, server.sasl) {
            Ok(token) => {
                server.connections.push(token);
                Placement::Pending
            }
            Err(outcome) => Placement::Unavailable(outcome),
        }
    }
}

/// Builds the attach of a sending link whose target is the address of a class.
fn sending_attach(address: &str) -> Attach {
    let target = Target { address: Some(address.to_string()), ..Target::default() };
    Attach {
        snd_settle_mode: Some(0),
        rcv_settle_mode: Some(0),
        source: Some(Source::default()),
        target: Some(Terminus::Target(target)),
        ..Attach::default()
    }
}
