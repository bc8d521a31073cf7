//! Messages (standard, section 3.2). A forwarding node decodes the sections before the body, replaces the header and
//! forwards the remaining octets unchanged.

use crate::codec::{close_compound, format_code, open_compound, put_u32, text, DecodeError, Reader, Result};
use crate::value::Value;
use std::ops::Range;

/// The longest header that is accepted, in octets. The five fields of a valid header take about 30 at most, and a
/// header of this length fits into one frame of any size that the standard permits.
const MAX_HEADER_BYTES: usize = 64;

/// The numeric descriptors of the sections.
mod section {
    pub const HEADER: u64 = 0x70;
    pub const DELIVERY_ANNOTATIONS: u64 = 0x71;
    pub const MESSAGE_ANNOTATIONS: u64 = 0x72;
    pub const PROPERTIES: u64 = 0x73;
    pub const APPLICATION_PROPERTIES: u64 = 0x74;
    pub const DATA: u64 = 0x75;
    pub const AMQP_SEQUENCE: u64 = 0x76;
    pub const AMQP_VALUE: u64 = 0x77;
    pub const FOOTER: u64 = 0x78;
}

/// The indexes of fields in the lists of their sections: the header's ttl, and the properties' to and reply-to.
const TTL_FIELD: usize = 2;
const TO_FIELD: usize = 2;
const REPLY_TO_FIELD: usize = 4;

/// The sections before the body: their positions in the message, and the fields that forwarding needs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// The position of the header's list, without its descriptor; empty if there is no header.
    header: Range<usize>,
    /// The position of the section after the header; 0 if there is no header.
    after_header: usize,
    /// The position of the map of application properties, without its descriptor; empty if there is none.
    application_properties: Range<usize>,
    /// The position of the body.
    body_start: usize,
    /// The `ttl` field (time to live) of the header, in milliseconds.
    pub ttl: Option<u32>,
    /// The `to` field of the properties: the address of the node that the message is sent to.
    pub to: Option<String>,
    /// The `reply-to` field of the properties: the address of the node to which replies are sent.
    pub reply_to: Option<String>,
}

impl Head {
    /// Decodes the sections before the body. Returns `None` if `bytes` ends before the body starts: either more of
    /// the message has to be received, or the message is complete and lacks a body.
    ///
    /// # Errors
    /// A section cannot be decoded, is unknown, or is out of order.
    pub fn read(bytes: &[u8]) -> Result<Option<Head>> {
        let mut head = Head::default();
        let mut reader = Reader::new(bytes);
        let mut last_section = 0;
        loop {
            if reader.remaining.is_empty() {
                return Ok(None);
            }
            let start = bytes.len() - reader.remaining.len();
            let section = match read_section_descriptor(&mut reader) {
                Err(DecodeError::Truncated) => return Ok(None),
                section => section?,
            };
            if section <= last_section {
                return Err(DecodeError::Field("section"));
            }
            last_section = section;
            if section >= section::DATA {
                head.body_start = start;
                return Ok(Some(head));
            }
            let value_start = bytes.len() - reader.remaining.len();
            match reader.skip_value() {
                Err(DecodeError::Truncated) => return Ok(None),
                skipped => skipped?,
            }
            let end = bytes.len() - reader.remaining.len();
            head.read_section(section, value_start..end, bytes)?;
        }
    }

    /// Decodes a section before the body. `range` is its value in `bytes`, without its descriptor.
    fn read_section(&mut self, section: u64, range: Range<usize>, bytes: &[u8]) -> Result<()> {
        let octets = &bytes[range.clone()];
        match (section, octets[0]) {
            (section::HEADER, format_code::LIST_0 | format_code::LIST_8 | format_code::LIST_32)
                if octets.len() <= MAX_HEADER_BYTES =>
            {
                self.ttl = read_ttl(octets)?;
                self.after_header = range.end;
                self.header = range;
            }
            (section::PROPERTIES, format_code::LIST_0 | format_code::LIST_8 | format_code::LIST_32) => {
                self.to = read_address(octets, TO_FIELD)?;
                self.reply_to = read_address(octets, REPLY_TO_FIELD)?;
            }
            (section::APPLICATION_PROPERTIES, format_code::MAP_8 | format_code::MAP_32) => {
                for (key, _) in map_pairs(octets) {
                    key.ok_or(DecodeError::Field("application-properties"))?;
                }
                self.application_properties = range;
            }
            (
                section::DELIVERY_ANNOTATIONS | section::MESSAGE_ANNOTATIONS,
                format_code::MAP_8 | format_code::MAP_32,
            ) => {}
            _ => return Err(DecodeError::Field("section")),
        }
        Ok(())
    }

