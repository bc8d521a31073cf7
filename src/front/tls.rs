//! TLS by rustls, driven from the loop: octets from the wire in, octets in the clear out, and back. No
//! sockets and no runtime. Any front may put it under its protocol.

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig, ServerConnection};
use serde::Deserialize;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Where TLS is spoken and with what. Paths are beside the file that names them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsFile {
    /// Where it listens; port 0 lets the system pick.
    pub listen: SocketAddr,
    /// The node's certificate chain, in PEM.
    pub certificate: PathBuf,
    /// Its key, in PEM.
    pub key: PathBuf,
    /// Who signs clients' certificates, in PEM; without it none is asked for.
    #[serde(default)]
    pub client_ca: Option<PathBuf>,
    /// Clients without a certificate are turned away.
    #[serde(default)]
    pub client_must: bool,
}

impl TlsFile {
    /// Reads certificates and key. `field` names where this stands, for errors.
    pub fn load(&self, beside: &Path, field: &str) -> Result<Arc<ServerConfig>, String> {
        let at = |name: &str, path: &Path, e: &dyn std::fmt::Display| {
            format!("field {field}.{name}: {}: {e}", path.display())
        };
        let chain = |name: &str, path: &Path| -> Result<Vec<CertificateDer<'static>>, String> {
            let path = beside.join(path);
            let certs = CertificateDer::pem_file_iter(&path).map_err(|e| at(name, &path, &e))?;
            let certs: Vec<_> = certs.collect::<Result<_, _>>().map_err(|e| at(name, &path, &e))?;
            if certs.is_empty() {
                return Err(at(name, &path, &"no certificate in it"));
            }
            Ok(certs)
        };
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = ServerConfig::builder_with_provider(provider.clone())
            .with_safe_default_protocol_versions()
            .map_err(|e| format!("field {field}: {e}"))?;
        let builder = match &self.client_ca {
            None => builder.with_no_client_auth(),
            Some(path) => {
                let mut roots = RootCertStore::empty();
                for cert in chain("client_ca", path)? {
                    roots.add(cert).map_err(|e| at("client_ca", path, &e))?;
                }
                let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider);
                let verifier = if self.client_must { verifier } else { verifier.allow_unauthenticated() };
                builder.with_client_cert_verifier(verifier.build().map_err(|e| at("client_ca", path, &e))?)
            }
        };
        let key_path = beside.join(&self.key);
        let key = PrivateKeyDer::from_pem_file(&key_path).map_err(|e| at("key", &key_path, &e))?;
        let certs = chain("certificate", &self.certificate)?;
        let config =
            builder.with_single_cert(certs, key).map_err(|e| at("certificate", &self.certificate, &e))?;
        Ok(Arc::new(config))
    }
}

/// One connection under TLS.
pub struct Tls(Box<ServerConnection>);

impl Tls {
    /// A connection that a client has opened.
    pub fn new(config: &Arc<ServerConfig>) -> Result<Tls, String> {
        ServerConnection::new(config.clone()).map(|conn| Tls(Box::new(conn))).map_err(|e| e.to_string())
    }

    /// Takes all that came from the wire and appends what is in the clear. rustls holds no more than one
    /// record (16 KiB) beyond that.
    pub fn read(&mut self, mut wire: &[u8], clear: &mut Vec<u8>) -> Result<(), String> {
        while !wire.is_empty() {
            self.0.read_tls(&mut wire).map_err(|e| e.to_string())?;
            self.0.process_new_packets().map_err(|e| e.to_string())?;
            let mut chunk = [0; 4096];
            loop {
                match self.0.reader().read(&mut chunk) {
                    Ok(0) => break,
                    Ok(count) => clear.extend_from_slice(&chunk[..count]),
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    Err(e) => return Err(e.to_string()),
                }
            }
        }
        Ok(())
    }

    /// Takes what is to be said, and gives what the wire is to carry, the handshake's own part with it.
    pub fn write(&mut self, mut clear: &[u8], wire: &mut Vec<u8>) {
        loop {
            // Into a vector nothing fails; rustls takes some 64 KiB at a time.
            let taken = self.0.writer().write(clear).unwrap_or(clear.len());
            clear = &clear[taken..];
            while self.0.wants_write() {
                if self.0.write_tls(wire).is_err() {
                    return;
                }
            }
            if clear.is_empty() {
                return;
            }
        }
    }

    /// Says that nothing more will be said.
    pub fn close(&mut self) {
        self.0.send_close_notify();
    }

    /// Who the client's certificate says it is: its first DNS name. Certificates have been verified by now.
    pub fn peer_name(&self) -> Option<String> {
        let cert = self.0.peer_certificates()?.first()?;
        let cert = webpki::EndEntityCert::try_from(cert).ok()?;
        let name = cert.valid_dns_names().next().map(str::to_string);
        name
    }
}
