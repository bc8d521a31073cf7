//! SASL exchanges of clients and servers (standard, section 5.3).

use crate::error::{condition, fault, Fault};
use crate::performative::{Performative, SaslChallenge, SaslInit, SaslMechanisms, SaslOutcome, SaslResponse};
use crate::primitives::Symbol;
use crate::scram::{self, SaltedKeys};
use crate::value::Value;
use std::fmt;

/// A supported SASL mechanism.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Anonymous access (RFC 4505).
    Anonymous,
    /// A user name and a password in clear text (RFC 4616).
    Plain,
    /// A proof that the client has the password, which is not transmitted (RFC 7677).
    ScramSha256,
    /// The identity that the transport has verified, for example from a client certificate (RFC 4422, appendix A).
    External,
}

impl Mechanism {
    /// All mechanisms, in order of preference.
    pub const ALL: [Mechanism; 4] =
        [Mechanism::External, Mechanism::ScramSha256, Mechanism::Plain, Mechanism::Anonymous];

    /// The name of the mechanism in the IANA registry, as it is sent on the wire.
    pub fn name(self) -> &'static str {
        match self {
            Mechanism::Anonymous => "ANONYMOUS",
            Mechanism::Plain => "PLAIN",
            Mechanism::ScramSha256 => "SCRAM-SHA-256",
            Mechanism::External => "EXTERNAL",
        }
    }

    /// Finds a mechanism by its registered name.
    pub fn from_name(name: &str) -> Option<Mechanism> {
        Mechanism::ALL.into_iter().find(|mechanism| mechanism.name() == name)
    }
}

/// A request to the application of a server while a client authenticates.
#[derive(Clone, PartialEq, Eq)]
pub enum SaslRequest {
    /// Decide whether to admit an anonymous client.
    Anonymous,
    /// Check a user's password.
    Plain {
        /// The user that the client claims to be.
        user: String,
        /// The password as received, which need not be UTF-8.
        password: Vec<u8>,
    },
    /// Look up the SCRAM keys of a user. The answer goes to [`crate::Connection::provide_scram_keys`].
    ScramKeys {
        /// The user that the client claims to be.
        user: String,
    },
    /// Decide whether to admit a user whose SCRAM proof was checked.
    ScramProof {
        /// The user that the client claims to be.
        user: String,
        /// Whether the proof is valid, which shows that the client has the password.
        is_valid: bool,
    },
    /// Decide whether to admit the identity that the transport has verified.
    External,
}

impl fmt::Debug for SaslRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Passwords are omitted so that they cannot appear in logs.
        match self {
            SaslRequest::Anonymous => write!(f, "Anonymous"),
            SaslRequest::Plain { user, .. } => write!(f, "Plain({user})"),
            SaslRequest::ScramKeys { user } => write!(f, "ScramKeys({user})"),
            SaslRequest::ScramProof { user, is_valid } => write!(f, "ScramProof({user}, {is_valid})"),
            SaslRequest::External => write!(f, "External"),
        }
    }
}

