//! The servers' side: connections, sessions and lanes. A lane is a sending link for one class; a long
//! message fills its lane and no other.

use super::config::AmqpConfig;
use super::items::{Items, Map, Stage, Turns};
use crate::front::{FrontContext, TimerEvent};
use crate::net::{SocketOwner, Token};
use crate::requests::FrontId;
use crate::vocabulary::{Outcome, RequestId, ServerId};
use sparbank_amqp::{Attach, Connection, Credentials, LinkId, Outgoing, Role, Source, Target, Terminus};

/// A lane sends no more than this before the next one has its turn.
const CHUNK: usize = 16 * 1024;
/// With so much unwritten a connection is full.
const AHEAD: usize = 64 * 1024;

/// A connection to a server.
pub struct Link {
    pub server: ServerId,
    pub conn: Connection,
    /// What its links are for.
    pub uses: Map<LinkId, Use>,
}

/// What a link to a server is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// Deliveries of a class go out on it.
    Lane(usize),
    /// A forwarder's deliveries come in on it.
    Forwarder(u64),
}

/// A sending link.
struct Lane {
    token: Token,
    link: LinkId,
    /// The delivery that has begun on it and not gone whole.
    current: Option<RequestId>,
}

#[derive(Default)]
struct Outlet {
    turns: Turns,
    lanes: Vec<Lane>,
}

/// A server.
#[derive(Default)]
struct Server {
    conns: Vec<Token>,
    outlets: Vec<Outlet>,
    /// Forwarders that wait for a session.
    forwarders: Vec<(u64, Box<Attach>)>,
    /// It answered SASL with AMQP: it has none.
    no_sasl: bool,
    dirty: bool,
    /// Whose lane is served first changes from turn to turn.
    turn: usize,
}

/// What became of things at the servers.
pub enum Happened {
    /// An attempt is over.
    Over(RequestId, Outcome),
    /// A forwarder never got its link: no connection, or no room.
    NoForwarder(u64),
}

/// The table.
pub struct Servers {
    front: FrontId,
    container: String,
    classes: Vec<String>,
    map: Map<ServerId, Server>,
    links: Map<Token, Link>,
    dirty: Vec<ServerId>,
    /// A message's first octets, put together for its first frame.
    scratch: Vec<u8>,
}

impl Servers {
    pub fn new(front: FrontId, container: &str, classes: Vec<String>) -> Servers {
        let container = container.to_string();
        let (map, links, dirty, scratch) = (Map::default(), Map::default(), Vec::new(), Vec::new());
        Servers { front, container, classes, map, links, dirty, scratch }
    }

    /// The server whose connection this is.
    pub fn of(&self, token: Token) -> Option<ServerId> {
        self.links.get(&token).map(|link| link.server)
    }

    pub fn get(&mut self, token: Token) -> Option<&mut Link> {
        self.links.get_mut(&token)
    }

    /// An attempt waits for a lane.
    pub fn queue(&mut self, server: ServerId, class: usize, client: Token, request_id: RequestId) {
        let classes = self.classes.len();
        let at = self.map.entry(server).or_default();
        if at.outlets.is_empty() {
            at.outlets.resize_with(classes, Outlet::default);
        }
        at.outlets[class].turns.push(client, request_id);
        self.touch(server);
    }

    /// A forwarder wants a receiving link: its attach is sent as soon as there is a session.
    pub fn forwarder(&mut self, server: ServerId, forwarder: u64, attach: Box<Attach>) {
        self.map.entry(server).or_default().forwarders.push((forwarder, attach));
        self.touch(server);
    }

    /// There may be something to do for a server at the end of the turn.
    pub fn touch(&mut self, server: ServerId) {
        if let Some(at) = self.map.get_mut(&server).filter(|at| !at.dirty) {
            at.dirty = true;
            self.dirty.push(server);
        }
    }

    /// Whether there may be something to do.
    pub fn is_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// There may be something to write on a connection.
    pub fn touch_link(&mut self, token: Token) {
        if let Some(server) = self.of(token) {
            self.touch(server);
        }
    }

    // ---- Connections -----------------------------------------------------------------------------

