//! Decodes values. Lengths and counts in the input are untrusted.

use super::error::{DecodeError, Result};
use super::format_code;
use crate::value::Value;

/// The maximum nesting depth of a value. Decoding is recursive, so the depth bounds its use of the stack.
const MAX_DEPTH: u32 = 16;
/// How many more values than octets an input may contain. Array elements of width 0 take no octets, so without this
/// limit a few octets could make the decoder allocate any number of values.
const MAX_ZERO_WIDTH_VALUES: usize = 1024;

/// A cursor that decodes values from a byte slice.
pub struct Reader<'a> {
    /// The octets that are not decoded yet. The caller may advance it past octets that it decodes itself.
    pub remaining: &'a [u8],
    /// The number of values that may still be decoded. Nested values count, too.
    value_budget: usize,
}

impl<'a> Reader<'a> {
    /// Creates a reader at the start of `bytes`.
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { remaining: bytes, value_budget: bytes.len() + MAX_ZERO_WIDTH_VALUES }
    }

    /// Reads `count` octets as they are. They are borrowed from the input.
    #[inline]
    pub fn octets(&mut self, count: usize) -> Result<&'a [u8]> {
        let (head, tail) = self.remaining.split_at_checked(count).ok_or(DecodeError::Truncated)?;
        self.remaining = tail;
        Ok(head)
    }

    /// Reads one octet, for example a format code.
    #[inline]
    pub fn byte(&mut self) -> Result<u8> {
        let (first, rest) = self.remaining.split_first().ok_or(DecodeError::Truncated)?;
        self.remaining = rest;
        Ok(*first)
    }

    #[inline]
    fn fixed<const N: usize>(&mut self) -> Result<[u8; N]> {
        let (head, tail) = self.remaining.split_first_chunk::<N>().ok_or(DecodeError::Truncated)?;
        self.remaining = tail;
        Ok(*head)
    }

    /// Reads four octets as a big-endian number.
    #[inline]
    pub fn u32(&mut self) -> Result<u32> {
        Ok(u32::from_be_bytes(self.fixed()?))
    }

    #[inline]
    fn u64(&mut self) -> Result<u64> {
        Ok(u64::from_be_bytes(self.fixed()?))
    }

    /// Reads the content of a binary, string or symbol with this format code.
    #[inline]
    pub fn variable(&mut self, code: u8) -> Result<&'a [u8]> {
        let size = if code < format_code::BINARY_32 { self.byte()? as usize } else { self.u32()? as usize };
        self.octets(size)
    }

    /// Reads the size and the element count of a list, map or array with this format code. Returns a reader of its
    /// elements, and their count.
    #[inline]
    pub fn compound(&mut self, code: u8) -> Result<(Reader<'a>, usize)> {
        let narrow = matches!(code, format_code::LIST_8 | format_code::MAP_8 | format_code::ARRAY_8);
        let size = if narrow { self.byte()? as usize } else { self.u32()? as usize };
        let mut body = Reader { remaining: self.octets(size)?, value_budget: self.value_budget };
        let count = if narrow { body.byte()? as usize } else { body.u32()? as usize };
        Ok((body, count))
    }

    /// Decodes the next value.
    pub fn value(&mut self) -> Result<Value> {
        self.value_at(MAX_DEPTH)
    }

    fn value_at(&mut self, depth: u32) -> Result<Value> {
        let code = self.byte()?;
        self.value_with_code(code, depth)
    }

    fn value_with_code(&mut self, code: u8, depth: u32) -> Result<Value> {
        let depth = depth.checked_sub(1).ok_or(DecodeError::LimitExceeded)?;
        self.value_budget = self.value_budget.checked_sub(1).ok_or(DecodeError::LimitExceeded)?;
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

    /// Decodes a fixed-width value with this format code.
    fn fixed_width_value(&mut self, code: u8) -> Result<Value> {
        Ok(match code {
            format_code::NULL => Value::Null,
            format_code::TRUE => Value::Bool(true),
            format_code::FALSE => Value::Bool(false),
            format_code::BOOLEAN => match self.byte()? {
                0 => Value::Bool(false),
                1 => Value::Bool(true),
                _ => return Err(DecodeError::InvalidConstructor(code)),
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
            format_code::CHAR => Value::Char(char::from_u32(self.u32()?).ok_or(DecodeError::InvalidText)?),
            format_code::TIMESTAMP => Value::Timestamp(self.u64()? as i64),
            format_code::DECIMAL32 => Value::Decimal32(self.fixed()?),
            format_code::DECIMAL64 => Value::Decimal64(self.fixed()?),
            format_code::DECIMAL128 => Value::Decimal128(self.fixed()?),
            format_code::UUID => Value::Uuid(self.fixed()?),
            _ => return Err(DecodeError::InvalidConstructor(code)),
        })
    }

    /// Completes a compound value whose elements have been read from `body`: takes over its value budget, and rejects
    /// octets after the last element.
    fn finish_compound(&mut self, body: &Reader<'_>) -> Result<()> {
        self.value_budget = body.value_budget;
        if body.remaining.is_empty() {
            Ok(())
        } else {
            Err(DecodeError::LimitExceeded)
        }
    }

    /// Decodes an array's elements. They share one constructor, which precedes them; any descriptors are part of it.
    fn array(&mut self, count: usize, depth: u32) -> Result<Vec<Value>> {
        let mut descriptors = Vec::new();
        let mut code = self.byte()?;
        while code == format_code::DESCRIBED {
            if descriptors.len() as u32 >= depth {
                return Err(DecodeError::LimitExceeded);
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

    /// Skips the next value. Validates it as [`Reader::value`] does, but does not look for duplicate keys in maps.
    pub fn skip_value(&mut self) -> Result<()> {
        self.skip_at(MAX_DEPTH)
    }

    fn skip_at(&mut self, depth: u32) -> Result<()> {
        let code = self.byte()?;
        self.skip_with_code(code, depth)
    }

    fn skip_with_code(&mut self, code: u8, depth: u32) -> Result<()> {
        let depth = depth.checked_sub(1).ok_or(DecodeError::LimitExceeded)?;
        self.value_budget = self.value_budget.checked_sub(1).ok_or(DecodeError::LimitExceeded)?;
        let width = match code {
            format_code::DESCRIBED => {
                self.skip_at(depth)?;
                return self.skip_at(depth);
            }
            format_code::NULL..=format_code::LIST_0 => 0,
            format_code::BOOLEAN => match self.byte()? {
                0 | 1 => 0,
                _ => return Err(DecodeError::InvalidConstructor(code)),
            },
            format_code::UBYTE..=format_code::SMALL_LONG => 1,
            format_code::USHORT | format_code::SHORT => 2,
            format_code::CHAR => {
                return char::from_u32(self.u32()?).map(|_| ()).ok_or(DecodeError::InvalidText)
            }
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
                // The format codes of maps are odd, those of lists are even.
                if code & 1 == 1 && count % 2 == 1 {
                    return Err(DecodeError::InvalidMap);
                }
                for _ in 0..count {
                    body.skip_at(depth)?;
                }
                return self.finish_compound(&body);
            }
            format_code::ARRAY_8 | format_code::ARRAY_32 => return self.skip_array(code, depth),
            _ => return Err(DecodeError::InvalidConstructor(code)),
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
                return Err(DecodeError::LimitExceeded);
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

/// How many pairs of a map are checked for duplicate keys.
const MAX_CHECKED_KEYS: usize = 64;

fn map_pairs(body: &mut Reader<'_>, count: usize, depth: u32) -> Result<Vec<(Value, Value)>> {
    if !count.is_multiple_of(2) {
        return Err(DecodeError::InvalidMap);
    }
    let mut pairs: Vec<(Value, Value)> = Vec::new();
    for _ in 0..count / 2 {
        let pair = (body.value_at(depth)?, body.value_at(depth)?);
        // The cost is quadratic in the number of pairs: beyond the limit, the user of the map has to check its keys.
        if pairs.len() < MAX_CHECKED_KEYS && pairs.iter().any(|(key, _)| *key == pair.0) {
            return Err(DecodeError::InvalidMap);
        }
        pairs.push(pair);
    }
    Ok(pairs)
}

/// Validates octets as UTF-8.
pub fn text(bytes: &[u8]) -> Result<&str> {
    std::str::from_utf8(bytes).map_err(|_| DecodeError::InvalidText)
}

/// Validates octets as ASCII, the character set of symbols.
pub fn symbol(bytes: &[u8]) -> Result<&str> {
    if bytes.is_ascii() {
        text(bytes)
    } else {
        Err(DecodeError::InvalidText)
    }
}

/// Decodes the value at the start of `bytes` and advances past it.
///
/// # Errors
/// The octets are not a valid value, or exceed a limit; `bytes` is then unchanged.
pub fn decode(bytes: &mut &[u8]) -> Result<Value> {
    let mut reader = Reader::new(bytes);
    let value = reader.value()?;
    *bytes = reader.remaining;
    Ok(value)
}
