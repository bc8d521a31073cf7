//! Composite types: performatives (part 2, section 2.7), SASL bodies (part 5, 5.3.3), sources, targets and
//! delivery states (part 3), decoded straight from their octets.

use crate::codec::*;
use crate::error::Error;
use crate::value::Value;

/// A type that is a list of fields under a descriptor.
pub trait Composite: Sized {
    /// Its numeric descriptor.
    const CODE: u64;
    /// Its symbolic descriptor.
    const NAME: &'static str;
    /// Reads the fields.
    fn read_fields(fields: &mut Fields<'_>) -> Result<Self>;
    /// Writes the fields.
    fn write_fields(&self, out: &mut Writer<'_>);
}

/// The fields of a composite that is being read.
pub struct Fields<'a> {
    reader: Reader<'a>,
    left: usize,
}

impl Fields<'_> {
    /// The next field; none where it is null or left out.
    #[inline(always)]
    pub fn next<T: Field>(&mut self, name: &'static str) -> Result<Option<T>> {
        if self.left == 0 {
            return Ok(None);
        }
        self.left -= 1;
        if let Some((0x40, rest)) = self.reader.left.split_first() {
            self.reader.left = rest;
            return Ok(None);
        }
        match T::read(&mut self.reader) {
            Ok(value) => Ok(Some(value)),
            Err(DecodeError::Field("")) => Err(DecodeError::Field(name)),
            Err(error) => Err(error),
        }
    }

    /// The next field, which must be there.
    pub fn must<T: Field>(&mut self, name: &'static str) -> Result<T> {
        self.next(name)?.ok_or(DecodeError::Field(name))
    }
}

/// Writes the fields of a composite; nulls at the end are left out.
pub struct Writer<'a> {
    out: &'a mut Vec<u8>,
    count: usize,
    kept: (usize, usize),
}

impl Writer<'_> {
    /// The next field.
    pub fn put<T: Field>(&mut self, field: &Option<T>) {
        self.count += 1;
        match field {
            None => self.out.push(0x40),
            Some(value) => {
                value.write(self.out);
                self.kept = (self.out.len(), self.count);
            }
        }
    }
}

/// A descriptor: a number, or a name.
enum Descriptor<'a> {
    Code(u64),
    Name(&'a [u8]),
}

fn descriptor<'a>(reader: &mut Reader<'a>) -> Result<Descriptor<'a>> {
    if reader.byte()? != 0 {
        return Err(DecodeError::Field("descriptor"));
    }
    Ok(match reader.byte()? {
        0x53 => Descriptor::Code(reader.byte()?.into()),
        0x44 => Descriptor::Code(0),
        0x80 => {
            let high = reader.u32()?;
            Descriptor::Code((u64::from(high) << 32) | u64::from(reader.u32()?))
        }
        code @ (0xa3 | 0xb3) => Descriptor::Name(reader.variable(code)?),
        _ => return Err(DecodeError::Descriptor),
    })
}

fn fields<'a>(reader: &mut Reader<'a>) -> Result<Fields<'a>> {
    Ok(match reader.byte()? {
        0x45 => Fields { reader: Reader::new(&[]), left: 0 },
        code @ (0xc0 | 0xd0) => {
            let (reader, left) = reader.compound(code)?;
            Fields { reader, left }
        }
        _ => return Err(DecodeError::Field("composite")),
    })
}

/// Writes a composite.
pub fn write_composite<T: Composite>(value: &T, out: &mut Vec<u8>) {
    out.push(0x00);
    put_u64(out, T::CODE);
    let at = out.len();
    let start = open_compound(out, 0xc0);
    let mut writer = Writer { out, count: 0, kept: (start, 0) };
    value.write_fields(&mut writer);
    let (end, count) = writer.kept;
    if count == 0 {
        out.truncate(at);
        return out.push(0x45);
    }
    out.truncate(end);
    close_compound(out, start, count);
}

impl<T: Composite> Field for T {
    #[inline]
    fn read(reader: &mut Reader<'_>) -> Result<T> {
        let known = match descriptor(reader)? {
            Descriptor::Code(code) => code == T::CODE,
            Descriptor::Name(name) => name == T::NAME.as_bytes(),
        };
        if !known {
            return Err(DecodeError::Descriptor);
        }
        T::read_fields(&mut fields(reader)?)
    }

