//! The requests that may still be answered or ended, by their ids.

use crate::frontend_id::FrontendId;
use crate::model::{Arrival, RequestId, ServerId};
use sparbank_time::MonotonicTime;
use std::collections::HashMap;
use std::time::Duration;

/// An attempt that has no outcome yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The server that it was sent to.
    pub server: ServerId,
    /// When it was sent.
    pub sent_at: MonotonicTime,
    /// Its number within the request, from one.
    pub number: u32,
    /// The request is not to be written to the server from this time on.
    pub send_by: MonotonicTime,
}

/// The state of a request between its arrival and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// It waits for its first attempt or a retry.
    NoAttempt,
    /// One attempt is in flight.
    InFlight(Attempt),
    /// Its connection is established at this server.
    Established(ServerId),
}

/// A request that may still be answered or ended.
#[derive(Clone, Debug)]
pub struct Request {
    /// The frontend through which it arrived.
    pub frontend: FrontendId,
    /// Its class, an index into the settings' classes.
    pub class: usize,
    /// When it arrived.
    pub started_at: MonotonicTime,
    /// When its client stops waiting.
    pub deadline: MonotonicTime,
    /// The number of attempts so far.
    pub attempts: u32,
    /// Its state.
    pub state: RequestState,
    /// Whether it counts against the quotas until it ends.
    pub uses_quota: bool,
}

impl Request {
    /// Its attempt, while one is in flight.
    pub fn attempt_in_flight(&self) -> Option<Attempt> {
        match self.state {
            RequestState::InFlight(attempt) => Some(attempt),
            RequestState::NoAttempt | RequestState::Established(_) => None,
        }
    }

    /// Whether its connection is established.
    pub fn is_established(&self) -> bool {
        matches!(self.state, RequestState::Established(_))
    }
}

/// An established connection that the process before this one handed over.
#[derive(Clone, Debug, PartialEq)]
pub struct HandedOverConnection {
    /// The frontend through which its request arrived.
    pub frontend: FrontendId,
    /// The request that opened it.
    pub arrival: Arrival,
    /// Its server.
    pub server: ServerId,
    /// When its request arrived, on the node's clock.
    pub started_at: MonotonicTime,
    /// Its last load report: work per second.
    pub load: Option<Duration>,
}

/// All open requests. Ids are assigned here, in the order of arrival, and never reused.
#[derive(Default)]
pub struct OpenRequests {
    by_id: HashMap<RequestId, Request, foldhash::fast::RandomState>,
    last_id: u64,
}

impl OpenRequests {
    /// Adds a request and assigns its id, which is also written into the arrival.
    pub fn insert(
        &mut self,
        now: MonotonicTime,
        frontend: FrontendId,
        arrival: &mut Arrival,
        state: RequestState,
    ) -> RequestId {
        self.last_id += 1;
        arrival.id = RequestId(self.last_id);
        let request = Request {
            frontend,
            class: arrival.class,
            started_at: now,
            deadline: now + arrival.time_left,
            attempts: 0,
            state,
            uses_quota: false,
        };
        self.by_id.insert(arrival.id, request);
        arrival.id
    }

    /// The request with this id, while it is open.
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.by_id.get(&id)
    }

    /// The request with this id, while it is open.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.by_id.get_mut(&id)
    }

    /// The request counts against the quotas until it ends.
    pub fn mark_quota_used(&mut self, id: RequestId) {
        if let Some(request) = self.by_id.get_mut(&id) {
            request.uses_quota = true;
        }
    }

    /// Takes a request out.
    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        self.by_id.remove(&id)
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// The ids of the requests that match, oldest first.
    pub fn ids_oldest_first(&self, matches: impl Fn(&Request) -> bool) -> Vec<RequestId> {
        let matching = self.by_id.iter().filter(|(_, request)| matches(request));
        let mut ids: Vec<RequestId> = matching.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }
}
