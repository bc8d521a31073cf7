//! The codec: round trips, arbitrary and malformed input, and interoperability with the types of the client library
//! fe2o3-amqp.

use fe2o3_amqp_types::performatives as fe2o3;
use proptest::prelude::*;
use rstest::rstest;
use sparbank_amqp::{
    decode, encode, read_frame, write_frame, Attach, Begin, Close, DecodeError, Detach, Disposition, End,
    Error, Flow, Message, Open, Performative, Source, State, Symbol, Tag, Target, Terminus, Transfer, Value,
    AMQP,
};

/// Generates values that contain no other values.
fn leaf() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::Bool),
        any::<u8>().prop_map(Value::Ubyte),
        any::<u16>().prop_map(Value::Ushort),
        any::<u32>().prop_map(Value::Uint),
        any::<u64>().prop_map(Value::Ulong),
        any::<i32>().prop_map(Value::Int),
        any::<i64>().prop_map(Value::Long),
        any::<i8>().prop_map(Value::Byte),
        any::<i16>().prop_map(Value::Short),
        any::<i64>().prop_map(Value::Timestamp),
        any::<char>().prop_map(Value::Char),
        any::<[u8; 4]>().prop_map(Value::Decimal32),
        any::<[u8; 8]>().prop_map(Value::Decimal64),
        any::<[u8; 16]>().prop_map(Value::Decimal128),
        any::<[u8; 16]>().prop_map(Value::Uuid),
        (-1e30f32..1e30).prop_map(Value::Float),
        (-1e300f64..1e300).prop_map(Value::Double),
        prop::collection::vec(any::<u8>(), 0..400).prop_map(Value::Binary),
        "\\PC{0,300}".prop_map(Value::Text),
        "[a-z:]{0,20}".prop_map(Value::Symbol),
    ]
}

/// Generates values of all types, nested up to four levels deep.
fn value() -> impl Strategy<Value = Value> {
    leaf().prop_recursive(4, 32, 8, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..8).prop_map(Value::List),
            prop::collection::vec((inner.clone(), inner.clone()), 0..4).prop_map(|pairs| {
                // Keys must be unique.
                let mut map: Vec<(Value, Value)> = Vec::new();
                for pair in pairs {
                    if !map.iter().any(|(key, _)| *key == pair.0) {
                        map.push(pair);
                    }
                }
                Value::Map(map)
            }),
            // All elements must be of one type, so the same value is repeated.
            (inner.clone(), 0usize..5).prop_map(|(v, n)| Value::Array(vec![v; n])),
            inner.prop_map(|v| Value::Described(Box::new(Value::Ulong(0x77)), Box::new(v))),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn decoding_an_encoded_value_returns_it(value in value()) {
        let mut bytes = Vec::new();
        encode(&value, &mut bytes);
        let mut rest = &bytes[..];
        prop_assert_eq!(decode(&mut rest), Ok(value));
        prop_assert!(rest.is_empty());
    }

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(mut bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode(&mut &bytes[..]);
        let _ = Message::decode(&bytes);
        // A frame of the correct size with the same bytes as its body.
        let size = (bytes.len() as u32 + 8).to_be_bytes();
        bytes.splice(0..0, [size[0], size[1], size[2], size[3], 2, 0, 0, 0]);
        let _ = read_frame(&mut &bytes[..], 4096);
    }

    /// Messages are validated without being decoded. Validation has to accept the same values as decoding does,
    /// except that it does not look for duplicate keys in maps.
    #[test]
    fn message_validation_agrees_with_decoding(value in value(), index in 0usize..400, replacement in any::<u8>()) {
        let mut bytes = Vec::new();
        encode(&Value::described(0x77, value), &mut bytes);
        let index = index % bytes.len();
        bytes[index] = replacement;
        let mut rest = &bytes[..];
        let decoded = decode(&mut rest);
        let is_complete = rest.is_empty();
        let validated = Message::decode(&bytes);
        if decoded.is_ok() && is_complete && bytes[..3] == [0x00, 0x53, 0x77] {
            prop_assert!(validated.is_ok(), "{:?} {:?}", decoded, validated);
        }
        if validated.is_ok() && bytes[..3] == [0x00, 0x53, 0x77] {
            prop_assert!(matches!(decoded, Ok(_) | Err(DecodeError::InvalidMap)));
        }
    }

    #[test]
    fn truncated_value_is_rejected(value in value(), cut in 1usize..50) {
        let mut bytes = Vec::new();
        encode(&value, &mut bytes);
        bytes.truncate(bytes.len().saturating_sub(cut));
        prop_assert!(decode(&mut &bytes[..]).is_err());
    }
}

