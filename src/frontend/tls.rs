//! TLS by rustls, driven from the event loop: ciphertext from the wire in, plaintext out, and back. No sockets and
//! no runtime. Any frontend may put it under its protocol.

mod config;
mod connection;

pub use config::{TlsConfigError, TlsListenerConfig};
pub use connection::TlsConnection;
