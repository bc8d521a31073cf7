//! Resolves the addresses that clients use to traffic classes, and authorizes their use.

use super::users::Identity;
use sparbank_amqp::{condition, Error};

/// The field in which a client names a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressField {
    /// The address of a sending link's target.
    Target,
    /// The address of a receiving link's source.
    Source,
    /// The field `to` of a message's properties.
    To,
}

/// The names of the traffic classes, in the order of the settings. The rest of the node refers to a class by its index.
#[derive(Clone, Debug)]
pub struct ClassNames(Vec<String>);

impl ClassNames {
    /// Creates the table from the class names, in the order of the settings.
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

    /// The index of the class that an address names, if the client may use it. `identity` is `None` if the client has
    /// disconnected.
    ///
    /// # Errors
    /// The address names no class, or the client may not use the class. The error is the one to send to the client.
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
