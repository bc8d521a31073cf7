//! Non-blocking sockets behind one epoll instance, and the timer wheel. Nothing here knows a protocol.
//!
//! [`SocketReactor`] owns every socket of the node. Owners address a socket by its [`Token`], receive its
//! [`SocketEvent`]s from [`SocketReactor::poll`], and exchange bytes with it through bounded buffers. The node has one
//! reactor; the event loop polls it once in each iteration.
//!
//! The reactor is put together from parts that own their state; each imports only parts above it in this table.
//!
//! | file | concern |
//! | --- | --- |
//! | `slab` | slots with generations, tokens |
//! | `event` | events for owners |
//! | `connect_error` | why a connection could not be started |
//! | `system` | the system calls on sockets, which unit tests have fail |
//! | `poller` | the epoll instance |
//! | `epoll_set` | what each socket is watched for, and changes that the system refuses for a moment |
//! | `buffers` | a connection's bytes in and out |
//! | `socket` | one socket's state |
//! | `event_queue` | events that wait for the next poll |
//! | `reserve`, `descriptors` | the descriptor reserve and the limit |
//! | `socket_store` | all sockets |
//! | `deadlines` | time limits of sockets |
//! | `transfer_pause` | pauses of connections for which the kernel has no memory |
//! | `buffered_sockets` | reading, writing, and the ends of connections |
//! | `eviction` | closed connections that linger, incomplete handshakes, and who is evicted for others |
//! | `listener`, `accept` | listening sockets; accepting and its backpressure |
//! | `connect` | connections that are being established |
//! | `transfer` | the form of connections handed to another process |
//! | `reactor` | the wait for events, and what owners may do; `reactor::queries`: their queries |
//! | `timer_wheel` | timers |

mod accept;
mod buffered_sockets;
mod buffers;
mod connect;
mod connect_error;
mod deadlines;
mod descriptors;
mod epoll_set;
mod event;
mod event_queue;
mod eviction;
mod listener;
mod poller;
mod reactor;
mod reserve;
mod slab;
mod socket;
mod socket_store;
mod system;
mod timer_wheel;
mod transfer;
mod transfer_pause;

pub use buffers::OUTPUT_HIGH_WATERMARK_BYTES;
pub use connect_error::ConnectError;
pub use event::{ConnectedSocket, SocketEvent, SocketEventKind, SocketOwner};
pub use listener::ListeningSocket;
pub use reactor::SocketReactor;
pub use slab::Token;
pub use timer_wheel::TimerWheel;
pub use transfer::{BufferedConnection, ExportedConnection};

/// A token for tests of data structures that are keyed by tokens.
#[cfg(test)]
pub fn token_for_tests(number: u64) -> Token {
    Token::for_tests(number)
}
