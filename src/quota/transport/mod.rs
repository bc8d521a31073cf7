//! Transport of the lease protocol between the nodes of a fleet (`serve --fleet`): carries lease requests to the
//! grantor, and grants back to the holders.
//!
//! Frames are sent over TCP, on a dedicated address. There is neither authentication nor TLS, so the address must be on
//! a private network of the nodes. The number of peer connections and the input buffered for each are bounded. Input
//! that cannot be decoded closes its connection and has no other effect.

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

/// The interval at which [`LeaseTransport::exchange`] has to be called. It is the resolution of all times in this
/// module.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_millis(50);
/// A connection is closed if a frame is still incomplete after this time.
const FRAME_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The minimum time between two attempts to connect to the grantor.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(250);

/// This node's side of the lease protocol: always as a holder, and as the grantor if the plan names this node.
pub struct LeaseTransport {
    grantor_address: SocketAddr,
    /// The connection to the grantor, if this node is not the grantor itself.
    grantor_connection: Option<Token>,
    /// When the latest attempt to connect to the grantor was made.
    last_connect_at: MonotonicTime,
    /// The connections from other nodes, each with the time since when its input has held an incomplete frame.
    inbound_connections: HashMap<Token, Option<MonotonicTime>>,
    frame_limits: FrameLimits,
    /// Set if this node is the grantor.
    grantor_service: Option<GrantorService>,
    counters: LeaseCounters,
    has_lease: bool,
}

/// Counters of the lease protocol since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaseCounters {
    /// Lease requests created by this node.
    pub requests: u64,
    /// Grants that this node accepted.
    pub grants: u64,
    /// Frames that could not be decoded, remained incomplete or were unexpected.
    pub undecodable_frames: u64,
    /// Lease requests that this node applied as the grantor.
    pub applied_requests: u64,
    /// Expired leases that this node reclaimed as the grantor.
    pub reclaimed_leases: u64,
}

