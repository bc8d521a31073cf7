//! Exports flow records as IPFIX over UDP if `--ipfix ADDRESS` is given.
//!
//! UDP is not acknowledged: records are lost while the collector cannot be reached, but the node is not delayed. The
//! collector detects how many records were lost from the sequence number in each message.

mod ipfix;

use crate::config::FrontendSettings;
use crate::discovery::EndpointRegistry;
use crate::requests::FlowRecord;
use ipfix::{MessageHeader, SetKind};
use sparbank_time::MonotonicTime;
use std::io;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::time::Duration;

/// Interval at which the template is sent again, for collectors that started later and because a UDP datagram can be
/// lost.
const TEMPLATE_REFRESH_INTERVAL: Duration = Duration::from_secs(60);

/// An exporter to one collector. The node owns it and periodically passes it the flows that have ended.
pub struct FlowExport {
    socket: UdpSocket,
    observation_domain: u32,
    /// Number of data records sent.
    sequence: u32,
    /// When the template was last sent.
    template_sent_at: Option<MonotonicTime>,
}

impl FlowExport {
    /// Creates an exporter that sends from the node's own address to this collector. Each node has its own observation
    /// domain.
    ///
    /// # Errors
    ///
    /// If the UDP socket cannot be opened or connected.
    pub fn new(
        local_address: IpAddr,
        collector: SocketAddr,
        observation_domain: u32,
    ) -> io::Result<FlowExport> {
        let socket = UdpSocket::bind((local_address, 0))?;
        socket.connect(collector)?;
        socket.set_nonblocking(true)?;
        Ok(FlowExport { socket, observation_domain, sequence: 0, template_sent_at: None })
    }

    /// Sends the records of flows that have ended, preceded by the template if it is due.
    pub fn send(
        &mut self,
        now: MonotonicTime,
        flows: &[FlowRecord],
        registry: &EndpointRegistry,
        settings: &FrontendSettings,
    ) {
        if flows.is_empty() {
            return;
        }
        self.send_template_if_due(now);
        let mut records = Vec::new();
        let mut record_count = 0;
        for flow in flows {
            let endpoint = flow.server.and_then(|server| registry.entry(server));
            let address = endpoint.map(|endpoint| endpoint.address());
            let class = settings.class_names.get(flow.class).map_or("", String::as_str);
            let record = ipfix::encode_record(flow, address, class);
            if records.len() + record.len() > ipfix::MAX_RECORDS_BYTES {
                self.send_message(now, SetKind::Data, &records, record_count);
                records.clear();
                record_count = 0;
            }
            records.extend(record);
            record_count += 1;
        }
        self.send_message(now, SetKind::Data, &records, record_count);
    }

    fn send_template_if_due(&mut self, now: MonotonicTime) {
        let is_due =
            |sent_at: MonotonicTime| now.saturating_duration_since(sent_at) >= TEMPLATE_REFRESH_INTERVAL;
        if self.template_sent_at.is_none_or(is_due) {
            self.template_sent_at = Some(now);
            self.send_message(now, SetKind::Template, &ipfix::encode_template(), 0);
        }
    }

    /// Sends one message; `record_count` is the number of its data records. An error is ignored, since the collector
    /// detects lost records by the sequence number.
    fn send_message(&mut self, now: MonotonicTime, kind: SetKind, records: &[u8], record_count: u32) {
        let header = MessageHeader {
            export_time: now,
            sequence: self.sequence,
            observation_domain: self.observation_domain,
        };
        let message = ipfix::encode_message(&header, kind, records);
        let _ = self.socket.send(&message);
        self.sequence = self.sequence.wrapping_add(record_count);
    }
}
