//! The AMQP frontend's configuration file, such as `deploy/amqp.json`. `docs/AMQP.md` lists its fields.

use super::error::FileError;
use super::recovery::RecoveryLimits;
use super::users::Users;
use crate::frontend::tls::TlsListenerConfig;
use crate::json;
use serde::Deserialize;
use sparbank_amqp::{Credentials, Settings};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// Every peer takes frames of this size (2.4.1).
const MIN_MAX_FRAME_BYTES: u32 = 512;
/// A frame is buffered completely.
const MAX_MAX_FRAME_BYTES: u32 = 1024 * 1024;
/// Input that is buffered beyond one frame.
const READ_AHEAD_BEYOND_FRAME_BYTES: usize = 1024;
/// The highest handle on a session with a server.
const SERVER_HANDLE_MAX: u32 = 1023;

/// The configuration file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AmqpConfig {
    /// The address where AMQP clients connect; port 0 lets the system pick one.
    pub listen: SocketAddr,
    /// The largest frame accepted, in octets.
    #[serde(rename = "max_frame")]
    pub max_frame_bytes: u32,
    /// The highest channel: sessions on a connection, less one.
    pub channel_max: u16,
    /// The highest handle of a session.
    pub handle_max: u32,
    /// The most links on one connection.
    pub max_links: usize,
    /// The session's incoming window, in frames.
    #[serde(rename = "window")]
    pub incoming_window_frames: u32,
    /// The most deliveries on one link that neither side has settled.
    #[serde(rename = "unsettled")]
    pub max_unsettled: u32,
    /// The credit of a link, while memory is not short.
    pub credit: u32,
    /// The credit of all links of one subscriber together.
    pub subscriber_credit: u32,
    /// The largest message accepted, in octets.
    #[serde(rename = "max_message")]
    pub max_message_bytes: u64,
    /// Messages up to this size, in octets, are buffered until they are answered, so that they can be retried. Of
    /// larger ones, what was sent is discarded.
    #[serde(rename = "keep")]
    pub max_retryable_bytes: usize,
    /// The most octets buffered of all messages together.
    #[serde(rename = "max_held")]
    pub max_buffered_bytes: usize,
    /// The most connections from one address.
    #[serde(rename = "peer_connections")]
    pub max_connections_per_address: usize,
    /// Clients that are silent for this long, in milliseconds, are disconnected.
    #[serde(rename = "idle_ms")]
    pub client_idle_ms: u32,
    /// Servers that are silent for this long, in milliseconds, are disconnected.
    #[serde(alias = "region_idle_ms")]
    pub server_idle_ms: u32,
    /// The most connections to one server.
    #[serde(rename = "server_connections", alias = "region_connections")]
    pub max_server_connections: usize,
    /// The most links to one server for one class: a long message delays others on its own link only.
    #[serde(rename = "server_lanes", alias = "region_lanes")]
    pub max_server_links_per_class: usize,
    /// The most links that are remembered while they may be resumed.
    #[serde(rename = "resume_links")]
    pub max_resumable_links: usize,
    /// The longest time that a link may be resumed after, in milliseconds.
    #[serde(rename = "resume_ms")]
    pub max_resume_timeout_ms: u32,
    /// Where servers speak AMQP, by instance id. A server that is not named here is reached at its address in
    /// discovery.
    #[serde(alias = "regions")]
    pub servers: HashMap<String, ServerEntry>,
    /// The users' file, as `sparbank amqp-user` writes it. Without it every client may connect, as anonymous.
    pub users: Option<PathBuf>,
    /// PLAIN passwords may be sent over connections that are not encrypted.
    pub plain_unencrypted: bool,
    /// Where clients connect under TLS.
    pub tls: Option<TlsListenerConfig>,
    /// Where clients are redirected when the node shuts down.
    pub redirect: Option<Redirect>,
    /// The contents of the file that [`AmqpConfig::users`] names.
    #[serde(skip)]
    pub known_users: Option<Users>,
    /// The certificates and the key that [`AmqpConfig::tls`] names.
    #[serde(skip)]
    pub tls_config: Option<Arc<rustls::ServerConfig>>,
}

/// Where a server speaks AMQP, and how the node authenticates there.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum ServerEntry {
    /// An address alone: SASL ANONYMOUS, or none if the server has no SASL.
    Address(SocketAddr),
    /// An address with credentials.
    Full(FullServerEntry),
}

