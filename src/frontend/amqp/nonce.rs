//! Nonces, and the salt that is presented for unknown users in SCRAM exchanges.

use crate::hash::fnv1a;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;

/// The number of random octets in a nonce, before base64 encoding.
const NONCE_BYTES: usize = 18;

/// Creates a random nonce of printable characters without commas, as SCRAM requires.
pub fn nonce() -> String {
    let mut bytes = [0; NONCE_BYTES];
    // If the operating system provides no random numbers, all nonces are equal. That permits no more than the replay of
    // an old proof.
    let _ = getrandom::fill(&mut bytes);
    STANDARD.encode(bytes)
}

/// The salt that is presented for a user who does not exist. Like a stored salt, it is the same for each login, so that
/// clients cannot find out which users exist.
pub fn fake_salt(user: &str) -> [u8; 16] {
    let high = fnv1a(user);
    let low = fnv1a(&format!("salt of {user}"));
    (u128::from(high) << 64 | u128::from(low)).to_be_bytes()
}