    fn dial(&mut self, ctx: &mut FrontContext, config: &AmqpConfig, server: ServerId) -> bool {
        let Some(known) = ctx.registry.entry(server) else { return false };
        let (addr, mut credentials) = config.place(known.name(), known.address(), &super::access::nonce());
        let Some(at) = self.map.get_mut(&server) else { return false };
        if at.no_sasl && credentials == Some(Credentials::Anonymous) {
            credentials = None;
        }
        let Ok(token) = ctx.net.connect(addr, SocketOwner::Front(self.front)) else { return false };
        ctx.net.set_read_limit(token, config.max_frame as usize + 1024);
        let conn = Connection::dial(ctx.now, config.server(&self.container), credentials);
        at.conns.push(token);
        self.links.insert(token, Link { server, conn, uses: Map::default() });
        ctx.wheel.schedule(
            ctx.now + ctx.site.limits.dial_timeout_ns,
            TimerEvent::ConnectTimeout(self.front, token),
        );
        self.write(ctx, token);
        true
    }

    fn write(&mut self, ctx: &mut FrontContext, token: Token) {
        if let Some(link) = self.links.get_mut(&token) {
            let out = link.conn.take_out(ctx.now);
            if !out.is_empty() {
                ctx.net.send(token, &out);
            }
        }
    }

    /// A connection is over. What was on it never ran where its last byte was not written.
    pub fn lose(&mut self, ctx: &mut FrontContext, token: Token, items: &Items) -> (Vec<Happened>, Vec<u64>) {
        let (mut happened, mut forwarders) = (Vec::new(), Vec::new());
        let written = ctx.net.bytes_written(token);
        ctx.net.close(token);
        let Some(mut link) = self.links.remove(&token) else { return (happened, forwarders) };
        for (at, role, key) in link.conn.abandon() {
            if let (Some(Use::Lane(_)), Role::Sender) = (link.uses.get(&at), role) {
                let request_id = RequestId(key);
                let stage = items.get(request_id).and_then(|i| i.task.as_ref()).map(|t| &t.stage);
                let ran = matches!(stage, Some(Stage::Sent { end, .. }) if *end <= written);
                let outcome = if ran { Outcome::Reset } else { Outcome::ConnectFailed };
                happened.push(Happened::Over(request_id, outcome));
            }
        }
        forwarders.extend(link.uses.values().filter_map(|u| {
            if let Use::Forwarder(r) = u {
                Some(*r)
            } else {
                None
            }
        }));
        forwarders.sort_unstable();
        let Some(server) = self.map.get_mut(&link.server) else { return (happened, forwarders) };
        server.conns.retain(|conn| *conn != token);
        for outlet in &mut server.outlets {
            outlet.lanes.retain(|lane| lane.token != token);
        }
        if link.conn.peer_has_no_sasl() && !std::mem::replace(&mut server.no_sasl, true) {
            // Once more without SASL: what waits there goes on waiting.
            self.touch(link.server);
            return (happened, forwarders);
        }
        if server.conns.is_empty() {
            let Some(server) = self.map.remove(&link.server) else { return (happened, forwarders) };
            let (no_sasl, waiting) = (server.no_sasl, server.forwarders);
            for mut outlet in server.outlets {
                let queued = outlet.turns.drain().into_iter();
                happened.extend(queued.map(|request_id| Happened::Over(request_id, Outcome::ConnectFailed)));
            }
            happened.extend(waiting.into_iter().map(|(forwarder, _)| Happened::NoForwarder(forwarder)));
            if no_sasl {
                self.map.insert(link.server, Server { no_sasl, ..Server::default() });
            }
        }
        (happened, forwarders)
    }

    /// Whether a connection should be open by now and is not.
    pub fn is_late(&self, token: Token) -> bool {
        self.links.get(&token).is_some_and(|link| !link.conn.is_open())
    }

    pub fn tokens(&self) -> Vec<Token> {
        let mut tokens: Vec<Token> = self.links.keys().copied().collect();
        tokens.sort_unstable();
        tokens
    }

    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// A connection that serves nothing and whose server gets nothing new.
    pub fn is_done(&self, ctx: &FrontContext, token: Token) -> bool {
        let Some(link) = self.links.get(&token) else { return false };
        let leaving = ctx.registry.entry(link.server).is_none_or(|server| !server.is_ready());
        leaving
            && link.conn.is_open()
            && link
                .uses
                .iter()
                .all(|(at, kind)| matches!(kind, Use::Lane(_)) && link.conn.unsettled(*at) == 0)
    }

