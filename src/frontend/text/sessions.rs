//! The table of all sessions, by each of the names under which a session is looked up.

use super::request_line::OpenRequest;
use super::session::{AttemptState, Session, SessionState};
use crate::model::{RequestId, ServerId};
use crate::net::Token;
use std::collections::{HashMap, HashSet};

/// All clients with a request.
#[derive(Default)]
pub(super) struct Sessions {
    /// Sessions by their client's connection.
    by_client: HashMap<Token, Session>,
    /// Clients by their request.
    clients: HashMap<RequestId, Token>,
    /// Clients by the connection to their server.
    clients_by_server_connection: HashMap<Token, Token>,
    /// The clients' ids of all open requests.
    open_ids: HashSet<String>,
}

impl Sessions {
    // ---- Look-ups ------------------------------------------------------------------------------

    /// The session of a client.
    pub(super) fn get(&self, client: Token) -> Option<&Session> {
        self.by_client.get(&client)
    }

    /// The same, to change it. Connections and the request are changed by the methods below.
    pub(super) fn get_mut(&mut self, client: Token) -> Option<&mut Session> {
        self.by_client.get_mut(&client)
    }

    /// Whether this connection is a client's with a session.
    pub(super) fn contains(&self, client: Token) -> bool {
        self.by_client.contains_key(&client)
    }

    /// The client of a request.
    pub(super) fn client_of_request(&self, request_id: RequestId) -> Option<Token> {
        self.clients.get(&request_id).copied()
    }

    /// The client of a connection to a server.
    pub(super) fn client_of_server_connection(&self, server_connection: Token) -> Option<Token> {
        self.clients_by_server_connection.get(&server_connection).copied()
    }

    /// Whether a request with the client's id is open: a client that sends it as well is another one.
    pub(super) fn is_open_id(&self, id: &str) -> bool {
        self.open_ids.contains(id)
    }

    /// All sessions with their clients' connections, in no order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (Token, &Session)> {
        self.by_client.iter().map(|(client, session)| (*client, session))
    }

    /// Whether there is no session.
    pub(super) fn is_empty(&self) -> bool {
        self.by_client.is_empty()
    }

    // ---- Changes -------------------------------------------------------------------------------

    /// Adds the session of a client that has sent its request line.
    pub(super) fn open(&mut self, client: Token, open: OpenRequest) {
        self.insert(client, Session::new(open));
    }

    /// Adds a session, with its request and its connection to a server, if it has them.
    pub(super) fn insert(&mut self, client: Token, session: Session) {
        self.open_ids.insert(session.open().id.clone());
        if let Some(request_id) = session.request_id() {
            self.clients.insert(request_id, client);
        }
        if let Some(server_connection) = session.server_connection() {
            self.clients_by_server_connection.insert(server_connection, client);
        }
        self.by_client.insert(client, session);
    }

    /// The session has become a request of the request table.
    pub(super) fn set_request(&mut self, client: Token, request_id: RequestId) {
        if let Some(session) = self.by_client.get_mut(&client) {
            session.set_request(request_id);
            self.clients.insert(request_id, client);
        }
    }

    /// An attempt of the session's request has started.
    pub(super) fn set_attempt(&mut self, client: Token, server: ServerId, attempt: AttemptState) {
        if let Some(session) = self.by_client.get_mut(&client) {
            session.start_attempt(server, attempt);
            self.clients_by_server_connection.insert(attempt.server_connection, client);
        }
    }

    /// The session has no attempt any more, and no connection to a server. Yields the state before.
    pub(super) fn take_attempt(&mut self, client: Token) -> Option<SessionState> {
        let session = self.by_client.get_mut(&client)?;
        if let Some(server_connection) = session.server_connection() {
            self.clients_by_server_connection.remove(&server_connection);
        }
        Some(session.end_attempt())
    }

    /// Removes a session and all its names.
    pub(super) fn remove(&mut self, client: Token) -> Option<Session> {
        let session = self.by_client.remove(&client)?;
        self.open_ids.remove(&session.open().id);
        if let Some(request_id) = session.request_id() {
            self.clients.remove(&request_id);
        }
        if let Some(server_connection) = session.server_connection() {
            self.clients_by_server_connection.remove(&server_connection);
        }
        Some(session)
    }
}

#[cfg(test)]
mod tests;