/// Checks that a frame body is unchanged after fe2o3-amqp has decoded our encoding of it and encoded it again.
/// `Fe2o3Body` is the type of the body there.
fn assert_fe2o3_round_trip<Fe2o3Body>(body: impl Into<Performative>)
where
    Fe2o3Body: serde::de::DeserializeOwned + serde::Serialize,
{
    let body = body.into();
    let mut encoded = Vec::new();
    write_frame(&mut encoded, AMQP, 0, Some(&body), &[]);
    let decoded: Fe2o3Body = serde_amqp::from_slice(&encoded[8..]).expect("serde_amqp decodes it");
    let reencoded = serde_amqp::to_vec(&decoded).expect("serde_amqp encodes it");
    let mut frame = ((reencoded.len() + 8) as u32).to_be_bytes().to_vec();
    frame.extend([2, AMQP, 0, 0]);
    frame.extend(reencoded);
    let decoded = read_frame(&mut &frame[..], 4096).expect("well-formed").expect("complete");
    assert_eq!(decoded.body, Some(body));
}

#[rstest]
fn fe2o3_round_trips_open_begin_and_flow() {
    assert_fe2o3_round_trip::<fe2o3::Open>(Open {
        container_id: Some("n1".into()),
        hostname: Some("h".into()),
        max_frame_size: Some(4096),
        channel_max: Some(3),
        idle_time_out: Some(5000),
        ..Default::default()
    });
    assert_fe2o3_round_trip::<fe2o3::Begin>(Begin {
        remote_channel: Some(0),
        next_outgoing_id: Some(7),
        incoming_window: Some(256),
        outgoing_window: Some(1000),
        handle_max: Some(7),
        ..Default::default()
    });
    assert_fe2o3_round_trip::<fe2o3::Flow>(Flow {
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
}

#[rstest]
fn fe2o3_round_trips_transfer_and_disposition() {
    assert_fe2o3_round_trip::<fe2o3::Transfer>(Transfer {
        handle: Some(1),
        delivery_id: Some(300),
        delivery_tag: Tag::new(&[1, 2]),
        message_format: Some(0),
        settled: Some(true),
        more: Some(true),
        aborted: Some(true),
        ..Default::default()
    });
    assert_fe2o3_round_trip::<fe2o3::Disposition>(Disposition {
        role: Some(true),
        first: Some(1),
        last: Some(9),
        settled: Some(true),
        state: Some(State::Accepted),
        ..Default::default()
    });
}

#[rstest]
fn fe2o3_round_trips_attach_detach_end_and_close() {
    assert_fe2o3_round_trip::<fe2o3::Detach>(Detach {
        handle: Some(1),
        closed: Some(true),
        error: Some(Box::new(Error::new("amqp:not-found", "no class"))),
    });
    assert_fe2o3_round_trip::<fe2o3::End>(End {
        error: Some(Box::new(Error::new("amqp:not-found", "no class"))),
    });
    assert_fe2o3_round_trip::<fe2o3::Close>(Close {
        error: Some(Box::new(Error::new("amqp:connection:forced", "the node is shutting down"))),
    });
    assert_fe2o3_round_trip::<fe2o3::Attach>(Attach {
        name: Some("readings".into()),
        handle: Some(3),
        role: Some(false),
        snd_settle_mode: Some(1),
        rcv_settle_mode: Some(1),
        source: Some(Source {
            address: Some("live-readings".into()),
            expiry_policy: Some(Symbol("never".into())),
            timeout: Some(7),
            dynamic: Some(true),
            outcomes: Some(Value::Array(vec![Value::symbol("amqp:accepted:list")])),
            ..Default::default()
        }),
        target: Some(Terminus::Target(Target { address: Some("here".into()), ..Default::default() })),
        initial_delivery_count: Some(0),
        max_message_size: Some(1 << 40),
        ..Default::default()
    });
}

#[rstest]
#[case::size_exceeds_the_input(b"\xc0\xff\xff")]
#[case::count_exceeds_the_elements(b"\xd0\x00\x00\x00\x04\xff\xff\xff\xff")]
#[case::too_many_zero_width_elements(b"\xf0\x00\x00\x00\x05\xff\xff\xff\xff\x40")]
#[case::lists_nested_too_deeply(&[0xc0, 2, 1].repeat(400))]
#[case::descriptors_nested_too_deeply(&[0; 400])]
#[case::map_with_odd_count(b"\xc1\x04\x03\x40\x41\x42")]
#[case::map_with_duplicate_key(b"\xc1\x05\x04\x41\x40\x41\x40")]
#[case::symbol_that_is_not_ascii(b"\xa3\x02\xc3\xa9")]
#[case::string_that_is_not_utf8(b"\xa1\x01\xff")]
#[case::char_that_is_a_surrogate(b"\x73\x00\x00\xd8\x00")]
#[case::octets_after_the_last_element(b"\xc0\x03\x01\x40\x40")]
fn malformed_value_is_rejected(#[case] bytes: &[u8]) {
    assert!(decode(&mut &bytes[..]).is_err());
}

/// The standard (section 1.6) defines several encodings of some values; all of them have to decode to the same value.
#[rstest]
#[case(&[&b"\x41"[..], &b"\x56\x01"[..]], Value::Bool(true))]
#[case(&[&b"\x42"[..], &b"\x56\x00"[..]], Value::Bool(false))]
#[case(&[&b"\x43"[..], &b"\x52\x00"[..], &b"\x70\x00\x00\x00\x00"[..]], Value::Uint(0))]
#[case(&[&b"\x44"[..], &b"\x53\x00"[..], &b"\x80\x00\x00\x00\x00\x00\x00\x00\x00"[..]], Value::Ulong(0))]
#[case(&[&b"\x54\xff"[..], &b"\x71\xff\xff\xff\xff"[..]], Value::Int(-1))]
#[case(&[&b"\x55\xfe"[..], &b"\x81\xff\xff\xff\xff\xff\xff\xff\xfe"[..]], Value::Long(-2))]
#[case(&[&b"\xa0\x01x"[..], &b"\xb0\x00\x00\x00\x01x"[..]], Value::Binary(b"x".to_vec()))]
#[case(&[&b"\xa1\x01x"[..], &b"\xb1\x00\x00\x00\x01x"[..]], Value::text("x"))]
#[case(&[&b"\xa3\x01x"[..], &b"\xb3\x00\x00\x00\x01x"[..]], Value::symbol("x"))]
#[case(&[&b"\x45"[..], &b"\xc0\x01\x00"[..], &b"\xd0\x00\x00\x00\x04\x00\x00\x00\x00"[..]], Value::List(vec![]))]
#[case(&[&b"\xc1\x03\x02\x41\x40"[..], &b"\xd1\x00\x00\x00\x06\x00\x00\x00\x02\x41\x40"[..]],
    Value::Map(vec![(Value::Bool(true), Value::Null)]))]
#[case(&[&b"\xe0\x04\x02\x50\x01\x02"[..], &b"\xf0\x00\x00\x00\x07\x00\x00\x00\x02\x50\x01\x02"[..]],
    Value::Array(vec![Value::Ubyte(1), Value::Ubyte(2)]))]
fn every_encoding_decodes_to_the_value(#[case] encodings: &[&[u8]], #[case] value: Value) {
    for encoding in encodings {
        let mut rest = *encoding;
        assert_eq!(decode(&mut rest), Ok(value.clone()), "{encoding:x?}");
        assert!(rest.is_empty());
    }
}
