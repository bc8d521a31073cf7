//! Links to servers. A class has up to `server_lanes` sending links to a server, on as few connections and sessions as
//! the server's limits allow: a long message occupies its link and no other.

use super::config::AmqpConfig;
use super::forwarders::ForwarderId;
use super::servers::{AttemptResult, SendingLink, ServerLink, Servers};
use crate::frontend::FrontendContext;
use crate::model::{Outcome, RequestId, ServerId};
use crate::net::Token;
use sparbank_amqp::{Attach, LinkId, Role, Source, Target, Terminus};

/// Where a link could be attached.
enum Placement {
    /// On this connection.
    Attached(Token, LinkId),
    /// A connection or session that may take it is being opened.
    Pending,
    /// No connection or session can take it; the outcome of the attempts that need it.
    Unavailable(Outcome),
}

impl Servers {
    /// Attaches a link on the first session that takes it, or begins a session, or opens a connection.
    fn place_link(
        &mut self,
        ctx: &mut FrontendContext,
        config: &AmqpConfig,
        server: ServerId,
        name: &str,
        role: Role,
        attach: &Attach,
    ) -> Placement {
        let connections = self.connections_of(server);
        for token in &connections {
            let Some(connection) = self.by_token.get_mut(token) else { continue };
            if !connection.conn.is_open() {
                return Placement::Pending;
            }
            for channel in connection.conn.channels() {
                if !connection.conn.has_begun(channel) {
                    return Placement::Pending;
                }
                if let Some(link) = connection.conn.attach(channel, name, role, attach.clone()) {
                    return Placement::Attached(*token, link);
                }
            }
            if connection.conn.begin().is_some() {
                return Placement::Pending;
            }
        }
        if connections.len() >= config.max_server_connections {
            return Placement::Unavailable(Outcome::ConnectFailed);
        }
        match self.dial(ctx, config, server) {
            Ok(()) => Placement::Pending,
            Err(outcome) => Placement::Unavailable(outcome),
        }
    }

    /// The connections to a server, in the order in which they were opened.
    pub(super) fn connections_of(&self, server: ServerId) -> Vec<Token> {
        self.by_id.get(&server).map_or(Vec::new(), |server| server.connections.clone())
    }

    /// Opens a further sending link for each class that has requests waiting and no link that could take them: its
    /// first link, or another where long messages occupy all.
    pub(super) fn add_sending_links(
        &mut self,
        ctx: &mut FrontendContext,
        config: &AmqpConfig,
        server_id: ServerId,
        results: &mut Vec<AttemptResult>,
    ) {
        let classes = self.by_id.get(&server_id).map_or(0, |server| server.classes.len());
        for class in 0..classes {
            let Some(queue) = self.by_id.get(&server_id).map(|server| &server.classes[class]) else { return };
            let is_needed = !queue.waiting.is_empty() && queue.all_links_busy();
            if !is_needed || queue.links.len() >= config.max_server_links_per_class {
                continue;
            }
            let is_first = queue.links.is_empty();
            let Err(outcome) = self.add_sending_link(ctx, config, server_id, class) else { continue };
            if let Some(server) = self.by_id.get_mut(&server_id).filter(|_| is_first) {
                results.extend(server.classes[class].fail_waiting(outcome));
            }
        }
    }

