//! The clients' connections and links: the table, credit, and what is written to them.

use super::access::Who;
use super::config::AmqpConfig;
use super::items::Map;
use super::recovery::Key;
use crate::front::tls::TlsConnection;
use crate::front::FrontContext;
use crate::net::{Token, OUTPUT_HIGH_WATERMARK_BYTES};
use crate::vocabulary::{Nanos, RequestId};
use sparbank_amqp::{Connection, LinkId, Tag};
use std::collections::HashSet;
use std::net::IpAddr;
use std::rc::Rc;

/// A client's connection.
pub struct Client {
    pub conn: Connection,
    pub links: Map<LinkId, Use>,
    /// Requests of its that are open.
    pub live: usize,
    pub who: Rc<Who>,
    ip: Option<IpAddr>,
    /// Its transport's encryption, and what came in the clear and was not taken.
    pub tls: Option<TlsConnection>,
    pub clear: Vec<u8>,
    /// There may be something to write.
    dirty: bool,
    /// Requests whose link is going, until it is known whether it may come again.
    pub dropped: Vec<RequestId>,
    /// A forwarder has more for it than is written at one time.
    pub stalled: bool,
    /// A wrong password is answered at this time, not before.
    pub refuse_at: Option<Nanos>,
}

/// What a client's link is for.
pub enum Use {
    /// Its deliveries are requests.
    Intake(Intake),
    /// A forwarder's deliveries go out on it: a standing connection, or a node for replies.
    Forwarder(u64),
}

/// A link on which deliveries come in.
pub struct Intake {
    /// The class that its target names; none at the anonymous terminus.
    pub class: Option<usize>,
    /// What it goes by, on whichever connection it comes.
    pub key: Rc<Key>,
    /// What became of its deliveries is remembered.
    pub remembered: bool,
    /// Deliveries that the peer asked about when it attached, and of which nothing is known any more.
    pub unknown: HashSet<Tag>,
    /// The delivery whose last part has not come.
    pub partial: Partial,
}

/// A delivery that comes in parts.
#[derive(Default)]
pub enum Partial {
    #[default]
    None,
    /// Its head has not come whole.
    Gathering(Vec<u8>),
    /// It is a request.
    Running(RequestId),
    /// It was answered before its end.
    Ignored,
}

/// The table.
#[derive(Default)]
pub struct Clients {
    map: Map<Token, Box<Client>>,
    by_ip: Map<IpAddr, usize>,
    /// Links that take credit, by subscriber.
    links: Map<String, u32>,
    dirty: Vec<Token>,
    /// Not read on while messages take too much room.
    paused: Vec<Token>,
}

impl Clients {
    /// Takes a connection in. False where its address holds as many as it may.
    pub fn insert(
        &mut self,
        token: Token,
        conn: Connection,
        tls: Option<TlsConnection>,
        ip: Option<IpAddr>,
        most: usize,
    ) -> bool {
        if let Some(ip) = ip {
            let count = self.by_ip.entry(ip).or_default();
            if *count >= most {
                return false;
            }
            *count += 1;
        }
        let (links, who) = (Map::default(), Rc::new(Who::default()));
        let (dirty, stalled, refuse_at) = (false, false, None);
        let (dropped, clear) = (Vec::new(), Vec::new());
        let client = Client { conn, links, live: 0, who, ip, tls, clear, dirty, dropped, stalled, refuse_at };
        self.map.insert(token, Box::new(client));
        true
    }

    pub fn remove(&mut self, token: Token) -> Option<Box<Client>> {
        let client = self.map.remove(&token)?;
        if let Some(count) = client.ip.and_then(|ip| self.by_ip.get_mut(&ip)) {
            *count -= 1;
            if *count == 0 {
                client.ip.map(|ip| self.by_ip.remove(&ip));
            }
        }
        let intakes = client.links.values().filter(|l| matches!(l, Use::Intake(_))).count() as u32;
        self.count_links(client.who.subscriber(), -i64::from(intakes));
        Some(client)
    }

    pub fn get(&mut self, token: Token) -> Option<&mut Client> {
        self.map.get_mut(&token).map(|client| &mut **client)
    }

    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    pub fn len(&self) -> usize {
        self.map.len()
    }

    pub fn tokens(&self) -> Vec<Token> {
        let mut tokens: Vec<Token> = self.map.keys().copied().collect();
        tokens.sort_unstable();
        tokens
    }

    fn count_links(&mut self, subscriber: &str, change: i64) {
        if change == 0 {
            return;
        }
        let count = self.links.entry(subscriber.to_string()).or_default();
        *count = (i64::from(*count) + change).max(0) as u32;
        if *count == 0 {
            self.links.remove(subscriber);
        }
    }

