//! What is fixed from the moment when the frontend is opened.

use super::class_names::ClassNames;
use crate::net::Token;
use crate::requests::FrontendId;

/// What is fixed from the moment when the frontend is opened.
pub struct FrontendInfo {
    /// The frontend's id, which its sockets and timers carry.
    pub id: FrontendId,
    /// The container id that the node announces to its peers.
    pub container: String,
    /// The traffic classes.
    pub classes: ClassNames,
    /// The listener whose connections use TLS.
    pub tls_listener: Option<Token>,
}
