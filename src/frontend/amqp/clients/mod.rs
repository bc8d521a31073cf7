//! The clients' connections: their table, their output, and the credit of their links.
//!
//! [`Clients`] owns the connections. `client` implements one connection, `credit` the sharing of credit between links.

mod client;
mod credit;

pub use client::{Client, ClientLink, ClientSendingLink, IncompleteBody, IncompleteDelivery, IncompleteHead};

use super::config::AmqpConfig;
use super::connection_link::ConnectionLink;
use super::fast_map::FastHashMap;
use super::forwarder_id::ForwarderId;
use super::link_memory::{LinkMemory, LinkMemoryFull};
use super::message_buffer::MessageBuffer;
use crate::frontend::tls::TlsConnection;
use crate::frontend::FrontendContext;
use crate::net::{Token, OUTPUT_HIGH_WATERMARK_BYTES};
use credit::SubscriberLinks;
use sparbank_amqp::Connection;
use std::net::IpAddr;

/// An address already has the maximum number of connections.
#[derive(Debug, thiserror::Error)]
#[error("too many connections from one address")]
pub struct AddressLimitReached;

/// Whether a client's connection remains open after its output was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flushed {
    /// The connection remains open.
    Open,
    /// The connection is closed: no further output follows.
    Closed,
}

/// All clients' connections, with the counts and lists that span several of them.
#[derive(Default)]
pub struct Clients {
    by_token: FastHashMap<Token, Box<Client>>,
    connections_by_address: FastHashMap<IpAddr, usize>,
    subscriber_links: SubscriberLinks,
    link_memory: LinkMemory,
    /// The connections that may have pending output, in the order in which they were marked.
    dirty: Vec<Token>,
    /// The clients whose input is not read because they hold much of the buffered messages and the limit is reached.
    paused: Vec<Token>,
    /// Whether the node drains; clients are granted no credit then.
    is_draining: bool,
}

impl Clients {
    /// Adds a connection.
    ///
    /// # Errors
    /// The address already has `max_per_address` connections.
    pub fn insert(
        &mut self,
        token: Token,
        conn: Connection,
        tls: Option<TlsConnection>,
        address: Option<IpAddr>,
        max_per_address: usize,
    ) -> Result<(), AddressLimitReached> {
        if let Some(address) = address {
            let count = self.connections_by_address.entry(address).or_default();
            if *count >= max_per_address {
                return Err(AddressLimitReached);
            }
            *count += 1;
        }
        self.by_token.insert(token, Box::new(Client::new(conn, tls, address)));
        Ok(())
    }

    /// Removes a connection, and its share of the counts per address and per subscriber.
    pub fn remove(&mut self, token: Token) -> Option<Box<Client>> {
        let client = self.by_token.remove(&token)?;
        self.paused.retain(|paused| *paused != token);
        self.link_memory.remove(token);
        if let Some(address) = client.address {
            self.decrement_connection_count(address);
        }
        let sending_links = client.sending_links().count() as u32;
        self.subscriber_links.remove(client.identity().subscriber(), sending_links);
        Some(client)
    }

    fn decrement_connection_count(&mut self, address: IpAddr) {
        if let Some(count) = self.connections_by_address.get_mut(&address) {
            *count -= 1;
            if *count == 0 {
                self.connections_by_address.remove(&address);
            }
        }
    }

    /// The client with this connection.
    pub fn get(&mut self, token: Token) -> Option<&mut Client> {
        self.by_token.get_mut(&token).map(|client| &mut **client)
    }

    /// The forwarder that sends to the client on this link.
    pub fn forwarder_of(&self, link: ConnectionLink) -> Option<ForwarderId> {
        self.by_token.get(&link.token)?.forwarder_of(link.id)
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.by_token.is_empty()
    }

    /// The number of connections.
    pub fn len(&self) -> usize {
        self.by_token.len()
    }

    /// The tokens of all connections, in ascending order.
    pub fn tokens(&self) -> Vec<Token> {
        let mut tokens: Vec<Token> = self.by_token.keys().copied().collect();
        tokens.sort_unstable();
        tokens
    }

    /// Counts the memory of a link that a client attaches.
    ///
    /// # Errors
    /// The links of all clients have reached `max_bytes`, and this client has its fair share.
    pub fn reserve_link(
        &mut self,
        at: ConnectionLink,
        bytes: usize,
        max_bytes: usize,
    ) -> Result<(), LinkMemoryFull> {
        let clients = self.by_token.len();
        let Some(client) = self.by_token.get_mut(&at.token) else { return Ok(()) };
        self.link_memory.add(at.token, bytes, clients, max_bytes)?;
        client.link_bytes.insert(at.id, bytes);
        Ok(())
    }

    /// The memory that is counted for all links.
    pub fn link_bytes(&self) -> usize {
        self.link_memory.total()
    }

    /// Adds a sending link that was attached.
    pub fn add_sending_link(&mut self, at: ConnectionLink, link: ClientSendingLink) {
        let Some(client) = self.by_token.get_mut(&at.token) else { return };
        client.links.insert(at.id, ClientLink::Sending(link));
        self.subscriber_links.add(client.identity().subscriber());
    }

    /// Removes a link that was detached, and returns it.
    pub fn remove_link(&mut self, at: ConnectionLink) -> Option<ClientLink> {
        let client = self.by_token.get_mut(&at.token)?;
        let link = client.links.remove(&at.id)?;
        self.link_memory.subtract(at.token, client.link_bytes.remove(&at.id).unwrap_or(0));
        if matches!(link, ClientLink::Sending(_)) {
            self.subscriber_links.remove(client.identity().subscriber(), 1);
        }
        Some(link)
    }

