//! Sends deliveries to one server, as far as credit, session windows and sockets allow.

use super::connection::ServerConnections;
use super::ended_attempt::EndedAttempt;
use super::fair_queue::FairQueue;
use super::server::{ClassQueue, SendingLink, Server};
use crate::frontend::amqp::deliveries::{AttemptStage, Deliveries, Delivery};
use crate::frontend::FrontendContext;
use crate::model::{Outcome, RequestId, ServerId};
use crate::net::Token;
use crate::rules::PeerStatus;
use sparbank_amqp::{Connection, LinkId, Outgoing, Sent};
use sparbank_time::{DurationExt, MonotonicTime};

/// Octets that a link sends before the next link is served.
const CHUNK_BYTES: usize = 16 * 1024;
/// Octets not yet written at which a connection is full.
pub const MAX_UNWRITTEN_BYTES: usize = 64 * 1024;

/// The result of serving one link with one chunk.
enum ChunkResult {
    /// The link can send nothing now.
    Idle,
    /// The link's connection is full, and there is more to send.
    ConnectionFull,
    /// The link has sent something, or is ready for the next request.
    Progress,
    /// This request's attempt has ended before anything was sent; the link is ready for the next.
    Ended(RequestId, Outcome),
}

/// The result of serving all links of a server once.
#[derive(Default)]
struct RoundResult {
    has_progressed: bool,
    is_connection_full: bool,
}

/// Sends what waits at one server.
pub struct DeliverySender<'a, 'b> {
    /// The node's parts.
    pub ctx: &'a mut FrontendContext<'b>,
    /// The server.
    pub server_id: ServerId,
    /// Of larger deliveries the octets already sent are discarded.
    pub max_retryable_bytes: usize,
    /// All unsettled deliveries.
    pub deliveries: &'a mut Deliveries,
    /// A message's first octets are put together here, for its first frame.
    pub scratch: &'a mut Vec<u8>,
    /// Attempts that end are added here.
    pub ended: &'a mut Vec<EndedAttempt>,
}

impl DeliverySender<'_, '_> {
    /// Serves every link of every class with one chunk a round, until none can send. True if a connection is full and
    /// there is more to send.
    pub fn send_all(&mut self, server: &mut Server, connections: &mut ServerConnections) -> bool {
        server.rotation = server.rotation.wrapping_add(1);
        let mut is_connection_full = false;
        loop {
            let round = self.send_round(server, connections);
            is_connection_full |= round.is_connection_full;
            if !round.has_progressed {
                return is_connection_full;
            }
        }
    }

    fn send_round(&mut self, server: &mut Server, connections: &mut ServerConnections) -> RoundResult {
        let mut round = RoundResult::default();
        for offset in 0..server.classes.len() {
            let class = (server.rotation + offset) % server.classes.len();
            let ClassQueue { waiting, links } = &mut server.classes[class];
            for link in links {
                let Some(connection) = connections.get_mut(link.at.token) else { continue };
                match self.send_chunk(waiting, link, &mut connection.conn) {
                    ChunkResult::Idle => {}
                    ChunkResult::ConnectionFull => round.is_connection_full = true,
                    ChunkResult::Progress => round.has_progressed = true,
                    ChunkResult::Ended(request_id, outcome) => {
                        self.ended.push(EndedAttempt::Delivery { request_id, outcome });
                        round.has_progressed = true;
                    }
                }
            }
        }
        round
    }

    /// Sends one chunk on a link.
    fn send_chunk(
        &mut self,
        waiting: &mut FairQueue,
        link: &mut SendingLink,
        conn: &mut Connection,
    ) -> ChunkResult {
        let capacity = self.unwritten_capacity(link.at.token);
        if conn.pending() >= capacity {
            let has_more = link.current.is_some() || !waiting.is_empty();
            return if has_more { ChunkResult::ConnectionFull } else { ChunkResult::Idle };
        }
        let capacity = capacity.min(conn.pending() + CHUNK_BYTES);
        let Some(request_id) = next_request(waiting, link, conn) else { return ChunkResult::Idle };
        link.current = None;
        let Some(delivery) = self.deliveries.get(request_id) else { return ChunkResult::Progress };
        let Some(attempt) = delivery.attempt.as_ref().filter(|attempt| attempt.server == self.server_id)
        else {
            return ChunkResult::Progress;
        };
        let chunk = Chunk { link: link.at.id, request_id, capacity };
        let progress = match attempt.stage {
            AttemptStage::Sent { .. } => return ChunkResult::Progress,
            AttemptStage::Sending { delivery_id, sent, .. } => {
                chunk.resume(conn, delivery, delivery_id, sent)
            }
            AttemptStage::Queued => {
                if let Err(outcome) = check_start(self.ctx, self.server_id, &chunk, conn, delivery) {
                    return ChunkResult::Ended(request_id, outcome);
                }
                let ttl_ms = remaining_ms(attempt.deadline, self.ctx.now);
                let progress = chunk.begin(conn, delivery, ttl_ms, self.scratch);
                if !progress.sent.started {
                    waiting.push(delivery.link.token, request_id);
                    return ChunkResult::Idle;
                }
                progress
            }
        };
        self.record(request_id, link, conn, &progress)
    }

