//! A sans-I/O implementation of AMQP 1.0 (OASIS, 29 October 2012): it uses neither sockets nor a clock.
//!
//! The application passes received octets and the current time to a [`Connection`], which returns [`Event`]s, octets to
//! write and a deadline. The connection manages sessions and links, tracks windows, credit and settlement, and
//! authenticates with SASL. It does not interpret messages.
//!
//! The memory that a peer can make a connection use is bounded by the fields of [`Settings`].
//!
//! Numbers such as 2.6.7 refer to sections of the standard. The first digit is the part (2 is transport, 3 messaging,
//! 5 security).
//!
//! ```
//! use sparbank_amqp::{Connection, Event, Settings};
//! use sparbank_time::MonotonicTime;
//!
//! let mut client = Connection::dial(MonotonicTime::ZERO, Settings::default(), None);
//! let mut server = Connection::accept(MonotonicTime::ZERO, Settings::default(), None);
//! let mut opened = 0;
//! for _ in 0..8 {
//!     let bytes = client.take_output(MonotonicTime::ZERO);
//!     let mut input = &bytes[..];
//!     while let Some(event) = server.next_event(MonotonicTime::ZERO, &mut input)? {
//!         opened += i32::from(matches!(event, Event::Opened { .. }));
//!     }
//!     let bytes = server.take_output(MonotonicTime::ZERO);
//!     let mut input = &bytes[..];
//!     while let Some(event) = client.next_event(MonotonicTime::ZERO, &mut input)? {
//!         opened += i32::from(matches!(event, Event::Opened { .. }));
//!     }
//! }
//! assert_eq!(opened, 2);
//! # Ok::<(), sparbank_amqp::Fault>(())
//! ```
#![forbid(unsafe_code)]

mod codec;
mod composite;
mod connection;
mod error;
mod frame;
mod link;
mod message;
mod performative;
mod primitives;
mod sasl;
mod scram;
mod session;
mod state;
mod terminus;
mod value;

pub use codec::{decode, encode, DecodeError};
pub use composite::Composite;
pub use connection::{
    AbandonedDelivery, Connection, DetachMode, Event, IncomingTransfer, LinkId, OutgoingDelivery, PeerInfo,
    Settings,
};
pub use error::{condition, fault, Error, Fault};
pub use frame::{read_frame, write_frame, write_frame_with, Frame, AMQP, SASL};
pub use link::Role;
pub use message::{Head, Message};
pub use performative::{
    Attach, Begin, Close, Detach, Disposition, End, Flow, Open, Performative, SaslChallenge, SaslInit,
    SaslMechanisms, SaslOutcome, SaslResponse, Transfer,
};
pub use primitives::{Symbol, Tag};
pub use sasl::{Credentials, Mechanism, SaslRequest};
pub use scram::{Pbkdf2, SaltedKeys};
pub use session::SendResult;
pub use state::State;
pub use terminus::{Source, Target, Terminus};
pub use value::Value;
