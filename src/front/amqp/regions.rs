//! The regions' side: connections, sessions and lanes. A lane is a sending link for one class; a long
//! message fills its lane and no other.

use super::config::AmqpConfig;
use super::items::{Items, Map, Stage, Turns};
use crate::core::FrontId;
use crate::front::{Ctx, Due};
use crate::interface::{Outcome, RequestId, ServerId};
use crate::net::{Owner, Token};
use sparbank_amqp::{Attach, Connection, Credentials, LinkId, Outgoing, Role, Source, Target, Terminus};

/// A lane sends no more than this before the next one has its turn.
const CHUNK: usize = 16 * 1024;
/// With so much unwritten a connection is full.
const AHEAD: usize = 64 * 1024;

/// A connection to a region.
pub struct Link {
    pub region: ServerId,
    pub conn: Connection,
    /// What its links are for.
    pub uses: Map<LinkId, Use>,
}

/// What a link to a region is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// Deliveries of a class go out on it.
    Lane(usize),
    /// A relay's deliveries come in on it.
    Relay(u64),
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

/// A region.
#[derive(Default)]
struct Region {
    conns: Vec<Token>,
    outlets: Vec<Outlet>,
    /// Relays that wait for a session.
    relays: Vec<(u64, Box<Attach>)>,
    /// It answered SASL with AMQP: it has none.
    no_sasl: bool,
    dirty: bool,
    /// Whose lane is served first changes from turn to turn.
    turn: usize,
}

/// What became of things at the regions.
pub enum Happened {
    /// A routed task is over.
    Over(RequestId, Outcome),
    /// A relay never got its link: no connection, or no room.
    NoRelay(u64),
}

/// The table.
pub struct Regions {
    front: FrontId,
    container: String,
    classes: Vec<String>,
    map: Map<ServerId, Region>,
    links: Map<Token, Link>,
    dirty: Vec<ServerId>,
    /// A message's first octets, put together for its first frame.
    scratch: Vec<u8>,
}

impl Regions {
    pub fn new(front: FrontId, container: &str, classes: Vec<String>) -> Regions {
        let container = container.to_string();
        let (map, links, dirty, scratch) = (Map::default(), Map::default(), Vec::new(), Vec::new());
        Regions { front, container, classes, map, links, dirty, scratch }
    }

    /// The region whose connection this is.
    pub fn of(&self, token: Token) -> Option<ServerId> {
        self.links.get(&token).map(|link| link.region)
    }

    pub fn get(&mut self, token: Token) -> Option<&mut Link> {
        self.links.get_mut(&token)
    }

    /// A routed task waits for a lane.
    pub fn queue(&mut self, region: ServerId, class: usize, terminal: Token, txn: RequestId) {
        let classes = self.classes.len();
        let at = self.map.entry(region).or_default();
        if at.outlets.is_empty() {
            at.outlets.resize_with(classes, Outlet::default);
        }
        at.outlets[class].turns.push(terminal, txn);
        self.touch(region);
    }

    /// A relay wants a receiving link: its attach is sent as soon as there is a session.
    pub fn relay(&mut self, region: ServerId, relay: u64, attach: Box<Attach>) {
        self.map.entry(region).or_default().relays.push((relay, attach));
        self.touch(region);
    }

    /// There may be something to do for a region at the end of the turn.
    pub fn touch(&mut self, region: ServerId) {
        if let Some(at) = self.map.get_mut(&region).filter(|at| !at.dirty) {
            at.dirty = true;
            self.dirty.push(region);
        }
    }

    /// Whether there may be something to do.
    pub fn is_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// There may be something to write on a connection.
    pub fn touch_link(&mut self, token: Token) {
        if let Some(region) = self.of(token) {
            self.touch(region);
        }
    }

    // ---- Connections -----------------------------------------------------------------------------

    fn dial(&mut self, ctx: &mut Ctx, config: &AmqpConfig, region: ServerId) -> bool {
        let Some(known) = ctx.table.region(region) else { return false };
        let (addr, mut credentials) = config.place(known.name(), known.addr(), &super::access::nonce());
        let Some(at) = self.map.get_mut(&region) else { return false };
        if at.no_sasl && credentials == Some(Credentials::Anonymous) {
            credentials = None;
        }
        let Ok(token) = ctx.net.connect(addr, Owner::Front(self.front)) else { return false };
        ctx.net.read_ahead(token, config.max_frame as usize + 1024);
        let conn = Connection::dial(ctx.now, config.region(&self.container), credentials);
        at.conns.push(token);
        self.links.insert(token, Link { region, conn, uses: Map::default() });
        ctx.wheel.at(ctx.now + ctx.facts.limits.dial_timeout_ns, Due::Dial(self.front, token));
        self.write(ctx, token);
        true
    }

