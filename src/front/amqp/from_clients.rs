//! What clients say.

use super::clients::{Client, Intake, Partial, Use};
use super::items::Item;
use super::recovery::{Fate, Key};
use super::*;
use crate::front::tls::TlsConnection;
use crate::front::{FrontContext, TimerEvent, ANSWER_MARGIN};
use crate::hash::fnv1a;
use crate::net::{SocketEvent, SocketEventKind, Token, OUTPUT_HIGH_WATERMARK_BYTES};
use sparbank_amqp::{
    condition, Asked, Attach, Connection, DecodeError, Error, Event, Head, LinkId, Message, Part, Role,
    Source, State, Target, Terminus, Value,
};
use std::rc::Rc;

const MS: Nanos = 1_000_000;
/// No deadline is longer than this.
const MOST_WAIT: Nanos = 3_600_000 * MS;
/// What comes of a delivery before its body must fit into this, in octets.
const MOST_HEAD: usize = 64 * 1024;
/// A wrong password is answered after this.
const WRONG_PASSWORD_COSTS: Nanos = 1_000 * MS;

/// The attach that asks a server for what a client asked for.
pub(super) fn towards_server(attach: &Attach) -> Attach {
    Attach {
        snd_settle_mode: attach.snd_settle_mode,
        rcv_settle_mode: attach.rcv_settle_mode,
        source: attach.source.clone(),
        target: Some(Terminus::Target(Target::default())),
        properties: attach.properties.clone(),
        desired_capabilities: attach.desired_capabilities.clone(),
        ..Attach::default()
    }
}

impl AmqpFront {
    pub(super) fn client_notice(&mut self, ctx: &mut FrontContext, notice: SocketEvent) {
        let token = notice.token;
        match notice.kind {
            SocketEventKind::Accepted => return self.accept(ctx, token),
            SocketEventKind::Evicted | SocketEventKind::HandshakeTimeout => {
                ctx.requests.counters.idle_closed += 1;
                ctx.net.close(token);
                return self.client_gone(ctx, token);
            }
            SocketEventKind::Failed { .. } => return self.client_gone(ctx, token),
            SocketEventKind::OutputFlushed => self.forward_all(ctx, token),
            SocketEventKind::Readable => {}
        }
        self.read_client(ctx, token);
    }

    fn accept(&mut self, ctx: &mut FrontContext, token: Token) {
        if ctx.net.is_short_of_descriptors() && !ctx.net.reclaim_descriptors() {
            ctx.requests.counters.capacity_rejected += 1;
            return ctx.net.close(token);
        }
        let under_tls = self.tls_listener.is_some() && ctx.net.accepting_listener(token) == self.tls_listener;
        let tls =
            self.config.tls_config.as_ref().filter(|_| under_tls).and_then(|c| TlsConnection::new(c).ok());
        if under_tls && tls.is_none() {
            return ctx.net.close(token);
        }
        let external = under_tls && self.config.tls.as_ref().is_some_and(|tls| tls.client_ca.is_some());
        let plain = self.config.plain_unencrypted || under_tls;
        let offered = self.config.known.as_ref().map(|users| users.mechanisms(plain, external));
        let conn = Connection::accept(ctx.now, self.config.client(&self.container), offered);
        ctx.net.set_read_limit(token, self.config.max_frame as usize + 1024);
        let ip = ctx.net.peer_addr(token).map(|peer| peer.ip());
        if !self.clients.insert(token, conn, tls, ip, self.config.peer_connections) {
            ctx.requests.counters.capacity_rejected += 1;
            ctx.net.close(token);
        }
    }

