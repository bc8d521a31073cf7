//! How a link is named across all connections of the frontend.

use crate::net::Token;
use sparbank_amqp::LinkId;

/// A link, and the connection that it is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLink {
    /// The socket of the connection.
    pub token: Token,
    /// The link on this connection.
    pub id: LinkId,
}
