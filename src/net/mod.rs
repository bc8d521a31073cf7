//! Non-blocking sockets behind one epoll instance, and the timer wheel. Nothing here knows a protocol.
//!
//! [`SocketReactor`] owns every socket of the node. Owners address a socket by its [`Token`], hear of it by
//! [`SocketEvent`]s from [`SocketReactor::poll`], and exchange bytes with it through bounded buffers.
//!
//! | file | concern |
//! | --- | --- |
//! | `event` | events for owners |
//! | `slab` | slots with generations, tokens |
//! | `poller` | the epoll instance |
//! | `socket` | one socket's state and buffers |
//! | `reactor` | the wait for events, and queries about a socket |
//! | `buffered_io` | reading, writing and closing |
//! | `listener`, `accept` | listeners and accept backpressure |
//! | `reserve`, `descriptors` | the descriptor reserve, the limit and eviction |
//! | `connect_error` | why a connection could not be started |
//! | `system` | the system calls on sockets, which unit tests have fail |
//! | `transfer` | connections handed to another process |
//! | `transfer_pause` | reads and writes that find no kernel memory for a moment |
//! | `watch_retry` | changes of the epoll set that the system refuses for a moment |
//! | `timer_wheel` | timers |

mod accept;
mod buffered_io;
mod connect_error;
mod descriptors;
mod event;
mod listener;
mod poller;
mod reactor;
mod reserve;
mod slab;
mod socket;
mod system;
mod timer_wheel;
mod transfer;
mod transfer_pause;
mod watch_retry;

pub use connect_error::ConnectError;
pub use event::{ConnectedSocket, SocketEvent, SocketEventKind, SocketOwner};
pub use listener::ListeningSocket;
pub use reactor::SocketReactor;
pub use slab::Token;
pub use socket::OUTPUT_HIGH_WATERMARK_BYTES;
pub use timer_wheel::TimerWheel;
pub use transfer::{BufferedConnection, ExportedConnection};

/// A token for tests of data structures that are keyed by tokens.
#[cfg(test)]
pub fn token_for_tests(number: u64) -> Token {
    Token::for_tests(number)
}
