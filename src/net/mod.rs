//! Sockets, timers and the loop's one wait. Nothing here knows a protocol.

mod sockets;
mod wheel;

pub use sockets::{
    BufferedConnection, SocketEvent, SocketEventKind, SocketOwner, SocketReactor, Token,
    OUTPUT_HIGH_WATERMARK_BYTES,
};
pub use wheel::TimerWheel;

/// A token for tests of what is kept by tokens.
#[cfg(test)]
pub fn token_for_tests(number: u64) -> Token {
    Token::for_tests(number)
}
