//! The queues of one server, and the links on which the queued requests are sent.

use super::connection::SaslSupport;
use super::ended_attempt::EndedAttempt;
use super::fair_queue::FairQueue;
use crate::frontend::amqp::connection_link::ConnectionLink;
use crate::frontend::amqp::forwarder_id::ForwarderId;
use crate::model::{Outcome, RequestId};
use crate::net::Token;
use sparbank_amqp::Attach;

/// A server to which attempts are or were made.
#[derive(Default)]
pub struct Server {
    /// The connections to the server, in the order in which they were opened.
    pub connections: Vec<Token>,
    /// The queue of each class, by class index. Empty until the first request is queued.
    pub classes: Vec<ClassQueue>,
    /// Forwarders that wait for a session on which to attach.
    pub waiting_forwarders: Vec<WaitingForwarder>,
    /// Whether the server has a SASL layer.
    pub sasl: SaslSupport,
    /// Whether the server is in the list of those that may have something to send.
    pub is_dirty: bool,
    /// Determines the class that is served first. It is incremented with each flush, so that all classes take turns.
    pub rotation: usize,
}

/// The waiting requests of one class at a server, and the links on which they are sent.
#[derive(Default)]
pub struct ClassQueue {
    /// The requests that wait for a link.
    pub waiting: FairQueue,
    /// The sending links of the class.
    pub links: Vec<SendingLink>,
}

/// A link on which deliveries of one class are sent to a server.
pub struct SendingLink {
    /// The link and its connection.
    pub link: ConnectionLink,
    /// The request whose delivery is only partly sent on the link.
    pub sending: Option<RequestId>,
}

/// A forwarder that waits for a session with its server.
pub struct WaitingForwarder {
    /// The id of the forwarder.
    pub id: ForwarderId,
    /// The attach to be sent.
    pub attach: Box<Attach>,
}

impl Server {
    /// Whether there are connections to the server, or attempts that wait for one.
    pub fn is_used(&self) -> bool {
        let has_waiting = |class: &ClassQueue| !class.waiting.is_empty();
        !self.connections.is_empty()
            || !self.waiting_forwarders.is_empty()
            || self.classes.iter().any(has_waiting)
    }

    /// Removes a connection and its links.
    pub fn remove_connection(&mut self, token: Token) {
        self.connections.retain(|connection| *connection != token);
        for class in &mut self.classes {
            class.links.retain(|sending_link| sending_link.link.token != token);
        }
    }

    /// Removes a forwarder that waits for a session.
    pub fn remove_waiting_forwarder(&mut self, forwarder: ForwarderId) {
        self.waiting_forwarders.retain(|waiting| waiting.id != forwarder);
    }

    /// Ends all waiting attempts with this outcome.
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
    /// Ends all waiting attempts of the class with this outcome.
    pub fn fail_waiting(&mut self, outcome: Outcome) -> Vec<EndedAttempt> {
        let waiting = self.waiting.drain().into_iter();
        waiting.map(|request_id| EndedAttempt::Delivery { request_id, outcome }).collect()
    }

    /// Whether requests are waiting and every link is occupied by a partly sent delivery.
    pub fn needs_link(&self) -> bool {
        !self.waiting.is_empty() && self.links.iter().all(|sending_link| sending_link.sending.is_some())
    }
}