/// The credentials of a client.
#[derive(Clone, PartialEq, Eq)]
pub enum Credentials {
    /// No credentials: the server decides whether anonymous clients may connect.
    Anonymous,
    /// A password that is sent in clear text.
    Plain {
        /// The user to authenticate as. It must not contain zero octets.
        user: String,
        /// The user's password. It must not contain zero octets.
        password: String,
    },
    /// A password that is proven with SCRAM-SHA-256.
    Scram {
        /// The user to authenticate as.
        user: String,
        /// The user's password, which is not transmitted.
        password: String,
        /// The client nonce: printable characters without commas, different for each connection.
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

/// The longest accepted initial response, in octets. It limits the sizes of user names, passwords and SCRAM messages.
const MAX_RESPONSE_BYTES: usize = 1024;

/// The next step of an exchange after a frame was handled.
pub enum Step {
    /// Send this frame body.
    Send(Performative),
    /// Wait for the application to answer this request.
    Request(SaslRequest),
    /// The exchange has succeeded.
    Done,
}

fn unauthorized(description: &str) -> Fault {
    fault(condition::UNAUTHORIZED_ACCESS, description)
}

/// The progress of an exchange on the server's side.
enum ServerStage {
    /// Waiting for the client's init.
    AwaitingInit,
    /// Waiting for the application to provide the keys of the user.
    AwaitingKeys(Option<scram::ClientFirst>),
    /// Waiting for the SCRAM proof of the named user.
    AwaitingProof(String, scram::Server),
    /// Waiting for the application's decision. The data is sent with a positive outcome.
    AwaitingDecision(Vec<u8>),
    /// The outcome was sent, or the exchange failed.
    Finished,
}

/// The server's side of an exchange.
pub struct Server {
    offered: Vec<Mechanism>,
    stage: ServerStage,
}

impl Server {
    /// Creates a server that offers the given mechanisms.
    pub fn new(offered: Vec<Mechanism>) -> Server {
        Server { offered, stage: ServerStage::AwaitingInit }
    }

    /// The frame body that lists the offered mechanisms.
    pub fn mechanisms(&self) -> Performative {
        let names = self.offered.iter().map(|mechanism| Value::symbol(mechanism.name())).collect();
        SaslMechanisms { mechanisms: Some(Value::Array(names)) }.into()
    }

    /// Handles a frame body from the client.
    pub fn handle(&mut self, body: Performative) -> Result<Step, Fault> {
        match (std::mem::replace(&mut self.stage, ServerStage::Finished), body) {
            (ServerStage::AwaitingInit, Performative::SaslInit(init)) => self.handle_init(*init),
            (ServerStage::AwaitingProof(user, server), Performative::SaslResponse(response)) => {
                let server_final = server.finish(&response.response.unwrap_or_default());
                let is_valid = server_final.is_some();
                self.stage = ServerStage::AwaitingDecision(server_final.unwrap_or_default());
                Ok(Step::Request(SaslRequest::ScramProof { user, is_valid }))
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
        let mechanism = Mechanism::from_name(&name).filter(|mechanism| self.offered.contains(mechanism));
        let request = match mechanism {
            Some(Mechanism::Anonymous) => SaslRequest::Anonymous,
            Some(Mechanism::External) => SaslRequest::External,
            Some(Mechanism::Plain) => plain_request(&response)?,
            Some(Mechanism::ScramSha256) => {
                let client_first = scram::parse_client_first(&response)
                    .ok_or_else(|| unauthorized("a SCRAM message that cannot be read"))?;
                let user = client_first.user.clone();
                self.stage = ServerStage::AwaitingKeys(Some(client_first));
                return Ok(Step::Request(SaslRequest::ScramKeys { user }));
            }
            None => return Err(unauthorized("this SASL mechanism is not offered")),
        };
        self.stage = ServerStage::AwaitingDecision(Vec::new());
        Ok(Step::Request(request))
    }

    /// Continues with the keys of the user, or with `fake_salt` if the user is unknown. Returns the challenge to send.
    pub fn provide_keys(
        &mut self,
        keys: Option<SaltedKeys>,
        fake_salt: &[u8],
        nonce: &str,
    ) -> Option<Performative> {
        let ServerStage::AwaitingKeys(client_first) = &mut self.stage else { return None };
        let client_first = client_first.take()?;
        let user = client_first.user.clone();
        let server = scram::Server::new(client_first, keys, fake_salt, nonce);
        let challenge = Some(server.challenge());
        self.stage = ServerStage::AwaitingProof(user, server);
        Some(SaslChallenge { challenge }.into())
    }

    /// Finishes with the application's decision. Returns the outcome to send.
    pub fn finish(&mut self, is_authorized: bool) -> Option<Performative> {
        let stage = std::mem::replace(&mut self.stage, ServerStage::Finished);
        let ServerStage::AwaitingDecision(data) = stage else { return None };
        let additional_data = Some(data).filter(|data| is_authorized && !data.is_empty());
        Some(SaslOutcome { code: Some(u8::from(!is_authorized)), additional_data }.into())
    }
}

/// Parses a PLAIN response (RFC 4616): authorization identity, user and password, separated by zero octets.
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
    /// Creates a client with the given credentials.
    pub fn new(credentials: Credentials) -> Client {
        let scram = match &credentials {
            Credentials::Scram { user, password, nonce } => Some(scram::Client::new(user, password, nonce)),
            _ => None,
        };
        Client { credentials, scram }
    }

    /// Handles a frame body from the server.
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

    /// Answers the server's list of mechanisms with the init.
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
