//! Attach and detach of clients' links. Each delivery on a sending link is a request. A receiving link whose source is
//! a class is one request. A receiving link with a dynamic source creates a reply node.

use super::arrival::{default_time_limit, RequestAttributes};
use super::class_names::AddressField;
use super::clients::{ClientLink, ClientSendingLink, IncompleteDelivery};
use super::connection_link::ConnectionLink;
use super::delivery_requests::{DeliveryRequests, DetachedLink};
use super::forwarding::Forwarding;
use super::info::FrontendInfo;
use super::link_memory::{receiving_link_bytes, sending_link_bytes};
use super::nonce::nonce;
use super::peers::Peers;
use super::recovery::{LinkKey, RecoveryLimits, RetainedDelivery};
use super::replies::{retry_error, RETRY_AFTER_MS};
use crate::frontend::FrontendContext;
use crate::model::RequestId;
use sparbank_amqp::{condition, Attach, DetachMode, Error, Role, Source, State, Target, Terminus, Value};
use std::rc::Rc;
use std::time::Duration;

/// Handles the attaches and detaches of clients' links.
pub struct ClientLinks<'a, 'b> {
    /// The components of the node that the frontend uses.
    pub ctx: &'a mut FrontendContext<'b>,
    /// The immutable properties of the frontend.
    pub info: &'a FrontendInfo,
    /// The connections on both sides.
    pub peers: Peers<'a>,
    /// The requests of clients' sending links.
    pub requests: &'a mut DeliveryRequests,
    /// The forwarders of clients' receiving links.
    pub forwarding: &'a mut Forwarding,
}

impl ClientLinks<'_, '_> {
    /// Handles a client's attach. `role` is the node's role on the link.
    pub fn on_attach(&mut self, link: ConnectionLink, role: Role, attach: Box<Attach>) {
        match role {
            Role::Receiver => self.attach_sending_link(link, &attach),
            Role::Sender => self.attach_receiving_link(link, attach),
        }
    }

    /// Handles a client's detach. The requests on the link are abandoned, unless the link may be resumed. `mode` is
    /// that of the client's detach.
    pub fn on_detached(&mut self, at: ConnectionLink, mode: DetachMode) {
        let client = self.peers.clients.get(at.token);
        let requests = client.map(|client| client.take_detached_requests()).unwrap_or_default();
        match self.peers.clients.remove_link(at) {
            Some(ClientLink::Sending(link)) => {
                // A link without a timeout may be resumed until its session ends (AMQP 1.0, section 3.5.6).
                let client = self.peers.clients.get(at.token);
                let has_session = client.is_some_and(|client| client.conn.has_begun(at.id.channel));
                let can_resume = link.is_retained || has_session;
                let mode = if can_resume { mode } else { DetachMode::Closed };
                let detached = DetachedLink { at, link, mode, requests };
                self.requests.on_link_detached(self.ctx, &mut self.peers, detached);
            }
            Some(ClientLink::Receiving(forwarder)) => {
                self.forwarding.on_client_disconnected(self.ctx, self.peers.servers, forwarder)
            }
            None => {}
        }
    }

    /// The index of the class that an address names, if the client may use it.
    ///
    /// # Errors
    /// The address names no class, or the client may not use the class. The error is the one to refuse the link with.
    fn authorize(
        &mut self,
        link: ConnectionLink,
        field: AddressField,
        address: Option<&str>,
    ) -> Result<usize, Error> {
        let client = self.peers.clients.get(link.token);
        let identity = client.as_deref().map(|client| client.identity());
        self.info.classes.authorize(identity, field, address)
    }

    fn refuse(&mut self, link: ConnectionLink, error: Error) {
        if let Some(client) = self.peers.clients.get(link.token) {
            client.conn.refuse_link(link.id, error);
        }
        self.peers.clients.mark_dirty(link.token);
    }

