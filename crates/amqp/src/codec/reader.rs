//! Reads values. No length on the wire is trusted.

use super::error::{DecodeError, Result};
use super::format_code;
use crate::value::Value;

/// Deeper nesting is refused: it uses stack.
const MAX_DEPTH: u32 = 16;
/// Elements of no width have no octets on the wire: a decode may contain this many values more than it has octets, so
/// that its memory is in proportion to its input.
const MAX_EMPTY_VALUES: usize = 1024;

/// Reads values from octets.
pub struct Reader<'a> {
    /// The octets not read yet.
    pub remaining: &'a [u8],
    /// The values that may still be read.
    value_budget: usize,
}

impl<'a> Reader<'a> {
    /// A reader of these bytes.
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { remaining: bytes, value_budget: bytes.len() + MAX_EMPTY_VALUES }
    }

    /// The next octets.
    #[inline]
    pub fn octets(&mut self, count: usize) -> Result<&'a [u8]> {
        let (head, tail) = self.remaining.split_at_checked(count).ok_or(DecodeError::Short)?;
        self.remaining = tail;
        Ok(head)
    }

    /// The next octet.
    #[inline]
    pub fn byte(&mut self) -> Result<u8> {
        let (first, rest) = self.remaining.split_first().ok_or(DecodeError::Short)?;
        self.remaining = rest;
        Ok(*first)
    }

    #[inline]
    fn fixed<const N: usize>(&mut self) -> Result<[u8; N]> {
        let (head, tail) = self.remaining.split_first_chunk::<N>().ok_or(DecodeError::Short)?;
        self.remaining = tail;
        Ok(*head)
    }

    /// The next four octets, as a number.
    #[inline]
    pub fn u32(&mut self) -> Result<u32> {
        Ok(u32::from_be_bytes(self.fixed()?))
    }

    #[inline]
    fn u64(&mut self) -> Result<u64> {
        Ok(u64::from_be_bytes(self.fixed()?))
    }

    /// The octets of a binary, string or symbol with this format code.
    #[inline]
    pub fn variable(&mut self, code: u8) -> Result<&'a [u8]> {
        let size = if code < format_code::BINARY_32 { self.byte()? as usize } else { self.u32()? as usize };
        self.octets(size)
    }

    /// The body of a list, map or array with this format code, and the count of its elements.
    #[inline]
    pub fn compound(&mut self, code: u8) -> Result<(Reader<'a>, usize)> {
        let narrow = matches!(code, format_code::LIST_8 | format_code::MAP_8 | format_code::ARRAY_8);
        let size = if narrow { self.byte()? as usize } else { self.u32()? as usize };
        let mut body = Reader { remaining: self.octets(size)?, value_budget: self.value_budget };
        let count = if narrow { body.byte()? as usize } else { body.u32()? as usize };
        Ok((body, count))
    }

    /// The next value.
    pub fn value(&mut self) -> Result<Value> {
        self.value_at(MAX_DEPTH)
    }

    fn value_at(&mut self, depth: u32) -> Result<Value> {
        let code = self.byte()?;
        self.value_with_code(code, depth)
    }

    fn value_with_code(&mut self, code: u8, depth: u32) -> Result<Value> {
        let depth = depth.checked_sub(1).ok_or(DecodeError::TooMuch)?;
        self.value_budget = self.value_budget.checked_sub(1).ok_or(DecodeError::TooMuch)?;
        Ok(match code {
            format_code::DESCRIBED => {
                let descriptor = self.value_at(depth)?;
                Value::Described(Box::new(descriptor), Box::new(self.value_at(depth)?))
            }
            format_code::BINARY_8 | format_code::BINARY_32 => Value::Binary(self.variable(code)?.to_vec()),
            format_code::STRING_8 | format_code::STRING_32 => {
                Value::Text(text(self.variable(code)?)?.to_string())
            }
            format_code::SYMBOL_8 | format_code::SYMBOL_32 => {
                Value::Symbol(symbol(self.variable(code)?)?.to_string())
            }
            format_code::LIST_0 => Value::List(Vec::new()),
            format_code::LIST_8 | format_code::LIST_32 => {
                let (mut body, count) = self.compound(code)?;
                let items = (0..count).map(|_| body.value_at(depth)).collect::<Result<_>>()?;
                self.finish_compound(&body)?;
                Value::List(items)
            }
            format_code::MAP_8 | format_code::MAP_32 => {
                let (mut body, count) = self.compound(code)?;
                let pairs = map_pairs(&mut body, count, depth)?;
                self.finish_compound(&body)?;
                Value::Map(pairs)
            }
            format_code::ARRAY_8 | format_code::ARRAY_32 => {
                let (mut body, count) = self.compound(code)?;
                let items = body.array(count, depth)?;
                self.finish_compound(&body)?;
                Value::Array(items)
            }
            _ => self.fixed_width_value(code)?,
        })
    }

    /// The value of a fixed width that has this format code.
    fn fixed_width_value(&mut self, code: u8) -> Result<Value> {
        Ok(match code {
            format_code::NULL => Value::Null,
            format_code::TRUE => Value::Bool(true),
            format_code::FALSE => Value::Bool(false),
            format_code::BOOLEAN => match self.byte()? {
                0 => Value::Bool(false),
                1 => Value::Bool(true),
                _ => return Err(DecodeError::Code(code)),
            },
            format_code::UBYTE => Value::Ubyte(self.byte()?),
            format_code::USHORT => Value::Ushort(u16::from_be_bytes(self.fixed()?)),
            format_code::UINT_0 => Value::Uint(0),
            format_code::SMALL_UINT => Value::Uint(self.byte()?.into()),
            format_code::UINT => Value::Uint(self.u32()?),
            format_code::ULONG_0 => Value::Ulong(0),
            format_code::SMALL_ULONG => Value::Ulong(self.byte()?.into()),
            format_code::ULONG => Value::Ulong(self.u64()?),
            format_code::BYTE => Value::Byte(self.byte()? as i8),
            format_code::SHORT => Value::Short(i16::from_be_bytes(self.fixed()?)),
            format_code::SMALL_INT => Value::Int((self.byte()? as i8).into()),
            format_code::INT => Value::Int(self.u32()? as i32),
            format_code::SMALL_LONG => Value::Long((self.byte()? as i8).into()),
            format_code::LONG => Value::Long(self.u64()? as i64),
            format_code::FLOAT => Value::Float(f32::from_be_bytes(self.fixed()?)),
            format_code::DOUBLE => Value::Double(f64::from_be_bytes(self.fixed()?)),
            format_code::CHAR => Value::Char(char::from_u32(self.u32()?).ok_or(DecodeError::Text)?),
            format_code::TIMESTAMP => Value::Timestamp(self.u64()? as i64),
            format_code::DECIMAL32 => Value::Decimal32(self.fixed()?),
            format_code::DECIMAL64 => Value::Decimal64(self.fixed()?),
            format_code::DECIMAL128 => Value::Decimal128(self.fixed()?),
            format_code::UUID => Value::Uuid(self.fixed()?),
            _ => return Err(DecodeError::Code(code)),
        })
    }

    /// Checks that a compound contains as many octets as its elements have.
    fn finish_compound(&mut self, body: &Reader<'_>) -> Result<()> {
        self.value_budget = body.value_budget;
        if body.remaining.is_empty() {
            Ok(())
        } else {
            Err(DecodeError::TooMuch)
        }
    }

    /// The elements of an array share one constructor, whose descriptors, if any, are written once.
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
            let mut value = self.value_with_code(code, depth)?;
            for descriptor in descriptors.iter().rev() {
                value = Value::Described(Box::new(descriptor.clone()), Box::new(value));
            }
            Ok(value)
        };
        (0..count).map(element).collect()
    }

    /// Moves past the next value. It is checked as [`Reader::value`] does, except for keys that repeat in a map.
    pub fn skip_value(&mut self) -> Result<()> {
        self.skip_at(MAX_DEPTH)
    }

    fn skip_at(&mut self, depth: u32) -> Result<()> {
        let code = self.byte()?;
        self.skip_with_code(code, depth)
    }

    fn skip_with_code(&mut self, code: u8, depth: u32) -> Result<()> {
        let depth = depth.checked_sub(1).ok_or(DecodeError::TooMuch)?;
        self.value_budget = self.value_budget.checked_sub(1).ok_or(DecodeError::TooMuch)?;
        let width = match code {
            format_code::DESCRIBED => {
                self.skip_at(depth)?;
                return self.skip_at(depth);
            }
            format_code::NULL..=format_code::LIST_0 => 0,
            format_code::BOOLEAN => match self.byte()? {
                0 | 1 => 0,
                _ => return Err(DecodeError::Code(code)),
            },
            format_code::UBYTE..=format_code::SMALL_LONG => 1,
            format_code::USHORT | format_code::SHORT => 2,
            format_code::CHAR => return char::from_u32(self.u32()?).map(|_| ()).ok_or(DecodeError::Text),
            format_code::UINT..=format_code::DECIMAL32 => 4,
            format_code::ULONG..=format_code::DECIMAL64 => 8,
            format_code::DECIMAL128 | format_code::UUID => 16,
            format_code::BINARY_8 | format_code::BINARY_32 => return self.variable(code).map(|_| ()),
            format_code::STRING_8 | format_code::STRING_32 => return text(self.variable(code)?).map(|_| ()),
            format_code::SYMBOL_8 | format_code::SYMBOL_32 => {
                return symbol(self.variable(code)?).map(|_| ())
            }
            format_code::LIST_8 | format_code::LIST_32 | format_code::MAP_8 | format_code::MAP_32 => {
                let (mut body, count) = self.compound(code)?;
                if code & 1 == 1 && count % 2 == 1 {
                    return Err(DecodeError::Map);
                }
                for _ in 0..count {
                    body.skip_at(depth)?;
                }
                return self.finish_compound(&body);
            }
            format_code::ARRAY_8 | format_code::ARRAY_32 => return self.skip_array(code, depth),
            _ => return Err(DecodeError::Code(code)),
        };
        self.octets(width).map(|_| ())
    }

    fn skip_array(&mut self, code: u8, depth: u32) -> Result<()> {
        let (mut body, count) = self.compound(code)?;
        let mut element_code = body.byte()?;
        let mut descriptors = 0;
        while element_code == format_code::DESCRIBED {
            descriptors += 1;
            if descriptors > depth {
                return Err(DecodeError::TooMuch);
            }
            body.skip_at(depth)?;
            element_code = body.byte()?;
        }
        for _ in 0..count {
            body.skip_with_code(element_code, depth)?;
        }
        self.finish_compound(&body)
    }
}

