//! Unit tests of the octets of a message.

use super::{MessageOctets, StartDiscarded};

/// Guards against sending the end of a message as if it were the whole message.
#[test]
fn a_message_whose_start_is_discarded_cannot_be_read_from_its_start() {
    let mut message = MessageOctets::new(vec![1, 2, 3, 4]);
    assert_eq!(message.octets_from_start(), Ok(&[1, 2, 3, 4][..]));
    assert_eq!(message.discard_before(1), 0, "too few octets to be worth moving the others");
    assert_eq!(message.discard_before(3), 3);
    message.append(&[5]);
    assert_eq!(message.octets_from_start(), Err(StartDiscarded));
    assert_eq!(message.octets_from(2), Err(StartDiscarded));
    assert_eq!(message.octets_from(3), Ok(&[4, 5][..]));
    assert_eq!((message.received_len(), message.buffered_len()), (5, 2));
}
