//! The regions' side: one connection and session each, a link for every class, a delivery a routed task.

use super::codec::*;
use super::connection::{Connection, Fault};
use super::link::Outlet;
use super::session::Session;
use super::{AmqpFront, Ctx, Stage, Task};
use crate::front::Due;
use crate::interface::*;
use crate::net::{Kind, Notice, Owner, Token, SLOW};
use std::collections::{BTreeMap, HashMap};

/// Our one channel.
const CHANNEL: u16 = 0;

/// A region's connection.
pub struct Region {
    token: Token,
    connection: Connection,
    session: Session,
    begin_sent: bool,
    begun: bool,
    outlets: BTreeMap<String, Outlet>,
    next_handle: u32,
    next_delivery: u32,
    deliveries: HashMap<u32, RequestId>,
}

impl Region {
    fn attach(connection: &mut Connection, address: &str, outlet: &Outlet) {
        let target = Value::composite(0x29, vec![Value::Text(address.to_string())]);
        let attach = Attach {
            name: Some(address.to_string()),
            handle: Some(outlet.handle),
            role: Some(false),
            snd_settle_mode: Some(0),
            rcv_settle_mode: Some(0),
            source: Some(Value::composite(0x28, Vec::new())),
            target: Some(target),
            initial_delivery_count: Some(0),
            ..Attach::default()
        };
        connection.put(CHANNEL, attach);
    }
}

impl AmqpFront {
    /// Starts a routed task.
    pub fn start(&mut self, ctx: &mut Ctx, txn: RequestId, region: ServerId, wait: Nanos) {
        let Some(item) = self.items.get_mut(&txn) else { return };
        let address = item.address.clone();
        item.task = Some(Task { region, until: ctx.now + wait, stage: Stage::Queued });
        if !self.regions.contains_key(&region) && !self.dial(ctx, region) {
            return self.over(ctx, txn, Outcome::ConnectFailed);
        }
        let Some(at) = self.regions.get_mut(&region) else { return };
        let Region { connection, outlets, next_handle, begun, .. } = at;
        let outlet = outlets.entry(address).or_insert_with_key(|address| {
            let outlet = Outlet::new(*next_handle);
            *next_handle += 1;
            if *begun {
                Region::attach(connection, address, &outlet);
            }
            outlet
        });
        outlet.queue.push_back(txn);
        self.pump(ctx, region);
    }

    fn dial(&mut self, ctx: &mut Ctx, region: ServerId) -> bool {
        let Some(known) = ctx.table.region(region) else { return false };
        let addr = self.config.regions.get(&known.name).copied().unwrap_or(known.addr);
        let Ok(token) = ctx.net.connect(addr, Owner::Amqp) else { return false };
        let (frame, idle) = (self.config.max_frame, self.config.idle_ms);
        let connection = Connection::new(ctx.now, true, &self.container, frame, idle);
        let at = Region {
            token,
            connection,
            session: Session::new(),
            begin_sent: false,
            begun: false,
            outlets: BTreeMap::new(),
            next_handle: 0,
            next_delivery: 0,
            deliveries: HashMap::new(),
        };
        self.regions.insert(region, at);
        self.tokens.insert(token, region);
        ctx.wheel.at(ctx.now + ctx.facts.limits.dial_timeout_ns, Due::Dial(Owner::Amqp, token));
        true
    }

    /// A connection should be open by now.
    pub fn dial_due(&mut self, ctx: &mut Ctx, token: Token) {
        if let Some(region) = self.tokens.get(&token).copied() {
            if self.regions.get(&region).is_some_and(|at| !at.connection.is_open()) {
                self.lose(ctx, region);
            }
        }
    }

