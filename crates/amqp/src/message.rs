//! Messages (part 3, section 3.2): what a node reads of one while it passes the rest on as it came.

use crate::codec::*;
use crate::value::Value;
use std::ops::Range;

/// The longest header that is taken, in octets.
const MOST_HEADER: usize = 64;

/// The sections before the body, as far as they have come: where they are, and what routing needs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// The header's octets without its descriptor.
    header: Range<usize>,
    /// Where what follows the header starts.
    after_header: usize,
    /// The map of the application properties.
    application: Range<usize>,
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
    /// Reads the sections before the body. None where the bytes end before the body starts: more is to be
    /// waited for, unless the message has ended.
    pub fn read(bytes: &[u8]) -> Result<Option<Head>> {
        let mut head = Head::default();
        let (mut reader, mut last) = (Reader::new(bytes), 0);
        loop {
            if reader.left.is_empty() {
                return Ok(None);
            }
            let start = bytes.len() - reader.left.len();
            let code = match section(&mut reader) {
                Err(DecodeError::Short) => return Ok(None),
                code => code?,
            };
            if code <= last {
                return Err(DecodeError::Field("section"));
            }
            last = code;
            if code >= 0x75 {
                head.body = start;
                return Ok(Some(head));
            }
            let start = bytes.len() - reader.left.len();
            match reader.check() {
                Err(DecodeError::Short) => return Ok(None),
                checked => checked?,
            }
            let end = bytes.len() - reader.left.len();
            head.section(code, start..end, bytes)?;
        }
    }

    fn section(&mut self, code: u64, at: Range<usize>, bytes: &[u8]) -> Result<()> {
        match (code, bytes[at.start]) {
            // Its five fields take some 30 octets at most: it goes on in one frame of any size.
            (0x70, 0x45 | 0xc0 | 0xd0) if at.len() <= MOST_HEADER => {
                if let Some(mut field) = field(&bytes[at.clone()], 2)? {
                    self.ttl = match field.value()? {
                        Value::Null => None,
                        Value::Uint(ttl) => Some(ttl),
                        _ => return Err(DecodeError::Field("ttl")),
                    };
                }
                (self.header, self.after_header) = (at.clone(), at.end);
            }
            (0x73, 0x45 | 0xc0 | 0xd0) => {
                let text = |index, name| match field(&bytes[at.clone()], index)?.map(|mut f| f.value()) {
                    None | Some(Ok(Value::Null)) => Ok(None),
                    Some(Ok(Value::Text(text))) => Ok(Some(text)),
                    // An address may be of another type (3.2.4), which names no node here.
                    Some(Ok(_)) if name == "to" || name == "reply-to" => Ok(None),
                    Some(_) => Err(DecodeError::Field(name)),
                };
                (self.to, self.reply_to) = (text(2, "to")?, text(4, "reply-to")?);
            }
            (0x74, 0xc1 | 0xd1) => {
                for (key, _) in pairs(&bytes[at.clone()]) {
                    key.ok_or(DecodeError::Field("application-properties"))?;
                }
                self.application = at;
            }
            (0x71 | 0x72, 0xc1 | 0xd1) => {}
            _ => return Err(DecodeError::Field("section")),
        }
        Ok(())
    }

    /// An application property; `bytes` is the message that this is the head of.
    pub fn value(&self, bytes: &[u8], name: &str) -> Option<Value> {
        let map = bytes.get(self.application.clone()).filter(|map| !map.is_empty())?;
        let (_, mut value) = pairs(map).find(|(key, _)| *key == Some(name))?;
        value.value().ok()
    }

    /// An application property's text or number, as text.
    pub fn property(&self, bytes: &[u8], name: &str) -> Option<String> {
        match self.value(bytes, name)? {
            Value::Text(text) | Value::Symbol(text) => Some(text),
            Value::Uint(n) => Some(n.to_string()),
            Value::Ulong(n) => Some(n.to_string()),
            Value::Int(n) => Some(n.to_string()),
            Value::Long(n) => Some(n.to_string()),
            _ => None,
        }
    }

    /// The first octets of the message as it goes on: its header with this time to live, in milliseconds.
    /// The message's bytes from [`Head::rest`] on follow it unchanged.
    pub fn encode(&self, bytes: &[u8], ttl: u32, out: &mut Vec<u8>) {
        out.extend_from_slice(&[0x00, 0x53, 0x70]);
        let start = open_compound(out, 0xc0);
        let mut count = 0;
        let mut keep = |index: usize, octets: &[u8]| {
            if index == 2 {
                put_u32(out, ttl);
            } else {
                out.extend_from_slice(octets);
            }
            count += 1;
        };
        let mut fields = bytes.get(self.header.clone()).and_then(|header| list(header).ok());
        for index in 0.. {
            let octets = match &mut fields {
                Some((reader, left)) if *left > 0 => {
                    *left -= 1;
                    let before = reader.left;
                    if reader.check().is_err() {
                        break;
                    }
                    &before[..before.len() - reader.left.len()]
                }
                _ if index <= 2 => &[0x40],
                _ => break,
            };
            keep(index, octets);
        }
        close_compound(out, start, count);
    }

    /// Where in the message's bytes what follows the header starts.
    pub fn rest(&self) -> usize {
        self.after_header
    }
}

