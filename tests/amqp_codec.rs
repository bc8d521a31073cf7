//! The codec against itself, against noise, and against a client library's types.

use fe2o3_amqp_types::performatives as theirs;
use proptest::prelude::*;
use rstest::rstest;
use sparbank::amqp_codec::*;

fn value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::Bool),
        any::<u8>().prop_map(Value::Ubyte),
        any::<u16>().prop_map(Value::Ushort),
        any::<u32>().prop_map(Value::Uint),
        any::<u64>().prop_map(Value::Ulong),
        any::<i32>().prop_map(Value::Int),
        any::<i64>().prop_map(Value::Long),
        prop::collection::vec(any::<u8>(), 0..400).prop_map(Value::Binary),
        "\\PC{0,300}".prop_map(Value::Text),
        "[a-z:]{0,20}".prop_map(Value::Symbol),
    ];
    leaf.prop_recursive(4, 32, 8, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..8).prop_map(Value::List),
            prop::collection::vec((inner.clone(), inner.clone()), 0..4).prop_map(Value::Map),
            inner.prop_map(|v| Value::Described(Box::new(Value::Ulong(0x77)), Box::new(v))),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_is_encoded_is_decoded(value in value()) {
        let mut bytes = Vec::new();
        encode(&value, &mut bytes);
        let mut left = &bytes[..];
        prop_assert_eq!(decode(&mut left), Ok(value));
        prop_assert!(left.is_empty());
    }

    #[test]
    fn noise_is_an_error_and_never_a_panic(mut bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode(&mut &bytes[..]);
        let _ = Message::decode(&bytes);
        // As the body of a frame whose size is right.
        let size = (bytes.len() as u32 + 8).to_be_bytes();
        bytes.splice(0..0, [size[0], size[1], size[2], size[3], 2, 0, 0, 0]);
        let _ = take_frame(&mut bytes, 4096);
    }

    #[test]
    fn a_sound_value_cut_short_is_an_error(value in value(), cut in 1usize..50) {
        let mut bytes = Vec::new();
        encode(&value, &mut bytes);
        bytes.truncate(bytes.len().saturating_sub(cut));
        prop_assert!(decode(&mut &bytes[..]).is_err());
    }
}

/// Our bytes, read and written again by the library, are what we meant.
fn through<T>(body: impl Into<Performative>)
where
    T: serde::de::DeserializeOwned + serde::Serialize,
{
    let body = body.into();
    let mut ours = Vec::new();
    put_frame(&mut ours, AMQP, 0, Some(&body), &[]);
    let read: T = serde_amqp::from_slice(&ours[8..]).expect("the library reads it");
    let written = serde_amqp::to_vec(&read).expect("the library writes it");
    let mut frame = ((written.len() + 8) as u32).to_be_bytes().to_vec();
    frame.extend([2, AMQP, 0, 0]);
    frame.extend(written);
    let back = take_frame(&mut frame, 4096).expect("sound").expect("whole");
    assert_eq!(back.body, Some(body));
}

#[rstest]
fn a_client_library_means_the_same_by_our_bytes() {
    through::<theirs::Open>(Open {
        container_id: Some("n1".into()),
        hostname: Some("h".into()),
        max_frame_size: Some(4096),
        channel_max: Some(3),
        idle_time_out: Some(5000),
        ..Default::default()
    });
    through::<theirs::Begin>(Begin {
        remote_channel: Some(0),
        next_outgoing_id: Some(7),
        incoming_window: Some(256),
        outgoing_window: Some(1000),
        handle_max: Some(7),
        ..Default::default()
    });
    through::<theirs::Flow>(Flow {
        next_incoming_id: Some(1),
        incoming_window: Some(256),
        next_outgoing_id: Some(2),
        outgoing_window: Some(300),
        handle: Some(4),
        delivery_count: Some(5),
        link_credit: Some(16),
        available: Some(1),
        drain: Some(true),
        echo: Some(true),
        ..Default::default()
    });
    through::<theirs::Transfer>(Transfer {
        handle: Some(1),
        delivery_id: Some(300),
        delivery_tag: Some(vec![1, 2]),
        message_format: Some(0),
        settled: Some(true),
        more: Some(true),
        aborted: Some(true),
        ..Default::default()
    });
    through::<theirs::Disposition>(Disposition {
        role: Some(true),
        first: Some(1),
        last: Some(9),
        settled: Some(true),
        state: Some(Value::composite(0x24, Vec::new())),
        ..Default::default()
    });
    through::<theirs::Detach>(Detach {
        handle: Some(1),
        closed: Some(true),
        error: Some(error("amqp:not-found", "no class")),
    });
    through::<theirs::End>(End { error: Some(error("amqp:not-found", "no class")) });
    through::<theirs::Close>(Close { error: Some(error("amqp:connection:forced", "the node leaves")) });
}
