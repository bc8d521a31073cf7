//! What waits at one server, and the links that it waits for.

use super::connection::SaslSupport;
use super::ended_attempt::EndedAttempt;
use super::fair_queue::FairQueue;
use crate::frontend::amqp::connection_link::ConnectionLink;
use crate::frontend::amqp::forwarder_id::ForwarderId;
use crate::model::{Outcome, RequestId};
use crate::net::Token;
use sparbank_amqp::Attach;

/// A server that the node is or was connected to.
#[derive(Default)]
pub struct Server {
    /// Its connections, in the order in which they were opened.
    pub connections: Vec<Token>,
    /// By class; empty until the first request.
    pub classes: Vec<ClassQueue>,
    /// Forwarders that wait for a session.
    pub waiting_forwarders: Vec<WaitingForwarder>,
    /// Whether it has a SASL layer.
    pub sasl: SaslSupport,
    /// It is listed among the servers that may have something to send.
    pub is_dirty: bool,
    /// Rotates the class that is served first.
    pub rotation: usize,
}

/// The requests of one class that wait at a server, and the links for them.
#[derive(Default)]
pub struct ClassQueue {
    /// The requests.
    pub waiting: FairQueue,
    /// The links.
    pub links: Vec<SendingLink>,
}

/// A link on which deliveries of one class are sent to a server.
pub struct SendingLink {
    /// The link.
    pub at: ConnectionLink,
    /// The delivery that was sent on it partly.
    pub current: Option<RequestId>,
}

/// A forwarder that waits for a session with its server.
pub struct WaitingForwarder {
    /// The forwarder.
    pub id: ForwarderId,
    /// The attach to be sent.
    pub attach: Box<Attach>,
}

impl Server {
    /// Forgets a connection and its links.
    pub fn remove_connection(&mut self, token: Token) {
        self.connections.retain(|connection| *connection != token);
        for class in &mut self.classes {
            class.links.retain(|link| link.at.token != token);
        }
    }

    /// Removes a forwarder that waits for a session. False if it does not wait.
    pub fn remove_waiting_forwarder(&mut self, forwarder: ForwarderId) -> bool {
        let before = self.waiting_forwarders.len();
        self.waiting_forwarders.retain(|waiting| waiting.id != forwarder);
        self.waiting_forwarders.len() < before
    }

    /// Ends everything that waits here with this outcome.
    pub fn fail_all(&mut self, outcome: Outcome) -> Vec<EndedAttempt> {
        let mut ended = Vec::new();
        for class in &mut self.classes {
            ended.extend(class.fail_waiting(outcome));
        }
        let forwarders = std::mem::take(&mut self.waiting_forwarders).into_iter();
        ended.extend(forwarders.map(|waiting| EndedAttempt::Forwarder { id: waiting.id, outcome }));
        ended
    }
}

impl ClassQueue {
    /// Empties the queue: its attempts could not connect, with this outcome.
    pub fn fail_waiting(&mut self, outcome: Outcome) -> Vec<EndedAttempt> {
        let waiting = self.waiting.drain().into_iter();
        waiting.map(|request_id| EndedAttempt::Delivery { request_id, outcome }).collect()
    }

    /// Whether requests wait and each link is taken by a delivery that was sent partly.
    pub fn needs_link(&self) -> bool {
        !self.waiting.is_empty() && self.links.iter().all(|link| link.current.is_some())
    }
}
