//! One client: its connection, its identity, and the purpose of each of its links.

use crate::frontend::amqp::fast_map::FastHashMap;
use crate::frontend::amqp::forwarder_id::ForwarderId;
use crate::frontend::amqp::recovery::LinkKey;
use crate::frontend::amqp::users::Identity;
use crate::frontend::tls::TlsConnection;
use crate::frontend::FrontendContext;
use crate::model::RequestId;
use crate::net::{Token, OUTPUT_HIGH_WATERMARK_BYTES};
use sparbank_amqp::{condition, fault, Connection, Fault, LinkId, Tag};
use sparbank_time::MonotonicTime;
use std::collections::HashSet;
use std::net::IpAddr;
use std::rc::Rc;

/// A connection of a client, with the state that the frontend holds for it.
pub struct Client {
    /// The state of the AMQP connection. Its output is passed to the socket by [`Client::write_pending`].
    pub conn: Connection,
    /// Whether the connection is listed among those that may have pending output.
    pub(super) is_dirty: bool,
    /// Whether the client has ended its stream, while some of its input may be unprocessed.
    has_departed: bool,
    /// Whether the client is not read because it holds much of the buffered messages and the limit is reached.
    pub(super) is_paused: bool,
    pub(super) address: Option<IpAddr>,
    pub(super) links: FastHashMap<LinkId, ClientLink>,
    /// The memory that is counted for each link.
    pub(super) link_bytes: FastHashMap<LinkId, usize>,
    /// The number of unanswered requests whose link is attached.
    open_requests: usize,
    identity: Rc<Identity>,
    /// The TLS state, if the client connected with TLS.
    tls: Option<TlsConnection>,
    /// Decrypted input that is not processed yet.
    plaintext: Vec<u8>,
    /// Requests whose link is being detached, held until it is known whether the link may be resumed.
    detached_requests: Vec<RequestId>,
    /// Whether a forwarder stopped sending because the pending output reached its high watermark.
    is_stalled: bool,
    /// The time at which a failed login is answered, if one is pending.
    reject_login_at: Option<MonotonicTime>,
    /// When the client's incomplete input is checked, if a timer is set for that.
    incomplete_check_at: Option<MonotonicTime>,
    /// When the node was last found not to read the client.
    body_timeouts_from: MonotonicTime,
}

/// The purpose of a client's link.
pub enum ClientLink {
    /// The client sends on the link; each delivery is a request.
    Sending(ClientSendingLink),
    /// The client receives a forwarder's deliveries on the link: those of an established request, or those sent to
    /// a reply node.
    Receiving(ForwarderId),
}

/// A link on which a client sends.
pub struct ClientSendingLink {
    /// The class that the link's target names; `None` for the anonymous terminus.
    pub class: Option<usize>,
    /// The key that identifies the link across connections.
    pub key: Rc<LinkKey>,
    /// Whether the states of the link's deliveries are retained for resumption.
    pub is_retained: bool,
    /// Deliveries that the peer's unsettled map contained at the attach and of which the node has no record.
    pub unknown_deliveries: HashSet<Tag>,
    /// The delivery whose last transfer has not been received.
    pub incomplete: IncompleteDelivery,
}

/// The state of a multi-transfer delivery whose last transfer has not been received.
#[derive(Default)]
pub enum IncompleteDelivery {
    /// There is no such delivery.
    #[default]
    None,
    /// The sections before the body are incomplete.
    ReadingHead(IncompleteHead),
    /// The delivery has become a request.
    Request(IncompleteBody),
    /// The delivery was answered before its last transfer; further transfers are ignored.
    Ignored,
}

/// A delivery whose sections before the body are incomplete.
pub struct IncompleteHead {
    /// The delivery id on the client's session.
    pub delivery_id: u32,
    /// When the first transfer was received.
    pub started_at: MonotonicTime,
    /// The octets received so far.
    pub bytes: Vec<u8>,
}

/// A delivery that has become a request before its last transfer was received.
#[derive(Clone, Copy)]
pub struct IncompleteBody {
    /// The request of the delivery.
    pub request_id: RequestId,
    /// When the most recent transfer was received.
    pub last_transfer_at: MonotonicTime,
}

impl IncompleteDelivery {
    /// The number of octets that are buffered for the delivery before it becomes a request.
    pub fn buffered_bytes(&self) -> usize {
        match self {
            IncompleteDelivery::ReadingHead(head) => head.bytes.len(),
            IncompleteDelivery::None | IncompleteDelivery::Request(_) | IncompleteDelivery::Ignored => 0,
        }
    }
}

