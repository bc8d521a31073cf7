//! Clients' links: attach and detach. A sending link takes requests; a receiving link from a class is one request; a
//! receiving link with a dynamic source is a node for replies.

use super::client_transfers::arrival;
use super::clients::{ClientLink, IncompleteDelivery, SendingLink};
use super::recovery::{LinkKey, RecoveryLimits};
use super::replies::{retry_error, RETRY_AFTER_MS};
use super::{password_checks, AmqpFrontend};
use crate::frontend::FrontendContext;
use crate::model::RequestId;
use crate::net::Token;
use sparbank_amqp::{condition, Attach, Error, LinkId, Source, State, Tag, Target, Terminus, Value};
use std::rc::Rc;
use std::time::Duration;

/// The attach for a server that requests what a client requested.
pub(super) fn attach_for_server(attach: &Attach) -> Attach {
    Attach {
        snd_settle_mode: attach.snd_settle_mode,
        rcv_settle_mode: attach.rcv_settle_mode,
        source: attach.source.clone(),
        target: Some(Terminus::Target(Target::default())),
        properties: attach.properties.clone(),
        desired_capabilities: attach.desired_capabilities.clone(),
        ..Attach::default()
    }
}

impl AmqpFrontend {
    /// The index of the class that an address names.
    pub(super) fn class_at(&self, address: &str) -> Option<usize> {
        self.classes.iter().position(|class| class == address.trim_start_matches('/'))
    }

    /// The class that an address names, where the client may attach to it. `not_found` describes the refusal of an
    /// address that names none.
    fn authorized_class(
        &mut self,
        token: Token,
        address: Option<&str>,
        not_found: &str,
    ) -> Result<usize, Error> {
        let class = address.and_then(|address| self.class_at(address));
        let class = class.ok_or_else(|| Error::new(condition::NOT_FOUND, not_found))?;
        let client = self.clients.get(token);
        if client.is_some_and(|client| client.identity.may_attach_to(&self.classes[class])) {
            return Ok(class);
        }
        Err(Error::new(condition::UNAUTHORIZED_ACCESS, "this user may not attach to this class"))
    }

    fn refuse_link(&mut self, token: Token, link: LinkId, error: Error) {
        if let Some(client) = self.clients.get(token) {
            client.conn.refuse_link(link, error);
        }
        self.clients.mark_dirty(token);
    }

    /// A client wants to send: to a class, or to the anonymous terminus, where `to` of each message names the class.
    pub(super) fn attach_sending_link(
        &mut self,
        ctx: &mut FrontendContext,
        token: Token,
        link: LinkId,
        attach: &Attach,
    ) {
        let accepted = requested_target(attach).and_then(|target| {
            let address = target.address.as_deref();
            let not_found = "the target address names no class";
            let class = match address {
                None => None,
                Some(_) => Some(self.authorized_class(token, address, not_found)?),
            };
            Ok((target, class))
        });
        match accepted {
            Ok((target, class)) => self.accept_sending_link(ctx, token, link, attach, target, class),
            Err(error) => self.refuse_link(token, link, error),
        }
    }

    fn accept_sending_link(
        &mut self,
        ctx: &mut FrontendContext,
        token: Token,
        link: LinkId,
        attach: &Attach,
        target: Target,
        class: Option<usize>,
    ) {
        let Some(key) = self.link_key(token, link) else { return };
        let limits = self.config.recovery_limits();
        let timeout = resume_timeout(&target, limits);
        let timeout_seconds = Some(timeout.as_secs() as u32).filter(|seconds| *seconds > 0);
        let unsettled = attach.unsettled_tags();
        let resumed = self.recovery.attach(limits, &key, token, timeout, &unsettled);
        let answer = Attach {
            snd_settle_mode: attach.snd_settle_mode,
            source: attach.source.clone(),
            target: Some(Terminus::Target(Target { timeout: timeout_seconds, ..target })),
            unsettled: (!unsettled.is_empty()).then(|| unsettled_map(&resumed.known)),
            ..Attach::default()
        };
        if let Some(client) = self.clients.get(token) {
            client.conn.accept_link(link, answer);
        }
        let sending_link = SendingLink {
            class,
            is_remembered: self.recovery.is_remembered(&key),
            key: Rc::new(key),
            unknown: resumed.unknown,
            incomplete: IncompleteDelivery::None,
        };
        self.clients.add_sending_link(token, link, sending_link);
        for request_id in resumed.abandoned {
            self.abandon_request(ctx, request_id);
        }
        self.replenish_credit(token, link);
        self.clients.mark_dirty(token);
    }

    /// A link's identity across connections.
    fn link_key(&mut self, token: Token, link: LinkId) -> Option<LinkKey> {
        let client = self.clients.get(token)?;
        Some(LinkKey {
            container: client.conn.peer().container.clone(),
            user: client.identity.name.clone(),
            name: client.conn.name(link).to_string(),
        })
    }

    /// A client wants to receive: what a class sends, or replies.
    pub(super) fn attach_receiving_link(
        &mut self,
        ctx: &mut FrontendContext,
        token: Token,
        link: LinkId,
        attach: Box<Attach>,
    ) {
        let source = attach.source.clone().unwrap_or_default();
        if source.dynamic == Some(true) {
            return self.attach_reply_link(token, link, attach, source);
        }
        let not_found = "the source address names no class";
        let class = match self.authorized_class(token, source.address.as_deref(), not_found) {
            Ok(class) => class,
            Err(error) => return self.refuse_link(token, link, error),
        };
        if self.shutting_down {
            let error = retry_error(condition::RESOURCE_LIMIT_EXCEEDED, "the node leaves", RETRY_AFTER_MS);
            return self.refuse_link(token, link, error);
        }
        let request_id = self.start_receiving_request(ctx, class, &attach);
        let forwarder = self.forwarders.insert(Some(request_id), token, link, attach);
        if let Some(client) = self.clients.get(token) {
            client.links.insert(link, ClientLink::Receiving(forwarder));
        }
    }