    /// Attaches a sending link for a class.
    ///
    /// # Errors
    /// The outcome of the attempts that wait, where no connection or session can take it.
    fn add_sending_link(
        &mut self,
        ctx: &mut FrontendContext,
        config: &AmqpConfig,
        server_id: ServerId,
        class: usize,
    ) -> Result<(), Outcome> {
        let count = self.by_id.get(&server_id).map_or(0, |server| server.classes[class].links.len());
        let address = self.classes[class].clone();
        let name = if count == 0 { address.clone() } else { format!("{address}#{count}") };
        let target = Target { address: Some(address), ..Target::default() };
        let attach = Attach {
            snd_settle_mode: Some(0),
            rcv_settle_mode: Some(0),
            source: Some(Source::default()),
            target: Some(Terminus::Target(target)),
            ..Attach::default()
        };
        match self.place_link(ctx, config, server_id, &name, Role::Sender, &attach) {
            Placement::Attached(token, link) => {
                if let Some(connection) = self.by_token.get_mut(&token) {
                    connection.links.insert(link, ServerLink::Sending(class));
                }
                if let Some(server) = self.by_id.get_mut(&server_id) {
                    server.classes[class].links.push(SendingLink { token, link, current: None });
                }
                Ok(())
            }
            Placement::Pending => Ok(()),
            Placement::Unavailable(outcome) => Err(outcome),
        }
    }

    /// A sending link is lost. The requests that wait for it go on waiting where there is another.
    pub fn sending_link_lost(&mut self, token: Token, link: LinkId, class: usize) -> Vec<AttemptResult> {
        let Some(server_id) = self.server_of(token) else { return Vec::new() };
        let Some(server) = self.by_id.get_mut(&server_id) else { return Vec::new() };
        let queue = &mut server.classes[class];
        queue.links.retain(|other| (other.token, other.link) != (token, link));
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

    /// Attaches the receiving links of the forwarders that wait at a server.
    pub(super) fn attach_waiting_forwarders(
        &mut self,
        ctx: &mut FrontendContext,
        config: &AmqpConfig,
        server_id: ServerId,
        results: &mut Vec<AttemptResult>,
    ) {
        let Some(server) = self.by_id.get_mut(&server_id) else { return };
        for (forwarder, attach) in std::mem::take(&mut server.waiting_forwarders) {
            let name = format!("{}/{forwarder}", self.container);
            match self.place_link(ctx, config, server_id, &name, Role::Receiver, &attach) {
                Placement::Attached(token, link) => {
                    if let Some(connection) = self.by_token.get_mut(&token) {
                        connection.links.insert(link, ServerLink::Receiving(forwarder));
                    }
                }
                Placement::Pending => {
                    if let Some(server) = self.by_id.get_mut(&server_id) {
                        server.waiting_forwarders.push((forwarder, attach));
                    }
                }
                Placement::Unavailable(outcome) => {
                    results.push(AttemptResult::ForwarderNotAttached(forwarder, outcome));
                }
            }
        }
    }

    /// Cancels a forwarder that is not established: its link, if its attach was sent, is detached. True where nothing
    /// was sent.
    pub fn cancel_forwarder(&mut self, server: ServerId, forwarder: ForwarderId) -> bool {
        if self.remove_waiting_forwarder(server, forwarder) {
            return true;
        }
        for token in self.connections_of(server) {
            let Some(connection) = self.by_token.get_mut(&token) else { continue };
            let mut links = connection.links.iter();
            let found = links.find(|(_, link)| **link == ServerLink::Receiving(forwarder));
            if let Some(link) = found.map(|(id, _)| *id) {
                connection.links.remove(&link);
                connection.conn.detach(link, true, None);
                self.mark_dirty(server);
            }
        }
        false
    }

    /// Removes a forwarder that waits for a session. False where it does not wait.
    fn remove_waiting_forwarder(&mut self, server: ServerId, forwarder: ForwarderId) -> bool {
        let Some(server) = self.by_id.get_mut(&server) else { return false };
        let before = server.waiting_forwarders.len();
        server.waiting_forwarders.retain(|(waiting, _)| *waiting != forwarder);
        server.waiting_forwarders.len() < before
    }

    /// Detaches a link that a forwarder received on.
    pub fn detach_source(&mut self, token: Token, link: LinkId) {
        if let Some(connection) = self.by_token.get_mut(&token) {
            connection.links.remove(&link);
            connection.conn.detach(link, true, None);
        }
        self.mark_connection_dirty(token);
    }
}
