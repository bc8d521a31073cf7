//! Ended flows as IPFIX (RFC 7011) over UDP, off unless `--ipfix ADDRESS` is given.
//!
//! One template of IANA's own elements. A collector that is away costs its records, nothing else.

use crate::config::SiteSettings;
use crate::discovery::EndpointRegistry;
use crate::requests::{FlowRecord, FlowResult};
use crate::vocabulary::Nanos;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};

const TEMPLATE: u16 = 256;
/// (element, length); 0xffff is a length of its own in each record.
const FIELDS: [(u16, u16); 10] = [
    (148, 8),      // flowId
    (152, 8),      // flowStartMilliseconds
    (153, 8),      // flowEndMilliseconds
    (136, 1),      // flowEndReason
    (12, 4),       // destinationIPv4Address: the server, or 0.0.0.0
    (11, 2),       // destinationTransportPort
    (278, 4),      // connectionCountNew: attempts sent
    (96, 0xffff),  // applicationName: the class
    (94, 0xffff),  // applicationDescription: the front
    (372, 0xffff), // applicationCategoryName: how it ended
];
/// A datagram that passes everywhere unbroken.
const MOST: usize = 1400;
/// Over UDP templates are sent again now and then.
const TEMPLATE_EVERY: Nanos = 60_000_000_000;

/// The exporter.
pub struct FlowExport {
    socket: UdpSocket,
    domain: u32,
    /// Data records sent so far.
    sequence: u32,
    template_at: Option<Nanos>,
}

impl FlowExport {
    /// An exporter from the node's own address to this collector. The domain tells nodes apart.
    pub fn new(own: IpAddr, collector: SocketAddr, domain: u32) -> io::Result<FlowExport> {
        let socket = UdpSocket::bind((own, 0))?;
        socket.connect(collector)?;
        socket.set_nonblocking(true)?;
        Ok(FlowExport { socket, domain, sequence: 0, template_at: None })
    }

    /// Sends flows that have ended, at the module's time (Unix time in nanoseconds).
    pub fn send(
        &mut self,
        now: Nanos,
        flows: &[FlowRecord],
        registry: &EndpointRegistry,
        site: &SiteSettings,
    ) {
        let due = |at: Nanos| now.saturating_sub(at) >= TEMPLATE_EVERY;
        if !flows.is_empty() && self.template_at.is_none_or(due) {
            self.template_at = Some(now);
            self.message(now, 2, &template(), 0);
        }
        let (mut records, mut count) = (Vec::new(), 0);
        for flow in flows {
            let record = record(flow, registry, site);
            if records.len() + record.len() + 20 > MOST {
                self.message(now, TEMPLATE, &records, count);
                (records, count) = (Vec::new(), 0);
            }
            records.extend(record);
            count += 1;
        }
        if count > 0 {
            self.message(now, TEMPLATE, &records, count);
        }
    }

    fn message(&mut self, now: Nanos, set: u16, body: &[u8], records: u32) {
        let mut out = Vec::with_capacity(body.len() + 20);
        out.extend(10u16.to_be_bytes());
        out.extend((body.len() as u16 + 20).to_be_bytes());
        out.extend(((now / 1_000_000_000) as u32).to_be_bytes());
        out.extend(self.sequence.to_be_bytes());
        out.extend(self.domain.to_be_bytes());
        out.extend(set.to_be_bytes());
        out.extend((body.len() as u16 + 4).to_be_bytes());
        out.extend(body);
        // UDP promises nothing; the sequence number shows the collector what it missed.
        let _ = self.socket.send(&out);
        self.sequence = self.sequence.wrapping_add(records);
    }
}

fn template() -> Vec<u8> {
    let mut out = Vec::new();
    out.extend(TEMPLATE.to_be_bytes());
    out.extend((FIELDS.len() as u16).to_be_bytes());
    for (element, length) in FIELDS {
        out.extend(element.to_be_bytes());
        out.extend(length.to_be_bytes());
    }
    out
}

fn record(flow: &FlowRecord, registry: &EndpointRegistry, site: &SiteSettings) -> Vec<u8> {
    let addr = flow.server.and_then(|server| registry.entry(server)).map(|server| server.address());
    let ip = match addr.map(|a| a.ip()) {
        Some(IpAddr::V4(ip)) => ip,
        _ => Ipv4Addr::UNSPECIFIED,
    };
    // IANA's reasons: 3 end of flow, 4 forced end, 5 lack of resources.
    let (reason, result) = match flow.result {
        FlowResult::Served => (3, "served"),
        FlowResult::Rejected => (5, "refused"),
        FlowResult::Failed => (4, "failed"),
        FlowResult::ClientDisconnected => (3, "left"),
        FlowResult::Migrated => (4, "moved"),
        FlowResult::Broken => (4, "broken"),
    };
    let class = site.classes.get(flow.class).map_or("", |c| c.name.as_str());
    let mut out = Vec::new();
    out.extend(flow.request_id.0.to_be_bytes());
    out.extend((flow.started_at / 1_000_000).to_be_bytes());
    out.extend((flow.ended_at / 1_000_000).to_be_bytes());
    out.push(reason);
    out.extend(ip.octets());
    out.extend(addr.map_or(0, |a| a.port()).to_be_bytes());
    out.extend(flow.attempts.to_be_bytes());
    for text in [class, flow.front.name, result] {
        let text = &text.as_bytes()[..text.len().min(254)];
        out.push(text.len() as u8);
        out.extend(text);
    }
    out
}
