//! Messages (standard, section 3.2): a forwarding node reads the sections before the body and forwards the
//! rest as it is.

use crate::codec::{close_compound, format_code, open_compound, put_u32, text, DecodeError, Reader, Result};
use crate::value::Value;
use std::ops::Range;

/// The longest header that is accepted, in octets. Its five fields take some 30 at most: it fits into one frame of any
/// size.
const MAX_HEADER_BYTES: usize = 64;

/// The descriptors of the sections.
mod section {
    pub const HEADER: u64 = 0x70;
    pub const DELIVERY_ANNOTATIONS: u64 = 0x71;
    pub const MESSAGE_ANNOTATIONS: u64 = 0x72;
    pub const PROPERTIES: u64 = 0x73;
    pub const APPLICATION_PROPERTIES: u64 = 0x74;
    pub const DATA: u64 = 0x75;
    pub const SEQUENCE: u64 = 0x76;
    pub const VALUE: u64 = 0x77;
    pub const FOOTER: u64 = 0x78;
}

/// The indexes of fields in the lists of their sections.
const TTL_FIELD: usize = 2;
const TO_FIELD: usize = 2;
const REPLY_TO_FIELD: usize = 4;

/// The sections before the body: where they are, and the fields that forwarding needs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// The header's octets without its descriptor.
    header: Range<usize>,
    /// Where the section after the header starts.
    after_header: usize,
    /// The map of the application properties.
    application_properties: Range<usize>,
    /// Where the body starts.
    body: usize,
    /// The header's time to live, in milliseconds.
    pub ttl: Option<u32>,
    /// `to` of the properties: the node that the message is for.
    pub to: Option<String>,
    /// `reply-to` of the properties.
    pub reply_to: Option<String>,
}

