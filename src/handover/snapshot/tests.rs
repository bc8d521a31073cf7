//! States are split into chunks and reassembled.

use super::{SnapshotAssembler, StateSnapshot, MAX_STATE_BYTES};
use crate::handover::channel::MAX_MESSAGE_BYTES;
use crate::handover::message::{Message, MessageError};
use proptest::prelude::*;

fn snapshot(balancer_state: String) -> StateSnapshot {
    let list = r#"{"generation":7,"reset":true,"instances":[{"instanceId":"s-è","hostPort":"10.0.0.1:80",
        "zone":"a","cell":3,"lifecycle":"draining","weight":2.0,"startedAtMs":12}]}"#;
    let endpoint_list = serde_json::from_str(list).expect("a valid list");
    StateSnapshot { is_drained: true, endpoint_list, balancer_state, open_descriptors: 5, clock: None }
}

proptest! {
    #[test]
    fn a_reassembled_state_equals_the_original(balancer_state in "\\PC{0,200}", times in 1usize..300) {
        let sent = snapshot(balancer_state.repeat(times));
        let mut assembler = SnapshotAssembler::default();
        for message in sent.to_chunks().expect("the state can be serialized") {
            let encoded = message.encode().expect("the message can be encoded");
            prop_assert!(encoded.bytes.len() < MAX_MESSAGE_BYTES);
            let Ok(Message::StateChunk { chunk }) = Message::decode(encoded) else { panic!("not a state chunk") };
            assembler.add(&chunk).expect("within the limit");
        }
        let received = assembler.finish().expect("the state is complete");
        prop_assert_eq!(format!("{received:?}"), format!("{sent:?}"));
    }
}

#[test]
fn incomplete_and_oversized_states_are_rejected() {
    let mut assembler = SnapshotAssembler::default();
    assembler.add(r#"{"drained":"#).expect("within the limit");
    assert!(matches!(assembler.finish(), Err(MessageError::InvalidJson(_))));
    let error = assembler.add(&" ".repeat(MAX_STATE_BYTES));
    assert_eq!(error, Err(MessageError::StateTooLong { max_bytes: MAX_STATE_BYTES }));
}
