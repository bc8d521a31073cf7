//! SASL (standard, section 5.3): how each side answers the other's frames.

use crate::error::{condition, fault, Fault};
use crate::performative::{Performative, SaslChallenge, SaslInit, SaslMechanisms, SaslOutcome, SaslResponse};
use crate::primitives::Symbol;
use crate::scram::{self, SaltedKeys};
use crate::value::Value;
use std::fmt;

/// A mechanism that this library speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Anonymous access (RFC 4505).
    Anonymous,
    /// A name and a password as they are (RFC 4616).
    Plain,
    /// A proof of a password (RFC 7677).
    ScramSha256,
    /// The identity that the transport has verified, such as a client certificate's (RFC 4422, appendix A).
    External,
}

impl Mechanism {
    /// All of them, the preferred one first.
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
        Mechanism::ALL.into_iter().find(|mechanism| mechanism.name() == name)
    }
}

/// What a server has to decide while a client authenticates.
#[derive(Clone, PartialEq, Eq)]
pub enum SaslRequest {
    /// Whether anonymous clients are let in.
    Anonymous,
    /// Whether this is the user's password.
    Plain {
        /// The user that the client claims to be.
        user: String,
        /// The password.
        password: Vec<u8>,
    },
    /// The keys of a user: answer with [`crate::Connection::provide_scram_keys`].
    ScramKeys {
        /// The user that the client claims to be.
        user: String,
    },
    /// Whether this user is let in, whose proof was checked.
    ScramProof {
        /// The user that the client claims to be.
        user: String,
        /// Whether the client has proven that it knows the password.
        is_valid: bool,
    },
    /// Whether the identity that the transport has verified is let in.
    External,
}

impl fmt::Debug for SaslRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // A password must not get into a log.
        match self {
            SaslRequest::Anonymous => write!(f, "Anonymous"),
            SaslRequest::Plain { user, .. } => write!(f, "Plain({user})"),
            SaslRequest::ScramKeys { user } => write!(f, "ScramKeys({user})"),
            SaslRequest::ScramProof { user, is_valid } => write!(f, "ScramProof({user}, {is_valid})"),
            SaslRequest::External => write!(f, "External"),
        }
    }
}

/// What a client authenticates with.
#[derive(Clone, PartialEq, Eq)]
pub enum Credentials {
    /// Nothing.
    Anonymous,
    /// A password, sent as it is.
    Plain {
        /// The user's name.
        user: String,
        /// The password.
        password: String,
    },
    /// A proof of a password.
    Scram {
        /// The user's name.
        user: String,
        /// The password.
        password: String,
        /// Printable, without commas, and new for each connection.
        nonce: String,
    },
    /// The identity that the transport has verified.
    External,
}

impl fmt::Debug for Credentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
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

/// The longest initial response, in octets: it bounds names, passwords and SCRAM messages.
const MAX_RESPONSE_BYTES: usize = 1024;

/// What follows from a frame.
pub enum Step {
    /// This body is to be sent.
    Send(Performative),
    /// The user of the library has to decide this.
    Decide(SaslRequest),
    /// The exchange has succeeded.
    Done,
}

fn unauthorized(description: &str) -> Fault {
    fault(condition::UNAUTHORIZED_ACCESS, description)
}

enum ServerStage {
    /// `init` is awaited.
    Init,
    /// The user's keys are awaited.
    Keys(Option<scram::ClientFirst>),
    /// The client's proof is awaited.
    Proof(String, scram::Server),
    /// The decision is awaited. The data is sent with a positive outcome.
    Decision(Vec<u8>),
    Over,
}

/// The server's side of an exchange.
pub struct Server {
    offered: Vec<Mechanism>,
    stage: ServerStage,
}

impl Server {
    /// A server that offers these mechanisms.
    pub fn new(offered: Vec<Mechanism>) -> Server {
        Server { offered, stage: ServerStage::Init }
    }

    /// The frame body that offers the mechanisms.
    pub fn mechanisms(&self) -> Performative {
        let names = self.offered.iter().map(|mechanism| Value::symbol(mechanism.name())).collect();
        SaslMechanisms { mechanisms: Some(Value::Array(names)) }.into()
    }

    /// Handles a frame body of the client.
    pub fn handle(&mut self, body: Performative) -> Result<Step, Fault> {
        match (std::mem::replace(&mut self.stage, ServerStage::Over), body) {
            (ServerStage::Init, Performative::SaslInit(init)) => self.handle_init(*init),
            (ServerStage::Proof(user, server), Performative::SaslResponse(response)) => {
                let server_final = server.finish(&response.response.unwrap_or_default());
                let is_valid = server_final.is_some();
                self.stage = ServerStage::Decision(server_final.unwrap_or_default());
                Ok(Step::Decide(SaslRequest::ScramProof { user, is_valid }))
            }
            _ => Err(unauthorized("a SASL frame out of turn")),
        }
    }

