//! SASL (part 5, section 5.3): what each side does with the other's frames.

use crate::error::{condition, fault, Fault};
use crate::performative::*;
use crate::scram::{self, SaltedKeys};
use crate::value::Value;

/// A mechanism that this library speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// No name (RFC 4505).
    Anonymous,
    /// A name and a password as they are (RFC 4616).
    Plain,
    /// A proof of a password (RFC 7677).
    ScramSha256,
    /// Who the transport says it is, such as a client certificate (RFC 4422, appendix A).
    External,
}

impl Mechanism {
    /// All of them, the one to prefer first.
    pub const ALL: [Mechanism; 4] =
        [Mechanism::External, Mechanism::ScramSha256, Mechanism::Plain, Mechanism::Anonymous];

    /// Its registered name.
    pub fn name(self) -> &'static str {
        match self {
            Mechanism::Anonymous => "ANONYMOUS",
            Mechanism::Plain => "PLAIN",
            Mechanism::ScramSha256 => "SCRAM-SHA-256",
            Mechanism::External => "EXTERNAL",
        }
    }

    /// The mechanism of this name.
    pub fn named(name: &str) -> Option<Mechanism> {
        Mechanism::ALL.into_iter().find(|m| m.name() == name)
    }
}

/// What a server has to decide while a client makes itself known.
#[derive(Clone, PartialEq, Eq)]
pub enum Asked {
    /// Nobody in particular wants in.
    Anonymous,
    /// A name and a password, to be checked.
    Plain {
        /// Who it says it is.
        user: String,
        /// The password.
        password: Vec<u8>,
    },
    /// Keys of this user are wanted: answer with [`crate::Connection::keys`].
    Keys {
        /// Who it says it is.
        user: String,
    },
    /// The proof of this user's password holds or does not.
    Proven {
        /// Who it says it is.
        user: String,
        /// Whether it knows the password.
        holds: bool,
    },
    /// Who the transport says it is.
    External,
}

impl std::fmt::Debug for Asked {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // A password must not get into a log.
        match self {
            Asked::Anonymous => write!(f, "Anonymous"),
            Asked::Plain { user, .. } => write!(f, "Plain({user})"),
            Asked::Keys { user } => write!(f, "Keys({user})"),
            Asked::Proven { user, holds } => write!(f, "Proven({user}, {holds})"),
            Asked::External => write!(f, "External"),
        }
    }
}

/// What a client makes itself known by.
#[derive(Clone, PartialEq, Eq)]
pub enum Credentials {
    /// By nothing.
    Anonymous,
    /// By a password as it is.
    Plain {
        /// The name.
        user: String,
        /// The password.
        password: String,
    },
    /// By a proof of a password.
    Scram {
        /// The name.
        user: String,
        /// The password.
        password: String,
        /// Printable, without commas, and new for each connection.
        nonce: String,
    },
    /// By the transport.
    External,
}

impl std::fmt::Debug for Credentials {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Credentials({})", self.mechanism().name())
    }
}

impl Credentials {
    fn mechanism(&self) -> Mechanism {
        match self {
            Credentials::Anonymous => Mechanism::Anonymous,
            Credentials::Plain { .. } => Mechanism::Plain,
            Credentials::Scram { .. } => Mechanism::ScramSha256,
            Credentials::External => Mechanism::External,
        }
    }
}

/// A longer name, password or message is refused.
const MOST_RESPONSE: usize = 1024;

/// What follows from a frame.
pub enum Step {
    /// Send this.
    Say(Performative),
    /// The user has to decide.
    Ask(Asked),
    /// The exchange went well.
    Done,
}

fn refused(words: &str) -> Fault {
    fault(condition::UNAUTHORIZED_ACCESS, words)
}

enum Stage {
    /// `init` is awaited.
    Init,
    /// The user is asked for keys.
    Keys(Option<scram::ClientFirst>),
    /// The proof is awaited.
    Proof(String, scram::Server),
    /// The user is asked for a verdict; this goes with a good one.
    Verdict(Vec<u8>),
    Over,
}

/// The server's side.
pub struct Server {
    offered: Vec<Mechanism>,
    stage: Stage,
}

impl Server {
    pub fn new(offered: Vec<Mechanism>) -> Server {
        Server { offered, stage: Stage::Init }
    }

    pub fn mechanisms(&self) -> Performative {
        let names = self.offered.iter().map(|m| Value::symbol(m.name())).collect();
        SaslMechanisms { mechanisms: Some(Value::Array(names)) }.into()
    }

    pub fn take(&mut self, body: Performative) -> Result<Step, Fault> {
        match (std::mem::replace(&mut self.stage, Stage::Over), body) {
            (Stage::Init, Performative::SaslInit(init)) => self.init(*init),
            (Stage::Proof(user, server), Performative::SaslResponse(response)) => {
                let verdict = server.finish(&response.response.unwrap_or_default());
                let holds = verdict.is_some();
                self.stage = Stage::Verdict(verdict.unwrap_or_default());
                Ok(Step::Ask(Asked::Proven { user, holds }))
            }
            _ => Err(refused("a SASL frame out of turn")),
        }
    }

