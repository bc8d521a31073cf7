//! Delivery states (standard, section 3.4).

use crate::codec::{close_compound, decode, encode, format_code, open_compound, Reader, Result};
use crate::composite::{read_descriptor, read_list, Descriptor, Field};
use crate::error::Error;
use crate::value::Value;

/// The descriptors of the standard's states.
const RECEIVED: u8 = 0x23;
const ACCEPTED: u8 = 0x24;
const REJECTED: u8 = 0x25;
const RELEASED: u8 = 0x26;
const MODIFIED: u8 = 0x27;

/// The state of a delivery (standard, section 3.4).
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// Received up to this point; the delivery goes on.
    Received {
        /// The section.
        section: u32,
        /// The octet in it.
        offset: u64,
    },
    /// It was processed.
    Accepted,
    /// It is invalid.
    Rejected(Option<Box<Error>>),
    /// It was not processed, and nothing has changed.
    Released,
    /// It was not processed in this form.
    Modified {
        /// A delivery was tried and failed.
        failed: bool,
        /// It should not come here again.
        undeliverable_here: bool,
        /// Annotations to be merged into the message's.
        annotations: Option<Box<Value>>,
    },
    /// Any other, such as those of transactions.
    Other(Box<Value>),
}

impl State {
    /// The state as a value, as in an unsettled map (2.7.3).
    pub fn to_value(&self) -> Value {
        let mut bytes = Vec::new();
        self.write(&mut bytes);
        decode(&mut &bytes[..]).unwrap_or(Value::Null)
    }

    /// Whether it is a terminal state (3.4): the delivery has ended with it.
    pub fn is_final(&self) -> bool {
        !matches!(self, State::Received { .. } | State::Other(_))
    }
}

/// A standard state's number by its name.
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
                        failed: fields.next("delivery-failed")?.unwrap_or(false),
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
            State::Accepted => write_empty(ACCEPTED, out),
            State::Released => write_empty(RELEASED, out),
            State::Other(value) => encode(value, out),
            State::Received { section, offset } => {
                let fields = vec![Value::Uint(*section), Value::Ulong(*offset)];
                encode(&Value::composite(RECEIVED.into(), fields), out);
            }
            State::Rejected(None) => write_empty(REJECTED, out),
            State::Rejected(Some(error)) => {
                out.extend([format_code::DESCRIBED, format_code::SMALL_ULONG, REJECTED]);
                let start = open_compound(out, format_code::LIST_8);
                error.write(out);
                close_compound(out, start, 1);
            }
            State::Modified { failed, undeliverable_here, annotations } => {
                let mut fields = vec![Value::Bool(*failed), Value::Bool(*undeliverable_here)];
                fields.extend(annotations.iter().map(|annotations| Value::clone(annotations)));
                encode(&Value::composite(MODIFIED.into(), fields), out);
            }
        }
    }
}

/// Writes a state without fields.
fn write_empty(descriptor: u8, out: &mut Vec<u8>) {
    out.extend([format_code::DESCRIBED, format_code::SMALL_ULONG, descriptor, format_code::LIST_0]);
}
