//! Values of the AMQP type system (standard, section 1).

/// A value of any primitive type (standard, section 1.6), or a described value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// The absence of a value.
    Null,
    /// A boolean, which has encodings of 1 and of 2 octets.
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
    /// An IEEE 754 binary32 number.
    Float(f32),
    /// An IEEE 754 binary64 number.
    Double(f64),
    /// IEEE 754 decimal32, in its encoding on the wire.
    Decimal32([u8; 4]),
    /// IEEE 754 decimal64, in its encoding on the wire.
    Decimal64([u8; 8]),
    /// IEEE 754 decimal128, in its encoding on the wire.
    Decimal128([u8; 16]),
    /// A Unicode scalar value; encoded as UTF-32BE.
    Char(char),
    /// Milliseconds since the Unix epoch.
    Timestamp(i64),
    /// A UUID as RFC 4122 defines it.
    Uuid([u8; 16]),
    /// A sequence of octets.
    Binary(Vec<u8>),
    /// A string (the standard's type `string`); encoded as UTF-8.
    Text(String),
    /// A symbol: an ASCII string from a constrained domain.
    Symbol(String),
    /// An ordered sequence of values of any types.
    List(Vec<Value>),
    /// Pairs of key and value, in order. Decoding rejects a duplicate key among the first 64 pairs.
    Map(Vec<(Value, Value)>),
    /// An ordered sequence of values of one type. If the types of the elements differ, a list is encoded instead;
    /// inside another array, the elements of another type than the first are omitted.
    Array(Vec<Value>),
    /// A descriptor, and the value that it describes.
    Described(Box<Value>, Box<Value>),
}

impl Value {
    /// The octets of memory that the value occupies beside its own size. A decoded value may occupy many times the
    /// octets of its encoding.
    pub fn heap_bytes(&self) -> usize {
        let in_values = |values: &[Value]| values.iter().map(Value::heap_bytes).sum::<usize>();
        match self {
            Value::Binary(octets) => octets.capacity(),
            Value::Text(text) | Value::Symbol(text) => text.capacity(),
            Value::List(values) | Value::Array(values) => {
                values.capacity() * size_of::<Value>() + in_values(values)
            }
            Value::Map(pairs) => {
                let in_pair = |(key, value): &(Value, Value)| key.heap_bytes() + value.heap_bytes();
                pairs.capacity() * size_of::<(Value, Value)>() + pairs.iter().map(in_pair).sum::<usize>()
            }
            Value::Described(descriptor, value) => {
                2 * size_of::<Value>() + descriptor.heap_bytes() + value.heap_bytes()
            }
            _ => 0,
        }
    }

    /// Creates a described value with a numeric descriptor.
    pub fn described(code: u64, value: Value) -> Value {
        Value::Described(Box::new(Value::Ulong(code)), Box::new(value))
    }

    /// Creates a composite value: a list of fields with a numeric descriptor (standard, section 1.4).
    pub fn composite(code: u64, fields: Vec<Value>) -> Value {
        Value::described(code, Value::List(fields))
    }

    /// Creates a symbol. The text has to be ASCII.
    pub fn symbol(text: &str) -> Value {
        Value::Symbol(text.to_string())
    }

    /// Creates a value of the type `string`.
    pub fn text(text: &str) -> Value {
        Value::Text(text.to_string())
    }

    /// Returns the content of a symbol or string.
    pub fn as_str(&self) -> Option<&str> {
        match self {
            Value::Symbol(text) | Value::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Returns the symbols of a field that the standard marks `multiple`: null, a single symbol, or an array of
    /// them (standard, section 1.4). Strings are taken as symbols.
    pub fn symbols(&self) -> Vec<&str> {
        match self {
            Value::Array(items) => items.iter().filter_map(Value::as_str).collect(),
            single => single.as_str().into_iter().collect(),
        }
    }

    /// Returns the value of a map at a key that is this symbol or string.
    pub fn get(&self, name: &str) -> Option<&Value> {
        let Value::Map(pairs) = self else { return None };
        pairs.iter().find(|(key, _)| key.as_str() == Some(name)).map(|(_, value)| value)
    }
}
