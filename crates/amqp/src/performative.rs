//! Frame bodies: performatives (standard, section 2.7) and SASL frames (5.3.3).

use crate::codec::{DecodeError, Reader, Result};
use crate::composite::{
    composites, read_descriptor, read_list, Composite, Descriptor, Field, FieldReader, FieldWriter,
};
use crate::error::Error;
use crate::primitives::{Symbol, Tag};
use crate::state::State;
use crate::terminus::{Source, Terminus};
use crate::value::Value;

composites! {
    /// Opens a connection (2.7.1).
    Open 0x10 "amqp:open:list" {
        container_id: String, hostname: String, max_frame_size: u32, channel_max: u16,
        idle_time_out: u32, outgoing_locales: Value, incoming_locales: Value,
        offered_capabilities: Value, desired_capabilities: Value, properties: Value,
    }
    /// Begins a session (2.7.2).
    Begin 0x11 "amqp:begin:list" {
        remote_channel: u16, next_outgoing_id: u32, incoming_window: u32, outgoing_window: u32,
        handle_max: u32, offered_capabilities: Value, desired_capabilities: Value, properties: Value,
    }
    /// Attaches a link (2.7.3).
    Attach 0x12 "amqp:attach:list" {
        name: String, handle: u32, role: bool, snd_settle_mode: u8, rcv_settle_mode: u8,
        source: Source, target: Terminus, unsettled: Value, incomplete_unsettled: bool,
        initial_delivery_count: u32, max_message_size: u64, offered_capabilities: Value,
        desired_capabilities: Value, properties: Value,
    }
    /// Updates the session windows and link credit (2.7.4).
    Flow 0x13 "amqp:flow:list" {
        next_incoming_id: u32, incoming_window: u32, next_outgoing_id: u32, outgoing_window: u32,
        handle: u32, delivery_count: u32, link_credit: u32, available: u32, drain: bool,
        echo: bool, properties: Box<Value>,
    }
    /// Transfers a delivery, or one frame's part of it (2.7.5).
    Transfer 0x14 "amqp:transfer:list" {
        handle: u32, delivery_id: u32, delivery_tag: Tag, message_format: u32, settled: bool,
        more: bool, rcv_settle_mode: u8, state: State, resume: bool, aborted: bool, batchable: bool,
    }
    /// Informs the peer of changes of the state of deliveries (2.7.6).
    Disposition 0x15 "amqp:disposition:list" {
        role: bool, first: u32, last: u32, settled: bool, state: State, batchable: bool,
    }
    /// Detaches a link (2.7.7).
    Detach 0x16 "amqp:detach:list" { handle: u32, closed: bool, error: Box<Error> }
    /// Ends a session (2.7.8).
    End 0x17 "amqp:end:list" { error: Box<Error> }
    /// Closes a connection (2.7.9).
    Close 0x18 "amqp:close:list" { error: Box<Error> }
    /// Lists the mechanisms that the server offers (5.3.3.1).
    SaslMechanisms 0x40 "amqp:sasl-mechanisms:list" { mechanisms: Value }
    /// Selects a mechanism and starts the exchange (5.3.3.2).
    SaslInit 0x41 "amqp:sasl-init:list" { mechanism: Symbol, initial_response: Vec<u8>, hostname: String }
    /// Carries the server's challenge (5.3.3.3).
    SaslChallenge 0x42 "amqp:sasl-challenge:list" { challenge: Vec<u8> }
    /// Carries the client's response (5.3.3.4).
    SaslResponse 0x43 "amqp:sasl-response:list" { response: Vec<u8> }
    /// Carries the outcome of the exchange (5.3.3.6).
    SaslOutcome 0x44 "amqp:sasl-outcome:list" { code: u8, additional_data: Vec<u8> }
}

impl Attach {
    /// The octets of memory that the attach and its fields occupy.
    pub fn memory_bytes(&self) -> usize {
        size_of::<Attach>() + self.fields_heap_bytes()
    }

    /// Returns the keys of the unsettled map (2.7.3): the tags of the deliveries that the peer has not settled.
    pub fn unsettled_tags(&self) -> Vec<Tag> {
        let Some(Value::Map(pairs)) = &self.unsettled else { return Vec::new() };
        let tag = |(key, _): &(Value, Value)| if let Value::Binary(tag) = key { Tag::new(tag) } else { None };
        pairs.iter().filter_map(tag).collect()
    }
}

macro_rules! performatives {
    ($($name:ident),*; boxed: $($boxed:ident),*) => {
        /// The body of a frame.
        #[derive(Clone, Debug, PartialEq)]
        // The variants are named as in the standard, which describes them. The most frequent bodies are not boxed
        // although they are large.
        #[allow(missing_docs, clippy::large_enum_variant)]
        pub enum Performative { $($name($name),)* $($boxed(Box<$boxed>)),* }

        impl Performative {
            /// Decodes the body of a frame, and leaves the reader at the frame's payload.
            ///
            /// # Errors
            /// The descriptor is unknown, or a field cannot be decoded.
            #[inline(always)]
            pub fn read(reader: &mut Reader<'_>) -> Result<Performative> {
                match read_descriptor(reader)? {
                    $(Descriptor::Code($name::CODE) => {
                        Ok(Performative::$name($name::read_fields(&mut read_list(reader)?)?))
                    })*
                    $(Descriptor::Code($boxed::CODE) => {
                        Ok(Performative::$boxed(Box::new($boxed::read_fields(&mut read_list(reader)?)?)))
                    })*
                    $(Descriptor::Name(name) if name == $name::NAME.as_bytes() => {
                        Ok(Performative::$name($name::read_fields(&mut read_list(reader)?)?))
                    })*
                    $(Descriptor::Name(name) if name == $boxed::NAME.as_bytes() => {
                        Ok(Performative::$boxed(Box::new($boxed::read_fields(&mut read_list(reader)?)?)))
                    })*
                    _ => Err(DecodeError::UnexpectedDescriptor),
                }
            }

            /// Appends the encoding of the body, with its numeric descriptor.
            pub fn write(&self, out: &mut Vec<u8>) {
                match self {
                    $(Performative::$name(body) => body.write(out),)*
                    $(Performative::$boxed(body) => body.write(out)),*
                }
            }
        }

        $(impl From<$name> for Performative {
            fn from(body: $name) -> Performative {
                Performative::$name(body)
            }
        })*
        $(impl From<$boxed> for Performative {
            fn from(body: $boxed) -> Performative {
                Performative::$boxed(Box::new(body))
            }
        })*
    };
}

performatives! {
    Transfer, Disposition, Flow, Detach, End, Close, SaslMechanisms, SaslChallenge, SaslResponse,
    SaslOutcome; boxed: SaslInit, Open, Begin, Attach
}
