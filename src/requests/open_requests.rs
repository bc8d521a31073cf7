//! The requests that have not ended yet, indexed by id.

use crate::frontend_id::FrontendId;
use crate::model::{Arrival, RequestId, ServerId};
use sparbank_time::MonotonicTime;
use std::collections::HashMap;
use std::time::Duration;

/// An attempt that has no outcome yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The server that the attempt was sent to.
    pub server: ServerId,
    /// When the attempt was started.
    pub started_at: MonotonicTime,
    /// The attempt's number within its request, starting at one.
    pub number: u32,
    /// The request must not be written to the server at or after this time.
    pub send_by: MonotonicTime,
}

/// The state of a request between its arrival and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// A session from before this process started is being restored. Its frontend makes the attempts.
    Restoring,
    /// Waiting for its first attempt or a retry.
    AwaitingAttempt,
    /// One attempt is in flight.
    InFlight(Attempt),
    /// The connection is established at this server.
    Established(ServerId),
}

/// A request that has not ended yet.
#[derive(Clone, Debug)]
pub struct Request {
    /// The frontend through which the request arrived.
    pub frontend: FrontendId,
    /// The request's class, an index into [`Settings::classes`](crate::model::Settings::classes).
    pub class: usize,
    /// When the request arrived.
    pub started_at: MonotonicTime,
    /// When the client stops waiting for an answer.
    pub deadline: MonotonicTime,
    /// The number of attempts started so far.
    pub attempts: u32,
    pub state: RequestState,
    /// Whether the request counts against the quotas until it ends.
    pub uses_quota: bool,
}

impl Request {
    /// The attempt in flight, if there is one.
    pub fn attempt_in_flight(&self) -> Option<Attempt> {
        match self.state {
            RequestState::InFlight(attempt) => Some(attempt),
            RequestState::Restoring | RequestState::AwaitingAttempt | RequestState::Established(_) => None,
        }
    }

    /// Whether the request's connection is established.
    pub fn is_established(&self) -> bool {
        matches!(self.state, RequestState::Established(_))
    }
}

/// An established connection handed over by this process's predecessor.
#[derive(Clone, Debug, PartialEq)]
pub struct HandedOverConnection {
    /// The frontend through which the request arrived.
    pub frontend: FrontendId,
    /// The request that opened the connection.
    pub arrival: Arrival,
    /// The server of the connection.
    pub server: ServerId,
    /// When the request arrived, on this node's clock.
    pub started_at: MonotonicTime,
    /// The load in the connection's last load report, as work time per second; `None` if there was no report.
    pub load: Option<Duration>,
}

/// All open requests. Assigns request ids in order of arrival; ids are never reused.
#[derive(Default)]
pub struct OpenRequests {
    by_id: HashMap<RequestId, Request, foldhash::fast::RandomState>,
    last_id: u64,
}

impl OpenRequests {
    /// Adds a request and assigns its id, which is also written into `arrival`.
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

    /// The request with this id, if it is open.
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.by_id.get(&id)
    }

    /// Mutable access to the request with this id, if it is open.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.by_id.get_mut(&id)
    }

    /// Marks a request as counted against the quotas until it ends.
    pub fn mark_uses_quota(&mut self, id: RequestId) {
        if let Some(request) = self.by_id.get_mut(&id) {
            request.uses_quota = true;
        }
    }

    /// Removes a request and returns it, if it was open.
    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        self.by_id.remove(&id)
    }

    /// Whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// The ids of the requests that satisfy `predicate`, oldest first.
    pub fn ids_oldest_first(&self, predicate: impl Fn(&Request) -> bool) -> Vec<RequestId> {
        let matching = self.by_id.iter().filter(|(_, request)| predicate(request));
        let mut ids: Vec<RequestId> = matching.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }
}
