//! Configuration reload on SIGHUP.

use super::configuration::Configuration;
use super::executor::Executor;
use crate::frontend::FrontendFiles;

/// Reads the configuration again and applies the fields that can change at runtime; the log names the other changed
/// fields. An invalid configuration changes nothing. Established connections and the endpoint list are kept.
pub(super) fn reload(executor: &mut Executor, frontend_files: &FrontendFiles) {
    match Configuration::reread(&executor.host.state.config, frontend_files) {
        Ok(configuration) => apply(executor, configuration),
        Err(error) => tracing::warn!(%error, "configuration reload rejected"),
    }
}

fn apply(executor: &mut Executor, new: Configuration) {
    let discovery_changed = new.node.discovery != executor.host.state.config.discovery;
    let mut needs_restart = executor.host.state.config.apply_reload(new.node);
    for file in new.frontends {
        needs_restart.extend(executor.host.reload(file));
    }
    let state = &mut executor.host.state;
    // The new limit ignores the descriptors of a predecessor that is still running, until it reports them with the next
    // connection that it transfers.
    state.net.set_descriptor_limit(state.config.max_descriptors);
    state.requests.update_settings(state.config.settings.clone());
    tracing::info!(discovery = %state.config.discovery, "configuration reloaded");
    if !needs_restart.is_empty() {
        tracing::warn!(fields = %needs_restart.join(","), "changed fields need a restart");
    }
    if discovery_changed {
        executor.endpoints.change_address(&mut executor.host);
    }
}
