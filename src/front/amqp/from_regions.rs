//! What regions say.

use super::regions::Use;
use super::*;
use crate::front::Ctx;
use crate::net::{Kind, Notice, Token};
use sparbank_amqp::{Attach, Event, LinkId, Role, Terminus};

impl AmqpFront {
    pub(super) fn region_notice(&mut self, ctx: &mut Ctx, notice: Notice) {
        let token = notice.token;
        let mut bytes = ctx.net.input(token).map(std::mem::take).unwrap_or_default();
        let mut left = &bytes[..];
        let mut fault = None;
        while let Some(link) = self.regions.get(token) {
            match link.conn.next(ctx.now, &mut left) {
                Ok(Some(event)) => self.region_event(ctx, token, event),
                Ok(None) => break,
                Err(why) => {
                    fault = Some(why);
                    break;
                }
            }
        }
        let taken = bytes.len() - left.len();
        if taken < bytes.len() {
            bytes.drain(..taken);
            if let Some(input) = ctx.net.input(token) {
                *input = bytes;
            }
        }
        let Some(link) = self.regions.get(token) else { return };
        if let Some(why) = fault.filter(|_| !link.conn.peer_has_no_sasl()) {
            crate::log::line(format_args!("region-garbage reason={} {}", why.condition, why.words));
            link.conn.close(Some(Box::new(why.into())));
        }
        let over = link.conn.is_closed() || ctx.net.at_end(token) || matches!(notice.kind, Kind::Broken(_));
        if over {
            return self.lose_region(ctx, token);
        }
        self.regions.touch_link(token);
        ctx.net.rearm(token);
    }

    /// A region's connection is over.
    pub(super) fn lose_region(&mut self, ctx: &mut Ctx, token: Token) {
        if let Some(link) = self.regions.get(token) {
            // What is still to be said, such as why, is said.
            let out = link.conn.take_out(ctx.now);
            ctx.net.send(token, &out);
        }
        let (happened, relays) = self.regions.lose(ctx, token, &self.items);
        for relay in relays {
            self.relay_lost(ctx, relay, token, None);
        }
        self.happened(ctx, happened);
    }

    fn region_event(&mut self, ctx: &mut Ctx, token: Token, event: Event<'_>) {
        let kind = |this: &mut Self, link: LinkId| this.regions.get(token)?.uses.get(&link).copied();
        match event {
            Event::Attached { link, attach } => {
                if let Some(Use::Relay(relay)) = kind(self, link) {
                    // Without a source it is refused: its detach follows.
                    if attach.source.is_some() {
                        self.relay_up(ctx, relay, token, link, &attach);
                    }
                }
            }
            Event::Asks { link, role, attach } => self.region_asks(ctx, token, link, role, &attach),
            Event::Settled { link, key, state, .. } => {
                if let Some(Use::Lane(class)) = kind(self, link) {
                    self.region_settled(ctx, class, RequestId(key), state);
                }
            }
            Event::Transfer { link, part } => {
                if let Some(Use::Relay(relay)) = kind(self, link) {
                    let sides = sides(&mut self.terminals, &mut self.regions);
                    self.relays.part(ctx, relay, token, link, part, sides);
                }
            }
            Event::Forgotten { link, key } => {
                if let Some(Use::Relay(relay)) = kind(self, link) {
                    self.relays.forgotten(relay, token, link, key, &mut self.terminals);
                }
            }
            Event::Dropped { link, role: Role::Sender, key } => {
                if let Some(Use::Lane(_)) = kind(self, link) {
                    self.task_dropped(ctx, token, RequestId(key));
                }
            }
            Event::Detached { link, error, .. } => {
                let gone = self.regions.get(token).and_then(|at| at.uses.remove(&link));
                match gone {
                    Some(Use::Lane(class)) => {
                        let happened = self.regions.lane_gone(token, link, class);
                        self.happened(ctx, happened);
                    }
                    Some(Use::Relay(relay)) => {
                        self.relay_lost(ctx, relay, token, Some((link, error.map(|e| *e))))
                    }
                    None => {}
                }
            }
            _ => {}
        }
    }

    /// The link that a routed task was on is gone: it may have run where its last byte was written.
    fn task_dropped(&mut self, ctx: &mut Ctx, token: Token, txn: RequestId) {
        let task = self.items.get(txn).and_then(|item| item.task.as_ref());
        let outcome = match task.map(|task| &task.stage) {
            Some(Stage::Sent { end, .. }) if *end <= ctx.net.written(token) => Outcome::Reset,
            _ => Outcome::ConnectFailed,
        };
        self.over(ctx, txn, outcome);
    }

    /// The region says how a delivery ended.
    fn region_settled(&mut self, ctx: &mut Ctx, class: usize, txn: RequestId, state: Option<State>) {
        let outcome = match state {
            Some(State::Accepted) => Outcome::Ok,
            // It was not processed, and nothing has changed: it never ran.
            Some(State::Released | State::Modified { failed: false, .. }) => Outcome::Full,
            // Anything else that settles it says that it may have run, or nothing.
            _ => Outcome::Error,
        };
        let task = self.items.get(txn).and_then(|item| item.task.as_ref());
        if let Some(Task { region, stage: Stage::Sending { .. }, .. }) = task {
            let region = *region;
            self.regions.free_lane(region, class, txn);
        }
        self.over(ctx, txn, outcome);
    }

