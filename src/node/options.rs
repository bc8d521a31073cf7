//! Options of the command line that are not part of the configuration file.

use crate::frontend::FrontendFiles;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Options that enable optional parts of a node. All are off by default.
#[derive(Default)]
pub struct Options {
    /// The configuration files of the enabled optional frontends.
    pub frontend_files: FrontendFiles,
    /// The IPFIX collector to which flow records are exported.
    pub flow_collector: Option<SocketAddr>,
    /// The quota file, which defines the fleet-wide quotas.
    pub quota_file: Option<PathBuf>,
}