    /// Takes what has come, unless the client does not read its answers or there is no room.
    pub(super) fn read_client(&mut self, ctx: &mut FrontContext, token: Token) {
        if ctx.net.pending_output_bytes(token) >= OUTPUT_HIGH_WATERMARK_BYTES {
            return ctx.net.update_interest(token);
        }
        // What is in the clear and waits for room is bounded as what waits in the socket is.
        let most = self.config.max_frame as usize + 1024;
        let full = self.clients.get(token).is_some_and(|t| t.tls.is_some() && t.clear.len() >= most);
        let input = ctx.net.input_buffer(token).filter(|_| !full);
        let mut bytes = input.map(std::mem::take).unwrap_or_default();
        let mut fault = None;
        if let Some(Client { tls: Some(tls), clear, .. }) = self.clients.get(token) {
            let mut all = std::mem::take(clear);
            if let Err(error) = tls.decrypt(&bytes, &mut all) {
                fault = Some(sparbank_amqp::fault(condition::FRAMING_ERROR, error.to_string()));
            }
            bytes = all;
        }
        let mut left = &bytes[..];
        while let Some(client) = self.clients.get(token).filter(|_| fault.is_none()) {
            if self.items.held() >= self.config.max_held {
                self.clients.pause(token);
                break;
            }
            match client.conn.next(ctx.now, &mut left) {
                Ok(Some(event)) => self.client_event(ctx, token, event),
                Ok(None) => break,
                Err(why) => {
                    fault = Some(why);
                    break;
                }
            }
        }
        let taken = bytes.len() - left.len();
        let Some(client) = self.clients.get(token) else { return ctx.net.close(token) };
        if taken < bytes.len() {
            bytes.drain(..taken);
            if client.tls.is_some() {
                client.clear = bytes;
            } else if let Some(input) = ctx.net.input_buffer(token) {
                *input = bytes;
            }
        }
        if let Some(why) = fault {
            ctx.requests.counters.malformed += 1;
            crate::log::line(format_args!("amqp-client-error condition={} {}", why.condition, why.words));
            client.conn.close(Some(Box::new(why.into())));
        }
        let room = full && client.clear.len() < most;
        self.clients.touch(token);
        if room && ctx.net.input_buffer(token).is_some_and(|input| !input.is_empty()) {
            // No notice comes again for what is here already.
            return self.read_client(ctx, token);
        }
        if ctx.net.is_read_closed(token) {
            return self.client_gone(ctx, token);
        }
        ctx.net.update_interest(token);
    }

    fn client_event(&mut self, ctx: &mut FrontContext, token: Token, event: Event<'_>) {
        match event {
            Event::Asked(asked) => self.asked(ctx, token, asked),
            Event::Opened {} => {
                ctx.net.mark_handshake_complete(token);
                let anonymous = self.config.known.as_ref().and_then(|users| users.anonymous());
                if let (Some(client), Some(who)) = (self.clients.get(token), anonymous) {
                    if client.who.name.is_none() {
                        client.who = who;
                    }
                }
            }
            Event::Asks { link, role: Role::Receiver, attach } => self.sends(ctx, token, link, &attach),
            Event::Asks { link, role: Role::Sender, attach } => self.receives(ctx, token, link, attach),
            Event::Credit { link } => {
                if let Some(forwarder) = self.forwarder_at(token, link) {
                    self.forwarders.forward(ctx, forwarder, sides(&mut self.clients, &mut self.servers));
                }
            }
            Event::Room { channel } => {
                for forwarder in self.forwarders.on(token, channel) {
                    self.forwarders.forward(ctx, forwarder, sides(&mut self.clients, &mut self.servers));
                }
            }
            Event::Transfer { link, part } => self.part(ctx, token, link, part),
            Event::Settled { link, key, state, .. } => {
                if let Some(forwarder) = self.forwarder_at(token, link) {
                    self.forwarders.settled(forwarder, key, state, &mut self.servers);
                }
            }
            Event::Forgotten { key, .. } => self.left(ctx, RequestId(key)),
            Event::Dropped { role: Role::Receiver, key, .. } => {
                if let Some(client) = self.clients.get(token) {
                    client.dropped.push(RequestId(key));
                }
            }
            Event::Detached { link, closed, .. } => self.link_gone(ctx, token, link, closed),
            _ => {}
        }
    }

