//! Sending deliveries (2.6.14) and using credit (2.6.7).

use super::dispositions::OutgoingDisposition;
use super::{Connection, LinkId, OutgoingDelivery, Stage};
use crate::codec::{format_code, put_u32, put_variable};
use crate::frame::{write_frame_with, AMQP};
use crate::link::{Phase as LinkPhase, Role};
use crate::performative::Transfer;
use crate::primitives::Tag;
use crate::session::{Direction, SendResult};

/// The fields of a transfer to be sent.
struct TransferFields {
    handle: u32,
    /// Whether it is the first transfer of its delivery.
    is_first: bool,
    delivery_id: u32,
    tag: Tag,
    settled: bool,
    more: bool,
}

impl Connection {
    /// Sends part of a delivery on a link, as far as the session's window allows and until `capacity` octets of
    /// output are pending. The first call starts the delivery, which uses one credit. `last` marks the end of the
    /// payload.
    pub fn send(
        &mut self,
        link_id: LinkId,
        delivery: OutgoingDelivery,
        mut payload: &[u8],
        last: bool,
        capacity: usize,
    ) -> SendResult {
        let mut sent = SendResult::default();
        self.flush_dispositions();
        let max_payload = (self.remote_max_frame_size as usize).saturating_sub(MAX_TRANSFER_OVERHEAD_BYTES);
        while (last || !payload.is_empty()) && self.output.len() < capacity && self.stage == Stage::Open {
            let size = max_payload.min(payload.len());
            let more = !(last && size == payload.len());
            let Some(transfer) = self.start_transfer(link_id, &delivery, more) else { break };
            let start = self.output.len();
            let write = |out: &mut Vec<u8>| transfer.write(out);
            write_frame_with(&mut self.output, AMQP, link_id.channel, write, &payload[..size]);
            debug_assert!(self.output.len() - start <= self.remote_max_frame_size as usize);
            payload = &payload[size..];
            sent.octets += size;
            sent.started = true;
            if transfer.is_first && !delivery.settled {
                let id = transfer.delivery_id;
                self.track_unsettled(link_id, Direction::Outgoing, id, delivery.key);
            }
            if !more {
                sent.complete = true;
                if let Some(link) = self.link_mut(link_id) {
                    link.incomplete_outgoing = None;
                }
                break;
            }
        }
        sent
    }

    /// Counts a transfer against the session's window and, if it starts a delivery, against the link credit. Returns
    /// `None` if the link cannot send now.
    fn start_transfer(
        &mut self,
        link_id: LinkId,
        delivery: &OutgoingDelivery,
        more: bool,
    ) -> Option<TransferFields> {
        let session = self.session_mut(link_id.channel)?;
        let next_delivery_id = session.next_delivery_id;
        let is_window_closed = session.remote_window == 0;
        let link = session.link_mut(link_id.handle).filter(|link| link.phase == LinkPhase::Attached)?;
        let is_first = link.incomplete_outgoing.is_none();
        if is_window_closed || link.pending_abort.is_some() || (is_first && link.credit == 0) {
            return None;
        }
        let delivery_id = link.incomplete_outgoing.unwrap_or(next_delivery_id);
        if is_first {
            link.credit -= 1;
            link.delivery_count = link.delivery_count.wrapping_add(1);
            link.incomplete_outgoing = Some(delivery_id);
        }
        session.remote_window -= 1;
        session.next_outgoing_id = session.next_outgoing_id.wrapping_add(1);
        if is_first {
            session.next_delivery_id = next_delivery_id.wrapping_add(1);
        }
        let OutgoingDelivery { tag, settled, .. } = *delivery;
        Some(TransferFields { handle: link_id.handle, is_first, delivery_id, tag, settled, more })
    }

    /// Whether a delivery can be started on the link now.
    pub fn can_send(&self, link: LinkId) -> bool {
        let can_start = self.link(link).is_some_and(|link| {
            let is_attached = link.phase == LinkPhase::Attached;
            is_attached
                && link.credit > 0
                && link.incomplete_outgoing.is_none()
                && link.pending_abort.is_none()
        });
        can_start && self.remote_window(link.channel) > 0
    }

    /// Whether a delivery on the link was started and not sent completely.
    pub fn is_sending(&self, link: LinkId) -> bool {
        self.link(link).is_some_and(|link| link.incomplete_outgoing.is_some())
    }

