//! The users file: the users who may connect, their SCRAM keys, and their rights.

use super::error::FileError;
use atomic_write_file::AtomicWriteFile;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Serialize};
use sparbank_amqp::{Mechanism, Pbkdf2, SaltedKeys};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::path::Path;
use std::rc::Rc;

/// The number of PBKDF2 iterations for a new password. RFC 7677 requires at least 4,096.
pub const DEFAULT_ITERATIONS: u32 = 4096;
/// The maximum number of iterations in a users file. Each check of a PLAIN password computes all iterations.
const MAX_ITERATIONS: u32 = 100_000;
/// The length of the salt for a new password, in octets.
const SALT_BYTES: usize = 16;

#[derive(Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct UsersFile {
    users: BTreeMap<String, UserEntry>,
    /// The rights of anonymous clients; if absent, anonymous clients may not connect.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    anonymous: Option<Rights>,
}

#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct UserEntry {
    salt: String,
    #[serde(rename = "rounds")]
    iterations: u32,
    stored_key: String,
    server_key: String,
    #[serde(flatten)]
    rights: Rights,
}

/// The rights of a user.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct Rights {
    /// The classes that the user may use; if absent, all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub classes: Option<Vec<String>>,
    /// The subscriber that the user's links are counted for; if absent, the user itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub subscriber: Option<String>,
}

/// The identity of a client: its user and rights. The default is an anonymous client without restrictions, which
/// applies if there is no users file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Identity {
    /// The user's name; `None` for an anonymous client.
    pub name: Option<String>,
    /// The user's rights; for an anonymous client, those of anonymous clients.
    pub rights: Rights,
}

impl Identity {
    /// Whether the client may attach links to this class or send messages to it.
    pub fn may_attach_to(&self, class: &str) -> bool {
        self.rights.classes.as_ref().is_none_or(|classes| classes.iter().any(|allowed| allowed == class))
    }

    /// The subscriber whose credit the client's links share.
    pub fn subscriber(&self) -> &str {
        self.rights.subscriber.as_deref().or(self.name.as_deref()).unwrap_or("")
    }
}

/// The properties of a client's transport that decide which SASL mechanisms are offered.
#[derive(Clone, Copy, Debug)]
pub struct TransportSecurity {
    /// Whether the client may send its password in plain text.
    pub allows_plain: bool,
    /// Whether the TLS handshake requests a client certificate, with which the client can authenticate.
    pub requests_certificate: bool,
}

/// The users of a users file.
#[derive(Clone, Debug, Default)]
pub struct Users {
    keys: BTreeMap<String, SaltedKeys>,
    identities: BTreeMap<String, Rc<Identity>>,
    anonymous: Option<Rc<Identity>>,
}

impl Users {
    /// Reads a users file.
    ///
    /// # Errors
    /// The file cannot be read, or an entry is invalid. The error names the file and the field.
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

    /// The keys of the user with this name.
    pub fn keys(&self, user: &str) -> Option<&SaltedKeys> {
        self.keys.get(user)
    }

    /// The identity of the user with this name.
    pub fn identity(&self, user: &str) -> Option<Rc<Identity>> {
        self.identities.get(user).cloned()
    }

    /// The identity of anonymous clients, if they may connect.
    pub fn anonymous_identity(&self) -> Option<Rc<Identity>> {
        self.anonymous.clone()
    }
}

impl UserEntry {
    /// Creates an entry whose keys are derived from the password with a new random salt.
    fn new(password: &str, rights: Rights) -> Result<UserEntry, FileError> {
        let mut salt = vec![0; SALT_BYTES];
        getrandom::fill(&mut salt).map_err(FileError::Randomness)?;
        let mut derivation = Pbkdf2::new(password.as_bytes(), &salt, DEFAULT_ITERATIONS);
        let salted_password = derivation.step(DEFAULT_ITERATIONS).unwrap_or_default();
        let keys = SaltedKeys::from_salted(&salted_password, salt, DEFAULT_ITERATIONS);
        Ok(UserEntry {
            salt: STANDARD.encode(&keys.salt),
            iterations: keys.iterations,
            stored_key: STANDARD.encode(keys.stored_key),
            server_key: STANDARD.encode(keys.server_key),
            rights,
        })
    }

    /// Decodes and validates the entry's keys.
    fn salted_keys(&self, path: &Path, user: &str) -> Result<SaltedKeys, FileError> {
        let invalid_base64 = |field: &str| {
            FileError::field(path, format!("users.{user}.{field}"), "not valid base64 of the expected length")
        };
        let decode_key = |text: &str, field: &str| -> Result<[u8; 32], FileError> {
            let bytes = STANDARD.decode(text).ok();
            bytes.and_then(|bytes| bytes.try_into().ok()).ok_or_else(|| invalid_base64(field))
        };
        if self.iterations == 0 || self.iterations > MAX_ITERATIONS {
            let field = format!("users.{user}.rounds");
            return Err(FileError::field(path, field, format!("1 to {MAX_ITERATIONS}")));
        }
        Ok(SaltedKeys {
            salt: STANDARD.decode(&self.salt).map_err(|_| invalid_base64("salt"))?,
            iterations: self.iterations,
            stored_key: decode_key(&self.stored_key, "stored_key")?,
            server_key: decode_key(&self.server_key, "server_key")?,
        })
    }
}

/// Adds a user to a users file, or replaces the user's entry. The file is created if it does not exist, and is replaced
/// atomically: after a crash or a power cut it has its old content or the new one.
///
/// # Errors
/// The file cannot be read or written, or is not a users file, or the operating system provides no random numbers.
pub fn add_user(path: &Path, user: &str, password: &str, rights: Rights) -> Result<(), FileError> {
    let mut file: UsersFile = match std::fs::read_to_string(path) {
        Ok(text) => crate::json::parse(&text).map_err(|error| FileError::parse(path, error))?,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => UsersFile::default(),
        Err(error) => return Err(FileError::io(path, error)),
    };
    file.users.insert(user.to_string(), UserEntry::new(password, rights)?);
    let text = serde_json::to_string_pretty(&file).map_err(|error| FileError::parse(path, error))?;
    replace_file(path, &(text + "\n")).map_err(|error| FileError::io(path, error))
}

/// Replaces a file's content, and syncs the file before and its folder after it takes the name.
fn replace_file(path: &Path, text: &str) -> io::Result<()> {
    let mut file = AtomicWriteFile::open(path)?;
    file.write_all(text.as_bytes())?;
    // A commit whose own sync fails leaves the temporary file behind.
    file.sync_all()?;
    file.commit()
}

#[cfg(test)]
mod tests;