    // ---- Lanes -------------------------------------------------------------------------------------

    /// Attaches a link on the first session with room, or begins a session, or dials. None while that is
    /// awaited; an error where there is no more to be had.
    fn place(
        &mut self,
        ctx: &mut FrontContext,
        config: &AmqpConfig,
        server: ServerId,
        name: &str,
        role: Role,
        attach: &Attach,
    ) -> Result<Option<(Token, LinkId)>, ()> {
        let conns = self.map.get(&server).map_or(Vec::new(), |at| at.conns.clone());
        for token in &conns {
            let Some(link) = self.links.get_mut(token) else { continue };
            if !link.conn.is_open() {
                return Ok(None);
            }
            for channel in link.conn.channels() {
                if !link.conn.has_begun(channel) {
                    return Ok(None);
                }
                if let Some(at) = link.conn.attach(channel, name, role, attach.clone()) {
                    return Ok(Some((*token, at)));
                }
            }
            if link.conn.begin().is_some() {
                return Ok(None);
            }
        }
        if conns.len() < config.server_connections && self.dial(ctx, config, server) {
            return Ok(None);
        }
        Err(())
    }

    fn add_lane(
        &mut self,
        ctx: &mut FrontContext,
        config: &AmqpConfig,
        server: ServerId,
        class: usize,
    ) -> Result<(), ()> {
        let count = self.map.get(&server).map_or(0, |at| at.outlets[class].lanes.len());
        let address = self.classes[class].clone();
        let name = if count == 0 { address.clone() } else { format!("{address}#{count}") };
        let target = Target { address: Some(address), ..Target::default() };
        let attach = Attach {
            snd_settle_mode: Some(0),
            rcv_settle_mode: Some(0),
            source: Some(Source::default()),
            target: Some(Terminus::Target(target)),
            ..Attach::default()
        };
        let Some((token, link)) = self.place(ctx, config, server, &name, Role::Sender, &attach)? else {
            return Ok(());
        };
        if let Some(at) = self.links.get_mut(&token) {
            at.uses.insert(link, Use::Lane(class));
        }
        if let Some(at) = self.map.get_mut(&server) {
            at.outlets[class].lanes.push(Lane { token, link, current: None });
        }
        Ok(())
    }

    /// A lane's link is gone. What waits for it goes on waiting where there is another.
    pub fn lane_gone(&mut self, token: Token, link: LinkId, class: usize) -> Vec<Happened> {
        let Some(server) = self.of(token) else { return Vec::new() };
        let Some(at) = self.map.get_mut(&server) else { return Vec::new() };
        let outlet = &mut at.outlets[class];
        outlet.lanes.retain(|lane| (lane.token, lane.link) != (token, link));
        if !outlet.lanes.is_empty() {
            self.touch(server);
            return Vec::new();
        }
        let queued = outlet.turns.drain().into_iter();
        queued.map(|request_id| Happened::Over(request_id, Outcome::ConnectFailed)).collect()
    }

    /// A delivery was answered before it had gone whole: its lane is free again.
    pub fn free_lane(&mut self, server: ServerId, class: usize, request_id: RequestId) {
        if let Some(at) = self.map.get_mut(&server) {
            for lane in at.outlets[class].lanes.iter_mut().filter(|lane| lane.current == Some(request_id)) {
                lane.current = None;
            }
        }
        self.touch(server);
    }

    pub fn unqueue(&mut self, server: ServerId, class: usize, client: Token, request_id: RequestId) {
        if let Some(at) = self.map.get_mut(&server) {
            at.outlets[class].turns.remove(client, request_id);
        }
    }

    // ---- What goes out -------------------------------------------------------------------------------

    /// The end of a turn: everything that credit, windows and sockets take goes out.
    pub fn flush(&mut self, ctx: &mut FrontContext, config: &AmqpConfig, items: &mut Items) -> Vec<Happened> {
        let mut happened = Vec::new();
        for server in std::mem::take(&mut self.dirty) {
            if let Some(at) = self.map.get_mut(&server) {
                at.dirty = false;
            }
            let full = self.pump(ctx, config, server, items, &mut happened);
            let conns = self.map.get(&server).map_or(Vec::new(), |at| at.conns.clone());
            let mut room = false;
            for token in conns {
                self.write(ctx, token);
                room |= ctx.net.pending_output_bytes(token) < AHEAD;
            }
            // Where the socket took it all at once, no notice will say that there is room again.
            if full && room {
                self.touch(server);
            }
        }
        happened
    }