    /// A link for deliveries is attached.
    pub fn add_intake(&mut self, token: Token, link: LinkId, intake: Intake) {
        let Some(client) = self.map.get_mut(&token) else { return };
        client.links.insert(link, Use::Intake(intake));
        let who = client.who.clone();
        self.count_links(who.subscriber(), 1);
    }

    /// A link is gone: what it was for.
    pub fn remove_link(&mut self, token: Token, link: LinkId) -> Option<Use> {
        let client = self.map.get_mut(&token)?;
        let gone = client.links.remove(&link)?;
        let who = client.who.clone();
        if matches!(gone, Use::Intake(_)) {
            self.count_links(who.subscriber(), -1);
        }
        Some(gone)
    }

    /// There may be something to write to this client.
    pub fn touch(&mut self, token: Token) {
        if let Some(client) = self.map.get_mut(&token).filter(|t| !t.dirty) {
            client.dirty = true;
            self.dirty.push(token);
        }
    }

    /// Whether there may be something to write, or to read after a pause.
    pub fn is_dirty(&self) -> bool {
        !self.dirty.is_empty()
    }

    pub fn take_dirty(&mut self) -> Vec<Token> {
        let dirty = std::mem::take(&mut self.dirty);
        for token in &dirty {
            if let Some(client) = self.map.get_mut(token) {
                client.dirty = false;
            }
        }
        dirty
    }

    /// This client is not read on until there is room again.
    pub fn pause(&mut self, token: Token) {
        if !self.paused.contains(&token) {
            self.paused.push(token);
        }
    }

    pub fn take_paused(&mut self) -> Vec<Token> {
        std::mem::take(&mut self.paused)
    }

    /// Gives a link fresh credit, once less than half of what it should have is left. What it should have
    /// is the subscriber's credit over its links, and shrinks with the octets that are held: half full it
    /// starts to, and at nine tenths there is none.
    pub fn grant(&mut self, token: Token, link: LinkId, config: &AmqpConfig, held: usize) {
        let Some(client) = self.map.get_mut(&token) else { return };
        let links = self.links.get(client.who.subscriber()).copied().unwrap_or(1).max(1);
        let fair = (config.subscriber_credit / links).clamp(1, config.credit);
        let credit = shrunk(fair, held, config.max_held);
        let now = client.conn.credit(link);
        if credit > now && now <= credit / 2 {
            client.conn.grant(link, credit);
            self.touch(token);
        }
    }

    /// No link gets any more credit, and what it had is taken back.
    pub fn stop_credit(&mut self, token: Token) {
        let Some(client) = self.map.get_mut(&token) else { return };
        for (link, kind) in &client.links {
            if matches!(kind, Use::Intake(_)) {
                client.conn.grant(*link, 0);
            }
        }
        self.touch(token);
    }

    /// Whether forwarders had more for a client than was written at one time, and there is room again. Where
    /// the socket took it all at once, no notice says so.
    pub fn takes_more(&mut self, ctx: &FrontContext, token: Token) -> bool {
        let Some(client) = self.map.get_mut(&token) else { return false };
        let more = client.stalled && ctx.net.pending_output_bytes(token) < OUTPUT_HIGH_WATERMARK_BYTES;
        client.stalled &= !more;
        more
    }

    /// Writes what there is. False where the connection is over with it.
    pub fn flush(&mut self, ctx: &mut FrontContext, token: Token) -> bool {
        let Some(client) = self.map.get_mut(&token) else { return true };
        client.say(ctx, token);
        !client.conn.is_closed()
    }
}

impl Client {
    /// Sends what there is to say.
    pub fn say(&mut self, ctx: &mut FrontContext, token: Token) {
        let mut out = self.conn.take_out(ctx.now);
        if let Some(tls) = &mut self.tls {
            let mut wire = Vec::new();
            tls.encrypt(&out, &mut wire);
            out = wire;
        }
        if !out.is_empty() {
            ctx.net.send(token, &out);
        }
    }
}

/// A credit at this fill.
fn shrunk(credit: u32, held: usize, most: usize) -> u32 {
    let (half, full) = (most / 2, most / 10 * 9);
    if held <= half {
        return credit;
    }
    let left = full.saturating_sub(held) as u64;
    let room = full.saturating_sub(half).max(1) as u64;
    (u64::from(credit) * left / room) as u32
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn credit_shrinks_with_what_is_held() {
        let credits: Vec<u32> =
            [0, 500, 600, 700, 899, 900, 5000].iter().map(|held| shrunk(64, *held, 1000)).collect();
        assert_eq!(credits, [64, 64, 48, 32, 0, 0, 0]);
    }
}
