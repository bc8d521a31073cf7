//! Values on the wire (part 1, sections 1.2 to 1.6): a reader that never trusts a length, and a writer.

use crate::value::Value;
use std::fmt;

/// Bytes that are not AMQP 1.0, or more of it than is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// A value ends before its time.
    Short,
    /// A constructor that the standard does not know.
    Code(u8),
    /// Text that is not UTF-8, a symbol that is not ASCII, or a character that is none.
    Text,
    /// Values nested deeper, or more of them, than is taken.
    TooMuch,
    /// A map with an odd count or with one key twice.
    Map,
    /// A frame above the size that was agreed, or below its own header.
    FrameSize,
    /// A field that is missing or of the wrong type.
    Field(&'static str),
    /// A descriptor that means nothing here.
    Descriptor,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Short => write!(f, "a value is cut short"),
            DecodeError::Code(code) => write!(f, "unknown constructor {code:#04x}"),
            DecodeError::Text => write!(f, "text that cannot be read"),
            DecodeError::TooMuch => write!(f, "nested too deep or too many values"),
            DecodeError::Map => write!(f, "a map of an odd count or with a key twice"),
            DecodeError::FrameSize => write!(f, "a frame of the wrong size"),
            DecodeError::Field(name) => write!(f, "field {name} is missing or of the wrong type"),
            DecodeError::Descriptor => write!(f, "an unexpected descriptor"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// What decoding gives.
pub type Result<T> = std::result::Result<T, DecodeError>;

/// Deeper nesting is refused: it costs stack.
const MOST_DEPTH: u32 = 16;
/// Elements of no width cost nothing on the wire: all of a decode together may hold this many beyond its
/// octets, so that memory stays in proportion to what came.
const MOST_EMPTY: usize = 1024;

/// Reads values off bytes.
pub struct Reader<'a> {
    /// What has not been read.
    pub left: &'a [u8],
    budget: usize,
}

impl<'a> Reader<'a> {
    /// A reader of these bytes.
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { left: bytes, budget: bytes.len() + MOST_EMPTY }
    }

    /// The next octets.
    #[inline]
    pub fn take(&mut self, count: usize) -> Result<&'a [u8]> {
        let (head, tail) = self.left.split_at_checked(count).ok_or(DecodeError::Short)?;
        self.left = tail;
        Ok(head)
    }

    /// The next octet.
    #[inline]
    pub fn byte(&mut self) -> Result<u8> {
        let (first, rest) = self.left.split_first().ok_or(DecodeError::Short)?;
        self.left = rest;
        Ok(*first)
    }

    #[inline]
    fn fixed<const N: usize>(&mut self) -> Result<[u8; N]> {
        let (head, tail) = self.left.split_first_chunk::<N>().ok_or(DecodeError::Short)?;
        self.left = tail;
        Ok(*head)
    }

    /// 32 bits.
    #[inline]
    pub fn u32(&mut self) -> Result<u32> {
        Ok(u32::from_be_bytes(self.fixed()?))
    }

    #[inline]
    fn u64(&mut self) -> Result<u64> {
        Ok(u64::from_be_bytes(self.fixed()?))
    }

    /// The octets of a binary, text or symbol whose constructor was this.
    #[inline]
    pub fn variable(&mut self, code: u8) -> Result<&'a [u8]> {
        let size = if code < 0xb0 { self.byte()? as usize } else { self.u32()? as usize };
        self.take(size)
    }

    /// The body of a compound whose constructor was this, and the count of its elements.
    #[inline]
    pub fn compound(&mut self, code: u8) -> Result<(Reader<'a>, usize)> {
        let narrow = matches!(code, 0xc0 | 0xc1 | 0xe0);
        let size = if narrow { self.byte()? as usize } else { self.u32()? as usize };
        let mut body = Reader { left: self.take(size)?, budget: self.budget };
        let count = if narrow { body.byte()? as usize } else { body.u32()? as usize };
        Ok((body, count))
    }

    /// The next value.
    pub fn value(&mut self) -> Result<Value> {
        self.value_at(MOST_DEPTH)
    }

    fn value_at(&mut self, depth: u32) -> Result<Value> {
        let code = self.byte()?;
        self.value_of(code, depth)
    }

    fn value_of(&mut self, code: u8, depth: u32) -> Result<Value> {
        let depth = depth.checked_sub(1).ok_or(DecodeError::TooMuch)?;
        self.budget = self.budget.checked_sub(1).ok_or(DecodeError::TooMuch)?;
        Ok(match code {
            0x00 => {
                let descriptor = self.value_at(depth)?;
                Value::Described(Box::new(descriptor), Box::new(self.value_at(depth)?))
            }
            0x40 => Value::Null,
            0x41 => Value::Bool(true),
            0x42 => Value::Bool(false),
            0x56 => match self.byte()? {
                0 => Value::Bool(false),
                1 => Value::Bool(true),
                _ => return Err(DecodeError::Code(code)),
            },
            0x50 => Value::Ubyte(self.byte()?),
            0x60 => Value::Ushort(u16::from_be_bytes(self.fixed()?)),
            0x43 => Value::Uint(0),
            0x52 => Value::Uint(self.byte()?.into()),
            0x70 => Value::Uint(self.u32()?),
            0x44 => Value::Ulong(0),
            0x53 => Value::Ulong(self.byte()?.into()),
            0x80 => Value::Ulong(self.u64()?),
            0x51 => Value::Byte(self.byte()? as i8),
            0x61 => Value::Short(i16::from_be_bytes(self.fixed()?)),
            0x54 => Value::Int((self.byte()? as i8).into()),
            0x71 => Value::Int(self.u32()? as i32),
            0x55 => Value::Long((self.byte()? as i8).into()),
            0x81 => Value::Long(self.u64()? as i64),
            0x72 => Value::Float(f32::from_be_bytes(self.fixed()?)),
            0x82 => Value::Double(f64::from_be_bytes(self.fixed()?)),
            0x73 => Value::Char(char::from_u32(self.u32()?).ok_or(DecodeError::Text)?),
            0x83 => Value::Timestamp(self.u64()? as i64),
            0x74 => Value::Decimal32(self.fixed()?),
            0x84 => Value::Decimal64(self.fixed()?),
            0x94 => Value::Decimal128(self.fixed()?),
            0x98 => Value::Uuid(self.fixed()?),
            0xa0 | 0xb0 => Value::Binary(self.variable(code)?.to_vec()),
            0xa1 | 0xb1 => Value::Text(text(self.variable(code)?)?.to_string()),
            0xa3 | 0xb3 => Value::Symbol(symbol(self.variable(code)?)?.to_string()),
            0x45 => Value::List(Vec::new()),
            0xc0 | 0xd0 => {
                let (mut body, count) = self.compound(code)?;
                let items = (0..count).map(|_| body.value_at(depth)).collect::<Result<_>>()?;
                self.close(&body)?;
                Value::List(items)
            }
            0xc1 | 0xd1 => {
                let (mut body, count) = self.compound(code)?;
                let pairs = map_pairs(&mut body, count, depth)?;
                self.close(&body)?;
                Value::Map(pairs)
            }
            0xe0 | 0xf0 => {
                let (mut body, count) = self.compound(code)?;
                let items = body.array(count, depth)?;
                self.close(&body)?;
                Value::Array(items)
            }
            _ => return Err(DecodeError::Code(code)),
        })
    }

    /// A compound holds what its count says and no more.
    fn close(&mut self, body: &Reader<'_>) -> Result<()> {
        self.budget = body.budget;
        if body.left.is_empty() {
            Ok(())
        } else {
            Err(DecodeError::TooMuch)
        }
    }

    /// The elements of an array share one constructor, whose descriptors, if any, come once.
    fn array(&mut self, count: usize, depth: u32) -> Result<Vec<Value>> {
        let mut descriptors = Vec::new();
        let mut code = self.byte()?;
        while code == 0 {
            if descriptors.len() as u32 >= depth {
                return Err(DecodeError::TooMuch);
            }
            descriptors.push(self.value_at(depth)?);
            code = self.byte()?;
        }
        let element = |_| {
            let mut value = self.value_of(code, depth)?;
            for descriptor in descriptors.iter().rev() {
                value = Value::Described(Box::new(descriptor.clone()), Box::new(value));
            }
            Ok(value)
        };
        (0..count).map(element).collect()
    }

    /// Moves past the next value without keeping it, and checks it as [`Reader::value`] does but for keys
    /// that repeat in a map.
    pub fn check(&mut self) -> Result<()> {
        self.check_at(MOST_DEPTH)
    }

    fn check_at(&mut self, depth: u32) -> Result<()> {
        let code = self.byte()?;
        self.check_of(code, depth)
    }

    fn check_of(&mut self, code: u8, depth: u32) -> Result<()> {
        let depth = depth.checked_sub(1).ok_or(DecodeError::TooMuch)?;
        self.budget = self.budget.checked_sub(1).ok_or(DecodeError::TooMuch)?;
        let width = match code {
            0x00 => {
                self.check_at(depth)?;
                return self.check_at(depth);
            }
            0x40..=0x45 => 0,
            0x56 => match self.byte()? {
                0 | 1 => 0,
                _ => return Err(DecodeError::Code(code)),
            },
            0x50..=0x55 => 1,
            0x60 | 0x61 => 2,
            0x73 => return char::from_u32(self.u32()?).map(|_| ()).ok_or(DecodeError::Text),
            0x70..=0x74 => 4,
            0x80..=0x84 => 8,
            0x94 | 0x98 => 16,
            0xa0 | 0xb0 => return self.variable(code).map(|_| ()),
            0xa1 | 0xb1 => return text(self.variable(code)?).map(|_| ()),
            0xa3 | 0xb3 => return symbol(self.variable(code)?).map(|_| ()),
            0xc0 | 0xd0 | 0xc1 | 0xd1 => {
                let (mut body, count) = self.compound(code)?;
                if code & 1 == 1 && count % 2 == 1 {
                    return Err(DecodeError::Map);
                }
                for _ in 0..count {
                    body.check_at(depth)?;
                }
                return self.close(&body);
            }
            0xe0 | 0xf0 => {
                let (mut body, count) = self.compound(code)?;
                let mut kind = body.byte()?;
                let mut descriptors = 0;
                while kind == 0 {
                    descriptors += 1;
                    if descriptors > depth {
                        return Err(DecodeError::TooMuch);
                    }
                    body.check_at(depth)?;
                    kind = body.byte()?;
                }
                for _ in 0..count {
                    body.check_of(kind, depth)?;
                }
                return self.close(&body);
            }
            _ => return Err(DecodeError::Code(code)),
        };
        self.take(width).map(|_| ())
    }
}