    pub(super) fn region_notice(&mut self, ctx: &mut Ctx, region: ServerId, notice: Notice) {
        let Some(at) = self.regions.get_mut(&region) else { return };
        let mut fed = Ok(Vec::new());
        if let Some(input) = ctx.net.input(at.token) {
            fed = at.connection.feed(ctx.now, input);
        }
        if at.connection.is_open() && !at.begin_sent {
            at.begin_sent = true;
            let begin = at.session.begin(None, u32::MAX);
            at.connection.put(CHANNEL, begin);
        }
        let taken = fed.and_then(|frames| {
            frames.into_iter().try_for_each(|(_, body, _)| self.region_frame(ctx, region, body))
        });
        let Some(at) = self.regions.get_mut(&region) else { return };
        if let Err(why) = &taken {
            crate::log::line(format_args!("region-garbage reason={} {}", why.condition, why.words));
            at.connection.close(Some(why));
        }
        let token = at.token;
        let over =
            at.connection.is_closed() || ctx.net.at_end(token) || matches!(notice.kind, Kind::Broken(_));
        if over {
            return self.lose(ctx, region);
        }
        self.pump(ctx, region);
        ctx.net.rearm(token);
    }

    fn region_frame(&mut self, ctx: &mut Ctx, region: ServerId, body: Performative) -> Result<(), Fault> {
        let Some(at) = self.regions.get_mut(&region) else { return Ok(()) };
        match body {
            Performative::Begin(begin) => {
                at.session.began(&begin);
                at.begun = true;
                let Region { connection, outlets, .. } = at;
                outlets.iter().for_each(|(address, outlet)| Region::attach(connection, address, outlet));
            }
            Performative::Attach(attach) => {
                let found = at.outlets.iter_mut().find(|(name, _)| Some(*name) == attach.name.as_ref());
                if let Some((_, outlet)) = found {
                    // Without a target it is refused: its detach follows.
                    outlet.attached = attach.target.is_some();
                    outlet.remote_handle = attach.handle;
                }
            }
            Performative::Flow(flow) => {
                at.session.flowed(&flow);
                let mut reply = at.session.flow();
                let mut answer = flow.echo == Some(true);
                let link =
                    at.outlets.values_mut().find(|o| flow.handle.is_some() && o.remote_handle == flow.handle);
                if let Some(outlet) = link {
                    outlet.flowed(&flow);
                    if flow.drain == Some(true) && outlet.queue.is_empty() {
                        outlet.drained();
                        answer = true;
                    }
                    reply.handle = Some(outlet.handle);
                    reply.delivery_count = Some(outlet.delivery_count);
                    reply.link_credit = Some(outlet.credit());
                    reply.drain = flow.drain;
                }
                if answer {
                    at.connection.put(CHANNEL, reply);
                }
            }
            Performative::Disposition(d) if d.role == Some(true) => self.disposed(ctx, region, &d),
            Performative::Detach(detach) => {
                let found = at
                    .outlets
                    .iter()
                    .find(|(_, o)| o.remote_handle.is_some() && o.remote_handle == detach.handle);
                if let Some((address, handle)) = found.map(|(a, o)| (a.clone(), o.handle)) {
                    at.outlets.remove(&address);
                    at.connection
                        .put(CHANNEL, Detach { handle: Some(handle), closed: detach.closed, error: None });
                    self.lose_tasks(ctx, region, Some(&address));
                }
            }
            Performative::End(_) => at.connection.close(None),
            _ => {}
        }
        Ok(())
    }

    /// The region says how deliveries ended.
    fn disposed(&mut self, ctx: &mut Ctx, region: ServerId, d: &Disposition) {
        let Some(at) = self.regions.get_mut(&region) else { return };
        let Some(first) = d.first else { return };
        let last = d.last.unwrap_or(first);
        let settled = d.settled == Some(true);
        let outcome = match d.state.as_ref().and_then(Value::as_composite) {
            Some((0x24, _)) => Outcome::Ok,
            Some((0x25, _)) => Outcome::Error,
            // Released, or modified without a failed delivery: it never ran.
            Some((0x26, _)) => Outcome::Full,
            Some((0x27, fields)) if fields.first() != Some(&Value::Bool(true)) => Outcome::Full,
            // Anything else that settles it says nothing of what happened.
            Some((0x27, _)) => Outcome::Error,
            _ if settled => Outcome::Error,
            _ => return,
        };
        let mine = |id: &u32| id.wrapping_sub(first) <= last.wrapping_sub(first);
        let mut over: Vec<(u32, RequestId)> =
            at.deliveries.iter().filter(|(id, _)| mine(id)).map(|(id, txn)| (*id, *txn)).collect();
        over.sort_unstable();
        if !settled && !over.is_empty() {
            let (role, settled, state) = (Some(false), Some(true), d.state.clone());
            let (first, last) = (Some(first), Some(last));
            let body = Disposition { role, first, last, settled, state, batchable: None };
            at.connection.put(CHANNEL, body);
        }
        for (id, txn) in over {
            at.deliveries.remove(&id);
            if let Some(outlet) = at.outlets.values_mut().find(|o| o.sending == Some(txn)) {
                // Answered before it had come whole: the rest must not follow.
                outlet.give_up(id, true);
            }
        }
        let ended: Vec<RequestId> = self.ended(region, &mine);
        ended.into_iter().for_each(|txn| self.over(ctx, txn, outcome));
    }