    fn forwarder_at(&mut self, token: Token, link: LinkId) -> Option<u64> {
        match self.clients.get(token)?.links.get(&link)? {
            Use::Forwarder(forwarder) => Some(*forwarder),
            Use::Intake(_) => None,
        }
    }

    /// A slow client has read what there was: what waits for it goes on.
    pub(super) fn forward_all(&mut self, ctx: &mut FrontContext, token: Token) {
        let Some(client) = self.clients.get(token) else { return };
        let forwarders =
            client.links.values().filter_map(|u| if let Use::Forwarder(r) = u { Some(*r) } else { None });
        let mut forwarders: Vec<u64> = forwarders.collect();
        forwarders.sort_unstable();
        for forwarder in forwarders {
            self.forwarders.forward(ctx, forwarder, sides(&mut self.clients, &mut self.servers));
        }
    }

    // ---- Links -----------------------------------------------------------------------------------------

    fn class(&self, address: &str) -> Option<usize> {
        self.classes.iter().position(|class| class == address.trim_start_matches('/'))
    }

    fn refuse_link(&mut self, token: Token, link: LinkId, condition: &str, words: &str) {
        if let Some(client) = self.clients.get(token) {
            client.conn.refuse_link(link, Error::new(condition, words));
        }
        self.clients.touch(token);
    }

    /// A client wants to send: to a class, or to the anonymous terminus, where `to` names it.
    fn sends(&mut self, ctx: &mut FrontContext, token: Token, link: LinkId, attach: &Attach) {
        let target = match &attach.target {
            Some(Terminus::Target(target)) => target.clone(),
            Some(Terminus::Coordinator) => {
                let words = "transactions are not offered";
                return self.refuse_link(token, link, condition::NOT_IMPLEMENTED, words);
            }
            Some(Terminus::Other(_)) => {
                let words = "a target of this kind is not known";
                return self.refuse_link(token, link, condition::NOT_IMPLEMENTED, words);
            }
            None => return self.refuse_link(token, link, condition::INVALID_FIELD, "there is no target"),
        };
        if target.dynamic == Some(true) {
            let words = "only sources can be dynamic";
            return self.refuse_link(token, link, condition::NOT_IMPLEMENTED, words);
        }
        let class = match &target.address {
            None => None,
            Some(address) => match self.class(address) {
                Some(class) => Some(class),
                None => {
                    let words = "the target address names no class";
                    return self.refuse_link(token, link, condition::NOT_FOUND, words);
                }
            },
        };
        let Some(client) = self.clients.get(token) else { return };
        if class.is_some_and(|class| !client.who.may(&self.classes[class])) {
            let words = "this user may not attach to this class";
            return self.refuse_link(token, link, condition::UNAUTHORIZED_ACCESS, words);
        }
        let Some(key) = self.key(token, link) else { return };
        let bounds = self.config.recovery();
        let never = target.expiry_policy.as_ref().is_some_and(|policy| policy.0 == "never");
        let timeout = Nanos::from(target.timeout.unwrap_or(0)) * 1000 * MS;
        let timeout = if never { bounds.timeout } else { timeout.min(bounds.timeout) };
        let asked = attach.unsettled_tags();
        let found = self.recovery.attach(bounds, &key, token, timeout, &asked);
        let known = |(tag, state): &(sparbank_amqp::Tag, Option<State>)| {
            let state = state.as_ref().map_or(Value::Null, State::to_value);
            (Value::Binary(tag.as_bytes().to_vec()), state)
        };
        let unsettled = (!asked.is_empty()).then(|| Value::Map(found.known.iter().map(known).collect()));
        let timeout = Some((timeout / 1000 / MS) as u32).filter(|seconds| *seconds > 0);
        let answer = Attach {
            snd_settle_mode: attach.snd_settle_mode,
            source: attach.source.clone(),
            target: Some(Terminus::Target(Target { timeout, ..target })),
            unsettled,
            ..Attach::default()
        };
        if let Some(client) = self.clients.get(token) {
            client.conn.accept_link(link, answer);
        }
        let (remembered, unknown) = (self.recovery.knows(&key), found.unknown);
        let key = Rc::new(key);
        let intake = Intake { class, key, remembered, unknown, partial: Partial::None };
        self.clients.add_intake(token, link, intake);
        for request_id in found.forgotten {
            self.left(ctx, request_id);
        }
        self.grant(token, link);
        self.clients.touch(token);
    }

