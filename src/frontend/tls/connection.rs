//! One connection under TLS.

use rustls::{ServerConfig, ServerConnection};
use std::io::{self, ErrorKind, Read, Write};
use std::sync::Arc;

/// One read of plaintext takes at most this much.
const PLAINTEXT_CHUNK_BYTES: usize = 4096;

/// Why a connection cannot continue.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// The peer breaks the protocol, or no connection can be set up.
    #[error(transparent)]
    Protocol(#[from] rustls::Error),
    /// The buffers within rustls failed.
    #[error(transparent)]
    Buffer(#[from] io::Error),
}

/// The server's side of one connection under TLS.
pub struct TlsConnection(Box<ServerConnection>);

impl TlsConnection {
    /// A connection that a client has opened.
    ///
    /// # Errors
    /// Where rustls cannot set it up.
    pub fn new(config: &Arc<ServerConfig>) -> Result<TlsConnection, TlsError> {
        Ok(TlsConnection(Box::new(ServerConnection::new(config.clone())?)))
    }

    /// Takes all bytes received from the wire and appends their plaintext. rustls buffers at most one record
    /// (16 KiB) beyond that.
    ///
    /// # Errors
    /// Where the peer breaks the protocol.
    pub fn decrypt(&mut self, mut ciphertext: &[u8], plaintext: &mut Vec<u8>) -> Result<(), TlsError> {
        while !ciphertext.is_empty() {
            self.0.read_tls(&mut ciphertext)?;
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

    /// Takes plaintext and appends the bytes for the wire, with whatever the handshake has to send.
    pub fn encrypt(&mut self, mut plaintext: &[u8], ciphertext: &mut Vec<u8>) {
        loop {
            // Writing to a vector cannot fail; rustls takes some 64 KiB at a time.
            let taken = self.0.writer().write(plaintext).unwrap_or(plaintext.len());
            plaintext = &plaintext[taken..];
            while self.0.wants_write() {
                if self.0.write_tls(ciphertext).is_err() {
                    return;
                }
            }
            if plaintext.is_empty() {
                return;
            }
        }
    }

    /// Tells the peer that nothing follows; the next [`TlsConnection::encrypt`] yields the bytes.
    pub fn send_close_notify(&mut self) {
        self.0.send_close_notify();
    }

    /// The first DNS name of the client's certificate, which rustls has verified by now.
    pub fn peer_certificate_name(&self) -> Option<String> {
        let certificate = self.0.peer_certificates()?.first()?;
        let certificate = webpki::EndEntityCert::try_from(certificate).ok()?;
        let name = certificate.valid_dns_names().next().map(str::to_string);
        name
    }
}
