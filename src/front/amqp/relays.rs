//! Relays: deliveries that come from regions' links and go out on a terminal's. A relay stands for one
//! transaction, or for a node to which replies are sent.

use super::items::Map;
use super::regions::Regions;
use super::terminals::Terminals;
use crate::front::Ctx;
use crate::interface::{RequestId, ServerId};
use crate::net::{Token, SLOW};
use sparbank_amqp::{Attach, LinkId, Outgoing, Part, State, Tag};
use std::collections::VecDeque;

/// Octets that wait for a slow terminal: beyond these its regions get no more credit.
const MOST_WAITING: usize = 64 * 1024;
/// The most that one region is granted ahead, whatever the terminal grants.
const MOST_CREDIT: u32 = 256;
/// Regions that may send to one reply node at the same time.
const MOST_SOURCES: usize = 16;

/// A part that waits for the terminal.
struct Chunk {
    id: u32,
    tag: Tag,
    settled: bool,
    last: bool,
    bytes: Vec<u8>,
}

/// A region's link that a relay takes from.
pub struct Inflow {
    pub token: Token,
    pub link: LinkId,
    chunks: VecDeque<Chunk>,
    octets: usize,
    /// Deliveries of which no part has gone to the terminal.
    unsent: u32,
}

/// A relay.
pub struct Relay {
    /// None for a node for replies.
    pub txn: Option<RequestId>,
    pub terminal: Token,
    pub link: LinkId,
    /// What the terminal asked for.
    pub attach: Box<Attach>,
    /// Where its routed task is, and when it started.
    pub region: Option<ServerId>,
    /// The terminal's link is attached.
    pub up: bool,
    inflows: Vec<Option<Inflow>>,
    /// The inflow whose delivery has begun to go out and not ended.
    current: Option<usize>,
}

/// The table.
#[derive(Default)]
pub struct Relays {
    map: Map<u64, Relay>,
    by_txn: Map<RequestId, u64>,
    replies: Map<String, u64>,
    next: u64,
    /// Deliveries that have gone out whole.
    pub relayed: u64,
}

impl Relays {
    /// A terminal wants what a class sends.
    pub fn insert(
        &mut self,
        txn: Option<RequestId>,
        terminal: Token,
        link: LinkId,
        attach: Box<Attach>,
    ) -> u64 {
        self.next += 1;
        let up = txn.is_none();
        let relay =
            Relay { txn, terminal, link, attach, region: None, up, inflows: Vec::new(), current: None };
        self.map.insert(self.next, relay);
        if let Some(txn) = txn {
            self.by_txn.insert(txn, self.next);
        }
        self.next
    }

    /// A node for replies has this address.
    pub fn name(&mut self, address: String, relay: u64) {
        self.replies.insert(address, relay);
    }

    /// The relay behind a node for replies.
    pub fn reply(&self, address: &str) -> Option<u64> {
        self.replies.get(address).copied()
    }

    pub fn of(&self, txn: RequestId) -> Option<u64> {
        self.by_txn.get(&txn).copied()
    }

    pub fn get(&mut self, relay: u64) -> Option<&mut Relay> {
        self.map.get_mut(&relay)
    }

    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Ends a relay: its regions' links are detached. Gives what it was.
    pub fn remove(&mut self, relay: u64, regions: &mut Regions) -> Option<Relay> {
        let gone = self.map.remove(&relay)?;
        if let Some(txn) = gone.txn {
            self.by_txn.remove(&txn);
        } else {
            self.replies.retain(|_, reply| *reply != relay);
        }
        if let (Some(region), false) = (gone.region, gone.up) {
            regions.drop_relay(region, relay);
        }
        for inflow in gone.inflows.iter().flatten() {
            drop_inflow(inflow, regions);
        }
        Some(gone)
    }