impl LeaseTransport {
    /// Listens on the member's address, and starts the grantor if this member is one. Binding the address ensures that
    /// only one process at a time acts for the member.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, for example because another process of the same member is still running.
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
        // No node needs to connect to a node that is not the grantor.
        let max_inbound = if is_grantor { plan.members.len() } else { 1 };
        net.listen_with_reserve(own_address, SocketOwner::Quota, max_inbound)?;
        Ok(LeaseTransport {
            grantor_address,
            grantor_connection: None,
            last_connect_at: MonotonicTime::ZERO,
            inbound_connections: HashMap::new(),
            frame_limits: FrameLimits::new(plan.quotas.len()),
            grantor_service: is_grantor.then(|| GrantorService::new(plan.clone(), now)),
            counters: LeaseCounters::default(),
            has_lease: false,
        })
    }

    /// The time until this node starts to grant leases; `None` if it is not a grantor.
    pub fn grant_delay(&self, now: MonotonicTime) -> Option<Duration> {
        self.grantor_service.as_ref().map(|service| service.grant_delay(now))
    }

    /// The counters since the start of the process.
    pub fn counters(&self) -> LeaseCounters {
        self.counters
    }

    /// Handles an event of a socket owned by the transport.
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
                net.set_read_limit(token, self.frame_limits.max_frame_bytes());
                self.inbound_connections.insert(token, None);
            }
            SocketEventKind::Evicted => self.remove_connection(token),
            SocketEventKind::Failed { .. } | SocketEventKind::HandshakeTimeout => self.close(net, token),
            SocketEventKind::Readable | SocketEventKind::OutputFlushed => self.read(now, net, quotas, token),
        }
    }

    fn remove_connection(&mut self, token: Token) {
        self.inbound_connections.remove(&token);
        if self.grantor_connection == Some(token) {
            self.grantor_connection = None;
        }
    }

    fn close(&mut self, net: &mut SocketReactor, token: Token) {
        self.remove_connection(token);
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
        let decoded = decode_all(input, self.frame_limits, &mut messages);
        let has_incomplete_frame = !input.is_empty();
        if let Some(incomplete_since) = self.inbound_connections.get_mut(&token) {
            // A decoded message means that the incomplete frame is a new one, whose time-out starts now.
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
            (Message::Grant(grant), _) if self.grantor_connection == Some(token) => {
                self.counters.grants += u64::from(quotas.on_lease_grant(now, &grant));
            }
            _ => self.counters.undecodable_frames += 1,
        }
    }

    /// Does the periodic work, once per [`EXCHANGE_INTERVAL`]: sends this node's lease request if it is due, closes the
    /// connections whose frames remain incomplete, and answers lease requests if this node is the grantor.
    pub fn exchange(&mut self, now: MonotonicTime, net: &mut SocketReactor, quotas: &mut QuotaAdmission) {
        if let Some(request) = quotas.poll_lease_request(now) {
            self.counters.requests += 1;
            match &mut self.grantor_service {
                Some(service) => service.enqueue(Requester::Local, request),
                None => self.send_to_grantor(now, net, &Message::Request(request)),
            }
        }
        self.close_stalled_connections(now, net);
        self.answer_requests(now, net, quotas);
        self.log_lease_change(quotas.lease_remaining(now) > Duration::ZERO);
    }

    /// Logs when this node's lease is acquired or expires. Without a lease the node is limited to its floors.
    fn log_lease_change(&mut self, has_lease: bool) {
        let had_lease = std::mem::replace(&mut self.has_lease, has_lease);
        match (had_lease, has_lease) {
            (false, true) => tracing::info!("quota lease acquired"),
            (true, false) => tracing::warn!("quota lease expired, using the floors"),
            _ => {}
        }
    }

    fn close_stalled_connections(&mut self, now: MonotonicTime, net: &mut SocketReactor) {
        let is_stalled = |incomplete_since: &Option<MonotonicTime>| {
            incomplete_since.is_some_and(|since| now.saturating_duration_since(since) >= FRAME_TIMEOUT)
        };
        let connections = self.inbound_connections.iter();
        let stalled: Vec<Token> =
            connections.filter(|(_, since)| is_stalled(since)).map(|(token, _)| *token).collect();
        for token in stalled {
            self.counters.undecodable_frames += 1;
            self.close(net, token);
        }
    }

    fn answer_requests(&mut self, now: MonotonicTime, net: &mut SocketReactor, quotas: &mut QuotaAdmission) {
        let Some(service) = &mut self.grantor_service else { return };
        let batch = service.apply_pending(now);
        self.counters.reclaimed_leases += batch.expired_leases as u64;
        self.counters.applied_requests += batch.applied_requests as u64;
        for reply in batch.replies {
            match reply.requester {
                Requester::Local => {
                    self.counters.grants += u64::from(quotas.on_lease_grant(now, &reply.grant));
                }
                Requester::Remote(token) if self.inbound_connections.contains_key(&token) => {
                    send(net, token, &Message::Grant(reply.grant));
                }
                // The requester has disconnected in the meantime.
                Requester::Remote(_) => {}
            }
        }
    }

    fn send_to_grantor(&mut self, now: MonotonicTime, net: &mut SocketReactor, message: &Message) {
        // Messages that the connection has not sent in time are outdated, so close it and reconnect.
        let is_backlogged =
            |token: &Token| net.pending_output_bytes(*token) > self.frame_limits.max_frame_bytes();
        if let Some(token) = self.grantor_connection.filter(is_backlogged) {
            self.close(net, token);
        }
        if self.grantor_connection.is_none()
            && now.saturating_duration_since(self.last_connect_at) >= RECONNECT_INTERVAL
        {
            self.last_connect_at = now;
            self.grantor_connection = net.connect(self.grantor_address, SocketOwner::Quota).ok();
            if let Some(token) = self.grantor_connection {
                net.set_read_limit(token, self.frame_limits.max_frame_bytes());
            }
        }
        if let Some(token) = self.grantor_connection {
            send(net, token, message);
        }
    }
}

/// Decodes all complete frames and removes them from the input. The messages before an undecodable frame are still
/// decoded.
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
