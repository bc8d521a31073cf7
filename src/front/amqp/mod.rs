//! AMQP 1.0. A client's delivery is a request whose answer is its outcome; a client's receiving
//! link is a request that stands once its server sends. The protocol is `sparbank-amqp`'s.
//!
//! `clients`, `servers`, `items` and `forwarders` each own one table; here is what passes between them.

mod access;
mod clients;
mod config;
mod forwarders;
mod from_clients;
mod from_servers;
mod items;
mod recovery;
mod servers;

pub use access::{add_user, Rights};

use super::{Front, FrontContext, FrontError, FrontSetup, OpenedFront, OptionalFront};
use crate::net::{SocketEvent, SocketOwner, Token};
use crate::requests::FrontId;
use crate::vocabulary::{Arrival, Nanos, Outcome, RequestId, ServerId};
use clients::Clients;
use config::AmqpConfig;
use forwarders::{Forwarders, Sides};
use items::{Items, Stage, Task};
use recovery::Recovery;
use servers::{Happened, Servers};
use sparbank_amqp::{condition, Error, State, Value};
use std::any::Any;

/// How this front is turned on.
pub const OPTIONAL_FRONT: OptionalFront = OptionalFront {
    name: "amqp",
    read: |path| {
        let config = AmqpConfig::read(path).map_err(|error| FrontError::Config(error.into()))?;
        Ok(Box::new(config))
    },
    open: |id, config, setup| {
        let config = config.downcast::<AmqpConfig>().map_err(|_| FrontError::WrongConfigType)?;
        AmqpFront::open(id, *config, setup)
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
    clients: Clients,
    servers: Servers,
    items: Items,
    forwarders: Forwarders,
    recovery: Recovery,
    checks: access::Checks,
    tls_listener: Option<Token>,
    aborted: u64,
    refused_logins: u64,
    fate_unknown: u64,
    leaving: bool,
}

impl AmqpFront {
    fn open(id: FrontId, config: AmqpConfig, setup: FrontSetup) -> Result<OpenedFront, FrontError> {
        let FrontSetup { net, node_name: name, site } = setup;
        let at = net
            .listen(config.listen, SocketOwner::Front(id))
            .map_err(|error| FrontError::Listen { socket: "amqp listen", error })?;
        let mut line = format!("listen={at}");
        let mut tls_listener = None;
        if let Some(tls) = &config.tls {
            let bound = net.listen_with_token(tls.listen, SocketOwner::Front(id));
            let listener = bound.map_err(|error| FrontError::Listen { socket: "amqp tls listen", error })?;
            line = format!("tls={} {line}", listener.addr);
            tls_listener = Some(listener.token);
        }
        let classes: Vec<String> = site.classes.iter().map(|c| c.name.clone()).collect();
        let front = AmqpFront {
            id,
            container: name.to_string(),
            servers: Servers::new(id, name, classes.clone()),
            classes,
            config,
            clients: Clients::default(),
            items: Items::default(),
            forwarders: Forwarders::default(),
            recovery: Recovery::default(),
            checks: access::Checks::default(),
            tls_listener,
            aborted: 0,
            refused_logins: 0,
            fate_unknown: 0,
            leaving: false,
        };
        Ok(OpenedFront { front: Box::new(front), listen_line: line })
    }

    // ---- What happened at the servers ------------------------------------------------------------

    fn happened(&mut self, ctx: &mut FrontContext, happened: Vec<Happened>) {
        for what in happened {
            match what {
                Happened::Over(request_id, outcome) => self.over(ctx, request_id, outcome),
                Happened::NoForwarder(forwarder) => {
                    self.forwarder_failed(ctx, forwarder, Outcome::ConnectFailed)
                }
            }
        }
    }

    /// The attempt of a delivery is over.
    fn over(&mut self, ctx: &mut FrontContext, request_id: RequestId, outcome: Outcome) {
        let Some(item) = self.items.get_mut(request_id) else { return };
        item.task = None;
        let again = item.is_repeatable();
        if outcome != Outcome::Ok
            && !again
            && ctx.requests.on_unrepeatable_attempt_ended(ctx.now, request_id, outcome)
        {
            return self.answer(ctx, request_id, failed());
        }
        if ctx.requests.on_attempt_ended(ctx.now, request_id, outcome) {
            self.answer(ctx, request_id, State::Accepted);
        }
    }

    /// The attempt of a forwarder is over before it stood: another may be tried.
    fn forwarder_failed(&mut self, ctx: &mut FrontContext, forwarder: u64, outcome: Outcome) {
        self.forwarders.take_back(forwarder, &mut self.servers);
        if let Some(request_id) = self.forwarders.get(forwarder).filter(|r| !r.up).and_then(|r| r.request_id)
        {
            ctx.requests.on_attempt_ended(ctx.now, request_id, outcome);
        }
    }

    // ---- Answers -------------------------------------------------------------------------------------

    /// The final answer to a delivery.
    fn answer(&mut self, _ctx: &mut FrontContext, request_id: RequestId, state: State) {
        let Some(item) = self.items.remove(request_id) else { return };
        self.recovery.ended(self.config.recovery(), request_id, &state);
        if let Some(client) = self.clients.get(item.client).filter(|_| item.attached) {
            client.live -= 1;
            client.conn.settle(item.link.channel, item.delivery, state);
            self.clients.touch(item.client);
            self.grant(item.client, item.link);
        }
    }

    fn grant(&mut self, token: Token, link: sparbank_amqp::LinkId) {
        if !self.leaving {
            self.clients.grant(token, link, &self.config, self.items.held());
        }
    }

    /// The client gave a request up, or is gone.
    fn left(&mut self, ctx: &mut FrontContext, request_id: RequestId) {
        self.cancel_attempt(ctx, request_id);
        ctx.requests.on_client_disconnected(ctx.now, request_id);
        self.recovery.left(request_id);
        if let Some(item) = self.items.remove(request_id) {
            if let Some(client) = self.clients.get(item.client).filter(|_| item.attached) {
                client.live -= 1;
            }
        }
    }

    /// The link of a request is gone and may come again: it goes on, and its answer is remembered.
    fn suspend(&mut self, key: &recovery::Key, request_id: RequestId) {
        let Some(item) = self.items.get_mut(request_id).filter(|item| item.attached) else { return };
        item.attached = false;
        let (client, tag) = (item.client, item.tag);
        if let Some(client) = self.clients.get(client) {
            client.live -= 1;
        }
        self.recovery.runs(key, tag, request_id);
    }

    /// A standing connection ends at its client: detached between two deliveries, with the reason.
    fn end_client_link(&mut self, token: Token, link: sparbank_amqp::LinkId, error: Option<Error>) {
        self.clients.remove_link(token, link);
        if let Some(client) = self.clients.get(token) {
            if client.conn.is_sending(link) {
                self.aborted += 1;
                client.conn.abort(link);
            }
            client.conn.detach(link, true, error.map(Box::new));
        }
        self.clients.touch(token);
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
    fn on_socket_event(&mut self, ctx: &mut FrontContext, notice: SocketEvent) {
        match self.servers.of(notice.token) {
            Some(_) => self.server_notice(ctx, notice),
            None => self.client_notice(ctx, notice),
        }
    }

    fn start_attempt(
        &mut self,
        ctx: &mut FrontContext,
        request_id: RequestId,
        server: ServerId,
        wait: Nanos,
    ) {
        if let Some(id) = self.forwarders.of(request_id) {
            if let Some(forwarder) = self.forwarders.get(id) {
                forwarder.server = Some(server);
                let attach = from_clients::towards_server(&forwarder.attach);
                self.servers.forwarder(server, id, Box::new(attach));
            }
            return;
        }
        if let Some(item) = self.items.get_mut(request_id) {
            item.task = Some(Task { server, until: ctx.now + wait, stage: Stage::Queued });
            self.servers.queue(server, item.class, item.client, request_id);
        }
    }

    fn cancel_attempt(&mut self, ctx: &mut FrontContext, request_id: RequestId) -> Outcome {
        if let Some(forwarder) = self.forwarders.of(request_id) {
            let unsent = self.forwarders.take_back(forwarder, &mut self.servers);
            return if unsent { Outcome::ConnectFailed } else { Outcome::Timeout };
        }
        let Some(item) = self.items.get_mut(request_id) else { return Outcome::Cancelled };
        let Some(task) = item.task.take() else { return Outcome::Cancelled };
        let (server, class) = (task.server, item.class);
        let outcome = match task.stage {
            Stage::Queued => {
                self.servers.unqueue(server, class, item.client, request_id);
                Outcome::ConnectFailed
            }
            Stage::Sending { token, link, .. } => {
                self.aborted += 1;
                if let Some(at) = self.servers.get(token) {
                    at.conn.abort(link);
                }
                self.servers.free_lane(server, class, request_id);
                Outcome::ConnectFailed
            }
            Stage::Sent { token, link, id, end } => {
                let written = ctx.net.bytes_written(token) >= end;
                if let Some(at) = self.servers.get(token) {
                    at.conn.forget(link, id);
                }
                self.servers.touch(server);
                if written {
                    Outcome::Timeout
                } else {
                    Outcome::Reset
                }
            }
        };
        outcome
    }

    fn reject(&mut self, ctx: &mut FrontContext, request_id: RequestId, cool_down: Nanos) {
        let after = (cool_down / 1_000_000) as u32;
        let words = "no region takes it now; come again";
        self.refuse_forwarder(request_id, come_again(condition::RESOURCE_LIMIT_EXCEEDED, words, after));
        self.answer(ctx, request_id, refused(after));
    }

    fn fail(&mut self, ctx: &mut FrontContext, request_id: RequestId) {
        self.refuse_forwarder(request_id, Error::new(condition::INTERNAL_ERROR, "no region could serve it"));
        self.answer(ctx, request_id, failed());
    }

    fn migrate(&mut self, _ctx: &mut FrontContext, request_id: RequestId) {
        let Some(forwarder) = self.forwarders.of(request_id) else { return };
        if let Some(gone) = self.forwarders.remove(forwarder, &mut self.servers) {
            let error = come_again(condition::DETACH_FORCED, "moved: come again", 0);
            self.end_client_link(gone.client, gone.link, Some(error));
        }
    }

    fn on_servers_draining(&mut self, ctx: &mut FrontContext, stopped: &[ServerId]) {
        for request_id in self.items.unsent(stopped) {
            self.cancel_attempt(ctx, request_id);
            self.over(ctx, request_id, Outcome::ConnectFailed);
        }
        for (_, forwarder) in self.forwarders.unsent(stopped) {
            self.forwarder_failed(ctx, forwarder, Outcome::ConnectFailed);
        }
    }

    fn is_idle(&self) -> bool {
        self.clients.is_empty()
    }

    fn on_connect_timeout(&mut self, ctx: &mut FrontContext, token: Token) {
        if self.servers.is_late(token) {
            self.lose_server(ctx, token);
        }
    }

    fn on_timer(&mut self, ctx: &mut FrontContext, token: Token) {
        self.check_passwords(ctx);
        self.refuse_due(ctx, token);
    }

    fn on_tick(&mut self, ctx: &mut FrontContext) {
        self.look_at_clients(ctx);
        self.look_at_servers(ctx);
        for request_id in self.recovery.expire(ctx.now) {
            self.left(ctx, request_id);
        }
        if self.items.held() < self.config.max_held / 2 {
            self.grant_all();
        }
    }

    fn flush(&mut self, ctx: &mut FrontContext) {
        // What one side writes may make room for the other: both are gone through until neither has more.
        while self.servers.is_dirty() || self.clients.is_dirty() {
            let happened = self.servers.flush(ctx, &self.config, &mut self.items);
            self.happened(ctx, happened);
            if self.items.held() < self.config.max_held / 4 * 3 {
                for token in self.clients.take_paused() {
                    self.read_client(ctx, token);
                }
            }
            for token in self.clients.take_dirty() {
                if !self.clients.flush(ctx, token) {
                    self.client_gone(ctx, token);
                } else if self.clients.takes_more(ctx, token) {
                    self.forward_all(ctx, token);
                }
            }
        }
    }

    fn on_drain_step(&mut self, ctx: &mut FrontContext) {
        if !std::mem::replace(&mut self.leaving, true) {
            for token in self.clients.tokens() {
                self.clients.stop_credit(token);
            }
        }
        self.look_at_clients(ctx);
    }

    fn resume_serving(&mut self, _ctx: &mut FrontContext) {
        if std::mem::take(&mut self.leaving) {
            self.grant_all();
        }
    }

    fn reload(&mut self, new: Box<dyn Any>) -> Vec<&'static str> {
        let Ok(new) = new.downcast::<AmqpConfig>() else { return Vec::new() };
        let mut fixed = if new.listen == self.config.listen { Vec::new() } else { vec!["amqp listen"] };
        let at = |config: &AmqpConfig| config.tls.as_ref().map(|tls| tls.listen);
        if at(&new) != at(&self.config) {
            fixed.push("amqp tls.listen");
        }
        self.config = AmqpConfig { listen: self.config.listen, ..*new };
        fixed
    }

    fn counter_line(&self) -> Option<String> {
        Some(format!(
            "clients={} servers={} forwarders={} forwarded={} held={} held_most={} aborted={} \
             logins_refused={} remembered={} resumed={} fate_unknown={}",
            self.clients.len(),
            self.servers.len(),
            self.forwarders.len(),
            self.forwarders.relayed,
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

/// What is passed between the sides of a forwarder.
fn sides<'a>(clients: &'a mut Clients, servers: &'a mut Servers) -> Sides<'a> {
    Sides { clients, servers }
}