fn map_pairs(body: &mut Reader<'_>, count: usize, depth: u32) -> Result<Vec<(Value, Value)>> {
    if !count.is_multiple_of(2) {
        return Err(DecodeError::Map);
    }
    let mut pairs: Vec<(Value, Value)> = Vec::new();
    for _ in 0..count / 2 {
        let pair = (body.value_at(depth)?, body.value_at(depth)?);
        // Looking at each pair costs the square of their number: beyond a few it is left to who reads it.
        if pairs.len() < 64 && pairs.iter().any(|(key, _)| *key == pair.0) {
            return Err(DecodeError::Map);
        }
        pairs.push(pair);
    }
    Ok(pairs)
}

/// UTF-8 text.
pub fn text(bytes: &[u8]) -> Result<&str> {
    std::str::from_utf8(bytes).map_err(|_| DecodeError::Text)
}

/// ASCII.
pub fn symbol(bytes: &[u8]) -> Result<&str> {
    if bytes.is_ascii() {
        text(bytes)
    } else {
        Err(DecodeError::Text)
    }
}

/// Decodes the first value and moves past it.
pub fn decode(bytes: &mut &[u8]) -> Result<Value> {
    let mut reader = Reader::new(bytes);
    let value = reader.value()?;
    *bytes = reader.left;
    Ok(value)
}