    /// Aborts the incomplete delivery on a link, if any. An aborted delivery is settled (2.7.5), so no event reports
    /// it.
    pub fn abort(&mut self, link_id: LinkId) {
        let Some(id) = self.link_mut(link_id).and_then(|link| link.incomplete_outgoing.take()) else {
            return;
        };
        self.remove_unsettled(link_id.channel, Direction::Outgoing, id);
        if let Some(link) = self.link_mut(link_id) {
            link.pending_abort = Some(id);
        }
        self.send_pending_aborts(link_id.channel);
    }

    /// Settles a delivery that was sent completely. Its outcome is no longer reported.
    pub fn settle_outgoing(&mut self, link: LinkId, id: u32) {
        if self.remove_unsettled(link.channel, Direction::Outgoing, id).is_some() {
            let disposition = OutgoingDisposition { role: Role::Sender, id, settled: true, state: None };
            self.send_disposition(link.channel, disposition);
        }
    }

    /// The delivery id of the unsettled delivery with the given key on a link. Takes linear time in the number of
    /// unsettled deliveries of the session.
    pub fn outgoing_delivery_id(&self, link: LinkId, key: u64) -> Option<u32> {
        let mut deliveries = self.session(link.channel)?.outgoing.iter();
        let found = deliveries.find(|(_, delivery)| delivery.handle == link.handle && delivery.key == key);
        found.map(|(id, _)| *id)
    }

    /// The delivery id of the next delivery on a session.
    pub fn next_delivery_id(&self, channel: u16) -> u32 {
        self.session(channel).map_or(0, |session| session.next_delivery_id)
    }

    /// Sends pending aborts, as far as the session's window allows.
    pub(super) fn send_pending_aborts(&mut self, channel: u16) {
        let Some(session) = self.session_mut(channel) else { return };
        let mut aborts = Vec::new();
        for (handle, link) in session.links.iter_mut().enumerate() {
            let Some(link) = link.as_mut().filter(|link| link.pending_abort.is_some()) else { continue };
            if session.remote_window == 0 {
                break;
            }
            session.remote_window -= 1;
            session.next_outgoing_id = session.next_outgoing_id.wrapping_add(1);
            aborts.push(Transfer {
                handle: Some(handle as u32),
                delivery_id: link.pending_abort.take(),
                aborted: Some(true),
                ..Transfer::default()
            });
        }
        for abort in aborts {
            self.send_performative(channel, abort);
        }
    }

    /// Returns the remaining credit of a sender if the receiver has requested a drain (2.6.7). To be called when
    /// there is nothing left to send.
    pub fn return_credit(&mut self, link_id: LinkId) {
        let link = self.link_mut(link_id).filter(|link| link.role == Role::Sender && link.drain);
        let Some(link) = link else { return };
        link.delivery_count = link.delivery_count.wrapping_add(link.credit);
        link.credit = 0;
        self.send_flow(link_id);
        if let Some(link) = self.link_mut(link_id) {
            link.drain = false;
        }
    }
}

/// The maximum size of a transfer frame without its payload. The terms are the frame header, the descriptor, the list
/// header, and the fields handle, delivery-id, delivery-tag, message-format, settled and more.
const MAX_TRANSFER_OVERHEAD_BYTES: usize = 8 + 3 + 3 + 5 + 5 + 34 + 5 + 1 + 1;
/// The numeric descriptor of a transfer.
const TRANSFER_DESCRIPTOR: u8 = 0x14;

impl TransferFields {
    /// Encodes the transfer directly, without a [`Transfer`] value, because most frames that are sent are transfers.
    fn write(&self, out: &mut Vec<u8>) {
        use format_code::{BINARY_8, DESCRIBED, FALSE, LIST_8, NULL, SMALL_ULONG, TRUE, UINT_0};
        let boolean = |value: bool| if value { TRUE } else { FALSE };
        let has_flags = self.settled || self.more;
        // The size and the field count, both 0 here, are filled in at the end.
        out.extend_from_slice(&[DESCRIBED, SMALL_ULONG, TRANSFER_DESCRIPTOR, LIST_8, 0, 0]);
        let start = out.len();
        put_u32(out, self.handle);
        let mut count = 1;
        if self.is_first {
            put_u32(out, self.delivery_id);
            put_variable(out, BINARY_8, self.tag.as_bytes());
            // message-format
            out.push(UINT_0);
            count = 4;
        } else if has_flags {
            out.extend_from_slice(&[NULL, NULL, NULL]);
            count = 4;
        }
        if has_flags {
            out.extend_from_slice(&[boolean(self.settled), boolean(self.more)]);
            count = 6;
        }
        let size = out.len() - start + 1;
        debug_assert!(size < 256);
        out[start - 2] = size as u8;
        out[start - 1] = count;
    }
}
