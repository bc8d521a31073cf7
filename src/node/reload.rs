//! SIGHUP: the configuration is read again and applied.

use super::configuration::Configuration;
use super::executor::Executor;
use crate::frontend::FrontendFiles;

/// Reads the configuration again. An invalid one changes nothing; of a valid one, what a running node can change is
/// applied, and the log names the rest. Established connections and known servers stay.
pub(super) fn reload(executor: &mut Executor, frontend_files: &FrontendFiles) {
    match Configuration::reread(&executor.host.state.config, frontend_files) {
        Ok(configuration) => apply(executor, configuration),
        Err(error) => tracing::warn!(%error, "configuration reload rejected"),
    }
}

fn apply(executor: &mut Executor, new: Configuration) {
    let discovery_moved = new.node.discovery != executor.host.state.config.discovery;
    let mut needs_restart = executor.host.state.config.apply_reload(new.node);
    for file in new.frontends {
        needs_restart.extend(executor.host.reload(file));
    }
    let state = &mut executor.host.state;
    // A predecessor that still runs reports its open descriptors again with its next connection.
    state.net.set_descriptor_limit(state.config.max_descriptors);
    state.requests.update_settings(state.config.settings.clone());
    tracing::info!(discovery = %state.config.discovery, "configuration reloaded");
    if !needs_restart.is_empty() {
        tracing::warn!(fields = %needs_restart.join(","), "changed fields need a restart");
    }
    if discovery_moved {
        executor.endpoints.change_address(&mut executor.host);
    }
}