    /// Takes a relay's routed task back from its region, before it stands. True where nothing of it had
    /// gone out.
    pub fn take_back(&mut self, relay: u64, regions: &mut Regions) -> bool {
        let Some(at) = self.map.get_mut(&relay) else { return true };
        let unsent = at.region.take().is_some_and(|region| regions.drop_relay(region, relay));
        at.inflows.clear();
        unsent
    }

    /// Relays that wait for a session at one of these regions.
    pub fn unsent(&self, stopped: &[ServerId]) -> Vec<(RequestId, u64)> {
        let waits =
            |r: &Relay| !r.up && r.inflows.is_empty() && r.region.is_some_and(|at| stopped.contains(&at));
        let mut found: Vec<_> =
            self.map.iter().filter(|(_, r)| waits(r)).filter_map(|(id, r)| Some((r.txn?, *id))).collect();
        found.sort_unstable();
        found
    }

    /// A region's link is one of a relay's inflows from now on. False where there are too many.
    pub fn add_inflow(&mut self, relay: u64, token: Token, link: LinkId) -> bool {
        let Some(at) = self.map.get_mut(&relay) else { return false };
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

    /// A region's link is gone. What of it has not gone out whole is dropped, and called off where the
    /// terminal has part of it.
    pub fn lose_inflow(&mut self, relay: u64, token: Token, link: LinkId, terminals: &mut Terminals) {
        let Some(at) = self.map.get_mut(&relay) else { return };
        let Some(which) = at.find(token, link) else { return };
        at.inflows[which] = None;
        if at.current == Some(which) {
            at.current = None;
            if let Some(terminal) = terminals.get(at.terminal) {
                terminal.conn.abort(at.link);
            }
            terminals.touch(at.terminal);
        }
    }

    /// A part has come from a region.
    pub fn part(
        &mut self,
        ctx: &mut Ctx,
        relay: u64,
        token: Token,
        link: LinkId,
        part: Part<'_>,
        sides: Sides,
    ) {
        let Some(at) = self.map.get_mut(&relay) else { return };
        let Some(which) = at.find(token, link) else { return };
        if part.first {
            if let Some(source) = sides.regions.get(token) {
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
                if let Some(terminal) = sides.terminals.get(at.terminal) {
                    terminal.conn.abort(at.link);
                }
                sides.terminals.touch(at.terminal);
            } else if before > inflow.chunks.len() {
                inflow.unsent = inflow.unsent.saturating_sub(1);
            }
            return;
        }
        inflow.unsent += u32::from(part.first);
        inflow.octets += part.payload.len();
        let (id, tag, settled, last) = (part.id, part.tag, part.settled, part.last);
        inflow.chunks.push_back(Chunk { id, tag, settled, last, bytes: part.payload.to_vec() });
        self.forward(ctx, relay, sides);
    }

    /// Sends on what the terminal takes, and passes its credit on to the regions.
    pub fn forward(&mut self, ctx: &mut Ctx, relay: u64, sides: Sides) {
        let Some(at) = self.map.get_mut(&relay) else { return };
        let Some(terminal) = sides.terminals.get(at.terminal) else { return };
        let unwritten = ctx.net.unwritten(at.terminal);
        while let Some(which) = at.current.or_else(|| at.waiting()) {
            let Some(inflow) = at.inflows.get_mut(which).and_then(Option::as_mut) else { break };
            let Some(chunk) = inflow.chunks.front_mut() else { break };
            let key = ((which as u64) << 32) | u64::from(chunk.id);
            let delivery = Outgoing { key, tag: chunk.tag, settled: chunk.settled };
            let room = SLOW.saturating_sub(unwritten);
            let sent = terminal.conn.send(at.link, delivery, &chunk.bytes, chunk.last, room);
            if sent.begun && at.current.is_none() {
                at.current = Some(which);
                inflow.unsent = inflow.unsent.saturating_sub(1);
            }
            inflow.octets -= sent.taken;
            if sent.taken < chunk.bytes.len() || (chunk.last && !sent.done) {
                chunk.bytes.drain(..sent.taken);
                terminal.stalled = terminal.conn.pending() >= room;
                break;
            }
            if sent.done {
                at.current = None;
                self.relayed += 1;
            }
            inflow.chunks.pop_front();
        }
        let credit = terminal.conn.credit(at.link);
        let idle = at.inflows.iter().flatten().all(|inflow| inflow.chunks.is_empty());
        if idle && terminal.conn.is_draining(at.link) {
            terminal.conn.drained(at.link);
        }
        sides.terminals.touch(at.terminal);
        let count = at.inflows.iter().flatten().count().max(1) as u32;
        for inflow in at.inflows.iter().flatten() {
            let Some(source) = sides.regions.get(inflow.token) else { continue };
            let now = source.conn.credit(inflow.link);
            let share = (credit / count).max(credit.min(1)).saturating_sub(inflow.unsent).min(MOST_CREDIT);
            let share = if inflow.octets > MOST_WAITING { 0 } else { share };
            // Told anew when half of it is used, or when the terminal takes it back.
            if (share > now && now <= share / 2) || (share == 0 && now > 0 && credit == 0) {
                source.conn.grant(inflow.link, share);
                sides.regions.touch_link(inflow.token);
            }
        }
    }

    /// The terminal says how a delivery ended: so does the node to its region.
    pub fn settled(&mut self, relay: u64, key: u64, state: Option<State>, regions: &mut Regions) {
        let Some(at) = self.map.get_mut(&relay) else { return };
        let (which, id) = ((key >> 32) as usize, key as u32);
        let Some(inflow) = at.inflows.get(which).and_then(Option::as_ref) else { return };
        if let Some(source) = regions.get(inflow.token) {
            // Settled without a word, it may have been processed or not: the region decides.
            let state = state.unwrap_or(State::Modified {
                failed: true,
                undeliverable_here: false,
                annotations: None,
            });
            source.conn.settle(inflow.link.channel, id, state);
            regions.touch_link(inflow.token);
        }
    }

    /// The region settles a delivery by itself: so does the node to the terminal.
    pub fn forgotten(&mut self, relay: u64, token: Token, link: LinkId, id: u64, terminals: &mut Terminals) {
        let Some(at) = self.map.get_mut(&relay) else { return };
        let Some(which) = at.find(token, link) else { return };
        let key = ((which as u64) << 32) | id;
        if let Some(terminal) = terminals.get(at.terminal) {
            if let Some(delivery) = terminal.conn.delivery(at.link, key) {
                terminal.conn.forget(at.link, delivery);
            }
        }
        terminals.touch(at.terminal);
    }

    /// All relays whose terminal's link is on this session, for when its window opens.
    pub fn on(&self, terminal: Token, channel: u16) -> Vec<u64> {
        let mut found: Vec<u64> = self
            .map
            .iter()
            .filter(|(_, r)| r.terminal == terminal && r.link.channel == channel)
            .map(|(id, _)| *id)
            .collect();
        found.sort_unstable();
        found
    }
}

/// Both sides of a relay.
pub struct Sides<'a> {
    pub terminals: &'a mut Terminals,
    pub regions: &'a mut Regions,
}

impl Relay {
    fn find(&self, token: Token, link: LinkId) -> Option<usize> {
        let is = |i: &Option<Inflow>| i.as_ref().is_some_and(|i| (i.token, i.link) == (token, link));
        self.inflows.iter().position(is)
    }

    /// The first inflow that has something for the terminal.
    fn waiting(&self) -> Option<usize> {
        self.inflows.iter().position(|i| i.as_ref().is_some_and(|i| !i.chunks.is_empty()))
    }
}

fn drop_inflow(inflow: &Inflow, regions: &mut Regions) {
    if let Some(source) = regions.get(inflow.token) {
        source.uses.remove(&inflow.link);
        source.conn.detach(inflow.link, true, None);
    }
    regions.touch_link(inflow.token);
}
