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