    fn write(&mut self, ctx: &mut Ctx, token: Token) {
        if let Some(link) = self.links.get_mut(&token) {
            let out = link.conn.take_out(ctx.now);
            if !out.is_empty() {
                ctx.net.send(token, &out);
            }
        }
    }

    /// A connection is over. What was on it never ran where its last byte was not written.
    pub fn lose(&mut self, ctx: &mut Ctx, token: Token, items: &Items) -> (Vec<Happened>, Vec<u64>) {
        let (mut happened, mut relays) = (Vec::new(), Vec::new());
        let written = ctx.net.written(token);
        ctx.net.close(token);
        let Some(mut link) = self.links.remove(&token) else { return (happened, relays) };
        for (at, role, key) in link.conn.abandon() {
            if let (Some(Use::Lane(_)), Role::Sender) = (link.uses.get(&at), role) {
                let txn = RequestId(key);
                let stage = items.get(txn).and_then(|i| i.task.as_ref()).map(|t| &t.stage);
                let ran = matches!(stage, Some(Stage::Sent { end, .. }) if *end <= written);
                let outcome = if ran { Outcome::Reset } else { Outcome::ConnectFailed };
                happened.push(Happened::Over(txn, outcome));
            }
        }
        relays.extend(link.uses.values().filter_map(|u| if let Use::Relay(r) = u { Some(*r) } else { None }));
        relays.sort_unstable();
        let Some(region) = self.map.get_mut(&link.region) else { return (happened, relays) };
        region.conns.retain(|conn| *conn != token);
        for outlet in &mut region.outlets {
            outlet.lanes.retain(|lane| lane.token != token);
        }
        if link.conn.peer_has_no_sasl() && !std::mem::replace(&mut region.no_sasl, true) {
            // Once more without SASL: what waits there goes on waiting.
            self.touch(link.region);
            return (happened, relays);
        }
        if region.conns.is_empty() {
            let Some(region) = self.map.remove(&link.region) else { return (happened, relays) };
            let (no_sasl, waiting) = (region.no_sasl, region.relays);
            for mut outlet in region.outlets {
                let queued = outlet.turns.drain().into_iter();
                happened.extend(queued.map(|txn| Happened::Over(txn, Outcome::ConnectFailed)));
            }
            happened.extend(waiting.into_iter().map(|(relay, _)| Happened::NoRelay(relay)));
            if no_sasl {
                self.map.insert(link.region, Region { no_sasl, ..Region::default() });
            }
        }
        (happened, relays)
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

    /// A connection that serves nothing and whose region gets nothing new.
    pub fn is_done(&self, ctx: &Ctx, token: Token) -> bool {
        let Some(link) = self.links.get(&token) else { return false };
        let leaving = ctx.table.region(link.region).is_none_or(|region| !region.serving());
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
        ctx: &mut Ctx,
        config: &AmqpConfig,
        region: ServerId,
        name: &str,
        role: Role,
        attach: &Attach,
    ) -> Result<Option<(Token, LinkId)>, ()> {
        let conns = self.map.get(&region).map_or(Vec::new(), |at| at.conns.clone());
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
        if conns.len() < config.region_connections && self.dial(ctx, config, region) {
            return Ok(None);
        }
        Err(())
    }

    fn add_lane(
        &mut self,
        ctx: &mut Ctx,
        config: &AmqpConfig,
        region: ServerId,
        class: usize,
    ) -> Result<(), ()> {
        let count = self.map.get(&region).map_or(0, |at| at.outlets[class].lanes.len());
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
        let Some((token, link)) = self.place(ctx, config, region, &name, Role::Sender, &attach)? else {
            return Ok(());
        };
        if let Some(at) = self.links.get_mut(&token) {
            at.uses.insert(link, Use::Lane(class));
        }
        if let Some(at) = self.map.get_mut(&region) {
            at.outlets[class].lanes.push(Lane { token, link, current: None });
        }
        Ok(())
    }

    /// A lane's link is gone. What waits for it goes on waiting where there is another.
    pub fn lane_gone(&mut self, token: Token, link: LinkId, class: usize) -> Vec<Happened> {
        let Some(region) = self.of(token) else { return Vec::new() };
        let Some(at) = self.map.get_mut(&region) else { return Vec::new() };
        let outlet = &mut at.outlets[class];
        outlet.lanes.retain(|lane| (lane.token, lane.link) != (token, link));
        if !outlet.lanes.is_empty() {
            self.touch(region);
            return Vec::new();
        }
        let queued = outlet.turns.drain().into_iter();
        queued.map(|txn| Happened::Over(txn, Outcome::ConnectFailed)).collect()
    }

    /// A delivery was answered before it had gone whole: its lane is free again.
    pub fn free_lane(&mut self, region: ServerId, class: usize, txn: RequestId) {
        if let Some(at) = self.map.get_mut(&region) {
            for lane in at.outlets[class].lanes.iter_mut().filter(|lane| lane.current == Some(txn)) {
                lane.current = None;
            }
        }
        self.touch(region);
    }

    pub fn unqueue(&mut self, region: ServerId, class: usize, terminal: Token, txn: RequestId) {
        if let Some(at) = self.map.get_mut(&region) {
            at.outlets[class].turns.remove(terminal, txn);
        }
    }

    // ---- What goes out -------------------------------------------------------------------------------

    /// The end of a turn: everything that credit, windows and sockets take goes out.
    pub fn flush(&mut self, ctx: &mut Ctx, config: &AmqpConfig, items: &mut Items) -> Vec<Happened> {
        let mut happened = Vec::new();
        for region in std::mem::take(&mut self.dirty) {
            if let Some(at) = self.map.get_mut(&region) {
                at.dirty = false;
            }
            let full = self.pump(ctx, config, region, items, &mut happened);
            let conns = self.map.get(&region).map_or(Vec::new(), |at| at.conns.clone());
            let mut room = false;
            for token in conns {
                self.write(ctx, token);
                room |= ctx.net.unwritten(token) < AHEAD;
            }
            // Where the socket took it all at once, no notice will say that there is room again.
            if full && room {
                self.touch(region);
            }
        }
        happened
    }

    /// True where a connection took all that is written at one time, and there is more.
    fn pump(
        &mut self,
        ctx: &mut Ctx,
        config: &AmqpConfig,
        region: ServerId,
        items: &mut Items,
        happened: &mut Vec<Happened>,
    ) -> bool {
        self.attach_relays(ctx, config, region, happened);
        self.widen(ctx, config, region, happened);
        let classes = self.classes.len();
        let Some(at) = self.map.get_mut(&region).filter(|at| !at.outlets.is_empty()) else { return false };
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
                    match feed(ctx, config, scratch, region, turns, lane, conn, items) {
                        Fed::Still => {}
                        Fed::Full => full = true,
                        Fed::Moved => moved = true,
                        Fed::TooLarge(txn) => {
                            happened.push(Happened::Over(txn, Outcome::Full));
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
            self.widen(ctx, config, region, happened);
        }
        full
    }

    /// Opens a lane for each class that has something waiting and no lane that could take it: the first,
    /// or another where long messages hold all there are.
    fn widen(&mut self, ctx: &mut Ctx, config: &AmqpConfig, region: ServerId, happened: &mut Vec<Happened>) {
        for class in 0..self.map.get(&region).map_or(0, |at| at.outlets.len()) {
            let Some(outlet) = self.map.get(&region).map(|at| &at.outlets[class]) else { return };
            let held = outlet.lanes.iter().all(|lane| lane.current.is_some());
            if outlet.turns.is_empty() || !held || outlet.lanes.len() >= config.region_lanes {
                continue;
            }
            let first = outlet.lanes.is_empty();
            if self.add_lane(ctx, config, region, class).is_err() && first {
                if let Some(at) = self.map.get_mut(&region) {
                    let queued = at.outlets[class].turns.drain().into_iter();
                    happened.extend(queued.map(|txn| Happened::Over(txn, Outcome::ConnectFailed)));
                }
            }
        }
    }

    fn attach_relays(
        &mut self,
        ctx: &mut Ctx,
        config: &AmqpConfig,
        region: ServerId,
        happened: &mut Vec<Happened>,
    ) {
        let waiting = self.map.get_mut(&region).map_or(Vec::new(), |at| std::mem::take(&mut at.relays));
        for (relay, attach) in waiting {
            let name = format!("{}/{relay}", self.container);
            match self.place(ctx, config, region, &name, Role::Receiver, &attach) {
                Ok(Some((token, link))) => {
                    if let Some(at) = self.links.get_mut(&token) {
                        at.uses.insert(link, Use::Relay(relay));
                    }
                }
                Ok(None) => {
                    if let Some(at) = self.map.get_mut(&region) {
                        at.relays.push((relay, attach));
                    }
                }
                Err(()) => happened.push(Happened::NoRelay(relay)),
            }
        }
    }

    /// A relay that does not stand is given up: its link, if it was asked for, is detached. True where
    /// nothing had gone out.
    pub fn drop_relay(&mut self, region: ServerId, relay: u64) -> bool {
        if self.forget_relay(region, relay) {
            return true;
        }
        for token in self.map.get(&region).map_or(Vec::new(), |at| at.conns.clone()) {
            let Some(link) = self.links.get_mut(&token) else { continue };
            let asked = link.uses.iter().find(|(_, kind)| **kind == Use::Relay(relay)).map(|(at, _)| *at);
            if let Some(at) = asked {
                link.uses.remove(&at);
                link.conn.detach(at, true, None);
                self.touch(region);
            }
        }
        false
    }

    /// A relay that waits for a session waits no more. False where its attach has gone out.
    fn forget_relay(&mut self, region: ServerId, relay: u64) -> bool {
        let Some(at) = self.map.get_mut(&region) else { return false };
        let before = at.relays.len();
        at.relays.retain(|(waiting, _)| *waiting != relay);
        at.relays.len() < before
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
    /// This delivery is larger than the region takes.
    TooLarge(RequestId),
}

/// The delivery that is on a lane, or the next whose turn it is.
fn next(turns: &mut Turns, lane: &Lane, conn: &mut Connection) -> Option<RequestId> {
    if lane.current.is_some() {
        return lane.current;
    }
    let txn = if conn.can_send(lane.link) { turns.pop() } else { None };
    if turns.is_empty() && txn.is_none() {
        conn.drained(lane.link);
    }
    txn
}

/// Sends one chunk on a lane.
#[allow(clippy::too_many_arguments)]
fn feed(
    ctx: &mut Ctx,
    config: &AmqpConfig,
    scratch: &mut Vec<u8>,
    region: ServerId,
    turns: &mut Turns,
    lane: &mut Lane,
    conn: &mut Connection,
    items: &mut Items,
) -> Fed {
    let room = AHEAD.saturating_sub(ctx.net.unwritten(lane.token));
    if conn.pending() >= room {
        return if lane.current.is_some() || !turns.is_empty() { Fed::Full } else { Fed::Still };
    }
    let room = room.min(conn.pending() + CHUNK);
    let Some(txn) = next(turns, lane, conn) else { return Fed::Still };
    let (token, link) = (lane.token, lane.link);
    lane.current = None;
    let Some(item) = items.get_mut(txn) else { return Fed::Moved };
    let Some(task) = item.task.as_mut().filter(|task| task.region == region) else { return Fed::Moved };
    let delivery = Outgoing { key: txn.0, tag: txn.0.into(), settled: false };
    let (sent, id, at) = match task.stage {
        Stage::Sent { .. } => return Fed::Moved,
        Stage::Queued => {
            if conn.most_message(link).is_some_and(|most| item.bytes.len() as u64 > most) {
                return Fed::TooLarge(txn);
            }
            let ttl = task.until.saturating_sub(ctx.now) / 1_000_000;
            scratch.clear();
            item.head.encode(&item.bytes, (ttl as u32).max(1), scratch);
            let (prefix, rest) = (scratch.len(), item.head.rest());
            scratch.extend_from_slice(&item.bytes[rest..]);
            let id = conn.next_delivery(link.channel);
            let sent = conn.send(link, delivery, scratch, item.whole, room);
            if !sent.begun {
                turns.push(item.terminal, txn);
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
        let end = ctx.net.position(token) + conn.pending() as u64;
        task.stage = Stage::Sent { token, link, id, end };
        return Fed::Moved;
    }
    task.stage = Stage::Sending { token, link, id, at };
    lane.current = Some(txn);
    items.let_go(txn, config.keep);
    if sent.taken > 0 {
        Fed::Moved
    } else {
        Fed::Still
    }
}
