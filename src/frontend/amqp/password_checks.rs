//! Checks of PLAIN passwords, done a slice at a time so that no check delays the event loop.

use super::nonce::fake_salt;
use super::users::{Users, DEFAULT_ROUNDS};
use crate::net::Token;
use sparbank_amqp::{Pbkdf2, SaltedKeys};
use std::collections::VecDeque;

/// Rounds of PBKDF2 in one slice: some 0.2 ms of work.
const ROUNDS_PER_SLICE: u32 = 512;
/// Passwords that are checked at the same time: beyond these, clients are rejected without a check.
const MAX_PENDING_CHECKS: usize = 64;

struct PasswordCheck {
    token: Token,
    user: String,
    keys: Option<SaltedKeys>,
    derivation: Pbkdf2,
}

/// The result of a check.
pub struct CheckedPassword {
    /// The client's connection.
    pub token: Token,
    /// The user that the client claims to be.
    pub user: String,
    /// Whether the password is that user's.
    pub is_valid: bool,
}

/// Too many passwords are being checked.
#[derive(Debug, thiserror::Error)]
#[error("too many passwords are being checked")]
pub struct TooManyChecks;

/// The passwords that are being checked, the next first.
#[derive(Default)]
pub struct PasswordChecks {
    queue: VecDeque<PasswordCheck>,
}

impl PasswordChecks {
    /// Starts to check a password. An unknown user's check takes as long as a known one's, so that the time does not
    /// reveal which users exist.
    ///
    /// # Errors
    /// Too many checks are pending.
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
            Some(keys) => Pbkdf2::new(password, &keys.salt, keys.rounds),
            None => Pbkdf2::new(password, &fake_salt(&user), DEFAULT_ROUNDS),
        };
        self.queue.push_back(PasswordCheck { token, user, keys, derivation });
        Ok(())
    }

    /// Does one slice of the next check. Returns the check's result if it is complete with it; otherwise the other checks
    /// come first.
    pub fn step(&mut self) -> Option<CheckedPassword> {
        let mut check = self.queue.pop_front()?;
        let Some(salted_password) = check.derivation.step(ROUNDS_PER_SLICE) else {
            self.queue.push_back(check);
            return None;
        };
        let is_valid = check.keys.is_some_and(|keys| keys.matches(&salted_password));
        Some(CheckedPassword { token: check.token, user: check.user, is_valid })
    }

    /// The connection whose check is next.
    pub fn next_token(&self) -> Option<Token> {
        self.queue.front().map(|check| check.token)
    }
}