impl Client {
    /// Creates the state of a client that has just connected.
    pub(super) fn new(conn: Connection, tls: Option<TlsConnection>, address: Option<IpAddr>) -> Client {
        Client {
            conn,
            is_dirty: false,
            has_departed: false,
            is_paused: false,
            address,
            links: FastHashMap::default(),
            link_bytes: FastHashMap::default(),
            open_requests: 0,
            identity: Rc::new(Identity::default()),
            tls,
            plaintext: Vec::new(),
            detached_requests: Vec::new(),
            is_stalled: false,
            reject_login_at: None,
            incomplete_check_at: None,
            body_timeouts_from: MonotonicTime::ZERO,
        }
    }

    /// Records that the client has ended its stream. Returns false if that is known already.
    pub fn depart(&mut self) -> bool {
        !std::mem::replace(&mut self.has_departed, true)
    }

    /// Whether the client has ended its stream, while some of its input may be unprocessed.
    pub fn has_departed(&self) -> bool {
        self.has_departed
    }

    /// Whether requests of this client are unanswered.
    pub fn has_open_requests(&self) -> bool {
        self.open_requests > 0
    }

    /// The client's identity; the default identity until the client has authenticated.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Sets the identity that the client has authenticated as.
    pub fn set_identity(&mut self, identity: Rc<Identity>) {
        self.identity = identity;
    }

    /// The name in the client's certificate, if the client presented one on the TLS connection.
    pub fn certificate_name(&self) -> Option<String> {
        self.tls.as_ref()?.peer_certificate_name()
    }

    /// Schedules the rejection of the client's failed login.
    pub fn schedule_login_rejection(&mut self, at: MonotonicTime) {
        self.reject_login_at = Some(at);
    }

    /// Whether the rejection of a failed login is due. If so, clears it, so that it is reported once.
    pub fn take_due_login_rejection(&mut self, now: MonotonicTime) -> bool {
        self.reject_login_at.take_if(|at| *at <= now).is_some()
    }

    /// The sending link with this id, if there is one.
    pub fn sending_link(&mut self, link: LinkId) -> Option<&mut ClientSendingLink> {
        match self.links.get_mut(&link)? {
            ClientLink::Sending(link) => Some(link),
            ClientLink::Receiving(_) => None,
        }
    }

    /// The forwarder that sends to the client on this link.
    pub fn forwarder_of(&self, link: LinkId) -> Option<ForwarderId> {
        match self.links.get(&link)? {
            ClientLink::Receiving(forwarder) => Some(*forwarder),
            ClientLink::Sending(_) => None,
        }
    }

    /// The forwarders that send to the client, in the order of their ids.
    pub fn forwarders(&self) -> Vec<ForwarderId> {
        let mut forwarders: Vec<ForwarderId> =
            self.links.keys().filter_map(|link| self.forwarder_of(*link)).collect();
        forwarders.sort_unstable();
        forwarders
    }

    /// Adds a link on which a forwarder sends to the client.
    pub fn add_receiving_link(&mut self, link: LinkId, forwarder: ForwarderId) {
        self.links.insert(link, ClientLink::Receiving(forwarder));
    }

    /// Removes all links and returns them in the order of their ids.
    pub fn take_links(&mut self) -> Vec<ClientLink> {
        let mut links: Vec<(LinkId, ClientLink)> = self.links.drain().collect();
        links.sort_unstable_by_key(|(id, _)| *id);
        links.into_iter().map(|(_, link)| link).collect()
    }

    /// The sending links that have no credit left, in arbitrary order.
    pub(super) fn links_without_credit(&self) -> Vec<LinkId> {
        self.sending_links().filter(|link| self.conn.credit(*link) == 0).collect()
    }