    /// Handles the attach of a link on which the client sends. The target is a class, or the anonymous terminus, where
    /// the field `to` of each message names the class.
    fn attach_sending_link(&mut self, link: ConnectionLink, attach: &Attach) {
        let accepted = requested_target(attach).and_then(|target| {
            let class = match target.address.as_deref() {
                None => None,
                address => Some(self.authorize(link, AddressField::Target, address)?),
            };
            Ok((target, class))
        });
        match accepted {
            Ok((target, class)) => self.accept_sending_link(link, attach, target, class),
            Err(error) => self.refuse(link, error),
        }
    }

    fn accept_sending_link(
        &mut self,
        at: ConnectionLink,
        attach: &Attach,
        target: Target,
        class: Option<usize>,
    ) {
        let Some(key) = self.link_key(at) else { return };
        let limits = self.peers.config.recovery_limits();
        let unsettled = attach.unsettled_tags();
        let tags = unsettled.len().min(limits.max_settled_per_link);
        if let Err(error) = self.reserve_link(at, sending_link_bytes(&key, tags)) {
            return self.refuse(at, error);
        }
        let timeout = resume_timeout(&target, limits);
        let timeout_seconds = Some(timeout.as_secs() as u32).filter(|seconds| *seconds > 0);
        let resumed = self.requests.on_link_attached(&self.peers, &key, at.token, timeout, &unsettled);
        let answer = Attach {
            snd_settle_mode: attach.snd_settle_mode,
            source: attach.source.clone(),
            target: Some(Terminus::Target(Target { timeout: timeout_seconds, ..target })),
            unsettled: (!unsettled.is_empty()).then(|| unsettled_map(&resumed.retained_deliveries)),
            ..Attach::default()
        };
        if let Some(client) = self.peers.clients.get(at.token) {
            client.conn.accept_link(at.id, answer);
        }
        let sending_link = ClientSendingLink {
            class,
            is_retained: self.requests.is_retained(&key),
            key: Rc::new(key),
            unknown_deliveries: resumed.unknown_deliveries,
            incomplete: IncompleteDelivery::None,
        };
        self.peers.clients.add_sending_link(at, sending_link);
        self.requests.abandon_all(self.ctx, &mut self.peers, resumed.abandoned);
        self.requests.replenish_credit(&mut self.peers, at);
        self.peers.clients.mark_dirty(at.token);
    }

    /// Counts the memory of a link that a client attaches.
    ///
    /// # Errors
    /// The limit on the links of all clients is reached. The error is the one to refuse the link with.
    fn reserve_link(&mut self, at: ConnectionLink, bytes: usize) -> Result<(), Error> {
        let max_bytes = self.peers.config.max_link_memory_bytes;
        self.peers.clients.reserve_link(at, bytes, max_bytes).map_err(|full| {
            self.ctx.requests.counters_mut().capacity_rejected += 1;
            retry_error(condition::RESOURCE_LIMIT_EXCEEDED, &full.to_string(), RETRY_AFTER_MS)
        })
    }

    /// The name of a link.
    fn link_name(&mut self, link: ConnectionLink) -> String {
        let client = self.peers.clients.get(link.token);
        client.map(|client| client.conn.name(link.id).to_string()).unwrap_or_default()
    }

    /// The key that identifies a link across connections.
    fn link_key(&mut self, link: ConnectionLink) -> Option<LinkKey> {
        let client = self.peers.clients.get(link.token)?;
        Some(LinkKey {
            container: client.conn.peer().container.clone(),
            user: client.identity().name.clone(),
            name: client.conn.name(link.id).to_string(),
        })
    }

    /// Handles the attach of a link on which the client receives, from a class or from a reply node.
    fn attach_receiving_link(&mut self, link: ConnectionLink, attach: Box<Attach>) {
        let bytes = receiving_link_bytes(&self.link_name(link), &attach);
        let source = attach.source.clone().unwrap_or_default();
        if source.dynamic == Some(true) {
            return match self.reserve_link(link, bytes) {
                Ok(()) => self.attach_reply_link(link, attach, source),
                Err(error) => self.refuse(link, error),
            };
        }
        let class = match self.authorize(link, AddressField::Source, source.address.as_deref()) {
            Ok(class) => class,
            Err(error) => return self.refuse(link, error),
        };
        let client = self.peers.clients.get(link.token);
        let has_departed = client.is_some_and(|client| client.has_departed());
        if has_departed || self.peers.clients.is_draining() {
            let error = retry_error(condition::RESOURCE_LIMIT_EXCEEDED, "the node leaves", RETRY_AFTER_MS);
            return self.refuse(link, error);
        }
        if let Err(error) = self.reserve_link(link, bytes) {
            return self.refuse(link, error);
        }
        let request_id = self.start_receiving_request(class, &attach);
        let forwarder = self.forwarding.add_forwarder(request_id, link, attach);
        if let Some(client) = self.peers.clients.get(link.token) {
            client.add_receiving_link(link.id, forwarder);
        }
    }

