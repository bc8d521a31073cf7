//! The identifier of a link among all connections of the frontend.

use crate::net::Token;
use sparbank_amqp::LinkId;

/// Identifies a link and the connection that it is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLink {
    /// The token of the connection's socket.
    pub token: Token,
    /// The id of the link on this connection.
    pub id: LinkId,
}
