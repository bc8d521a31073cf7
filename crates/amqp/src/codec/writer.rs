//! Encodes values.

use super::format_code;
use crate::value::Value;

/// Appends the shortest encoding of a value to `out`.
pub fn encode(value: &Value, out: &mut Vec<u8>) {
    match value {
        Value::Null => out.push(format_code::NULL),
        Value::Bool(true) => out.push(format_code::TRUE),
        Value::Bool(false) => out.push(format_code::FALSE),
        Value::Uint(n) => put_u32(out, *n),
        Value::Ulong(n) => put_u64(out, *n),
        Value::Int(n) => put_i32(out, *n),
        Value::Long(n) => put_i64(out, *n),
        Value::Binary(bytes) => put_variable(out, format_code::BINARY_8, bytes),
        Value::Text(text) => put_variable(out, format_code::STRING_8, text.as_bytes()),
        Value::Symbol(text) => put_variable(out, format_code::SYMBOL_8, text.as_bytes()),
        Value::List(items) if items.is_empty() => out.push(format_code::LIST_0),
        Value::List(items) => put_list(out, items),
        Value::Map(pairs) => {
            let start = open_compound(out, format_code::MAP_8);
            encode_pairs(pairs, out);
            close_compound(out, start, pairs.len() * 2);
        }
        Value::Array(items) => put_array(out, items),
        Value::Described(descriptor, value) => {
            out.push(format_code::DESCRIBED);
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
    let start = open_compound(out, format_code::LIST_8);
    items.iter().for_each(|item| encode(item, out));
    close_compound(out, start, items.len());
}

/// Writes an array, or a list if the elements are of different types.
fn put_array(out: &mut Vec<u8>, items: &[Value]) {
    match items.first().map(constructor) {
        Some(first) if items[1..].iter().any(|item| constructor(item) != first) => put_list(out, items),
        first => {
            let start = open_compound(out, format_code::ARRAY_8);
            out.extend(first.unwrap_or(vec![format_code::NULL]));
            items.iter().for_each(|item| put_element(out, item));
            close_compound(out, start, items.len());
        }
    }
}

fn encode_pairs(pairs: &[(Value, Value)], out: &mut Vec<u8>) {
    for (key, value) in pairs {
        encode(key, out);
        encode(value, out);
    }
}

/// Returns the constructor that can encode every value of the same type: the one that an array's elements share.
fn constructor(value: &Value) -> Vec<u8> {
    vec![match value {
        Value::Null => format_code::NULL,
        Value::Bool(_) => format_code::BOOLEAN,
        Value::Ubyte(_) => format_code::UBYTE,
        Value::Ushort(_) => format_code::USHORT,
        Value::Uint(_) => format_code::UINT,
        Value::Ulong(_) => format_code::ULONG,
        Value::Byte(_) => format_code::BYTE,
        Value::Short(_) => format_code::SHORT,
        Value::Int(_) => format_code::INT,
        Value::Long(_) => format_code::LONG,
        Value::Float(_) => format_code::FLOAT,
        Value::Double(_) => format_code::DOUBLE,
        Value::Decimal32(_) => format_code::DECIMAL32,
        Value::Decimal64(_) => format_code::DECIMAL64,
        Value::Decimal128(_) => format_code::DECIMAL128,
        Value::Char(_) => format_code::CHAR,
        Value::Timestamp(_) => format_code::TIMESTAMP,
        Value::Uuid(_) => format_code::UUID,
        Value::Binary(_) => format_code::BINARY_32,
        Value::Text(_) => format_code::STRING_32,
        Value::Symbol(_) => format_code::SYMBOL_32,
        Value::List(_) => format_code::LIST_32,
        Value::Map(_) => format_code::MAP_32,
        Value::Array(_) => format_code::ARRAY_32,
        Value::Described(descriptor, inner) => {
            let mut out = vec![format_code::DESCRIBED];
            encode(descriptor, &mut out);
            out.extend(constructor(inner));
            return out;
        }
    }]
}

/// Writes a value without its constructor, in the encoding that [`constructor`] selects.
fn put_element(out: &mut Vec<u8>, value: &Value) {
    match value {
        Value::Binary(bytes) => put_variable_element(out, bytes),
        Value::Text(text) | Value::Symbol(text) => put_variable_element(out, text.as_bytes()),
        Value::List(items) => {
            let mut body = Vec::new();
            items.iter().for_each(|item| encode(item, &mut body));
            put_compound_element(out, items.len(), &body);
        }
        Value::Map(pairs) => {
            let mut body = Vec::new();
            encode_pairs(pairs, &mut body);
            put_compound_element(out, pairs.len() * 2, &body);
        }
        Value::Array(items) => {
            // Elements of different types are a mistake of the caller. The constructor already says array, so a list
            // cannot be written instead: elements that are not of the first one's type are omitted.
            let first = items.first().map_or(vec![format_code::NULL], constructor);
            let same_type: Vec<&Value> = items.iter().filter(|item| constructor(item) == first).collect();
            let mut body = first;
            same_type.iter().for_each(|item| put_element(&mut body, item));
            put_compound_element(out, same_type.len(), &body);
        }
        Value::Described(_, inner) => put_element(out, inner),
        fixed => put_fixed_element(out, fixed),
    }
}

/// Writes a fixed-width value without its constructor.
fn put_fixed_element(out: &mut Vec<u8>, value: &Value) {
    match value {
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
        // Null has width 0; `put_element` writes the others.
        Value::Null
        | Value::Binary(_)
        | Value::Text(_)
        | Value::Symbol(_)
        | Value::List(_)
        | Value::Map(_)
        | Value::Array(_)
        | Value::Described(..) => {}
    }
}

/// Writes a binary, string or symbol as an array element: its size in four octets, then its content.
fn put_variable_element(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend((bytes.len() as u32).to_be_bytes());
    out.extend(bytes);
}

/// Writes a list, map or array as an array element: its size and count in four octets each, then its elements.
fn put_compound_element(out: &mut Vec<u8>, count: usize, body: &[u8]) {
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend((count as u32).to_be_bytes());
    out.extend(body);
}

/// Writes a format code and the octets of its fixed-width value.
pub fn put_fixed(out: &mut Vec<u8>, code: u8, bytes: &[u8]) {
    out.push(code);
    out.extend(bytes);
}

/// Writes a uint in its shortest form.
pub fn put_u32(out: &mut Vec<u8>, n: u32) {
    match n {
        0 => out.push(format_code::UINT_0),
        1..=255 => out.extend([format_code::SMALL_UINT, n as u8]),
        _ => put_fixed(out, format_code::UINT, &n.to_be_bytes()),
    }
}

/// Writes a ulong in its shortest form.
pub fn put_u64(out: &mut Vec<u8>, n: u64) {
    match n {
        0 => out.push(format_code::ULONG_0),
        1..=255 => out.extend([format_code::SMALL_ULONG, n as u8]),
        _ => put_fixed(out, format_code::ULONG, &n.to_be_bytes()),
    }
}

/// Writes an int in its shortest form.
fn put_i32(out: &mut Vec<u8>, n: i32) {
    match i8::try_from(n) {
        Ok(small) => out.extend([format_code::SMALL_INT, small as u8]),
        Err(_) => put_fixed(out, format_code::INT, &n.to_be_bytes()),
    }
}

/// Writes a long in its shortest form.
fn put_i64(out: &mut Vec<u8>, n: i64) {
    match i8::try_from(n) {
        Ok(small) => out.extend([format_code::SMALL_LONG, small as u8]),
        Err(_) => put_fixed(out, format_code::LONG, &n.to_be_bytes()),
    }
}

/// Writes a binary, string or symbol. `narrow_code` is the type's format code with a 1-octet size; content that
/// needs a 4-octet size gets the wide one.
pub fn put_variable(out: &mut Vec<u8>, narrow_code: u8, bytes: &[u8]) {
    match u8::try_from(bytes.len()) {
        Ok(size) => out.extend([narrow_code, size]),
        Err(_) => put_fixed(out, narrow_code + format_code::WIDE_OFFSET, &(bytes.len() as u32).to_be_bytes()),
    }
    out.extend(bytes);
}

/// Starts a list, map or array and returns where its elements start. `narrow_code` is the type's format code with
/// 1-octet length fields. The caller writes the elements and then calls [`close_compound`].
pub fn open_compound(out: &mut Vec<u8>, narrow_code: u8) -> usize {
    out.extend([narrow_code, 0, 0]);
    out.len()
}

/// Completes the compound value whose elements start at `start`: fills in its size and count, in four octets each
/// if one octet is too few.
pub fn close_compound(out: &mut Vec<u8>, start: usize, count: usize) {
    let size = out.len() - start;
    if count < 256 && size < 255 {
        out[start - 2] = size as u8 + 1;
        out[start - 1] = count as u8;
    } else {
        out[start - 3] += format_code::WIDE_OFFSET;
        let mut wide = [0; 8];
        wide[..4].copy_from_slice(&(size as u32 + 4).to_be_bytes());
        wide[4..].copy_from_slice(&(count as u32).to_be_bytes());
        out.splice(start - 2..start, wide);
    }
}