    /// The sending links, in arbitrary order.
    pub(super) fn sending_links(&self) -> impl Iterator<Item = LinkId> + '_ {
        let is_sending = |link: &ClientLink| matches!(link, ClientLink::Sending(_));
        self.links.iter().filter(move |(_, link)| is_sending(link)).map(|(id, _)| *id)
    }

    /// The sending links, in the order of their ids.
    pub fn sending_link_ids(&self) -> Vec<LinkId> {
        let mut links: Vec<LinkId> = self.sending_links().collect();
        links.sort_unstable();
        links
    }

    /// Counts a request of this client that has arrived, or whose link was attached again.
    pub fn add_open_request(&mut self) {
        self.open_requests += 1;
    }

    /// Stops counting a request that was answered, or whose link was detached.
    pub fn remove_open_request(&mut self) {
        self.open_requests -= 1;
    }

    /// Whether the client has no open request and no forwarder.
    pub fn is_idle(&self) -> bool {
        let has_forwarder = self.links.values().any(|link| matches!(link, ClientLink::Receiving(_)));
        self.open_requests == 0 && !has_forwarder
    }

    /// Adds a request whose link is being detached.
    pub fn add_detached_request(&mut self, request_id: RequestId) {
        self.detached_requests.push(request_id);
    }

    /// Removes and returns the requests whose link was detached.
    pub fn take_detached_requests(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.detached_requests)
    }

    /// Whether the client uses TLS and has at least `max_bytes` of unprocessed plaintext.
    pub fn is_plaintext_full(&self, max_bytes: usize) -> bool {
        self.tls.is_some() && self.plaintext.len() >= max_bytes
    }

    /// Decrypts octets from the socket and replaces them with all unprocessed plaintext, old and new. Without TLS the
    /// octets are left as they are.
    ///
    /// # Errors
    /// The TLS library cannot decrypt the octets; `octets` then holds the plaintext before the error.
    pub fn decrypt(&mut self, octets: &mut Vec<u8>) -> Result<(), Fault> {
        let Some(tls) = &mut self.tls else { return Ok(()) };
        let ciphertext = std::mem::replace(octets, std::mem::take(&mut self.plaintext));
        tls.decrypt(&ciphertext, octets).map_err(|error| fault(condition::FRAMING_ERROR, error.to_string()))
    }

    /// Returns unprocessed octets to the buffer that they came from: the plaintext, or the socket's input.
    pub fn restore_input(&mut self, ctx: &mut FrontendContext, token: Token, octets: Vec<u8>) {
        if self.tls.is_some() {
            self.plaintext = octets;
        } else if let Some(input) = ctx.net.input_buffer(token) {
            *input = octets;
        }
    }

    /// Whether octets that the client has sent wait to be processed.
    pub fn has_unprocessed_input(&self, ctx: &mut FrontendContext, token: Token) -> bool {
        !self.plaintext.is_empty() || ctx.net.input_buffer(token).is_some_and(|input| !input.is_empty())
    }

    /// Whether the node does not read the client, for lack of memory or because the client does not read the output.
    pub fn is_input_withheld(&self, ctx: &mut FrontendContext, token: Token) -> bool {
        let is_output_full = ctx.net.pending_output_bytes(token) >= OUTPUT_HIGH_WATERMARK_BYTES;
        is_output_full || (self.is_paused && self.has_unprocessed_input(ctx, token))
    }

    /// Restarts the time-outs of the bodies that the client has begun, because the node does not read the client.
    pub fn restart_body_timeouts(&mut self, now: MonotonicTime) {
        self.body_timeouts_from = now;
    }

    /// The earliest start of the time-out of a body.
    pub fn body_timeouts_from(&self) -> MonotonicTime {
        self.body_timeouts_from
    }

    /// Whether a timer has to be set for a check of the client's incomplete input at this time. Returns false if one is
    /// set already.
    pub fn schedule_incomplete_check(&mut self, at: MonotonicTime) -> bool {
        let is_new = self.incomplete_check_at.is_none();
        self.incomplete_check_at.get_or_insert(at);
        is_new
    }

    /// Whether the check of the client's incomplete input is due. If so, it is no longer scheduled.
    pub fn take_due_incomplete_check(&mut self, now: MonotonicTime) -> bool {
        self.incomplete_check_at.take_if(|at| *at <= now).is_some()
    }

    /// Whether a forwarder stopped sending because the pending output reached its high watermark.
    pub fn is_stalled(&self) -> bool {
        self.is_stalled
    }

    /// Sets whether a forwarder stopped sending because the pending output reached its high watermark.
    pub fn set_stalled(&mut self, is_stalled: bool) {
        self.is_stalled = is_stalled;
    }

    /// Passes the pending output to the socket, encrypted if the client uses TLS.
    pub fn write_pending(&mut self, ctx: &mut FrontendContext, token: Token) {
        let out = self.take_output(ctx.now);
        if !out.is_empty() {
            ctx.net.send(token, &out);
        }
    }

    /// Passes the pending output to the socket, followed by a close_notify alert if the client uses TLS.
    pub fn write_final_output(&mut self, ctx: &mut FrontendContext, token: Token) {
        let out = self.take_final_output(ctx.now);
        if !out.is_empty() {
            ctx.net.send(token, &out);
        }
    }

    fn take_output(&mut self, now: MonotonicTime) -> Vec<u8> {
        let out = self.conn.take_output(now);
        match &mut self.tls {
            Some(tls) => {
                let mut ciphertext = Vec::new();
                tls.encrypt(&out, &mut ciphertext);
                ciphertext
            }
            None => out,
        }
    }

    fn take_final_output(&mut self, now: MonotonicTime) -> Vec<u8> {
        let mut out = self.take_output(now);
        if let Some(tls) = &mut self.tls {
            // TLS peers ignore what follows the alert.
            tls.send_close_notify();
            tls.encrypt(&[], &mut out);
        }
        out
    }
}

#[cfg(test)]
mod tests;