    fn write(&self, out: &mut Vec<u8>) {
        write_composite(self, out);
    }
}

/// A type that a field can have.
pub trait Field: Sized {
    /// Reads it; null has been dealt with.
    fn read(reader: &mut Reader<'_>) -> Result<Self>;
    /// Writes it.
    fn write(&self, out: &mut Vec<u8>);
}

const WRONG: DecodeError = DecodeError::Field("");

impl Field for bool {
    #[inline(always)]
    fn read(reader: &mut Reader<'_>) -> Result<bool> {
        match reader.byte()? {
            0x41 => Ok(true),
            0x42 => Ok(false),
            0x56 => match reader.byte()? {
                0 => Ok(false),
                1 => Ok(true),
                _ => Err(WRONG),
            },
            _ => Err(WRONG),
        }
    }
    fn write(&self, out: &mut Vec<u8>) {
        out.push(if *self { 0x41 } else { 0x42 });
    }
}

impl Field for u8 {
    #[inline(always)]
    fn read(reader: &mut Reader<'_>) -> Result<u8> {
        if reader.byte()? != 0x50 {
            return Err(WRONG);
        }
        reader.byte()
    }
    fn write(&self, out: &mut Vec<u8>) {
        out.extend([0x50, *self]);
    }
}

impl Field for u16 {
    #[inline(always)]
    fn read(reader: &mut Reader<'_>) -> Result<u16> {
        if reader.byte()? != 0x60 {
            return Err(WRONG);
        }
        Ok((u16::from(reader.byte()?) << 8) | u16::from(reader.byte()?))
    }
    fn write(&self, out: &mut Vec<u8>) {
        put_fixed(out, 0x60, &self.to_be_bytes());
    }
}

impl Field for u32 {
    #[inline(always)]
    fn read(reader: &mut Reader<'_>) -> Result<u32> {
        match reader.byte()? {
            0x43 => Ok(0),
            0x52 => Ok(reader.byte()?.into()),
            0x70 => reader.u32(),
            _ => Err(WRONG),
        }
    }
    fn write(&self, out: &mut Vec<u8>) {
        put_u32(out, *self);
    }
}

impl Field for u64 {
    #[inline(always)]
    fn read(reader: &mut Reader<'_>) -> Result<u64> {
        match reader.byte()? {
            0x44 => Ok(0),
            0x53 => Ok(reader.byte()?.into()),
            0x80 => Ok((u64::from(reader.u32()?) << 32) | u64::from(reader.u32()?)),
            _ => Err(WRONG),
        }
    }
    fn write(&self, out: &mut Vec<u8>) {
        put_u64(out, *self);
    }
}

impl Field for String {
    #[inline]
    fn read(reader: &mut Reader<'_>) -> Result<String> {
        match reader.byte()? {
            code @ (0xa1 | 0xb1) => Ok(text(reader.variable(code)?)?.to_string()),
            _ => Err(WRONG),
        }
    }
    fn write(&self, out: &mut Vec<u8>) {
        put_variable(out, 0xa1, self.as_bytes());
    }
}

impl Field for Vec<u8> {
    #[inline]
    fn read(reader: &mut Reader<'_>) -> Result<Vec<u8>> {
        match reader.byte()? {
            code @ (0xa0 | 0xb0) => Ok(reader.variable(code)?.to_vec()),
            _ => Err(WRONG),
        }
    }
    fn write(&self, out: &mut Vec<u8>) {
        put_variable(out, 0xa0, self);
    }
}

impl Field for Value {
    #[inline]
    fn read(reader: &mut Reader<'_>) -> Result<Value> {
        reader.value()
    }
    fn write(&self, out: &mut Vec<u8>) {
        encode(self, out);
    }
}

macro_rules! boxed {
    ($($type:ty),*) => {
        $(impl Field for Box<$type> {
            fn read(reader: &mut Reader<'_>) -> Result<Box<$type>> {
                <$type>::read(reader).map(Box::new)
            }
            fn write(&self, out: &mut Vec<u8>) {
                (**self).write(out);
            }
        })*
    };
}

boxed!(Value, Error);

/// A symbol in a field.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Symbol(pub String);

impl Field for Symbol {
    #[inline]
    fn read(reader: &mut Reader<'_>) -> Result<Symbol> {
        match reader.byte()? {
            code @ (0xa3 | 0xb3) => Ok(Symbol(symbol(reader.variable(code)?)?.to_string())),
            _ => Err(WRONG),
        }
    }
    fn write(&self, out: &mut Vec<u8>) {
        put_variable(out, 0xa3, self.0.as_bytes());
    }
}

/// A delivery tag: up to 32 octets (part 2, 2.8.7), kept without an allocation.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Tag {
    len: u8,
    bytes: [u8; 32],
}

