//! What cannot be a message is an error.

use super::{Message, MessageError};
use crate::frontend::TransferredConnection;
use crate::handover::channel::FramedMessage;
use proptest::prelude::*;

proptest! {
    #[test]
    fn arbitrary_bytes_are_an_error(bytes: Vec<u8>) {
        let decoded = Message::decode(FramedMessage { bytes, fds: Vec::new() });
        prop_assert!(decoded.is_err());
    }
}

#[test]
fn a_connection_without_its_descriptors_is_an_error() {
    let connection = TransferredConnection { state: String::new(), fds: Vec::new() };
    let message = Message::Connection { frontend: "text".to_string(), connection, open_descriptors: 0 };
    let framed = message.encode().expect("it is encoded");
    assert_eq!(Message::decode(framed).err(), Some(MessageError::WrongDescriptors));
}
