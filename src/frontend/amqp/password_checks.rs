//! Checks of PLAIN passwords, done a slice at a time so that no check delays the event loop; and the random or derived
//! values that SASL exchanges need.

use super::users::{Users, DEFAULT_ROUNDS};
use crate::net::Token;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use sparbank_amqp::{Pbkdf2, SaltedKeys};
use std::collections::VecDeque;

/// Rounds of PBKDF2 in one slice: some 0.2 ms of work.
const ROUNDS_PER_SLICE: u32 = 512;
/// Passwords that are checked at the same time: beyond these, clients are rejected without a check.
const MAX_PENDING_CHECKS: usize = 64;
/// Octets of a nonce before it is encoded.
const NONCE_BYTES: usize = 18;

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

/// The passwords that are being checked.
#[derive(Default)]
pub struct PasswordChecks {
    queue: VecDeque<PasswordCheck>,
}

impl PasswordChecks {
    /// Starts to check a password. False where too many checks are pending. An unknown user's check takes as long as
    /// a known one's, so that the time does not reveal which users exist.
    pub fn start(&mut self, token: Token, users: &Users, user: String, password: &[u8]) -> bool {
        if self.queue.len() >= MAX_PENDING_CHECKS {
            return false;
        }
        let keys = users.keys(&user).cloned();
        let derivation = match &keys {
            Some(keys) => Pbkdf2::new(password, &keys.salt, keys.rounds),
            None => Pbkdf2::new(password, &fake_salt(&user), DEFAULT_ROUNDS),
        };
        self.queue.push_back(PasswordCheck { token, user, keys, derivation });
        true
    }

    /// Does one slice of the next check in turn. Gives the check's result where it is complete with it.
    pub fn step(&mut self) -> Option<CheckedPassword> {
        let mut check = self.queue.pop_front()?;
        let Some(salted_password) = check.derivation.step(ROUNDS_PER_SLICE) else {
            self.queue.push_back(check);
            return None;
        };
        let is_valid = check.keys.is_some_and(|keys| keys.matches(&salted_password));
        Some(CheckedPassword { token: check.token, user: check.user, is_valid })
    }

    /// The connection whose check is next in turn.
    pub fn next_token(&self) -> Option<Token> {
        self.queue.front().map(|check| check.token)
    }
}

/// A random nonce: printable and without commas.
pub fn nonce() -> String {
    let mut bytes = [0; NONCE_BYTES];
    // Without random numbers all nonces are the same, which allows no more than the replay of an old proof.
    let _ = getrandom::fill(&mut bytes);
    STANDARD.encode(bytes)
}

/// The salt shown for a user that does not exist: the same on each request.
pub fn fake_salt(user: &str) -> [u8; 16] {
    let high = crate::hash::fnv1a(user);
    let low = crate::hash::fnv1a(&format!("salt of {user}"));
    (u128::from(high) << 64 | u128::from(low)).to_be_bytes()
}
