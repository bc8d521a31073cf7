//! AMQP 1.0 on the wire: types, frames, performatives, and the sections of a message.

#![allow(missing_docs)]

use std::fmt;

/// Bytes that are not AMQP 1.0, or more of it than is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CodecError {
    /// A value ends before its time.
    Short,
    /// A constructor that the standard does not know.
    Code(u8),
    /// Text that is not UTF-8.
    Text,
    /// Values nested deeper, or counted higher, than is taken.
    TooMuch,
    /// A frame above the size that was agreed, or below its own header.
    FrameSize,
    /// A field of the wrong type, or a performative without a list.
    Field(&'static str),
    /// A descriptor that means nothing here.
    Descriptor(u64),
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CodecError::Short => write!(f, "a value is cut short"),
            CodecError::Code(code) => write!(f, "unknown constructor {code:#04x}"),
            CodecError::Text => write!(f, "text is not UTF-8"),
            CodecError::TooMuch => write!(f, "nested too deep or too many"),
            CodecError::FrameSize => write!(f, "a frame of the wrong size"),
            CodecError::Field(name) => write!(f, "field {name} is missing or of the wrong type"),
            CodecError::Descriptor(code) => write!(f, "unexpected descriptor {code:#x}"),
        }
    }
}

type Result<T> = std::result::Result<T, CodecError>;

const MOST_DEPTH: u32 = 16;
/// Elements without a body cost nothing on the wire, so that their count needs a bound of its own.
const MOST_EMPTY: usize = 1024;

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Ubyte(u8),
    Ushort(u16),
    Uint(u32),
    Ulong(u64),
    Byte(i8),
    Short(i16),
    Int(i32),
    Long(i64),
    /// Types that are only passed on (floats, decimals, char, timestamp, uuid), as they came.
    Fixed(u8, Vec<u8>),
    Binary(Vec<u8>),
    Text(String),
    Symbol(String),
    List(Vec<Value>),
    Map(Vec<(Value, Value)>),
    Array(Vec<Value>),
    Described(Box<Value>, Box<Value>),
}

impl Value {
    /// A composite: a list under a standard descriptor.
    pub fn composite(code: u64, fields: Vec<Value>) -> Value {
        Value::Described(Box::new(Value::Ulong(code)), Box::new(Value::List(fields)))
    }

    /// The descriptor and the fields of a composite.
    pub fn as_composite(&self) -> Option<(u64, &[Value])> {
        match self {
            Value::Described(code, fields) => match (&**code, &**fields) {
                (Value::Ulong(code), Value::List(fields)) => Some((*code, fields)),
                (Value::Symbol(name), Value::List(fields)) => Some((descriptor(name)?, fields)),
                _ => None,
            },
            _ => None,
        }
    }
}

/// Descriptors may come by name.
fn descriptor(name: &str) -> Option<u64> {
    let names = [
        ("amqp:received:list", 0x23),
        ("amqp:accepted:list", 0x24),
        ("amqp:rejected:list", 0x25),
        ("amqp:released:list", 0x26),
        ("amqp:modified:list", 0x27),
        ("amqp:source:list", 0x28),
        ("amqp:target:list", 0x29),
    ];
    names.iter().find(|(known, _)| *known == name).map(|(_, code)| *code)
}