    /// What a link goes by, on whichever connection it comes.
    fn key(&mut self, token: Token, link: LinkId) -> Option<Key> {
        let client = self.clients.get(token)?;
        let container = client.conn.peer().container.clone();
        Some(Key { container, user: client.who.name.clone(), name: client.conn.name(link).to_string() })
    }

    /// A client wants to receive: what a class sends, or replies.
    fn receives(&mut self, ctx: &mut FrontContext, token: Token, link: LinkId, attach: Box<Attach>) {
        let source = attach.source.clone().unwrap_or_default();
        if source.dynamic == Some(true) {
            return self.receives_replies(token, link, attach, source);
        }
        let class = source.address.as_deref().and_then(|address| self.class(address));
        let Some(class) = class else {
            let words = "the source address names no class";
            return self.refuse_link(token, link, condition::NOT_FOUND, words);
        };
        let Some(client) = self.clients.get(token) else { return };
        if !client.who.may(&self.classes[class]) {
            let words = "this user may not attach to this class";
            return self.refuse_link(token, link, condition::UNAUTHORIZED_ACCESS, words);
        }
        if self.leaving {
            let why = come_again(condition::RESOURCE_LIMIT_EXCEEDED, "the node leaves", COME_AGAIN);
            client.conn.refuse_link(link, why);
            return self.clients.touch(token);
        }
        let properties = attach.properties.clone().unwrap_or(Value::Null);
        let property = |name: &str| match properties.get(name) {
            Some(Value::Text(text) | Value::Symbol(text)) => Some(text.clone()),
            Some(Value::Uint(n)) => Some(n.to_string()),
            Some(Value::Ulong(n)) => Some(n.to_string()),
            _ => None,
        };
        let limit = ctx.classes.get(class).map_or(0, |c| c.hard_limit);
        let arrival = arrival(class, limit, property, properties.get("again") == Some(&Value::Bool(true)));
        let request_id = ctx.requests.on_request(ctx.now, self.id, arrival);
        let forwarder = self.forwarders.insert(Some(request_id), token, link, attach);
        client.links.insert(link, Use::Forwarder(forwarder));
    }

    /// A dynamic source: a node to which servers may send replies, as long as its link lasts.
    fn receives_replies(&mut self, token: Token, link: LinkId, attach: Box<Attach>, source: Source) {
        let Some(client) = self.clients.get(token) else { return };
        let answer_target = attach.target.clone();
        let forwarder = self.forwarders.insert(None, token, link, attach);
        // The address is given to requests in the clear: it is not to be guessed by others.
        let address = format!("reply/{forwarder}/{}", access::nonce());
        let source = Source { address: Some(address.clone()), dynamic: Some(true), ..source };
        let answer = Attach { source: Some(source), target: answer_target, ..Attach::default() };
        client.conn.accept_link(link, answer);
        client.links.insert(link, Use::Forwarder(forwarder));
        self.forwarders.name(address, forwarder);
        self.clients.touch(token);
    }

