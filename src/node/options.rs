//! What the command line sets beside the configuration.

use crate::frontend::FrontendFiles;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Parts of a node that are off by default.
#[derive(Default)]
pub struct Options {
    /// The configuration files of the optional frontends that are on.
    pub frontend_files: FrontendFiles,
    /// The collector of flow records (IPFIX).
    pub flow_collector: Option<SocketAddr>,
    /// The file of the fleet-wide quotas.
    pub quota_file: Option<PathBuf>,
}
