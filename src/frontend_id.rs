//! The identifier of a frontend, for modules that do not depend on the frontends themselves.

/// Identifies the frontend that owns a socket or through which a request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontendId {
    /// The frontend's index among the enabled frontends.
    pub index: u8,
    /// The frontend's name in flow records and log lines.
    pub name: &'static str,
}
