//! Forwarders: deliveries that come from servers' links and go out on a client's. A forwarder stands for one
//! request, or for a node to which replies are sent.

use super::clients::Clients;
use super::items::Map;
use super::servers::Servers;
use crate::front::FrontContext;
use crate::net::{Token, OUTPUT_HIGH_WATERMARK_BYTES};
use crate::vocabulary::{RequestId, ServerId};
use sparbank_amqp::{Attach, LinkId, Outgoing, Part, State, Tag};
use std::collections::VecDeque;

/// Octets that wait for a slow client: beyond these its servers get no more credit.
const MOST_WAITING: usize = 64 * 1024;
/// The most that one server is granted ahead, whatever the client grants.
const MOST_CREDIT: u32 = 256;
/// Servers that may send to one reply node at the same time.
const MOST_SOURCES: usize = 16;

/// A part that waits for the client.
struct Chunk {
    id: u32,
    tag: Tag,
    settled: bool,
    last: bool,
    bytes: Vec<u8>,
}

/// A server's link that a forwarder takes from.
pub struct Inflow {
    pub token: Token,
    pub link: LinkId,
    chunks: VecDeque<Chunk>,
    octets: usize,
    /// Deliveries of which no part has gone to the client.
    unsent: u32,
}

/// A forwarder.
pub struct Forwarder {
    /// None for a node for replies.
    pub request_id: Option<RequestId>,
    pub client: Token,
    pub link: LinkId,
    /// What the client asked for.
    pub attach: Box<Attach>,
    /// Where its attempt is, and when it started.
    pub server: Option<ServerId>,
    /// The client's link is attached.
    pub up: bool,
    inflows: Vec<Option<Inflow>>,
    /// The inflow whose delivery has begun to go out and not ended.
    current: Option<usize>,
}

/// The table.
#[derive(Default)]
pub struct Forwarders {
    map: Map<u64, Forwarder>,
    by_request: Map<RequestId, u64>,
    replies: Map<String, u64>,
    next: u64,
    /// Deliveries that have gone out whole.
    pub relayed: u64,
}

impl Forwarders {
    /// A client wants what a class sends.
    pub fn insert(
        &mut self,
        request_id: Option<RequestId>,
        client: Token,
        link: LinkId,
        attach: Box<Attach>,
    ) -> u64 {
        self.next += 1;
        let up = request_id.is_none();
        let forwarder = Forwarder {
            request_id,
            client,
            link,
            attach,
            server: None,
            up,
            inflows: Vec::new(),
            current: None,
        };
        self.map.insert(self.next, forwarder);
        if let Some(request_id) = request_id {
            self.by_request.insert(request_id, self.next);
        }
        self.next
    }

    /// A node for replies has this address.
    pub fn name(&mut self, address: String, forwarder: u64) {
        self.replies.insert(address, forwarder);
    }

    /// The forwarder behind a node for replies.
    pub fn reply(&self, address: &str) -> Option<u64> {
        self.replies.get(address).copied()
    }

    pub fn of(&self, request_id: RequestId) -> Option<u64> {
        self.by_request.get(&request_id).copied()
    }

    pub fn get(&mut self, forwarder: u64) -> Option<&mut Forwarder> {
        self.map.get_mut(&forwarder)
    }

    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Ends a forwarder: its servers' links are detached. Gives what it was.
    pub fn remove(&mut self, forwarder: u64, servers: &mut Servers) -> Option<Forwarder> {
        let gone = self.map.remove(&forwarder)?;
        if let Some(request_id) = gone.request_id {
            self.by_request.remove(&request_id);
        } else {
            self.replies.retain(|_, reply| *reply != forwarder);
        }
        if let (Some(server), false) = (gone.server, gone.up) {
            servers.drop_forwarder(server, forwarder);
        }
        for inflow in gone.inflows.iter().flatten() {
            drop_inflow(inflow, servers);
        }
        Some(gone)
    }

    /// Takes a forwarder's attempt back from its server, before it stands. True where nothing of it had
    /// gone out.
    pub fn take_back(&mut self, forwarder: u64, servers: &mut Servers) -> bool {
        let Some(at) = self.map.get_mut(&forwarder) else { return true };
        let unsent = at.server.take().is_some_and(|server| servers.drop_forwarder(server, forwarder));
        at.inflows.clear();
        unsent
    }

