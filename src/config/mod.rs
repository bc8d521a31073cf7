//! The configuration of a node: the file at the path in `NODE_CONFIG`, and environment variables that override it.
//!
//! The file is JSON. Its `settings` object is the settings document, which the platform writes for the site.
//! [`SettingsDocument`] is the schema of the document. It is mapped to the settings of the balancer ([`Settings`]) and
//! to those of the frontends and the flow export ([`FrontendSettings`]).

mod error;
mod settings;
mod settings_document;

#[cfg(test)]
mod tests;

pub use error::{ConfigError, ContentError};
pub use settings::{FrontendSettings, UTILIZATION_FIELD};
pub use settings_document::SettingsDocument;

use crate::discovery::EndpointListDocument;
use crate::json;
use crate::model::{Discovery, Settings};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// The configuration of a node.
#[derive(Debug)]
pub struct Config {
    /// The node's name, which does not change with a restart.
    pub name: String,
    /// The listen address for clients of the platform's text protocol.
    pub listen: SocketAddr,
    /// The listen address of the admin API; `None` if the admin API is disabled.
    pub admin_listen: Option<SocketAddr>,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The address of the discovery service in the file, without the override by `NODE_DISCOVERY`.
    discovery_in_file: SocketAddr,
    /// The seed of the balancer's random numbers.
    pub seed: u64,
    /// The maximum number of file descriptors that the process may have open.
    pub max_descriptors: usize,
    /// The endpoint list to start with, which may be stale.
    pub known_endpoints: EndpointListDocument,
    /// The settings of the balancer.
    pub settings: Settings,
    /// The settings of the frontends and the flow export.
    pub frontend_settings: FrontendSettings,
}

/// The schema of the configuration file.
#[derive(Deserialize)]
struct ConfigDocument<'a> {
    name: String,
    listen: SocketAddr,
    #[serde(rename = "operator")]
    admin_listen: Option<SocketAddr>,
    discovery: SocketAddr,
    /// A hexadecimal number; an empty string is zero.
    #[serde(default)]
    seed: String,
    limits: LimitsDocument,
    #[serde(rename = "known")]
    known_endpoints: EndpointListDocument,
    #[serde(borrow)]
    settings: &'a RawValue,
}

#[derive(Deserialize)]
struct LimitsDocument {
    #[serde(rename = "sockets")]
    max_descriptors: usize,
}

impl Config {
    /// Reads the file at the path in `NODE_CONFIG`. `NODE_NAME`, `NODE_LISTEN`, `NODE_OPERATOR` and `NODE_DISCOVERY`
    /// override the file if they are set.
    ///
    /// # Errors
    /// The error names the variable, or the file and the field.
    pub fn from_env() -> Result<Config, ConfigError> {
        let path = std::env::var("NODE_CONFIG").map_err(|_| ConfigError::NotSet("NODE_CONFIG"))?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Unreadable { path, source }),
        };
        let mut config = match Config::parse(&text) {
            Ok(config) => config,
            Err(source) => return Err(ConfigError::Invalid { path, source }),
        };
        if let Ok(name) = std::env::var("NODE_NAME") {
            config.name = name;
        }
        config.listen = address_variable("NODE_LISTEN")?.unwrap_or(config.listen);
        config.admin_listen = address_variable("NODE_OPERATOR")?.or(config.admin_listen);
        config.discovery = address_variable("NODE_DISCOVERY")?.unwrap_or(config.discovery);
        Ok(config)
    }

    /// Reads the configuration again for a node that runs with this one. The environment variables are still those of
    /// the start. If the address of the discovery service in the file has changed since, the file is newer than
    /// `NODE_DISCOVERY` and takes precedence over it.
    ///
    /// # Errors
    /// Those of [`Config::from_env`].
    pub fn reread(&self) -> Result<Config, ConfigError> {
        let mut config = Config::from_env()?;
        let file_changed = config.discovery_in_file != self.discovery_in_file;
        config.discovery = if file_changed { config.discovery_in_file } else { self.discovery };
        Ok(config)
    }

    /// Applies the changes of a newer configuration that do not need a restart. Returns the changed fields that do, by
    /// their names in the file.
    ///
    /// Open connections refer to classes and zones by their index, so settings with other classes or zones need a
    /// restart.
    pub fn apply_reload(&mut self, new: Config) -> Vec<&'static str> {
        let mut needs_restart = Vec::new();
        if new.frontend_settings.has_same_classes_and_zones(&self.frontend_settings) {
            self.settings = new.settings;
            self.frontend_settings = new.frontend_settings;
        } else {
            needs_restart.push("settings");
        }
        let fixed_fields = [
            ("name", new.name != self.name),
            ("listen", new.listen != self.listen),
            ("operator", new.admin_listen != self.admin_listen),
            ("seed", new.seed != self.seed),
        ];
        needs_restart.extend(fixed_fields.iter().filter(|(_, changed)| *changed).map(|(field, _)| *field));
        self.discovery = new.discovery;
        self.discovery_in_file = new.discovery_in_file;
        self.max_descriptors = new.max_descriptors;
        needs_restart
    }

    /// Decodes and validates the text of the file.
    ///
    /// # Errors
    /// The error names the field and the reason why it is invalid.
    pub fn parse(text: &str) -> Result<Config, ContentError> {
        let document: ConfigDocument = json::parse(text)?;
        let settings_text = document.settings.get();
        tracing::trace!(settings = %settings_text, "settings document");
        let (settings, frontend_settings) = parse_settings(settings_text)?;
        settings.validate()?;
        let seed = match document.seed.as_str() {
            "" => 0,
            digits => u64::from_str_radix(digits, 16)?,
        };
        Ok(Config {
            name: document.name,
            listen: document.listen,
            admin_listen: document.admin_listen,
            discovery: document.discovery,
            discovery_in_file: document.discovery,
            seed,
            max_descriptors: document.limits.max_descriptors,
            known_endpoints: document.known_endpoints,
            settings,
            frontend_settings,
        })
    }
}

/// Decodes the `settings` object for a node that runs on real sockets, not in the simulator.
fn parse_settings(text: &str) -> Result<(Settings, FrontendSettings), ContentError> {
    let document: SettingsDocument = json::parse(text).map_err(|error| error.within("settings"))?;
    let frontend_settings = FrontendSettings::try_from(&document)?;
    let mut settings = Settings::from(document);
    settings.dial_timeout = frontend_settings.dial_timeout;
    // On real sockets no list is pushed without a request. An agent on the machine receives the pushed lists and serves
    // a watch on them.
    if settings.discovery == Discovery::Pushed {
        settings.discovery = Discovery::LocalAgent;
    }
    Ok((settings, frontend_settings))
}

/// The address in an environment variable; `None` if the variable is not set or not valid Unicode.
fn address_variable(variable: &'static str) -> Result<Option<SocketAddr>, ConfigError> {
    let Ok(text) = std::env::var(variable) else { return Ok(None) };
    match text.parse() {
        Ok(address) => Ok(Some(address)),
        Err(source) => Err(ConfigError::NotAnAddress { variable, source }),
    }
}