impl Tag {
    /// A tag, unless it is too long.
    pub fn new(bytes: &[u8]) -> Option<Tag> {
        let mut tag = Tag { len: u8::try_from(bytes.len()).ok().filter(|len| *len <= 32)?, bytes: [0; 32] };
        tag.bytes[..bytes.len()].copy_from_slice(bytes);
        Some(tag)
    }

    /// Its octets.
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes[..self.len as usize]
    }
}

impl From<u64> for Tag {
    fn from(number: u64) -> Tag {
        Tag::new(&number.to_be_bytes()).unwrap_or_default()
    }
}

impl Attach {
    /// The tags of the unsettled map (2.7.3): what the peer holds to be unsettled.
    pub fn unsettled_tags(&self) -> Vec<Tag> {
        let Some(Value::Map(pairs)) = &self.unsettled else { return Vec::new() };
        let tag = |(key, _): &(Value, Value)| if let Value::Binary(tag) = key { Tag::new(tag) } else { None };
        pairs.iter().filter_map(tag).collect()
    }
}

impl std::fmt::Debug for Tag {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Tag({:02x?})", self.as_bytes())
    }
}

impl Field for Tag {
    #[inline(always)]
    fn read(reader: &mut Reader<'_>) -> Result<Tag> {
        match reader.byte()? {
            code @ (0xa0 | 0xb0) => Tag::new(reader.variable(code)?).ok_or(WRONG),
            _ => Err(WRONG),
        }
    }
    fn write(&self, out: &mut Vec<u8>) {
        put_variable(out, 0xa0, self.as_bytes());
    }
}

/// The state of a delivery (part 3, section 3.4).
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    /// So much has come; not terminal.
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
    /// It was not processed as it stands.
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
    /// The state as a value, as an unsettled map holds it (2.7.3).
    pub fn to_value(&self) -> Value {
        let mut bytes = Vec::new();
        self.write(&mut bytes);
        decode(&mut &bytes[..]).unwrap_or(Value::Null)
    }

    /// Whether the delivery is over with it.
    pub fn is_terminal(&self) -> bool {
        !matches!(self, State::Received { .. } | State::Other(_))
    }
}

/// A standard state's number by its name.
fn state_code(name: &[u8]) -> Option<u64> {
    Some(match name {
        b"amqp:received:list" => 0x23,
        b"amqp:accepted:list" => 0x24,
        b"amqp:rejected:list" => 0x25,
        b"amqp:released:list" => 0x26,
        b"amqp:modified:list" => 0x27,
        _ => return None,
    })
}

impl Field for State {
    #[inline]
    fn read(reader: &mut Reader<'_>) -> Result<State> {
        let whole = reader.left;
        let code = match descriptor(reader)? {
            Descriptor::Code(code) => Some(code),
            Descriptor::Name(name) => state_code(name),
        };
        match code {
            Some(code @ 0x23..=0x27) => {
                let mut fields = fields(reader)?;
                Ok(match code {
                    0x23 => State::Received {
                        section: fields.must("section-number")?,
                        offset: fields.must("section-offset")?,
                    },
                    0x24 => State::Accepted,
                    0x25 => State::Rejected(fields.next("error")?),
                    0x26 => State::Released,
                    _ => State::Modified {
                        failed: fields.next("delivery-failed")?.unwrap_or(false),
                        undeliverable_here: fields.next("undeliverable-here")?.unwrap_or(false),
                        annotations: fields.next("message-annotations")?,
                    },
                })
            }
            _ => {
                *reader = Reader::new(whole);
                Ok(State::Other(Box::new(reader.value()?)))
            }
        }
    }