    /// Starts the request of a receiving link. Its attributes come from the link properties in the attach.
    fn start_receiving_request(&mut self, class: usize, attach: &Attach) -> RequestId {
        let properties = attach.properties.as_ref().unwrap_or(&Value::Null);
        let property = |name: &str| match properties.get(name) {
            Some(Value::Text(text) | Value::Symbol(text)) => Some(text.clone()),
            Some(Value::Uint(number)) => Some(number.to_string()),
            Some(Value::Ulong(number)) => Some(number.to_string()),
            _ => None,
        };
        let attributes = RequestAttributes {
            class,
            time_limit: default_time_limit(self.ctx, class),
            key: property("key"),
            group: property("group"),
            is_reconnect: properties.get("again") == Some(&Value::Bool(true)),
        };
        self.ctx.requests.on_request(self.ctx.now, self.info.id, attributes.into_arrival())
    }

    /// Handles the attach of a link with a dynamic source: creates a reply node, to which servers may send until the
    /// link is detached.
    fn attach_reply_link(&mut self, link: ConnectionLink, attach: Box<Attach>, source: Source) {
        let Some(client) = self.peers.clients.get(link.token) else { return };
        let target = attach.target.clone();
        let forwarder = self.forwarding.add_reply_node(link, attach);
        // The address contains a nonce so that other clients cannot guess it. The client passes it to servers in its
        // requests.
        let address = format!("reply/{forwarder}/{}", nonce());
        let source = Source { address: Some(address.clone()), dynamic: Some(true), ..source };
        client.conn.accept_link(link.id, Attach { source: Some(source), target, ..Attach::default() });
        client.add_receiving_link(link.id, forwarder);
        self.forwarding.set_reply_address(address, forwarder);
        self.peers.clients.mark_dirty(link.token);
    }
}

/// The target that a client requests for its sending link.
///
/// # Errors
/// The node does not support the target. The error is the one to refuse the link with.
fn requested_target(attach: &Attach) -> Result<Target, Error> {
    let unsupported = |description: &str| Err(Error::new(condition::NOT_IMPLEMENTED, description));
    match &attach.target {
        Some(Terminus::Target(target)) if target.dynamic == Some(true) => {
            unsupported("only sources can be dynamic")
        }
        Some(Terminus::Target(target)) => Ok(target.clone()),
        Some(Terminus::Coordinator) => unsupported("transactions are not offered"),
        Some(Terminus::Other(_)) => unsupported("a target of this kind is not known"),
        None => Err(Error::new(condition::INVALID_FIELD, "there is no target")),
    }
}

/// How long the state of a lost link is retained; zero if the client does not request it.
fn resume_timeout(target: &Target, limits: RecoveryLimits) -> Duration {
    if target.expiry_policy.as_ref().is_some_and(|policy| policy.0 == "never") {
        return limits.max_timeout;
    }
    let requested = Duration::from_secs(u64::from(target.timeout.unwrap_or(0)));
    requested.min(limits.max_timeout)
}

/// The unsettled map of an attach (AMQP 1.0, section 2.7.3): the deliveries' tags with their states, or null for
/// deliveries that have none yet.
fn unsettled_map(deliveries: &[RetainedDelivery]) -> Value {
    let entry = |delivery: &RetainedDelivery| {
        let state = delivery.state.as_ref().map_or(Value::Null, State::to_value);
        (Value::Binary(delivery.tag.as_bytes().to_vec()), state)
    };
    Value::Map(deliveries.iter().map(entry).collect())
}