/// Encodes a value in its shortest form.
pub fn encode(value: &Value, out: &mut Vec<u8>) {
    match value {
        Value::Null => out.push(0x40),
        Value::Bool(true) => out.push(0x41),
        Value::Bool(false) => out.push(0x42),
        Value::Uint(n) => put_u32(out, *n),
        Value::Ulong(n) => put_u64(out, *n),
        Value::Int(n) => match i8::try_from(*n) {
            Ok(small) => out.extend([0x54, small as u8]),
            Err(_) => put_fixed(out, 0x71, &n.to_be_bytes()),
        },
        Value::Long(n) => match i8::try_from(*n) {
            Ok(small) => out.extend([0x55, small as u8]),
            Err(_) => put_fixed(out, 0x81, &n.to_be_bytes()),
        },
        Value::Binary(bytes) => put_variable(out, 0xa0, bytes),
        Value::Text(text) => put_variable(out, 0xa1, text.as_bytes()),
        Value::Symbol(text) => put_variable(out, 0xa3, text.as_bytes()),
        Value::List(items) if items.is_empty() => out.push(0x45),
        Value::List(items) => put_list(out, items),
        Value::Map(pairs) => {
            let start = open_compound(out, 0xc1);
            for (key, value) in pairs {
                encode(key, out);
                encode(value, out);
            }
            close_compound(out, start, pairs.len() * 2);
        }
        Value::Array(items) => match items.first().map(constructor) {
            Some(first) if items[1..].iter().any(|item| constructor(item) != first) => put_list(out, items),
            first => {
                let start = open_compound(out, 0xe0);
                out.extend(first.unwrap_or(vec![0x40]));
                items.iter().for_each(|item| put_element(out, item));
                close_compound(out, start, items.len());
            }
        },
        Value::Described(descriptor, value) => {
            out.push(0x00);
            encode(descriptor, out);
            encode(value, out);
        }
        fixed => {
            out.extend(constructor(fixed));
            put_element(out, fixed);
        }
    }
}

