//! Composite types: lists of fields under a descriptor (standard, section 1.4). They are read from their octets without a
//! [`Value`](crate::Value) in between.

use crate::codec::{close_compound, format_code, open_compound, put_u64, DecodeError, Reader, Result};

/// A type that is a list of fields under a descriptor.
pub trait Composite: Sized {
    /// Its numeric descriptor.
    const CODE: u64;
    /// Its symbolic descriptor.
    const NAME: &'static str;
    /// Reads the fields.
    ///
    /// # Errors
    /// A field cannot be decoded, or a required one is missing.
    fn read_fields(fields: &mut FieldReader<'_>) -> Result<Self>;
    /// Writes the fields.
    fn write_fields(&self, out: &mut FieldWriter<'_>);
}

/// The fields of a composite that is being read.
pub struct FieldReader<'a> {
    reader: Reader<'a>,
    /// Fields not read yet.
    remaining: usize,
}

impl FieldReader<'_> {
    /// The next field; none if it is null or left out.
    #[inline(always)]
    pub fn next<T: Field>(&mut self, name: &'static str) -> Result<Option<T>> {
        if self.remaining == 0 {
            return Ok(None);
        }
        self.remaining -= 1;
        if let Some((&format_code::NULL, rest)) = self.reader.remaining.split_first() {
            self.reader.remaining = rest;
            return Ok(None);
        }
        match T::read(&mut self.reader) {
            Ok(value) => Ok(Some(value)),
            Err(DecodeError::Field("")) => Err(DecodeError::Field(name)),
            Err(error) => Err(error),
        }
    }

    /// The next field, which must be there.
    pub fn required<T: Field>(&mut self, name: &'static str) -> Result<T> {
        self.next(name)?.ok_or(DecodeError::Field(name))
    }
}

/// Writes the fields of a composite; nulls at the end are left out.
pub struct FieldWriter<'a> {
    out: &'a mut Vec<u8>,
    count: usize,
    /// The end of the last field that is not null, and the count of fields up to it.
    last_present: (usize, usize),
}

impl FieldWriter<'_> {
    /// The next field.
    pub fn put<T: Field>(&mut self, field: &Option<T>) {
        self.count += 1;
        match field {
            None => self.out.push(format_code::NULL),
            Some(value) => {
                value.write(self.out);
                self.last_present = (self.out.len(), self.count);
            }
        }
    }
}

/// A descriptor: a number, or a name.
pub(crate) enum Descriptor<'a> {
    /// A number.
    Code(u64),
    /// A symbol.
    Name(&'a [u8]),
}

/// Reads the descriptor of a described value.
pub(crate) fn read_descriptor<'a>(reader: &mut Reader<'a>) -> Result<Descriptor<'a>> {
    if reader.byte()? != format_code::DESCRIBED {
        return Err(DecodeError::Field("descriptor"));
    }
    Ok(match reader.byte()? {
        format_code::SMALL_ULONG => Descriptor::Code(reader.byte()?.into()),
        format_code::ULONG_0 => Descriptor::Code(0),
        format_code::ULONG => {
            let high = reader.u32()?;
            Descriptor::Code((u64::from(high) << 32) | u64::from(reader.u32()?))
        }
        code @ (format_code::SYMBOL_8 | format_code::SYMBOL_32) => Descriptor::Name(reader.variable(code)?),
        _ => return Err(DecodeError::Descriptor),
    })
}

/// Starts to read the list of a composite's fields.
pub(crate) fn read_list<'a>(reader: &mut Reader<'a>) -> Result<FieldReader<'a>> {
    Ok(match reader.byte()? {
        format_code::LIST_0 => FieldReader { reader: Reader::new(&[]), remaining: 0 },
        code @ (format_code::LIST_8 | format_code::LIST_32) => {
            let (reader, remaining) = reader.compound(code)?;
            FieldReader { reader, remaining }
        }
        _ => return Err(DecodeError::Field("composite")),
    })
}

/// Writes a composite.
pub fn write_composite<T: Composite>(value: &T, out: &mut Vec<u8>) {
    out.push(format_code::DESCRIBED);
    put_u64(out, T::CODE);
    let constructor_at = out.len();
    let start = open_compound(out, format_code::LIST_8);
    let mut writer = FieldWriter { out, count: 0, last_present: (start, 0) };
    value.write_fields(&mut writer);
    let (end, count) = writer.last_present;
    if count == 0 {
        out.truncate(constructor_at);
        return out.push(format_code::LIST_0);
    }
    out.truncate(end);
    close_compound(out, start, count);
}

impl<T: Composite> Field for T {
    #[inline]
    fn read(reader: &mut Reader<'_>) -> Result<T> {
        let known = match read_descriptor(reader)? {
            Descriptor::Code(code) => code == T::CODE,
            Descriptor::Name(name) => name == T::NAME.as_bytes(),
        };
        if !known {
            return Err(DecodeError::Descriptor);
        }
        T::read_fields(&mut read_list(reader)?)
    }

    fn write(&self, out: &mut Vec<u8>) {
        write_composite(self, out);
    }
}

/// A type that a field can have.
pub trait Field: Sized {
    /// Reads it; null has been handled.
    fn read(reader: &mut Reader<'_>) -> Result<Self>;
    /// Writes it.
    fn write(&self, out: &mut Vec<u8>);
}

/// Defines composite types whose fields are all optional on the wire: their structs, and how they are read and written.
macro_rules! composites {
    ($($(#[$doc:meta])* $name:ident $code:literal $symbol:literal {
        $($(#[$field_doc:meta])* $field:ident: $type:ty),* $(,)?
    })*) => {
        $(
            $(#[$doc])*
            // The fields are the standard's, by their names there.
            #[allow(missing_docs)]
            #[derive(Clone, Debug, Default, PartialEq)]
            pub struct $name { $($(#[$field_doc])* pub $field: Option<$type>),* }

            impl Composite for $name {
                const CODE: u64 = $code;
                const NAME: &'static str = $symbol;

                // Inlined so that the struct is built in place: moving fields just written stalls until they are stored.
                #[inline(always)]
                fn read_fields(fields: &mut FieldReader<'_>) -> Result<$name> {
                    Ok($name { $($field: fields.next(stringify!($field))?),* })
                }

                fn write_fields(&self, out: &mut FieldWriter<'_>) {
                    $(out.put(&self.$field);)*
                }
            }
        )*
    };
}
pub(crate) use composites;
