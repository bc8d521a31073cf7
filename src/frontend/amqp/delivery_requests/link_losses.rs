//! Requests whose link is detached or whose client is lost. They continue while their link may be resumed; all others are
//! abandoned.

use super::DeliveryRequests;
use crate::frontend::amqp::clients::{Client, ClientSendingLink};
use crate::frontend::amqp::connection_link::ConnectionLink;
use crate::frontend::amqp::peers::Peers;
use crate::frontend::amqp::recovery::{LinkKey, ResumedLink};
use crate::frontend::FrontendContext;
use crate::model::RequestId;
use crate::net::Token;
use sparbank_amqp::{AbandonedDelivery, DetachMode, Role, Tag};
use std::time::Duration;

/// A client's sending link that was detached.
pub struct DetachedLink {
    /// The connection of the link, and the id that the link had on it.
    pub at: ConnectionLink,
    /// The link as it was before the detach.
    pub link: ClientSendingLink,
    /// Whether the link was closed, or suspended so that it may be resumed.
    pub mode: DetachMode,
    /// The requests whose deliveries were unsettled on the link.
    pub requests: Vec<RequestId>,
}

impl DeliveryRequests {
    /// Keeps a request running after the loss of its link, which may be resumed. The answer is retained for the
    /// resumed link.
    fn suspend(&mut self, peers: &mut Peers<'_>, key: &LinkKey, request_id: RequestId) {
        let delivery = self.deliveries.get_mut(request_id).filter(|delivery| delivery.is_attached);
        let Some(delivery) = delivery else { return };
        if let Some(client) = peers.clients.get(delivery.link.token) {
            client.remove_open_request();
        }
        delivery.is_attached = false;
        self.recovery.record_running(key, delivery.tag, request_id);
    }

    /// Handles the attach of a client's sending link. `unsettled` holds the tags of the client's unsettled map. If the
    /// link is lost, its state is retained for `timeout`.
    pub fn on_link_attached(
        &mut self,
        peers: &Peers<'_>,
        key: &LinkKey,
        token: Token,
        timeout: Duration,
        unsettled: &[Tag],
    ) -> ResumedLink {
        // What has not arrived completely does not arrive any more: the client may send it as new.
        let mut incomplete = self.recovery.running_requests(key);
        incomplete.retain(|request_id| !self.deliveries.is_complete(*request_id));
        for request_id in &incomplete {
            self.recovery.remove_request(*request_id);
        }
        let mut resumed =
            self.recovery.attach(peers.config.recovery_limits(), key, token, timeout, unsettled);
        resumed.abandoned.append(&mut incomplete);
        resumed
    }

    /// Whether the deliveries of a link are retained.
    pub fn is_retained(&self, key: &LinkKey) -> bool {
        self.recovery.is_retained(key)
    }

    /// Handles the detach of a client's sending link. Its requests are abandoned, unless the link is suspended.
    pub fn on_link_detached(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        detached: DetachedLink,
    ) {
        let DetachedLink { at, link, mode, mut requests } = detached;
        let limits = peers.config.recovery_limits();
        // A link that was attached on another connection since then ends with that connection.
        let is_suspended = self.recovery.was_attached_later(&link.key, at.token)
            || (mode == DetachMode::Suspended && self.recovery.suspend(limits, &link.key, at.token, ctx.now));
        requests.retain(|request_id| self.deliveries.is_on_link(*request_id, at));
        for request_id in requests {
            if is_suspended && self.deliveries.is_complete(request_id) {
                self.suspend(peers, &link.key, request_id);
            } else {
                self.abandon(ctx, peers, request_id);
            }
        }
        if !is_suspended {
            let removed = self.recovery.remove_link(&link.key);
            self.abandon_all(ctx, peers, removed);
        }
        self.drop_incomplete(at.token, &link.incomplete);
    }

    /// Abandons the requests of a client that has ended its stream, except those on links that it may resume.
    pub fn on_client_departed(&mut self, ctx: &mut FrontendContext, peers: &mut Peers<'_>, token: Token) {
        if !peers.clients.get(token).is_some_and(|client| client.has_open_requests()) {
            return;
        }
        for request_id in self.deliveries.unsettled_of_client(token) {
            let Some(delivery) = self.deliveries.get(request_id) else { continue };
            let (link, is_complete) = (delivery.link.id, delivery.is_complete);
            let sending_link = peers.clients.get(token).and_then(|client| client.sending_link(link));
            let may_be_resumed = is_complete && sending_link.is_some_and(|link| link.is_retained);
            if !may_be_resumed {
                self.abandon(ctx, peers, request_id);
            }
        }
    }

    /// Handles the loss of a client's connection. Requests on resumable links continue; all others are abandoned.
    pub fn on_connection_lost(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        token: Token,
        client: &mut Client,
    ) {
        for AbandonedDelivery { link, role, key } in client.conn.abandon() {
            if role != Role::Receiver {
                continue;
            }
            let request_id = RequestId(key);
            if !self.deliveries.is_on_link(request_id, ConnectionLink { token, id: link }) {
                continue;
            }
            let link = client.sending_link(link).filter(|link| link.is_retained);
            match link.filter(|_| self.deliveries.is_complete(request_id)) {
                Some(link) => self.suspend(peers, &link.key.clone(), request_id),
                None => self.abandon(ctx, peers, request_id),
            }
        }
        let removed = self.recovery.on_connection_lost(token, ctx.now);
        self.abandon_all(ctx, peers, removed);
    }

    /// Removes the links that were not resumed before their timeout, and abandons their requests.
    pub fn expire(&mut self, ctx: &mut FrontendContext, peers: &mut Peers<'_>) {
        let expired = self.recovery.expire(ctx.now);
        self.abandon_all(ctx, peers, expired);
    }
}
