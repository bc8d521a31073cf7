//! Clients whose links hold memory: they are refused further links, and the others attach and are served.

use rstest::rstest;
use sparbank_amqp::{condition, Attach, Detach, Performative, Source, Target, Terminus, Value};
use sparbank_test_support::{counter_value, listener, AmqpPeer, NextFrame, TestNode};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

const CLASS: &str = "live-readings";
/// The memory that all links may hold in these tests, in octets.
const MAX_LINK_MEMORY: u64 = 4 * 1024 * 1024;
/// What the clients' connections, their messages and the allocator may take beside the links, in octets.
const OTHER_MEMORY: u64 = 16 * 1024 * 1024;
const CLIENTS: usize = 60;
/// Links that each client attaches: many times its share.
const LINKS: u32 = 24;
/// Short values in each attach, which take many times their encoding in memory.
const SHORT_VALUES: u32 = 1_500;
/// The first handle of the client that attaches afterwards.
const HONEST_LINKS: u32 = 4;

/// How clients make their links hold memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkContent {
    /// Sending links that may be resumed, whose unsettled maps hold many short tags.
    UnsettledTags,
    /// Receiving links with many short properties.
    Properties,
    /// Links with long names and nothing else.
    LongNames,
}

impl LinkContent {
    fn attach(self, handle: u32) -> Attach {
        let target = Target { address: Some(CLASS.to_string()), timeout: Some(30), ..Default::default() };
        let sending = Attach {
            name: Some(format!("link-{handle}")),
            handle: Some(handle),
            role: Some(false),
            target: Some(Terminus::Target(target)),
            initial_delivery_count: Some(0),
            ..Default::default()
        };
        match self {
            LinkContent::UnsettledTags => {
                let tag = |number: u32| (Value::Binary(number.to_be_bytes().to_vec()), Value::Null);
                Attach { unsettled: Some(Value::Map((0..SHORT_VALUES).map(tag).collect())), ..sending }
            }
            LinkContent::Properties => {
                let property = |number: u32| (Value::Symbol(format!("p{number}")), Value::Null);
                let source = Source { address: Some(CLASS.to_string()), ..Default::default() };
                Attach {
                    role: Some(true),
                    source: Some(source),
                    properties: Some(Value::Map((0..SHORT_VALUES).map(property).collect())),
                    initial_delivery_count: None,
                    ..sending
                }
            }
            LinkContent::LongNames => Attach { name: Some(format!("{handle:08000}")), ..sending },
        }
    }
}

/// Reads until the node refuses a link, or until it has answered this many.
fn read_refusal(client: &mut AmqpPeer, links: u32) -> Option<Box<Detach>> {
    let mut attached = 0;
    loop {
        match client.read_frame() {
            NextFrame::Body(body, _) => match *body {
                Performative::Detach(detach) => return Some(Box::new(detach)),
                Performative::Flow(_) => attached += 1,
                _ => {}
            },
            NextFrame::Heartbeat => {}
            NextFrame::Ended | NextFrame::Reset => panic!("the connection ended"),
        }
        if attached == links {
            return None;
        }
    }
}

/// Regression: links of many clients together had no limit, and the process exceeded its memory limit and was killed.
#[rstest]
#[case::unsettled_tags(LinkContent::UnsettledTags)]
#[case::properties(LinkContent::Properties)]
#[case::long_names(LinkContent::LongNames)]
fn links_of_many_clients_together_hold_a_limited_memory(#[case] content: LinkContent) {
    let settings = format!(
        r#"{{"listen":"127.0.0.1:0","resume_links":16,"max_link_memory":{MAX_LINK_MEMORY},"server_idle_ms":60000}}"#
    );
    let mut bench = TestNode::start_with_servers(PROGRAM, vec![listener()], Some(&settings));
    let addr = bench.amqp_addr.expect("AMQP is on");
    let before = bench.process.peak_memory();
    let mut greedy: Vec<AmqpPeer> = (0..CLIENTS).map(|_| AmqpPeer::client(addr, None)).collect();
    for client in &mut greedy {
        (0..LINKS).for_each(|handle| client.send_performative(content.attach(handle)));
    }
    let refusal = greedy.iter_mut().find_map(|client| read_refusal(client, LINKS)).expect("a refusal");
    let error = refusal.error.expect("an error");
    assert_eq!(error.condition, condition::RESOURCE_LIMIT_EXCEEDED);
    assert!(error.description.expect("a description").contains("max_link_memory"));

    let mut honest = AmqpPeer::client(addr, None);
    (0..HONEST_LINKS).for_each(|handle| honest.send_sender_attach(handle, CLASS));
    assert_eq!(read_refusal(&mut honest, HONEST_LINKS), None, "its share is granted");
    let link_bytes = counter_value(&bench.frontend_counters("amqp"), "link_bytes");
    assert!(link_bytes <= 2 * MAX_LINK_MEMORY, "{link_bytes} octets are counted");
    let growth = bench.process.peak_memory() - before;
    assert!(growth <= 2 * MAX_LINK_MEMORY + OTHER_MEMORY, "the process has grown by {growth} octets");
    drop(greedy);
    while counter_value(&bench.frontend_counters("amqp"), "clients") > 1 {}
    let link_bytes = counter_value(&bench.frontend_counters("amqp"), "link_bytes");
    assert!(
        link_bytes < MAX_LINK_MEMORY / 100,
        "{link_bytes} octets are counted after the clients have gone"
    );
}