    /// Marks a connection dirty: it may have pending output.
    pub fn mark_dirty(&mut self, token: Token) {
        if let Some(client) = self.by_token.get_mut(&token).filter(|client| !client.is_dirty) {
            client.is_dirty = true;
            self.dirty.push(token);
        }
    }

    /// Whether any connection is marked dirty.
    pub fn is_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Returns the dirty connections and clears their marks.
    pub fn take_dirty(&mut self) -> Vec<Token> {
        let dirty = std::mem::take(&mut self.dirty);
        for token in &dirty {
            if let Some(client) = self.by_token.get_mut(token) {
                client.is_dirty = false;
            }
        }
        dirty
    }

    /// Writes a client's pending output.
    pub fn flush(&mut self, ctx: &mut FrontendContext, token: Token) -> Flushed {
        let Some(client) = self.by_token.get_mut(&token) else { return Flushed::Open };
        client.write_pending(ctx, token);
        if client.conn.is_closed() {
            Flushed::Closed
        } else {
            Flushed::Open
        }
    }

    /// Whether a forwarder had stopped sending to a client and the pending output is below its high watermark again. If
    /// so, clears the client's stalled mark. Needed because no event is raised if the socket takes all output at once.
    pub fn clear_stall(&mut self, ctx: &FrontendContext, token: Token) -> bool {
        let Some(client) = self.by_token.get_mut(&token) else { return false };
        let can_resume =
            client.is_stalled() && ctx.net.pending_output_bytes(token) < OUTPUT_HIGH_WATERMARK_BYTES;
        if can_resume {
            client.set_stalled(false);
        }
        can_resume
    }

    /// Stops reading from a client until [`Clients::take_resumable`] returns it.
    pub fn pause(&mut self, token: Token) {
        if let Some(client) = self.by_token.get_mut(&token).filter(|client| !client.is_paused) {
            client.is_paused = true;
            self.paused.push(token);
        }
    }

    /// Reads a client again that was paused.
    pub fn resume(&mut self, token: Token) {
        self.paused.retain(|paused| *paused != token);
        if let Some(client) = self.by_token.get_mut(&token) {
            client.is_paused = false;
        }
    }

    /// Records the recent activity of a client whose input may not have been processed. While input of a paused client
    /// waits, its silence cannot be measured.
    pub fn record_activity(&mut self, ctx: &mut FrontendContext, token: Token) {
        let Some(client) = self.by_token.get_mut(&token) else { return };
        let is_waiting = client.is_paused && client.has_unprocessed_input(ctx, token);
        let active_at = if is_waiting { ctx.now } else { ctx.net.last_peer_activity(token) };
        client.conn.on_peer_activity(active_at);
    }

    /// Removes and returns the paused clients that are to be read again.
    pub fn take_resumable(&mut self, buffer: &MessageBuffer, max_bytes: usize) -> Vec<Token> {
        let may_resume = |token: &mut Token| buffer.may_resume(*token, max_bytes);
        let resumable: Vec<Token> = self.paused.extract_if(.., may_resume).collect();
        for token in &resumable {
            if let Some(client) = self.by_token.get_mut(token) {
                client.is_paused = false;
            }
        }
        resumable
    }

    /// The number of clients that are not read for lack of memory.
    pub fn paused_count(&self) -> usize {
        self.paused.len()
    }

    /// Whether the node drains: new requests are rejected, and clients without open requests are disconnected.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Starts a drain: revokes the credit of all sending links, and grants none until [`Clients::end_drain`]. Has no
    /// effect if the node already drains.
    pub fn start_drain(&mut self) {
        if std::mem::replace(&mut self.is_draining, true) {
            return;
        }
        for token in self.tokens() {
            self.revoke_credit(token);
        }
    }

    /// Ends a drain: credit can be granted again. Returns whether the node was draining.
    pub fn end_drain(&mut self) -> bool {
        std::mem::take(&mut self.is_draining)
    }

    /// Replenishes the credit of a sending link once at most half of its target credit is left, unless the node drains.
    /// Memory that others hold does not reduce the credit of a client that holds little.
    pub fn replenish_credit(&mut self, at: ConnectionLink, config: &AmqpConfig, buffer: &MessageBuffer) {
        let Some(client) = self.by_token.get_mut(&at.token).filter(|_| !self.is_draining) else { return };
        let subscriber = client.identity().subscriber();
        let buffered_bytes = if buffer.holds_little(at.token) { 0 } else { buffer.total() };
        let target = self.subscriber_links.target_credit(subscriber, config, buffered_bytes);
        let current = client.conn.credit(at.id);
        if target > current && current <= target / 2 {
            client.conn.set_credit(at.id, target);
            self.mark_dirty(at.token);
        }
    }

    /// Replenishes the credit of the sending links that have none left, because it shrank while memory was short or was
    /// revoked for a drain.
    pub fn replenish_all_credit(&mut self, config: &AmqpConfig, buffer: &MessageBuffer) {
        for token in self.tokens() {
            let Some(client) = self.get(token) else { continue };
            for id in client.links_without_credit() {
                self.replenish_credit(ConnectionLink { token, id }, config, buffer);
            }
        }
    }

    fn revoke_credit(&mut self, token: Token) {
        let Some(client) = self.by_token.get_mut(&token) else { return };
        let sending_links: Vec<_> = client.sending_links().collect();
        for link in sending_links {
            client.conn.set_credit(link, 0);
        }
        self.mark_dirty(token);
    }
}