    fn handle_init(&mut self, init: SaslInit) -> Result<Step, Fault> {
        let name = init.mechanism.unwrap_or_default().0;
        let response = init.initial_response.unwrap_or_default();
        if response.len() > MAX_RESPONSE_BYTES {
            return Err(unauthorized("a SASL response of this length is not taken"));
        }
        let mechanism = Mechanism::named(&name).filter(|mechanism| self.offered.contains(mechanism));
        let request = match mechanism {
            Some(Mechanism::Anonymous) => SaslRequest::Anonymous,
            Some(Mechanism::External) => SaslRequest::External,
            Some(Mechanism::Plain) => plain_request(&response)?,
            Some(Mechanism::ScramSha256) => {
                let client_first = scram::client_first(&response)
                    .ok_or_else(|| unauthorized("a SCRAM message that cannot be read"))?;
                let user = client_first.user.clone();
                self.stage = ServerStage::Keys(Some(client_first));
                return Ok(Step::Decide(SaslRequest::ScramKeys { user }));
            }
            None => return Err(unauthorized("this SASL mechanism is not offered")),
        };
        self.stage = ServerStage::Decision(Vec::new());
        Ok(Step::Decide(request))
    }

    /// The user's keys, or none and a salt to use instead. Returns the challenge to send.
    pub fn provide_keys(
        &mut self,
        keys: Option<SaltedKeys>,
        fake_salt: &[u8],
        nonce: &str,
    ) -> Option<Performative> {
        let ServerStage::Keys(client_first) = &mut self.stage else { return None };
        let client_first = client_first.take()?;
        let user = client_first.user.clone();
        let server = scram::Server::new(client_first, keys, fake_salt, nonce);
        let challenge = Some(server.challenge());
        self.stage = ServerStage::Proof(user, server);
        Some(SaslChallenge { challenge }.into())
    }

    /// The decision. Returns the outcome to send.
    pub fn finish(&mut self, is_authorized: bool) -> Option<Performative> {
        let stage = std::mem::replace(&mut self.stage, ServerStage::Over);
        let ServerStage::Decision(data) = stage else { return None };
        let additional_data = Some(data).filter(|data| is_authorized && !data.is_empty());
        Some(SaslOutcome { code: Some(u8::from(!is_authorized)), additional_data }.into())
    }
}

/// Reads a PLAIN response (RFC 4616): authorization identity, user and password, separated by zero octets.
fn plain_request(response: &[u8]) -> Result<SaslRequest, Fault> {
    let mut fields = response.split(|octet| *octet == 0);
    let _authorization_id = fields.next();
    let user = fields.next().and_then(|user| std::str::from_utf8(user).ok());
    let password = fields.next();
    match (user, password, fields.next()) {
        (Some(user), Some(password), None) => {
            Ok(SaslRequest::Plain { user: user.to_string(), password: password.to_vec() })
        }
        _ => Err(unauthorized("a PLAIN response that cannot be read")),
    }
}

/// The client's side of an exchange.
pub struct Client {
    credentials: Credentials,
    scram: Option<scram::Client>,
}

impl Client {
    /// A client with these credentials.
    pub fn new(credentials: Credentials) -> Client {
        let scram = match &credentials {
            Credentials::Scram { user, password, nonce } => Some(scram::Client::new(user, password, nonce)),
            _ => None,
        };
        Client { credentials, scram }
    }

    /// Handles a frame body of the server.
    pub fn handle(&mut self, body: Performative) -> Result<Step, Fault> {
        match body {
            Performative::SaslMechanisms(offered) => self.choose_mechanism(offered),
            Performative::SaslChallenge(challenge) => {
                let challenge = challenge.challenge.unwrap_or_default();
                let client_final = self.scram.as_mut().and_then(|scram| scram.client_final(&challenge));
                let response =
                    client_final.ok_or_else(|| unauthorized("a SASL challenge that cannot be answered"))?;
                Ok(Step::Send(SaslResponse { response: Some(response) }.into()))
            }
            Performative::SaslOutcome(outcome) => {
                let data = outcome.additional_data.unwrap_or_default();
                if outcome.code != Some(0) {
                    return Err(unauthorized("the peer refuses the credentials"));
                }
                if self.scram.as_ref().is_some_and(|scram| !scram.verify_server(&data)) {
                    return Err(unauthorized("the peer does not know the password itself"));
                }
                Ok(Step::Done)
            }
            _ => Err(unauthorized("a SASL frame out of turn")),
        }
    }

    fn choose_mechanism(&mut self, offered: SaslMechanisms) -> Result<Step, Fault> {
        let offered = offered.mechanisms.unwrap_or(Value::Null);
        let name = self.credentials.mechanism().name();
        if !offered.symbols().contains(&name) {
            return Err(unauthorized(&format!("the peer does not offer SASL {name}")));
        }
        let initial_response = match (&self.credentials, &self.scram) {
            (_, Some(scram)) => Some(scram.client_first()),
            (Credentials::Plain { user, password }, _) => Some(format!("\0{user}\0{password}").into_bytes()),
            (Credentials::External, _) => Some(Vec::new()),
            _ => None,
        };
        let mechanism = Some(Symbol(name.to_string()));
        Ok(Step::Send(SaslInit { mechanism, initial_response, hostname: None }.into()))
    }
}
