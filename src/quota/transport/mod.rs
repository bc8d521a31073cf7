//! The transport of the lease protocol between the nodes of a fleet (`serve --fleet`): lease requests to the grantor,
//! grants from it.
//!
//! Frames over TCP, on an address of its own. There is neither authentication nor TLS: the address belongs on a network
//! of the nodes' own. The input of a peer is bounded in size and number; whatever cannot be decoded ends its connection
//! and changes nothing else.

mod frame;
mod grantor_service;

use crate::net::{SocketEvent, SocketEventKind, SocketOwner, SocketReactor, Token};
use crate::quota::{QuotaAdmission, QuotaMembership};
use frame::{FrameLimits, Message, UndecodableFrame};
use grantor_service::{GrantorService, Requester};
use sparbank_time::MonotonicTime;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// How often [`LeaseTransport::exchange`] is to be called: the resolution of all times here.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_millis(50);
/// A frame that is not complete after this time ends its connection.
const FRAME_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The shortest time between two attempts to connect to the grantor.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(250);

/// This node's end of the lease protocol.
pub struct LeaseTransport {
    grantor_address: SocketAddr,
    /// The connection to the grantor.
    grantor_link: Option<Token>,
    connected_at: MonotonicTime,
    /// The connections of other nodes to this one, and since when an incomplete frame is waiting.
    callers: HashMap<Token, Option<MonotonicTime>>,
    limits: FrameLimits,
    /// Set if this node is the grantor.
    grantor_service: Option<GrantorService>,
    counters: LeaseCounters,
    has_lease: bool,
}

/// The counters of the lease protocol since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseCounters {
    /// Lease requests of this node.
    pub requests: u64,
    /// Grants that this node accepted.
    pub grants: u64,
    /// Frames that could not be decoded, or were not expected.
    pub undecodable_frames: u64,
    /// Lease requests that this node, as the grantor, applied.
    pub applied_requests: u64,
    /// Leases that this node, as the grantor, reclaimed after their end.
    pub reclaimed_leases: u64,
}

impl LeaseTransport {
    /// Listens at the member's address, which makes this process its owner, and starts the grantor if this member is
    /// one.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, as while another process of the member is running.
    pub fn open(
        net: &mut SocketReactor,
        membership: &QuotaMembership,
        now: MonotonicTime,
    ) -> io::Result<LeaseTransport> {
        let plan = &membership.plan;
        let own_address = plan.members[membership.member].address;
        let grantor = plan.members.iter().find(|member| plan.grantors.contains(&member.name));
        let grantor_address = grantor.map_or(own_address, |grantor| grantor.address);
        let is_grantor = grantor_address == own_address;
        // No node has a reason to connect to one that is not the grantor.
        let max_callers = if is_grantor { plan.members.len() } else { 1 };
        net.listen_with_reserve(own_address, SocketOwner::Quota, max_callers)?;
        Ok(LeaseTransport {
            grantor_address,
            grantor_link: None,
            connected_at: MonotonicTime::ZERO,
            callers: HashMap::new(),
            limits: FrameLimits::new(plan.quotas.len()),
            grantor_service: is_grantor.then(|| GrantorService::new(plan.clone(), now)),
            counters: LeaseCounters::default(),
            has_lease: false,
        })
    }

    /// How long this node waits before it grants leases; None if it is no grantor.
    pub fn grant_delay(&self, now: MonotonicTime) -> Option<Duration> {
        self.grantor_service.as_ref().map(|service| service.grant_delay(now))
    }

    /// The counters since the start.
    pub fn counters(&self) -> LeaseCounters {
        self.counters
    }

    /// Handles an event of a socket that belongs to the transport.
    pub fn on_socket_event(
        &mut self,
        now: MonotonicTime,
        net: &mut SocketReactor,
        quotas: &mut QuotaAdmission,
        event: SocketEvent,
    ) {
        let token = event.token;
        match event.kind {
            SocketEventKind::Accepted => {
                net.set_read_limit(token, self.limits.max_frame_bytes());
                self.callers.insert(token, None);
            }
            SocketEventKind::Evicted => self.forget(token),
            SocketEventKind::Failed { .. } | SocketEventKind::HandshakeTimeout => self.close(net, token),
            SocketEventKind::Readable | SocketEventKind::OutputFlushed => self.read(now, net, quotas, token),
        }
    }

    fn forget(&mut self, token: Token) {
        self.callers.remove(&token);
        if self.grantor_link == Some(token) {
            self.grantor_link = None;
        }
    }

    fn close(&mut self, net: &mut SocketReactor, token: Token) {
        self.forget(token);
        net.close(token);
    }

