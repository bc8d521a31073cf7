//! The clients' connections and links: who they are, credit, and what is written to them.

use super::config::AmqpConfig;
use super::deliveries::Map;
use super::forwarders::ForwarderId;
use super::recovery::LinkKey;
use super::users::Identity;
use crate::frontend::tls::TlsConnection;
use crate::frontend::FrontendContext;
use crate::model::RequestId;
use crate::net::{Token, OUTPUT_HIGH_WATERMARK_BYTES};
use sparbank_amqp::{Connection, LinkId, Tag};
use sparbank_time::MonotonicTime;
use std::collections::HashSet;
use std::net::IpAddr;
use std::rc::Rc;

/// A client's connection.
pub struct Client {
    /// The protocol state.
    pub conn: Connection,
    /// What its links are for.
    pub links: Map<LinkId, ClientLink>,
    /// Its requests that are not answered yet and whose link is attached.
    pub open_requests: usize,
    /// Who it is.
    pub identity: Rc<Identity>,
    address: Option<IpAddr>,
    /// Its encryption, where it connected under TLS.
    pub tls: Option<TlsConnection>,
    /// Decrypted input that was not processed yet.
    pub plaintext: Vec<u8>,
    /// It is listed among the connections that may have something to write.
    dirty: bool,
    /// Requests whose link is being detached, until it is known whether the link may be resumed.
    pub detached_requests: Vec<RequestId>,
    /// A forwarder has more for it than is written at one time.
    pub stalled: bool,
    /// When a failed authentication is answered.
    pub reject_login_at: Option<MonotonicTime>,
}

/// What a client's link is for.
pub enum ClientLink {
    /// Its deliveries are requests.
    Sending(SendingLink),
    /// A forwarder's deliveries go out on it: a standing connection, or a node for replies.
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

/// All clients' connections.
#[derive(Default)]
pub struct Clients {
    by_token: Map<Token, Box<Client>>,
    connections_by_address: Map<IpAddr, usize>,
    /// Sending links, by subscriber.
    links_by_subscriber: Map<String, u32>,
    dirty: Vec<Token>,
    /// Clients that are not read while messages take too much memory.
    paused: Vec<Token>,
}

impl Clients {
    /// Adds a connection. False where its address has `max_per_address` already.
    pub fn insert(
        &mut self,
        token: Token,
        conn: Connection,
        tls: Option<TlsConnection>,
        address: Option<IpAddr>,
        max_per_address: usize,
    ) -> bool {
        if let Some(address) = address {
            let count = self.connections_by_address.entry(address).or_default();
            if *count >= max_per_address {
                return false;
            }
            *count += 1;
        }
        let client = Client {
            conn,
            links: Map::default(),
            open_requests: 0,
            identity: Rc::new(Identity::default()),
            address,
            tls,
            plaintext: Vec::new(),
            dirty: false,
            detached_requests: Vec::new(),
            stalled: false,
            reject_login_at: None,
        };
        self.by_token.insert(token, Box::new(client));
        true
    }

    /// Removes a connection.
    pub fn remove(&mut self, token: Token) -> Option<Box<Client>> {
        let client = self.by_token.remove(&token)?;
        if let Some(address) = client.address {
            self.uncount_connection(address);
        }
        let sending_links = client.links.values().filter(|link| matches!(link, ClientLink::Sending(_)));
        let count = sending_links.count() as u32;
        self.count_links(client.identity.subscriber(), -i64::from(count));
        Some(client)
    }

    fn uncount_connection(&mut self, address: IpAddr) {
        if let Some(count) = self.connections_by_address.get_mut(&address) {
            *count -= 1;
            if *count == 0 {
                self.connections_by_address.remove(&address);
            }
        }
    }

    /// A client by its connection.
    pub fn get(&mut self, token: Token) -> Option<&mut Client> {
        self.by_token.get_mut(&token).map(|client| &mut **client)
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.by_token.is_empty()
    }

    /// The number of connections.
    pub fn len(&self) -> usize {
        self.by_token.len()
    }

    /// All connections, in order.
    pub fn tokens(&self) -> Vec<Token> {
        let mut tokens: Vec<Token> = self.by_token.keys().copied().collect();
        tokens.sort_unstable();
        tokens
    }

    fn count_links(&mut self, subscriber: &str, change: i64) {
        if change == 0 {
            return;
        }
        let count = self.links_by_subscriber.entry(subscriber.to_string()).or_default();
        *count = (i64::from(*count) + change).max(0) as u32;
        if *count == 0 {
            self.links_by_subscriber.remove(subscriber);
        }
    }

    /// A sending link is attached.
    pub fn add_sending_link(&mut self, token: Token, id: LinkId, link: SendingLink) {
        let Some(client) = self.by_token.get_mut(&token) else { return };
        client.links.insert(id, ClientLink::Sending(link));
        let identity = client.identity.clone();
        self.count_links(identity.subscriber(), 1);
    }