    /// A client's link is gone. Unless it may come again, nobody waits for what was on it.
    fn link_gone(&mut self, ctx: &mut FrontContext, token: Token, link: LinkId, closed: bool) {
        let dropped = self.clients.get(token).map(|t| std::mem::take(&mut t.dropped)).unwrap_or_default();
        // The connection has let the link's name go: it is kept with what it was for.
        match self.clients.remove_link(token, link) {
            Some(Use::Intake(intake)) => {
                let (key, bounds) = (intake.key, self.config.recovery());
                // Without a time-out a link lasts as long as its session (3.5.6).
                let session = self.clients.get(token).is_some_and(|t| t.conn.has_begun(link.channel));
                let may = !closed && (intake.remembered || session);
                let again = may && self.recovery.suspend(bounds, &key, token, ctx.now);
                for request_id in dropped {
                    if again && self.items.get(request_id).is_some_and(|item| item.whole) {
                        self.suspend(&key, request_id);
                    } else {
                        self.left(ctx, request_id);
                    }
                }
                if !again {
                    for request_id in self.recovery.forget(&key) {
                        self.left(ctx, request_id);
                    }
                }
                if let Partial::Gathering(bytes) = intake.partial {
                    self.items.uncount(bytes.len());
                }
            }
            Some(Use::Forwarder(forwarder)) => self.forwarder_left(ctx, forwarder),
            None => {}
        }
    }

    /// The client of a forwarder is gone.
    fn forwarder_left(&mut self, ctx: &mut FrontContext, forwarder: u64) {
        if let Some(gone) = self.forwarders.remove(forwarder, &mut self.servers) {
            if let Some(request_id) = gone.request_id {
                ctx.requests.on_client_disconnected(ctx.now, request_id);
            }
        }
    }

    pub(super) fn refuse_forwarder(&mut self, request_id: RequestId, error: Error) {
        let Some(forwarder) = self.forwarders.of(request_id) else { return };
        let Some(gone) = self.forwarders.remove(forwarder, &mut self.servers) else { return };
        self.clients.remove_link(gone.client, gone.link);
        if let Some(client) = self.clients.get(gone.client) {
            client.conn.refuse_link(gone.link, error);
        }
        self.clients.touch(gone.client);
    }

    // ---- Deliveries --------------------------------------------------------------------------------------

    /// A part of a delivery has come.
    fn part(&mut self, ctx: &mut FrontContext, token: Token, link: LinkId, part: Part<'_>) {
        let Some(client) = self.clients.get(token) else { return };
        let Some(Use::Intake(intake)) = client.links.get_mut(&link) else { return };
        let class = intake.class;
        let partial = std::mem::take(&mut intake.partial);
        let asks = part.resume || intake.remembered || !intake.unknown.is_empty();
        let next = if part.first && asks && !part.aborted && self.is_resumed(token, link, &part) {
            Partial::Ignored
        } else if part.aborted {
            match partial {
                Partial::Gathering(bytes) => self.items.uncount(bytes.len()),
                Partial::Running(request_id) => self.left(ctx, request_id),
                Partial::None | Partial::Ignored => {}
            }
            Partial::None
        } else {
            match partial {
                Partial::None => self.begins(ctx, token, link, class, &part, Vec::new()),
                Partial::Gathering(bytes) => {
                    self.items.uncount(bytes.len());
                    self.begins(ctx, token, link, class, &part, bytes)
                }
                Partial::Running(request_id) => {
                    match self.items.extend(request_id, part.payload, part.last) {
                        Some(item) => {
                            if let Some(server) = item.task.as_ref().map(|task| task.server) {
                                self.servers.touch(server);
                            }
                            Partial::Running(request_id)
                        }
                        None => Partial::Ignored,
                    }
                }
                Partial::Ignored => Partial::Ignored,
            }
        };
        if !part.last {
            let links = self.clients.get(token).map(|client| &mut client.links);
            if let Some(Use::Intake(intake)) = links.and_then(|links| links.get_mut(&link)) {
                intake.partial = next;
            }
        }
        self.grant(token, link);
    }

