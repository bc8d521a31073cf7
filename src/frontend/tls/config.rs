//! A TLS listener's configuration: certificates and keys from files.

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

/// A TLS listener as the configuration describes it. Paths are relative to the file that names them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsListenerConfig {
    /// Where it listens; port 0 lets the system pick.
    pub listen: SocketAddr,
    /// The node's certificate chain, in PEM.
    pub certificate: PathBuf,
    /// The private key of the certificate, in PEM.
    pub key: PathBuf,
    /// The authority that signs clients' certificates, in PEM; without it clients send none.
    #[serde(default)]
    pub client_ca: Option<PathBuf>,
    /// Clients without a certificate are rejected.
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
    /// The authority of clients' certificates.
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

/// Why a file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum TlsFileError {
    /// It cannot be read, or is no PEM.
    #[error(transparent)]
    Pem(#[from] pem::Error),
    /// It has no certificate.
    #[error("no certificate in it")]
    NoCertificate,
    /// rustls rejects its content.
    #[error(transparent)]
    Rejected(#[from] rustls::Error),
    /// No verifier of clients' certificates can be made of it.
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
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        #[source]
        error: TlsFileError,
    },
    /// The cryptography does not support the protocol versions.
    #[error("field {parent_field}: {error}")]
    ProtocolVersions {
        /// The field that contains the [`TlsListenerConfig`].
        parent_field: String,
        /// What rustls says.
        #[source]
        error: rustls::Error,
    },
}

impl TlsListenerConfig {
    /// Reads certificates and key, relative to `folder`. `parent_field` names the field that contains this
    /// configuration, for errors.
    ///
    /// # Errors
    /// Where a file cannot be read or used.
    pub fn load(&self, folder: &Path, parent_field: &str) -> Result<Arc<ServerConfig>, TlsConfigError> {
        let at = |field: TlsFileField, path: &Path, error: TlsFileError| TlsConfigError::File {
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
                let authorities =
                    read_certificates(&joined).map_err(|error| at(TlsFileField::ClientCa, &joined, error))?;
                let verifier = self
                    .client_verifier(&builder, authorities)
                    .map_err(|error| at(TlsFileField::ClientCa, path, error))?;
                builder.with_client_cert_verifier(verifier)
            }
        };
        let key_path = folder.join(&self.key);
        let key = PrivateKeyDer::from_pem_file(&key_path)
            .map_err(|error| at(TlsFileField::Key, &key_path, error.into()))?;
        let certificate_path = folder.join(&self.certificate);
        let certificates = read_certificates(&certificate_path)
            .map_err(|error| at(TlsFileField::Certificate, &certificate_path, error))?;
        let config = builder
            .with_single_cert(certificates, key)
            .map_err(|error| at(TlsFileField::Certificate, &self.certificate, error.into()))?;
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

/// A builder with the cryptography of ring and the protocol versions that rustls considers safe.
fn server_config_builder() -> Result<ConfigBuilder<ServerConfig, WantsVerifier>, rustls::Error> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    ServerConfig::builder_with_provider(provider).with_safe_default_protocol_versions()
}

/// The certificates in a PEM file, at least one.
fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsFileError> {
    let certificates: Vec<_> = CertificateDer::pem_file_iter(path)?.collect::<Result<_, _>>()?;
    if certificates.is_empty() {
        return Err(TlsFileError::NoCertificate);
    }
    Ok(certificates)
}
