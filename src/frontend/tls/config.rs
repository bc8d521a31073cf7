//! Configuration of a TLS listener, with certificates and keys read from files.

use rustls::pki_types::pem::{self, PemObject};
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::danger::ClientCertVerifier;
use rustls::server::{VerifierBuilderError, WebPkiClientVerifier};
use rustls::{ConfigBuilder, RootCertStore, ServerConfig, WantsVerifier};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The configuration of a TLS listener. Relative paths are resolved against the folder of the configuration file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsListenerConfig {
    /// The address to listen on; with port 0 the operating system assigns a port.
    pub listen: SocketAddr,
    /// The node's certificate chain, in PEM.
    pub certificate: PathBuf,
    /// The private key of the certificate, in PEM.
    pub key: PathBuf,
    /// The certificate authorities for client certificates, in PEM. If absent, no certificate is requested from
    /// clients.
    #[serde(default)]
    pub client_ca: Option<PathBuf>,
    /// Whether clients without a certificate are rejected.
    #[serde(default, rename = "client_must")]
    pub client_certificate_required: bool,
}

/// A field of [`TlsListenerConfig`] that names a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TlsFileField {
    /// The node's certificate chain.
    Certificate,
    /// The node's private key.
    Key,
    /// The certificate authorities for client certificates.
    ClientCa,
}

impl fmt::Display for TlsFileField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TlsFileField::Certificate => "certificate",
            TlsFileField::Key => "key",
            TlsFileField::ClientCa => "client_ca",
        })
    }
}

/// Why a certificate or key file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum TlsFileError {
    /// The file cannot be read or is not valid PEM.
    #[error(transparent)]
    Pem(#[from] pem::Error),
    /// The file contains no certificate.
    #[error("file contains no certificate")]
    NoCertificate,
    /// rustls rejects the certificate or key.
    #[error(transparent)]
    Rejected(#[from] rustls::Error),
    /// No verifier for client certificates can be built from the file.
    #[error(transparent)]
    Verifier(#[from] VerifierBuilderError),
}

/// Why a [`TlsListenerConfig`] cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum TlsConfigError {
    /// A file cannot be used.
    #[error("field {parent_field}.{field}: {}: {error}", path.display())]
    File {
        /// The field that contains the [`TlsListenerConfig`].
        parent_field: String,
        /// The field of the [`TlsListenerConfig`].
        field: TlsFileField,
        /// Path of the file, as configured or joined with the folder of the configuration file.
        path: PathBuf,
        /// Why the file cannot be used.
        #[source]
        error: TlsFileError,
    },
    /// The cryptography provider does not support the TLS protocol versions.
    #[error("field {parent_field}: {error}")]
    ProtocolVersions {
        /// The field that contains the [`TlsListenerConfig`].
        parent_field: String,
        /// The error reported by rustls.
        #[source]
        error: rustls::Error,
    },
}

impl TlsListenerConfig {
    /// Reads the certificates and the key and builds the rustls configuration. Relative paths are resolved against
    /// `folder`. Error messages name `parent_field`, the field that contains this configuration.
    ///
    /// # Errors
    /// If a file cannot be read or its content is unusable.
    pub fn load(&self, folder: &Path, parent_field: &str) -> Result<Arc<ServerConfig>, TlsConfigError> {
        let file_error = |field: TlsFileField, path: &Path, error: TlsFileError| TlsConfigError::File {
            parent_field: parent_field.to_string(),
            field,
            path: path.to_path_buf(),
            error,
        };
        let builder = server_config_builder().map_err(|error| TlsConfigError::ProtocolVersions {
            parent_field: parent_field.to_string(),
            error,
        })?;
        let builder = match &self.client_ca {
            None => builder.with_no_client_auth(),
            Some(path) => {
                let joined = folder.join(path);
                let authorities = read_certificates(&joined)
                    .map_err(|error| file_error(TlsFileField::ClientCa, &joined, error))?;
                let verifier = self
                    .client_verifier(&builder, authorities)
                    .map_err(|error| file_error(TlsFileField::ClientCa, path, error))?;
                builder.with_client_cert_verifier(verifier)
            }
        };
        let key_path = folder.join(&self.key);
        let key = PrivateKeyDer::from_pem_file(&key_path)
            .map_err(|error| file_error(TlsFileField::Key, &key_path, error.into()))?;
        let certificate_path = folder.join(&self.certificate);
        let certificates = read_certificates(&certificate_path)
            .map_err(|error| file_error(TlsFileField::Certificate, &certificate_path, error))?;
        let config = builder
            .with_single_cert(certificates, key)
            .map_err(|error| file_error(TlsFileField::Certificate, &self.certificate, error.into()))?;
        Ok(Arc::new(config))
    }

    fn client_verifier(
        &self,
        builder: &ConfigBuilder<ServerConfig, WantsVerifier>,
        authorities: Vec<CertificateDer<'static>>,
    ) -> Result<Arc<dyn ClientCertVerifier>, TlsFileError> {
        let mut roots = RootCertStore::empty();
        for authority in authorities {
            roots.add(authority)?;
        }
        let provider = builder.crypto_provider().clone();
        let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider);
        let verifier =
            if self.client_certificate_required { verifier } else { verifier.allow_unauthenticated() };
        Ok(verifier.build()?)
    }
}

/// Returns a builder that uses the ring cryptography provider and rustls's default protocol versions.
fn server_config_builder() -> Result<ConfigBuilder<ServerConfig, WantsVerifier>, rustls::Error> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    ServerConfig::builder_with_provider(provider).with_safe_default_protocol_versions()
}

/// Reads the certificates of a PEM file, which must contain at least one.
fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsFileError> {
    let certificates: Vec<_> = CertificateDer::pem_file_iter(path)?.collect::<Result<_, _>>()?;
    if certificates.is_empty() {
        return Err(TlsFileError::NoCertificate);
    }
    Ok(certificates)
}
