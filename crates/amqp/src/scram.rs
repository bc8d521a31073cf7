//! SCRAM-SHA-256 (RFC 5802, RFC 7677), and an incremental PBKDF2, so that hashing a password does not block an event
//! loop.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};
use std::fmt;
use subtle::ConstantTimeEq;

type Key = [u8; 32];

fn new_mac(key: &[u8]) -> Hmac<Sha256> {
    // HMAC accepts keys of any length, so the error cannot occur. The fallback to an empty key avoids a panic.
    Hmac::<Sha256>::new_from_slice(key).unwrap_or_else(|_| Hmac::<Sha256>::new(&Default::default()))
}

fn hmac(key: &[u8], message: &[u8]) -> Key {
    let mut mac = new_mac(key);
    mac.update(message);
    mac.finalize().into_bytes().into()
}

fn xor_into(target: &mut Key, other: &Key) {
    target.iter_mut().zip(other).for_each(|(octet, other)| *octet ^= other);
}

/// An incremental computation of one block of PBKDF2-HMAC-SHA-256 (RFC 8018).
pub struct Pbkdf2 {
    mac: Hmac<Sha256>,
    last_block: Key,
    sum: Key,
    /// The number of iterations left.
    remaining: u32,
}

impl Pbkdf2 {
    /// Starts the computation for a password. `iterations` is the total number of iterations, at least 1.
    pub fn new(password: &[u8], salt: &[u8], iterations: u32) -> Pbkdf2 {
        let mac = new_mac(password);
        let mut first = mac.clone();
        first.update(salt);
        first.update(&1u32.to_be_bytes());
        let last_block: Key = first.finalize().into_bytes().into();
        Pbkdf2 { mac, last_block, sum: last_block, remaining: iterations.saturating_sub(1) }
    }

    /// Performs at most `max_iterations` iterations. Returns the derived key once all are done.
    pub fn step(&mut self, max_iterations: u32) -> Option<[u8; 32]> {
        for _ in 0..max_iterations.min(self.remaining) {
            let mut mac = self.mac.clone();
            mac.update(&self.last_block);
            self.last_block = mac.finalize().into_bytes().into();
            xor_into(&mut self.sum, &self.last_block);
        }
        self.remaining -= max_iterations.min(self.remaining);
        (self.remaining == 0).then_some(self.sum)
    }
}

/// The keys that a server stores for a user (RFC 5802, section 3). The password can be recovered from them only by
/// guessing.
#[derive(Clone, PartialEq, Eq)]
pub struct SaltedKeys {
    /// The salt of the password, which is sent to the client.
    pub salt: Vec<u8>,
    /// The iteration count of PBKDF2. RFC 7677 requires at least 4096.
    pub iterations: u32,
    /// H(HMAC(salted password, "Client Key")).
    pub stored_key: [u8; 32],
    /// HMAC(salted password, "Server Key").
    pub server_key: [u8; 32],
}

impl fmt::Debug for SaltedKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The keys are omitted so that they cannot appear in logs.
        f.debug_struct("SaltedKeys").field("iterations", &self.iterations).finish_non_exhaustive()
    }
}

impl SaltedKeys {
    /// Derives the keys from a salted password.
    pub fn from_salted(salted_password: &[u8; 32], salt: Vec<u8>, iterations: u32) -> SaltedKeys {
        let client_key = hmac(salted_password, b"Client Key");
        let stored_key = Sha256::digest(client_key).into();
        SaltedKeys { salt, iterations, stored_key, server_key: hmac(salted_password, b"Server Key") }
    }

    /// Whether the keys belong to the salted password.
    pub fn matches(&self, salted_password: &[u8; 32]) -> bool {
        let stored_key: Key = Sha256::digest(hmac(salted_password, b"Client Key")).into();
        stored_key.ct_eq(&self.stored_key).into()
    }
}

/// The iteration count sent for an unknown user.
const FAKE_ITERATIONS: u32 = 4096;

/// The server's side of an exchange after the client-first-message was received.
#[derive(Debug)]
pub struct Server {
    client_first_bare: String,
    gs2_header: String,
    nonce: String,
    server_first: String,
    keys: Option<SaltedKeys>,
}

/// A parsed client-first-message (RFC 5802, section 7).
pub struct ClientFirst {
    /// The user that the client claims to be.
    pub user: String,
    bare: String,
    gs2_header: String,
    nonce: String,
}

/// Parses a client-first-message. Channel binding is not supported, so a message that requires it is rejected.
pub fn parse_client_first(bytes: &[u8]) -> Option<ClientFirst> {
    let text = std::str::from_utf8(bytes).ok()?;
    let mut fields = text.splitn(3, ',');
    let gs2_flag = fields.next()?;
    let _authorization_id = fields.next()?;
    if gs2_flag != "n" && gs2_flag != "y" {
        return None;
    }
    let bare = fields.next()?;
    let gs2_header = text[..text.len() - bare.len()].to_string();
    let mut user = None;
    let mut nonce = None;
    for attribute in bare.split(',') {
        match attribute.split_once('=') {
            Some(("n", name)) => user = Some(name.replace("=2C", ",").replace("=3D", "=")),
            Some(("r", value)) => nonce = Some(value.to_string()),
            Some(("m", _)) | None => return None,
            Some(_) => {}
        }
    }
    Some(ClientFirst {
        user: user?,
        bare: bare.to_string(),
        gs2_header,
        nonce: nonce.filter(|n| !n.is_empty())?,
    })
}

