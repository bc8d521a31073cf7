//! Attaches links to servers. A class has up to `server_lanes` sending links to a server, and each forwarder one receiving
//! link, on as few connections and sessions as the server's limits allow: a long message occupies its link and no other.

use super::connection::{ServerConnections, ServerLink};
use super::ended_attempt::EndedAttempt;
use super::server::{SendingLink, Server, WaitingForwarder};
use crate::frontend::amqp::class_names::ClassNames;
use crate::frontend::amqp::config::AmqpConfig;
use crate::frontend::amqp::connection_link::ConnectionLink;
use crate::frontend::FrontendContext;
use crate::model::{Outcome, ServerId};
use sparbank_amqp::{Attach, Role, Source, Target, Terminus};

/// Attaches the links that one server needs.
pub struct LinkPlacer<'a> {
    /// The configuration file.
    pub config: &'a AmqpConfig,
    /// The traffic classes.
    pub classes: &'a ClassNames,
    /// The server.
    pub server_id: ServerId,
}

/// A link to be attached.
struct NewLink<'a> {
    name: &'a str,
    /// This side's role.
    role: Role,
    attach: &'a Attach,
}

/// Where a link was attached.
enum Placement {
    /// On this connection.
    Attached(ConnectionLink),
    /// A connection or session that may take it is being opened.
    Pending,
    /// No connection or session can take it; the outcome of the attempts that need it.
    Unavailable(Outcome),
}

impl LinkPlacer<'_> {
    /// Opens a further sending link for each class that has requests waiting and no link that could take them: its
    /// first link, or another if long messages occupy all. Requests whose first link cannot be opened are ended.
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

    /// Attaches a sending link for a class, or begins to open what can take it.
    ///
    /// # Errors
    /// The outcome of the attempts that wait, if no connection or session can take the link.
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
            Placement::Attached(at) => {
                if let Some(connection) = connections.get_mut(at.token) {
                    connection.add_link(at.id, ServerLink::Sending(class));
                }
                server.classes[class].links.push(SendingLink { at, current: None });
                Ok(())
            }
            Placement::Pending => Ok(()),
            Placement::Unavailable(outcome) => Err(outcome),
        }
    }

    /// Attaches the receiving links of the forwarders that wait at the server.
    pub fn attach_waiting_forwarders(
        &self,
        ctx: &mut FrontendContext,
        server: &mut Server,
        connections: &mut ServerConnections,
        ended: &mut Vec<EndedAttempt>,
    ) {
        for WaitingForwarder { id, attach } in std::mem::take(&mut server.waiting_forwarders) {
            let name = format!("{}/{id}", connections.container());
            let link = NewLink { name: &name, role: Role::Receiver, attach: &attach };
            match self.place(ctx, server, connections, link) {
                Placement::Attached(at) => {
                    if let Some(connection) = connections.get_mut(at.token) {
                        connection.add_link(at.id, ServerLink::Receiving(id));
                    }
                }
                Placement::Pending => server.waiting_forwarders.push(WaitingForwarder { id, attach }),
                Placement::Unavailable(outcome) => ended.push(EndedAttempt::Forwarder { id, outcome }),
            }
        }
    }

    /// Attaches a link on the first session that takes it, or begins a session, or opens a connection.
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

/// The attach of a link on which deliveries for a class are sent.
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
