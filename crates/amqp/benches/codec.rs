//! Decoding and encoding beside serde_amqp, both in one run: `cargo bench -p sparbank-amqp`.
//! Prints the median of rounds for each, and the ratio.

use fe2o3_amqp_types::messaging as msg;
use fe2o3_amqp_types::performatives as theirs;
use serde_amqp::{from_slice, to_vec};
use sparbank_amqp::{
    encode, read_frame, write_frame, Disposition, Message, Performative, State, Tag, Transfer, Value, AMQP,
};
use std::hint::black_box;
use std::time::Instant;

const ROUNDS: usize = 21;
const ITEMS: usize = 20_000;

/// Nanoseconds an item takes: the median and the spread of the rounds, after one that does not count.
fn time(mut work: impl FnMut()) -> (f64, f64, f64) {
    let mut rounds: Vec<f64> = (0..=ROUNDS)
        .map(|_| {
            let start = Instant::now();
            (0..ITEMS).for_each(|_| work());
            start.elapsed().as_nanos() as f64 / ITEMS as f64
        })
        .skip(1)
        .collect();
    rounds.sort_by(f64::total_cmp);
    (rounds[ROUNDS / 2], rounds[0], rounds[ROUNDS - 1])
}

fn compare(name: &str, ours: impl FnMut(), theirs: impl FnMut()) {
    let (a, b) = (time(ours), time(theirs));
    println!(
        "{name:<22} ours {:>7.0} ns ({:.0}..{:.0})  serde_amqp {:>7.0} ns ({:.0}..{:.0})  ratio {:.1}",
        a.0,
        a.1,
        a.2,
        b.0,
        b.1,
        b.2,
        b.0 / a.0
    );
}

fn body_of<T>(bytes: &[u8]) -> T
where
    T: serde::de::DeserializeOwned,
{
    from_slice(bytes).expect("the library reads it")
}

fn main() {
    compare_performatives();
    compare_messages();
}

fn compare_performatives() {
    let transfer: Performative = Transfer {
        handle: Some(1),
        delivery_id: Some(300),
        delivery_tag: Tag::new(&[1, 2, 3, 4, 5, 6, 7, 8]),
        message_format: Some(0),
        settled: Some(false),
        more: Some(false),
        ..Default::default()
    }
    .into();
    let disposition: Performative = Disposition {
        role: Some(true),
        first: Some(300),
        last: Some(309),
        settled: Some(true),
        state: Some(State::Accepted),
        ..Default::default()
    }
    .into();
    macro_rules! performative {
        ($name:literal, $body:expr, $theirs:ty) => {
            let mut bytes = Vec::new();
            write_frame(&mut bytes, AMQP, 0, Some(&$body), &[]);
            let body = &bytes[8..];
            compare(
                concat!($name, " decode"),
                || {
                    black_box(read_frame(&mut black_box(&bytes[..]), 4096).expect("sound"));
                },
                || {
                    black_box(body_of::<$theirs>(black_box(body)));
                },
            );
            let value: $theirs = body_of(body);
            let mut out = Vec::new();
            compare(
                concat!($name, " encode"),
                || {
                    out.clear();
                    write_frame(&mut out, AMQP, 0, Some(black_box(&$body)), &[]);
                    black_box(&out);
                },
                || {
                    black_box(to_vec(black_box(&value)).expect("the library writes it"));
                },
            );
        };
    }
    performative!("transfer", transfer, theirs::Transfer);
    performative!("disposition", disposition, theirs::Disposition);
}

fn compare_messages() {
    let section = |code, value| Value::described(code, value);
    let mut bytes = Vec::new();
    encode(&section(0x70, Value::List(vec![Value::Bool(true), Value::Null, Value::Uint(1200)])), &mut bytes);
    let pair = |k: &str, v: &str| (Value::text(k), Value::text(v));
    let map = vec![pair("key", "7f3a9c21e0b4d655"), pair("tenant", "porto-catania"), pair("group", "5c0f")];
    encode(&section(0x74, Value::Map(map)), &mut bytes);
    encode(&section(0x75, Value::Binary(vec![7; 256])), &mut bytes);
    type Theirs = msg::message::__private::Deserializable<msg::Message<msg::Body<serde_amqp::Value>>>;
    compare(
        "message 256 decode",
        || {
            black_box(Message::decode(black_box(&bytes)).expect("sound"));
        },
        || {
            black_box(body_of::<Theirs>(black_box(&bytes)));
        },
    );
    let message = Message::decode(&bytes).expect("sound");
    let value: Theirs = body_of(&bytes);
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