    /// Transactions whose routed task at this region has a delivery among these.
    fn ended(&self, region: ServerId, mine: &dyn Fn(&u32) -> bool) -> Vec<RequestId> {
        let hit = |task: &Task| {
            task.region == region
                && match &task.stage {
                    Stage::Queued => false,
                    Stage::Sending { id, .. } | Stage::Sent { id, .. } => mine(id),
                }
        };
        let mut ended: Vec<RequestId> = self
            .items
            .iter()
            .filter(|(_, item)| item.task.as_ref().is_some_and(hit))
            .map(|(txn, _)| *txn)
            .collect();
        ended.sort_unstable();
        ended
    }

    /// Sends what credit, the session's window and the socket take.
    fn pump(&mut self, ctx: &mut Ctx, region: ServerId) {
        let Some(at) = self.regions.get_mut(&region) else { return };
        let token = at.token;
        let Region { connection, session, outlets, next_delivery, deliveries, .. } = at;
        for outlet in outlets.values_mut() {
            if let Some(id) = outlet.abort.filter(|_| session.remote_window > 0) {
                let (handle, delivery_id, aborted) = (Some(outlet.handle), Some(id), Some(true));
                connection.put(CHANNEL, Transfer { handle, delivery_id, aborted, ..Transfer::default() });
                session.sent();
                outlet.abort = None;
            }
            loop {
                if let Some(item) = outlet.next().and_then(|txn| {
                    deliveries.insert(*next_delivery, txn);
                    self.items.get_mut(&txn)
                }) {
                    if let Some(task) = &mut item.task {
                        let ttl = task.until.saturating_sub(ctx.now) / 1_000_000;
                        let bytes = item.message.encode((ttl as u32).max(1));
                        task.stage = Stage::Sending { id: *next_delivery, bytes, at: 0 };
                        *next_delivery = next_delivery.wrapping_add(1);
                    }
                }
                let Some(txn) = outlet.sending else { break };
                let task = self.items.get_mut(&txn).and_then(|item| item.task.as_mut());
                let Some(Task { stage, .. }) = task else {
                    outlet.sending = None;
                    continue;
                };
                let Stage::Sending { id, bytes, at } = stage else {
                    outlet.sending = None;
                    continue;
                };
                let ahead = ctx.net.unwritten(token) + connection.out.len();
                if session.remote_window == 0 || ahead >= SLOW {
                    break;
                }
                let end = (*at + connection.room()).min(bytes.len());
                let more = end < bytes.len();
                let transfer = Transfer {
                    handle: Some(outlet.handle),
                    delivery_id: Some(*id),
                    delivery_tag: Some(txn.0.to_be_bytes().to_vec()),
                    message_format: Some(0),
                    settled: Some(false),
                    more: Some(more),
                    ..Transfer::default()
                };
                connection.put_with(CHANNEL, transfer, &bytes[*at..end]);
                session.sent();
                *at = end;
                if !more {
                    let end = ctx.net.position(token) + connection.out.len() as u64;
                    *stage = Stage::Sent { id: *id, end };
                    outlet.sending = None;
                }
            }
        }
        let out = connection.take_out(ctx.now);
        ctx.net.send(token, &out);
    }

