//! The traffic classes that clients address, and whether a client may use them.

use super::users::Identity;
use sparbank_amqp::{condition, Error};

/// Where a client names a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressField {
    /// The address of a sending link's target.
    Target,
    /// The address of a receiving link's source.
    Source,
    /// `to` of a message's properties.
    To,
}

/// The names of the traffic classes, in the order of the settings: everywhere else a class is its index.
#[derive(Clone, Debug)]
pub struct ClassNames(Vec<String>);

impl ClassNames {
    /// The classes with these names.
    pub fn new(names: Vec<String>) -> ClassNames {
        ClassNames(names)
    }

    /// The number of classes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// The name of a class.
    pub fn name(&self, class: usize) -> &str {
        &self.0[class]
    }

    /// The class that an address names, if the client may use it. `identity` is none for a client that is gone.
    ///
    /// # Errors
    /// The error for the client: the address names no class, or the client may not use this one.
    pub fn authorize(
        &self,
        identity: Option<&Identity>,
        field: AddressField,
        address: Option<&str>,
    ) -> Result<usize, Error> {
        let class = address.and_then(|address| self.find(address));
        let class = class.ok_or_else(|| Error::new(condition::NOT_FOUND, field.not_found_text()))?;
        if identity.is_some_and(|identity| identity.may_attach_to(self.name(class))) {
            return Ok(class);
        }
        Err(Error::new(condition::UNAUTHORIZED_ACCESS, field.unauthorized_text()))
    }

    fn find(&self, address: &str) -> Option<usize> {
        let name = address.trim_start_matches('/');
        self.0.iter().position(|class| class == name)
    }
}

impl AddressField {
    fn not_found_text(self) -> &'static str {
        match self {
            AddressField::Target => "the target address names no class",
            AddressField::Source => "the source address names no class",
            AddressField::To => "`to` names no class",
        }
    }

    fn unauthorized_text(self) -> &'static str {
        match self {
            AddressField::Target | AddressField::Source => "this user may not attach to this class",
            AddressField::To => "this user may not send to this class",
        }
    }
}

#[cfg(test)]
mod tests;
