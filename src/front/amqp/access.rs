//! Who may come in: the users' file, passwords checked a slice at a time, and what a user may attach to.

use crate::net::Token;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Serialize};
use sparbank_amqp::{Mechanism, Pbkdf2, SaltedKeys};
use std::collections::{BTreeMap, VecDeque};
use std::path::Path;
use std::rc::Rc;

/// Rounds of PBKDF2 for a new password (RFC 7677 asks for 4,096 at least).
const ROUNDS: u32 = 4096;
/// A file may not ask for more: each PLAIN password costs them all.
const MOST_ROUNDS: u32 = 100_000;
/// Rounds in one slice: some 0.2 ms, so that nobody's password is felt by the others.
const SLICE: u32 = 512;
/// Passwords that are checked at the same time: beyond these a guesser is refused unseen.
const MOST_CHECKS: usize = 64;

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct File {
    users: BTreeMap<String, Entry>,
    /// What those without a name may do; absent: nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    anonymous: Option<Rights>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Entry {
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
    /// The subscriber that its traffic counts for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub subscriber: Option<String>,
}

/// Someone who came in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Who {
    /// The name; none for the unnamed.
    pub name: Option<String>,
    /// What it may do.
    pub rights: Rights,
}

impl Who {
    /// Whether it may attach to this class.
    pub fn may(&self, class: &str) -> bool {
        self.rights.classes.as_ref().is_none_or(|classes| classes.iter().any(|c| c == class))
    }

    /// Whose credit its links take.
    pub fn subscriber(&self) -> &str {
        self.rights.subscriber.as_deref().or(self.name.as_deref()).unwrap_or("")
    }
}

/// Everyone who may come in.
#[derive(Clone, Debug, Default)]
pub struct Users {
    keys: BTreeMap<String, SaltedKeys>,
    who: BTreeMap<String, Rc<Who>>,
    anonymous: Option<Rc<Who>>,
}

impl Users {
    /// Reads the users' file.
    pub fn read(path: &Path) -> Result<Users, String> {
        let name = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
        let file: File = crate::json::parse(&text).map_err(|e| format!("{name}: {e}"))?;
        let mut users = Users::default();
        for (user, entry) in file.users {
            let wrong = |field: &str| format!("{name}: field users.{user}.{field}: not a key in base64");
            let key = |text: &str, field: &str| -> Result<[u8; 32], String> {
                STANDARD.decode(text).ok().and_then(|k| k.try_into().ok()).ok_or_else(|| wrong(field))
            };
            if entry.rounds == 0 || entry.rounds > MOST_ROUNDS {
                return Err(format!("{name}: field users.{user}.rounds: 1 to {MOST_ROUNDS}"));
            }
            let keys = SaltedKeys {
                salt: STANDARD.decode(&entry.salt).map_err(|_| wrong("salt"))?,
                rounds: entry.rounds,
                stored_key: key(&entry.stored_key, "stored_key")?,
                server_key: key(&entry.server_key, "server_key")?,
            };
            let who = Who { name: Some(user.clone()), rights: entry.rights };
            users.keys.insert(user.clone(), keys);
            users.who.insert(user, Rc::new(who));
        }
        users.anonymous = file.anonymous.map(|rights| Rc::new(Who { name: None, rights }));
        Ok(users)
    }

    /// What is offered to a client.
    pub fn mechanisms(&self, plain: bool, external: bool) -> Vec<Mechanism> {
        let offered = |m: &Mechanism| match m {
            Mechanism::External => external,
            Mechanism::ScramSha256 => !self.keys.is_empty(),
            Mechanism::Plain => plain && !self.keys.is_empty(),
            Mechanism::Anonymous => self.anonymous.is_some(),
        };
        Mechanism::ALL.into_iter().filter(offered).collect()
    }

    /// A user's keys.
    pub fn keys(&self, user: &str) -> Option<&SaltedKeys> {
        self.keys.get(user)
    }