    /// Forwarders that wait for a session at one of these servers.
    pub fn unsent(&self, stopped: &[ServerId]) -> Vec<(RequestId, u64)> {
        let waits =
            |r: &Forwarder| !r.up && r.inflows.is_empty() && r.server.is_some_and(|at| stopped.contains(&at));
        let mut found: Vec<_> = self
            .map
            .iter()
            .filter(|(_, r)| waits(r))
            .filter_map(|(id, r)| Some((r.request_id?, *id)))
            .collect();
        found.sort_unstable();
        found
    }

    /// A server's link is one of a forwarder's inflows from now on. False where there are too many.
    pub fn add_inflow(&mut self, forwarder: u64, token: Token, link: LinkId) -> bool {
        let Some(at) = self.map.get_mut(&forwarder) else { return false };
        let inflow = Inflow { token, link, chunks: VecDeque::new(), octets: 0, unsent: 0 };
        let free = at.inflows.iter().position(Option::is_none).unwrap_or(at.inflows.len());
        if free >= MOST_SOURCES {
            return false;
        }
        if free == at.inflows.len() {
            at.inflows.push(None);
        }
        at.inflows[free] = Some(inflow);
        true
    }

    /// A server's link is gone. What of it has not gone out whole is dropped, and called off where the
    /// client has part of it.
    pub fn lose_inflow(&mut self, forwarder: u64, token: Token, link: LinkId, clients: &mut Clients) {
        let Some(at) = self.map.get_mut(&forwarder) else { return };
        let Some(which) = at.find(token, link) else { return };
        at.inflows[which] = None;
        if at.current == Some(which) {
            at.current = None;
            if let Some(client) = clients.get(at.client) {
                client.conn.abort(at.link);
            }
            clients.touch(at.client);
        }
    }

    /// A part has come from a server.
    pub fn part(
        &mut self,
        ctx: &mut FrontContext,
        forwarder: u64,
        token: Token,
        link: LinkId,
        part: Part<'_>,
        sides: Sides,
    ) {
        let Some(at) = self.map.get_mut(&forwarder) else { return };
        let Some(which) = at.find(token, link) else { return };
        if part.first {
            if let Some(source) = sides.servers.get(token) {
                source.conn.name_delivery(link.channel, part.id, u64::from(part.id));
            }
        }
        let Some(inflow) = at.inflows[which].as_mut() else { return };
        if part.aborted {
            let before = inflow.chunks.len();
            inflow.chunks.retain(|chunk| chunk.id != part.id);
            inflow.octets = inflow.chunks.iter().map(|chunk| chunk.bytes.len()).sum();
            if at.current == Some(which) {
                at.current = None;
                if let Some(client) = sides.clients.get(at.client) {
                    client.conn.abort(at.link);
                }
                sides.clients.touch(at.client);
            } else if before > inflow.chunks.len() {
                inflow.unsent = inflow.unsent.saturating_sub(1);
            }
            return;
        }
        inflow.unsent += u32::from(part.first);
        inflow.octets += part.payload.len();
        let (id, tag, settled, last) = (part.id, part.tag, part.settled, part.last);
        inflow.chunks.push_back(Chunk { id, tag, settled, last, bytes: part.payload.to_vec() });
        self.forward(ctx, forwarder, sides);
    }

