//! A node that is ready to be started: its configuration has been read and validated.

use super::configuration::Configuration;
use super::shortage_retry::{is_shortage, retry_on_shortage};
use super::signals::SignalPipes;
use super::{Options, PrepareError};
use crate::frontend::FrontendFiles;
use crate::handover;
use crate::quota::{self, QuotaMembership};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

/// A node whose configuration has been read and validated, and which has opened no network socket yet.
pub struct PreparedNode {
    /// The installed signal handlers, or why they could not be installed.
    pub(super) signals: io::Result<SignalPipes>,
    pub(super) configuration: Configuration,
    pub(super) frontend_files: FrontendFiles,
    pub(super) flow_collector: Option<SocketAddr>,
    pub(super) quota_membership: Option<QuotaMembership>,
    /// The listening socket for text protocol clients, if the platform passes it.
    pub(super) passed_listener: Option<OwnedFd>,
}

impl PreparedNode {
    /// Installs the signal handlers, and reads and validates the configuration, the quota file and the passed socket.
    ///
    /// # Errors
    /// Returns an error if any of these cannot be read or is invalid.
    pub fn prepare(options: Options) -> Result<PreparedNode, PrepareError> {
        let signals = retry_on_shortage(SignalPipes::install, is_shortage);
        let configuration = retry_on_shortage(
            || Configuration::read(&options.frontend_files),
            |error| error.io_error().is_some_and(is_shortage),
        )?;
        let quota_membership = match &options.quota_file {
            Some(file) => {
                let config = &configuration.node;
                Some(quota::load_membership(file, &config.name, config.max_descriptors)?)
            }
            None => None,
        };
        let passed_listener = handover::passed_listener()?;
        Ok(PreparedNode {
            signals,
            configuration,
            frontend_files: options.frontend_files,
            flow_collector: options.flow_collector,
            quota_membership,
            passed_listener,
        })
    }
}
