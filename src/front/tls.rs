//! TLS by rustls, driven from the event loop: octets from the wire in, plaintext out, and back. No sockets and no
//! runtime. Any front may put it under its protocol.

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::danger::ClientCertVerifier;
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig, ServerConnection};
use serde::Deserialize;
use std::error::Error;
use std::fmt;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Octets of plaintext that are read from rustls at a time.
const PLAINTEXT_CHUNK_BYTES: usize = 4096;

/// Where TLS is spoken and with what. Relative paths are beside the file that names them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsFile {
    /// The address to listen on; port 0 lets the system pick one.
    pub listen: SocketAddr,
    /// The node's certificate chain, in PEM.
    pub certificate: PathBuf,
    /// Its private key, in PEM.
    pub key: PathBuf,
    /// The authorities that sign clients' certificates, in PEM; without it none is requested of clients.
    #[serde(default)]
    pub client_ca: Option<PathBuf>,
    /// Clients without a certificate are rejected.
    #[serde(default, rename = "client_must")]
    pub client_certificate_required: bool,
}

/// Why certificates or a key cannot be used. Names the field that they stand in.
#[derive(Debug)]
pub enum TlsError {
    /// A PEM file cannot be used.
    PemFile {
        /// The field that names the file.
        field: String,
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: Box<dyn Error + Send + Sync>,
    },
    /// The system's provider of cryptography does not do what TLS needs.
    Provider {
        /// The field that configures TLS.
        field: String,
        /// What is missing.
        source: rustls::Error,
    },
}

impl fmt::Display for TlsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TlsError::PemFile { field, path, source } => {
                write!(f, "field {field}: {}: {source}", path.display())
            }
            TlsError::Provider { field, source } => write!(f, "field {field}: {source}"),
        }
    }
}

impl Error for TlsError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            TlsError::PemFile { source, .. } => Some(source.as_ref()),
            TlsError::Provider { source, .. } => Some(source),
        }
    }
}

impl TlsFile {
    /// Reads certificates and key. `directory` is where relative paths start; `field` is this section's path in its
    /// file, for errors.
    pub fn load(&self, directory: &Path, field: &str) -> Result<Arc<ServerConfig>, TlsError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = ServerConfig::builder_with_provider(provider.clone())
            .with_safe_default_protocol_versions()
            .map_err(|source| TlsError::Provider { field: field.to_string(), source })?;
        let builder = match &self.client_ca {
            None => builder.with_no_client_auth(),
            Some(path) => {
                let verifier = self.client_verifier(directory, path, &format!("{field}.client_ca"), provider);
                builder.with_client_cert_verifier(verifier?)
            }
        };
        let key_path = directory.join(&self.key);
        let key = PrivateKeyDer::from_pem_file(&key_path)
            .map_err(|error| pem_error(&format!("{field}.key"), &key_path, error))?;
        let certificate_field = format!("{field}.certificate");
        let certificates = read_certificates(directory, &self.certificate, &certificate_field)?;
        let config = builder
            .with_single_cert(certificates, key)
            .map_err(|error| pem_error(&certificate_field, &self.certificate, error))?;
        Ok(Arc::new(config))
    }

    /// A verifier of clients' certificates against the authorities in `path`.
    fn client_verifier(
        &self,
        directory: &Path,
        path: &Path,
        field: &str,
        provider: Arc<rustls::crypto::CryptoProvider>,
    ) -> Result<Arc<dyn ClientCertVerifier>, TlsError> {
        let mut roots = RootCertStore::empty();
        for certificate in read_certificates(directory, path, field)? {
            roots.add(certificate).map_err(|error| pem_error(field, path, error))?;
        }
        let mut builder = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider);
        if !self.client_certificate_required {
            builder = builder.allow_unauthenticated();
        }
        builder.build().map_err(|error| pem_error(field, path, error))
    }
}

