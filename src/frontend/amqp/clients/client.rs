//! One client: its connection, who it is, and what its links are for.

use crate::frontend::amqp::fast_map::FastHashMap;
use crate::frontend::amqp::forwarder_id::ForwarderId;
use crate::frontend::amqp::recovery::LinkKey;
use crate::frontend::amqp::users::Identity;
use crate::frontend::tls::TlsConnection;
use crate::frontend::FrontendContext;
use crate::model::RequestId;
use crate::net::Token;
use sparbank_amqp::{condition, fault, Connection, Fault, LinkId, Tag};
use sparbank_time::MonotonicTime;
use std::collections::HashSet;
use std::net::IpAddr;
use std::rc::Rc;

/// A client's connection.
pub struct Client {
    /// The protocol state.
    pub conn: Connection,
    /// It is listed among the connections that may have something to write.
    pub(super) is_dirty: bool,
    pub(super) address: Option<IpAddr>,
    pub(super) links: FastHashMap<LinkId, ClientLink>,
    /// Its requests that are not answered yet and whose link is attached.
    open_requests: usize,
    identity: Rc<Identity>,
    /// Its encryption, if it connected under TLS.
    tls: Option<TlsConnection>,
    /// Decrypted input that was not processed yet.
    plaintext: Vec<u8>,
    /// Requests whose link is being detached, until it is known whether the link may be resumed.
    detached_requests: Vec<RequestId>,
    /// A forwarder has more for it than is written at one time.
    is_stalled: bool,
    /// When a failed authentication is answered.
    reject_login_at: Option<MonotonicTime>,
}

/// What a client's link is for.
pub enum ClientLink {
    /// Its deliveries are requests.
    Sending(SendingLink),
    /// A forwarder's deliveries go out on it: an established connection, or a node for replies.
    Receiving(ForwarderId),
}

/// A link on which a client sends.
pub struct SendingLink {
    /// The class that its target names; none at the anonymous terminus.
    pub class: Option<usize>,
    /// Its identity across connections.
    pub key: Rc<LinkKey>,
    /// Its deliveries are remembered while it may be resumed.
    pub is_remembered: bool,
    /// Deliveries in the peer's unsettled map when it attached, and of which nothing is known.
    pub unknown: HashSet<Tag>,
    /// The delivery whose last transfer has not been received.
    pub incomplete: IncompleteDelivery,
}

/// A delivery of several transfers, the last of which has not been received.
#[derive(Default)]
pub enum IncompleteDelivery {
    /// There is none.
    #[default]
    None,
    /// The sections before its body are incomplete: the octets so far.
    ReadingHead(Vec<u8>),
    /// It is a request already.
    Request(RequestId),
    /// It was answered before its end: the rest is ignored.
    Ignored,
}

impl IncompleteDelivery {
    /// Octets that are buffered for it and belong to no request.
    pub fn buffered_bytes(&self) -> usize {
        match self {
            IncompleteDelivery::ReadingHead(bytes) => bytes.len(),
            IncompleteDelivery::None | IncompleteDelivery::Request(_) | IncompleteDelivery::Ignored => 0,
        }
    }
}

impl Client {
    /// A client that has just connected.
    pub(super) fn new(conn: Connection, tls: Option<TlsConnection>, address: Option<IpAddr>) -> Client {
        Client {
            conn,
            is_dirty: false,
            address,
            links: FastHashMap::default(),
            open_requests: 0,
            identity: Rc::new(Identity::default()),
            tls,
            plaintext: Vec::new(),
            detached_requests: Vec::new(),
            is_stalled: false,
            reject_login_at: None,
        }
    }

    /// Who it is; the default identity until it has authenticated.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// It has authenticated.
    pub fn set_identity(&mut self, identity: Rc<Identity>) {
        self.identity = identity;
    }

    /// The name in the certificate that it has authenticated the TLS connection with.
    pub fn certificate_name(&self) -> Option<String> {
        self.tls.as_ref()?.peer_certificate_name()
    }

    /// Its failed login is answered at this time.
    pub fn reject_login_at(&mut self, at: MonotonicTime) {
        self.reject_login_at = Some(at);
    }

    /// Whether a failed login is to be answered now. It is true once.
    pub fn take_due_rejection(&mut self, now: MonotonicTime) -> bool {
        self.reject_login_at.take_if(|at| *at <= now).is_some()
    }

    /// A link on which it sends.
    pub fn sending_link(&mut self, link: LinkId) -> Option<&mut SendingLink> {
        match self.links.get_mut(&link)? {
            ClientLink::Sending(link) => Some(link),
            ClientLink::Receiving(_) => None,
        }
    }