    /// A link is detached. Gives what it was for.
    pub fn remove_link(&mut self, token: Token, id: LinkId) -> Option<ClientLink> {
        let client = self.by_token.get_mut(&token)?;
        let link = client.links.remove(&id)?;
        if matches!(link, ClientLink::Sending(_)) {
            let identity = client.identity.clone();
            self.count_links(identity.subscriber(), -1);
        }
        Some(link)
    }

    /// Marks a connection: there may be something to write to it.
    pub fn mark_dirty(&mut self, token: Token) {
        if let Some(client) = self.by_token.get_mut(&token).filter(|client| !client.dirty) {
            client.dirty = true;
            self.dirty.push(token);
        }
    }

    /// Whether any connection is marked.
    pub fn is_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Gives the marked connections and unmarks them.
    pub fn take_dirty(&mut self) -> Vec<Token> {
        let dirty = std::mem::take(&mut self.dirty);
        for token in &dirty {
            if let Some(client) = self.by_token.get_mut(token) {
                client.dirty = false;
            }
        }
        dirty
    }

    /// Stops reading a client until [`Clients::take_paused`].
    pub fn pause(&mut self, token: Token) {
        if !self.paused.contains(&token) {
            self.paused.push(token);
        }
    }

    /// Gives the clients that were paused, to be read again.
    pub fn take_paused(&mut self) -> Vec<Token> {
        std::mem::take(&mut self.paused)
    }

    /// Gives a sending link fresh credit, once no more than half of its share is left. The share is the subscriber's
    /// credit divided by its links, and shrinks with the octets that are buffered: it starts to at half of the
    /// allowed octets, and is 0 at nine tenths.
    pub fn replenish_credit(
        &mut self,
        token: Token,
        link: LinkId,
        config: &AmqpConfig,
        buffered_bytes: usize,
    ) {
        let Some(client) = self.by_token.get_mut(&token) else { return };
        let subscriber = client.identity.subscriber();
        let links = self.links_by_subscriber.get(subscriber).copied().unwrap_or(1).max(1);
        let fair_share = (config.subscriber_credit / links).clamp(1, config.credit);
        let target = shrink_credit(fair_share, buffered_bytes, config.max_buffered_bytes);
        let current = client.conn.credit(link);
        if target > current && current <= target / 2 {
            client.conn.set_credit(link, target);
            self.mark_dirty(token);
        }
    }

    /// Takes back the credit of all sending links of a client.
    pub fn revoke_credit(&mut self, token: Token) {
        let Some(client) = self.by_token.get_mut(&token) else { return };
        for (id, link) in &client.links {
            if matches!(link, ClientLink::Sending(_)) {
                client.conn.set_credit(*id, 0);
            }
        }
        self.mark_dirty(token);
    }

    /// Whether forwarders had more for a client than was written at one time, and its socket takes more now. Clears
    /// that mark: where the socket took everything at once, no event says so.
    pub fn clear_stall(&mut self, ctx: &FrontendContext, token: Token) -> bool {
        let Some(client) = self.by_token.get_mut(&token) else { return false };
        let can_resume = client.stalled && ctx.net.pending_output_bytes(token) < OUTPUT_HIGH_WATERMARK_BYTES;
        client.stalled &= !can_resume;
        can_resume
    }

    /// Writes a client's pending output. False where its connection is closed with it.
    pub fn flush(&mut self, ctx: &mut FrontendContext, token: Token) -> bool {
        let Some(client) = self.by_token.get_mut(&token) else { return true };
        client.write_pending(ctx, token);
        !client.conn.is_closed()
    }
}

impl Client {
    /// Whether it has no open request and no forwarder.
    pub fn is_idle(&self) -> bool {
        let has_forwarder = self.links.values().any(|link| matches!(link, ClientLink::Receiving(_)));
        self.open_requests == 0 && !has_forwarder
    }

    /// Its sending links that have no credit left, in no order.
    pub fn links_without_credit(&self) -> Vec<LinkId> {
        let has_none = |(id, link): &(&LinkId, &ClientLink)| {
            matches!(link, ClientLink::Sending(_)) && self.conn.credit(**id) == 0
        };
        self.links.iter().filter(has_none).map(|(id, _)| *id).collect()
    }

    /// The forwarders that send on its links, in no order.
    pub fn forwarders(&self) -> Vec<ForwarderId> {
        let receiving = |link: &ClientLink| match link {
            ClientLink::Receiving(forwarder) => Some(*forwarder),
            ClientLink::Sending(_) => None,
        };
        self.links.values().filter_map(receiving).collect()
    }

    /// Passes its pending output to the socket, encrypted where it uses TLS.
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
}

/// A link's credit while so many octets are buffered of at most `max_bytes`.
fn shrink_credit(credit: u32, buffered_bytes: usize, max_bytes: usize) -> u32 {
    let start = max_bytes / 2;
    let end = max_bytes / 10 * 9;
    if buffered_bytes <= start {
        return credit;
    }
    let left = end.saturating_sub(buffered_bytes) as u64;
    let range = end.saturating_sub(start).max(1) as u64;
    (u64::from(credit) * left / range) as u32
}

#[cfg(test)]
mod tests;
