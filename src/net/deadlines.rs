//! Queues of socket deadlines.

use super::slab::Token;
use sparbank_time::MonotonicTime;
use std::collections::VecDeque;

/// A deadline of one socket.
pub(super) struct SocketDeadline {
    at: MonotonicTime,
    token: Token,
}

impl SocketDeadline {
    /// The socket's token, which may be invalid by now.
    pub(super) fn token(&self) -> Token {
        self.token
    }
}

/// Deadlines of one kind, the earliest first. Entries of sockets that have been closed may remain in the
/// queue.
#[derive(Default)]
pub(super) struct DeadlineQueue {
    entries: VecDeque<SocketDeadline>,
}

impl DeadlineQueue {
    /// Appends a deadline that is no earlier than any other in the queue.
    pub(super) fn push_latest(&mut self, at: MonotonicTime, token: Token) {
        self.entries.push_back(SocketDeadline { at, token });
    }

    /// Inserts a deadline in order, behind equal ones.
    pub(super) fn insert(&mut self, at: MonotonicTime, token: Token) {
        let index = self.entries.partition_point(|other| other.at <= at);
        self.entries.insert(index, SocketDeadline { at, token });
    }

    /// Removes the entries at the front whose sockets match a predicate.
    pub(super) fn drop_front_while(&mut self, predicate: impl Fn(Token) -> bool) {
        while self.entries.front().is_some_and(|deadline| predicate(deadline.token)) {
            self.entries.pop_front();
        }
    }

    /// Takes the earliest deadline if it has been reached.
    pub(super) fn pop_expired(&mut self, now: MonotonicTime) -> Option<Token> {
        if self.entries.front()?.at > now {
            return None;
        }
        self.pop_earliest().map(|deadline| deadline.token)
    }

    /// Takes the earliest deadline, reached or not.
    pub(super) fn pop_earliest(&mut self) -> Option<SocketDeadline> {
        self.entries.pop_front()
    }

    /// Puts entries from [`DeadlineQueue::pop_earliest`] back at the front, in the order in which they were
    /// popped.
    pub(super) fn put_back(&mut self, popped: Vec<SocketDeadline>) {
        for deadline in popped.into_iter().rev() {
            self.entries.push_front(deadline);
        }
    }

    /// Returns the deadline of a socket.
    pub(super) fn deadline_of(&self, token: Token) -> Option<MonotonicTime> {
        self.entries.iter().find(|deadline| deadline.token == token).map(|deadline| deadline.at)
    }

    /// The tokens of all entries.
    pub(super) fn tokens(&self) -> impl Iterator<Item = Token> + '_ {
        self.entries.iter().map(|deadline| deadline.token)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

#[cfg(test)]
mod tests;