/// In maps with fewer pairs than this, no key may repeat.
const MAX_CHECKED_KEYS: usize = 64;

fn map_pairs(body: &mut Reader<'_>, count: usize, depth: u32) -> Result<Vec<(Value, Value)>> {
    if !count.is_multiple_of(2) {
        return Err(DecodeError::Map);
    }
    let mut pairs: Vec<(Value, Value)> = Vec::new();
    for _ in 0..count / 2 {
        let pair = (body.value_at(depth)?, body.value_at(depth)?);
        // The cost is quadratic: for large maps the check is left to the reader of the map.
        if pairs.len() < MAX_CHECKED_KEYS && pairs.iter().any(|(key, _)| *key == pair.0) {
            return Err(DecodeError::Map);
        }
        pairs.push(pair);
    }
    Ok(pairs)
}

/// Octets as UTF-8 text.
pub fn text(bytes: &[u8]) -> Result<&str> {
    std::str::from_utf8(bytes).map_err(|_| DecodeError::Text)
}

/// Octets as ASCII.
pub fn symbol(bytes: &[u8]) -> Result<&str> {
    if bytes.is_ascii() {
        text(bytes)
    } else {
        Err(DecodeError::Text)
    }
}

/// Decodes the first value and moves past it.
///
/// # Errors
/// The octets are no value, or one that is too large; then nothing is moved.
pub fn decode(bytes: &mut &[u8]) -> Result<Value> {
    let mut reader = Reader::new(bytes);
    let value = reader.value()?;
    *bytes = reader.remaining;
    Ok(value)
}