/// A server's address and the credentials for it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FullServerEntry {
    /// The address; if absent, the one in discovery.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// The user to authenticate as.
    #[serde(default)]
    pub user: Option<String>,
    /// Its password.
    #[serde(default)]
    pub password: String,
    /// `plain` (the default), `scram-sha-256`, or `none` for no SASL layer.
    #[serde(default)]
    pub sasl: Sasl,
}

/// How to authenticate at a server.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Sasl {
    /// PLAIN if there is a user, ANONYMOUS otherwise.
    #[default]
    Plain,
    /// SCRAM-SHA-256.
    #[serde(rename = "scram-sha-256")]
    ScramSha256,
    /// No SASL layer.
    None,
}

/// How to connect to a server.
#[derive(Clone, Debug)]
pub struct ServerAccess {
    /// The address to connect to.
    pub address: SocketAddr,
    /// The credentials; none for no SASL layer.
    pub credentials: Option<Credentials>,
}

/// Where clients are redirected when the node shuts down (standard, section 2.8.16).
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Redirect {
    /// The container to request.
    pub hostname: String,
    /// The host to connect to.
    pub network_host: String,
    /// Its port.
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
            max_connections_per_address: 1024,
            client_idle_ms: 10_000,
            server_idle_ms: 4_500,
            max_server_connections: 4,
            max_server_links_per_class: 4,
            max_resumable_links: 256,
            max_resume_timeout_ms: 30_000,
            servers: HashMap::new(),
            users: None,
            plain_unencrypted: false,
            tls: None,
            redirect: None,
            known_users: None,
            tls_config: None,
        }
    }
}

impl AmqpConfig {
    /// Reads and checks the file and the files that it names.
    ///
    /// # Errors
    /// A file cannot be read, or a field has a wrong value: the error names the file and the field.
    pub fn read(path: &Path) -> Result<AmqpConfig, FileError> {
        let text = std::fs::read_to_string(path).map_err(|error| FileError::io(path, error))?;
        let mut config: AmqpConfig = json::parse(&text).map_err(|error| FileError::parse(path, error))?;
        config.check(path)?;
        let directory = path.parent().unwrap_or(Path::new(""));
        if let Some(tls) = &config.tls {
            let loaded = tls.load(directory, "tls");
            let loaded = loaded.map_err(|error| FileError::tls(path, error))?;
            config.tls_config = Some(loaded);
        }
        if let Some(users) = &config.users {
            config.known_users = Some(Users::read(&directory.join(users))?);
        }
        Ok(config)
    }

    /// Checks the fields' values; `path` is the file, for errors.
    fn check(&self, path: &Path) -> Result<(), FileError> {
        let wrong = |field: &str, problem: &str| Err(FileError::field(path, field, problem));
        if self.max_frame_bytes < MIN_MAX_FRAME_BYTES {
            return wrong("max_frame", "at least 512");
        }
        if self.max_frame_bytes > MAX_MAX_FRAME_BYTES {
            return wrong("max_frame", "at most 1048576: a frame is held whole");
        }
        if self.incoming_window_frames == 0
            || self.credit == 0
            || self.max_unsettled == 0
            || self.max_links == 0
        {
            return wrong("window, credit, unsettled, max_links", "at least 1");
        }
        if self.max_server_links_per_class == 0 || self.max_server_connections == 0 {
            return wrong("server_lanes, server_connections", "at least 1");
        }
        if self.max_buffered_bytes < self.max_retryable_bytes {
            return wrong("max_held", "at least keep");
        }
        Ok(())
    }

    /// The octets of input that a connection buffers: a frame, and the start of the next.
    pub fn read_ahead_bytes(&self) -> usize {
        self.max_frame_bytes as usize + READ_AHEAD_BEYOND_FRAME_BYTES
    }

    /// The limits of clients' connections.
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

    /// The limits of connections to servers.
    pub fn server_settings(&self, container: &str) -> Settings {
        Settings {
            idle_timeout: Duration::from_millis(u64::from(self.server_idle_ms)),
            max_links: usize::MAX,
            handle_max: SERVER_HANDLE_MAX,
            ..self.client_settings(container)
        }
    }

    /// The limits of what is remembered of links that may be resumed.
    pub fn recovery_limits(&self) -> RecoveryLimits {
        RecoveryLimits {
            max_links: self.max_resumable_links,
            max_settled_per_link: self.max_unsettled as usize,
            max_timeout: Duration::from_millis(u64::from(self.max_resume_timeout_ms)),
        }
    }

    /// How to connect to the server `name`, whose address in discovery is `discovered`.
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

impl FullServerEntry {
    /// The credentials to authenticate with; none for no SASL layer.
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
