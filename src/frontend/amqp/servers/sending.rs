//! Sends queued deliveries to one server, as far as credit, session windows and sockets allow.

use super::connection::ServerConnections;
use super::ended_attempt::EndedAttempt;
use super::fair_queue::FairQueue;
use super::server::{ClassQueue, SendingLink, Server};
use crate::frontend::amqp::deliveries::{AttemptStage, Deliveries, Delivery};
use crate::frontend::amqp::message_octets::StartDiscarded;
use crate::frontend::FrontendContext;
use crate::model::{Outcome, RequestId, ServerId};
use crate::net::Token;
use crate::rules::PeerStatus;
use sparbank_amqp::{Connection, LinkId, OutgoingDelivery, SendResult};
use sparbank_time::{DurationExt, MonotonicTime};

/// The maximum number of octets that one link sends before the next link is served.
const CHUNK_BYTES: usize = 16 * 1024;
/// The number of octets not yet written to the socket at which a connection is full.
pub const MAX_UNWRITTEN_BYTES: usize = 64 * 1024;

/// The result of sending one chunk on one link.
enum ChunkResult {
    /// The link has nothing to send, or cannot send now.
    Idle,
    /// There is more to send, but the link's connection is full.
    ConnectionFull,
    /// The link has sent something, or is ready for the next request.
    Progress,
    /// The attempt of this request ended before anything was sent. The link is ready for the next request.
    Ended(RequestId, Outcome),
}

/// Whether a round of one chunk per link has sent anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoundResult {
    /// Octets were passed to a connection, or an attempt left the queue.
    Progress,
    /// No link can send.
    Idle,
}

/// Sends the deliveries that are queued for one server.
pub struct DeliverySender<'a, 'b> {
    /// The components of the node that the frontend uses.
    pub ctx: &'a mut FrontendContext<'b>,
    /// The server to which the deliveries are sent.
    pub server_id: ServerId,
    /// The size, in octets, above which the sent part of a delivery is discarded, so that it can no longer be retried.
    pub max_retryable_bytes: usize,
    /// The maximum number of links per class. If there are several, the last one takes complete deliveries only.
    pub max_links_per_class: usize,
    /// The unsettled deliveries of all clients, in which the progress of sending is recorded.
    pub deliveries: &'a mut Deliveries,
    /// A reusable buffer in which the start of a message is encoded.
    pub encode_buffer: &'a mut Vec<u8>,
    /// Output: the attempts that ended while sending.
    pub ended: &'a mut Vec<EndedAttempt>,
}

impl DeliverySender<'_, '_> {
    /// Sends on all links in rounds of one chunk per link, until no link can send: each round leaves fewer octets or
    /// fewer waiting attempts. Returns the connections that are full and have more to send.
    pub fn send_all(&mut self, server: &mut Server, connections: &mut ServerConnections) -> Vec<Token> {
        server.rotation = server.rotation.wrapping_add(1);
        let mut full = Vec::new();
        while self.send_round(server, connections, &mut full) == RoundResult::Progress {}
        full
    }

    /// Sends one chunk on each link of each class. Adds the connections that are full and have more to send to `full`.
    fn send_round(
        &mut self,
        server: &mut Server,
        connections: &mut ServerConnections,
        full: &mut Vec<Token>,
    ) -> RoundResult {
        let mut round = RoundResult::Idle;
        for offset in 0..server.classes.len() {
            let class = (server.rotation + offset) % server.classes.len();
            let ClassQueue { waiting, links } = &mut server.classes[class];
            for (index, sending_link) in links.iter_mut().enumerate() {
                let is_reserved = index > 0 && index + 1 >= self.max_links_per_class;
                let Some(connection) = connections.get_mut(sending_link.link.token) else { continue };
                match self.send_chunk(waiting, sending_link, is_reserved, &mut connection.conn) {
                    ChunkResult::Idle => {}
                    ChunkResult::ConnectionFull if full.contains(&sending_link.link.token) => {}
                    ChunkResult::ConnectionFull => full.push(sending_link.link.token),
                    ChunkResult::Progress => round = RoundResult::Progress,
                    ChunkResult::Ended(request_id, outcome) => {
                        self.ended.push(EndedAttempt::Delivery { request_id, outcome });
                        round = RoundResult::Progress;
                    }
                }
            }
        }
        round
    }

