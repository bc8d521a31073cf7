//! Format codes of the primitive types (standard, section 1.6).
//!
//! An encoded value starts with its format code. The high nibble selects how the length is encoded: 4 to 9 are fixed
//! widths of 0, 1, 2, 4, 8 and 16 octets; A and B have a size field, C and D a size and an element count, E and F are
//! arrays. In each of the last three pairs, the first has length fields of 1 octet and the second of 4. The suffixes
//! `_8` and `_32` are the width of these fields in bits; `_0` marks a zero or an empty list without further octets.

/// Introduces a described value: the descriptor follows, then the value.
pub const DESCRIBED: u8 = 0x00;
pub const NULL: u8 = 0x40;
pub const TRUE: u8 = 0x41;
pub const FALSE: u8 = 0x42;
pub const UINT_0: u8 = 0x43;
pub const ULONG_0: u8 = 0x44;
pub const LIST_0: u8 = 0x45;
pub const UBYTE: u8 = 0x50;
pub const BYTE: u8 = 0x51;
pub const SMALL_UINT: u8 = 0x52;
pub const SMALL_ULONG: u8 = 0x53;
pub const SMALL_INT: u8 = 0x54;
pub const SMALL_LONG: u8 = 0x55;
pub const BOOLEAN: u8 = 0x56;
pub const USHORT: u8 = 0x60;
pub const SHORT: u8 = 0x61;
pub const UINT: u8 = 0x70;
pub const INT: u8 = 0x71;
pub const FLOAT: u8 = 0x72;
pub const CHAR: u8 = 0x73;
pub const DECIMAL32: u8 = 0x74;
pub const ULONG: u8 = 0x80;
pub const LONG: u8 = 0x81;
pub const DOUBLE: u8 = 0x82;
pub const TIMESTAMP: u8 = 0x83;
pub const DECIMAL64: u8 = 0x84;
pub const DECIMAL128: u8 = 0x94;
pub const UUID: u8 = 0x98;
pub const BINARY_8: u8 = 0xa0;
pub const STRING_8: u8 = 0xa1;
pub const SYMBOL_8: u8 = 0xa3;
pub const BINARY_32: u8 = 0xb0;
pub const STRING_32: u8 = 0xb1;
pub const SYMBOL_32: u8 = 0xb3;
pub const LIST_8: u8 = 0xc0;
pub const MAP_8: u8 = 0xc1;
pub const LIST_32: u8 = 0xd0;
pub const MAP_32: u8 = 0xd1;
pub const ARRAY_8: u8 = 0xe0;
pub const ARRAY_32: u8 = 0xf0;

/// Added to a format code with 1-octet length fields, gives the code of the same type with 4-octet ones.
pub const WIDE_OFFSET: u8 = 0x10;