struct Reader<'a> {
    left: &'a [u8],
}

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Result<&'a [u8]> {
        let (head, tail) = self.left.split_at_checked(count).ok_or(CodecError::Short)?;
        self.left = tail;
        Ok(head)
    }

    fn number(&mut self, width: usize) -> Result<u64> {
        Ok(self.take(width)?.iter().fold(0, |n, b| (n << 8) | u64::from(*b)))
    }

    fn value(&mut self, depth: u32) -> Result<Value> {
        let code = self.number(1)? as u8;
        self.value_of(code, depth)
    }

    fn value_of(&mut self, code: u8, depth: u32) -> Result<Value> {
        let depth = depth.checked_sub(1).ok_or(CodecError::TooMuch)?;
        Ok(match code {
            0x00 => {
                let descriptor = self.value(depth)?;
                Value::Described(Box::new(descriptor), Box::new(self.value(depth)?))
            }
            0x40 => Value::Null,
            0x41 => Value::Bool(true),
            0x42 => Value::Bool(false),
            0x56 => Value::Bool(self.number(1)? != 0),
            0x50 => Value::Ubyte(self.number(1)? as u8),
            0x60 => Value::Ushort(self.number(2)? as u16),
            0x43 => Value::Uint(0),
            0x52 => Value::Uint(self.number(1)? as u32),
            0x70 => Value::Uint(self.number(4)? as u32),
            0x44 => Value::Ulong(0),
            0x53 => Value::Ulong(self.number(1)?),
            0x80 => Value::Ulong(self.number(8)?),
            0x51 => Value::Byte(self.number(1)? as i8),
            0x61 => Value::Short(self.number(2)? as i16),
            0x54 => Value::Int(i32::from(self.number(1)? as i8)),
            0x71 => Value::Int(self.number(4)? as i32),
            0x55 => Value::Long(i64::from(self.number(1)? as i8)),
            0x81 => Value::Long(self.number(8)? as i64),
            0x72..=0x74 => Value::Fixed(code, self.take(4)?.to_vec()),
            0x82..=0x84 => Value::Fixed(code, self.take(8)?.to_vec()),
            0x94 | 0x98 => Value::Fixed(code, self.take(16)?.to_vec()),
            0xa0 | 0xb0 => Value::Binary(self.variable(code)?.to_vec()),
            0xa1 | 0xb1 => Value::Text(text(self.variable(code)?)?),
            0xa3 | 0xb3 => Value::Symbol(text(self.variable(code)?)?),
            0x45 => Value::List(Vec::new()),
            0xc0 | 0xd0 => {
                let (mut body, count) = self.compound(code)?;
                Value::List((0..count).map(|_| body.value(depth)).collect::<Result<_>>()?)
            }
            0xc1 | 0xd1 => {
                let (mut body, count) = self.compound(code)?;
                let pair = |_| Ok((body.value(depth)?, body.value(depth)?));
                Value::Map((0..count / 2).map(pair).collect::<Result<_>>()?)
            }
            0xe0 | 0xf0 => {
                let (mut body, count) = self.compound(code)?;
                let mut kind = body.number(1)? as u8;
                let descriptor = if kind == 0 { Some(body.value(depth)?) } else { None };
                if descriptor.is_some() {
                    kind = body.number(1)? as u8;
                }
                let element = |_| {
                    let value = body.value_of(kind, depth)?;
                    Ok(match &descriptor {
                        Some(d) => Value::Described(Box::new(d.clone()), Box::new(value)),
                        None => value,
                    })
                };
                Value::Array((0..count).map(element).collect::<Result<_>>()?)
            }
            _ => return Err(CodecError::Code(code)),
        })
    }

    fn variable(&mut self, code: u8) -> Result<&'a [u8]> {
        let size = self.number(if code < 0xb0 { 1 } else { 4 })?;
        self.take(size as usize)
    }

    /// The body of a compound and the count of its elements, which its size bounds.
    fn compound(&mut self, code: u8) -> Result<(Reader<'a>, usize)> {
        let width = if matches!(code, 0xc0 | 0xc1 | 0xe0) { 1 } else { 4 };
        let size = self.number(width)? as usize;
        let mut body = Reader { left: self.take(size)? };
        let count = body.number(width)? as usize;
        if count > body.left.len().max(MOST_EMPTY) {
            return Err(CodecError::TooMuch);
        }
        Ok((body, count))
    }
}

fn text(bytes: &[u8]) -> Result<String> {
    String::from_utf8(bytes.to_vec()).map_err(|_| CodecError::Text)
}

/// Decodes the first value and moves past it.
pub fn decode(bytes: &mut &[u8]) -> Result<Value> {
    let mut reader = Reader { left: bytes };
    let value = reader.value(MOST_DEPTH)?;
    *bytes = reader.left;
    Ok(value)
}