    /// True where a connection took all that is written at one time, and there is more.
    fn pump(
        &mut self,
        ctx: &mut FrontContext,
        config: &AmqpConfig,
        server: ServerId,
        items: &mut Items,
        happened: &mut Vec<Happened>,
    ) -> bool {
        self.attach_forwarders(ctx, config, server, happened);
        self.widen(ctx, config, server, happened);
        let classes = self.classes.len();
        let Some(at) = self.map.get_mut(&server).filter(|at| !at.outlets.is_empty()) else { return false };
        at.turn = at.turn.wrapping_add(1);
        let mut full = false;
        // Every lane of every class sends one chunk a round, until none can.
        loop {
            let mut moved = false;
            for offset in 0..classes {
                let class = (at.turn + offset) % classes;
                let Outlet { turns, lanes } = &mut at.outlets[class];
                for lane in lanes {
                    let Some(link) = self.links.get_mut(&lane.token) else { continue };
                    let (scratch, conn) = (&mut self.scratch, &mut link.conn);
                    match feed(ctx, config, scratch, server, turns, lane, conn, items) {
                        Fed::Still => {}
                        Fed::Full => full = true,
                        Fed::Moved => moved = true,
                        Fed::TooLarge(request_id) => {
                            happened.push(Happened::Over(request_id, Outcome::Rejected));
                            moved = true;
                        }
                    }
                }
            }
            if !moved {
                break;
            }
        }
        let stuck = |o: &Outlet| !o.turns.is_empty() && o.lanes.iter().all(|lane| lane.current.is_some());
        if at.outlets.iter().any(stuck) {
            self.widen(ctx, config, server, happened);
        }
        full
    }

    /// Opens a lane for each class that has something waiting and no lane that could take it: the first,
    /// or another where long messages hold all there are.
    fn widen(
        &mut self,
        ctx: &mut FrontContext,
        config: &AmqpConfig,
        server: ServerId,
        happened: &mut Vec<Happened>,
    ) {
        for class in 0..self.map.get(&server).map_or(0, |at| at.outlets.len()) {
            let Some(outlet) = self.map.get(&server).map(|at| &at.outlets[class]) else { return };
            let held = outlet.lanes.iter().all(|lane| lane.current.is_some());
            if outlet.turns.is_empty() || !held || outlet.lanes.len() >= config.server_lanes {
                continue;
            }
            let first = outlet.lanes.is_empty();
            if self.add_lane(ctx, config, server, class).is_err() && first {
                if let Some(at) = self.map.get_mut(&server) {
                    let queued = at.outlets[class].turns.drain().into_iter();
                    happened
                        .extend(queued.map(|request_id| Happened::Over(request_id, Outcome::ConnectFailed)));
                }
            }
        }
    }

    fn attach_forwarders(
        &mut self,
        ctx: &mut FrontContext,
        config: &AmqpConfig,
        server: ServerId,
        happened: &mut Vec<Happened>,
    ) {
        let waiting = self.map.get_mut(&server).map_or(Vec::new(), |at| std::mem::take(&mut at.forwarders));
        for (forwarder, attach) in waiting {
            let name = format!("{}/{forwarder}", self.container);
            match self.place(ctx, config, server, &name, Role::Receiver, &attach) {
                Ok(Some((token, link))) => {
                    if let Some(at) = self.links.get_mut(&token) {
                        at.uses.insert(link, Use::Forwarder(forwarder));
                    }
                }
                Ok(None) => {
                    if let Some(at) = self.map.get_mut(&server) {
                        at.forwarders.push((forwarder, attach));
                    }
                }
                Err(()) => happened.push(Happened::NoForwarder(forwarder)),
            }
        }
    }

