//! AMQP 1.0. A terminal's delivery is a transaction whose answer is its outcome; a terminal's receiving
//! link is a transaction that stands once its region sends. The protocol is `sparbank-amqp`'s.
//!
//! `terminals`, `regions`, `items` and `relays` each own one table; here is what passes between them.

mod access;
mod config;
mod from_regions;
mod from_terminals;
mod items;
mod recovery;
mod regions;
mod relays;
mod terminals;

pub use access::{add_user, Rights};

use super::{Ctx, Front, Opened, Optional};
use crate::config::Facts;
use crate::core::FrontId;
use crate::interface::{Arrival, Nanos, Outcome, RequestId, ServerId};
use crate::net::{Net, Notice, Owner, Token};
use config::AmqpConfig;
use items::{Items, Stage, Task};
use recovery::Recovery;
use regions::{Happened, Regions};
use relays::{Relays, Sides};
use sparbank_amqp::{condition, Error, State, Value};
use std::any::Any;
use terminals::Terminals;

/// How this front is turned on.
pub const OPTIONAL: Optional = Optional {
    name: "amqp",
    read: |path| Ok(Box::new(AmqpConfig::read(path)?)),
    open: |id, file, net, name, facts| {
        let config = file.downcast::<AmqpConfig>().map_err(|_| "not this front's file".to_string())?;
        AmqpFront::open(id, *config, net, name, facts)
    },
};

/// Advice to those that come while there is no room, in milliseconds.
const COME_AGAIN: u32 = 500;

/// The front.
pub struct AmqpFront {
    id: FrontId,
    config: AmqpConfig,
    container: String,
    classes: Vec<String>,
    terminals: Terminals,
    regions: Regions,
    items: Items,
    relays: Relays,
    recovery: Recovery,
    checks: access::Checks,
    tls_listener: Option<Token>,
    aborted: u64,
    refused_logins: u64,
    fate_unknown: u64,
    leaving: bool,
}

impl AmqpFront {
    fn open(
        id: FrontId,
        config: AmqpConfig,
        net: &mut Net,
        name: &str,
        facts: &Facts,
    ) -> Result<Opened, String> {
        let at = net.listen(config.listen, Owner::Front(id)).map_err(|e| format!("amqp listen: {e}"))?;
        let mut line = format!("listen={at}");
        let mut tls_listener = None;
        if let Some(tls) = &config.tls {
            let bound = net.listen_at(tls.listen, Owner::Front(id));
            let (token, at) = bound.map_err(|e| format!("amqp tls listen: {e}"))?;
            line = format!("tls={at} {line}");
            tls_listener = Some(token);
        }
        let classes: Vec<String> = facts.classes.iter().map(|c| c.name.clone()).collect();
        let front = AmqpFront {
            id,
            container: name.to_string(),
            regions: Regions::new(id, name, classes.clone()),
            classes,
            config,
            terminals: Terminals::default(),
            items: Items::default(),
            relays: Relays::default(),
            recovery: Recovery::default(),
            checks: access::Checks::default(),
            tls_listener,
            aborted: 0,
            refused_logins: 0,
            fate_unknown: 0,
            leaving: false,
        };
        Ok((Box::new(front), line))
    }

    // ---- What happened at the regions ------------------------------------------------------------

    fn happened(&mut self, ctx: &mut Ctx, happened: Vec<Happened>) {
        for what in happened {
            match what {
                Happened::Over(txn, outcome) => self.over(ctx, txn, outcome),
                Happened::NoRelay(relay) => self.relay_failed(ctx, relay, Outcome::ConnectFailed),
            }
        }
    }

    /// The routed task of a delivery is over.
    fn over(&mut self, ctx: &mut Ctx, txn: RequestId, outcome: Outcome) {
        let Some(item) = self.items.get_mut(txn) else { return };
        item.task = None;
        let again = item.is_repeatable();
        if outcome != Outcome::Ok && !again && ctx.core.spent(ctx.now, txn, outcome) {
            return self.answer(ctx, txn, failed());
        }
        if ctx.core.task_ended(ctx.now, txn, outcome) {
            self.answer(ctx, txn, State::Accepted);
        }
    }

    /// The routed task of a relay is over before it stood: another may be tried.
    fn relay_failed(&mut self, ctx: &mut Ctx, relay: u64, outcome: Outcome) {
        self.relays.take_back(relay, &mut self.regions);
        if let Some(txn) = self.relays.get(relay).filter(|r| !r.up).and_then(|r| r.txn) {
            ctx.core.task_ended(ctx.now, txn, outcome);
        }
    }

    // ---- Answers -------------------------------------------------------------------------------------