fn put_list(out: &mut Vec<u8>, items: &[Value]) {
    let start = open_compound(out, 0xc0);
    items.iter().for_each(|item| encode(item, out));
    close_compound(out, start, items.len());
}

/// The constructor that holds every value of this one's type, as an array's elements share it.
fn constructor(value: &Value) -> Vec<u8> {
    vec![match value {
        Value::Null => 0x40,
        Value::Bool(_) => 0x56,
        Value::Ubyte(_) => 0x50,
        Value::Ushort(_) => 0x60,
        Value::Uint(_) => 0x70,
        Value::Ulong(_) => 0x80,
        Value::Byte(_) => 0x51,
        Value::Short(_) => 0x61,
        Value::Int(_) => 0x71,
        Value::Long(_) => 0x81,
        Value::Float(_) => 0x72,
        Value::Double(_) => 0x82,
        Value::Decimal32(_) => 0x74,
        Value::Decimal64(_) => 0x84,
        Value::Decimal128(_) => 0x94,
        Value::Char(_) => 0x73,
        Value::Timestamp(_) => 0x83,
        Value::Uuid(_) => 0x98,
        Value::Binary(_) => 0xb0,
        Value::Text(_) => 0xb1,
        Value::Symbol(_) => 0xb3,
        Value::List(_) => 0xd0,
        Value::Map(_) => 0xd1,
        Value::Array(_) => 0xf0,
        Value::Described(descriptor, inner) => {
            let mut out = vec![0x00];
            encode(descriptor, &mut out);
            out.extend(constructor(inner));
            return out;
        }
    }]
}