    /// Sends one chunk on a link. A reserved link takes complete deliveries only, since an incomplete one may occupy it
    /// as long as its client wants.
    fn send_chunk(
        &mut self,
        waiting: &mut FairQueue,
        sending_link: &mut SendingLink,
        is_reserved: bool,
        conn: &mut Connection,
    ) -> ChunkResult {
        let capacity = self.unwritten_capacity(sending_link.link.token);
        if conn.pending_output() >= capacity {
            let has_more = sending_link.sending.is_some() || !waiting.is_empty();
            return if has_more { ChunkResult::ConnectionFull } else { ChunkResult::Idle };
        }
        let capacity = capacity.min(conn.pending_output() + CHUNK_BYTES);
        let deliveries = &*self.deliveries;
        let take_next = |waiting: &mut FairQueue| match is_reserved {
            true => waiting.pop_where(|request_id| deliveries.may_take_reserved_link(request_id)),
            false => waiting.pop(),
        };
        let Some(request_id) = next_request(waiting, sending_link, conn, take_next) else {
            return ChunkResult::Idle;
        };
        sending_link.sending = None;
        let Some(delivery) = self.deliveries.get(request_id) else { return ChunkResult::Progress };
        let Some(attempt) = delivery.attempt().filter(|attempt| attempt.server == self.server_id) else {
            return ChunkResult::Progress;
        };
        let chunk = Chunk { link: sending_link.link.id, request_id, capacity };
        let progress = match attempt.stage {
            AttemptStage::Sent { .. } => return ChunkResult::Progress,
            AttemptStage::Sending { delivery_id, sent, .. } => {
                match chunk.resume(conn, delivery, delivery_id, sent) {
                    Ok(progress) => progress,
                    Err(StartDiscarded) => {
                        conn.abort(chunk.link);
                        return ChunkResult::Ended(request_id, Outcome::NotSent);
                    }
                }
            }
            AttemptStage::Queued => {
                if let Err(outcome) = check_sendable(self.ctx, self.server_id, &chunk, conn, delivery) {
                    return ChunkResult::Ended(request_id, outcome);
                }
                let ttl_ms = remaining_ms(attempt.deadline, self.ctx.now);
                match chunk.begin(conn, delivery, ttl_ms, self.encode_buffer) {
                    Ok(progress) if progress.sent.started => progress,
                    Ok(_) => {
                        waiting.push(delivery.link.token, request_id);
                        return ChunkResult::Idle;
                    }
                    Err(StartDiscarded) => return ChunkResult::Ended(request_id, Outcome::NotSent),
                }
            }
        };
        self.record_progress(request_id, sending_link, conn, &progress)
    }

    /// The number of octets that can be passed to a connection until it is full.
    fn unwritten_capacity(&self, token: Token) -> usize {
        MAX_UNWRITTEN_BYTES.saturating_sub(self.ctx.net.pending_output_bytes(token))
    }

    /// Records the progress of a delivery after a chunk was sent.
    fn record_progress(
        &mut self,
        request_id: RequestId,
        sending_link: &mut SendingLink,
        conn: &Connection,
        progress: &Progress,
    ) -> ChunkResult {
        let attempt = self.deliveries.get_mut(request_id).and_then(Delivery::attempt_mut);
        let Some(attempt) = attempt else { return ChunkResult::Progress };
        let delivery_id = progress.delivery_id;
        if progress.sent.complete {
            let end = self.ctx.net.output_position(sending_link.link.token) + conn.pending_output() as u64;
            attempt.stage = AttemptStage::Sent { link: sending_link.link, delivery_id, end };
            return ChunkResult::Progress;
        }
        attempt.stage =
            AttemptStage::Sending { link: sending_link.link, delivery_id, sent: progress.position };
        sending_link.sending = Some(request_id);
        self.deliveries.discard_sent(request_id, self.max_retryable_bytes);
        if progress.sent.octets > 0 {
            ChunkResult::Progress
        } else {
            ChunkResult::Idle
        }
    }
}

/// One chunk of a delivery, to be sent on a link.
struct Chunk {
    link: LinkId,
    request_id: RequestId,
    /// The number of octets of pending output at which sending stops.
    capacity: usize,
}

