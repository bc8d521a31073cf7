//! Identifies a front to the modules below it, which know no front.

/// Identifies the front that owns a socket or through which a request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontId {
    /// Its index among the fronts that are on.
    pub index: u8,
    /// Its name in exports and log lines.
    pub name: &'static str,
}