impl Head {
    /// Reads the sections before the body. None if the bytes end before the body starts: more are needed, unless the
    /// message is complete.
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
                head.body = start;
                return Ok(Some(head));
            }
            let start = bytes.len() - reader.remaining.len();
            match reader.skip_value() {
                Err(DecodeError::Truncated) => return Ok(None),
                skipped => skipped?,
            }
            let end = bytes.len() - reader.remaining.len();
            head.read_section(section, start..end, bytes)?;
        }
    }

    fn read_section(&mut self, section: u64, at: Range<usize>, bytes: &[u8]) -> Result<()> {
        let octets = &bytes[at.clone()];
        match (section, octets[0]) {
            (section::HEADER, format_code::LIST_0 | format_code::LIST_8 | format_code::LIST_32)
                if octets.len() <= MAX_HEADER_BYTES =>
            {
                self.ttl = read_ttl(octets)?;
                self.after_header = at.end;
                self.header = at;
            }
            (section::PROPERTIES, format_code::LIST_0 | format_code::LIST_8 | format_code::LIST_32) => {
                self.to = read_address(octets, TO_FIELD)?;
                self.reply_to = read_address(octets, REPLY_TO_FIELD)?;
            }
            (section::APPLICATION_PROPERTIES, format_code::MAP_8 | format_code::MAP_32) => {
                for (key, _) in map_pairs(octets) {
                    key.ok_or(DecodeError::Field("application-properties"))?;
                }
                self.application_properties = at;
            }
            (
                section::DELIVERY_ANNOTATIONS | section::MESSAGE_ANNOTATIONS,
                format_code::MAP_8 | format_code::MAP_32,
            ) => {}
            _ => return Err(DecodeError::Field("section")),
        }
        Ok(())
    }

    /// An application property; `bytes` is the message that this is the head of.
    pub fn value(&self, bytes: &[u8], name: &str) -> Option<Value> {
        let map = bytes.get(self.application_properties.clone()).filter(|map| !map.is_empty())?;
        let (_, mut value) = map_pairs(map).find(|(key, _)| *key == Some(name))?;
        value.value().ok()
    }

    /// An application property's text or number, as text.
    pub fn property(&self, bytes: &[u8], name: &str) -> Option<String> {
        match self.value(bytes, name)? {
            Value::Text(text) | Value::Symbol(text) => Some(text),
            Value::Uint(number) => Some(number.to_string()),
            Value::Ulong(number) => Some(number.to_string()),
            Value::Int(number) => Some(number.to_string()),
            Value::Long(number) => Some(number.to_string()),
            _ => None,
        }
    }

    /// Writes the header of the forwarded message, with this time to live in milliseconds. The message's bytes from
    /// [`Head::after_header`] on follow it unchanged.
    pub fn encode(&self, bytes: &[u8], ttl: u32, out: &mut Vec<u8>) {
        out.extend_from_slice(&[format_code::DESCRIBED, format_code::SMALL_ULONG, section::HEADER as u8]);
        let start = open_compound(out, format_code::LIST_8);
        let mut fields = bytes.get(self.header.clone()).and_then(|header| read_list(header).ok());
        let mut count = 0;
        loop {
            let octets = match &mut fields {
                Some((reader, remaining)) if *remaining > 0 => {
                    *remaining -= 1;
                    match skipped_octets(reader) {
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

    /// Where in the message's bytes the section after the header starts.
    pub fn after_header(&self) -> usize {
        self.after_header
    }
}

/// The octets of the next value, which is skipped.
fn skipped_octets<'a>(reader: &mut Reader<'a>) -> Option<&'a [u8]> {
    let before = reader.remaining;
    reader.skip_value().ok()?;
    Some(&before[..before.len() - reader.remaining.len()])
}

/// The time to live of a header.
fn read_ttl(header: &[u8]) -> Result<Option<u32>> {
    let Some(mut field) = read_field(header, TTL_FIELD)? else { return Ok(None) };
    match field.value()? {
        Value::Null => Ok(None),
        Value::Uint(ttl) => Ok(Some(ttl)),
        _ => Err(DecodeError::Field("ttl")),
    }
}

/// An address of the properties. One that is not text (3.2.4) names no node here.
fn read_address(properties: &[u8], index: usize) -> Result<Option<String>> {
    let name = if index == TO_FIELD { "to" } else { "reply-to" };
    match read_field(properties, index)?.map(|mut field| field.value()) {
        Some(Ok(Value::Text(address))) => Ok(Some(address)),
        None | Some(Ok(_)) => Ok(None),
        Some(Err(_)) => Err(DecodeError::Field(name)),
    }
}

/// A reader of a list's fields, and their count.
fn read_list(bytes: &[u8]) -> Result<(Reader<'_>, usize)> {
    let mut reader = Reader::new(bytes);
    match reader.byte()? {
        format_code::LIST_0 => Ok((Reader::new(&[]), 0)),
        code @ (format_code::LIST_8 | format_code::LIST_32) => reader.compound(code),
        _ => Err(DecodeError::Field("list")),
    }
}

/// A reader at a list's field, if there is one.
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

/// The pairs of a map that has been checked: the key if it is text, and a reader of the value.
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

/// Reads the descriptor of the section that starts here.
fn read_section_descriptor(reader: &mut Reader<'_>) -> Result<u64> {
    if reader.byte()? != format_code::DESCRIBED {
        return Err(DecodeError::Field("section"));
    }
    if let Some([format_code::SMALL_ULONG, code, ..]) = reader.remaining.get(..2) {
        let code = u64::from(*code);
        reader.remaining = &reader.remaining[2..];
        return check_section(code);
    }
    match reader.value()? {
        Value::Ulong(code) => check_section(code),
        Value::Symbol(name) => section_named(&name).ok_or(DecodeError::UnexpectedDescriptor),
        _ => Err(DecodeError::Field("section")),
    }
}

fn check_section(code: u64) -> Result<u64> {
    if (section::HEADER..=section::FOOTER).contains(&code) {
        Ok(code)
    } else {
        Err(DecodeError::UnexpectedDescriptor)
    }
}

/// The section with this symbolic descriptor.
fn section_named(name: &str) -> Option<u64> {
    Some(match name {
        "amqp:header:list" => section::HEADER,
        "amqp:delivery-annotations:map" => section::DELIVERY_ANNOTATIONS,
        "amqp:message-annotations:map" => section::MESSAGE_ANNOTATIONS,
        "amqp:properties:list" => section::PROPERTIES,
        "amqp:application-properties:map" => section::APPLICATION_PROPERTIES,
        "amqp:data:binary" => section::DATA,
        "amqp:amqp-sequence:list" => section::SEQUENCE,
        "amqp:amqp-value:*" => section::VALUE,
        "amqp:footer:map" => section::FOOTER,
        _ => return None,
    })
}

/// A complete message, checked section by section.
#[derive(Clone, Debug, PartialEq)]
pub struct Message<'a> {
    /// The sections before the body.
    pub head: Head,
    bytes: &'a [u8],
}

impl<'a> Message<'a> {
    /// Checks that this is a message: every section is valid, in its order, and there is a body.
    ///
    /// # Errors
    /// It is not.
    pub fn decode(bytes: &'a [u8]) -> Result<Message<'a>> {
        let head = Head::read(bytes)?.ok_or(DecodeError::Field("body"))?;
        check_body(&bytes[head.body..])?;
        Ok(Message { head, bytes })
    }

    /// The forwarded message: unchanged except for its time to live, in milliseconds.
    pub fn encode(&self, ttl: u32) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.bytes.len() + 16);
        self.head.encode(self.bytes, ttl, &mut out);
        out.extend_from_slice(&self.bytes[self.head.after_header()..]);
        out
    }

    /// An application property's text or number, as text.
    pub fn property(&self, name: &str) -> Option<String> {
        self.head.property(self.bytes, name)
    }
}

/// Checks the body and the footer.
fn check_body(bytes: &[u8]) -> Result<()> {
    let mut reader = Reader::new(bytes);
    let mut last_section = 0;
    while !reader.remaining.is_empty() {
        let section = read_section_descriptor(&mut reader)?;
        let code = reader.remaining.first().copied().unwrap_or(0);
        let is_valid = match (section, last_section) {
            (section::DATA, 0 | section::DATA) => {
                matches!(code, format_code::BINARY_8 | format_code::BINARY_32)
            }
            (section::SEQUENCE, 0 | section::SEQUENCE) => {
                matches!(code, format_code::LIST_0 | format_code::LIST_8 | format_code::LIST_32)
            }
            (section::VALUE, 0) => true,
            (section::FOOTER, section::DATA..=section::VALUE) => {
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