    /// Decodes the application property with this name; `None` if there is none. `bytes` is the message that the
    /// head was read from.
    pub fn application_property(&self, bytes: &[u8], name: &str) -> Option<Value> {
        let map = bytes.get(self.application_properties.clone()).filter(|map| !map.is_empty())?;
        let (_, mut value) = map_pairs(map).find(|(key, _)| *key == Some(name))?;
        value.value().ok()
    }

    /// Returns an application property as text if it is a string, a symbol or an integer of 32 or 64 bits. `bytes`
    /// is the message that the head was read from.
    pub fn application_property_text(&self, bytes: &[u8], name: &str) -> Option<String> {
        match self.application_property(bytes, name)? {
            Value::Text(text) | Value::Symbol(text) => Some(text),
            Value::Uint(number) => Some(number.to_string()),
            Value::Ulong(number) => Some(number.to_string()),
            Value::Int(number) => Some(number.to_string()),
            Value::Long(number) => Some(number.to_string()),
            _ => None,
        }
    }

    /// Encodes the header of the forwarded message: the received one with its `ttl` field (in milliseconds)
    /// replaced. The caller appends the message's bytes from [`Head::after_header`] on.
    pub fn encode(&self, bytes: &[u8], ttl: u32, out: &mut Vec<u8>) {
        out.extend_from_slice(&[format_code::DESCRIBED, format_code::SMALL_ULONG, section::HEADER as u8]);
        let start = open_compound(out, format_code::LIST_8);
        let mut fields = bytes.get(self.header.clone()).and_then(|header| read_list(header).ok());
        let mut count = 0;
        loop {
            let octets = match &mut fields {
                Some((reader, remaining)) if *remaining > 0 => {
                    *remaining -= 1;
                    match read_encoded_value(reader) {
                        Some(octets) => octets,
                        None => break,
                    }
                }
                _ if count <= TTL_FIELD => &[format_code::NULL],
                _ => break,
            };
            if count == TTL_FIELD {
                put_u32(out, ttl);
            } else {
                out.extend_from_slice(octets);
            }
            count += 1;
        }
        close_compound(out, start, count);
    }

    /// Returns the position of the section after the header in the message's bytes.
    pub fn after_header(&self) -> usize {
        self.after_header
    }
}

/// Reads the next value without decoding it. Returns its encoding.
fn read_encoded_value<'a>(reader: &mut Reader<'a>) -> Option<&'a [u8]> {
    let before = reader.remaining;
    reader.skip_value().ok()?;
    Some(&before[..before.len() - reader.remaining.len()])
}

/// Decodes the `ttl` field of a header.
fn read_ttl(header: &[u8]) -> Result<Option<u32>> {
    let Some(mut field) = read_field(header, TTL_FIELD)? else { return Ok(None) };
    match field.value()? {
        Value::Null => Ok(None),
        Value::Uint(ttl) => Ok(Some(ttl)),
        _ => Err(DecodeError::Field("ttl")),
    }
}

/// Decodes an address field of the properties. Addresses may be of any type (3.2.4); those that are not strings
/// name no node here and are ignored.
fn read_address(properties: &[u8], index: usize) -> Result<Option<String>> {
    let name = if index == TO_FIELD { "to" } else { "reply-to" };
    match read_field(properties, index)?.map(|mut field| field.value()) {
        Some(Ok(Value::Text(address))) => Ok(Some(address)),
        None | Some(Ok(_)) => Ok(None),
        Some(Err(_)) => Err(DecodeError::Field(name)),
    }
}

/// Returns a reader of a list's elements, and their count.
fn read_list(bytes: &[u8]) -> Result<(Reader<'_>, usize)> {
    let mut reader = Reader::new(bytes);
    match reader.byte()? {
        format_code::LIST_0 => Ok((Reader::new(&[]), 0)),
        code @ (format_code::LIST_8 | format_code::LIST_32) => reader.compound(code),
        _ => Err(DecodeError::Field("list")),
    }
}

/// Returns a reader positioned at a list's element, if the list is that long.
fn read_field(bytes: &[u8], index: usize) -> Result<Option<Reader<'_>>> {
    let (mut reader, count) = read_list(bytes)?;
    if count <= index {
        return Ok(None);
    }
    for _ in 0..index {
        reader.skip_value()?;
    }
    Ok(Some(reader))
}