    fn write(&self, out: &mut Vec<u8>) {
        match self {
            State::Accepted => out.extend([0x00, 0x53, 0x24, 0x45]),
            State::Released => out.extend([0x00, 0x53, 0x26, 0x45]),
            State::Other(value) => encode(value, out),
            State::Received { section, offset } => {
                let fields = vec![Value::Uint(*section), Value::Ulong(*offset)];
                encode(&Value::composite(0x23, fields), out);
            }
            State::Rejected(error) => {
                out.extend([0x00, 0x53, 0x25]);
                match error {
                    None => out.push(0x45),
                    Some(error) => {
                        let start = open_compound(out, 0xc0);
                        error.write(out);
                        close_compound(out, start, 1);
                    }
                }
            }
            State::Modified { failed, undeliverable_here, annotations } => {
                let mut fields = vec![Value::Bool(*failed), Value::Bool(*undeliverable_here)];
                fields.extend(annotations.iter().map(|notes| Value::clone(notes)));
                encode(&Value::composite(0x27, fields), out);
            }
        }
    }
}

/// What a link sends to: a node, or a transaction coordinator (part 3, 3.5.4; part 4, 4.5.1).
#[derive(Clone, Debug, PartialEq)]
pub enum Terminus {
    /// A node.
    Target(Target),
    /// The coordinator of transactions.
    Coordinator,
    /// Something else.
    Other(Value),
}

impl Field for Terminus {
    #[inline]
    fn read(reader: &mut Reader<'_>) -> Result<Terminus> {
        let whole = reader.left;
        match descriptor(reader)? {
            Descriptor::Code(0x29) | Descriptor::Name(b"amqp:target:list") => {
                Ok(Terminus::Target(Target::read_fields(&mut fields(reader)?)?))
            }
            Descriptor::Code(0x30) | Descriptor::Name(b"amqp:coordinator:list") => {
                *reader = Reader::new(whole);
                reader.value().map(|_| Terminus::Coordinator)
            }
            _ => {
                *reader = Reader::new(whole);
                Ok(Terminus::Other(reader.value()?))
            }
        }
    }

    fn write(&self, out: &mut Vec<u8>) {
        match self {
            Terminus::Target(target) => target.write(out),
            Terminus::Coordinator => encode(&Value::composite(0x30, Vec::new()), out),
            Terminus::Other(value) => encode(value, out),
        }
    }
}

