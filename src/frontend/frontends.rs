//! The enabled frontends, indexed by their ids.

use super::api::{Frontend, TEXT_FRONTEND};
use super::optional::{FrontendError, FrontendSetup, OptionalFrontend, ParsedFrontendFile};
use super::{amqp, text};
use crate::requests::FrontendId;

/// All frontends except the text protocol's.
const OPTIONAL_FRONTENDS: &[OptionalFrontend] = &[amqp::OPTIONAL_FRONTEND];

/// Returns the frontend that the command-line option `--NAME` enables.
pub fn optional_frontend(name: &str) -> Option<&'static OptionalFrontend> {
    OPTIONAL_FRONTENDS.iter().find(|frontend| frontend.name == name)
}

/// The enabled frontends, each at the index of its id.
pub struct Frontends {
    entries: Vec<Entry>,
}

struct Entry {
    frontend: Box<dyn Frontend>,
    name: &'static str,
}

impl Frontends {
    /// Creates the set with only the text protocol's frontend enabled.
    pub fn new() -> Frontends {
        let frontend = Box::new(text::TextFrontend::new());
        Frontends { entries: vec![Entry { frontend, name: TEXT_FRONTEND.name }] }
    }

    /// Opens an optional frontend and adds it to the set.
    ///
    /// # Errors
    /// If the frontend rejects its configuration or cannot open a listening socket.
    pub fn open(&mut self, file: ParsedFrontendFile, setup: FrontendSetup) -> Result<(), FrontendError> {
        let ParsedFrontendFile { frontend: OptionalFrontend { name, open, .. }, config } = file;
        let id = FrontendId { index: self.entries.len() as u8, name };
        let frontend = open(id, config, setup)?;
        self.entries.push(Entry { frontend, name });
        Ok(())
    }

    /// Returns the frontend with this id.
    pub fn get(&mut self, id: FrontendId) -> Option<&mut dyn Frontend> {
        let entry = self.entries.get_mut(usize::from(id.index))?;
        Some(entry.frontend.as_mut())
    }

    /// Iterates over all enabled frontends in the order of their ids.
    pub fn all(&mut self) -> impl Iterator<Item = &mut Box<dyn Frontend>> {
        self.entries.iter_mut().map(|entry| &mut entry.frontend)
    }

    /// Applies a new configuration to an optional frontend, if it is enabled. Returns the changed fields that need a
    /// restart.
    pub fn reload(&mut self, file: ParsedFrontendFile) -> Vec<&'static str> {
        let entry = self.entries.iter_mut().find(|entry| entry.name == file.frontend.name);
        entry.map_or_else(Vec::new, |entry| entry.frontend.reload(file.config))
    }

    /// Returns the id of the enabled frontend with this name.
    pub fn id_by_name(&self, name: &str) -> Option<FrontendId> {
        let index = self.entries.iter().position(|entry| entry.name == name)?;
        Some(FrontendId { index: index as u8, name: self.entries[index].name })
    }

    /// Whether no client is connected to any frontend.
    pub fn are_idle(&self) -> bool {
        self.entries.iter().all(|entry| entry.frontend.is_idle())
    }

    /// Returns the log lines of the frontends' own counters.
    pub fn counter_lines(&self) -> Vec<String> {
        let line =
            |entry: &Entry| Some(format!("{}-counters {}", entry.name, entry.frontend.counter_line()?));
        self.entries.iter().filter_map(line).collect()
    }
}
