//! Checks of PLAIN passwords. The work is split into slices so that no check stalls the event loop.

use super::nonce::fake_salt;
use super::users::{Users, DEFAULT_ITERATIONS};
use crate::net::Token;
use sparbank_amqp::{Pbkdf2, SaltedKeys};
use std::collections::VecDeque;

/// The number of PBKDF2 iterations per slice, which take about 0.2 ms.
const ITERATIONS_PER_SLICE: u32 = 512;
/// The maximum number of pending checks. Further clients are rejected without a check.
const MAX_PENDING_CHECKS: usize = 64;

struct PasswordCheck {
    token: Token,
    user: String,
    /// The keys of the user; `None` if there is no user with this name.
    keys: Option<SaltedKeys>,
    derivation: Pbkdf2,
}

/// The result of a password check.
pub struct CheckedPassword {
    /// The socket of the client's connection.
    pub token: Token,
    /// The user name that the client gave.
    pub user: String,
    /// Whether the password is that user's.
    pub is_valid: bool,
}

/// The maximum number of password checks is pending.
#[derive(Debug, thiserror::Error)]
#[error("too many passwords are being checked")]
pub struct TooManyChecks;

/// The pending password checks; the one at the front of the queue is processed next.
#[derive(Default)]
pub struct PasswordChecks {
    queue: VecDeque<PasswordCheck>,
}

impl PasswordChecks {
    /// Starts the check of a password. The check for an unknown user does as much work as that for a user with
    /// [`DEFAULT_ITERATIONS`], so that its duration does not reveal which users exist.
    ///
    /// # Errors
    /// The maximum number of checks is pending.
    pub fn start(
        &mut self,
        token: Token,
        users: &Users,
        user: String,
        password: &[u8],
    ) -> Result<(), TooManyChecks> {
        if self.queue.len() >= MAX_PENDING_CHECKS {
            return Err(TooManyChecks);
        }
        let keys = users.keys(&user).cloned();
        let derivation = match &keys {
            Some(keys) => Pbkdf2::new(password, &keys.salt, keys.iterations),
            None => Pbkdf2::new(password, &fake_salt(&user), DEFAULT_ITERATIONS),
        };
        self.queue.push_back(PasswordCheck { token, user, keys, derivation });
        Ok(())
    }

    /// Runs one slice of the next check. Returns the result if the check is complete; otherwise moves the check to the
    /// end of the queue.
    pub fn step(&mut self) -> Option<CheckedPassword> {
        let mut check = self.queue.pop_front()?;
        let Some(salted_password) = check.derivation.step(ITERATIONS_PER_SLICE) else {
            self.queue.push_back(check);
            return None;
        };
        let is_valid = check.keys.is_some_and(|keys| keys.matches(&salted_password));
        Some(CheckedPassword { token: check.token, user: check.user, is_valid })
    }

    /// The connection of the client whose check is next.
    pub fn next_token(&self) -> Option<Token> {
        self.queue.front().map(|check| check.token)
    }
}