fn pem_error(field: &str, path: &Path, source: impl Into<Box<dyn Error + Send + Sync>>) -> TlsError {
    TlsError::PemFile { field: field.to_string(), path: path.to_path_buf(), source: source.into() }
}

/// All certificates of a PEM file, at least one.
fn read_certificates(
    directory: &Path,
    path: &Path,
    field: &str,
) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let path = directory.join(path);
    let in_file = CertificateDer::pem_file_iter(&path).map_err(|error| pem_error(field, &path, error))?;
    let certificates: Vec<_> =
        in_file.collect::<Result<_, _>>().map_err(|error| pem_error(field, &path, error))?;
    if certificates.is_empty() {
        return Err(pem_error(field, &path, "no certificate in it"));
    }
    Ok(certificates)
}

/// Why a TLS connection cannot go on.
#[derive(Debug)]
pub enum TlsStreamError {
    /// The peer violated the protocol, or its certificate is not accepted.
    Protocol(rustls::Error),
    /// Octets could not be passed to or from rustls.
    Io(io::Error),
}

impl fmt::Display for TlsStreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TlsStreamError::Protocol(source) => write!(f, "{source}"),
            TlsStreamError::Io(source) => write!(f, "{source}"),
        }
    }
}

impl Error for TlsStreamError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            TlsStreamError::Protocol(source) => Some(source),
            TlsStreamError::Io(source) => Some(source),
        }
    }
}

impl From<rustls::Error> for TlsStreamError {
    fn from(error: rustls::Error) -> TlsStreamError {
        TlsStreamError::Protocol(error)
    }
}

impl From<io::Error> for TlsStreamError {
    fn from(error: io::Error) -> TlsStreamError {
        TlsStreamError::Io(error)
    }
}

/// The server's end of one TLS connection.
pub struct Tls(Box<ServerConnection>);

impl Tls {
    /// A connection that a client has opened.
    pub fn new(config: &Arc<ServerConfig>) -> Result<Tls, TlsStreamError> {
        Ok(Tls(Box::new(ServerConnection::new(config.clone())?)))
    }

    /// Takes all octets received from the wire and appends their plaintext. rustls buffers no more than one record
    /// (16 KiB) beyond that.
    pub fn read(&mut self, mut wire: &[u8], plaintext: &mut Vec<u8>) -> Result<(), TlsStreamError> {
        while !wire.is_empty() {
            self.0.read_tls(&mut wire)?;
            self.0.process_new_packets()?;
            self.append_plaintext(plaintext)?;
        }
        Ok(())
    }

    fn append_plaintext(&mut self, plaintext: &mut Vec<u8>) -> io::Result<()> {
        let mut chunk = [0; PLAINTEXT_CHUNK_BYTES];
        loop {
            match self.0.reader().read(&mut chunk) {
                Ok(0) => return Ok(()),
                Ok(count) => plaintext.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
    }

    /// Takes all plaintext to be sent and appends the octets for the wire, with those of the handshake.
    pub fn write(&mut self, mut plaintext: &[u8], wire: &mut Vec<u8>) {
        loop {
            // Writes into a vector do not fail; rustls takes some 64 KiB at a time.
            let written = self.0.writer().write(plaintext).unwrap_or(plaintext.len());
            plaintext = &plaintext[written..];
            while self.0.wants_write() {
                if self.0.write_tls(wire).is_err() {
                    return;
                }
            }
            if plaintext.is_empty() {
                return;
            }
        }
    }

    /// Queues the alert that this end sends nothing more.
    pub fn close(&mut self) {
        self.0.send_close_notify();
    }

    /// The first DNS name of the client's certificate. The certificate has been verified by now.
    pub fn peer_name(&self) -> Option<String> {
        let certificate = self.0.peer_certificates()?.first()?;
        let certificate = webpki::EndEntityCert::try_from(certificate).ok()?;
        let name = certificate.valid_dns_names().next().map(str::to_string);
        name
    }
}