    fn read(
        &mut self,
        now: MonotonicTime,
        net: &mut SocketReactor,
        quotas: &mut QuotaAdmission,
        token: Token,
    ) {
        let is_read_closed = net.is_read_closed(token);
        let Some(input) = net.input_buffer(token) else { return };
        let mut messages = Vec::new();
        let decoded = decode_all(input, self.limits, &mut messages);
        let has_incomplete_frame = !input.is_empty();
        if let Some(incomplete_since) = self.callers.get_mut(&token) {
            let earlier = incomplete_since.filter(|_| messages.is_empty());
            *incomplete_since = has_incomplete_frame.then_some(earlier.unwrap_or(now));
        }
        for message in messages {
            self.on_message(now, quotas, token, message);
        }
        if decoded.is_err() {
            self.counters.undecodable_frames += 1;
        }
        if is_read_closed || decoded.is_err() {
            self.close(net, token);
        } else {
            net.update_interest(token);
        }
    }

    fn on_message(
        &mut self,
        now: MonotonicTime,
        quotas: &mut QuotaAdmission,
        token: Token,
        message: Message,
    ) {
        match (message, &mut self.grantor_service) {
            (Message::Request(request), Some(service)) if service.matches_layout(&request) => {
                service.enqueue(Requester::Remote(token), request);
            }
            (Message::Grant(grant), _) if self.grantor_link == Some(token) => {
                self.counters.grants += u64::from(quotas.on_lease_grant(now, &grant));
            }
            _ => self.counters.undecodable_frames += 1,
        }
    }

    /// The periodic work, once per [`EXCHANGE_INTERVAL`]: sends this node's lease request if it is due, ends the
    /// connections whose frames stay incomplete, and answers requests if this node is the grantor.
    pub fn exchange(&mut self, now: MonotonicTime, net: &mut SocketReactor, quotas: &mut QuotaAdmission) {
        if let Some(request) = quotas.poll_lease_request(now) {
            self.counters.requests += 1;
            match &mut self.grantor_service {
                Some(service) => service.enqueue(Requester::Local, request),
                None => self.send_to_grantor(now, net, &Message::Request(request)),
            }
        }
        self.close_stalled_callers(now, net);
        self.answer_requests(now, net, quotas);
        self.update_lease(quotas.lease_remaining(now) > Duration::ZERO);
    }

    /// Logs a change of this node's lease. Without one the node lives on its floors.
    fn update_lease(&mut self, has_lease: bool) {
        let had_lease = std::mem::replace(&mut self.has_lease, has_lease);
        match (had_lease, has_lease) {
            (false, true) => tracing::info!("quota lease acquired"),
            (true, false) => tracing::warn!("quota lease expired, using the floors"),
            _ => {}
        }
    }

    fn close_stalled_callers(&mut self, now: MonotonicTime, net: &mut SocketReactor) {
        let is_stalled = |incomplete_since: &Option<MonotonicTime>| {
            incomplete_since.is_some_and(|since| now.saturating_duration_since(since) >= FRAME_TIMEOUT)
        };
        let callers = self.callers.iter();
        let stalled: Vec<Token> =
            callers.filter(|(_, since)| is_stalled(since)).map(|(token, _)| *token).collect();
        for token in stalled {
            self.counters.undecodable_frames += 1;
            self.close(net, token);
        }
    }

    fn answer_requests(&mut self, now: MonotonicTime, net: &mut SocketReactor, quotas: &mut QuotaAdmission) {
        let Some(service) = &mut self.grantor_service else { return };
        let applied = service.apply_pending(now);
        self.counters.reclaimed_leases += applied.expiries as u64;
        self.counters.applied_requests += applied.requests as u64;
        for reply in applied.replies {
            match reply.requester {
                Requester::Local => {
                    self.counters.grants += u64::from(quotas.on_lease_grant(now, &reply.grant));
                }
                Requester::Remote(token) if self.callers.contains_key(&token) => {
                    send(net, token, &Message::Grant(reply.grant));
                }
                // The caller has disconnected since.
                Requester::Remote(_) => {}
            }
        }
    }

    fn send_to_grantor(&mut self, now: MonotonicTime, net: &mut SocketReactor, message: &Message) {
        // A message that the connection does not take in time is of no use later: connect anew.
        let is_stuck = |link: &Token| net.pending_output_bytes(*link) > self.limits.max_frame_bytes();
        if let Some(link) = self.grantor_link.filter(is_stuck) {
            self.close(net, link);
        }
        if self.grantor_link.is_none()
            && now.saturating_duration_since(self.connected_at) >= RECONNECT_INTERVAL
        {
            self.connected_at = now;
            self.grantor_link = net.connect(self.grantor_address, SocketOwner::Quota).ok();
            if let Some(link) = self.grantor_link {
                net.set_read_limit(link, self.limits.max_frame_bytes());
            }
        }
        if let Some(link) = self.grantor_link {
            send(net, link, message);
        }
    }
}

/// Takes all complete frames off the input. The messages before an undecodable frame are decoded.
fn decode_all(
    input: &mut Vec<u8>,
    limits: FrameLimits,
    messages: &mut Vec<Message>,
) -> Result<(), UndecodableFrame> {
    while let Some(message) = frame::decode(input, limits)? {
        messages.push(message);
    }
    Ok(())
}

fn send(net: &mut SocketReactor, token: Token, message: &Message) {
    if let Some(frame) = frame::encode(message) {
        net.send(token, &frame);
    }
}
