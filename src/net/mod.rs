//! Sockets, timers and the loop's one wait. Nothing here knows a protocol.

mod sockets;
mod wheel;

pub use sockets::{Kind, Net, Notice, Owner, Token, SLOW};
pub use wheel::Wheel;
