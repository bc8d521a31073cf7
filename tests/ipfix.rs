//! Records of ended flows, as an IPFIX collector receives them.

use rstest::rstest;
use sparbank_test_support::{listener, Peer, TestNode};
use std::collections::HashMap;
use std::net::UdpSocket;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

const IPFIX_VERSION: u64 = 10;
const HEADER_BYTES: usize = 16;
const SET_HEADER_BYTES: usize = 4;
const TEMPLATE_SET_ID: u64 = 2;
const TEMPLATE_ID: u64 = 256;
/// The template's field length of a string whose length each record contains.
const VARIABLE_LENGTH: u64 = 0xffff;
const END_OF_FLOW: u64 = 3;
/// A time in 2017, in Unix milliseconds: exported times are Unix times.
const SOME_PAST_TIME_MS: u64 = 1_500_000_000_000;

/// Decodes an unsigned big-endian number of up to eight bytes.
fn number(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |number, byte| (number << 8) | u64::from(*byte))
}

/// The only set in a message.
struct Set {
    id: u64,
    body: Vec<u8>,
    /// The message's sequence number.
    sequence: u64,
}

fn receive_set(collector: &UdpSocket) -> Set {
    let mut bytes = [0; 2048];
    let size = collector.recv(&mut bytes).expect("a message");
    let version = number(&bytes[..2]);
    let message_length = number(&bytes[2..4]);
    assert_eq!((version, message_length), (IPFIX_VERSION, size as u64), "version and length");
    let set_length = number(&bytes[18..20]);
    assert_eq!(set_length, (size - HEADER_BYTES) as u64, "the set's length");
    Set {
        id: number(&bytes[16..18]),
        body: bytes[HEADER_BYTES + SET_HEADER_BYTES..size].to_vec(),
        sequence: number(&bytes[8..12]),
    }
}

/// A field of a template: an information element and its length.
struct Field {
    element: u64,
    length: u64,
}

fn parse_template(body: &[u8]) -> Vec<Field> {
    let field = |bytes: &[u8]| Field { element: number(&bytes[..2]), length: number(&bytes[2..]) };
    let fields: Vec<Field> = body[4..].chunks(4).map(field).collect();
    assert_eq!(fields.len() as u64, number(&body[2..4]));
    fields
}

/// The values of a record, by information element.
fn parse_record(fields: &[Field], mut record: Vec<u8>) -> HashMap<u64, Vec<u8>> {
    let mut values = HashMap::new();
    for field in fields {
        let length = match field.length {
            VARIABLE_LENGTH => record.remove(0) as usize,
            length => length as usize,
        };
        values.insert(field.element, record.drain(..length).collect());
    }
    assert!(record.is_empty(), "a record has no bytes beyond its template");
    values
}

#[rstest]
fn an_ended_flow_is_exported_as_its_template_describes() {
    let collector = UdpSocket::bind("127.0.0.1:0").expect("a UDP socket");
    collector.set_read_timeout(Some(std::time::Duration::from_secs(20))).expect("a time-out");
    let address = collector.local_addr().expect("bound").to_string();
    let bench =
        TestNode::start_with_args(PROGRAM, vec![listener()], None, &["--ipfix", &address], str::to_string);
    let mut client = bench.connect_client("OPEN 9b1f 7f3a c=live-readings,t=acme,d=1200,g=5c0f");
    let mut attempt = Peer::accept(&bench.servers[0]);
    attempt.read_line();
    attempt.send("UP r1\r\nBYE\r\n");
    drop(attempt);
    while !client.read_line().is_empty() {}

    let template = receive_set(&collector);
    assert_eq!((template.id, number(&template.body[..2])), (TEMPLATE_SET_ID, TEMPLATE_ID));
    let fields = parse_template(&template.body);

    let data = receive_set(&collector);
    assert_eq!((data.id, data.sequence), (TEMPLATE_ID, 0));
    let values = parse_record(&fields, data.body);
    let class_frontend_and_result = [&values[&96][..], &values[&94][..], &values[&372][..]];
    assert_eq!(class_frontend_and_result, [&b"live-readings"[..], b"text", b"served"]);
    let port = bench.servers[0].local_addr().expect("bound").port();
    assert_eq!((number(&values[&11]), number(&values[&12])), (u64::from(port), 0x7f00_0001));
    let (end_reason, attempts) = (number(&values[&136]), number(&values[&278]));
    assert_eq!((end_reason, attempts), (END_OF_FLOW, 1));
    let (started_at, ended_at) = (number(&values[&152]), number(&values[&153]));
    assert!(started_at > SOME_PAST_TIME_MS && ended_at >= started_at);
}
