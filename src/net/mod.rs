//! Non-blocking sockets on top of one epoll instance, and a timer wheel. This module is protocol-agnostic.
//!
//! [`SocketReactor`] owns every socket of the node. Owners refer to a socket by its [`Token`], receive its
//! [`SocketEvent`]s from [`SocketReactor::poll`], and read and write through bounded buffers. A node has a
//! single reactor, which the event loop polls once per iteration.
//!
//! The reactor is composed of parts that own their state. Each file imports only files above it in this
//! table.
//!
//! | file | responsibility |
//! | --- | --- |
//! | `slab` | slab with generation counters, and tokens |
//! | `event` | events delivered to socket owners |
//! | `connect_error` | errors from starting a connection |
//! | `system` | wrappers around socket system calls, with fault injection for unit tests |
//! | `poller` | the epoll instance |
//! | `epoll_set` | epoll interest of each socket, and retries of changes that the kernel refused |
//! | `buffers` | input and output buffers of a connection |
//! | `socket` | state of one socket |
//! | `event_queue` | events queued for the next poll |
//! | `reserve`, `descriptors` | reserved descriptors and the descriptor limit |
//! | `socket_store` | all sockets |
//! | `deadlines` | queues of socket deadlines |
//! | `transfer_pause` | pauses of connections whose reads or writes fail for lack of kernel memory |
//! | `linger` | releasing closed connections whose output or peer was not finished |
//! | `buffered_sockets` | reading, writing and closing buffered connections |
//! | `eviction` | eviction order, and time limits of lingering connections and incomplete handshakes |
//! | `listener`, `accept` | listening sockets; accepting connections, and its backpressure |
//! | `connect` | outgoing connections that are being established |
//! | `transfer` | serialized state of a connection that is handed to another process |
//! | `reactor` | polling and the operations on sockets; `reactor::queries`: read-only queries |
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
mod linger;
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

/// Returns a token for unit tests of data structures that are keyed by tokens.
#[cfg(test)]
pub fn token_for_tests(number: u64) -> Token {
    Token::for_tests(number)
}