    /// The final answer to a delivery.
    fn answer(&mut self, _ctx: &mut Ctx, txn: RequestId, state: State) {
        let Some(item) = self.items.remove(txn) else { return };
        self.recovery.ended(self.config.recovery(), txn, &state);
        if let Some(terminal) = self.terminals.get(item.terminal).filter(|_| item.attached) {
            terminal.live -= 1;
            terminal.conn.settle(item.link.channel, item.delivery, state);
            self.terminals.touch(item.terminal);
            self.grant(item.terminal, item.link);
        }
    }

    fn grant(&mut self, token: Token, link: sparbank_amqp::LinkId) {
        if !self.leaving {
            self.terminals.grant(token, link, &self.config, self.items.held());
        }
    }

    /// The terminal gave a transaction up, or is gone.
    fn left(&mut self, ctx: &mut Ctx, txn: RequestId) {
        self.give_up(ctx, txn);
        ctx.core.left(ctx.now, txn);
        self.recovery.left(txn);
        if let Some(item) = self.items.remove(txn) {
            if let Some(terminal) = self.terminals.get(item.terminal).filter(|_| item.attached) {
                terminal.live -= 1;
            }
        }
    }

    /// The link of a transaction is gone and may come again: it goes on, and its answer is remembered.
    fn suspend(&mut self, key: &recovery::Key, txn: RequestId) {
        let Some(item) = self.items.get_mut(txn).filter(|item| item.attached) else { return };
        item.attached = false;
        let (terminal, tag) = (item.terminal, item.tag);
        if let Some(terminal) = self.terminals.get(terminal) {
            terminal.live -= 1;
        }
        self.recovery.runs(key, tag, txn);
    }

    /// A standing connection ends at its terminal: detached between two deliveries, with the reason.
    fn end_terminal_link(&mut self, token: Token, link: sparbank_amqp::LinkId, error: Option<Error>) {
        self.terminals.remove_link(token, link);
        if let Some(terminal) = self.terminals.get(token) {
            if terminal.conn.is_sending(link) {
                self.aborted += 1;
                terminal.conn.abort(link);
            }
            terminal.conn.detach(link, true, error.map(Box::new));
        }
        self.terminals.touch(token);
    }
}

/// Refused: it did not run, and trying again after this is harmless.
fn refused(after_ms: u32) -> State {
    let after = vec![(Value::symbol("retry-after"), Value::Uint(after_ms))];
    let annotations = Some(Box::new(Value::Map(after)));
    State::Modified { failed: false, undeliverable_here: false, annotations }
}

/// Failed: it may have run.
fn failed() -> State {
    State::Modified { failed: true, undeliverable_here: false, annotations: None }
}

/// Nothing is known any more of a delivery that the peer asks about: it may have run.
fn unknown() -> State {
    let told = vec![(Value::symbol("fate"), Value::symbol("unknown"))];
    let annotations = Some(Box::new(Value::Map(told)));
    State::Modified { failed: true, undeliverable_here: false, annotations }
}

/// An error that says when to come again.
fn come_again(condition: &str, words: &str, after_ms: u32) -> Error {
    let info = Value::Map(vec![(Value::symbol("retry-after"), Value::Uint(after_ms))]);
    Error { info: Some(info), ..Error::new(condition, words) }
}

impl Front for AmqpFront {
    fn notice(&mut self, ctx: &mut Ctx, notice: Notice) {
        match self.regions.of(notice.token) {
            Some(_) => self.region_notice(ctx, notice),
            None => self.terminal_notice(ctx, notice),
        }
    }

    fn start(&mut self, ctx: &mut Ctx, txn: RequestId, region: ServerId, wait: Nanos) {
        if let Some(id) = self.relays.of(txn) {
            if let Some(relay) = self.relays.get(id) {
                relay.region = Some(region);
                let attach = from_terminals::towards_region(&relay.attach);
                self.regions.relay(region, id, Box::new(attach));
            }
            return;
        }
        if let Some(item) = self.items.get_mut(txn) {
            item.task = Some(Task { region, until: ctx.now + wait, stage: Stage::Queued });
            self.regions.queue(region, item.class, item.terminal, txn);
        }
    }

    fn give_up(&mut self, ctx: &mut Ctx, txn: RequestId) -> Outcome {
        if let Some(relay) = self.relays.of(txn) {
            let unsent = self.relays.take_back(relay, &mut self.regions);
            return if unsent { Outcome::ConnectFailed } else { Outcome::Timeout };
        }
        let Some(item) = self.items.get_mut(txn) else { return Outcome::Cancelled };
        let Some(task) = item.task.take() else { return Outcome::Cancelled };
        let (region, class) = (task.region, item.class);
        let outcome = match task.stage {
            Stage::Queued => {
                self.regions.unqueue(region, class, item.terminal, txn);
                Outcome::ConnectFailed
            }
            Stage::Sending { token, link, .. } => {
                self.aborted += 1;
                if let Some(at) = self.regions.get(token) {
                    at.conn.abort(link);
                }
                self.regions.free_lane(region, class, txn);
                Outcome::ConnectFailed
            }
            Stage::Sent { token, link, id, end } => {
                let written = ctx.net.written(token) >= end;
                if let Some(at) = self.regions.get(token) {
                    at.conn.forget(link, id);
                }
                self.regions.touch(region);
                if written {
                    Outcome::Timeout
                } else {
                    Outcome::Reset
                }
            }
        };
        outcome
    }

