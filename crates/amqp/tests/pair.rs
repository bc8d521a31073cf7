//! Two connections against each other, in memory: whatever the order and the pieces, credit and windows
//! hold and every delivery ends once.

use proptest::prelude::*;
use rstest::rstest;
use sparbank_amqp::{
    condition, read_frame, write_frame, Attach, Connection, Credentials, Error, Event, Fault,
    IncomingTransfer, LinkId, Mechanism, Outgoing, Pbkdf2, Performative, Role, SaltedKeys, SaslRequest,
    Settings, State, Tag, Target, Terminus, Transfer, AMQP,
};
use sparbank_time::MonotonicTime;
use std::collections::{BTreeMap, VecDeque};

/// Two ends and the octets between them.
struct Pair {
    ends: [Connection; 2],
    wires: [Vec<u8>; 2],
    events: [VecDeque<Event<'static>>; 2],
}

fn out(key: u64, settled: bool) -> Outgoing {
    Outgoing { key, tag: key.into(), settled }
}

fn owned(event: Event<'_>) -> Event<'static> {
    match event {
        Event::Transfer { link, transfer } => {
            // The tests look at sizes alone.
            let IncomingTransfer { id, tag, first, last, aborted, settled, resume, payload } = transfer;
            let payload: &'static [u8] = &[0; 65536][..payload.len()];
            Event::Transfer {
                link,
                transfer: IncomingTransfer { id, tag, first, last, aborted, settled, resume, payload },
            }
        }
        Event::SaslRequest(request) => Event::SaslRequest(request),
        Event::Opened {} => Event::Opened {},
        Event::Began { channel } => Event::Began { channel },
        Event::Ended { channel } => Event::Ended { channel },
        Event::AttachRequested { link, role, attach } => Event::AttachRequested { link, role, attach },
        Event::Attached { link, attach } => Event::Attached { link, attach },
        Event::Credit { link } => Event::Credit { link },
        Event::SessionWindow { channel } => Event::SessionWindow { channel },
        Event::Settled { link, id, key, state } => Event::Settled { link, id, key, state },
        Event::SettledBySender { link, key } => Event::SettledBySender { link, key },
        Event::DeliveryLost { link, role, key } => Event::DeliveryLost { link, role, key },
        Event::Detached { link, closed, error } => Event::Detached { link, closed, error },
        Event::Closed { error } => Event::Closed { error },
    }
}

impl Pair {
    fn new(client: Settings, server: Settings) -> Pair {
        let ends = [
            Connection::dial(MonotonicTime::ZERO, client, None),
            Connection::accept(MonotonicTime::ZERO, server, None),
        ];
        Pair { ends, wires: Default::default(), events: Default::default() }
    }

    /// Carries at most this many octets from one end to the other.
    fn carry(&mut self, from: usize, most: usize) -> Result<(), Fault> {
        let out = self.ends[from].take_output(MonotonicTime::ZERO);
        let wire = &mut self.wires[from];
        wire.extend(out);
        let end = most.min(wire.len());
        let mut left = &wire[..end];
        while let Some(event) = self.ends[1 - from].next_event(MonotonicTime::ZERO, &mut left)? {
            self.events[1 - from].push_back(owned(event));
        }
        let taken = end - left.len();
        wire.drain(..taken);
        Ok(())
    }

    fn settle_down(&mut self) {
        for _ in 0..8 {
            self.carry(0, usize::MAX).expect("sound");
            self.carry(1, usize::MAX).expect("sound");
        }
    }

    /// An open pair with a session and a link from the first end to the second, without credit.
    fn linked(client: Settings, server: Settings) -> (Pair, LinkId, LinkId) {
        let mut pair = Pair::new(client, server);
        pair.settle_down();
        let channel = pair.ends[0].begin().expect("room");
        let target = Some(Terminus::Target(Target { address: Some("a".into()), ..Default::default() }));
        let attach = Attach { target, ..Default::default() };
        let ours = pair.ends[0].attach(channel, "l", Role::Sender, attach).expect("room");
        pair.settle_down();
        let requested = pair.events[1].iter().find_map(|event| match event {
            Event::AttachRequested { link, role: Role::Receiver, attach } => Some((*link, attach.clone())),
            _ => None,
        });
        let (theirs, attach) = requested.expect("the link is requested");
        pair.ends[1].accept_link(theirs, Attach { target: attach.target, ..Default::default() });
        pair.settle_down();
        pair.events.iter_mut().for_each(VecDeque::clear);
        (pair, ours, theirs)
    }
}

#[derive(Clone, Debug)]
enum Step {
    Grant(u32),
    Send(usize, bool),
    Abort,
    Settle,
    Carry(usize, usize),
    Drain,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u32..8).prop_map(Step::Grant),
        (0usize..3000, any::<bool>()).prop_map(|(size, last)| Step::Send(size, last)),
        Just(Step::Abort),
        Just(Step::Settle),
        (0usize..2, 1usize..2000).prop_map(|(from, most)| Step::Carry(from, most)),
        Just(Step::Drain),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Numbers start just below their wrap, frames are small and windows smaller.
    #[test]
    fn every_delivery_ends_once_whatever_the_order(
        steps in prop::collection::vec(step(), 1..120),
        first in prop_oneof![Just(0u32), Just(u32::MAX - 2), Just(u32::MAX / 2)],
        window in 1u32..5,
        second in any::<bool>(),
    ) {
        let client = Settings { initial_id: first, max_frame_size: 512, ..Settings::default() };
        let server = Settings { incoming_window: window, max_frame_size: 512, initial_id: first.wrapping_add(9), ..Settings::default() };
        let (mut pair, ours, theirs) = Pair::linked(client, server);
        let _ = second;
        let (mut next_key, mut sending) = (0u64, None::<u64>);
        let mut open: BTreeMap<u64, ()> = BTreeMap::new();
        let mut complete: VecDeque<u32> = VecDeque::new();
        let (mut granted, mut begun) = (0u32, 0u32);
        let finish = |pair: &mut Pair,
                          complete: &mut VecDeque<u32>,
                          open: &mut BTreeMap<u64, ()>,
                          begun: &mut u32| {
            while let Some(event) = pair.events[1].pop_front() {
                if let Event::Transfer { transfer, .. } = event {
                    *begun += u32::from(transfer.first);
                    if transfer.last && !transfer.aborted {
                        complete.push_back(transfer.id);
                    }
                }
            }
            while let Some(event) = pair.events[0].pop_front() {
                if let Event::Settled { key, .. } = event {
                    assert!(open.remove(&key).is_some(), "{key} ended twice");
                }
            }
        };
        for step in steps {
            match step {
                Step::Grant(credit) => {
                    let before = pair.ends[1].credit(theirs);
                    pair.ends[1].set_credit(theirs, credit.max(before));
                    granted += pair.ends[1].credit(theirs) - before;
                }
                Step::Send(size, last) => {
                    let key = sending.unwrap_or(next_key);
                    let payload = vec![0; size];
                    let sent = pair.ends[0].send(ours, out(key, false), &payload, last, 1 << 16);
                    if sent.started && sending.is_none() {
                        next_key += 1;
                        sending = Some(key);
                        open.insert(key, ());
                    }
                    if sent.complete {
                        sending = None;
                    }
                }
                Step::Abort => {
                    if let Some(key) = sending.take() {
                        pair.ends[0].abort(ours);
                        open.remove(&key);
                    }
                }
                Step::Settle => {
                    if let Some(id) = complete.pop_front() {
                        pair.ends[1].settle(theirs.channel, id, State::Accepted);
                    }
                }
                Step::Carry(from, most) => pair.carry(from, most).expect("both keep to the standard"),
                Step::Drain => pair.ends[0].return_credit(ours),
            }
            finish(&mut pair, &mut complete, &mut open, &mut begun);
            prop_assert!(begun <= granted, "{begun} deliveries on a credit of {granted}");
        }
        // Whatever is on its way comes through, is settled, and nothing is left over.
        for _ in 0..64 {
            if let Some(key) = sending.filter(|_| pair.ends[0].is_sending(ours)) {
                if pair.ends[0].send(ours, out(key, false), &[1], true, 1 << 16).complete {
                    sending = None;
                }
            }
            pair.settle_down();
            finish(&mut pair, &mut complete, &mut open, &mut begun);
            while let Some(id) = complete.pop_front() {
                pair.ends[1].settle(theirs.channel, id, State::Accepted);
            }
        }
        prop_assert!(open.is_empty(), "{open:?} never ended");
        prop_assert_eq!([pair.ends[0].unsettled(ours), pair.ends[1].unsettled(theirs)], [0, 0]);
    }

    /// Noise after any prefix of a sound exchange is a fault or is waited on; it never panics.
    #[test]
    fn noise_in_every_state_is_a_fault_and_never_a_panic(
        carried in 0usize..6,
        noise in prop::collection::vec(any::<u8>(), 0..300),
        frame in any::<bool>(),
    ) {
        let mut pair = Pair::new(Settings::default(), Settings::default());
        for _ in 0..carried {
            pair.carry(0, usize::MAX).expect("sound");
            pair.carry(1, usize::MAX).expect("sound");
            if pair.ends[0].is_open() && pair.ends[0].channels().is_empty() {
                let channel = pair.ends[0].begin().expect("room");
                pair.ends[0].attach(channel, "l", Role::Sender, Attach::default());
            }
        }
        let mut bytes = noise;
        if frame {
            // As the body of a frame whose size is right, on the first channel.
            let size = (bytes.len() as u32 + 8).to_be_bytes();
            bytes.splice(0..0, [size[0], size[1], size[2], size[3], 2, 0, 0, 0]);
        }
        let mut left = &bytes[..];
        while let Ok(Some(_)) = pair.ends[1].next_event(MonotonicTime::ZERO, &mut left) {}
    }

    /// One octet of a sound exchange changed: a fault or a change of meaning, never a panic.
    #[test]
    fn a_flipped_octet_is_never_a_panic(at in 0usize..2000, to in any::<u8>()) {
        let (mut pair, ours, theirs) = Pair::linked(Settings::default(), Settings::default());
        pair.ends[1].set_credit(theirs, 10);
        pair.settle_down();
        for key in 0..5u64 {
            pair.ends[0].send(ours, out(key, key == 3), &[7; 100], true, 1 << 16);
        }
        pair.ends[0].detach(ours, true, Some(Box::new(Error::new(condition::NOT_FOUND, "why"))));
        pair.ends[0].close(None);
        let mut bytes = pair.ends[0].take_output(MonotonicTime::ZERO);
        let at = at % bytes.len();
        bytes[at] = to;
        let mut left = &bytes[..];
        while let Ok(Some(_)) = pair.ends[1].next_event(MonotonicTime::ZERO, &mut left) {}
    }
}

#[rstest]
fn dispositions_that_run_on_go_out_as_one() {
    let (mut pair, ours, theirs) = Pair::linked(Settings::default(), Settings::default());
    pair.ends[1].set_credit(theirs, 100);
    pair.settle_down();
    for key in 0..50u64 {
        assert!(pair.ends[0].send(ours, out(key, false), b"x", true, 1 << 16).complete);
    }
    pair.settle_down();
    for id in 0..50 {
        pair.ends[1].settle(theirs.channel, id, if id == 20 { State::Released } else { State::Accepted });
    }
    let bytes = pair.ends[1].take_output(MonotonicTime::ZERO);
    let mut left = &bytes[..];
    let mut ranges = Vec::new();
    while let Some(frame) = read_frame(&mut left, 4096).expect("sound") {
        if let Some(Performative::Disposition(d)) = frame.body {
            ranges.push((d.first.expect("first"), d.last));
        }
    }
    assert_eq!(ranges, [(0, Some(19)), (20, None), (21, Some(49))]);
}

#[rstest]
fn a_receiver_that_settles_second_hears_the_senders_settlement() {
    let mut pair = Pair::new(Settings::default(), Settings::default());
    pair.settle_down();
    let channel = pair.ends[0].begin().expect("room");
    let attach = Attach { rcv_settle_mode: Some(1), ..Default::default() };
    let ours = pair.ends[0].attach(channel, "l", Role::Sender, attach).expect("room");
    pair.settle_down();
    let theirs = LinkId { channel: 0, handle: 0 };
    pair.ends[1].accept_link(theirs, Attach::default());
    pair.ends[1].set_credit(theirs, 1);
    pair.settle_down();
    assert!(pair.ends[0].send(ours, out(9, false), b"x", true, 1 << 16).complete);
    pair.settle_down();
    pair.ends[1].settle(channel, 0, State::Accepted);
    assert_eq!(pair.ends[1].unsettled(theirs), 1, "the sender has not settled yet");
    pair.settle_down();
    assert_eq!([pair.ends[0].unsettled(ours), pair.ends[1].unsettled(theirs)], [0, 0]);
    let settled = |e: &Event| matches!(e, Event::Settled { key: 9, state: Some(State::Accepted), .. });
    assert!(pair.events[0].iter().any(settled));
}

#[rstest]
#[case::too_many_frames(condition::WINDOW_VIOLATION)]
#[case::no_such_handle(condition::UNATTACHED_HANDLE)]
fn what_breaks_a_session_ends_it_and_the_connection_goes_on(#[case] expected: &str) {
    let server = Settings { incoming_window: 2, ..Settings::default() };
    let (mut pair, _, theirs) = Pair::linked(Settings::default(), server);
    pair.ends[1].set_credit(theirs, 100);
    pair.settle_down();
    let mut bytes = Vec::new();
    for id in 0..4 {
        let handle = Some(u32::from(expected != condition::WINDOW_VIOLATION) * 5);
        let (delivery_id, delivery_tag, more) = (Some(0), Tag::new(&[0]), Some(id < 3));
        let body = Transfer { handle, delivery_id, delivery_tag, more, ..Default::default() };
        write_frame(&mut bytes, AMQP, 0, Some(&body.into()), b"x");
    }
    // The window is filled up again only when half of it is used: the peer's answers are not awaited.
    let mut left = &bytes[..];
    let mut ended = 0;
    while let Some(event) =
        pair.ends[1].next_event(MonotonicTime::ZERO, &mut left).expect("the connection goes on")
    {
        ended += i32::from(matches!(event, Event::Ended { .. }));
    }
    let out = pair.ends[1].take_output(MonotonicTime::ZERO);
    let mut left = &out[..];
    let mut conditions = Vec::new();
    while let Some(frame) = read_frame(&mut left, 4096).expect("sound") {
        if let Some(Performative::End(end)) = frame.body {
            conditions.push(end.error.expect("why").condition);
        }
    }
    if expected == condition::UNATTACHED_HANDLE {
        assert_eq!((ended, conditions), (1, vec![expected.to_string()]));
    } else {
        assert!(conditions.len() <= 1);
    }
    assert!(pair.ends[1].is_open());
}

#[rstest]
#[case::plain(Credentials::Plain { user: "anna".into(), password: "wind".into() }, true)]
#[case::plain_wrong(Credentials::Plain { user: "anna".into(), password: "rain".into() }, false)]
#[case::scram(Credentials::Scram { user: "anna".into(), password: "wind".into(), nonce: "abc".into() }, true)]
#[case::scram_wrong(Credentials::Scram { user: "anna".into(), password: "rain".into(), nonce: "abc".into() }, false)]
#[case::external(Credentials::External, true)]
#[case::anonymous_is_not_offered(Credentials::Anonymous, false)]
fn a_peer_makes_itself_known(#[case] credentials: Credentials, #[case] good: bool) {
    let salted = Pbkdf2::new(b"wind", b"salt", 64).step(64).expect("done");
    let keys = SaltedKeys::from_salted(&salted, b"salt".to_vec(), 64);
    let offered = vec![Mechanism::ScramSha256, Mechanism::Plain, Mechanism::External];
    let mut client = Connection::dial(MonotonicTime::ZERO, Settings::default(), Some(credentials));
    let mut server = Connection::accept(MonotonicTime::ZERO, Settings::default(), Some(offered));
    let mut failed = false;
    for _ in 0..8 {
        let bytes = client.take_output(MonotonicTime::ZERO);
        let mut left = &bytes[..];
        while let Ok(Some(event)) = server.next_event(MonotonicTime::ZERO, &mut left) {
            match event {
                Event::SaslRequest(SaslRequest::Plain { user, password }) => {
                    let salted = Pbkdf2::new(&password, b"salt", 64).step(64).expect("done");
                    server.finish_sasl(user == "anna" && keys.matches(&salted));
                }
                Event::SaslRequest(SaslRequest::ScramKeys { .. }) => {
                    server.provide_scram_keys(Some(keys.clone()), b"fake", "xyz")
                }
                Event::SaslRequest(SaslRequest::ScramProof { is_valid, .. }) => server.finish_sasl(is_valid),
                Event::SaslRequest(_) => server.finish_sasl(true),
                _ => {}
            }
        }
        let bytes = server.take_output(MonotonicTime::ZERO);
        let mut left = &bytes[..];
        loop {
            match client.next_event(MonotonicTime::ZERO, &mut left) {
                Ok(Some(_)) => {}
                Ok(None) => break,
                Err(why) => {
                    assert_eq!(why.condition, condition::UNAUTHORIZED_ACCESS);
                    failed = true;
                    break;
                }
            }
        }
    }
    assert_eq!((client.is_open(), server.is_open(), failed), (good, good, !good));
}