    // ---- Relays --------------------------------------------------------------------------------------

    /// The region sends: the transaction stands, and the terminal has its answer.
    fn relay_up(&mut self, ctx: &mut Ctx, id: u64, token: Token, link: LinkId, attach: &Attach) {
        if !self.relays.add_inflow(id, token, link) {
            return;
        }
        let Some(relay) = self.relays.get(id) else { return };
        let Some(txn) = relay.txn.filter(|_| !relay.up) else { return };
        relay.up = true;
        let (terminal, at) = (relay.terminal, relay.link);
        let answer = Attach {
            snd_settle_mode: attach.snd_settle_mode,
            source: attach.source.clone(),
            target: relay.attach.target.clone(),
            properties: attach.properties.clone(),
            offered_capabilities: attach.offered_capabilities.clone(),
            ..Attach::default()
        };
        ctx.core.up(ctx.now, txn);
        if let Some(terminal) = self.terminals.get(terminal) {
            terminal.conn.accept_link(at, answer);
        }
        self.terminals.touch(terminal);
        self.relays.forward(ctx, id, sides(&mut self.terminals, &mut self.regions));
    }

    /// A relay's link to its region is gone.
    fn relay_lost(
        &mut self,
        ctx: &mut Ctx,
        id: u64,
        token: Token,
        by_detach: Option<(LinkId, Option<Error>)>,
    ) {
        let lost = by_detach.is_none();
        let error = match &by_detach {
            Some((link, error)) => {
                self.relays.lose_inflow(id, token, *link, &mut self.terminals);
                error.clone()
            }
            None => None,
        };
        let Some(relay) = self.relays.get(id) else { return };
        let Some(txn) = relay.txn else {
            // A node for replies stays: other regions may send to it.
            return;
        };
        let condition = error.as_ref().map(|e| e.condition.as_str());
        if !relay.up {
            let outcome = match condition {
                _ if lost => Outcome::Reset,
                None => Outcome::Full,
                Some(
                    condition::RESOURCE_LIMIT_EXCEEDED
                    | condition::DETACH_FORCED
                    | condition::LINK_REDIRECT
                    | condition::CONNECTION_FORCED,
                ) => Outcome::Full,
                Some(_) => Outcome::Error,
            };
            return self.relay_failed(ctx, id, outcome);
        }
        let outcome = match condition {
            _ if lost => Outcome::Reset,
            None => Outcome::Ok,
            Some(condition::DETACH_FORCED | condition::LINK_REDIRECT) => Outcome::Cancelled,
            Some(_) => Outcome::Reset,
        };
        let error = match (lost, error) {
            (true, _) => Some(come_again(condition::DETACH_FORCED, "its region is lost: come again", 0)),
            (false, error) => error,
        };
        ctx.core.task_ended(ctx.now, txn, outcome);
        if let Some(gone) = self.relays.remove(id, &mut self.regions) {
            self.end_terminal_link(gone.terminal, gone.link, error);
        }
    }

    /// A region attaches a link by itself: to send to a node for replies, and to nothing else.
    fn region_asks(&mut self, ctx: &mut Ctx, token: Token, link: LinkId, role: Role, attach: &Attach) {
        let address = match &attach.target {
            Some(Terminus::Target(target)) => target.address.as_deref(),
            _ => None,
        };
        let relay = address.filter(|_| role == Role::Receiver).and_then(|a| self.relays.reply(a));
        let Some(at) = self.regions.get(token) else { return };
        let Some(relay) = relay.filter(|relay| self.relays.add_inflow(*relay, token, link)) else {
            let why = Error::new(condition::NOT_FOUND, "no node for replies has this address");
            return at.conn.refuse_link(link, why);
        };
        at.uses.insert(link, Use::Relay(relay));
        let (source, target) = (attach.source.clone(), attach.target.clone());
        let snd_settle_mode = attach.snd_settle_mode;
        at.conn.accept_link(link, Attach { source, target, snd_settle_mode, ..Attach::default() });
        self.relays.forward(ctx, relay, sides(&mut self.terminals, &mut self.regions));
    }

    pub(super) fn look_at_regions(&mut self, ctx: &mut Ctx) {
        for token in self.regions.tokens() {
            let Some(link) = self.regions.get(token) else { continue };
            if link.conn.tick(ctx.now).is_err() {
                self.lose_region(ctx, token);
                continue;
            }
            if link.conn.pending() > 0 {
                self.regions.touch_link(token);
            }
            if self.regions.is_done(ctx, token) {
                if let Some(link) = self.regions.get(token) {
                    link.conn.close(None);
                }
                self.lose_region(ctx, token);
            }
        }
    }
}
