//! Compares decoding and encoding with serde_amqp in the same run: `cargo bench -p sparbank-amqp`.
//!
//! Prints the median time per item of each library, the fastest and slowest round, and the ratio of the medians.

use fe2o3_amqp_types::messaging;
use fe2o3_amqp_types::performatives as fe2o3;
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_amqp::{from_slice, to_vec};
use sparbank_amqp::{
    encode, read_frame, write_frame, Disposition, Message, Performative, State, Tag, Transfer, Value, AMQP,
};
use std::hint::black_box;
use std::time::Instant;

/// The number of measured rounds for each operation.
const ROUNDS: usize = 21;
/// The number of operations in a round, over which their time is averaged.
const ITEMS: usize = 20_000;
/// The number of octets that precede a frame's body.
const FRAME_HEADER_BYTES: usize = 8;
const MAX_FRAME_SIZE: u32 = 4096;

/// The type that serde_amqp decodes a message into.
type Fe2o3Message =
    messaging::message::__private::Deserializable<messaging::Message<messaging::Body<serde_amqp::Value>>>;

/// Nanoseconds per operation, averaged over each round.
struct Timing {
    median: f64,
    fastest: f64,
    slowest: f64,
}

fn main() {
    compare_performative::<fe2o3::Transfer>("transfer", &transfer());
    compare_performative::<fe2o3::Disposition>("disposition", &disposition());
    compare_messages();
}

/// Times rounds of an operation, after one round of warm-up.
fn time(mut operation: impl FnMut()) -> Timing {
    let mut rounds: Vec<f64> = (0..=ROUNDS)
        .map(|_| {
            let start = Instant::now();
            (0..ITEMS).for_each(|_| operation());
            start.elapsed().as_nanos() as f64 / ITEMS as f64
        })
        .skip(1)
        .collect();
    rounds.sort_by(f64::total_cmp);
    Timing { median: rounds[ROUNDS / 2], fastest: rounds[0], slowest: rounds[ROUNDS - 1] }
}

/// Times the same operation in both libraries and prints the result.
fn compare(name: &str, sparbank_operation: impl FnMut(), serde_amqp_operation: impl FnMut()) {
    let (sparbank, serde_amqp) = (time(sparbank_operation), time(serde_amqp_operation));
    println!(
        "{name:<22} sparbank_amqp {:>7.0} ns ({:.0}..{:.0})  serde_amqp {:>7.0} ns ({:.0}..{:.0})  ratio {:.1}",
        sparbank.median,
        sparbank.fastest,
        sparbank.slowest,
        serde_amqp.median,
        serde_amqp.fastest,
        serde_amqp.slowest,
        serde_amqp.median / sparbank.median
    );
}

fn decode_with_serde_amqp<T: DeserializeOwned>(bytes: &[u8]) -> T {
    from_slice(bytes).expect("serde_amqp decodes it")
}

fn transfer() -> Performative {
    let transfer = Transfer {
        handle: Some(1),
        delivery_id: Some(300),
        delivery_tag: Tag::new(&[1, 2, 3, 4, 5, 6, 7, 8]),
        message_format: Some(0),
        settled: Some(false),
        more: Some(false),
        ..Default::default()
    };
    transfer.into()
}

fn disposition() -> Performative {
    let disposition = Disposition {
        role: Some(true),
        first: Some(300),
        last: Some(309),
        settled: Some(true),
        state: Some(State::Accepted),
        ..Default::default()
    };
    disposition.into()
}

/// Compares decoding and encoding of a frame body. `Fe2o3Body` is its type for serde_amqp.
fn compare_performative<Fe2o3Body: DeserializeOwned + Serialize>(name: &str, body: &Performative) {
    let mut frame = Vec::new();
    write_frame(&mut frame, AMQP, 0, Some(body), &[]);
    let encoded = &frame[FRAME_HEADER_BYTES..];
    compare(
        &format!("{name} decode"),
        || {
            black_box(read_frame(&mut black_box(&frame[..]), MAX_FRAME_SIZE).expect("well-formed"));
        },
        || {
            black_box(decode_with_serde_amqp::<Fe2o3Body>(black_box(encoded)));
        },
    );
    let value: Fe2o3Body = decode_with_serde_amqp(encoded);
    let mut out = Vec::new();
    compare(
        &format!("{name} encode"),
        || {
            out.clear();
            write_frame(&mut out, AMQP, 0, Some(black_box(body)), &[]);
            black_box(&out);
        },
        || {
            black_box(to_vec(black_box(&value)).expect("serde_amqp encodes it"));
        },
    );
}

/// Encodes a message with a header, application properties and a body of 256 octets.
fn encoded_message() -> Vec<u8> {
    let section = |code, value| Value::described(code, value);
    let pair = |key: &str, value: &str| (Value::text(key), Value::text(value));
    let properties =
        vec![pair("key", "7f3a9c21e0b4d655"), pair("tenant", "porto-catania"), pair("group", "5c0f")];
    let header = Value::List(vec![Value::Bool(true), Value::Null, Value::Uint(1200)]);
    let mut bytes = Vec::new();
    encode(&section(0x70, header), &mut bytes);
    encode(&section(0x74, Value::Map(properties)), &mut bytes);
    encode(&section(0x75, Value::Binary(vec![7; 256])), &mut bytes);
    bytes
}

/// Compares decoding and encoding of a message.
fn compare_messages() {
    let bytes = encoded_message();
    compare(
        "message 256 decode",
        || {
            black_box(Message::decode(black_box(&bytes)).expect("well-formed"));
        },
        || {
            black_box(decode_with_serde_amqp::<Fe2o3Message>(black_box(&bytes)));
        },
    );
    let message = Message::decode(&bytes).expect("well-formed");
    let value: Fe2o3Message = decode_with_serde_amqp(&bytes);
    let serializable = messaging::message::__private::Serializable(value.0);
    compare(
        "message 256 encode",
        || {
            black_box(message.encode(black_box(900)));
        },
        || {
            black_box(to_vec(black_box(&serializable)).expect("serde_amqp encodes it"));
        },
    );
}
