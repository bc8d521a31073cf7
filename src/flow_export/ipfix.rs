//! IPFIX encoding (RFC 7011) of messages, the single template and its data records, without I/O.

use crate::requests::{FlowRecord, FlowResult};
use sparbank_time::{DurationExt, MonotonicTime};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

const VERSION: u16 = 10;
/// The id of template sets.
const TEMPLATE_SET_ID: u16 = 2;
/// The id of the template and of the data sets that it describes.
const TEMPLATE_ID: u16 = 256;
const MESSAGE_HEADER_BYTES: usize = 16;
const SET_HEADER_BYTES: usize = 4;
/// The size of a message without its records.
const MESSAGE_OVERHEAD_BYTES: usize = MESSAGE_HEADER_BYTES + SET_HEADER_BYTES;
/// The field length in the template of a string whose length is encoded in each record.
const VARIABLE_LENGTH: u16 = 0xffff;
/// The maximum length that is encoded in one byte; longer strings are truncated.
const MAX_STRING_BYTES: usize = 254;
/// The maximum size of a message. Datagrams of this size are not fragmented on common network paths.
const MAX_MESSAGE_BYTES: usize = 1400;
/// The maximum size of the records in one message.
pub const MAX_RECORDS_BYTES: usize = MAX_MESSAGE_BYTES - MESSAGE_OVERHEAD_BYTES;

/// A field of the template: an IANA information element and its length in bytes.
struct Field {
    element: u16,
    length: u16,
}

const fn field(element: u16, length: u16) -> Field {
    Field { element, length }
}

/// The fields of a record, in order.
const FIELDS: [Field; 10] = [
    field(148, 8),               // flowId
    field(152, 8),               // flowStartMilliseconds
    field(153, 8),               // flowEndMilliseconds
    field(136, 1),               // flowEndReason
    field(12, 4),                // destinationIPv4Address: the server, or 0.0.0.0
    field(11, 2),                // destinationTransportPort
    field(278, 4),               // connectionCountNew: attempts sent
    field(96, VARIABLE_LENGTH),  // applicationName: the class
    field(94, VARIABLE_LENGTH),  // applicationDescription: the frontend
    field(372, VARIABLE_LENGTH), // applicationCategoryName: the result
];

/// The values of the information element flowEndReason that are used here, as registered with IANA.
#[derive(Clone, Copy)]
enum EndReason {
    EndOfFlow = 3,
    ForcedEnd = 4,
    LackOfResources = 5,
}

/// The type of records in a message.
#[derive(Clone, Copy)]
pub enum SetKind {
    /// The template record, which lists the fields of a data record.
    Template,
    /// Data records, one for each flow.
    Data,
}

/// The header fields of a message that are not constant.
pub struct MessageHeader {
    /// The time of the export.
    pub export_time: MonotonicTime,
    /// The number of data records sent before this message.
    pub sequence: u32,
    /// The observation domain, which identifies the node.
    pub observation_domain: u32,
}

/// Encodes a message with one set.
pub fn encode_message(header: &MessageHeader, kind: SetKind, records: &[u8]) -> Vec<u8> {
    let set_id = match kind {
        SetKind::Template => TEMPLATE_SET_ID,
        SetKind::Data => TEMPLATE_ID,
    };
    let message_bytes = (records.len() + MESSAGE_OVERHEAD_BYTES) as u16;
    let set_bytes = (records.len() + SET_HEADER_BYTES) as u16;
    let mut out = Vec::with_capacity(usize::from(message_bytes));
    out.extend(VERSION.to_be_bytes());
    out.extend(message_bytes.to_be_bytes());
    out.extend((since_epoch(header.export_time).as_secs() as u32).to_be_bytes());
    out.extend(header.sequence.to_be_bytes());
    out.extend(header.observation_domain.to_be_bytes());
    out.extend(set_id.to_be_bytes());
    out.extend(set_bytes.to_be_bytes());
    out.extend(records);
    out
}

/// Encodes the template record.
pub fn encode_template() -> Vec<u8> {
    let mut out = Vec::new();
    out.extend(TEMPLATE_ID.to_be_bytes());
    out.extend((FIELDS.len() as u16).to_be_bytes());
    for field in FIELDS {
        out.extend(field.element.to_be_bytes());
        out.extend(field.length.to_be_bytes());
    }
    out
}

/// Encodes the data record of a flow, with the address of its server and the name of its class.
pub fn encode_record(flow: &FlowRecord, server: Option<SocketAddr>, class: &str) -> Vec<u8> {
    let ip = match server.map(|address| address.ip()) {
        Some(IpAddr::V4(ip)) => ip,
        _ => Ipv4Addr::UNSPECIFIED,
    };
    let port = server.map_or(0, |address| address.port());
    let mut out = Vec::new();
    out.extend(flow.request_id.0.to_be_bytes());
    out.extend(since_epoch(flow.started_at).as_millis_u64().to_be_bytes());
    out.extend(since_epoch(flow.ended_at).as_millis_u64().to_be_bytes());
    out.push(end_reason(flow.result) as u8);
    out.extend(ip.octets());
    out.extend(port.to_be_bytes());
    out.extend(flow.attempts.to_be_bytes());
    for text in [class, flow.frontend.name, result_name(flow.result)] {
        encode_string(text, &mut out);
    }
    out
}

/// Returns the time since the Unix epoch, which is the origin of the node's clock.
fn since_epoch(time: MonotonicTime) -> Duration {
    time.saturating_duration_since(MonotonicTime::ZERO)
}

fn encode_string(text: &str, out: &mut Vec<u8>) {
    let bytes = &text.as_bytes()[..text.len().min(MAX_STRING_BYTES)];
    out.push(bytes.len() as u8);
    out.extend(bytes);
}

fn end_reason(result: FlowResult) -> EndReason {
    match result {
        FlowResult::Served | FlowResult::ClientDisconnected => EndReason::EndOfFlow,
        FlowResult::Failed | FlowResult::Migrated | FlowResult::Broken => EndReason::ForcedEnd,
        FlowResult::Rejected => EndReason::LackOfResources,
    }
}

/// Returns the exported name of a result. Collectors depend on these names, so they are fixed.
fn result_name(result: FlowResult) -> &'static str {
    match result {
        FlowResult::Served => "served",
        FlowResult::Rejected => "refused",
        FlowResult::Failed => "failed",
        FlowResult::ClientDisconnected => "left",
        FlowResult::Migrated => "moved",
        FlowResult::Broken => "broken",
    }
}

#[cfg(test)]
mod tests;
