//! Invalid messages are rejected.

use super::{Message, MessageError};
use crate::frontend::TransferredConnection;
use crate::handover::channel::EncodedMessage;
use proptest::prelude::*;

proptest! {
    #[test]
    fn arbitrary_bytes_are_an_error(bytes: Vec<u8>) {
        let decoded = Message::decode(EncodedMessage { bytes, fds: Vec::new() });
        prop_assert!(decoded.is_err());
    }
}

#[test]
fn a_connection_without_its_descriptors_is_an_error() {
    let connection = TransferredConnection { state: String::new(), fds: Vec::new() };
    let message = Message::Connection { frontend: "text".to_string(), connection, open_descriptors: 0 };
    let encoded = message.encode().expect("the message can be encoded");
    assert_eq!(Message::decode(encoded).err(), Some(MessageError::WrongDescriptors));
}
