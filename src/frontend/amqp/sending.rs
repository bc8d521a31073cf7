//! Sending deliveries to servers, as far as credit, session windows and sockets allow.

use super::config::AmqpConfig;
use super::deliveries::{AttemptStage, Deliveries, Delivery};
use super::fair_queue::FairQueue;
use super::servers::{AttemptResult, ClassQueue, SendingLink, Servers};
use crate::frontend::FrontendContext;
use crate::model::{Outcome, RequestId, ServerId};
use crate::rules::PeerStatus;
use sparbank_amqp::{Connection, LinkId, Outgoing, Sent};
use sparbank_time::DurationExt;

/// Octets that a link sends before the next link has its turn.
const CHUNK_BYTES: usize = 16 * 1024;
/// Octets not yet written at which a connection is full.
const MAX_UNWRITTEN_BYTES: usize = 64 * 1024;

/// The result of a link's turn.
enum Turn {
    /// It can send nothing now.
    Idle,
    /// Its connection is full.
    ConnectionFull,
    /// It has sent something, or is ready for the next request.
    Progress,
    /// This request's message is larger than the server accepts.
    TooLarge(RequestId),
    /// This request may not be sent to the server any more.
    NotSent(RequestId),
}

/// What a link needs for its turn.
struct Feed<'a, 'b> {
    ctx: &'a mut FrontendContext<'b>,
    max_retryable_bytes: usize,
    scratch: &'a mut Vec<u8>,
    server: ServerId,
    deliveries: &'a mut Deliveries,
}

impl Servers {
    /// Sends everything that credit, session windows and sockets allow to the servers that are marked dirty.
    pub fn flush(
        &mut self,
        ctx: &mut FrontendContext,
        config: &AmqpConfig,
        deliveries: &mut Deliveries,
    ) -> Vec<AttemptResult> {
        let mut results = Vec::new();
        for server in std::mem::take(&mut self.dirty) {
            self.clear_dirty(server);
            let is_full = self.send_waiting(ctx, config, server, deliveries, &mut results);
            let mut has_capacity = false;
            for token in self.connections_of(server) {
                self.write_pending(ctx, token);
                has_capacity |= ctx.net.pending_output_bytes(token) < MAX_UNWRITTEN_BYTES;
            }
            // Where the socket took everything at once, no event says that it takes more.
            if is_full && has_capacity {
                self.mark_dirty(server);
            }
        }
        results
    }

    /// Sends a server what waits for it. True where a connection is full and there is more to send.
    fn send_waiting(
        &mut self,
        ctx: &mut FrontendContext,
        config: &AmqpConfig,
        server_id: ServerId,
        deliveries: &mut Deliveries,
        results: &mut Vec<AttemptResult>,
    ) -> bool {
        self.attach_waiting_forwarders(ctx, config, server_id, results);
        self.add_sending_links(ctx, config, server_id, results);
        let Some(server) = self.by_id.get_mut(&server_id).filter(|server| !server.classes.is_empty()) else {
            return false;
        };
        server.rotation = server.rotation.wrapping_add(1);
        let max_retryable_bytes = config.max_retryable_bytes;
        let mut is_full = false;
        // Every link of every class sends one chunk a round, until none can.
        loop {
            let scratch = &mut self.scratch;
            let mut feed =
                Feed { ctx: &mut *ctx, max_retryable_bytes, scratch, server: server_id, deliveries };
            let mut progress = false;
            for offset in 0..server.classes.len() {
                let class = (server.rotation + offset) % server.classes.len();
                let ClassQueue { waiting, links } = &mut server.classes[class];
                for link in links {
                    let Some(connection) = self.by_token.get_mut(&link.token) else { continue };
                    match feed.send_chunk(waiting, link, &mut connection.conn) {
                        Turn::Idle => {}
                        Turn::ConnectionFull => is_full = true,
                        Turn::Progress => progress = true,
                        Turn::TooLarge(request_id) => {
                            results.push(AttemptResult::Ended(request_id, Outcome::Rejected));
                            progress = true;
                        }
                        Turn::NotSent(request_id) => {
                            results.push(AttemptResult::Ended(request_id, Outcome::NotSent));
                            progress = true;
                        }
                    }
                }
            }
            if !progress {
                break;
            }
        }
        let is_blocked = |class: &ClassQueue| !class.waiting.is_empty() && class.all_links_busy();
        if server.classes.iter().any(is_blocked) {
            self.add_sending_links(ctx, config, server_id, results);
        }
        is_full
    }
}