    /// A delivery that was here before is not run again: what became of it is told.
    fn is_resumed(&mut self, token: Token, link: LinkId, part: &Part<'_>) -> bool {
        let Some(client) = self.clients.get(token) else { return false };
        let Some(Use::Intake(intake)) = client.links.get_mut(&link) else { return false };
        let state = match self.recovery.fate(&intake.key, &part.tag) {
            Some(Fate::Ended(state)) => state.clone(),
            Some(Fate::Runs(request_id)) => {
                // Its answer goes to where it came from last.
                let request_id = *request_id;
                client.conn.name_delivery(link.channel, part.id, request_id.0);
                if let Some(item) = self.items.get_mut(request_id) {
                    client.live += usize::from(!item.attached);
                    (item.client, item.link, item.delivery) = (token, link, part.id);
                    item.attached = true;
                }
                return true;
            }
            None if intake.unknown.remove(&part.tag) || (part.resume && !intake.remembered) => {
                self.fate_unknown += 1;
                unknown()
            }
            None => return false,
        };
        client.conn.settle(link.channel, part.id, state);
        self.clients.touch(token);
        true
    }

    /// A delivery begins, or has not come far enough to say what it is.
    fn begins(
        &mut self,
        ctx: &mut FrontContext,
        token: Token,
        link: LinkId,
        class: Option<usize>,
        part: &Part<'_>,
        mut bytes: Vec<u8>,
    ) -> Partial {
        bytes.extend_from_slice(part.payload);
        let head = match (part.last, Head::read(&bytes)) {
            (true, _) => Message::decode(&bytes).map(|message| message.head),
            (false, Ok(Some(head))) => Ok(head),
            (false, Ok(None)) if bytes.len() <= MOST_HEAD => {
                self.items.count(bytes.len());
                return Partial::Gathering(bytes);
            }
            (false, Ok(None)) => Err(DecodeError::TooMuch),
            (false, Err(error)) => Err(error),
        };
        let refusal = match head {
            Err(error) => Err(State::Rejected(Some(Box::new(error.into())))),
            Ok(head) => self.take_in(ctx, token, link, class, part, head, bytes),
        };
        match refusal {
            Ok(request_id) => Partial::Running(request_id),
            Err(state) => {
                if matches!(state, State::Rejected(_)) {
                    ctx.requests.counters.malformed += 1;
                } else {
                    ctx.requests.counters.capacity_rejected += 1;
                }
                if let Some(client) = self.clients.get(token) {
                    client.conn.settle(link.channel, part.id, state);
                }
                Partial::Ignored
            }
        }
    }

    /// A delivery is a request from here on, or is answered at once.
    #[allow(clippy::too_many_arguments)]
    fn take_in(
        &mut self,
        ctx: &mut FrontContext,
        token: Token,
        link: LinkId,
        class: Option<usize>,
        part: &Part<'_>,
        head: Head,
        bytes: Vec<u8>,
    ) -> Result<RequestId, State> {
        let reject = |condition, words: &str| State::Rejected(Some(Box::new(Error::new(condition, words))));
        let class = match class {
            Some(class) => class,
            None => {
                let class = head.to.as_deref().and_then(|to| self.class(to));
                let class = class.ok_or_else(|| reject(condition::NOT_FOUND, "`to` names no class"))?;
                let may = self.clients.get(token).is_some_and(|t| t.who.may(&self.classes[class]));
                if !may {
                    let words = "this user may not send to this class";
                    return Err(reject(condition::UNAUTHORIZED_ACCESS, words));
                }
                class
            }
        };
        if self.leaving || self.items.held() + bytes.len() > self.config.max_held {
            return Err(refused(COME_AGAIN));
        }
        let limit = ctx.classes.get(class).map_or(0, |c| c.hard_limit);
        let grace = head.ttl.map_or(limit, |ms| (Nanos::from(ms) * MS).min(MOST_WAIT));
        let again = head.value(&bytes, "again") == Some(Value::Bool(true));
        let arrival = arrival(class, grace, |name| head.property(&bytes, name), again);
        let request_id = ctx.requests.on_request(ctx.now, self.id, arrival);
        if let Some(client) = self.clients.get(token) {
            client.live += 1;
            client.conn.name_delivery(link.channel, part.id, request_id.0);
            if let Some(Use::Intake(intake)) = client.links.get(&link).filter(|_| !part.settled) {
                if intake.remembered {
                    self.recovery.runs(&intake.key, part.tag, request_id);
                }
            }
        }
        let (client, delivery, tag, whole) = (token, part.id, part.tag, part.last);
        let (attached, base, task) = (true, 0, None);
        let item = Item { client, link, delivery, tag, attached, class, head, bytes, base, whole, task };
        self.items.insert(request_id, item);
        Ok(request_id)
    }