    /// Starts the request of a receiving link, whose properties are those of the attach.
    fn start_receiving_request(
        &mut self,
        ctx: &mut FrontendContext,
        class: usize,
        attach: &Attach,
    ) -> RequestId {
        let properties = attach.properties.as_ref().unwrap_or(&Value::Null);
        let property = |name: &str| match properties.get(name) {
            Some(Value::Text(text) | Value::Symbol(text)) => Some(text.clone()),
            Some(Value::Uint(number)) => Some(number.to_string()),
            Some(Value::Ulong(number)) => Some(number.to_string()),
            _ => None,
        };
        let limit = ctx.classes.get(class).map_or(Duration::ZERO, |class| class.hard_limit);
        let is_reconnect = properties.get("again") == Some(&Value::Bool(true));
        let arrival = arrival(class, limit, property, is_reconnect);
        ctx.requests.on_request(ctx.now, self.id, arrival)
    }

    /// A dynamic source: a node to which servers may send replies, as long as its link lasts.
    fn attach_reply_link(&mut self, token: Token, link: LinkId, attach: Box<Attach>, source: Source) {
        let Some(client) = self.clients.get(token) else { return };
        let target = attach.target.clone();
        let forwarder = self.forwarders.insert(None, token, link, attach);
        // Servers see the address in requests: other clients must not be able to guess it.
        let address = format!("reply/{forwarder}/{}", password_checks::nonce());
        let source = Source { address: Some(address.clone()), dynamic: Some(true), ..source };
        client.conn.accept_link(link, Attach { source: Some(source), target, ..Attach::default() });
        client.links.insert(link, ClientLink::Receiving(forwarder));
        self.forwarders.set_reply_address(address, forwarder);
        self.clients.mark_dirty(token);
    }

    /// A client has detached a link. Its requests are abandoned, unless the link may be resumed.
    pub(super) fn on_client_link_detached(
        &mut self,
        ctx: &mut FrontendContext,
        token: Token,
        link: LinkId,
        closed: bool,
    ) {
        let client = self.clients.get(token);
        let requests = client.map(|client| std::mem::take(&mut client.detached_requests)).unwrap_or_default();
        match self.clients.remove_link(token, link) {
            Some(ClientLink::Sending(sending_link)) => {
                // Without a timeout a link may be resumed as long as its session lasts (3.5.6).
                let client = self.clients.get(token);
                let has_session = client.is_some_and(|client| client.conn.has_begun(link.channel));
                let may_resume = !closed && (sending_link.is_remembered || has_session);
                self.end_sending_link(ctx, token, sending_link, may_resume, requests);
            }
            Some(ClientLink::Receiving(forwarder)) => self.on_forwarder_client_gone(ctx, forwarder),
            None => {}
        }
    }

    /// Suspends a detached sending link, or forgets it. `requests` are those that were unsettled on it.
    fn end_sending_link(
        &mut self,
        ctx: &mut FrontendContext,
        token: Token,
        link: SendingLink,
        may_resume: bool,
        requests: Vec<RequestId>,
    ) {
        let limits = self.config.recovery_limits();
        let is_suspended = may_resume && self.recovery.suspend(limits, &link.key, token, ctx.now);
        for request_id in requests {
            let is_complete = self.deliveries.get(request_id).is_some_and(|delivery| delivery.complete);
            if is_suspended && is_complete {
                self.suspend_request(&link.key, request_id);
            } else {
                self.abandon_request(ctx, request_id);
            }
        }
        if !is_suspended {
            for request_id in self.recovery.forget(&link.key) {
                self.abandon_request(ctx, request_id);
            }
        }
        if let IncompleteDelivery::ReadingHead(bytes) = link.incomplete {
            self.deliveries.subtract_buffered(bytes.len());
        }
    }
}

/// The target of a sending link, where it is one that the node offers.
fn requested_target(attach: &Attach) -> Result<Target, Error> {
    let declined = |description: &str| Err(Error::new(condition::NOT_IMPLEMENTED, description));
    match &attach.target {
        Some(Terminus::Target(target)) if target.dynamic == Some(true) => {
            declined("only sources can be dynamic")
        }
        Some(Terminus::Target(target)) => Ok(target.clone()),
        Some(Terminus::Coordinator) => declined("transactions are not offered"),
        Some(Terminus::Other(_)) => declined("a target of this kind is not known"),
        None => Err(Error::new(condition::INVALID_FIELD, "there is no target")),
    }
}

/// How long a link is remembered after it is lost; zero where it does not request that.
fn resume_timeout(target: &Target, limits: RecoveryLimits) -> Duration {
    if target.expiry_policy.as_ref().is_some_and(|policy| policy.0 == "never") {
        return limits.max_timeout;
    }
    let requested = Duration::from_secs(u64::from(target.timeout.unwrap_or(0)));
    requested.min(limits.max_timeout)
}

/// The unsettled map of an attach (2.7.3): deliveries with their state, or null where they are not settled.
fn unsettled_map(deliveries: &[(Tag, Option<State>)]) -> Value {
    let entry = |(tag, state): &(Tag, Option<State>)| {
        let state = state.as_ref().map_or(Value::Null, State::to_value);
        (Value::Binary(tag.as_bytes().to_vec()), state)
    };
    Value::Map(deliveries.iter().map(entry).collect())
}