    /// A forwarder that does not stand is given up: its link, if it was asked for, is detached. True where
    /// nothing had gone out.
    pub fn drop_forwarder(&mut self, server: ServerId, forwarder: u64) -> bool {
        if self.forget_forwarder(server, forwarder) {
            return true;
        }
        for token in self.map.get(&server).map_or(Vec::new(), |at| at.conns.clone()) {
            let Some(link) = self.links.get_mut(&token) else { continue };
            let asked =
                link.uses.iter().find(|(_, kind)| **kind == Use::Forwarder(forwarder)).map(|(at, _)| *at);
            if let Some(at) = asked {
                link.uses.remove(&at);
                link.conn.detach(at, true, None);
                self.touch(server);
            }
        }
        false
    }

    /// A forwarder that waits for a session waits no more. False where its attach has gone out.
    fn forget_forwarder(&mut self, server: ServerId, forwarder: u64) -> bool {
        let Some(at) = self.map.get_mut(&server) else { return false };
        let before = at.forwarders.len();
        at.forwarders.retain(|(waiting, _)| *waiting != forwarder);
        at.forwarders.len() < before
    }
}

/// What feeding a lane came to.
enum Fed {
    /// It can do nothing now.
    Still,
    /// Its connection has all that is written at one time.
    Full,
    /// Something moved: it may go on.
    Moved,
    /// This delivery is larger than the server takes.
    TooLarge(RequestId),
}

/// The delivery that is on a lane, or the next whose turn it is.
fn next(turns: &mut Turns, lane: &Lane, conn: &mut Connection) -> Option<RequestId> {
    if lane.current.is_some() {
        return lane.current;
    }
    let request_id = if conn.can_send(lane.link) { turns.pop() } else { None };
    if turns.is_empty() && request_id.is_none() {
        conn.drained(lane.link);
    }
    request_id
}

/// Sends one chunk on a lane.
#[allow(clippy::too_many_arguments)]
fn feed(
    ctx: &mut FrontContext,
    config: &AmqpConfig,
    scratch: &mut Vec<u8>,
    server: ServerId,
    turns: &mut Turns,
    lane: &mut Lane,
    conn: &mut Connection,
    items: &mut Items,
) -> Fed {
    let room = AHEAD.saturating_sub(ctx.net.pending_output_bytes(lane.token));
    if conn.pending() >= room {
        return if lane.current.is_some() || !turns.is_empty() { Fed::Full } else { Fed::Still };
    }
    let room = room.min(conn.pending() + CHUNK);
    let Some(request_id) = next(turns, lane, conn) else { return Fed::Still };
    let (token, link) = (lane.token, lane.link);
    lane.current = None;
    let Some(item) = items.get_mut(request_id) else { return Fed::Moved };
    let Some(task) = item.task.as_mut().filter(|task| task.server == server) else { return Fed::Moved };
    let delivery = Outgoing { key: request_id.0, tag: request_id.0.into(), settled: false };
    let (sent, id, at) = match task.stage {
        Stage::Sent { .. } => return Fed::Moved,
        Stage::Queued => {
            if conn.most_message(link).is_some_and(|most| item.bytes.len() as u64 > most) {
                return Fed::TooLarge(request_id);
            }
            let ttl = task.until.saturating_sub(ctx.now) / 1_000_000;
            scratch.clear();
            item.head.encode(&item.bytes, (ttl as u32).max(1), scratch);
            let (prefix, rest) = (scratch.len(), item.head.rest());
            scratch.extend_from_slice(&item.bytes[rest..]);
            let id = conn.next_delivery(link.channel);
            let sent = conn.send(link, delivery, scratch, item.whole, room);
            if !sent.begun {
                turns.push(item.client, request_id);
                return Fed::Still;
            }
            // A header has fewer octets than any frame: it has gone with the first.
            (sent, id, rest + sent.taken.saturating_sub(prefix))
        }
        Stage::Sending { id, at, .. } => {
            let octets = item.bytes.get(at - item.base..).unwrap_or_default();
            let sent = conn.send(link, delivery, octets, item.whole, room);
            (sent, id, at + sent.taken)
        }
    };
    if sent.done {
        let end = ctx.net.output_position(token) + conn.pending() as u64;
        task.stage = Stage::Sent { token, link, id, end };
        return Fed::Moved;
    }
    task.stage = Stage::Sending { token, link, id, at };
    lane.current = Some(request_id);
    items.let_go(request_id, config.keep);
    if sent.taken > 0 {
        Fed::Moved
    } else {
        Fed::Still
    }
}