/// Encodes a value in its shortest form.
pub fn encode(value: &Value, out: &mut Vec<u8>) {
    match value {
        Value::Null => out.push(0x40),
        Value::Bool(true) => out.push(0x41),
        Value::Bool(false) => out.push(0x42),
        Value::Ubyte(n) => out.extend([0x50, *n]),
        Value::Ushort(n) => fixed(out, 0x60, &n.to_be_bytes()),
        Value::Uint(0) => out.push(0x43),
        Value::Uint(n @ 1..=255) => out.extend([0x52, *n as u8]),
        Value::Uint(n) => fixed(out, 0x70, &n.to_be_bytes()),
        Value::Ulong(0) => out.push(0x44),
        Value::Ulong(n @ 1..=255) => out.extend([0x53, *n as u8]),
        Value::Ulong(n) => fixed(out, 0x80, &n.to_be_bytes()),
        Value::Byte(n) => fixed(out, 0x51, &n.to_be_bytes()),
        Value::Short(n) => fixed(out, 0x61, &n.to_be_bytes()),
        Value::Int(n) => fixed(out, 0x71, &n.to_be_bytes()),
        Value::Long(n) => fixed(out, 0x81, &n.to_be_bytes()),
        Value::Fixed(code, bytes) => fixed(out, *code, bytes),
        Value::Binary(bytes) => variable(out, 0xa0, bytes),
        Value::Text(text) => variable(out, 0xa1, text.as_bytes()),
        Value::Symbol(text) => variable(out, 0xa3, text.as_bytes()),
        Value::List(items) if items.is_empty() => out.push(0x45),
        Value::List(items) => {
            let mut body = Vec::new();
            items.iter().for_each(|item| encode(item, &mut body));
            compound(out, 0xc0, items.len(), &body);
        }
        Value::Map(pairs) => {
            let mut body = Vec::new();
            for (key, value) in pairs {
                encode(key, &mut body);
                encode(value, &mut body);
            }
            compound(out, 0xc1, pairs.len() * 2, &body);
        }
        Value::Array(items) => {
            let mut body = Vec::new();
            array(items, &mut body);
            compound(out, 0xe0, items.len(), &body);
        }
        Value::Described(descriptor, value) => {
            out.push(0x00);
            encode(descriptor, out);
            encode(value, out);
        }
    }
}

/// The elements of an array share one constructor: symbols, which is all that this program sends,
/// take the wide one; of any other kind an empty array of nulls is written.
fn array(items: &[Value], body: &mut Vec<u8>) {
    let symbols = || items.iter().filter_map(|i| if let Value::Symbol(s) = i { Some(s) } else { None });
    if symbols().count() == items.len() {
        body.push(0xb3);
        for symbol in symbols() {
            body.extend((symbol.len() as u32).to_be_bytes());
            body.extend(symbol.as_bytes());
        }
    } else {
        body.push(0x40);
    }
}

fn fixed(out: &mut Vec<u8>, code: u8, bytes: &[u8]) {
    out.push(code);
    out.extend(bytes);
}

fn variable(out: &mut Vec<u8>, narrow: u8, bytes: &[u8]) {
    match u8::try_from(bytes.len()) {
        Ok(size) => out.extend([narrow, size]),
        Err(_) => fixed(out, narrow + 0x10, &(bytes.len() as u32).to_be_bytes()),
    }
    out.extend(bytes);
}

fn compound(out: &mut Vec<u8>, narrow: u8, count: usize, body: &[u8]) {
    if count < 256 && body.len() < 255 {
        out.extend([narrow, body.len() as u8 + 1, count as u8]);
    } else {
        fixed(out, narrow + 0x10, &(body.len() as u32 + 4).to_be_bytes());
        out.extend((count as u32).to_be_bytes());
    }
    out.extend(body);
}

// ---- Performatives ------------------------------------------------------------------------------

/// A type that a field can have.
trait Field: Sized {
    fn get(value: &Value) -> Option<Self>;
    fn put(&self) -> Value;
}

macro_rules! field {
    ($type:ty, $variant:ident) => {
        impl Field for $type {
            fn get(value: &Value) -> Option<Self> {
                if let Value::$variant(inner) = value {
                    Some(inner.clone())
                } else {
                    None
                }
            }
            fn put(&self) -> Value {
                Value::$variant(self.clone())
            }
        }
    };
}

field!(bool, Bool);
field!(u8, Ubyte);
field!(u16, Ushort);
field!(u32, Uint);
field!(u64, Ulong);
field!(String, Text);
field!(Vec<u8>, Binary);

impl Field for Value {
    fn get(value: &Value) -> Option<Self> {
        Some(value.clone())
    }
    fn put(&self) -> Value {
        self.clone()
    }
}