/// The progress of a delivery after a chunk was sent.
struct Progress {
    sent: SendResult,
    delivery_id: u32,
    /// The number of octets of the client's message that have been sent so far.
    position: usize,
}

impl Chunk {
    /// Sends the first chunk of a delivery, with a header whose `ttl` is the remaining time of the attempt.
    ///
    /// # Errors
    /// The start of the message has been discarded.
    fn begin(
        &self,
        conn: &mut Connection,
        delivery: &Delivery,
        ttl_ms: u32,
        encode_buffer: &mut Vec<u8>,
    ) -> Result<Progress, StartDiscarded> {
        let octets = delivery.message.octets_from_start()?;
        encode_buffer.clear();
        delivery.head.encode(octets, ttl_ms, encode_buffer);
        let header_len = encode_buffer.len();
        let rest_start = delivery.head.after_header();
        encode_buffer.extend_from_slice(&octets[rest_start..]);
        let delivery_id = conn.next_delivery_id(self.link.channel);
        let sent = self.send(conn, delivery, encode_buffer);
        // The header is smaller than any frame, so it is sent completely with the first frame.
        let position = rest_start + sent.octets.saturating_sub(header_len);
        Ok(Progress { sent, delivery_id, position })
    }

    /// Sends the next chunk of a delivery of which `position` octets have been sent.
    ///
    /// # Errors
    /// Octets after the position have been discarded.
    fn resume(
        &self,
        conn: &mut Connection,
        delivery: &Delivery,
        delivery_id: u32,
        position: usize,
    ) -> Result<Progress, StartDiscarded> {
        let octets = delivery.message.octets_from(position)?;
        let sent = self.send(conn, delivery, octets);
        Ok(Progress { sent, delivery_id, position: position + sent.octets })
    }

    fn send(&self, conn: &mut Connection, delivery: &Delivery, octets: &[u8]) -> SendResult {
        let outgoing =
            OutgoingDelivery { key: self.request_id.0, tag: self.request_id.0.into(), settled: false };
        conn.send(self.link, outgoing, octets, delivery.is_complete, self.capacity)
    }
}

/// Checks that the attempt of a delivery may be sent to a server now, and that the delivery is not too large for the
/// link.
///
/// # Errors
/// The outcome of an attempt that cannot be sent.
fn check_sendable(
    ctx: &FrontendContext,
    server: ServerId,
    chunk: &Chunk,
    conn: &Connection,
    delivery: &Delivery,
) -> Result<(), Outcome> {
    let is_server_ready = ctx.registry.entry(server).is_some_and(|entry| entry.is_ready());
    // A client that has disconnected may reconnect and resume the delivery, so `client_disconnected` is never set here.
    let peers = PeerStatus { client_disconnected: false, server_ready: is_server_ready };
    let permission = ctx.requests.may_send(ctx.now, chunk.request_id, peers);
    if let Err(refusal) = permission {
        tracing::trace!(request = chunk.request_id.0, reason = %refusal, "attempt not sent");
        return Err(Outcome::NotSent);
    }
    let size = delivery.message.received_len() as u64;
    if conn.max_message_size(chunk.link).is_some_and(|max_size| size > max_size) {
        return Err(Outcome::Rejected);
    }
    Ok(())
}

/// The number of milliseconds until a deadline, but at least one.
fn remaining_ms(deadline: MonotonicTime, now: MonotonicTime) -> u32 {
    (deadline.saturating_duration_since(now).as_millis_u64() as u32).max(1)
}

/// Returns the request whose delivery is partly sent on a link, or else the next waiting request that the link may take
/// and can send.
fn next_request(
    waiting: &mut FairQueue,
    sending_link: &SendingLink,
    conn: &mut Connection,
    take_next: impl FnOnce(&mut FairQueue) -> Option<RequestId>,
) -> Option<RequestId> {
    if sending_link.sending.is_some() {
        return sending_link.sending;
    }
    let can_send = conn.can_send(sending_link.link.id);
    let request_id = if can_send { take_next(waiting) } else { None };
    if waiting.is_empty() && request_id.is_none() {
        conn.return_credit(sending_link.link.id);
    }
    request_id
}
