//! SIGHUP: the configuration is read again and applied.

use super::configuration::Configuration;
use super::Node;
use crate::log;

impl Node {
    /// Reads the configuration again. An invalid one changes nothing; of a valid one, what a running node can change is
    /// applied, and the log names the rest. Established connections and known servers stay.
    pub(super) fn reload(&mut self) {
        let new = match Configuration::reread(&self.state.config, &self.frontend_files) {
            Ok(configuration) => configuration,
            Err(error) => return log::line(format_args!("reload-refused {error}")),
        };
        let discovery_moved = new.node.discovery != self.state.config.discovery;
        let mut needs_restart = self.state.config.apply_reload(new.node);
        for (which, file) in new.frontends {
            needs_restart.extend(self.frontends.reload(which, file));
        }
        // A predecessor that still runs reports its open descriptors again with its next connection.
        self.state.net.set_descriptor_limit(self.state.config.max_descriptors);
        self.state.requests.update_settings(self.state.config.settings.clone());
        log::line(format_args!("reloaded discovery={}", self.state.config.discovery));
        if !needs_restart.is_empty() {
            log::line(format_args!("reload-needs-restart fields={}", needs_restart.join(",")));
        }
        if discovery_moved {
            self.change_discovery_address();
        }
    }
}
