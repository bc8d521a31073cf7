//! Deliveries that go out.

use super::*;

impl Connection {
    /// Sends a part of a delivery on a link: as much as the session's window and `room` octets of output
    /// allow. The first call begins the delivery, which takes a credit.
    /// `last` says that nothing follows this payload.
    pub fn send(
        &mut self,
        link: LinkId,
        delivery: Outgoing,
        mut payload: &[u8],
        last: bool,
        room: usize,
    ) -> Sent {
        let Outgoing { key, tag, settled } = delivery;
        let mut sent = Sent::default();
        let most = self.peer_max_frame as usize;
        self.flush_batch();
        while (last || !payload.is_empty()) && self.out.len() < room && self.stage == Stage::Open {
            let Some(session) = self.session_mut(link.channel) else { break };
            let next = session.next_delivery;
            let window = session.remote_window;
            let Some(at) = session.link_mut(link.handle).filter(|l| l.phase == LinkPhase::Attached) else {
                break;
            };
            if window == 0 || at.abort.is_some() || (at.sending.is_none() && at.credit == 0) {
                break;
            }
            let first = at.sending.is_none();
            let id = at.sending.unwrap_or(next);
            if first {
                at.credit -= 1;
                at.delivery_count = at.delivery_count.wrapping_add(1);
                at.sending = Some(id);
            }
            session.remote_window -= 1;
            session.next_outgoing = session.next_outgoing.wrapping_add(1);
            if first {
                session.next_delivery = next.wrapping_add(1);
            }
            let start = self.out.len();
            let fits = most.saturating_sub(TRANSFER_ROOM).min(payload.len());
            let more = !(last && fits == payload.len());
            let write = |out: &mut Vec<u8>| write_transfer(out, link.handle, first, id, &tag, settled, more);
            put_raw(&mut self.out, AMQP, link.channel, write, &payload[..fits]);
            debug_assert!(self.out.len() - start <= most);
            payload = &payload[fits..];
            sent.taken += fits;
            sent.begun = true;
            if first && !settled {
                self.hold(link, false, id, key);
            }
            if !more {
                sent.done = true;
                if let Some(at) = self.link_mut(link) {
                    at.sending = None;
                }
                break;
            }
        }
        sent
    }

    /// Whether a link could begin a delivery now.
    pub fn can_send(&self, link: LinkId) -> bool {
        let room = self.room(link.channel) > 0;
        room && self.link(link).is_some_and(|l| {
            l.phase == LinkPhase::Attached && l.credit > 0 && l.sending.is_none() && l.abort.is_none()
        })
    }

    /// Whether a delivery on this link has begun and not gone whole.
    pub fn is_sending(&self, link: LinkId) -> bool {
        self.link(link).is_some_and(|l| l.sending.is_some())
    }

    /// Calls off the delivery that has begun on a link and not gone whole. An aborted delivery is settled
    /// (2.7.5): its end is not reported.
    pub fn abort(&mut self, link: LinkId) {
        let Some(id) = self.link_mut(link).and_then(|l| l.sending.take()) else { return };
        self.release(link.channel, false, id);
        if let Some(at) = self.link_mut(link) {
            at.abort = Some(id);
        }
        self.send_aborts(link.channel);
    }

    /// Settles a delivery that went out whole: its end is of no interest any more.
    pub fn forget(&mut self, link: LinkId, id: u32) {
        if self.release(link.channel, false, id).is_some() {
            self.dispose(link.channel, Role::Sender, id, true, None);
        }
    }

    /// The number of the delivery that goes by this key on a link, if it is not settled. It looks at all.
    pub fn delivery(&self, link: LinkId, key: u64) -> Option<u32> {
        let session = self.session(link.channel)?;
        session.outgoing.iter().find(|(_, h)| h.handle == link.handle && h.key == key).map(|(id, _)| *id)
    }

    /// The number that the next delivery on a session will have.
    pub fn next_delivery(&self, channel: u16) -> u32 {
        self.session(channel).map_or(0, |s| s.next_delivery)
    }

    pub(super) fn send_aborts(&mut self, channel: u16) {
        let Some(session) = self.session_mut(channel) else { return };
        let mut frames = Vec::new();
        let (links, window) = (&mut session.links, &mut session.remote_window);
        for (handle, link) in links.iter_mut().enumerate() {
            let Some(link) = link.as_mut().filter(|l| l.abort.is_some()) else { continue };
            if *window == 0 {
                break;
            }
            *window -= 1;
            session.next_outgoing = session.next_outgoing.wrapping_add(1);
            frames.push((handle as u32, link.abort.take()));
        }
        for (handle, id) in frames {
            let (handle, aborted) = (Some(handle), Some(true));
            self.put(channel, Transfer { handle, delivery_id: id, aborted, ..Transfer::default() });
        }
    }

    /// A sender that is asked to drain has nothing more to send: it gives its credit back (2.6.7).
    pub fn drained(&mut self, link: LinkId) {
        let Some(at) = self.link_mut(link).filter(|l| l.role == Role::Sender && l.drain) else { return };
        at.delivery_count = at.delivery_count.wrapping_add(at.credit);
        at.credit = 0;
        self.tell_flow(link);
        if let Some(at) = self.link_mut(link) {
            at.drain = false;
        }
    }
}

/// A transfer's own octets and its frame's header never take more than this.
const TRANSFER_ROOM: usize = 8 + 3 + 3 + 5 + 5 + 34 + 5 + 1 + 1;

/// A transfer written field by field: most frames that go out are transfers.
fn write_transfer(
    out: &mut Vec<u8>,
    handle: u32,
    first: bool,
    id: u32,
    tag: &Tag,
    settled: bool,
    more: bool,
) {
    out.extend_from_slice(&[0x00, 0x53, 0x14, 0xc0, 0, 0]);
    let start = out.len();
    put_u32(out, handle);
    let mut count = 1;
    if first {
        put_u32(out, id);
        put_variable(out, 0xa0, tag.as_bytes());
        out.push(0x43);
        count = 4;
    } else if settled || more {
        out.extend_from_slice(&[0x40, 0x40, 0x40]);
        count = 4;
    }
    if settled || more {
        out.extend_from_slice(&[if settled { 0x41 } else { 0x42 }, if more { 0x41 } else { 0x42 }]);
        count = 6;
    }
    let size = out.len() - start + 1;
    out[start - 2] = size as u8;
    out[start - 1] = count;
    debug_assert!(size < 256);
}
