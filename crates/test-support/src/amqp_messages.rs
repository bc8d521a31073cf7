//! Encoding of AMQP messages for tests.

use sparbank_amqp as amqp;
use sparbank_amqp::Value;

/// Encodes a message with a destination address, a time to live and an optional reply address.
pub fn message_to(to: &str, reply_to: Option<&str>, ttl: u32, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    let header = vec![Value::Bool(false), Value::Null, Value::Uint(ttl)];
    amqp::encode(&Value::composite(0x70, header), &mut out);
    let reply = reply_to.map_or(Value::Null, Value::text);
    amqp::encode(
        &Value::composite(0x73, vec![Value::Null, Value::Null, Value::text(to), Value::Null, reply]),
        &mut out,
    );
    amqp::encode(&Value::described(0x75, Value::Binary(body.to_vec())), &mut out);
    out
}

/// Encodes a durable message with a time to live and an idempotency key.
pub fn message_with_key(ttl: u32, key: &str, body: &[u8]) -> Vec<u8> {
    let section = |code: u64, value: Value| Value::Described(Box::new(Value::Ulong(code)), Box::new(value));
    let mut out = Vec::new();
    let header = vec![Value::Bool(true), Value::Null, Value::Uint(ttl)];
    amqp::encode(&section(0x70, Value::List(header)), &mut out);
    let key = (Value::Text("key".into()), Value::Text(key.into()));
    amqp::encode(&section(0x74, Value::Map(vec![key])), &mut out);
    amqp::encode(&section(0x75, Value::Binary(body.to_vec())), &mut out);
    out
}

/// The first octets of a message whose sections before the body are incomplete: an application property is twice as long as
/// all that follows.
pub fn incomplete_head(bytes: usize) -> Vec<u8> {
    let length = (bytes * 2) as u32;
    let mut message = vec![0x00, 0x53, 0x74, 0xd1];
    message.extend((length + 15).to_be_bytes());
    message.extend(2u32.to_be_bytes());
    message.extend([0xa1, 4, b'n', b'o', b't', b'e', 0xb1]);
    message.extend(length.to_be_bytes());
    message.resize(bytes, b'x');
    message
}
