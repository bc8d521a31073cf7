//! SIGHUP: the configuration is read again and applied.

use super::configuration::Configuration;
use super::Node;

impl Node {
    /// Reads the configuration again. An invalid one changes nothing; of a valid one, what a running node can change is
    /// applied, and the log names the rest. Established connections and known servers stay.
    pub(super) fn reload(&mut self) {
        let new = match Configuration::reread(&self.state.config, &self.frontend_files) {
            Ok(configuration) => configuration,
            Err(error) => {
                tracing::warn!(%error, "configuration reload rejected");
                return;
            }
        };
        let discovery_moved = new.node.discovery != self.state.config.discovery;
        let mut needs_restart = self.state.config.apply_reload(new.node);
        for file in new.frontends {
            needs_restart.extend(self.frontends.reload(file));
        }
        // A predecessor that still runs reports its open descriptors again with its next connection.
        self.state.net.set_descriptor_limit(self.state.config.max_descriptors);
        self.state.requests.update_settings(self.state.config.settings.clone());
        tracing::info!(discovery = %self.state.config.discovery, "configuration reloaded");
        if !needs_restart.is_empty() {
            tracing::warn!(fields = %needs_restart.join(","), "changed fields need a restart");
        }
        if discovery_moved {
            self.change_discovery_address();
        }
    }
}