    /// The forwarder that sends on a link.
    pub fn forwarder_of(&self, link: LinkId) -> Option<ForwarderId> {
        match self.links.get(&link)? {
            ClientLink::Receiving(forwarder) => Some(*forwarder),
            ClientLink::Sending(_) => None,
        }
    }

    /// The forwarders that send on its links, in order.
    pub fn forwarders(&self) -> Vec<ForwarderId> {
        let mut forwarders: Vec<ForwarderId> =
            self.links.keys().filter_map(|link| self.forwarder_of(*link)).collect();
        forwarders.sort_unstable();
        forwarders
    }

    /// A forwarder sends on this link.
    pub fn add_receiving_link(&mut self, link: LinkId, forwarder: ForwarderId) {
        self.links.insert(link, ClientLink::Receiving(forwarder));
    }

    /// Removes all links, in the order of their ids.
    pub fn take_links(&mut self) -> Vec<ClientLink> {
        let mut links: Vec<(LinkId, ClientLink)> = self.links.drain().collect();
        links.sort_unstable_by_key(|(id, _)| *id);
        links.into_iter().map(|(_, link)| link).collect()
    }

    /// Its sending links that have no credit left, in no order.
    pub(super) fn links_without_credit(&self) -> Vec<LinkId> {
        self.sending_links().filter(|link| self.conn.credit(*link) == 0).collect()
    }

    /// Its sending links, in no order.
    pub(super) fn sending_links(&self) -> impl Iterator<Item = LinkId> + '_ {
        let is_sending = |link: &ClientLink| matches!(link, ClientLink::Sending(_));
        self.links.iter().filter(move |(_, link)| is_sending(link)).map(|(id, _)| *id)
    }

    /// A request of it has arrived, or its link was attached again.
    pub fn count_open_request(&mut self) {
        self.open_requests += 1;
    }

    /// A request of it was answered, or its link was detached.
    pub fn uncount_open_request(&mut self) {
        self.open_requests -= 1;
    }

    /// Whether it has no open request and no forwarder.
    pub fn is_idle(&self) -> bool {
        let has_forwarder = self.links.values().any(|link| matches!(link, ClientLink::Receiving(_)));
        self.open_requests == 0 && !has_forwarder
    }

    /// A request's link is being detached.
    pub fn add_detached_request(&mut self, request_id: RequestId) {
        self.detached_requests.push(request_id);
    }

    /// The requests whose link was detached.
    pub fn take_detached_requests(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.detached_requests)
    }

    /// Whether it uses TLS, and so much of its plaintext is not processed.
    pub fn is_plaintext_full(&self, max_bytes: usize) -> bool {
        self.tls.is_some() && self.plaintext.len() >= max_bytes
    }

    /// Replaces octets from the socket by all plaintext that was not processed. Without TLS they are plaintext already.
    ///
    /// # Errors
    /// What the TLS library says of octets that it cannot decrypt. `octets` is the plaintext up to these then.
    pub fn decrypt(&mut self, octets: &mut Vec<u8>) -> Result<(), Fault> {
        let Some(tls) = &mut self.tls else { return Ok(()) };
        let wire = std::mem::replace(octets, std::mem::take(&mut self.plaintext));
        tls.decrypt(&wire, octets).map_err(|error| fault(condition::FRAMING_ERROR, error.to_string()))
    }

    /// Puts octets back that were not processed: into the plaintext, or the socket's buffer.
    pub fn restore_input(&mut self, ctx: &mut FrontendContext, token: Token, octets: Vec<u8>) {
        if self.tls.is_some() {
            self.plaintext = octets;
        } else if let Some(input) = ctx.net.input_buffer(token) {
            *input = octets;
        }
    }

    /// Whether a forwarder has more for it than was written at one time.
    pub fn is_stalled(&self) -> bool {
        self.is_stalled
    }

    /// Sets whether a forwarder has more for it than was written at one time.
    pub fn set_stalled(&mut self, is_stalled: bool) {
        self.is_stalled = is_stalled;
    }

    /// Passes its pending output to the socket, encrypted if it uses TLS.
    pub fn write_pending(&mut self, ctx: &mut FrontendContext, token: Token) {
        let mut out = self.conn.take_output(ctx.now);
        if let Some(tls) = &mut self.tls {
            let mut wire = Vec::new();
            tls.encrypt(&out, &mut wire);
            out = wire;
        }
        if !out.is_empty() {
            ctx.net.send(token, &out);
        }
    }

    /// Announces the end of the connection under TLS, and writes what is pending.
    pub fn write_last(&mut self, ctx: &mut FrontendContext, token: Token) {
        if let Some(tls) = &mut self.tls {
            tls.send_close_notify();
        }
        self.write_pending(ctx, token);
    }
}
