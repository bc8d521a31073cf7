//! What a node is told at its start: `NODE_CONFIG` and the variables beside it.

pub mod json;
pub mod settings;

use crate::discovery::EndpointListDocument;
use crate::front::{Files, ReadFiles, OPTIONAL};
use crate::vocabulary::{Discovery, Nanos, Settings};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// The configuration of a node.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// Where operators call; none where it is not told.
    pub operator: Option<SocketAddr>,
    pub discovery: SocketAddr,
    /// Discovery as the file names it: `NODE_DISCOVERY` may have won over it at the start.
    filed_discovery: SocketAddr,
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    pub known: EndpointListDocument,
    pub settings: Settings,
    pub facts: Facts,
}

/// What the fronts need of the settings and the module does not.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Facts {
    #[serde(rename = "Profiles")]
    pub classes: Vec<ClassName>,
    #[serde(default)]
    pub zones: Vec<String>,
    pub limits: DialLimits,
    #[serde(default)]
    pub family_info: Notes,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ClassName {
    pub name: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct DialLimits {
    /// A connection that is not up after this has failed.
    #[serde(default = "dial_timeout")]
    pub dial_timeout_ns: Nanos,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Notes {
    /// The module wants to know how long messages take.
    pub tells_delay: bool,
}

fn dial_timeout() -> Nanos {
    250_000_000
}

#[derive(Deserialize)]
struct File<'a> {
    name: String,
    listen: SocketAddr,
    operator: Option<SocketAddr>,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    limits: Limits,
    known: EndpointListDocument,
    #[serde(borrow)]
    settings: &'a RawValue,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
}

/// All that `serve` is configured by, read alike at the start, by `check-config` and on SIGHUP.
pub struct Loaded {
    pub node: Config,
    /// What the optional fronts' files say.
    pub fronts: ReadFiles,
}

impl Loaded {
    /// Reads the environment's configuration and the optional fronts' files.
    pub fn read(files: &Files) -> Result<Loaded, String> {
        Ok(Loaded { node: Config::from_env()?, fronts: read_fronts(files)? })
    }

    /// Reads all again for a running node: all of it is right, or none of it counts.
    pub fn again(running: &Config, files: &Files) -> Result<Loaded, String> {
        Ok(Loaded { node: running.again()?, fronts: read_fronts(files)? })
    }
}

fn read_fronts(files: &Files) -> Result<ReadFiles, String> {
    files.iter().map(|(which, path)| Ok((*which, (OPTIONAL[*which].read)(path)?))).collect()
}

impl Config {
    /// Reads `NODE_CONFIG`; `NODE_NAME`, `NODE_LISTEN`, `NODE_OPERATOR` and `NODE_DISCOVERY` win where they
    /// are set.
    pub fn from_env() -> Result<Config, String> {
        let path = std::env::var("NODE_CONFIG").map_err(|_| "NODE_CONFIG: not set".to_string())?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
        let mut config = Config::parse(&text).map_err(|e| format!("{path}: {e}"))?;
        if let Ok(name) = std::env::var("NODE_NAME") {
            config.name = name;
        }
        config.listen = address("NODE_LISTEN")?.unwrap_or(config.listen);
        config.operator = address("NODE_OPERATOR")?.or(config.operator);
        config.discovery = address("NODE_DISCOVERY")?.unwrap_or(config.discovery);
        Ok(config)
    }

    /// Reads it all again, as the start does, for a node that runs under this one. The variables are those
    /// of the start: where the file names another discovery than it did, the file is newer and wins.
    pub fn again(&self) -> Result<Config, String> {
        let mut config = Config::from_env()?;
        let moved = config.filed_discovery != self.filed_discovery;
        config.discovery = if moved { config.filed_discovery } else { self.discovery };
        Ok(config)
    }

    /// Takes over from a newer configuration what a running node can change, and names what it cannot.
    /// Classes and zones are known by their places to all that is open: they stay as they are.
    pub fn take_over(&mut self, new: Config) -> Vec<&'static str> {
        let mut fixed = Vec::new();
        let names = |facts: &Facts| facts.classes.iter().map(|c| c.name.clone()).collect::<Vec<_>>();
        if names(&new.facts) == names(&self.facts) && new.facts.zones == self.facts.zones {
            (self.settings, self.facts) = (new.settings, new.facts);
        } else {
            fixed.push("settings");
        }
        let kept = [
            ("name", new.name != self.name),
            ("listen", new.listen != self.listen),
            ("operator", new.operator != self.operator),
            ("seed", new.seed != self.seed),
        ];
        fixed.extend(kept.iter().filter(|(_, differs)| *differs).map(|(field, _)| *field));
        (self.discovery, self.filed_discovery, self.sockets) =
            (new.discovery, new.filed_discovery, new.sockets);
        fixed
    }

    /// Decodes the text of the file.
    pub fn parse(text: &str) -> Result<Config, String> {
        let file: File = json::parse(text)?;
        crate::log::trace(format_args!("trace settings {}", file.settings.get()));
        let in_settings = |e: String| e.replacen("field ", "field settings.", 1);
        let mut settings = settings::settings_from(file.settings.get()).map_err(in_settings)?;
        let facts: Facts = json::parse(file.settings.get()).map_err(in_settings)?;
        settings.dial_timeout = facts.limits.dial_timeout_ns;
        // On sockets nothing comes unasked: what is pushed waits at the machine's agent until a watch asks for it.
        if settings.discovery == Discovery::Pushed {
            settings.discovery = Discovery::LocalAgent;
        }
        settings.check().map_err(|e| format!("field settings.{}: {}", e.field, e.problem))?;
        let seed = if file.seed.is_empty() {
            0
        } else {
            u64::from_str_radix(&file.seed, 16).map_err(|e| format!("field seed: {e}"))?
        };
        Ok(Config {
            name: file.name,
            listen: file.listen,
            operator: file.operator,
            discovery: file.discovery,
            filed_discovery: file.discovery,
            seed,
            sockets: file.limits.sockets,
            known: file.known,
            settings,
            facts,
        })
    }
}

fn address(variable: &str) -> Result<Option<SocketAddr>, String> {
    match std::env::var(variable) {
        Ok(text) => text.parse().map(Some).map_err(|e| format!("{variable}: {e}")),
        Err(_) => Ok(None),
    }
}
