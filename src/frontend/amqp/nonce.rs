//! The random and derived values of SASL exchanges.

use crate::hash::fnv1a;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;

/// Octets of a nonce before it is encoded.
const NONCE_BYTES: usize = 18;

/// A random nonce: printable and without commas.
pub fn nonce() -> String {
    let mut bytes = [0; NONCE_BYTES];
    // Without random numbers all nonces are the same, which allows no more than the replay of an old proof.
    let _ = getrandom::fill(&mut bytes);
    STANDARD.encode(bytes)
}

/// The salt shown for a user that does not exist. It is the same on each request, as a stored salt is.
pub fn fake_salt(user: &str) -> [u8; 16] {
    let high = fnv1a(user);
    let low = fnv1a(&format!("salt of {user}"));
    (u128::from(high) << 64 | u128::from(low)).to_be_bytes()
}
