//! The attempts whose connections are open at the simulated servers. Whether a node has closed one is asked of the kernel,
//! since a busy run's thread reads the end of a connection late, and possibly after the line of the next attempt.

use sparbank_test_support::loopback::has_peer_closed;
use std::collections::HashMap;
use std::io;
use std::os::fd::{AsFd, OwnedFd};

/// Identifies an attempt among all of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptNumber(u64);

struct OpenAttempt {
    number: AttemptNumber,
    server: usize,
    /// A duplicate of the descriptor of the attempt's connection.
    connection: OwnedFd,
}

/// The attempts that have not ended, by request id.
#[derive(Default)]
pub struct OpenAttempts {
    by_request: HashMap<String, Vec<OpenAttempt>>,
    /// Number of attempts added so far.
    added: u64,
}

impl OpenAttempts {
    /// Adds an attempt. Its connection closes only after the attempt's removal.
    ///
    /// # Errors
    /// The descriptor of the connection cannot be duplicated.
    pub fn insert(&mut self, id: &str, server: usize, connection: &impl AsFd) -> io::Result<AttemptNumber> {
        let connection = connection.as_fd().try_clone_to_owned()?;
        self.added += 1;
        let number = AttemptNumber(self.added);
        self.by_request.entry(id.to_string()).or_default().push(OpenAttempt { number, server, connection });
        Ok(number)
    }

    /// Removes an attempt. Returns false if it is not among the open ones any more.
    pub fn remove(&mut self, id: &str, number: AttemptNumber) -> bool {
        !self.remove_where(id, |attempt| attempt.number == number).is_empty()
    }

    /// Removes the attempts of a request whose connections its node has closed, and returns their servers.
    pub fn remove_closed(&mut self, id: &str) -> Vec<usize> {
        let closed = self.remove_where(id, |attempt| has_peer_closed(&attempt.connection));
        closed.into_iter().map(|attempt| attempt.server).collect()
    }

    fn remove_where(&mut self, id: &str, predicate: impl Fn(&OpenAttempt) -> bool) -> Vec<OpenAttempt> {
        let Some(attempts) = self.by_request.get_mut(id) else { return Vec::new() };
        let removed = attempts.extract_if(.., |attempt| predicate(attempt)).collect();
        if attempts.is_empty() {
            self.by_request.remove(id);
        }
        removed
    }
}

#[cfg(test)]
mod tests;
