//! Connection settings.

use std::time::Duration;

/// The local connection parameters and the limits on the memory that the peer can make the connection use.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The local container id.
    pub container: String,
    /// The host name that the client end requests in its open.
    pub hostname: Option<String>,
    /// The largest accepted frame, in octets (at least 512). The application must be able to buffer a complete frame.
    pub max_frame_size: u32,
    /// The highest channel number, which is one less than the maximum number of sessions. A session uses a few hundred
    /// octets.
    pub channel_max: u16,
    /// The highest link handle on a session.
    pub handle_max: u32,
    /// The maximum number of links on all sessions. A link uses about 300 octets plus its name.
    pub max_links: usize,
    /// The incoming window of a session: the number of transfer frames that the peer may send before the window is
    /// renewed.
    pub incoming_window: u32,
    /// The maximum number of unsettled deliveries on a link.
    pub max_unsettled: u32,
    /// The largest accepted message, in octets.
    pub max_message_size: u64,
    /// The time without received octets after which a peer is considered lost. Zero disables the timeout.
    pub idle_timeout: Duration,
    /// The id of the first transfer and the first delivery on a session. Peers must accept any value (RFC 1982). Tests
    /// choose values shortly before the wrap-around.
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
