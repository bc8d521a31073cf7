//! Composite types: described lists of fields (standard, section 1.4). They are decoded directly, without an
//! intermediate [`Value`](crate::Value).

use crate::codec::{close_compound, format_code, open_compound, put_u64, DecodeError, Reader, Result};

/// A type that is encoded as a described list of fields.
pub trait Composite: Sized {
    /// The numeric descriptor of the type.
    const CODE: u64;
    /// The symbolic descriptor of the type.
    const NAME: &'static str;
    /// Decodes the fields.
    ///
    /// # Errors
    /// A field cannot be decoded, or a mandatory one is missing.
    fn read_fields(fields: &mut FieldReader<'_>) -> Result<Self>;
    /// Encodes the fields in the order of the standard, with one call of `put` for each.
    fn write_fields(&self, out: &mut FieldWriter<'_>);
    /// The octets of memory that the fields occupy beside the struct itself.
    fn fields_heap_bytes(&self) -> usize;
}

/// Decodes the fields of a composite one by one.
pub struct FieldReader<'a> {
    reader: Reader<'a>,
    /// The number of unread fields.
    remaining: usize,
}

impl FieldReader<'_> {
    /// Decodes the next field. Returns `None` if it is null or omitted. `name` is for error messages.
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

    /// Decodes the next field, which is mandatory.
    pub fn required<T: Field>(&mut self, name: &'static str) -> Result<T> {
        self.next(name)?.ok_or(DecodeError::Field(name))
    }
}

/// Encodes the fields of a composite one by one. Trailing nulls are omitted.
pub struct FieldWriter<'a> {
    out: &'a mut Vec<u8>,
    count: usize,
    /// Where the last non-null field ends in `out`, and the number of fields up to and including it.
    last_present: (usize, usize),
}

impl FieldWriter<'_> {
    /// Appends a field; `None` is encoded as null.
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

/// A numeric or symbolic descriptor.
pub(crate) enum Descriptor<'a> {
    Code(u64),
    Name(&'a [u8]),
}

/// Decodes the descriptor at the start of a described value.
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
        _ => return Err(DecodeError::UnexpectedDescriptor),
    })
}

/// Decodes the header of the list that holds a composite's fields.
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

/// Encodes a composite with its numeric descriptor.
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
        let is_expected = match read_descriptor(reader)? {
            Descriptor::Code(code) => code == T::CODE,
            Descriptor::Name(name) => name == T::NAME.as_bytes(),
        };
        if !is_expected {
            return Err(DecodeError::UnexpectedDescriptor);
        }
        T::read_fields(&mut read_list(reader)?)
    }

    fn write(&self, out: &mut Vec<u8>) {
        write_composite(self, out);
    }

    fn heap_bytes(&self) -> usize {
        self.fields_heap_bytes()
    }
}

/// A type that a field of a composite can have.
pub trait Field: Sized {
    /// Decodes the field's value, which is not null: [`FieldReader::next`] handles nulls.
    fn read(reader: &mut Reader<'_>) -> Result<Self>;
    /// Encodes the field's value.
    fn write(&self, out: &mut Vec<u8>);
    /// The octets of memory that the value occupies beside its own size.
    fn heap_bytes(&self) -> usize {
        0
    }
}

/// Defines composite types whose fields are all optional on the wire: the structs and their [`Composite`]
/// implementations.
macro_rules! composites {
    ($($(#[$doc:meta])* $name:ident $code:literal $symbol:literal {
        $($(#[$field_doc:meta])* $field:ident: $type:ty),* $(,)?
    })*) => {
        $(
            $(#[$doc])*
            // The fields are named as in the standard, which describes them.
            #[allow(missing_docs)]
            #[derive(Clone, Debug, Default, PartialEq)]
            pub struct $name { $($(#[$field_doc])* pub $field: Option<$type>),* }

            impl Composite for $name {
                const CODE: u64 = $code;
                const NAME: &'static str = $symbol;

                // Inlined so that the struct is built in place. Copying it right after its fields were written
                // would stall the CPU until those stores complete.
                #[inline(always)]
                fn read_fields(fields: &mut FieldReader<'_>) -> Result<$name> {
                    Ok($name { $($field: fields.next(stringify!($field))?),* })
                }

                fn write_fields(&self, out: &mut FieldWriter<'_>) {
                    $(out.put(&self.$field);)*
                }

                fn fields_heap_bytes(&self) -> usize {
                    0 $(+ self.$field.as_ref().map_or(0, Field::heap_bytes))*
                }
            }
        )*
    };
}
pub(crate) use composites;
