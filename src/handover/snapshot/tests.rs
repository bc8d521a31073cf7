//! A state is cut into pieces and put together again.

use super::{SnapshotAssembler, StateSnapshot, MAX_STATE_BYTES};
use crate::handover::channel::MAX_MESSAGE_BYTES;
use crate::handover::message::{Message, MessageError};
use proptest::prelude::*;

fn snapshot(balancer_state: String) -> StateSnapshot {
    let list = r#"{"generation":7,"reset":true,"instances":[{"instanceId":"s-è","hostPort":"10.0.0.1:80",
        "zone":"a","cell":3,"lifecycle":"draining","weight":2.0,"startedAtMs":12}]}"#;
    let endpoint_list = serde_json::from_str(list).expect("a list");
    StateSnapshot { is_drained: true, endpoint_list, balancer_state, open_descriptors: 5, clock: None }
}

proptest! {
    #[test]
    fn a_state_is_the_same_after_its_transfer(balancer_state in "\\PC{0,200}", times in 1usize..300) {
        let sent = snapshot(balancer_state.repeat(times));
        let mut assembler = SnapshotAssembler::default();
        for message in sent.to_pieces().expect("pieces") {
            let framed = message.encode().expect("it is encoded");
            prop_assert!(framed.bytes.len() < MAX_MESSAGE_BYTES);
            let Ok(Message::StatePiece { piece }) = Message::decode(framed) else { panic!("a piece") };
            assembler.add(&piece).expect("it fits");
        }
        let received = assembler.finish().expect("it is complete");
        prop_assert_eq!(format!("{received:?}"), format!("{sent:?}"));
    }
}

#[test]
fn half_a_state_and_a_state_without_end_are_errors() {
    let mut assembler = SnapshotAssembler::default();
    assembler.add(r#"{"drained":"#).expect("it fits");
    assert!(matches!(assembler.finish(), Err(MessageError::InvalidJson(_))));
    let error = assembler.add(&" ".repeat(MAX_STATE_BYTES));
    assert_eq!(error, Err(MessageError::StateTooLong { max_bytes: MAX_STATE_BYTES }));
}
