//! The frontends that are on, by their ids.

use super::api::{Frontend, TEXT_FRONTEND};
use super::optional::{FrontendError, FrontendSetup, OptionalFrontend};
use super::{amqp, text};
use crate::requests::FrontendId;
use std::any::Any;

/// All frontends beside the platform's own.
pub const OPTIONAL_FRONTENDS: &[OptionalFrontend] = &[amqp::OPTIONAL_FRONTEND];

/// The frontends that are on, each at the index of its id.
pub struct Frontends {
    entries: Vec<Entry>,
}

struct Entry {
    frontend: Box<dyn Frontend>,
    name: &'static str,
}

impl Frontends {
    /// The platform's frontend alone.
    pub fn new() -> Frontends {
        let frontend = Box::new(text::TextFrontend::new());
        Frontends { entries: vec![Entry { frontend, name: TEXT_FRONTEND.name }] }
    }

    /// Opens an optional frontend, by its index into [`OPTIONAL_FRONTENDS`], and adds it.
    pub fn open(
        &mut self,
        which: usize,
        config: Box<dyn Any>,
        setup: FrontendSetup,
    ) -> Result<(), FrontendError> {
        let optional = &OPTIONAL_FRONTENDS[which];
        let id = FrontendId { index: self.entries.len() as u8, name: optional.name };
        let frontend = (optional.open)(id, config, setup)?;
        self.entries.push(Entry { frontend, name: optional.name });
        Ok(())
    }

    /// The frontend with this id.
    pub fn get(&mut self, id: FrontendId) -> Option<&mut dyn Frontend> {
        let entry = self.entries.get_mut(usize::from(id.index))?;
        Some(entry.frontend.as_mut())
    }

    /// All frontends, in the order of their ids.
    pub fn all(&mut self) -> impl Iterator<Item = &mut Box<dyn Frontend>> {
        self.entries.iter_mut().map(|entry| &mut entry.frontend)
    }

    /// Applies a newer configuration to an optional frontend, by its index into [`OPTIONAL_FRONTENDS`]. Returns the fields
    /// that need a restart.
    pub fn reload(&mut self, which: usize, config: Box<dyn Any>) -> Vec<&'static str> {
        let name = OPTIONAL_FRONTENDS[which].name;
        match self.entries.iter_mut().find(|entry| entry.name == name) {
            Some(entry) => entry.frontend.reload(config),
            None => Vec::new(),
        }
    }

    /// The id of the frontend with this name.
    pub fn id_by_name(&self, name: &str) -> Option<FrontendId> {
        let index = self.entries.iter().position(|entry| entry.name == name)?;
        Some(FrontendId { index: index as u8, name: self.entries[index].name })
    }

    /// Whether no frontend has a client.
    pub fn are_idle(&self) -> bool {
        self.entries.iter().all(|entry| entry.frontend.is_idle())
    }

    /// The log lines of the frontends' own counters.
    pub fn counter_lines(&self) -> Vec<String> {
        let line =
            |entry: &Entry| Some(format!("{}-counters {}", entry.name, entry.frontend.counter_line()?));
        self.entries.iter().filter_map(line).collect()
    }
}
