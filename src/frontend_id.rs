//! The identifier of a frontend, for modules that do not depend on the frontends themselves.

/// Identifies the frontend that owns a socket or through which a request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontendId {
    /// Index of the frontend among the enabled frontends.
    pub index: u8,
    /// Name of the frontend in flow records and log lines.
    pub name: &'static str,
}
