//! Two connections against each other, in memory: whatever the order and the pieces, credit and windows
//! hold and every delivery ends once.

#[path = "pair/delivery_model.rs"]
mod delivery_model;
#[path = "pair/pair.rs"]
mod pair;

use delivery_model::{step, DeliveryModel};
use pair::{out, Pair};
use proptest::prelude::*;
use rstest::rstest;
use sparbank_amqp::{
    condition, read_frame, write_frame, Attach, Connection, Credentials, Error, Event, LinkEnd, LinkId,
    Mechanism, Pbkdf2, Performative, Role, SaltedKeys, SaslRequest, Settings, State, Tag, Transfer, AMQP,
};
use sparbank_time::MonotonicTime;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Numbers start just below their wrap, frames are small and windows smaller.
    #[test]
    fn every_delivery_ends_once_whatever_the_order(
        steps in prop::collection::vec(step(), 1..120),
        first in prop_oneof![Just(0u32), Just(u32::MAX - 2), Just(u32::MAX / 2)],
        window in 1u32..5,
    ) {
        let client = Settings { initial_id: first, max_frame_size: 512, ..Settings::default() };
        let server = Settings { incoming_window: window, max_frame_size: 512, initial_id: first.wrapping_add(9), ..Settings::default() };
        let mut model = DeliveryModel::new(client, server);
        for step in steps {
            model.apply(step)?;
        }
        model.finish()?;
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
        pair.ends[0].detach(ours, LinkEnd::Closed, Some(Box::new(Error::new(condition::NOT_FOUND, "why"))));
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