    fn refuse(&mut self, ctx: &mut Ctx, txn: RequestId, cool_down: Nanos) {
        let after = (cool_down / 1_000_000) as u32;
        let words = "no region takes it now; come again";
        self.refuse_relay(txn, come_again(condition::RESOURCE_LIMIT_EXCEEDED, words, after));
        self.answer(ctx, txn, refused(after));
    }

    fn fail(&mut self, ctx: &mut Ctx, txn: RequestId) {
        self.refuse_relay(txn, Error::new(condition::INTERNAL_ERROR, "no region could serve it"));
        self.answer(ctx, txn, failed());
    }

    fn send_away(&mut self, _ctx: &mut Ctx, txn: RequestId) {
        let Some(relay) = self.relays.of(txn) else { return };
        if let Some(gone) = self.relays.remove(relay, &mut self.regions) {
            let error = come_again(condition::DETACH_FORCED, "moved: come again", 0);
            self.end_terminal_link(gone.terminal, gone.link, Some(error));
        }
    }

    fn drained(&mut self, ctx: &mut Ctx, stopped: &[ServerId]) {
        for txn in self.items.unsent(stopped) {
            self.give_up(ctx, txn);
            self.over(ctx, txn, Outcome::ConnectFailed);
        }
        for (_, relay) in self.relays.unsent(stopped) {
            self.relay_failed(ctx, relay, Outcome::ConnectFailed);
        }
    }

    fn is_idle(&self) -> bool {
        self.terminals.is_empty()
    }

    fn dial_due(&mut self, ctx: &mut Ctx, token: Token) {
        if self.regions.is_late(token) {
            self.lose_region(ctx, token);
        }
    }

    fn timer_due(&mut self, ctx: &mut Ctx, token: Token) {
        self.check_passwords(ctx);
        self.refuse_due(ctx, token);
    }

    fn look(&mut self, ctx: &mut Ctx) {
        self.look_at_terminals(ctx);
        self.look_at_regions(ctx);
        for txn in self.recovery.expire(ctx.now) {
            self.left(ctx, txn);
        }
        if self.items.held() < self.config.max_held / 2 {
            self.grant_all();
        }
    }

    fn flush(&mut self, ctx: &mut Ctx) {
        // What one side writes may make room for the other: both are gone through until neither has more.
        while self.regions.is_dirty() || self.terminals.is_dirty() {
            let happened = self.regions.flush(ctx, &self.config, &mut self.items);
            self.happened(ctx, happened);
            if self.items.held() < self.config.max_held / 4 * 3 {
                for token in self.terminals.take_paused() {
                    self.read_terminal(ctx, token);
                }
            }
            for token in self.terminals.take_dirty() {
                if !self.terminals.flush(ctx, token) {
                    self.terminal_gone(ctx, token);
                } else if self.terminals.takes_more(ctx, token) {
                    self.forward_all(ctx, token);
                }
            }
        }
    }

    fn leave(&mut self, ctx: &mut Ctx) {
        if !std::mem::replace(&mut self.leaving, true) {
            for token in self.terminals.tokens() {
                self.terminals.stop_credit(token);
            }
        }
        self.look_at_terminals(ctx);
    }

    fn stay(&mut self, _ctx: &mut Ctx) {
        if std::mem::take(&mut self.leaving) {
            self.grant_all();
        }
    }

    fn take_over(&mut self, new: Box<dyn Any>) -> Vec<&'static str> {
        let Ok(new) = new.downcast::<AmqpConfig>() else { return Vec::new() };
        let mut fixed = if new.listen == self.config.listen { Vec::new() } else { vec!["amqp listen"] };
        let at = |config: &AmqpConfig| config.tls.as_ref().map(|tls| tls.listen);
        if at(&new) != at(&self.config) {
            fixed.push("amqp tls.listen");
        }
        self.config = AmqpConfig { listen: self.config.listen, ..*new };
        fixed
    }

    fn counters(&self) -> Option<String> {
        Some(format!(
            "terminals={} regions={} relays={} relayed={} held={} held_most={} aborted={} \
             logins_refused={} remembered={} resumed={} fate_unknown={}",
            self.terminals.len(),
            self.regions.len(),
            self.relays.len(),
            self.relays.relayed,
            self.items.held(),
            self.items.most_held,
            self.aborted,
            self.refused_logins,
            self.recovery.len(),
            self.recovery.resumed,
            self.fate_unknown,
        ))
    }
}

/// What is passed between the sides of a relay.
fn sides<'a>(terminals: &'a mut Terminals, regions: &'a mut Regions) -> Sides<'a> {
    Sides { terminals, regions }
}
