//! The talk between nodes about the fleet's budgets (`serve --fleet`): asks to the grantor, answers from it.
//!
//! Frames over TCP on an address of its own: four octets of length, one of version, a message in postcard. No
//! sign-in and no TLS: the address belongs on a network of the nodes' own. What comes is bounded in length and
//! number; whatever cannot be read ends its connection and changes nothing.

use crate::net::{SocketEvent, SocketEventKind, SocketOwner, SocketReactor, Token};
use crate::quota::QuotaAdmission;
use crate::vocabulary::Nanos;
use serde::{Deserialize, Serialize};
use sparbank_quota::{Answer, Ask, Batch, Book, Granter, HolderId, Plan};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;

/// How often asks are sent and written: the finest step of all times here.
pub const TURN: Nanos = 50_000_000;
const VERSION: u8 = 1;
/// A message takes no more than this, and so much for each budget: two numbers of ten octets at most.
const MOST_HEAD: usize = 64;
const MOST_BUDGET: usize = 20;
/// A frame that is not whole after this ends its connection.
const WHOLE_WITHIN: Nanos = 2_500_000_000;
/// No faster than this is a link tried again.
const DIAL_EVERY: Nanos = 250_000_000;

#[derive(Deserialize, Serialize)]
enum Message {
    Ask(Ask),
    Answer(Answer),
}

/// What a grantor has beside its parts.
struct Grants {
    granter: Granter,
    /// It may know nothing of leases that it gave in an earlier start: until all of them are surely over it
    /// grants nothing.
    from: Nanos,
    /// Since the last turn, the newest of each holder that fits the plan: no more than the book keeps apart.
    asks: BTreeMap<HolderId, (Option<Token>, Ask)>,
}

/// One node's end of the talk.
pub struct LeaseTransport {
    grantor: SocketAddr,
    link: Option<Token>,
    dialed_at: Nanos,
    /// Who calls here, and since when a part of a frame is there.
    callers: HashMap<Token, Option<Nanos>>,
    most_frame: usize,
    grants: Option<Grants>,
    counts: Counts,
    leased: bool,
}

/// What the talk came to so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub asks: u64,
    pub answers: u64,
    /// Frames that could not be read.
    pub unread: u64,
    /// Asks that were written here, and parts that came back here with their leases over.
    pub written: u64,
    pub freed: u64,
}

impl Grants {
    fn take(&mut self, token: Option<Token>, ask: Ask) {
        let most = Book::MOST_STARTS * self.granter.book().plan().seats.len();
        let older = self.asks.get(&ask.holder).is_none_or(|(_, known)| known.number < ask.number);
        if older && (self.asks.len() < most || self.asks.contains_key(&ask.holder)) {
            self.asks.insert(ask.holder, (token, ask));
        }
    }
}

impl LeaseTransport {
    /// Listens at this seat's address, which makes the seat this process's own; grants, if it is the grantor's.
    pub fn open(net: &mut SocketReactor, plan: &Plan, seat: usize, now: Nanos) -> io::Result<LeaseTransport> {
        let at = plan.seats[seat].address;
        let grantor = plan.seats.iter().find(|s| plan.grantors.contains(&s.name)).map_or(at, |s| s.address);
        let grants = (grantor == at).then(|| Grants {
            granter: Granter::new(Book::new(plan.clone()), now),
            from: now + plan.cleared(),
            asks: BTreeMap::new(),
        });
        // Nobody has a reason to call others than the grantor.
        net.listen_with_reserve(at, SocketOwner::Quota, if grants.is_some() { plan.seats.len() } else { 1 })?;
        let most_frame = MOST_HEAD + MOST_BUDGET * plan.budgets.len();
        let (callers, counts) = (HashMap::new(), Counts::default());
        Ok(LeaseTransport {
            grantor,
            link: None,
            dialed_at: 0,
            callers,
            most_frame,
            grants,
            counts,
            leased: false,
        })
    }

    /// How long this node waits before it grants, where it is a grantor.
    pub fn grants_in(&self, now: Nanos) -> Option<Nanos> {
        self.grants.as_ref().map(|g| g.from.saturating_sub(now))
    }