/// The fields of a list and their count.
fn list(bytes: &[u8]) -> Result<(Reader<'_>, usize)> {
    let mut reader = Reader::new(bytes);
    match reader.byte()? {
        0x45 => Ok((Reader::new(&[]), 0)),
        code @ (0xc0 | 0xd0) => reader.compound(code),
        _ => Err(DecodeError::Field("list")),
    }
}

/// A list's field, where there is one.
fn field(bytes: &[u8], index: usize) -> Result<Option<Reader<'_>>> {
    let (mut reader, count) = list(bytes)?;
    if count <= index {
        return Ok(None);
    }
    for _ in 0..index {
        reader.check()?;
    }
    Ok(Some(reader))
}

/// The pairs of a map that has been checked: the key where it is text, and the value.
fn pairs(bytes: &[u8]) -> impl Iterator<Item = (Option<&str>, Reader<'_>)> {
    let mut whole = Reader::new(bytes);
    let body = whole.byte().and_then(|code| whole.compound(code)).ok();
    let (mut reader, mut left) = body.unwrap_or((Reader::new(&[]), 0));
    std::iter::from_fn(move || {
        left = left.checked_sub(2)?;
        let key = match reader.left.first()? {
            code @ (0xa1 | 0xb1) => {
                let code = *code;
                reader.byte().ok()?;
                text(reader.variable(code).ok()?).ok()
            }
            _ => {
                reader.check().ok()?;
                None
            }
        };
        let value = Reader::new(reader.left);
        reader.check().ok()?;
        Some((key, value))
    })
}

/// The number of the section that starts here.
fn section(reader: &mut Reader<'_>) -> Result<u64> {
    if reader.byte()? != 0 {
        return Err(DecodeError::Field("section"));
    }
    if let Some([0x53, code, ..]) = reader.left.get(..2) {
        let code = u64::from(*code);
        reader.left = &reader.left[2..];
        return if (0x70..=0x78).contains(&code) { Ok(code) } else { Err(DecodeError::Descriptor) };
    }
    let code = match reader.value()? {
        Value::Ulong(code) => code,
        Value::Symbol(name) => match &*name {
            "amqp:header:list" => 0x70,
            "amqp:delivery-annotations:map" => 0x71,
            "amqp:message-annotations:map" => 0x72,
            "amqp:properties:list" => 0x73,
            "amqp:application-properties:map" => 0x74,
            "amqp:data:binary" => 0x75,
            "amqp:amqp-sequence:list" => 0x76,
            "amqp:amqp-value:*" => 0x77,
            "amqp:footer:map" => 0x78,
            _ => return Err(DecodeError::Descriptor),
        },
        _ => return Err(DecodeError::Field("section")),
    };
    if (0x70..=0x78).contains(&code) {
        Ok(code)
    } else {
        Err(DecodeError::Descriptor)
    }
}

/// A whole message, checked section by section.
#[derive(Clone, Debug, PartialEq)]
pub struct Message<'a> {
    /// The sections before the body.
    pub head: Head,
    bytes: &'a [u8],
}

impl<'a> Message<'a> {
    /// Checks that this is a message: every section sound, in its order, and a body among them.
    pub fn decode(bytes: &'a [u8]) -> Result<Message<'a>> {
        let head = Head::read(bytes)?.ok_or(DecodeError::Field("body"))?;
        check_body(&bytes[head.body..])?;
        Ok(Message { head, bytes })
    }

    /// The message as it goes on: unchanged but for its time to live, in milliseconds.
    pub fn encode(&self, ttl: u32) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.bytes.len() + 16);
        self.head.encode(self.bytes, ttl, &mut out);
        out.extend_from_slice(&self.bytes[self.head.rest()..]);
        out
    }

    /// An application property's text or number, as text.
    pub fn property(&self, name: &str) -> Option<String> {
        self.head.property(self.bytes, name)
    }
}

/// Checks the body and the footer.
fn check_body(bytes: &[u8]) -> Result<()> {
    let (mut reader, mut last) = (Reader::new(bytes), 0);
    while !reader.left.is_empty() {
        let code = section(&mut reader)?;
        let kind = reader.left.first().copied().unwrap_or(0);
        let sound = match (code, last) {
            (0x75, 0 | 0x75) => matches!(kind, 0xa0 | 0xb0),
            (0x76, 0 | 0x76) => matches!(kind, 0x45 | 0xc0 | 0xd0),
            (0x77, 0) => true,
            (0x78, 0x75..=0x77) => matches!(kind, 0xc1 | 0xd1),
            _ => false,
        };
        if !sound {
            return Err(DecodeError::Field("section"));
        }
        reader.check()?;
        last = code;
    }
    Ok(())
}
