//! Frames: incomplete input, size limits, protocol version, and compatibility with nodes built from commit 00677b7.

use super::{
    decode, encode, FrameLimits, Message, UndecodableFrame, LENGTH_BYTES, MAX_BYTES_PER_QUOTA,
    MAX_FIXED_BYTES, PROTOCOL_VERSION,
};
use sparbank_quota::{HolderId, LeaseGrant, LeaseRequest};

const LIMITS: FrameLimits = FrameLimits { max_length: 99 };

fn request() -> LeaseRequest {
    LeaseRequest {
        holder: HolderId { member: 1, incarnation: 2 },
        sequence: 3,
        layout: 4,
        retained: vec![5, 6],
        wanted: vec![7, 8],
        shutting_down: false,
    }
}

fn encoded(message: Message) -> Vec<u8> {
    encode(&message).expect("the message can be encoded")
}

#[test]
fn incomplete_frames_remain_in_the_input() {
    let frame = encoded(Message::Request(request()));
    for length in 0..frame.len() {
        let mut input = frame[..length].to_vec();
        assert!(matches!(decode(&mut input, LIMITS), Ok(None)), "{length}");
        assert_eq!(input, frame[..length]);
    }
}

#[test]
fn consecutive_frames_are_decoded_one_by_one() {
    let frame = encoded(Message::Request(request()));
    let mut input = [frame.clone(), frame].concat();
    for _ in 0..2 {
        let decoded = decode(&mut input, LIMITS);
        assert!(matches!(decoded, Ok(Some(Message::Request(decoded))) if decoded == request()));
    }
    assert!(input.is_empty());
}

#[test]
fn frame_above_the_length_limit_is_rejected() {
    let mut frame = encoded(Message::Request(request()));
    let body_bytes = frame.len() - LENGTH_BYTES - 1;
    assert!(decode(&mut frame, FrameLimits { max_length: body_bytes }).is_err());
    assert!(decode(&mut vec![0xff; 8], LIMITS).is_err());
}

#[test]
fn longest_message_is_within_the_limits() {
    const QUOTAS: usize = 7;
    let longest = LeaseRequest {
        holder: HolderId { member: u16::MAX, incarnation: u64::MAX },
        sequence: u64::MAX,
        layout: u64::MAX,
        retained: vec![u64::MAX; QUOTAS],
        wanted: vec![u64::MAX; QUOTAS],
        shutting_down: true,
    };
    let mut frame = encoded(Message::Request(longest));
    let body_bytes = frame.len() - LENGTH_BYTES - 1;
    assert!(body_bytes < MAX_FIXED_BYTES + QUOTAS * MAX_BYTES_PER_QUOTA, "{body_bytes}");
    assert!(matches!(decode(&mut frame, FrameLimits::new(QUOTAS)), Ok(Some(_))));
}

#[test]
fn other_version_and_unknown_message_are_rejected() {
    let mut other_version = encoded(Message::Request(request()));
    other_version[LENGTH_BYTES] = PROTOCOL_VERSION + 1;
    assert_eq!(decode(&mut other_version, LIMITS), Err(UndecodableFrame));
    assert_eq!(decode(&mut vec![0, 0, 0, 2, PROTOCOL_VERSION, 99], LIMITS), Err(UndecodableFrame));
}

/// These frames were written by nodes built from commit 00677b7. They must be decoded, and encoding the same messages
/// must give the same bytes.
#[test]
fn frames_of_commit_00677b7_are_decoded_and_encoded_identically() {
    const REQUEST: &[u8] = &[
        0, 0, 0, 49, 1, 0, 172, 2, 149, 154, 151, 236, 227, 159, 231, 203, 23, 240, 162, 4, 239, 155, 175,
        205, 248, 172, 209, 145, 1, 4, 0, 127, 128, 1, 128, 128, 1, 4, 1, 2, 172, 2, 255, 255, 255, 255, 255,
        255, 255, 255, 255, 1, 1,
    ];
    const GRANT: &[u8] = &[0, 0, 0, 15, 1, 1, 1, 2, 3, 2, 5, 216, 4, 2, 7, 128, 241, 4, 1];
    let request = Message::Request(LeaseRequest {
        holder: HolderId { member: 300, incarnation: 1_700_000_000_123_456_789 },
        sequence: 70_000,
        layout: 0x0123_4567_89ab_cdef,
        retained: vec![0, 127, 128, 16_384],
        wanted: vec![1, 2, 300, u64::MAX],
        shutting_down: true,
    });
    let grant = Message::Grant(LeaseGrant {
        holder: HolderId { member: 1, incarnation: 2 },
        sequence: 3,
        allotments: vec![5, 600],
        targets: vec![7, 80_000],
        fenced: true,
    });
    for (message, frame) in [(request, REQUEST), (grant, GRANT)] {
        assert_eq!(encode(&message).as_deref(), Some(frame));
        assert_eq!(decode(&mut frame.to_vec(), LIMITS), Ok(Some(message)));
    }
}
