//! Time limits of sockets, in the order in which they end.

use super::slab::Token;
use sparbank_time::MonotonicTime;
use std::collections::VecDeque;

/// A time limit of one socket.
pub(super) struct SocketDeadline {
    at: MonotonicTime,
    token: Token,
}

impl SocketDeadline {
    /// The socket, whose token may be invalid by now.
    pub(super) fn token(&self) -> Token {
        self.token
    }
}

/// Time limits of one kind, the earliest in front. Entries of sockets that are closed by now may be among them.
#[derive(Default)]
pub(super) struct DeadlineQueue {
    entries: VecDeque<SocketDeadline>,
}

impl DeadlineQueue {
    /// Adds a time limit that ends no earlier than all others.
    pub(super) fn push_latest(&mut self, at: MonotonicTime, token: Token) {
        self.entries.push_back(SocketDeadline { at, token });
    }

    /// Adds a time limit at its place, behind those that end at the same time.
    pub(super) fn insert(&mut self, at: MonotonicTime, token: Token) {
        let index = self.entries.partition_point(|other| other.at <= at);
        self.entries.insert(index, SocketDeadline { at, token });
    }

    /// Takes the earliest time limit if it has been reached.
    pub(super) fn pop_reached(&mut self, now: MonotonicTime) -> Option<Token> {
        if self.entries.front()?.at > now {
            return None;
        }
        self.pop_earliest().map(|deadline| deadline.token)
    }

    /// Takes the earliest time limit, reached or not.
    pub(super) fn pop_earliest(&mut self) -> Option<SocketDeadline> {
        self.entries.pop_front()
    }

    /// Puts back what [`DeadlineQueue::pop_earliest`] has taken, in the same order.
    pub(super) fn put_back(&mut self, popped: Vec<SocketDeadline>) {
        for deadline in popped.into_iter().rev() {
            self.entries.push_front(deadline);
        }
    }

    /// The time limit of a socket.
    pub(super) fn deadline_of(&self, token: Token) -> Option<MonotonicTime> {
        self.entries.iter().find(|deadline| deadline.token == token).map(|deadline| deadline.at)
    }

    /// The sockets that have a time limit.
    pub(super) fn tokens(&self) -> impl Iterator<Item = Token> + '_ {
        self.entries.iter().map(|deadline| deadline.token)
    }

    /// Whether there is no time limit.
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

#[cfg(test)]
mod tests;