    // ---- Who it is ---------------------------------------------------------------------------------------

    fn asked(&mut self, ctx: &mut FrontContext, token: Token, asked: Asked) {
        let Some(users) = &self.config.known else {
            if let Some(client) = self.clients.get(token) {
                client.conn.verdict(asked == Asked::Anonymous);
            }
            return;
        };
        match asked {
            Asked::Anonymous => {
                let who = users.anonymous();
                self.verdict(ctx, token, who);
            }
            Asked::Keys { user } => {
                let keys = users.keys(&user).cloned();
                if let Some(client) = self.clients.get(token) {
                    client.conn.keys(keys, &access::fake_salt(&user), &access::nonce());
                }
            }
            Asked::Proven { user, holds } => {
                let who = users.named(&user).filter(|_| holds);
                self.verdict(ctx, token, who);
            }
            Asked::Plain { user, password } => {
                if self.checks.start(token, users, user, &password) {
                    ctx.wheel.schedule(ctx.now, TimerEvent::FrontTimer(self.id, token));
                } else {
                    self.verdict(ctx, token, None);
                }
            }
            Asked::External => {
                let name = self.clients.get(token).and_then(|t| t.tls.as_ref()?.peer_certificate_name());
                let who = name.and_then(|name| users.named(&name));
                self.verdict(ctx, token, who);
            }
        }
    }

    /// Who is known comes in; who is not is told so later, which costs a guesser time.
    fn verdict(&mut self, ctx: &mut FrontContext, token: Token, who: Option<Rc<access::Who>>) {
        let Some(client) = self.clients.get(token) else { return };
        match who {
            Some(who) => {
                client.who = who;
                client.conn.verdict(true);
                self.clients.touch(token);
            }
            None => {
                self.refused_logins += 1;
                client.refuse_at = Some(ctx.now + WRONG_PASSWORD_COSTS);
                ctx.wheel.schedule(ctx.now + WRONG_PASSWORD_COSTS, TimerEvent::FrontTimer(self.id, token));
            }
        }
    }

    pub(super) fn refuse_due(&mut self, ctx: &mut FrontContext, token: Token) {
        let Some(client) = self.clients.get(token) else { return };
        if client.refuse_at.is_some_and(|at| at <= ctx.now) {
            client.refuse_at = None;
            client.conn.verdict(false);
            self.clients.touch(token);
        }
    }

    /// One slice of one password a tick, whoever waits: the loop feels none of them.
    pub(super) fn check_passwords(&mut self, ctx: &mut FrontContext) {
        let Some((token, user, holds)) = self.checks.step() else {
            if let Some(token) = self.checks.first() {
                ctx.wheel.schedule(ctx.now, TimerEvent::FrontTimer(self.id, token));
            }
            return;
        };
        let who = self.config.known.as_ref().and_then(|users| users.named(&user)).filter(|_| holds);
        self.verdict(ctx, token, who);
        if let Some(token) = self.checks.first() {
            ctx.wheel.schedule(ctx.now, TimerEvent::FrontTimer(self.id, token));
        }
    }

    // ---- Time and the end ----------------------------------------------------------------------------------

