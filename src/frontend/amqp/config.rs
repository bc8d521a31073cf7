//! The configuration file of the AMQP frontend, for example `deploy/amqp.json`. `docs/AMQP.md` documents its fields.

use super::error::FileError;
use super::recovery::RecoveryLimits;
use super::users::Users;
use crate::frontend::tls::TlsListenerConfig;
use crate::json;
use serde::Deserialize;
use sparbank_amqp::{Credentials, Settings};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// Every peer must accept frames of this size (AMQP 1.0, section 2.4.1).
const MIN_MAX_FRAME_BYTES: u32 = 512;
/// The largest permitted `max_frame`, in octets: a frame is buffered until all of it has arrived.
const MAX_MAX_FRAME_BYTES: u32 = 1024 * 1024;
/// Octets of input that are buffered in addition to one frame.
const READ_AHEAD_BEYOND_FRAME_BYTES: usize = 1024;
/// The highest handle on a session with a server.
const SERVER_HANDLE_MAX: u32 = 1023;

/// The contents of the configuration file; absent fields have the values of [`AmqpConfig::default`].
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AmqpConfig {
    /// The address of the listener for clients; with port 0 the system picks the port.
    pub listen: SocketAddr,
    /// The largest frame accepted, in octets.
    #[serde(rename = "max_frame")]
    pub max_frame_bytes: u32,
    /// The highest channel number, which is the number of sessions per connection minus one.
    pub channel_max: u16,
    /// The highest link handle on a session.
    pub handle_max: u32,
    /// The maximum number of links per connection.
    pub max_links: usize,
    /// The incoming window of a session, in frames.
    #[serde(rename = "window")]
    pub incoming_window_frames: u32,
    /// The maximum number of unsettled deliveries per link.
    #[serde(rename = "unsettled")]
    pub max_unsettled: u32,
    /// The maximum credit of a link. Less is granted while memory is short.
    pub credit: u32,
    /// The total credit of all links of one subscriber.
    pub subscriber_credit: u32,
    /// The largest message accepted, in octets.
    #[serde(rename = "max_message")]
    pub max_message_bytes: u64,
    /// Messages up to this size, in octets, are buffered until they are answered, so that they can be retried. The
    /// octets of larger messages are discarded once they are sent.
    #[serde(rename = "keep")]
    pub max_retryable_bytes: usize,
    /// The maximum number of octets buffered for all messages together.
    #[serde(rename = "max_held")]
    pub max_buffered_bytes: usize,
    /// The maximum memory of the links of all clients, in octets. At the limit, a client may attach links up to its fair
    /// share of it.
    #[serde(rename = "max_link_memory")]
    pub max_link_memory_bytes: usize,
    /// The maximum number of connections from one client address.
    #[serde(rename = "peer_connections")]
    pub max_connections_per_address: usize,
    /// The idle timeout of clients' connections, in milliseconds.
    #[serde(rename = "idle_ms")]
    pub client_idle_ms: u32,
    /// The idle timeout of connections to servers, in milliseconds.
    #[serde(alias = "region_idle_ms")]
    pub server_idle_ms: u32,
    /// The maximum number of connections per server.
    #[serde(rename = "server_connections", alias = "region_connections")]
    pub max_server_connections: usize,
    /// The maximum number of links per server and class. A long message delays only the messages on the same link.
    #[serde(rename = "server_lanes", alias = "region_lanes")]
    pub max_server_links_per_class: usize,
    /// The maximum number of links whose state is retained for resumption.
    #[serde(rename = "resume_links")]
    pub max_resumable_links: usize,
    /// The longest time that the state of a lost link is retained for resumption, in milliseconds.
    #[serde(rename = "resume_ms")]
    pub max_resume_timeout_ms: u32,
    /// The AMQP addresses and credentials of servers, by instance id. The node connects to a server that is not listed
    /// here at the address that discovery reports.
    #[serde(alias = "regions")]
    pub servers: HashMap<String, ServerEntry>,
    /// The path of the users file, which `sparbank amqp-user` writes. Without a users file every client may connect
    /// anonymously.
    #[serde(rename = "users")]
    pub users_path: Option<PathBuf>,
    /// Whether PLAIN is also offered on unencrypted connections.
    pub plain_unencrypted: bool,
    /// The TLS listener for clients.
    pub tls: Option<TlsListenerConfig>,
    /// The node that clients are redirected to when this one shuts down.
    pub redirect: Option<Redirect>,
    /// The users that were read from [`AmqpConfig::users_path`].
    #[serde(skip)]
    pub users: Option<Users>,
    /// The TLS configuration that was built from the files in [`AmqpConfig::tls`].
    #[serde(skip)]
    pub tls_config: Option<Arc<rustls::ServerConfig>>,
}