impl Server {
    /// Creates the answer to a client-first-message. For an unknown user `keys` is `None`, and `fake_salt` is sent in
    /// place of the stored salt, so that the answer does not reveal which users exist.
    pub fn new(
        client_first: ClientFirst,
        keys: Option<SaltedKeys>,
        fake_salt: &[u8],
        server_nonce: &str,
    ) -> Server {
        let nonce = format!("{}{server_nonce}", client_first.nonce);
        let (salt, iterations) =
            keys.as_ref().map_or((fake_salt, FAKE_ITERATIONS), |keys| (&keys.salt[..], keys.iterations));
        let server_first = format!("r={nonce},s={},i={iterations}", STANDARD.encode(salt));
        Server {
            client_first_bare: client_first.bare,
            gs2_header: client_first.gs2_header,
            nonce,
            server_first,
            keys,
        }
    }

    /// The server-first-message: the combined nonce, the salt and the iteration count.
    pub fn challenge(&self) -> Vec<u8> {
        self.server_first.clone().into_bytes()
    }

    /// Handles the client-final-message. Returns the server-final-message if its proof is valid.
    pub fn finish(&self, bytes: &[u8]) -> Option<Vec<u8>> {
        let text = std::str::from_utf8(bytes).ok()?;
        let (without_proof, proof) = text.rsplit_once(",p=")?;
        let mut fields = without_proof.split(',');
        let channel_binding = fields.next()?.strip_prefix("c=")?;
        let nonce = fields.next()?.strip_prefix("r=")?;
        if STANDARD.decode(channel_binding).ok()? != self.gs2_header.as_bytes() || nonce != self.nonce {
            return None;
        }
        let keys = self.keys.as_ref()?;
        let auth_message = format!("{},{},{without_proof}", self.client_first_bare, self.server_first);
        let mut client_key: Key = STANDARD.decode(proof).ok()?.try_into().ok()?;
        xor_into(&mut client_key, &hmac(&keys.stored_key, auth_message.as_bytes()));
        let stored_key: Key = Sha256::digest(client_key).into();
        if !bool::from(stored_key.ct_eq(&keys.stored_key)) {
            return None;
        }
        let signature = hmac(&keys.server_key, auth_message.as_bytes());
        Some(format!("v={}", STANDARD.encode(signature)).into_bytes())
    }
}

/// The client's side of an exchange.
pub struct Client {
    client_first_bare: String,
    password: String,
    nonce: String,
    server_signature: Option<Vec<u8>>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The password is omitted so that it cannot appear in logs.
        f.debug_struct("Client").field("nonce", &self.nonce).finish_non_exhaustive()
    }
}

/// The highest iteration count that a client accepts. It prevents a server from keeping a client busy.
const MAX_ITERATIONS: u32 = 100_000;

impl Client {
    /// Starts an exchange. The nonce consists of printable characters without commas.
    pub fn new(user: &str, password: &str, nonce: &str) -> Client {
        let user = user.replace('=', "=3D").replace(',', "=2C");
        let client_first_bare = format!("n={user},r={nonce}");
        Client { client_first_bare, password: password.into(), nonce: nonce.into(), server_signature: None }
    }

    /// The client-first-message: the user and the client nonce, without channel binding.
    pub fn client_first(&self) -> Vec<u8> {
        format!("n,,{}", self.client_first_bare).into_bytes()
    }

    /// Creates the client-final-message in answer to the server-first-message. Returns `None` if the latter is invalid.
    pub fn client_final(&mut self, challenge: &[u8]) -> Option<Vec<u8>> {
        let text = std::str::from_utf8(challenge).ok()?;
        let field = |name: &str| text.split(',').find_map(|f| f.strip_prefix(name)?.strip_prefix('='));
        let nonce = field("r")?;
        let salt = STANDARD.decode(field("s")?).ok()?;
        let iterations: u32 = field("i")?.parse().ok()?;
        if !nonce.starts_with(&self.nonce) || nonce.len() == self.nonce.len() || iterations > MAX_ITERATIONS {
            return None;
        }
        let salted_password = Pbkdf2::new(self.password.as_bytes(), &salt, iterations).step(iterations)?;
        let keys = SaltedKeys::from_salted(&salted_password, salt, iterations);
        let without_proof = format!("c=biws,r={nonce}");
        let auth_message = format!("{},{text},{without_proof}", self.client_first_bare);
        let mut proof = hmac(&salted_password, b"Client Key");
        xor_into(&mut proof, &hmac(&keys.stored_key, auth_message.as_bytes()));
        self.server_signature = Some(hmac(&keys.server_key, auth_message.as_bytes()).to_vec());
        Some(format!("{without_proof},p={}", STANDARD.encode(proof)).into_bytes())
    }

    /// Whether the server-final-message proves that the server has the user's keys.
    pub fn verify_server(&self, server_final: &[u8]) -> bool {
        let signature = std::str::from_utf8(server_final).ok().and_then(|t| t.strip_prefix("v="));
        let received = signature.and_then(|s| STANDARD.decode(s).ok());
        match (&self.server_signature, received) {
            (Some(expected), Some(received)) => expected.ct_eq(&received).into(),
            _ => false,
        }
    }
}

#[cfg(test)]
mod tests;