macro_rules! performatives {
    ($($name:ident $code:literal { $($field:ident: $type:ty),* $(,)? })*) => {
        $(
            #[derive(Clone, Debug, Default, PartialEq)]
            pub struct $name { $(pub $field: Option<$type>),* }

            impl $name {
                fn from_fields(fields: &[Value]) -> Result<$name> {
                    let mut fields = fields.iter();
                    Ok($name {
                        $($field: match fields.next() {
                            None | Some(Value::Null) => None,
                            Some(value) => {
                                Some(Field::get(value).ok_or(CodecError::Field(stringify!($field)))?)
                            }
                        }),*
                    })
                }

                fn to_value(&self) -> Value {
                    let mut fields: Vec<Value> =
                        vec![$(self.$field.as_ref().map_or(Value::Null, Field::put)),*];
                    while fields.last() == Some(&Value::Null) {
                        fields.pop();
                    }
                    Value::composite($code, fields)
                }
            }

            impl From<$name> for Performative {
                fn from(body: $name) -> Performative {
                    Performative::$name(body)
                }
            }
        )*

        /// The body of a frame.
        #[derive(Clone, Debug, PartialEq)]
        pub enum Performative { $($name($name)),* }

        impl Performative {
            fn from_value(value: &Value) -> Result<Performative> {
                let (code, fields) = value.as_composite().ok_or(CodecError::Field("performative"))?;
                match code {
                    $($code => Ok(Performative::$name($name::from_fields(fields)?)),)*
                    _ => Err(CodecError::Descriptor(code)),
                }
            }

            fn to_value(&self) -> Value {
                match self { $(Performative::$name(body) => body.to_value()),* }
            }
        }
    };
}

performatives! {
    Open 0x10 {
        container_id: String, hostname: String, max_frame_size: u32, channel_max: u16,
        idle_time_out: u32, outgoing_locales: Value, incoming_locales: Value,
        offered_capabilities: Value, desired_capabilities: Value, properties: Value,
    }
    Begin 0x11 {
        remote_channel: u16, next_outgoing_id: u32, incoming_window: u32, outgoing_window: u32,
        handle_max: u32, offered_capabilities: Value, desired_capabilities: Value, properties: Value,
    }
    Attach 0x12 {
        name: String, handle: u32, role: bool, snd_settle_mode: u8, rcv_settle_mode: u8,
        source: Value, target: Value, unsettled: Value, incomplete_unsettled: bool,
        initial_delivery_count: u32, max_message_size: u64, offered_capabilities: Value,
        desired_capabilities: Value, properties: Value,
    }
    Flow 0x13 {
        next_incoming_id: u32, incoming_window: u32, next_outgoing_id: u32, outgoing_window: u32,
        handle: u32, delivery_count: u32, link_credit: u32, available: u32, drain: bool,
        echo: bool, properties: Value,
    }
    Transfer 0x14 {
        handle: u32, delivery_id: u32, delivery_tag: Vec<u8>, message_format: u32, settled: bool,
        more: bool, rcv_settle_mode: u8, state: Value, resume: bool, aborted: bool, batchable: bool,
    }
    Disposition 0x15 {
        role: bool, first: u32, last: u32, settled: bool, state: Value, batchable: bool,
    }
    Detach 0x16 { handle: u32, closed: bool, error: Value }
    End 0x17 { error: Value }
    Close 0x18 { error: Value }
    SaslMechanisms 0x40 { mechanisms: Value }
    SaslInit 0x41 { mechanism: Value, initial_response: Vec<u8>, hostname: String }
    SaslChallenge 0x42 { challenge: Vec<u8> }
    SaslResponse 0x43 { response: Vec<u8> }
    SaslOutcome 0x44 { code: u8, additional_data: Vec<u8> }
}

/// An error, as detach, end, close and rejected carry it.
pub fn error(condition: &str, description: &str) -> Value {
    Value::composite(0x1d, vec![Value::Symbol(condition.into()), Value::Text(description.into())])
}

// ---- Frames -------------------------------------------------------------------------------------

/// Of the frame's type byte.
pub const AMQP: u8 = 0;
/// Of the frame's type byte.
pub const SASL: u8 = 1;

/// A frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    pub kind: u8,
    pub channel: u16,
    /// None in a heartbeat.
    pub body: Option<Performative>,
    pub payload: Vec<u8>,
}

