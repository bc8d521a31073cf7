//! The memory that is held for clients' links, apart from their messages, and which clients may attach more of them.
//!
//! All clients share one limit. At the limit, a client may still attach links up to its fair share of it, so that no
//! client can keep the others from attaching by what it holds itself: the clients that hold the most are refused first.
//! This module performs no I/O.

use super::client_octets::ClientOctets;
use super::recovery::LinkKey;
use crate::net::Token;
use sparbank_amqp::{Attach, Tag};

/// The memory of a link of either role: its state on the connection, in the frontend, and on the server's connection.
const LINK_BYTES: usize = 768;
/// The memory of one tag in a link's set of unknown deliveries.
const TAG_BYTES: usize = 2 * size_of::<Tag>();
/// How often the name of a link is stored.
const NAME_COPIES: usize = 3;

/// All links together hold as much memory as is permitted, and the client has its fair share of it.
#[derive(Debug, thiserror::Error)]
#[error("all links hold {held} octets of max_link_memory, {max}, and this client has its share")]
pub struct LinkMemoryFull {
    held: usize,
    max: usize,
}

/// The memory of all clients' links, by client.
#[derive(Default)]
pub struct LinkMemory {
    octets: ClientOctets,
}

impl LinkMemory {
    /// Adds the memory of a link that a client attaches. `clients` is the number of clients that share `max_bytes`.
    ///
    /// # Errors
    /// The limit is reached, and the client would hold more than its fair share of it.
    pub fn add(
        &mut self,
        client: Token,
        bytes: usize,
        clients: usize,
        max_bytes: usize,
    ) -> Result<(), LinkMemoryFull> {
        let fair_share = max_bytes / clients.max(1);
        let has_room = self.octets.total() + bytes <= max_bytes;
        if !has_room && self.octets.of_client(client) + bytes > fair_share {
            return Err(LinkMemoryFull { held: self.octets.total(), max: max_bytes });
        }
        self.octets.add(client, bytes);
        Ok(())
    }

    /// Subtracts the memory of a link that is detached.
    pub fn subtract(&mut self, client: Token, bytes: usize) {
        self.octets.subtract(client, bytes);
    }

    /// Subtracts the memory of all links of a client whose connection has ended.
    pub fn remove(&mut self, client: Token) {
        self.octets.remove(client);
    }

    /// The memory of all clients' links.
    pub fn total(&self) -> usize {
        self.octets.total()
    }
}

/// The memory of a link on which a client sends, with this many tags of deliveries in its unsettled map.
pub fn sending_link_bytes(key: &LinkKey, tags: usize) -> usize {
    let user_bytes = key.user.as_ref().map_or(0, String::len);
    LINK_BYTES + NAME_COPIES * key.name.len() + key.container.len() + user_bytes + tags * TAG_BYTES
}

/// The memory of a link on which a client receives. Its attach is held, to be sent to servers.
pub fn receiving_link_bytes(name: &str, attach: &Attach) -> usize {
    LINK_BYTES + NAME_COPIES * name.len() + attach.memory_bytes()
}

#[cfg(test)]
mod tests;