    /// Takes a routed task back from its region and says what that makes of it.
    pub fn give_up(&mut self, ctx: &mut Ctx, txn: RequestId) -> Outcome {
        let Some(item) = self.items.get_mut(&txn) else { return Outcome::Cancelled };
        let Some(task) = item.task.take() else { return Outcome::Cancelled };
        let Some(at) = self.regions.get_mut(&task.region) else { return Outcome::Reset };
        let Some(outlet) = at.outlets.get_mut(&item.address) else { return Outcome::Reset };
        let outcome = match task.stage {
            Stage::Queued => {
                outlet.queue.retain(|queued| *queued != txn);
                Outcome::ConnectFailed
            }
            Stage::Sending { id, at: sent, .. } => {
                outlet.give_up(id, sent > 0);
                at.deliveries.remove(&id);
                Outcome::ConnectFailed
            }
            Stage::Sent { id, .. } => {
                at.deliveries.remove(&id);
                let (role, first, settled) = (Some(false), Some(id), Some(true));
                at.connection.put(CHANNEL, Disposition { role, first, settled, ..Disposition::default() });
                Outcome::Timeout
            }
        };
        self.pump(ctx, task.region);
        outcome
    }

    /// Regions that get nothing new. What waits there is placed elsewhere; what is half sent is aborted
    /// and so never ran.
    pub fn drained(&mut self, ctx: &mut Ctx, stopped: &[ServerId]) {
        let unsent =
            |task: &Task| stopped.contains(&task.region) && !matches!(task.stage, Stage::Sent { .. });
        let mut unsent: Vec<RequestId> = self
            .items
            .iter()
            .filter(|(_, item)| item.task.as_ref().is_some_and(unsent))
            .map(|(txn, _)| *txn)
            .collect();
        unsent.sort_unstable();
        for txn in unsent {
            let outcome = self.give_up(ctx, txn);
            self.over(ctx, txn, outcome);
        }
    }

    /// The connection is lost or of no use: its routed tasks are over.
    fn lose(&mut self, ctx: &mut Ctx, region: ServerId) {
        self.lose_tasks(ctx, region, None);
        if let Some(mut at) = self.regions.remove(&region) {
            self.tokens.remove(&at.token);
            at.connection.close(None);
            let out = at.connection.take_out(ctx.now);
            ctx.net.send(at.token, &out);
            ctx.net.close(at.token);
        }
    }

    /// What was written to its last byte may have run; the rest never did.
    fn lose_tasks(&mut self, ctx: &mut Ctx, region: ServerId, address: Option<&str>) {
        let Some(at) = self.regions.get_mut(&region) else { return };
        let written = ctx.net.written(at.token);
        let mut lost: Vec<(RequestId, Outcome)> = Vec::new();
        for (txn, item) in &self.items {
            let Some(task) = item.task.as_ref().filter(|t| t.region == region) else { continue };
            if address.is_some_and(|address| address != item.address) {
                continue;
            }
            lost.push(match task.stage {
                Stage::Sent { id, end } => {
                    at.deliveries.remove(&id);
                    (*txn, if written >= end { Outcome::Reset } else { Outcome::ConnectFailed })
                }
                Stage::Sending { id, .. } => {
                    at.deliveries.remove(&id);
                    (*txn, Outcome::ConnectFailed)
                }
                Stage::Queued => (*txn, Outcome::ConnectFailed),
            });
        }
        lost.sort_unstable_by_key(|(txn, _)| *txn);
        lost.into_iter().for_each(|(txn, outcome)| self.over(ctx, txn, outcome));
    }

    pub(super) fn look_at_regions(&mut self, ctx: &mut Ctx) {
        let all: Vec<ServerId> = self.regions.keys().copied().collect();
        for region in all {
            let Some(at) = self.regions.get_mut(&region) else { continue };
            if at.connection.look(ctx.now).is_err() {
                self.lose(ctx, region);
            } else {
                let out = at.connection.take_out(ctx.now);
                ctx.net.send(at.token, &out);
            }
        }
    }
}