    /// A user by its name.
    pub fn named(&self, user: &str) -> Option<Rc<Who>> {
        self.who.get(user).cloned()
    }

    /// The unnamed, where they may come in.
    pub fn anonymous(&self) -> Option<Rc<Who>> {
        self.anonymous.clone()
    }
}

/// Writes a user into a users' file, which is made if it is not there. The file is replaced whole.
pub fn add_user(path: &Path, user: &str, password: &str, rights: Rights) -> Result<(), String> {
    let name = path.display();
    let mut file = match std::fs::read_to_string(path) {
        Ok(text) => crate::json::parse(&text).map_err(|e| format!("{name}: {e}"))?,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => File::default(),
        Err(e) => return Err(format!("{name}: {e}")),
    };
    let mut salt = vec![0; 16];
    getrandom::fill(&mut salt).map_err(|e| format!("no random numbers: {e}"))?;
    let salted = Pbkdf2::new(password.as_bytes(), &salt, ROUNDS).step(ROUNDS).unwrap_or_default();
    let keys = SaltedKeys::from_salted(&salted, salt, ROUNDS);
    let entry = Entry {
        salt: STANDARD.encode(&keys.salt),
        rounds: keys.rounds,
        stored_key: STANDARD.encode(keys.stored_key),
        server_key: STANDARD.encode(keys.server_key),
        rights,
    };
    file.users.insert(user.to_string(), entry);
    let text = serde_json::to_string_pretty(&file).map_err(|e| format!("{name}: {e}"))?;
    let next = path.with_extension("new");
    std::fs::write(&next, text + "\n").map_err(|e| format!("{}: {e}", next.display()))?;
    std::fs::rename(&next, path).map_err(|e| format!("{name}: {e}"))
}

/// Random text for a nonce; printable and without commas.
pub fn nonce() -> String {
    let mut bytes = [0; 18];
    // Without random numbers a nonce that is the same for all only lets an old proof be used again.
    let _ = getrandom::fill(&mut bytes);
    STANDARD.encode(bytes)
}

/// A salt for a name that nobody has: the same each time it is asked for.
pub fn fake_salt(user: &str) -> [u8; 16] {
    let (a, b) = (crate::hash::fnv1a(user), crate::hash::fnv1a(&format!("salt of {user}")));
    (u128::from(a) << 64 | u128::from(b)).to_be_bytes()
}

struct Check {
    token: Token,
    user: String,
    keys: Option<SaltedKeys>,
    work: Pbkdf2,
}

/// Passwords that are being checked, a slice of one of them at a time.
#[derive(Default)]
pub struct Checks {
    queue: VecDeque<Check>,
}

impl Checks {
    /// Starts on a password. False where too many are being checked already. A name that nobody has costs
    /// the same time.
    pub fn start(&mut self, token: Token, users: &Users, user: String, password: &[u8]) -> bool {
        if self.queue.len() >= MOST_CHECKS {
            return false;
        }
        let keys = users.keys(&user).cloned();
        let fake = fake_salt(&user);
        let (salt, rounds) = keys.as_ref().map_or((&fake[..], ROUNDS), |k| (&k.salt[..], k.rounds));
        let work = Pbkdf2::new(password, salt, rounds);
        self.queue.push_back(Check { token, user, keys, work });
        true
    }

    /// Does one slice of the first in turn. Gives a check that is over: whose it was, and whether it holds.
    pub fn step(&mut self) -> Option<(Token, String, bool)> {
        let mut check = self.queue.pop_front()?;
        match check.work.step(SLICE) {
            None => {
                self.queue.push_back(check);
                None
            }
            Some(salted) => {
                let holds = check.keys.is_some_and(|keys| keys.matches(&salted));
                Some((check.token, check.user, holds))
            }
        }
    }

    /// Who is next, where there is more to do.
    pub fn first(&self) -> Option<Token> {
        self.queue.front().map(|check| check.token)
    }
}