    /// What the talk came to so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Something happened at one of its sockets.
    pub fn notice(
        &mut self,
        now: Nanos,
        net: &mut SocketReactor,
        quotas: &mut QuotaAdmission,
        notice: SocketEvent,
    ) {
        let token = notice.token;
        match notice.kind {
            SocketEventKind::Accepted => {
                net.set_read_limit(token, 4 + self.most_frame);
                self.callers.insert(token, None);
            }
            SocketEventKind::Evicted => self.forget(token),
            SocketEventKind::Failed { .. } | SocketEventKind::HandshakeTimeout => self.end(net, token),
            SocketEventKind::Readable | SocketEventKind::OutputFlushed => self.read(now, net, quotas, token),
        }
    }

    fn forget(&mut self, token: Token) {
        self.callers.remove(&token);
        self.link = self.link.filter(|link| *link != token);
    }

    fn end(&mut self, net: &mut SocketReactor, token: Token) {
        self.forget(token);
        net.close(token);
    }

    fn read(&mut self, now: Nanos, net: &mut SocketReactor, quotas: &mut QuotaAdmission, token: Token) {
        let at_end = net.is_read_closed(token);
        let mut messages = Vec::new();
        let Some(input) = net.input_buffer(token) else { return };
        let whole = loop {
            match frame(input, self.most_frame) {
                Ok(Some(message)) => messages.push(message),
                Ok(None) => break true,
                Err(Unread) => break false,
            }
        };
        let rest = !input.is_empty();
        if let Some(since) = self.callers.get_mut(&token) {
            *since = rest.then_some(since.filter(|_| messages.is_empty()).unwrap_or(now));
        }
        for message in messages {
            self.heard(now, quotas, token, message);
        }
        self.counts.unread += u64::from(!whole);
        if at_end || !whole {
            self.end(net, token);
        } else {
            net.update_interest(token);
        }
    }

    fn heard(&mut self, now: Nanos, quotas: &mut QuotaAdmission, token: Token, message: Message) {
        match (message, &mut self.grants) {
            (Message::Ask(ask), Some(grants)) if grants.granter.book().fits(&ask) => {
                grants.take(Some(token), ask)
            }
            (Message::Answer(answer), _) if self.link == Some(token) => {
                self.counts.answers += u64::from(quotas.answered(now, &answer));
            }
            _ => self.counts.unread += 1,
        }
    }

    /// The next turn: this node's ask if it is due, and what a grantor writes. Gives a line for the people on call.
    pub fn turn(
        &mut self,
        now: Nanos,
        net: &mut SocketReactor,
        quotas: &mut QuotaAdmission,
    ) -> Option<&'static str> {
        if let Some(ask) = quotas.ask(now) {
            self.counts.asks += 1;
            match &mut self.grants {
                Some(grants) => grants.take(None, ask),
                None => self.send(now, net, &Message::Ask(ask)),
            }
        }
        let slow = |(token, since): (&Token, &Option<Nanos>)| {
            since.is_some_and(|since| now.saturating_sub(since) >= WHOLE_WITHIN).then_some(*token)
        };
        for token in self.callers.iter().filter_map(slow).collect::<Vec<_>>() {
            self.counts.unread += 1;
            self.end(net, token);
        }
        self.write(now, net, quotas);
        let leased = quotas.lease_left(now) > 0;
        match (std::mem::replace(&mut self.leased, leased), leased) {
            (false, true) => Some("budgets-leased"),
            (true, false) => {
                Some("budgets-on-floors the grantor gives no answer: this node lives on its floors")
            }
            _ => None,
        }
    }

    fn write(&mut self, now: Nanos, net: &mut SocketReactor, quotas: &mut QuotaAdmission) {
        let Some(grants) = &mut self.grants else { return };
        let taken = std::mem::take(&mut grants.asks);
        if now < grants.from {
            return;
        }
        let frees = grants.granter.due(now);
        if frees.is_empty() && taken.is_empty() {
            return;
        }
        self.counts.freed += frees.len() as u64;
        self.counts.written += taken.len() as u64;
        let from: HashMap<HolderId, Option<Token>> =
            taken.iter().map(|(id, (token, _))| (*id, *token)).collect();
        let asks = taken.into_values().map(|(_, ask)| ask).collect();
        for answer in grants.granter.write(now, &Batch { frees, asks }) {
            match from.get(&answer.holder) {
                Some(Some(token)) if self.callers.contains_key(token) => {
                    send(net, *token, &Message::Answer(answer));
                }
                Some(None) => self.counts.answers += u64::from(quotas.answered(now, &answer)),
                _ => {}
            }
        }
    }

    fn send(&mut self, now: Nanos, net: &mut SocketReactor, message: &Message) {
        // What a link does not take is no use later: it is dialed anew.
        if let Some(link) = self.link.filter(|link| net.pending_output_bytes(*link) > 4 + self.most_frame) {
            self.end(net, link);
        }
        if self.link.is_none() && now.saturating_sub(self.dialed_at) >= DIAL_EVERY {
            self.dialed_at = now;
            self.link = net.connect(self.grantor, SocketOwner::Quota).ok();
            if let Some(link) = self.link {
                net.set_read_limit(link, 4 + self.most_frame);
            }
        }
        if let Some(link) = self.link {
            send(net, link, message);
        }
    }
}

