//! The table of all sessions, indexed by client connection, request, server connection and client-assigned id.

use super::session::{AttemptState, Session, SessionState};
use crate::model::{RequestId, ServerId};
use crate::net::Token;
use std::collections::{HashMap, HashSet};

/// The sessions of all clients with a request.
#[derive(Default)]
pub(super) struct Sessions {
    /// Sessions by client connection.
    by_client: HashMap<Token, Session>,
    /// Client connections by request.
    clients_by_request: HashMap<RequestId, Token>,
    /// Client connections by server connection.
    clients_by_server_connection: HashMap<Token, Token>,
    /// The client-assigned ids of all open requests.
    open_ids: HashSet<String>,
}

impl Sessions {
    /// Returns the session of a client.
    pub(super) fn get(&self, client: Token) -> Option<&Session> {
        self.by_client.get(&client)
    }

    /// Returns the session of a client for modification. The server connection must be changed through the
    /// methods below, which update the indexes.
    pub(super) fn get_mut(&mut self, client: Token) -> Option<&mut Session> {
        self.by_client.get_mut(&client)
    }

    /// Whether this is the connection of a client with a session.
    pub(super) fn contains(&self, client: Token) -> bool {
        self.by_client.contains_key(&client)
    }

    /// Returns the client connection of a request.
    pub(super) fn client_of_request(&self, request_id: RequestId) -> Option<Token> {
        self.clients_by_request.get(&request_id).copied()
    }

    /// Returns the client connection that belongs to a server connection.
    pub(super) fn client_of_server_connection(&self, server_connection: Token) -> Option<Token> {
        self.clients_by_server_connection.get(&server_connection).copied()
    }

    /// Whether an open request has this client-assigned id. Another client that sends the same id is rejected.
    pub(super) fn has_request_with_id(&self, id: &str) -> bool {
        self.open_ids.contains(id)
    }

    /// Iterates over all sessions and their client connections, in arbitrary order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (Token, &Session)> {
        self.by_client.iter().map(|(client, session)| (*client, session))
    }

    /// Whether there is no session.
    pub(super) fn is_empty(&self) -> bool {
        self.by_client.is_empty()
    }

    /// Adds a session and indexes its request and its server connection, if it has one.
    pub(super) fn insert(&mut self, client: Token, session: Session) {
        self.open_ids.insert(session.open().id.clone());
        self.clients_by_request.insert(session.request_id(), client);
        if let Some(server_connection) = session.server_connection() {
            self.clients_by_server_connection.insert(server_connection, client);
        }
        self.by_client.insert(client, session);
    }

    /// Records that an attempt of the session's request has started.
    pub(super) fn set_attempt(&mut self, client: Token, server: ServerId, attempt: AttemptState) {
        if let Some(session) = self.by_client.get_mut(&client) {
            session.start_attempt(server, attempt);
            self.clients_by_server_connection.insert(attempt.server_connection, client);
        }
    }

    /// Ends the session's attempt or established connection. Returns the previous state; its server connection is no
    /// longer indexed, and the caller closes it.
    pub(super) fn take_attempt(&mut self, client: Token) -> Option<SessionState> {
        let session = self.by_client.get_mut(&client)?;
        if let Some(server_connection) = session.server_connection() {
            self.clients_by_server_connection.remove(&server_connection);
        }
        Some(session.end_attempt())
    }

    /// Removes a session from the table and its indexes. The caller closes the server connection.
    pub(super) fn remove(&mut self, client: Token) -> Option<Session> {
        let session = self.by_client.remove(&client)?;
        self.open_ids.remove(&session.open().id);
        self.clients_by_request.remove(&session.request_id());
        if let Some(server_connection) = session.server_connection() {
            self.clients_by_server_connection.remove(&server_connection);
        }
        Some(session)
    }
}

#[cfg(test)]
mod tests;
