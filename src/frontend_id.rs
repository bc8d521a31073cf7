//! Identifies a frontend to the modules below it, which know no frontend.

/// Identifies the frontend that owns a socket or through which a request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontendId {
    /// Its index among the frontends that are on.
    pub index: u8,
    /// Its name in exports and log lines.
    pub name: &'static str,
}
