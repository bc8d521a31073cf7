//! Sources and targets of links (standard, section 3.5).

use crate::codec::{encode, Reader, Result};
use crate::composite::{
    composites, read_descriptor, read_list, Composite, Descriptor, Field, FieldReader, FieldWriter,
};
use crate::primitives::Symbol;
use crate::value::Value;

/// The numeric descriptor of a coordinator.
const COORDINATOR: u64 = 0x30;

/// The target end of a link: a node, or a transaction coordinator (3.5.4, 4.5.1).
#[derive(Clone, Debug, PartialEq)]
pub enum Terminus {
    /// A node. Without an address, it is the anonymous terminus, or a node to be created if `dynamic` is set.
    Target(Target),
    /// A transaction coordinator. Its capabilities are ignored.
    Coordinator,
    /// A target of an unknown type.
    Other(Value),
}

impl Field for Terminus {
    #[inline]
    fn read(reader: &mut Reader<'_>) -> Result<Terminus> {
        let start = reader.remaining;
        match read_descriptor(reader)? {
            Descriptor::Code(Target::CODE) | Descriptor::Name(b"amqp:target:list") => {
                Ok(Terminus::Target(Target::read_fields(&mut read_list(reader)?)?))
            }
            Descriptor::Code(COORDINATOR) | Descriptor::Name(b"amqp:coordinator:list") => {
                *reader = Reader::new(start);
                reader.value().map(|_| Terminus::Coordinator)
            }
            _ => {
                *reader = Reader::new(start);
                Ok(Terminus::Other(reader.value()?))
            }
        }
    }

    fn write(&self, out: &mut Vec<u8>) {
        match self {
            Terminus::Target(target) => target.write(out),
            Terminus::Coordinator => encode(&Value::composite(COORDINATOR, Vec::new()), out),
            Terminus::Other(value) => encode(value, out),
        }
    }
    fn heap_bytes(&self) -> usize {
        match self {
            Terminus::Target(target) => target.heap_bytes(),
            Terminus::Coordinator => 0,
            Terminus::Other(value) => value.heap_bytes(),
        }
    }
}

composites! {
    /// The node that a link's messages come from (3.5.3).
    Source 0x28 "amqp:source:list" {
        address: String, durable: u32, expiry_policy: Symbol, timeout: u32, dynamic: bool,
        dynamic_node_properties: Value, distribution_mode: Symbol, filter: Value,
        default_outcome: Value, outcomes: Value, capabilities: Value,
    }
    /// The node that a link's messages go to (3.5.4).
    Target 0x29 "amqp:target:list" {
        address: String, durable: u32, expiry_policy: Symbol, timeout: u32, dynamic: bool,
        dynamic_node_properties: Value, capabilities: Value,
    }
}
