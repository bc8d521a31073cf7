//! AMQP 1.0 (OASIS, 29 October 2012) without sockets and without a clock.
//!
//! A [`Connection`] is fed the bytes that came and the time; it gives [`Event`]s, bytes to write and a
//! deadline. It opens sessions and links, keeps windows, credit and settlement, and speaks SASL. What a
//! delivery means is its user's affair.
//!
//! Every bound on what a peer can make it hold is a field of [`Settings`].
//!
//! ```
//! use sparbank_amqp::{Connection, Event, Settings};
//!
//! let mut client = Connection::dial(0, Settings::default(), None);
//! let mut server = Connection::accept(0, Settings::default(), None);
//! let mut opened = 0;
//! for _ in 0..8 {
//!     let bytes = client.take_out(0);
//!     let mut left = &bytes[..];
//!     while let Some(event) = server.next(0, &mut left)? {
//!         opened += i32::from(matches!(event, Event::Opened { .. }));
//!     }
//!     let bytes = server.take_out(0);
//!     let mut left = &bytes[..];
//!     while let Some(event) = client.next(0, &mut left)? {
//!         opened += i32::from(matches!(event, Event::Opened { .. }));
//!     }
//! }
//! assert_eq!(opened, 2);
//! # Ok::<(), sparbank_amqp::Fault>(())
//! ```
#![forbid(unsafe_code)]

mod codec;
mod connection;
mod error;
mod frame;
mod link;
mod message;
mod performative;
mod sasl;
mod scram;
mod session;
mod value;

pub use codec::{decode, encode, DecodeError};
pub use connection::{Connection, Event, LinkId, Outgoing, Part, PeerInfo, Settings};
pub use error::{condition, fault, Error, Fault};
pub use frame::{put_frame, put_raw, take_frame, Frame, AMQP, SASL};
pub use link::{Remote, Role};
pub use message::{Head, Message};
pub use performative::*;
pub use sasl::{Asked, Credentials, Mechanism};
pub use scram::{Pbkdf2, SaltedKeys};
pub use session::Sent;
pub use value::Value;

/// A point in time or a span of it, in nanoseconds; the library never asks for the time.
pub type Nanos = u64;