/// Iterates over the pairs of a map that has been validated. Yields the key if it is a string, and a reader
/// positioned at the value.
fn map_pairs(bytes: &[u8]) -> impl Iterator<Item = (Option<&str>, Reader<'_>)> {
    let mut map = Reader::new(bytes);
    let body = map.byte().and_then(|code| map.compound(code)).ok();
    let (mut reader, mut remaining) = body.unwrap_or((Reader::new(&[]), 0));
    std::iter::from_fn(move || {
        remaining = remaining.checked_sub(2)?;
        let key = match *reader.remaining.first()? {
            code @ (format_code::STRING_8 | format_code::STRING_32) => {
                reader.byte().ok()?;
                text(reader.variable(code).ok()?).ok()
            }
            _ => {
                reader.skip_value().ok()?;
                None
            }
        };
        let value = Reader::new(reader.remaining);
        reader.skip_value().ok()?;
        Some((key, value))
    })
}

/// Decodes the descriptor at the start of a section. Returns the numeric one of the same section.
fn read_section_descriptor(reader: &mut Reader<'_>) -> Result<u64> {
    if reader.byte()? != format_code::DESCRIBED {
        return Err(DecodeError::Field("section"));
    }
    if let Some([format_code::SMALL_ULONG, code, ..]) = reader.remaining.get(..2) {
        let code = u64::from(*code);
        reader.remaining = &reader.remaining[2..];
        return validate_section_code(code);
    }
    match reader.value()? {
        Value::Ulong(code) => validate_section_code(code),
        Value::Symbol(name) => section_code(&name).ok_or(DecodeError::UnexpectedDescriptor),
        _ => Err(DecodeError::Field("section")),
    }
}

fn validate_section_code(code: u64) -> Result<u64> {
    if (section::HEADER..=section::FOOTER).contains(&code) {
        Ok(code)
    } else {
        Err(DecodeError::UnexpectedDescriptor)
    }
}

/// Returns the numeric descriptor of the section with this symbolic one.
fn section_code(name: &str) -> Option<u64> {
    Some(match name {
        "amqp:header:list" => section::HEADER,
        "amqp:delivery-annotations:map" => section::DELIVERY_ANNOTATIONS,
        "amqp:message-annotations:map" => section::MESSAGE_ANNOTATIONS,
        "amqp:properties:list" => section::PROPERTIES,
        "amqp:application-properties:map" => section::APPLICATION_PROPERTIES,
        "amqp:data:binary" => section::DATA,
        "amqp:amqp-sequence:list" => section::AMQP_SEQUENCE,
        "amqp:amqp-value:*" => section::AMQP_VALUE,
        "amqp:footer:map" => section::FOOTER,
        _ => return None,
    })
}

/// A complete message whose sections have been validated.
#[derive(Clone, Debug, PartialEq)]
pub struct Message<'a> {
    /// The sections before the body.
    pub head: Head,
    bytes: &'a [u8],
}

impl<'a> Message<'a> {
    /// Validates a message: every section is valid and in order, and there is a body.
    ///
    /// # Errors
    /// A section cannot be decoded, is unknown or is out of order, or there is no body.
    pub fn decode(bytes: &'a [u8]) -> Result<Message<'a>> {
        let head = Head::read(bytes)?.ok_or(DecodeError::Field("body"))?;
        validate_body(&bytes[head.body_start..])?;
        Ok(Message { head, bytes })
    }

    /// Encodes the message for forwarding: unchanged except for the header's `ttl` field, in milliseconds.
    pub fn encode(&self, ttl: u32) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.bytes.len() + 16);
        self.head.encode(self.bytes, ttl, &mut out);
        out.extend_from_slice(&self.bytes[self.head.after_header()..]);
        out
    }

    /// Returns an application property as text if it is a string, a symbol or an integer of 32 or 64 bits.
    pub fn application_property_text(&self, name: &str) -> Option<String> {
        self.head.application_property_text(self.bytes, name)
    }
}

/// Validates the body and the footer.
fn validate_body(bytes: &[u8]) -> Result<()> {
    let mut reader = Reader::new(bytes);
    let mut last_section = 0;
    while !reader.remaining.is_empty() {
        let section = read_section_descriptor(&mut reader)?;
        let code = reader.remaining.first().copied().unwrap_or(0);
        let is_valid = match (section, last_section) {
            (section::DATA, 0 | section::DATA) => {
                matches!(code, format_code::BINARY_8 | format_code::BINARY_32)
            }
            (section::AMQP_SEQUENCE, 0 | section::AMQP_SEQUENCE) => {
                matches!(code, format_code::LIST_0 | format_code::LIST_8 | format_code::LIST_32)
            }
            (section::AMQP_VALUE, 0) => true,
            (section::FOOTER, section::DATA..=section::AMQP_VALUE) => {
                matches!(code, format_code::MAP_8 | format_code::MAP_32)
            }
            _ => false,
        };
        if !is_valid {
            return Err(DecodeError::Field("section"));
        }
        reader.skip_value()?;
        last_section = section;
    }
    Ok(())
}
