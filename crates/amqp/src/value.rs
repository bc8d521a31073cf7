//! The types of AMQP (standard, section 1.6).

/// A value of any AMQP type (standard, section 1.6).
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// The absence of a value.
    Null,
    /// True or false.
    Bool(bool),
    /// An unsigned 8-bit integer.
    Ubyte(u8),
    /// An unsigned 16-bit integer.
    Ushort(u16),
    /// An unsigned 32-bit integer.
    Uint(u32),
    /// An unsigned 64-bit integer.
    Ulong(u64),
    /// A signed 8-bit integer.
    Byte(i8),
    /// A signed 16-bit integer.
    Short(i16),
    /// A signed 32-bit integer.
    Int(i32),
    /// A signed 64-bit integer.
    Long(i64),
    /// IEEE 754 binary32.
    Float(f32),
    /// IEEE 754 binary64.
    Double(f64),
    /// IEEE 754 decimal32, as on the wire.
    Decimal32([u8; 4]),
    /// IEEE 754 decimal64, as on the wire.
    Decimal64([u8; 8]),
    /// IEEE 754 decimal128, as on the wire.
    Decimal128([u8; 16]),
    /// A Unicode character.
    Char(char),
    /// Milliseconds since the Unix epoch.
    Timestamp(i64),
    /// An RFC 4122 identifier.
    Uuid([u8; 16]),
    /// Octets.
    Binary(Vec<u8>),
    /// UTF-8 text.
    Text(String),
    /// A symbol: ASCII from a constrained domain.
    Symbol(String),
    /// Values of any types, in their order.
    List(Vec<Value>),
    /// Pairs of key and value, in their order. Decoding rejects a map that has a key twice.
    Map(Vec<(Value, Value)>),
    /// Elements of one type. One whose elements differ in type is written as a list.
    Array(Vec<Value>),
    /// A value under a descriptor.
    Described(Box<Value>, Box<Value>),
}

impl Value {
    /// A value under a numeric descriptor.
    pub fn described(code: u64, value: Value) -> Value {
        Value::Described(Box::new(Value::Ulong(code)), Box::new(value))
    }

    /// A composite: a list under a numeric descriptor (standard, section 1.4).
    pub fn composite(code: u64, fields: Vec<Value>) -> Value {
        Value::described(code, Value::List(fields))
    }

    /// A symbol.
    pub fn symbol(text: &str) -> Value {
        Value::Symbol(text.to_string())
    }

    /// Text.
    pub fn text(text: &str) -> Value {
        Value::Text(text.to_string())
    }

    /// The symbol or text in it.
    pub fn as_str(&self) -> Option<&str> {
        match self {
            Value::Symbol(text) | Value::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Symbols in a field that the standard marks `multiple`: none, one, or an array (standard, section 1.4).
    pub fn symbols(&self) -> Vec<&str> {
        match self {
            Value::Array(items) => items.iter().filter_map(Value::as_str).collect(),
            one => one.as_str().into_iter().collect(),
        }
    }

    /// The value of a map at this symbol or text.
    pub fn get(&self, name: &str) -> Option<&Value> {
        let Value::Map(pairs) = self else { return None };
        pairs.iter().find(|(key, _)| key.as_str() == Some(name)).map(|(_, value)| value)
    }
}
