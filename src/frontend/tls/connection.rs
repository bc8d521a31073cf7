//! The TLS state of one connection.

use rustls::{ServerConfig, ServerConnection};
use std::io::{self, ErrorKind, Read, Write};
use std::sync::Arc;

/// Size of the buffer for reading plaintext out of rustls.
const PLAINTEXT_CHUNK_BYTES: usize = 4096;

/// Why a TLS connection cannot continue.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// The peer violated the TLS protocol, or rustls could not create the connection.
    #[error(transparent)]
    Protocol(#[from] rustls::Error),
    /// Reading from or writing to the buffers of rustls failed.
    #[error(transparent)]
    Buffer(#[from] io::Error),
}

/// The server side of a TLS connection.
pub struct TlsConnection(Box<ServerConnection>);

impl TlsConnection {
    /// Creates the TLS state for a connection that a client has opened.
    ///
    /// # Errors
    /// If rustls cannot create the connection.
    pub fn new(config: &Arc<ServerConfig>) -> Result<TlsConnection, TlsError> {
        let mut connection = ServerConnection::new(config.clone())?;
        // The owner limits its output itself; with a limit, rustls would accept only a part of it.
        connection.set_buffer_limit(None);
        Ok(TlsConnection(Box::new(connection)))
    }

    /// Decrypts bytes received from the peer and appends the plaintext. All of `ciphertext` is consumed; rustls
    /// buffers at most one incomplete record (16 KiB). What follows the peer's `close_notify` is ignored (RFC 8446,
    /// section 6.1).
    ///
    /// # Errors
    /// If the peer violates the TLS protocol.
    pub fn decrypt(&mut self, mut ciphertext: &[u8], plaintext: &mut Vec<u8>) -> Result<(), TlsError> {
        while !ciphertext.is_empty() {
            let consumed = self.0.read_tls(&mut ciphertext)?;
            if consumed == 0 {
                return Ok(());
            }
            self.0.process_new_packets()?;
            self.read_plaintext(plaintext)?;
        }
        Ok(())
    }

    fn read_plaintext(&mut self, plaintext: &mut Vec<u8>) -> Result<(), TlsError> {
        let mut chunk = [0; PLAINTEXT_CHUNK_BYTES];
        loop {
            match self.0.reader().read(&mut chunk) {
                Ok(0) => return Ok(()),
                Ok(count) => plaintext.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Encrypts `plaintext` and appends the bytes to send, including pending handshake messages.
    pub fn encrypt(&mut self, plaintext: &[u8], ciphertext: &mut Vec<u8>) {
        // Fails only after `close_notify`, when peers ignore what follows.
        let _ = self.0.writer().write_all(plaintext);
        // Writing to a vector cannot fail.
        while self.0.wants_write() && self.0.write_tls(ciphertext).is_ok_and(|count| count > 0) {}
    }

    /// Queues a `close_notify` alert; the next call of [`TlsConnection::encrypt`] returns its bytes.
    pub fn send_close_notify(&mut self) {
        self.0.send_close_notify();
    }

    /// Returns the first DNS name of the client's certificate, which rustls has verified during the handshake.
    pub fn peer_certificate_name(&self) -> Option<String> {
        let certificate = self.0.peer_certificates()?.first()?;
        let certificate = webpki::EndEntityCert::try_from(certificate).ok()?;
        let name = certificate.valid_dns_names().next().map(str::to_string);
        name
    }
}
