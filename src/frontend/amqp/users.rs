//! The users' file: who may connect, with which keys, and what each user may attach to.

use super::error::FileError;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Serialize};
use sparbank_amqp::{Mechanism, Pbkdf2, SaltedKeys};
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;

/// Rounds of PBKDF2 for a new password (RFC 7677 requires 4,096 at least).
pub const DEFAULT_ROUNDS: u32 = 4096;
/// A file may not require more rounds: each check of a PLAIN password costs them all.
const MAX_ROUNDS: u32 = 100_000;
/// Octets of salt for a new password.
const SALT_BYTES: usize = 16;

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct UsersFile {
    users: BTreeMap<String, UserEntry>,
    /// What anonymous clients may do; absent: nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    anonymous: Option<Rights>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct UserEntry {
    salt: String,
    rounds: u32,
    stored_key: String,
    server_key: String,
    #[serde(flatten)]
    rights: Rights,
}

/// What a user may do.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct Rights {
    /// Classes that it may attach to; absent: all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub classes: Option<Vec<String>>,
    /// The subscriber that its traffic is counted for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub subscriber: Option<String>,
}

/// An authenticated client.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Identity {
    /// The user's name; none for an anonymous client.
    pub name: Option<String>,
    /// What it may do.
    pub rights: Rights,
}

impl Identity {
    /// Whether it may attach to this class.
    pub fn may_attach_to(&self, class: &str) -> bool {
        self.rights.classes.as_ref().is_none_or(|classes| classes.iter().any(|allowed| allowed == class))
    }

    /// The subscriber that its links' credit is counted for.
    pub fn subscriber(&self) -> &str {
        self.rights.subscriber.as_deref().or(self.name.as_deref()).unwrap_or("")
    }
}

/// What the transport of a client's connection offers to its authentication.
#[derive(Clone, Copy, Debug)]
pub struct TransportSecurity {
    /// Passwords may be sent as they are.
    pub allows_plain: bool,
    /// The client is asked for a certificate, which can authenticate it.
    pub requests_certificate: bool,
}

/// All users of a users' file.
#[derive(Clone, Debug, Default)]
pub struct Users {
    keys: BTreeMap<String, SaltedKeys>,
    identities: BTreeMap<String, Rc<Identity>>,
    anonymous: Option<Rc<Identity>>,
}

impl Users {
    /// Reads the users' file.
    ///
    /// # Errors
    /// The file cannot be read, or an entry is wrong: the error names the file and the field.
    pub fn read(path: &Path) -> Result<Users, FileError> {
        let text = std::fs::read_to_string(path).map_err(|error| FileError::io(path, error))?;
        let file: UsersFile = crate::json::parse(&text).map_err(|error| FileError::parse(path, error))?;
        let mut users = Users::default();
        for (user, entry) in file.users {
            let keys = entry.salted_keys(path, &user)?;
            let identity = Identity { name: Some(user.clone()), rights: entry.rights };
            users.keys.insert(user.clone(), keys);
            users.identities.insert(user, Rc::new(identity));
        }
        users.anonymous = file.anonymous.map(|rights| Rc::new(Identity { name: None, rights }));
        Ok(users)
    }

    /// The SASL mechanisms offered to a client.
    pub fn mechanisms(&self, transport: TransportSecurity) -> Vec<Mechanism> {
        let is_offered = |mechanism: &Mechanism| match mechanism {
            Mechanism::External => transport.requests_certificate,
            Mechanism::ScramSha256 => !self.keys.is_empty(),
            Mechanism::Plain => transport.allows_plain && !self.keys.is_empty(),
            Mechanism::Anonymous => self.anonymous.is_some(),
        };
        Mechanism::ALL.into_iter().filter(is_offered).collect()
    }

    /// A user's keys.
    pub fn keys(&self, user: &str) -> Option<&SaltedKeys> {
        self.keys.get(user)
    }

    /// A user by its name.
    pub fn named(&self, user: &str) -> Option<Rc<Identity>> {
        self.identities.get(user).cloned()
    }

    /// The identity of anonymous clients, if they may connect.
    pub fn anonymous(&self) -> Option<Rc<Identity>> {
        self.anonymous.clone()
    }
}

impl UserEntry {
    /// An entry with keys of a fresh salt for this password.
    fn new(password: &str, rights: Rights) -> Result<UserEntry, FileError> {
        let mut salt = vec![0; SALT_BYTES];
        getrandom::fill(&mut salt).map_err(FileError::Randomness)?;
        let mut derivation = Pbkdf2::new(password.as_bytes(), &salt, DEFAULT_ROUNDS);
        let salted_password = derivation.step(DEFAULT_ROUNDS).unwrap_or_default();
        let keys = SaltedKeys::from_salted(&salted_password, salt, DEFAULT_ROUNDS);
        Ok(UserEntry {
            salt: STANDARD.encode(&keys.salt),
            rounds: keys.rounds,
            stored_key: STANDARD.encode(keys.stored_key),
            server_key: STANDARD.encode(keys.server_key),
            rights,
        })
    }

    /// The entry's keys, decoded and checked.
    fn salted_keys(&self, path: &Path, user: &str) -> Result<SaltedKeys, FileError> {
        let not_a_key =
            |field: &str| FileError::field(path, format!("users.{user}.{field}"), "not a key in base64");
        let decode_key = |text: &str, field: &str| -> Result<[u8; 32], FileError> {
            let bytes = STANDARD.decode(text).ok();
            bytes.and_then(|bytes| bytes.try_into().ok()).ok_or_else(|| not_a_key(field))
        };
        if self.rounds == 0 || self.rounds > MAX_ROUNDS {
            let field = format!("users.{user}.rounds");
            return Err(FileError::field(path, field, format!("1 to {MAX_ROUNDS}")));
        }
        Ok(SaltedKeys {
            salt: STANDARD.decode(&self.salt).map_err(|_| not_a_key("salt"))?,
            rounds: self.rounds,
            stored_key: decode_key(&self.stored_key, "stored_key")?,
            server_key: decode_key(&self.server_key, "server_key")?,
        })
    }
}

/// Adds a user to a users' file or replaces it there. The file is created if it is absent, and replaced atomically.
///
/// # Errors
/// The file cannot be read or written, or is not a users' file, or the system has no random numbers.
pub fn add_user(path: &Path, user: &str, password: &str, rights: Rights) -> Result<(), FileError> {
    let mut file: UsersFile = match std::fs::read_to_string(path) {
        Ok(text) => crate::json::parse(&text).map_err(|error| FileError::parse(path, error))?,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => UsersFile::default(),
        Err(error) => return Err(FileError::io(path, error)),
    };
    file.users.insert(user.to_string(), UserEntry::new(password, rights)?);
    let text = serde_json::to_string_pretty(&file).map_err(|error| FileError::parse(path, error))?;
    let new_file = path.with_extension("new");
    std::fs::write(&new_file, text + "\n").map_err(|error| FileError::io(&new_file, error))?;
    std::fs::rename(&new_file, path).map_err(|error| FileError::io(path, error))
}

#[cfg(test)]
mod tests;
