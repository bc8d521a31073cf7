//! Decoding and encoding of a composite's fields of primitive types.

use crate::codec::{
    encode, format_code, put_fixed, put_u32, put_u64, put_variable, symbol, text, DecodeError, Reader, Result,
};
use crate::composite::Field;
use crate::value::Value;
use std::fmt;

/// The field is not of the expected type. `FieldReader::next` replaces the empty name by the field's.
const WRONG_TYPE: DecodeError = DecodeError::Field("");

impl Field for bool {
    #[inline(always)]
    fn read(reader: &mut Reader<'_>) -> Result<bool> {
        match reader.byte()? {
            format_code::TRUE => Ok(true),
            format_code::FALSE => Ok(false),
            format_code::BOOLEAN => match reader.byte()? {
                0 => Ok(false),
                1 => Ok(true),
                _ => Err(WRONG_TYPE),
            },
            _ => Err(WRONG_TYPE),
        }
    }
    fn write(&self, out: &mut Vec<u8>) {
        out.push(if *self { format_code::TRUE } else { format_code::FALSE });
    }
}

impl Field for u8 {
    #[inline(always)]
    fn read(reader: &mut Reader<'_>) -> Result<u8> {
        if reader.byte()? != format_code::UBYTE {
            return Err(WRONG_TYPE);
        }
        reader.byte()
    }
    fn write(&self, out: &mut Vec<u8>) {
        out.extend([format_code::UBYTE, *self]);
    }
}

impl Field for u16 {
    #[inline(always)]
    fn read(reader: &mut Reader<'_>) -> Result<u16> {
        if reader.byte()? != format_code::USHORT {
            return Err(WRONG_TYPE);
        }
        Ok((u16::from(reader.byte()?) << 8) | u16::from(reader.byte()?))
    }
    fn write(&self, out: &mut Vec<u8>) {
        put_fixed(out, format_code::USHORT, &self.to_be_bytes());
    }
}

impl Field for u32 {
    #[inline(always)]
    fn read(reader: &mut Reader<'_>) -> Result<u32> {
        match reader.byte()? {
            format_code::UINT_0 => Ok(0),
            format_code::SMALL_UINT => Ok(reader.byte()?.into()),
            format_code::UINT => reader.u32(),
            _ => Err(WRONG_TYPE),
        }
    }
    fn write(&self, out: &mut Vec<u8>) {
        put_u32(out, *self);
    }
}

impl Field for u64 {
    #[inline(always)]
    fn read(reader: &mut Reader<'_>) -> Result<u64> {
        match reader.byte()? {
            format_code::ULONG_0 => Ok(0),
            format_code::SMALL_ULONG => Ok(reader.byte()?.into()),
            format_code::ULONG => Ok((u64::from(reader.u32()?) << 32) | u64::from(reader.u32()?)),
            _ => Err(WRONG_TYPE),
        }
    }
    fn write(&self, out: &mut Vec<u8>) {
        put_u64(out, *self);
    }
}

impl Field for String {
    #[inline]
    fn read(reader: &mut Reader<'_>) -> Result<String> {
        match reader.byte()? {
            code @ (format_code::STRING_8 | format_code::STRING_32) => {
                Ok(text(reader.variable(code)?)?.to_string())
            }
            _ => Err(WRONG_TYPE),
        }
    }
    fn write(&self, out: &mut Vec<u8>) {
        put_variable(out, format_code::STRING_8, self.as_bytes());
    }
    fn heap_bytes(&self) -> usize {
        self.capacity()
    }
}

impl Field for Vec<u8> {
    #[inline]
    fn read(reader: &mut Reader<'_>) -> Result<Vec<u8>> {
        match reader.byte()? {
            code @ (format_code::BINARY_8 | format_code::BINARY_32) => Ok(reader.variable(code)?.to_vec()),
            _ => Err(WRONG_TYPE),
        }
    }
    fn write(&self, out: &mut Vec<u8>) {
        put_variable(out, format_code::BINARY_8, self);
    }
    fn heap_bytes(&self) -> usize {
        self.capacity()
    }
}

impl Field for Box<Value> {
    fn read(reader: &mut Reader<'_>) -> Result<Box<Value>> {
        reader.value().map(Box::new)
    }
    fn write(&self, out: &mut Vec<u8>) {
        encode(self, out);
    }
    fn heap_bytes(&self) -> usize {
        size_of::<Value>() + Value::heap_bytes(self)
    }
}

impl Field for Value {
    #[inline]
    fn read(reader: &mut Reader<'_>) -> Result<Value> {
        reader.value()
    }
    fn write(&self, out: &mut Vec<u8>) {
        encode(self, out);
    }
    fn heap_bytes(&self) -> usize {
        Value::heap_bytes(self)
    }
}

/// A field that is a symbol.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Symbol(pub String);

impl Field for Symbol {
    #[inline]
    fn read(reader: &mut Reader<'_>) -> Result<Symbol> {
        match reader.byte()? {
            code @ (format_code::SYMBOL_8 | format_code::SYMBOL_32) => {
                Ok(Symbol(symbol(reader.variable(code)?)?.to_string()))
            }
            _ => Err(WRONG_TYPE),
        }
    }
    fn write(&self, out: &mut Vec<u8>) {
        put_variable(out, format_code::SYMBOL_8, self.0.as_bytes());
    }
    fn heap_bytes(&self) -> usize {
        self.0.capacity()
    }
}

/// The maximum length of a delivery tag (standard, section 2.8.7).
const MAX_TAG_BYTES: usize = 32;

/// A delivery tag: up to 32 octets (standard, section 2.8.7), stored inline.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Tag {
    len: u8,
    bytes: [u8; MAX_TAG_BYTES],
}

impl Tag {
    /// Creates a tag. Returns `None` if `bytes` is longer than 32 octets.
    pub fn new(bytes: &[u8]) -> Option<Tag> {
        let len = u8::try_from(bytes.len()).ok().filter(|len| usize::from(*len) <= MAX_TAG_BYTES)?;
        let mut tag = Tag { len, bytes: [0; MAX_TAG_BYTES] };
        tag.bytes[..bytes.len()].copy_from_slice(bytes);
        Some(tag)
    }

    /// Returns the tag's octets.
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes[..self.len as usize]
    }
}

impl From<u64> for Tag {
    fn from(number: u64) -> Tag {
        Tag::new(&number.to_be_bytes()).unwrap_or_default()
    }
}

impl fmt::Debug for Tag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Tag({:02x?})", self.as_bytes())
    }
}

impl Field for Tag {
    #[inline(always)]
    fn read(reader: &mut Reader<'_>) -> Result<Tag> {
        match reader.byte()? {
            code @ (format_code::BINARY_8 | format_code::BINARY_32) => {
                Tag::new(reader.variable(code)?).ok_or(WRONG_TYPE)
            }
            _ => Err(WRONG_TYPE),
        }
    }
    fn write(&self, out: &mut Vec<u8>) {
        put_variable(out, format_code::BINARY_8, self.as_bytes());
    }
}
