//! Ended flows at a stand-in IPFIX collector.

mod support;

use rstest::rstest;
use std::net::UdpSocket;
use support::*;

fn number(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |n, b| (n << 8) | u64::from(*b))
}

/// The next message's one set: its id, its body, and the message's sequence number.
fn set(collector: &UdpSocket) -> (u64, Vec<u8>, u64) {
    let mut bytes = [0; 2048];
    let size = collector.recv(&mut bytes).expect("a message");
    assert_eq!((number(&bytes[..2]), number(&bytes[2..4])), (10, size as u64), "version and length");
    assert_eq!(number(&bytes[18..20]), size as u64 - 16, "the set's length");
    (number(&bytes[16..18]), bytes[20..size].to_vec(), number(&bytes[8..12]))
}

#[rstest]
fn an_ended_flow_is_exported_as_its_template_says() {
    let collector = UdpSocket::bind("127.0.0.1:0").expect("a port");
    collector.set_read_timeout(Some(std::time::Duration::from_secs(20))).expect("a time-out");
    let to = collector.local_addr().expect("bound").to_string();
    let bench = Bench::with_args(vec![listener()], None, &["--ipfix", &to], str::to_string);
    let mut client = bench.connect_client("OPEN 9b1f 7f3a c=live-readings,t=acme,d=1200,g=5c0f");
    let mut task = Peer::accept(&bench.servers[0]);
    task.read_line();
    task.send("UP r1\r\nBYE\r\n");
    drop(task);
    while !client.read_line().is_empty() {}

    let (id, template, _) = set(&collector);
    assert_eq!((id, number(&template[..2])), (2, 256));
    let fields: Vec<(u64, u64)> =
        template[4..].chunks(4).map(|f| (number(&f[..2]), number(&f[2..]))).collect();
    assert_eq!(fields.len() as u64, number(&template[2..4]));

    let (id, mut record, sequence) = set(&collector);
    assert_eq!((id, sequence), (256, 0));
    let mut found = std::collections::HashMap::new();
    for (element, length) in fields {
        let length = if length == 0xffff { record.remove(0) as usize } else { length as usize };
        found.insert(element, record.drain(..length).collect::<Vec<u8>>());
    }
    assert!(record.is_empty(), "nothing beyond the template");
    assert_eq!(
        [&found[&96][..], &found[&94][..], &found[&372][..]],
        [&b"live-readings"[..], b"text", b"served"]
    );
    let port = bench.servers[0].local_addr().expect("bound").port();
    assert_eq!((number(&found[&11]), number(&found[&12])), (u64::from(port), 0x7f00_0001));
    assert_eq!((number(&found[&136]), number(&found[&278])), (3, 1));
    assert!(number(&found[&152]) > 1_500_000_000_000 && number(&found[&153]) >= number(&found[&152]));
}