/// A value without its constructor, in the form that [`constructor`] names.
fn put_element(out: &mut Vec<u8>, value: &Value) {
    let sized = |out: &mut Vec<u8>, bytes: &[u8]| {
        out.extend((bytes.len() as u32).to_be_bytes());
        out.extend(bytes);
    };
    let compound = |out: &mut Vec<u8>, count: usize, body: &[u8]| {
        out.extend((body.len() as u32 + 4).to_be_bytes());
        out.extend((count as u32).to_be_bytes());
        out.extend(body);
    };
    match value {
        Value::Null => {}
        Value::Bool(b) => out.push(u8::from(*b)),
        Value::Ubyte(n) => out.push(*n),
        Value::Ushort(n) => out.extend(n.to_be_bytes()),
        Value::Uint(n) => out.extend(n.to_be_bytes()),
        Value::Ulong(n) => out.extend(n.to_be_bytes()),
        Value::Byte(n) => out.extend(n.to_be_bytes()),
        Value::Short(n) => out.extend(n.to_be_bytes()),
        Value::Int(n) => out.extend(n.to_be_bytes()),
        Value::Long(n) | Value::Timestamp(n) => out.extend(n.to_be_bytes()),
        Value::Float(n) => out.extend(n.to_be_bytes()),
        Value::Double(n) => out.extend(n.to_be_bytes()),
        Value::Decimal32(bytes) => out.extend(bytes),
        Value::Decimal64(bytes) => out.extend(bytes),
        Value::Decimal128(bytes) | Value::Uuid(bytes) => out.extend(bytes),
        Value::Char(c) => out.extend((*c as u32).to_be_bytes()),
        Value::Binary(bytes) => sized(out, bytes),
        Value::Text(text) | Value::Symbol(text) => sized(out, text.as_bytes()),
        Value::List(items) => {
            let mut body = Vec::new();
            items.iter().for_each(|item| encode(item, &mut body));
            compound(out, items.len(), &body);
        }
        Value::Map(pairs) => {
            let mut body = Vec::new();
            for (key, value) in pairs {
                encode(key, &mut body);
                encode(value, &mut body);
            }
            compound(out, pairs.len() * 2, &body);
        }
        Value::Array(items) => {
            // Elements that differ are the writer's mistake: here, with no room for a list, the first type
            // wins and the others are left out.
            let first = items.first().map_or(vec![0x40], constructor);
            let alike: Vec<&Value> = items.iter().filter(|item| constructor(item) == first).collect();
            let mut body = first;
            alike.iter().for_each(|item| put_element(&mut body, item));
            compound(out, alike.len(), &body);
        }
        Value::Described(_, inner) => put_element(out, inner),
    }
}

/// Writes a value of a fixed width.
pub fn put_fixed(out: &mut Vec<u8>, code: u8, bytes: &[u8]) {
    out.push(code);
    out.extend(bytes);
}

/// Writes a uint in its shortest form.
pub fn put_u32(out: &mut Vec<u8>, n: u32) {
    match n {
        0 => out.push(0x43),
        1..=255 => out.extend([0x52, n as u8]),
        _ => put_fixed(out, 0x70, &n.to_be_bytes()),
    }
}

/// Writes a ulong in its shortest form.
pub fn put_u64(out: &mut Vec<u8>, n: u64) {
    match n {
        0 => out.push(0x44),
        1..=255 => out.extend([0x53, n as u8]),
        _ => put_fixed(out, 0x80, &n.to_be_bytes()),
    }
}

/// Writes a binary, text or symbol, whose narrow constructor is given.
pub fn put_variable(out: &mut Vec<u8>, narrow: u8, bytes: &[u8]) {
    match u8::try_from(bytes.len()) {
        Ok(size) => out.extend([narrow, size]),
        Err(_) => put_fixed(out, narrow + 0x10, &(bytes.len() as u32).to_be_bytes()),
    }
    out.extend(bytes);
}

/// Starts a compound whose narrow constructor is given; its elements follow.
pub fn open_compound(out: &mut Vec<u8>, narrow: u8) -> usize {
    out.extend([narrow, 0, 0]);
    out.len()
}

/// Ends a compound: its size and count are written, wide where they need it.
pub fn close_compound(out: &mut Vec<u8>, start: usize, count: usize) {
    let size = out.len() - start;
    if count < 256 && size < 255 {
        out[start - 2] = size as u8 + 1;
        out[start - 1] = count as u8;
    } else {
        out[start - 3] += 0x10;
        let mut wide = [0; 8];
        wide[..4].copy_from_slice(&(size as u32 + 4).to_be_bytes());
        wide[4..].copy_from_slice(&(count as u32).to_be_bytes());
        out.splice(start - 2..start, wide);
    }
}