/// The address of a server, and how the node authenticates to it.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum ServerEntry {
    /// Only an address: the node uses SASL ANONYMOUS, or no SASL if the server has none.
    Address(SocketAddr),
    /// An address with credentials.
    Full(FullServerEntry),
}

/// The address of a server and the credentials for it.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FullServerEntry {
    /// The address; if absent, the one that discovery reports.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// The user to authenticate as.
    #[serde(default)]
    pub user: Option<String>,
    /// The password of `user`; unused if there is no user.
    #[serde(default)]
    pub password: String,
    /// The SASL mechanism: `plain` (the default), `scram-sha-256`, or `none` for no SASL layer.
    #[serde(default)]
    pub sasl: Sasl,
}

/// The SASL mechanism for a server.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Sasl {
    /// PLAIN if a user is configured, otherwise ANONYMOUS.
    #[default]
    Plain,
    /// SCRAM-SHA-256 if a user is configured, otherwise ANONYMOUS.
    #[serde(rename = "scram-sha-256")]
    ScramSha256,
    /// The connection starts with the AMQP header, without a SASL layer.
    None,
}

/// How to connect to a server.
#[derive(Clone, Debug)]
pub struct ServerAccess {
    /// The address to connect to.
    pub address: SocketAddr,
    /// The credentials; `None` for no SASL layer.
    pub credentials: Option<Credentials>,
}

/// The redirect that clients get when the node shuts down (AMQP 1.0, section 2.8.16).
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Redirect {
    /// The hostname to give in the open performative.
    pub hostname: String,
    /// The host name or IP address to connect to.
    pub network_host: String,
    /// The port to connect to.
    pub port: u16,
}

impl Default for AmqpConfig {
    fn default() -> AmqpConfig {
        AmqpConfig {
            listen: SocketAddr::from(([127, 0, 0, 1], 5672)),
            max_frame_bytes: 16 * 1024,
            channel_max: 15,
            handle_max: 255,
            max_links: 256,
            incoming_window_frames: 256,
            max_unsettled: 1024,
            credit: 64,
            subscriber_credit: 65_536,
            max_message_bytes: 1024 * 1024,
            max_retryable_bytes: 64 * 1024,
            max_buffered_bytes: 8 * 1024 * 1024,
            max_link_memory_bytes: 24 * 1024 * 1024,
            max_connections_per_address: 1024,
            client_idle_ms: 10_000,
            server_idle_ms: 4_500,
            max_server_connections: 4,
            max_server_links_per_class: 4,
            max_resumable_links: 256,
            max_resume_timeout_ms: 30_000,
            servers: HashMap::new(),
            users_path: None,
            plain_unencrypted: false,
            tls: None,
            redirect: None,
            users: None,
            tls_config: None,
        }
    }
}

impl AmqpConfig {
    /// Reads and validates the configuration file, and reads the files that it names.
    ///
    /// # Errors
    /// A file cannot be read, or a field has an invalid value. The error names the file and the field.
    pub fn read(path: &Path) -> Result<AmqpConfig, FileError> {
        let text = std::fs::read_to_string(path).map_err(|error| FileError::io(path, error))?;
        let mut config: AmqpConfig = json::parse(&text).map_err(|error| FileError::parse(path, error))?;
        config.validate(path)?;
        let directory = path.parent().unwrap_or(Path::new(""));
        if let Some(tls) = &config.tls {
            let loaded = tls.load(directory, "tls");
            let loaded = loaded.map_err(|error| FileError::tls(path, error))?;
            config.tls_config = Some(loaded);
        }
        if let Some(users_path) = &config.users_path {
            config.users = Some(Users::read(&directory.join(users_path))?);
        }
        Ok(config)
    }

