//! The fronts that are on, by their ids.

use super::api::{Front, TEXT_FRONT};
use super::optional::{FrontError, FrontSetup, OptionalFront};
use super::{amqp, text};
use crate::requests::FrontId;
use std::any::Any;

/// All fronts beside the platform's own.
pub const OPTIONAL_FRONTS: &[OptionalFront] = &[amqp::OPTIONAL_FRONT];

/// The fronts that are on, each at the index of its id.
pub struct Fronts {
    entries: Vec<Entry>,
}

struct Entry {
    front: Box<dyn Front>,
    name: &'static str,
}

impl Fronts {
    /// The platform's front alone.
    pub fn new() -> Fronts {
        let front = Box::new(text::TextFront::new());
        Fronts { entries: vec![Entry { front, name: TEXT_FRONT.name }] }
    }

    /// Opens an optional front, by its index into [`OPTIONAL_FRONTS`], and returns its log line.
    pub fn open(
        &mut self,
        which: usize,
        config: Box<dyn Any>,
        setup: FrontSetup,
    ) -> Result<String, FrontError> {
        let optional = &OPTIONAL_FRONTS[which];
        let id = FrontId { index: self.entries.len() as u8, name: optional.name };
        let opened = (optional.open)(id, config, setup)?;
        self.entries.push(Entry { front: opened.front, name: optional.name });
        Ok(format!("{} {}", optional.name, opened.listen_line))
    }

    /// The front with this id.
    pub fn get(&mut self, id: FrontId) -> Option<&mut dyn Front> {
        let entry = self.entries.get_mut(usize::from(id.index))?;
        Some(entry.front.as_mut())
    }

    /// All fronts, in the order of their ids.
    pub fn all(&mut self) -> impl Iterator<Item = &mut Box<dyn Front>> {
        self.entries.iter_mut().map(|entry| &mut entry.front)
    }

    /// Applies a newer configuration to an optional front, by its index into [`OPTIONAL_FRONTS`]. Returns the fields
    /// that need a restart.
    pub fn reload(&mut self, which: usize, config: Box<dyn Any>) -> Vec<&'static str> {
        let name = OPTIONAL_FRONTS[which].name;
        match self.entries.iter_mut().find(|entry| entry.name == name) {
            Some(entry) => entry.front.reload(config),
            None => Vec::new(),
        }
    }

    /// The id of the front with this name.
    pub fn id_by_name(&self, name: &str) -> Option<FrontId> {
        let index = self.entries.iter().position(|entry| entry.name == name)?;
        Some(FrontId { index: index as u8, name: self.entries[index].name })
    }

    /// Whether no front has a client.
    pub fn are_idle(&self) -> bool {
        self.entries.iter().all(|entry| entry.front.is_idle())
    }

    /// The log lines of the fronts' own counters.
    pub fn counter_lines(&self) -> Vec<String> {
        let line = |entry: &Entry| Some(format!("{}-counters {}", entry.name, entry.front.counter_line()?));
        self.entries.iter().filter_map(line).collect()
    }
}