fn send(net: &mut SocketReactor, token: Token, message: &Message) {
    let Ok(body) = postcard::to_stdvec(message) else { return };
    let mut frame = ((body.len() + 1) as u32).to_be_bytes().to_vec();
    frame.push(VERSION);
    frame.extend(body);
    net.send(token, &frame);
}

/// A frame that is no message of ours, or longer than any.
#[derive(Debug, PartialEq)]
struct Unread;

/// Takes one whole frame off the input; None while there is none yet.
fn frame(input: &mut Vec<u8>, most: usize) -> Result<Option<Message>, Unread> {
    let Some(head) = input.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if !(1..=most).contains(&length) {
        return Err(Unread);
    }
    let Some(body) = input.get(4..4 + length) else { return Ok(None) };
    let message = match body.split_first() {
        Some((&VERSION, body)) => postcard::from_bytes(body).map_err(|_| Unread)?,
        _ => return Err(Unread),
    };
    input.drain(..4 + length);
    Ok(Some(message))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn frames_are_whole_bounded_and_of_this_version() {
        let holder = sparbank_quota::HolderId { seat: 1, start: 2 };
        let (number, layout, keep, want, leaves) = (3, 4, vec![5, 6], vec![7, 8], false);
        let ask = Ask { holder, number, layout, keep, want, leaves };
        let body = postcard::to_stdvec(&Message::Ask(ask.clone())).expect("it is written");
        let mut bytes = ((body.len() + 1) as u32).to_be_bytes().to_vec();
        bytes.push(VERSION);
        bytes.extend(&body);
        for most in 0..bytes.len() {
            assert!(matches!(frame(&mut bytes[..most].to_vec(), 99), Ok(None)), "{most}");
        }
        let mut two = [bytes.clone(), bytes.clone()].concat();
        for _ in 0..2 {
            assert!(matches!(frame(&mut two, 99), Ok(Some(Message::Ask(came))) if came == ask));
        }
        assert!(two.is_empty());
        assert!(frame(&mut bytes.clone(), body.len()).is_err(), "longer than any of the plan");
        let most = vec![u64::MAX; 7];
        let holder = sparbank_quota::HolderId { seat: u16::MAX, start: u64::MAX };
        let (number, layout) = (u64::MAX, u64::MAX);
        let longest = Ask { holder, number, layout, keep: most.clone(), want: most, leaves: true };
        let longest = postcard::to_stdvec(&Message::Ask(longest)).expect("it is written");
        assert!(longest.len() < MOST_HEAD + 7 * MOST_BUDGET, "{}", longest.len());
        let mut other = bytes.clone();
        other[4] = VERSION + 1;
        assert!(frame(&mut other, 99).is_err());
        assert!(frame(&mut vec![0xff; 8], 99).is_err());
        assert!(frame(&mut vec![0, 0, 0, 2, VERSION, 99], 99).is_err());
    }
}
