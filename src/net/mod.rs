//! Sockets, timers and the loop's one wait. Nothing here knows a protocol.

mod sockets;
mod wheel;

pub use sockets::{Flow, Kind, Net, Notice, Owner, Token, SLOW};
pub use wheel::Wheel;

/// A token for tests of what is kept by tokens.
#[cfg(test)]
pub fn tests_token(number: u64) -> Token {
    Token::for_tests(number)
}
