//! The AMQP front's own file, such as `deploy/amqp.json`.

use super::access::Users;
use crate::front::tls::TlsListenerConfig;
use crate::json;
use crate::vocabulary::Nanos;
use serde::Deserialize;
use sparbank_amqp::{Credentials, Settings};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

const MS: Nanos = 1_000_000;

/// The file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AmqpConfig {
    /// Where AMQP clients connect; port 0 lets the system pick one.
    pub listen: SocketAddr,
    /// The largest frame taken, in octets.
    pub max_frame: u32,
    /// The highest channel: sessions on a connection, less one.
    pub channel_max: u16,
    /// The highest handle of a session.
    pub handle_max: u32,
    /// The most links on one connection.
    pub max_links: usize,
    /// Frames that a peer may send ahead on a session.
    pub window: u32,
    /// Deliveries on one link that neither side has settled.
    pub unsettled: u32,
    /// The credit of a link, where nothing is short.
    pub credit: u32,
    /// The credit of all links of one subscriber together.
    pub subscriber_credit: u32,
    /// The largest message taken, in octets.
    pub max_message: u64,
    /// Messages up to this size are kept whole until they are answered, so that they can be tried again
    /// elsewhere; of larger ones what has gone out is let go.
    pub keep: usize,
    /// Octets of all messages in hand together.
    pub max_held: usize,
    /// Connections that one address may hold.
    pub peer_connections: usize,
    /// Clients that are silent for this long are closed.
    pub idle_ms: u32,
    /// Servers that are silent for this long are given up.
    #[serde(alias = "region_idle_ms")]
    pub server_idle_ms: u32,
    /// Connections to one server.
    #[serde(alias = "region_connections")]
    pub server_connections: usize,
    /// Links to one server for one class: a long message holds up its own link and no other.
    #[serde(alias = "region_lanes")]
    pub server_lanes: usize,
    /// Links that are remembered while they may come again.
    pub resume_links: usize,
    /// For no longer than this, whatever they ask for.
    pub resume_ms: u32,
    /// Where servers speak AMQP, by instance id. A server that is not named is met at discovery's address.
    #[serde(alias = "regions")]
    pub servers: HashMap<String, Place>,
    /// Who may come in, as `sparbank amqp-user` writes it. Without it everyone may, unnamed.
    pub users: Option<PathBuf>,
    /// PLAIN passwords may come over connections that are not encrypted.
    pub plain_unencrypted: bool,
    /// Where clients connect under TLS.
    pub tls: Option<TlsListenerConfig>,
    /// When the node leaves, clients are told to go there.
    pub redirect: Option<Redirect>,
    /// What [`AmqpConfig::users`] holds.
    #[serde(skip)]
    pub known: Option<Users>,
    /// What [`AmqpConfig::tls`] names.
    #[serde(skip)]
    pub tls_config: Option<Arc<rustls::ServerConfig>>,
}

/// Where a server speaks AMQP, and how the node makes itself known there.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum Place {
    /// An address alone: SASL ANONYMOUS, or none where the server has no SASL.
    Address(SocketAddr),
    /// An address and more.
    Full(FullPlace),
}

/// A place with its particulars.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FullPlace {
    /// The address; discovery's where it is absent.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// The user to come as, by PLAIN.
    #[serde(default)]
    pub user: Option<String>,
    /// Its password.
    #[serde(default)]
    pub password: String,
    /// `plain` (the default), `scram-sha-256`, or `none` for no SASL at all.
    #[serde(default)]
    pub sasl: Sasl,
}

/// How to come to a server.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Sasl {
    /// PLAIN where there is a user, ANONYMOUS otherwise.
    #[default]
    Plain,
    /// SCRAM-SHA-256.
    #[serde(rename = "scram-sha-256")]
    ScramSha256,
    /// No SASL layer.
    None,
}

