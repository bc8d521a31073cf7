//! The properties of the frontend that do not change after it is opened.

use super::class_names::ClassNames;
use crate::net::Token;
use crate::requests::FrontendId;

/// The properties of the frontend that do not change after it is opened.
pub struct FrontendInfo {
    /// The frontend's id, with which its sockets and timers are registered.
    pub id: FrontendId,
    /// The container id that the node sends to its peers in the `open` performative.
    pub container: String,
    /// The names of the classes that clients can address.
    pub classes: ClassNames,
    /// The listener whose connections use TLS, if one is configured.
    pub tls_listener: Option<Token>,
}
