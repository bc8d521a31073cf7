//! TLS for frontends, based on rustls. It converts between ciphertext and plaintext buffers and does no I/O of its
//! own, so that the event loop can drive it and any frontend can layer its protocol on top.

mod config;
mod connection;

pub use config::{TlsConfigError, TlsListenerConfig};
pub use connection::TlsConnection;
