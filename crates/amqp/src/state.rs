//! Delivery states (standard, section 3.4).

use crate::codec::{close_compound, decode, encode, format_code, open_compound, Reader, Result};
use crate::composite::{read_descriptor, read_list, Descriptor, Field};
use crate::error::Error;
use crate::value::Value;

/// The numeric descriptors of the delivery states.
const RECEIVED: u8 = 0x23;
const ACCEPTED: u8 = 0x24;
const REJECTED: u8 = 0x25;
const RELEASED: u8 = 0x26;
const MODIFIED: u8 = 0x27;

/// The state of a delivery (standard, section 3.4).
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// Received in part, up to the given position in the message. Not terminal.
    Received {
        /// The number of the section.
        section: u32,
        /// The offset in the section, in octets.
        offset: u64,
    },
    /// The message was processed.
    Accepted,
    /// The message is invalid and cannot be processed.
    Rejected(Option<Box<Error>>),
    /// The message was not processed and is unmodified.
    Released,
    /// The message was not processed and is modified.
    Modified {
        /// Whether this counts as a failed delivery attempt.
        delivery_failed: bool,
        /// Whether the message must not be delivered on this link again.
        undeliverable_here: bool,
        /// Annotations to merge into those of the message.
        annotations: Option<Box<Value>>,
    },
    /// Any other state, such as those of transactions.
    Other(Box<Value>),
}

impl State {
    /// Converts the state to a value, as unsettled maps contain it (2.7.3).
    pub fn to_value(&self) -> Value {
        let mut bytes = Vec::new();
        self.write(&mut bytes);
        decode(&mut &bytes[..]).unwrap_or(Value::Null)
    }

    /// Whether the state is terminal (3.4): it is the outcome of the delivery.
    pub fn is_terminal(&self) -> bool {
        !matches!(self, State::Received { .. } | State::Other(_))
    }
}

/// Returns the numeric descriptor of the state with this symbolic one.
fn state_code(name: &[u8]) -> Option<u8> {
    Some(match name {
        b"amqp:received:list" => RECEIVED,
        b"amqp:accepted:list" => ACCEPTED,
        b"amqp:rejected:list" => REJECTED,
        b"amqp:released:list" => RELEASED,
        b"amqp:modified:list" => MODIFIED,
        _ => return None,
    })
}

impl Field for State {
    #[inline]
    fn read(reader: &mut Reader<'_>) -> Result<State> {
        let start = reader.remaining;
        let code = match read_descriptor(reader)? {
            Descriptor::Code(code) => u8::try_from(code).ok(),
            Descriptor::Name(name) => state_code(name),
        };
        match code {
            Some(code @ RECEIVED..=MODIFIED) => {
                let mut fields = read_list(reader)?;
                Ok(match code {
                    RECEIVED => State::Received {
                        section: fields.required("section-number")?,
                        offset: fields.required("section-offset")?,
                    },
                    ACCEPTED => State::Accepted,
                    REJECTED => State::Rejected(fields.next("error")?),
                    RELEASED => State::Released,
                    _ => State::Modified {
                        delivery_failed: fields.next("delivery-failed")?.unwrap_or(false),
                        undeliverable_here: fields.next("undeliverable-here")?.unwrap_or(false),
                        annotations: fields.next("message-annotations")?,
                    },
                })
            }
            _ => {
                *reader = Reader::new(start);
                Ok(State::Other(Box::new(reader.value()?)))
            }
        }
    }

    fn write(&self, out: &mut Vec<u8>) {
        match self {
            State::Accepted => write_without_fields(ACCEPTED, out),
            State::Released => write_without_fields(RELEASED, out),
            State::Other(value) => encode(value, out),
            State::Received { section, offset } => {
                let fields = vec![Value::Uint(*section), Value::Ulong(*offset)];
                encode(&Value::composite(RECEIVED.into(), fields), out);
            }
            State::Rejected(None) => write_without_fields(REJECTED, out),
            State::Rejected(Some(error)) => {
                out.extend([format_code::DESCRIBED, format_code::SMALL_ULONG, REJECTED]);
                let start = open_compound(out, format_code::LIST_8);
                error.write(out);
                close_compound(out, start, 1);
            }
            State::Modified { delivery_failed, undeliverable_here, annotations } => {
                let mut fields = vec![Value::Bool(*delivery_failed), Value::Bool(*undeliverable_here)];
                fields.extend(annotations.iter().map(|annotations| Value::clone(annotations)));
                encode(&Value::composite(MODIFIED.into(), fields), out);
            }
        }
    }
}

/// Encodes a state whose list of fields is empty.
fn write_without_fields(descriptor: u8, out: &mut Vec<u8>) {
    out.extend([format_code::DESCRIBED, format_code::SMALL_ULONG, descriptor, format_code::LIST_0]);
}