    pub(super) fn client_gone(&mut self, ctx: &mut FrontContext, token: Token) {
        if let Some(client) = self.clients.get(token) {
            if let Some(tls) = &mut client.tls {
                tls.send_close_notify();
            }
            client.say(ctx, token);
        }
        ctx.net.close(token);
        let Some(mut client) = self.clients.remove(token) else { return };
        for (link, role, key) in client.conn.abandon() {
            let request_id = RequestId(key);
            let key = match client.links.get(&link) {
                Some(Use::Intake(intake)) if intake.remembered => Some(intake.key.clone()),
                _ => None,
            };
            let whole = self.items.get(request_id).is_some_and(|item| item.whole);
            match key.filter(|_| whole && role == Role::Receiver) {
                Some(key) => self.suspend(&key, request_id),
                None if role == Role::Receiver => self.left(ctx, request_id),
                None => {}
            }
        }
        for request_id in self.recovery.lost(token, ctx.now) {
            self.left(ctx, request_id);
        }
        let mut links: Vec<(LinkId, Use)> = client.links.drain().collect();
        links.sort_unstable_by_key(|(link, _)| *link);
        for (_, kind) in links {
            match kind {
                Use::Forwarder(forwarder) => self.forwarder_left(ctx, forwarder),
                Use::Intake(intake) => {
                    if let Partial::Gathering(bytes) = intake.partial {
                        self.items.uncount(bytes.len());
                    }
                }
            }
        }
    }

    /// Links whose credit shrank while there was no room get it back.
    pub(super) fn grant_all(&mut self) {
        for token in self.clients.tokens() {
            let Some(client) = self.clients.get(token) else { continue };
            let starved = |(link, kind): (&LinkId, &Use)| {
                (matches!(kind, Use::Intake(_)) && client.conn.credit(*link) == 0).then_some(*link)
            };
            let starved: Vec<LinkId> = client.links.iter().filter_map(starved).collect();
            starved.into_iter().for_each(|link| self.grant(token, link));
        }
    }

    pub(super) fn look_at_clients(&mut self, ctx: &mut FrontContext) {
        let redirect = self.config.redirect.clone();
        for token in self.clients.tokens() {
            let Some(client) = self.clients.get(token) else { continue };
            let forwarders = client.links.values().any(|kind| matches!(kind, Use::Forwarder(_)));
            if let Err(why) = client.conn.tick(ctx.now) {
                client.conn.close(Some(Box::new(why.into())));
            } else if self.leaving && client.live == 0 && !forwarders {
                client.conn.close(Some(Box::new(farewell(redirect.as_ref()))));
            }
            self.clients.touch(token);
        }
    }
}

/// Why the node closes a connection when it leaves (part 2, 2.8.16).
fn farewell(redirect: Option<&config::Redirect>) -> Error {
    let Some(to) = redirect else { return Error::new(condition::CONNECTION_FORCED, "the node leaves") };
    let info = vec![
        (Value::symbol("hostname"), Value::text(&to.hostname)),
        (Value::symbol("network-host"), Value::text(&to.network_host)),
        (Value::symbol("port"), Value::Ushort(to.port)),
    ];
    Error {
        info: Some(Value::Map(info)),
        ..Error::new(condition::CONNECTION_REDIRECT, "the node leaves; connect there")
    }
}

/// What the core is told of a request; `property` looks up its key and its group.
fn arrival(class: usize, grace: Nanos, property: impl Fn(&str) -> Option<String>, again: bool) -> Arrival {
    let key = property("key").map(|key| u64::from_str_radix(&key, 16).unwrap_or_else(|_| fnv1a(&key)));
    Arrival {
        id: RequestId(0),
        class,
        time_left: grace.saturating_sub(ANSWER_MARGIN),
        cost: None,
        key,
        group: property("group").map(|group| fnv1a(&group)),
        reconnect: again,
        client_retry: false,
        rerouted: false,
    }
}
