//! What servers say.

use super::servers::Use;
use super::*;
use crate::front::FrontContext;
use crate::net::{SocketEvent, SocketEventKind, Token};
use sparbank_amqp::{Attach, Event, LinkId, Role, Terminus};

impl AmqpFront {
    pub(super) fn server_notice(&mut self, ctx: &mut FrontContext, notice: SocketEvent) {
        let token = notice.token;
        let mut bytes = ctx.net.input_buffer(token).map(std::mem::take).unwrap_or_default();
        let mut left = &bytes[..];
        let mut fault = None;
        while let Some(link) = self.servers.get(token) {
            match link.conn.next(ctx.now, &mut left) {
                Ok(Some(event)) => self.server_event(ctx, token, event),
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
            if let Some(input) = ctx.net.input_buffer(token) {
                *input = bytes;
            }
        }
        let Some(link) = self.servers.get(token) else { return };
        if let Some(why) = fault.filter(|_| !link.conn.peer_has_no_sasl()) {
            crate::log::line(format_args!("server-protocol-error reason={} {}", why.condition, why.words));
            link.conn.close(Some(Box::new(why.into())));
        }
        let over = link.conn.is_closed()
            || ctx.net.is_read_closed(token)
            || matches!(notice.kind, SocketEventKind::Failed { .. });
        if over {
            return self.lose_server(ctx, token);
        }
        self.servers.touch_link(token);
        ctx.net.update_interest(token);
    }

    /// A server's connection is over.
    pub(super) fn lose_server(&mut self, ctx: &mut FrontContext, token: Token) {
        if let Some(link) = self.servers.get(token) {
            // What is still to be said, such as why, is said.
            let out = link.conn.take_out(ctx.now);
            ctx.net.send(token, &out);
        }
        let (happened, forwarders) = self.servers.lose(ctx, token, &self.items);
        for forwarder in forwarders {
            self.forwarder_lost(ctx, forwarder, token, None);
        }
        self.happened(ctx, happened);
    }

    fn server_event(&mut self, ctx: &mut FrontContext, token: Token, event: Event<'_>) {
        let kind = |this: &mut Self, link: LinkId| this.servers.get(token)?.uses.get(&link).copied();
        match event {
            Event::Attached { link, attach } => {
                if let Some(Use::Forwarder(forwarder)) = kind(self, link) {
                    // Without a source it is refused: its detach follows.
                    if attach.source.is_some() {
                        self.forwarder_up(ctx, forwarder, token, link, &attach);
                    }
                }
            }
            Event::Asks { link, role, attach } => self.server_asks(ctx, token, link, role, &attach),
            Event::Settled { link, key, state, .. } => {
                if let Some(Use::Lane(class)) = kind(self, link) {
                    self.server_settled(ctx, class, RequestId(key), state);
                }
            }
            Event::Transfer { link, part } => {
                if let Some(Use::Forwarder(forwarder)) = kind(self, link) {
                    let sides = sides(&mut self.clients, &mut self.servers);
                    self.forwarders.part(ctx, forwarder, token, link, part, sides);
                }
            }
            Event::Forgotten { link, key } => {
                if let Some(Use::Forwarder(forwarder)) = kind(self, link) {
                    self.forwarders.forgotten(forwarder, token, link, key, &mut self.clients);
                }
            }
            Event::Dropped { link, role: Role::Sender, key } => {
                if let Some(Use::Lane(_)) = kind(self, link) {
                    self.task_dropped(ctx, token, RequestId(key));
                }
            }
            Event::Detached { link, error, .. } => {
                let gone = self.servers.get(token).and_then(|at| at.uses.remove(&link));
                match gone {
                    Some(Use::Lane(class)) => {
                        let happened = self.servers.lane_gone(token, link, class);
                        self.happened(ctx, happened);
                    }
                    Some(Use::Forwarder(forwarder)) => {
                        self.forwarder_lost(ctx, forwarder, token, Some((link, error.map(|e| *e))))
                    }
                    None => {}
                }
            }
            _ => {}
        }
    }

    /// The link that an attempt was on is gone: it may have run where its last byte was written.
    fn task_dropped(&mut self, ctx: &mut FrontContext, token: Token, request_id: RequestId) {
        let task = self.items.get(request_id).and_then(|item| item.task.as_ref());
        let outcome = match task.map(|task| &task.stage) {
            Some(Stage::Sent { end, .. }) if *end <= ctx.net.bytes_written(token) => Outcome::Reset,
            _ => Outcome::ConnectFailed,
        };
        self.over(ctx, request_id, outcome);
    }

    /// The server says how a delivery ended.
    fn server_settled(
        &mut self,
        ctx: &mut FrontContext,
        class: usize,
        request_id: RequestId,
        state: Option<State>,
    ) {
        let outcome = match state {
            Some(State::Accepted) => Outcome::Ok,
            // It was not processed, and nothing has changed: it never ran.
            Some(State::Released | State::Modified { failed: false, .. }) => Outcome::Rejected,
            // Anything else that settles it says that it may have run, or nothing.
            _ => Outcome::Error,
        };
        let task = self.items.get(request_id).and_then(|item| item.task.as_ref());
        if let Some(Task { server, stage: Stage::Sending { .. }, .. }) = task {
            let server = *server;
            self.servers.free_lane(server, class, request_id);
        }
        self.over(ctx, request_id, outcome);
    }

    // ---- Forwarders --------------------------------------------------------------------------------------

    /// The server sends: the request stands, and the client has its answer.
    fn forwarder_up(&mut self, ctx: &mut FrontContext, id: u64, token: Token, link: LinkId, attach: &Attach) {
        if !self.forwarders.add_inflow(id, token, link) {
            return;
        }
        let Some(forwarder) = self.forwarders.get(id) else { return };
        let Some(request_id) = forwarder.request_id.filter(|_| !forwarder.up) else { return };
        forwarder.up = true;
        let (client, at) = (forwarder.client, forwarder.link);
        let answer = Attach {
            snd_settle_mode: attach.snd_settle_mode,
            source: attach.source.clone(),
            target: forwarder.attach.target.clone(),
            properties: attach.properties.clone(),
            offered_capabilities: attach.offered_capabilities.clone(),
            ..Attach::default()
        };
        ctx.requests.on_established(ctx.now, request_id);
        if let Some(client) = self.clients.get(client) {
            client.conn.accept_link(at, answer);
        }
        self.clients.touch(client);
        self.forwarders.forward(ctx, id, sides(&mut self.clients, &mut self.servers));
    }

    /// A forwarder's link to its server is gone.
    fn forwarder_lost(
        &mut self,
        ctx: &mut FrontContext,
        id: u64,
        token: Token,
        by_detach: Option<(LinkId, Option<Error>)>,
    ) {
        let lost = by_detach.is_none();
        let error = match &by_detach {
            Some((link, error)) => {
                self.forwarders.lose_inflow(id, token, *link, &mut self.clients);
                error.clone()
            }
            None => None,
        };
        let Some(forwarder) = self.forwarders.get(id) else { return };
        let Some(request_id) = forwarder.request_id else {
            // A node for replies stays: other servers may send to it.
            return;
        };
        let condition = error.as_ref().map(|e| e.condition.as_str());
        if !forwarder.up {
            let outcome = match condition {
                _ if lost => Outcome::Reset,
                None => Outcome::Rejected,
                Some(
                    condition::RESOURCE_LIMIT_EXCEEDED
                    | condition::DETACH_FORCED
                    | condition::LINK_REDIRECT
                    | condition::CONNECTION_FORCED,
                ) => Outcome::Rejected,
                Some(_) => Outcome::Error,
            };
            return self.forwarder_failed(ctx, id, outcome);
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
        ctx.requests.on_attempt_ended(ctx.now, request_id, outcome);
        if let Some(gone) = self.forwarders.remove(id, &mut self.servers) {
            self.end_client_link(gone.client, gone.link, error);
        }
    }

    /// A server attaches a link by itself: to send to a node for replies, and to nothing else.
    fn server_asks(
        &mut self,
        ctx: &mut FrontContext,
        token: Token,
        link: LinkId,
        role: Role,
        attach: &Attach,
    ) {
        let address = match &attach.target {
            Some(Terminus::Target(target)) => target.address.as_deref(),
            _ => None,
        };
        let forwarder = address.filter(|_| role == Role::Receiver).and_then(|a| self.forwarders.reply(a));
        let Some(at) = self.servers.get(token) else { return };
        let Some(forwarder) =
            forwarder.filter(|forwarder| self.forwarders.add_inflow(*forwarder, token, link))
        else {
            let why = Error::new(condition::NOT_FOUND, "no node for replies has this address");
            return at.conn.refuse_link(link, why);
        };
        at.uses.insert(link, Use::Forwarder(forwarder));
        let (source, target) = (attach.source.clone(), attach.target.clone());
        let snd_settle_mode = attach.snd_settle_mode;
        at.conn.accept_link(link, Attach { source, target, snd_settle_mode, ..Attach::default() });
        self.forwarders.forward(ctx, forwarder, sides(&mut self.clients, &mut self.servers));
    }

    pub(super) fn look_at_servers(&mut self, ctx: &mut FrontContext) {
        for token in self.servers.tokens() {
            let Some(link) = self.servers.get(token) else { continue };
            if link.conn.tick(ctx.now).is_err() {
                self.lose_server(ctx, token);
                continue;
            }
            if link.conn.pending() > 0 {
                self.servers.touch_link(token);
            }
            if self.servers.is_done(ctx, token) {
                if let Some(link) = self.servers.get(token) {
                    link.conn.close(None);
                }
                self.lose_server(ctx, token);
            }
        }
    }
}