/// Where clients are sent when the node leaves (part 2, 2.8.16).
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Redirect {
    /// The container to ask for.
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
            max_frame: 16 * 1024,
            channel_max: 15,
            handle_max: 255,
            max_links: 256,
            window: 256,
            unsettled: 1024,
            credit: 64,
            subscriber_credit: 65_536,
            max_message: 1024 * 1024,
            keep: 64 * 1024,
            max_held: 8 * 1024 * 1024,
            peer_connections: 1024,
            idle_ms: 10_000,
            server_idle_ms: 4_500,
            server_connections: 4,
            server_lanes: 4,
            resume_links: 256,
            resume_ms: 30_000,
            servers: HashMap::new(),
            users: None,
            plain_unencrypted: false,
            tls: None,
            redirect: None,
            known: None,
            tls_config: None,
        }
    }
}

impl AmqpConfig {
    /// Reads the file and what it names.
    pub fn read(path: &Path) -> Result<AmqpConfig, String> {
        let name = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
        let mut config: AmqpConfig = json::parse(&text).map_err(|e| format!("{name}: {e}"))?;
        let wrong = |field: &str, problem: &str| Err(format!("{name}: field {field}: {problem}"));
        if config.max_frame < 512 {
            return wrong("max_frame", "at least 512");
        }
        if config.max_frame > 1024 * 1024 {
            return wrong("max_frame", "at most 1048576: a frame is held whole");
        }
        if config.window == 0 || config.credit == 0 || config.unsettled == 0 || config.max_links == 0 {
            return wrong("window, credit, unsettled, max_links", "at least 1");
        }
        if config.server_lanes == 0 || config.server_connections == 0 {
            return wrong("server_lanes, server_connections", "at least 1");
        }
        if config.max_held < config.keep {
            return wrong("max_held", "at least keep");
        }
        let beside = path.parent().unwrap_or(Path::new(""));
        if let Some(tls) = &config.tls {
            config.tls_config = Some(tls.load(beside, "tls").map_err(|e| format!("{name}: {e}"))?);
        }
        if let Some(users) = &config.users {
            let users = beside.join(users);
            config.known = Some(Users::read(&users)?);
        }
        Ok(config)
    }

    /// What clients' connections are bound by.
    pub fn client(&self, container: &str) -> Settings {
        Settings {
            container: container.to_string(),
            hostname: None,
            max_frame: self.max_frame,
            channel_max: self.channel_max,
            handle_max: self.handle_max,
            links: self.max_links,
            window: self.window,
            unsettled: self.unsettled,
            max_message: self.max_message,
            idle: Nanos::from(self.idle_ms) * MS,
            first: 0,
        }
    }

    /// What is remembered of links that may come again.
    pub fn recovery(&self) -> super::recovery::Bounds {
        let ended = self.unsettled as usize;
        super::recovery::Bounds { links: self.resume_links, ended, timeout: Nanos::from(self.resume_ms) * MS }
    }

    /// What the connections to servers are bound by.
    pub fn server(&self, container: &str) -> Settings {
        let idle = Nanos::from(self.server_idle_ms) * MS;
        Settings { idle, links: usize::MAX, handle_max: 1023, ..self.client(container) }
    }

    /// How to come to a server: its address, and how the node makes itself known.
    pub fn place(&self, name: &str, addr: SocketAddr, nonce: &str) -> (SocketAddr, Option<Credentials>) {
        match self.servers.get(name) {
            None => (addr, Some(Credentials::Anonymous)),
            Some(Place::Address(addr)) => (*addr, Some(Credentials::Anonymous)),
            Some(Place::Full(place)) => {
                let (user, password) = (place.user.clone(), place.password.clone());
                let credentials = match (place.sasl, user) {
                    (Sasl::None, _) => None,
                    (_, None) => Some(Credentials::Anonymous),
                    (Sasl::Plain, Some(user)) => Some(Credentials::Plain { user, password }),
                    (Sasl::ScramSha256, Some(user)) => {
                        Some(Credentials::Scram { user, password, nonce: nonce.to_string() })
                    }
                };
                (place.address.unwrap_or(addr), credentials)
            }
        }
    }
}