    fn init(&mut self, init: SaslInit) -> Result<Step, Fault> {
        let name = init.mechanism.unwrap_or_default().0;
        let response = init.initial_response.unwrap_or_default();
        let mechanism = Mechanism::named(&name).filter(|m| self.offered.contains(m));
        if response.len() > MOST_RESPONSE {
            return Err(refused("a SASL response of this length is not taken"));
        }
        let asked = match mechanism {
            Some(Mechanism::Anonymous) => Asked::Anonymous,
            Some(Mechanism::External) => Asked::External,
            Some(Mechanism::Plain) => {
                let mut parts = response.split(|b| *b == 0);
                let (_, user, password) = (parts.next(), parts.next(), parts.next());
                let user = user.and_then(|u| std::str::from_utf8(u).ok());
                match (user, password, parts.next()) {
                    (Some(user), Some(password), None) => {
                        Asked::Plain { user: user.to_string(), password: password.to_vec() }
                    }
                    _ => return Err(refused("a PLAIN response that cannot be read")),
                }
            }
            Some(Mechanism::ScramSha256) => {
                let first = scram::client_first(&response);
                let first = first.ok_or_else(|| refused("a SCRAM message that cannot be read"))?;
                let user = first.user.clone();
                self.stage = Stage::Keys(Some(first));
                return Ok(Step::Ask(Asked::Keys { user }));
            }
            None => return Err(refused("this SASL mechanism is not offered")),
        };
        self.stage = Stage::Verdict(Vec::new());
        Ok(Step::Ask(asked))
    }

    /// The user's keys, or none and a salt that stands in for them.
    pub fn keys(&mut self, keys: Option<SaltedKeys>, fake: &[u8], nonce: &str) -> Option<Performative> {
        let Stage::Keys(first) = &mut self.stage else { return None };
        let first = first.take()?;
        let user = first.user.clone();
        let server = scram::Server::new(first, keys, fake, nonce);
        let challenge = Some(server.challenge());
        self.stage = Stage::Proof(user, server);
        Some(SaslChallenge { challenge }.into())
    }

    /// The verdict: what to send.
    pub fn verdict(&mut self, good: bool) -> Option<Performative> {
        let Stage::Verdict(data) = std::mem::replace(&mut self.stage, Stage::Over) else { return None };
        let additional_data = Some(data).filter(|data| good && !data.is_empty());
        Some(SaslOutcome { code: Some(u8::from(!good)), additional_data }.into())
    }
}

/// The client's side.
pub struct Client {
    credentials: Credentials,
    scram: Option<scram::Client>,
}

impl Client {
    pub fn new(credentials: Credentials) -> Client {
        let scram = match &credentials {
            Credentials::Scram { user, password, nonce } => Some(scram::Client::new(user, password, nonce)),
            _ => None,
        };
        Client { credentials, scram }
    }

    pub fn take(&mut self, body: Performative) -> Result<Step, Fault> {
        match body {
            Performative::SaslMechanisms(offered) => {
                let offered = offered.mechanisms.unwrap_or(Value::Null);
                let name = self.credentials.mechanism().name();
                if !offered.symbols().contains(&name) {
                    return Err(refused(&format!("the peer does not offer SASL {name}")));
                }
                let initial_response = match (&self.credentials, &self.scram) {
                    (_, Some(scram)) => Some(scram.first()),
                    (Credentials::Plain { user, password }, _) => {
                        Some(format!("\0{user}\0{password}").into_bytes())
                    }
                    (Credentials::External, _) => Some(Vec::new()),
                    _ => None,
                };
                let mechanism = Some(Symbol(name.to_string()));
                Ok(Step::Say(SaslInit { mechanism, initial_response, hostname: None }.into()))
            }
            Performative::SaslChallenge(challenge) => {
                let last = self.scram.as_mut().and_then(|s| s.last(&challenge.challenge.unwrap_or_default()));
                let response = last.ok_or_else(|| refused("a SASL challenge that cannot be answered"))?;
                Ok(Step::Say(SaslResponse { response: Some(response) }.into()))
            }
            Performative::SaslOutcome(outcome) => {
                let data = outcome.additional_data.unwrap_or_default();
                if outcome.code != Some(0) {
                    return Err(refused("the peer refuses the credentials"));
                }
                if self.scram.as_ref().is_some_and(|scram| !scram.proven(&data)) {
                    return Err(refused("the peer does not know the password itself"));
                }
                Ok(Step::Done)
            }
            _ => Err(refused("a SASL frame out of turn")),
        }
    }
}