macro_rules! composites {
    ($($(#[$doc:meta])* $name:ident $code:literal $symbol:literal {
        $($(#[$field_doc:meta])* $field:ident: $type:ty),* $(,)?
    })*) => {
        $(
            $(#[$doc])*
            #[derive(Clone, Debug, Default, PartialEq)]
            pub struct $name { $($(#[$field_doc])* pub $field: Option<$type>),* }

            impl Composite for $name {
                const CODE: u64 = $code;
                const NAME: &'static str = $symbol;

                // Built where it stays: each move of fields just written waits for them to be stored.
                #[inline(always)]
                fn read_fields(fields: &mut Fields<'_>) -> Result<$name> {
                    Ok($name { $($field: fields.next(stringify!($field))?),* })
                }

                fn write_fields(&self, out: &mut Writer<'_>) {
                    $(out.put(&self.$field);)*
                }
            }
        )*
    };
}

macro_rules! performatives {
    ($($name:ident),*; boxed: $($boxed:ident),*) => {
        /// The body of a frame.
        #[derive(Clone, Debug, PartialEq)]
        #[allow(missing_docs, clippy::large_enum_variant)]
        pub enum Performative { $($name($name),)* $($boxed(Box<$boxed>)),* }

        impl Performative {
            /// Reads the body at the start of a frame; the payload follows it.
            #[inline(always)]
            pub fn read(reader: &mut Reader<'_>) -> Result<Performative> {
                match descriptor(reader)? {
                    $(Descriptor::Code($name::CODE) => {
                        Ok(Performative::$name($name::read_fields(&mut fields(reader)?)?))
                    })*
                    $(Descriptor::Code($boxed::CODE) => {
                        Ok(Performative::$boxed(Box::new($boxed::read_fields(&mut fields(reader)?)?)))
                    })*
                    $(Descriptor::Name(name) if name == $name::NAME.as_bytes() => {
                        Ok(Performative::$name($name::read_fields(&mut fields(reader)?)?))
                    })*
                    $(Descriptor::Name(name) if name == $boxed::NAME.as_bytes() => {
                        Ok(Performative::$boxed(Box::new($boxed::read_fields(&mut fields(reader)?)?)))
                    })*
                    _ => Err(DecodeError::Descriptor),
                }
            }

            /// Writes it.
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

composites! {
    /// Opens a connection (2.7.1).
    #[allow(missing_docs)]
    Open 0x10 "amqp:open:list" {
        container_id: String, hostname: String, max_frame_size: u32, channel_max: u16,
        idle_time_out: u32, outgoing_locales: Value, incoming_locales: Value,
        offered_capabilities: Value, desired_capabilities: Value, properties: Value,
    }
    /// Begins a session (2.7.2).
    #[allow(missing_docs)]
    Begin 0x11 "amqp:begin:list" {
        remote_channel: u16, next_outgoing_id: u32, incoming_window: u32, outgoing_window: u32,
        handle_max: u32, offered_capabilities: Value, desired_capabilities: Value, properties: Value,
    }
    /// Attaches a link (2.7.3).
    #[allow(missing_docs)]
    Attach 0x12 "amqp:attach:list" {
        name: String, handle: u32, role: bool, snd_settle_mode: u8, rcv_settle_mode: u8,
        source: Source, target: Terminus, unsettled: Value, incomplete_unsettled: bool,
        initial_delivery_count: u32, max_message_size: u64, offered_capabilities: Value,
        desired_capabilities: Value, properties: Value,
    }
    /// Windows and credit (2.7.4).
    #[allow(missing_docs)]
    Flow 0x13 "amqp:flow:list" {
        next_incoming_id: u32, incoming_window: u32, next_outgoing_id: u32, outgoing_window: u32,
        handle: u32, delivery_count: u32, link_credit: u32, available: u32, drain: bool,
        echo: bool, properties: Box<Value>,
    }
    /// A part of a delivery (2.7.5).
    #[allow(missing_docs)]
    Transfer 0x14 "amqp:transfer:list" {
        handle: u32, delivery_id: u32, delivery_tag: Tag, message_format: u32, settled: bool,
        more: bool, rcv_settle_mode: u8, state: State, resume: bool, aborted: bool, batchable: bool,
    }
    /// The state of deliveries has changed (2.7.6).
    #[allow(missing_docs)]
    Disposition 0x15 "amqp:disposition:list" {
        role: bool, first: u32, last: u32, settled: bool, state: State, batchable: bool,
    }
    /// Detaches a link (2.7.7).
    #[allow(missing_docs)]
    Detach 0x16 "amqp:detach:list" { handle: u32, closed: bool, error: Box<Error> }
    /// Ends a session (2.7.8).
    #[allow(missing_docs)]
    End 0x17 "amqp:end:list" { error: Box<Error> }
    /// Closes a connection (2.7.9).
    #[allow(missing_docs)]
    Close 0x18 "amqp:close:list" { error: Box<Error> }
    /// Where a link's messages come from (3.5.3).
    #[allow(missing_docs)]
    Source 0x28 "amqp:source:list" {
        address: String, durable: u32, expiry_policy: Symbol, timeout: u32, dynamic: bool,
        dynamic_node_properties: Value, distribution_mode: Symbol, filter: Value,
        default_outcome: Value, outcomes: Value, capabilities: Value,
    }
    /// Where a link's messages go (3.5.4).
    #[allow(missing_docs)]
    Target 0x29 "amqp:target:list" {
        address: String, durable: u32, expiry_policy: Symbol, timeout: u32, dynamic: bool,
        dynamic_node_properties: Value, capabilities: Value,
    }
    /// The mechanisms a server offers (5.3.3.1).
    #[allow(missing_docs)]
    SaslMechanisms 0x40 "amqp:sasl-mechanisms:list" { mechanisms: Value }
    /// The mechanism a client picked (5.3.3.2).
    #[allow(missing_docs)]
    SaslInit 0x41 "amqp:sasl-init:list" { mechanism: Symbol, initial_response: Vec<u8>, hostname: String }
    /// A server's challenge (5.3.3.3).
    #[allow(missing_docs)]
    SaslChallenge 0x42 "amqp:sasl-challenge:list" { challenge: Vec<u8> }
    /// A client's response (5.3.3.4).
    #[allow(missing_docs)]
    SaslResponse 0x43 "amqp:sasl-response:list" { response: Vec<u8> }
    /// How the exchange ended (5.3.3.6).
    #[allow(missing_docs)]
    SaslOutcome 0x44 "amqp:sasl-outcome:list" { code: u8, additional_data: Vec<u8> }
}