impl Feed<'_, '_> {
    /// Sends one chunk on a link.
    fn send_chunk(&mut self, waiting: &mut FairQueue, link: &mut SendingLink, conn: &mut Connection) -> Turn {
        let capacity = MAX_UNWRITTEN_BYTES.saturating_sub(self.ctx.net.pending_output_bytes(link.token));
        if conn.pending() >= capacity {
            let has_more = link.current.is_some() || !waiting.is_empty();
            return if has_more { Turn::ConnectionFull } else { Turn::Idle };
        }
        let capacity = capacity.min(conn.pending() + CHUNK_BYTES);
        let Some(request_id) = next_request(waiting, link, conn) else { return Turn::Idle };
        link.current = None;
        let Some(delivery) = self.deliveries.get_mut(request_id) else { return Turn::Progress };
        let Some(attempt) = delivery.attempt.as_ref().filter(|attempt| attempt.server == self.server) else {
            return Turn::Progress;
        };
        let outgoing = Outgoing { key: request_id.0, tag: request_id.0.into(), settled: false };
        let chunk = Chunk { link: link.link, outgoing, capacity };
        let progress = match attempt.stage {
            AttemptStage::Sent { .. } => return Turn::Progress,
            AttemptStage::Queued => {
                let server_ready = self.ctx.registry.entry(self.server).is_some_and(|entry| entry.is_ready());
                // A client that comes back may still resume the delivery: its absence does not count here.
                let permission = self.ctx.requests.may_send(
                    self.ctx.now,
                    request_id,
                    PeerStatus { client_gone: false, server_ready },
                );
                if let Err(refusal) = permission {
                    tracing::trace!(request = request_id.0, reason = %refusal, "attempt not sent");
                    return Turn::NotSent(request_id);
                }
                let size = delivery.bytes.len() as u64;
                if conn.max_message_size(link.link).is_some_and(|max_size| size > max_size) {
                    return Turn::TooLarge(request_id);
                }
                let ttl_ms = attempt.deadline.saturating_duration_since(self.ctx.now).as_millis_u64();
                let progress = chunk.begin(conn, delivery, (ttl_ms as u32).max(1), self.scratch);
                if !progress.sent.started {
                    waiting.push(delivery.client, request_id);
                    return Turn::Idle;
                }
                progress
            }
            AttemptStage::Sending { delivery_id, sent, .. } => {
                chunk.resume(conn, delivery, delivery_id, sent)
            }
        };
        self.record(request_id, link, conn, &progress)
    }

    /// Records how far a delivery has come.
    fn record(
        &mut self,
        request_id: RequestId,
        link: &mut SendingLink,
        conn: &Connection,
        progress: &Progress,
    ) -> Turn {
        let attempt = self.deliveries.get_mut(request_id).and_then(|delivery| delivery.attempt.as_mut());
        let Some(attempt) = attempt else { return Turn::Progress };
        let SendingLink { token, link: link_id, .. } = *link;
        let delivery_id = progress.delivery_id;
        if progress.sent.complete {
            let end = self.ctx.net.output_position(token) + conn.pending() as u64;
            attempt.stage = AttemptStage::Sent { token, link: link_id, delivery_id, end };
            return Turn::Progress;
        }
        attempt.stage = AttemptStage::Sending { token, link: link_id, delivery_id, sent: progress.position };
        link.current = Some(request_id);
        self.deliveries.discard_sent(request_id, self.max_retryable_bytes);
        if progress.sent.octets > 0 {
            Turn::Progress
        } else {
            Turn::Idle
        }
    }
}

/// One chunk of a delivery, to be sent on a link.
struct Chunk {
    link: LinkId,
    outgoing: Outgoing,
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
        let sent = conn.send(self.link, self.outgoing, scratch, delivery.complete, self.capacity);
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
        let sent = conn.send(self.link, self.outgoing, octets, delivery.complete, self.capacity);
        Progress { sent, delivery_id, position: position + sent.octets }
    }
}

/// The request whose delivery was sent on a link partly, or the next in turn.
fn next_request(waiting: &mut FairQueue, link: &SendingLink, conn: &mut Connection) -> Option<RequestId> {
    if link.current.is_some() {
        return link.current;
    }
    let request_id = if conn.can_send(link.link) { waiting.pop() } else { None };
    if waiting.is_empty() && request_id.is_none() {
        conn.return_credit(link.link);
    }
    request_id
}
