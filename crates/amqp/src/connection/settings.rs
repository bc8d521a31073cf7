//! The settings of a connection.

use std::time::Duration;

/// What this side is, and every bound on the memory that the peer can make it use.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This side's container id.
    pub container: String,
    /// The host that a dialling side requests.
    pub hostname: Option<String>,
    /// The largest frame accepted, in octets (at least 512). The user must be able to buffer one completely.
    pub max_frame_size: u32,
    /// The highest channel: sessions less one. Each costs a few hundred octets.
    pub channel_max: u16,
    /// The highest handle of a session.
    pub handle_max: u32,
    /// Links on all sessions together; each costs some 300 octets and its name.
    pub max_links: usize,
    /// The incoming window of a session: frames that the peer may send ahead.
    pub incoming_window: u32,
    /// The most deliveries on one link that neither side has settled.
    pub max_unsettled: u32,
    /// The largest message accepted, in octets.
    pub max_message_size: u64,
    /// The idle timeout of the peer; zero for none.
    pub idle_timeout: Duration,
    /// The number of the first transfer and delivery on a session. Peers must accept any (RFC 1982); tests start near
    /// the wrap.
    pub initial_id: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            container: "sparbank".into(),
            hostname: None,
            max_frame_size: 16 * 1024,
            channel_max: 7,
            handle_max: 255,
            max_links: 64,
            incoming_window: 256,
            max_unsettled: 1024,
            max_message_size: 1024 * 1024,
            idle_timeout: Duration::from_secs(10),
            initial_id: 0,
        }
    }
}
