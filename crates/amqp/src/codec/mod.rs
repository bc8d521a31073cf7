//! Decoding and encoding of AMQP values (standard, sections 1.2 to 1.6).

mod error;
pub mod format_code;
mod reader;
mod writer;

pub use error::{DecodeError, Result};
pub use reader::{decode, symbol, text, Reader};
pub use writer::{close_compound, encode, open_compound, put_fixed, put_u32, put_u64, put_variable};