    /// The octets that a connection takes until it is full.
    fn unwritten_capacity(&self, token: Token) -> usize {
        MAX_UNWRITTEN_BYTES.saturating_sub(self.ctx.net.pending_output_bytes(token))
    }

    /// Records how far a delivery has come.
    fn record(
        &mut self,
        request_id: RequestId,
        link: &mut SendingLink,
        conn: &Connection,
        progress: &Progress,
    ) -> ChunkResult {
        let attempt = self.deliveries.get_mut(request_id).and_then(|delivery| delivery.attempt.as_mut());
        let Some(attempt) = attempt else { return ChunkResult::Progress };
        let delivery_id = progress.delivery_id;
        if progress.sent.complete {
            let end = self.ctx.net.output_position(link.at.token) + conn.pending() as u64;
            attempt.stage = AttemptStage::Sent { link: link.at, delivery_id, end };
            return ChunkResult::Progress;
        }
        attempt.stage = AttemptStage::Sending { link: link.at, delivery_id, sent: progress.position };
        link.current = Some(request_id);
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
    /// The octets of pending output up to which it is sent.
    capacity: usize,
}

/// How far a delivery has come with a chunk.
struct Progress {
    sent: Sent,
    delivery_id: u32,
    /// Octets of the client's message that were sent so far.
    position: usize,
}

impl Chunk {
    /// Sends the first chunk of a delivery, with a fresh time to live.
    fn begin(
        &self,
        conn: &mut Connection,
        delivery: &Delivery,
        ttl_ms: u32,
        scratch: &mut Vec<u8>,
    ) -> Progress {
        scratch.clear();
        delivery.head.encode(&delivery.bytes, ttl_ms, scratch);
        let header_len = scratch.len();
        let rest = delivery.head.after_header();
        scratch.extend_from_slice(&delivery.bytes[rest..]);
        let delivery_id = conn.next_delivery_id(self.link.channel);
        let sent = self.send(conn, delivery, scratch);
        // A header has fewer octets than any frame: it was sent with the first.
        Progress { sent, delivery_id, position: rest + sent.octets.saturating_sub(header_len) }
    }

    /// Sends the next chunk of a delivery of which `position` octets were sent.
    fn resume(
        &self,
        conn: &mut Connection,
        delivery: &Delivery,
        delivery_id: u32,
        position: usize,
    ) -> Progress {
        let octets = delivery.bytes.get(position - delivery.discarded..).unwrap_or_default();
        let sent = self.send(conn, delivery, octets);
        Progress { sent, delivery_id, position: position + sent.octets }
    }

    fn send(&self, conn: &mut Connection, delivery: &Delivery, octets: &[u8]) -> Sent {
        let outgoing = Outgoing { key: self.request_id.0, tag: self.request_id.0.into(), settled: false };
        conn.send(self.link, outgoing, octets, delivery.is_complete, self.capacity)
    }
}

/// Checks that a delivery may be sent to a server and is not too large for it.
///
/// # Errors
/// The outcome of its attempt.
fn check_start(
    ctx: &FrontendContext,
    server: ServerId,
    chunk: &Chunk,
    conn: &Connection,
    delivery: &Delivery,
) -> Result<(), Outcome> {
    let is_server_ready = ctx.registry.entry(server).is_some_and(|entry| entry.is_ready());
    // A client that is gone may still come back and resume the delivery: its absence does not count here.
    let peers = PeerStatus { client_gone: false, server_ready: is_server_ready };
    let permission = ctx.requests.may_send(ctx.now, chunk.request_id, peers);
    if let Err(refusal) = permission {
        tracing::trace!(request = chunk.request_id.0, reason = %refusal, "attempt not sent");
        return Err(Outcome::NotSent);
    }
    let size = delivery.bytes.len() as u64;
    if conn.max_message_size(chunk.link).is_some_and(|max_size| size > max_size) {
        return Err(Outcome::Rejected);
    }
    Ok(())
}

/// Milliseconds until a deadline, at least one.
fn remaining_ms(deadline: MonotonicTime, now: MonotonicTime) -> u32 {
    (deadline.saturating_duration_since(now).as_millis_u64() as u32).max(1)
}

/// The request whose delivery was sent on a link partly, or the next that waits.
fn next_request(waiting: &mut FairQueue, link: &SendingLink, conn: &mut Connection) -> Option<RequestId> {
    if link.current.is_some() {
        return link.current;
    }
    let request_id = if conn.can_send(link.at.id) { waiting.pop() } else { None };
    if waiting.is_empty() && request_id.is_none() {
        conn.return_credit(link.at.id);
    }
    request_id
}