    /// Validates the fields' values. Errors name the file as `path`.
    fn validate(&self, path: &Path) -> Result<(), FileError> {
        let invalid = |field: &str, problem: &str| Err(FileError::field(path, field, problem));
        if self.max_frame_bytes < MIN_MAX_FRAME_BYTES {
            return invalid("max_frame", "at least 512");
        }
        if self.max_frame_bytes > MAX_MAX_FRAME_BYTES {
            return invalid("max_frame", "at most 1048576: frames are buffered whole");
        }
        if self.incoming_window_frames == 0
            || self.credit == 0
            || self.max_unsettled == 0
            || self.max_links == 0
        {
            return invalid("window, credit, unsettled, max_links", "at least 1");
        }
        if self.max_server_links_per_class == 0 || self.max_server_connections == 0 {
            return invalid("server_lanes, server_connections", "at least 1");
        }
        if self.max_buffered_bytes < self.max_retryable_bytes {
            return invalid("max_held", "at least the value of field keep");
        }
        Ok(())
    }

    /// The number of octets of input that a connection buffers: one frame and the start of the next.
    pub fn read_ahead_bytes(&self) -> usize {
        self.max_frame_bytes as usize + READ_AHEAD_BEYOND_FRAME_BYTES
    }

    /// The protocol settings of clients' connections.
    pub fn client_settings(&self, container: &str) -> Settings {
        Settings {
            container: container.to_string(),
            hostname: None,
            max_frame_size: self.max_frame_bytes,
            channel_max: self.channel_max,
            handle_max: self.handle_max,
            max_links: self.max_links,
            incoming_window: self.incoming_window_frames,
            max_unsettled: self.max_unsettled,
            max_message_size: self.max_message_bytes,
            idle_timeout: Duration::from_millis(u64::from(self.client_idle_ms)),
            initial_id: 0,
        }
    }

    /// The protocol settings of connections to servers.
    pub fn server_settings(&self, container: &str) -> Settings {
        Settings {
            idle_timeout: Duration::from_millis(u64::from(self.server_idle_ms)),
            max_links: usize::MAX,
            handle_max: SERVER_HANDLE_MAX,
            ..self.client_settings(container)
        }
    }

    /// The limits of the state that is retained for link resumption.
    pub fn recovery_limits(&self) -> RecoveryLimits {
        RecoveryLimits {
            max_links: self.max_resumable_links,
            max_settled_per_link: self.max_unsettled as usize,
            max_timeout: Duration::from_millis(u64::from(self.max_resume_timeout_ms)),
        }
    }

    /// How to connect to the server `name`, for which discovery reports the address `discovered`.
    pub fn server_access(&self, name: &str, discovered: SocketAddr, nonce: &str) -> ServerAccess {
        match self.servers.get(name) {
            None => ServerAccess { address: discovered, credentials: Some(Credentials::Anonymous) },
            Some(ServerEntry::Address(address)) => {
                ServerAccess { address: *address, credentials: Some(Credentials::Anonymous) }
            }
            Some(ServerEntry::Full(entry)) => ServerAccess {
                address: entry.address.unwrap_or(discovered),
                credentials: entry.credentials(nonce),
            },
        }
    }
}

impl fmt::Debug for FullServerEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The password is omitted so that it cannot appear in logs.
        let mut entry = f.debug_struct("FullServerEntry");
        entry.field("address", &self.address).field("user", &self.user).field("sasl", &self.sasl);
        entry.finish_non_exhaustive()
    }
}

impl FullServerEntry {
    /// The credentials to authenticate with; `None` for no SASL layer.
    fn credentials(&self, nonce: &str) -> Option<Credentials> {
        let password = self.password.clone();
        match (self.sasl, self.user.clone()) {
            (Sasl::None, _) => None,
            (_, None) => Some(Credentials::Anonymous),
            (Sasl::Plain, Some(user)) => Some(Credentials::Plain { user, password }),
            (Sasl::ScramSha256, Some(user)) => {
                Some(Credentials::Scram { user, password, nonce: nonce.to_string() })
            }
        }
    }
}

#[cfg(test)]
mod tests;