/// Takes the first whole frame off the bytes.
pub fn take_frame(bytes: &mut Vec<u8>, most: u32) -> Result<Option<Frame>> {
    let mut head = Reader { left: bytes };
    if bytes.len() < 8 {
        return Ok(None);
    }
    let (size, skip) = (head.number(4)?, head.number(1)? * 4);
    let (kind, channel) = (head.number(1)? as u8, head.number(2)? as u16);
    if size > u64::from(most) || skip < 8 || size < skip {
        return Err(CodecError::FrameSize);
    }
    if (bytes.len() as u64) < size {
        return Ok(None);
    }
    let frame: Vec<u8> = bytes.drain(..size as usize).collect();
    let mut left = &frame[skip as usize..];
    let body = if left.is_empty() { None } else { Some(Performative::from_value(&decode(&mut left)?)?) };
    Ok(Some(Frame { kind, channel, body, payload: left.to_vec() }))
}

/// Appends a frame.
pub fn put_frame(out: &mut Vec<u8>, kind: u8, channel: u16, body: Option<&Performative>, payload: &[u8]) {
    let start = out.len();
    out.extend([0, 0, 0, 0, 2, kind]);
    out.extend(channel.to_be_bytes());
    if let Some(body) = body {
        encode(&body.to_value(), out);
    }
    out.extend(payload);
    let size = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&size.to_be_bytes());
}

// ---- Messages -----------------------------------------------------------------------------------

/// What the node reads of a message. The bytes after the header are passed on as they came.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    header: Vec<Value>,
    pub ttl: Option<u32>,
    pub properties: Vec<(String, Value)>,
    rest: Vec<u8>,
}

impl Message {
    /// Decodes a message: every section must be sound.
    pub fn decode(bytes: &[u8]) -> Result<Message> {
        let mut message =
            Message { header: Vec::new(), ttl: None, properties: Vec::new(), rest: bytes.to_vec() };
        let (mut left, mut last) = (bytes, 0);
        while !left.is_empty() {
            let Value::Described(code, section) = decode(&mut left)? else {
                return Err(CodecError::Field("section"));
            };
            let Value::Ulong(code @ 0x70..=0x78) = *code else { return Err(CodecError::Field("section")) };
            if code < last {
                return Err(CodecError::Descriptor(code));
            }
            last = code;
            match (code, *section) {
                (0x70, Value::List(fields)) => {
                    message.ttl = match fields.get(2) {
                        None | Some(Value::Null) => None,
                        Some(Value::Uint(ttl)) => Some(*ttl),
                        Some(_) => return Err(CodecError::Field("ttl")),
                    };
                    message.header = fields;
                    message.rest = left.to_vec();
                }
                (0x74, Value::Map(pairs)) => {
                    for (key, value) in pairs {
                        let Value::Text(key) = key else {
                            return Err(CodecError::Field("application-properties"));
                        };
                        message.properties.push((key, value));
                    }
                }
                (0x71 | 0x72 | 0x78, Value::Map(_)) | (0x73 | 0x76, Value::List(_)) => {}
                (0x75, Value::Binary(_)) | (0x77, _) => {}
                _ => return Err(CodecError::Descriptor(code)),
            }
        }
        if last < 0x75 {
            return Err(CodecError::Field("body"));
        }
        Ok(message)
    }

    /// A property's text or number, as text.
    pub fn property(&self, name: &str) -> Option<String> {
        let (_, value) = self.properties.iter().find(|(key, _)| key == name)?;
        match value {
            Value::Text(text) | Value::Symbol(text) => Some(text.clone()),
            Value::Uint(n) => Some(n.to_string()),
            Value::Ulong(n) => Some(n.to_string()),
            Value::Int(n) => Some(n.to_string()),
            Value::Long(n) => Some(n.to_string()),
            _ => None,
        }
    }

    /// The message as it goes on: unchanged but for how long the node will wait.
    pub fn encode(&self, ttl: u32) -> Vec<u8> {
        let mut header = self.header.clone();
        header.resize(header.len().max(3), Value::Null);
        header[2] = Value::Uint(ttl);
        let mut out = Vec::new();
        encode(&Value::composite(0x70, header), &mut out);
        out.extend(&self.rest);
        out
    }
}