    /// Sends on what the client takes, and passes its credit on to the servers.
    pub fn forward(&mut self, ctx: &mut FrontContext, forwarder: u64, sides: Sides) {
        let Some(at) = self.map.get_mut(&forwarder) else { return };
        let Some(client) = sides.clients.get(at.client) else { return };
        let unwritten = ctx.net.pending_output_bytes(at.client);
        while let Some(which) = at.current.or_else(|| at.waiting()) {
            let Some(inflow) = at.inflows.get_mut(which).and_then(Option::as_mut) else { break };
            let Some(chunk) = inflow.chunks.front_mut() else { break };
            let key = ((which as u64) << 32) | u64::from(chunk.id);
            let delivery = Outgoing { key, tag: chunk.tag, settled: chunk.settled };
            let room = OUTPUT_HIGH_WATERMARK_BYTES.saturating_sub(unwritten);
            let sent = client.conn.send(at.link, delivery, &chunk.bytes, chunk.last, room);
            if sent.begun && at.current.is_none() {
                at.current = Some(which);
                inflow.unsent = inflow.unsent.saturating_sub(1);
            }
            inflow.octets -= sent.taken;
            if sent.taken < chunk.bytes.len() || (chunk.last && !sent.done) {
                chunk.bytes.drain(..sent.taken);
                client.stalled = client.conn.pending() >= room;
                break;
            }
            if sent.done {
                at.current = None;
                self.relayed += 1;
            }
            inflow.chunks.pop_front();
        }
        let credit = client.conn.credit(at.link);
        let idle = at.inflows.iter().flatten().all(|inflow| inflow.chunks.is_empty());
        if idle && client.conn.is_draining(at.link) {
            client.conn.drained(at.link);
        }
        sides.clients.touch(at.client);
        let count = at.inflows.iter().flatten().count().max(1) as u32;
        for inflow in at.inflows.iter().flatten() {
            let Some(source) = sides.servers.get(inflow.token) else { continue };
            let now = source.conn.credit(inflow.link);
            let share = (credit / count).max(credit.min(1)).saturating_sub(inflow.unsent).min(MOST_CREDIT);
            let share = if inflow.octets > MOST_WAITING { 0 } else { share };
            // Told anew when half of it is used, or when the client takes it back.
            if (share > now && now <= share / 2) || (share == 0 && now > 0 && credit == 0) {
                source.conn.grant(inflow.link, share);
                sides.servers.touch_link(inflow.token);
            }
        }
    }

    /// The client says how a delivery ended: so does the node to its server.
    pub fn settled(&mut self, forwarder: u64, key: u64, state: Option<State>, servers: &mut Servers) {
        let Some(at) = self.map.get_mut(&forwarder) else { return };
        let (which, id) = ((key >> 32) as usize, key as u32);
        let Some(inflow) = at.inflows.get(which).and_then(Option::as_ref) else { return };
        if let Some(source) = servers.get(inflow.token) {
            // Settled without a word, it may have been processed or not: the server decides.
            let state = state.unwrap_or(State::Modified {
                failed: true,
                undeliverable_here: false,
                annotations: None,
            });
            source.conn.settle(inflow.link.channel, id, state);
            servers.touch_link(inflow.token);
        }
    }

    /// The server settles a delivery by itself: so does the node to the client.
    pub fn forgotten(&mut self, forwarder: u64, token: Token, link: LinkId, id: u64, clients: &mut Clients) {
        let Some(at) = self.map.get_mut(&forwarder) else { return };
        let Some(which) = at.find(token, link) else { return };
        let key = ((which as u64) << 32) | id;
        if let Some(client) = clients.get(at.client) {
            if let Some(delivery) = client.conn.delivery(at.link, key) {
                client.conn.forget(at.link, delivery);
            }
        }
        clients.touch(at.client);
    }

    /// All forwarders whose client's link is on this session, for when its window opens.
    pub fn on(&self, client: Token, channel: u16) -> Vec<u64> {
        let mut found: Vec<u64> = self
            .map
            .iter()
            .filter(|(_, r)| r.client == client && r.link.channel == channel)
            .map(|(id, _)| *id)
            .collect();
        found.sort_unstable();
        found
    }
}

/// Both sides of a forwarder.
pub struct Sides<'a> {
    pub clients: &'a mut Clients,
    pub servers: &'a mut Servers,
}

impl Forwarder {
    fn find(&self, token: Token, link: LinkId) -> Option<usize> {
        let is = |i: &Option<Inflow>| i.as_ref().is_some_and(|i| (i.token, i.link) == (token, link));
        self.inflows.iter().position(is)
    }

    /// The first inflow that has something for the client.
    fn waiting(&self) -> Option<usize> {
        self.inflows.iter().position(|i| i.as_ref().is_some_and(|i| !i.chunks.is_empty()))
    }
}

fn drop_inflow(inflow: &Inflow, servers: &mut Servers) {
    if let Some(source) = servers.get(inflow.token) {
        source.uses.remove(&inflow.link);
        source.conn.detach(inflow.link, true, None);
    }
    servers.touch_link(inflow.token);
}
