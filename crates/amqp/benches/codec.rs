//! Decoding and encoding beside serde_amqp, both in one run: `cargo bench -p sparbank-amqp`.
//! Prints the median of rounds for each, and the ratio.

use fe2o3_amqp_types::messaging as msg;
use fe2o3_amqp_types::performatives as theirs;
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_amqp::{from_slice, to_vec};
use sparbank_amqp::{
    encode, read_frame, write_frame, Disposition, Message, Performative, State, Tag, Transfer, Value, AMQP,
};
use std::hint::black_box;
use std::time::Instant;

const ROUNDS: usize = 21;
const ITEMS: usize = 20_000;
/// Octets of a frame before its body.
const FRAME_HEADER_BYTES: usize = 8;
const MAX_FRAME_SIZE: u32 = 4096;

/// A message of theirs as it is decoded.
type TheirMessage = msg::message::__private::Deserializable<msg::Message<msg::Body<serde_amqp::Value>>>;

/// Nanoseconds an item takes, over all rounds.
struct Timing {
    median: f64,
    fastest: f64,
    slowest: f64,
}

fn main() {
    compare_performative::<theirs::Transfer>("transfer", &transfer());
    compare_performative::<theirs::Disposition>("disposition", &disposition());
    compare_messages();
}

/// Times rounds of work, after one that does not count.
fn time(mut work: impl FnMut()) -> Timing {
    let mut rounds: Vec<f64> = (0..=ROUNDS)
        .map(|_| {
            let start = Instant::now();
            (0..ITEMS).for_each(|_| work());
            start.elapsed().as_nanos() as f64 / ITEMS as f64
        })
        .skip(1)
        .collect();
    rounds.sort_by(f64::total_cmp);
    Timing { median: rounds[ROUNDS / 2], fastest: rounds[0], slowest: rounds[ROUNDS - 1] }
}

fn compare(name: &str, ours: impl FnMut(), theirs: impl FnMut()) {
    let (ours, theirs) = (time(ours), time(theirs));
    println!(
        "{name:<22} ours {:>7.0} ns ({:.0}..{:.0})  serde_amqp {:>7.0} ns ({:.0}..{:.0})  ratio {:.1}",
        ours.median,
        ours.fastest,
        ours.slowest,
        theirs.median,
        theirs.fastest,
        theirs.slowest,
        theirs.median / ours.median
    );
}

fn decode_theirs<T: DeserializeOwned>(bytes: &[u8]) -> T {
    from_slice(bytes).expect("the library reads it")
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

/// Compares a frame body. `Theirs` is its type in the other library.
fn compare_performative<Theirs: DeserializeOwned + Serialize>(name: &str, body: &Performative) {
    let mut frame = Vec::new();
    write_frame(&mut frame, AMQP, 0, Some(body), &[]);
    let encoded = &frame[FRAME_HEADER_BYTES..];
    compare(
        &format!("{name} decode"),
        || {
            black_box(read_frame(&mut black_box(&frame[..]), MAX_FRAME_SIZE).expect("sound"));
        },
        || {
            black_box(decode_theirs::<Theirs>(black_box(encoded)));
        },
    );
    let value: Theirs = decode_theirs(encoded);
    let mut out = Vec::new();
    compare(
        &format!("{name} encode"),
        || {
            out.clear();
            write_frame(&mut out, AMQP, 0, Some(black_box(body)), &[]);
            black_box(&out);
        },
        || {
            black_box(to_vec(black_box(&value)).expect("the library writes it"));
        },
    );
}

/// A message with a header, application properties and a body of 256 octets.
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

fn compare_messages() {
    let bytes = encoded_message();
    compare(
        "message 256 decode",
        || {
            black_box(Message::decode(black_box(&bytes)).expect("sound"));
        },
        || {
            black_box(decode_theirs::<TheirMessage>(black_box(&bytes)));
        },
    );
    let message = Message::decode(&bytes).expect("sound");
    let value: TheirMessage = decode_theirs(&bytes);
    let theirs = msg::message::__private::Serializable(value.0);
    compare(
        "message 256 encode",
        || {
            black_box(message.encode(black_box(900)));
        },
        || {
            black_box(to_vec(black_box(&theirs)).expect("the library writes it"));
        },
    );
}
