//! The stand-in server: accepts every link and every delivery immediately.

use crate::peer::{settings, Peer, FIXED_TIME, READ_BUFFER_BYTES};
use crate::poller::Poller;
use sparbank_amqp::{Attach, Connection, Event, State};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The credit that each link is granted.
const CREDIT: u32 = 10_000;
/// Credit is granted again when less than this remains.
const MIN_CREDIT: u32 = 5_000;
/// How long a poll lasts at most. `stop` is checked between polls.
const POLL_TIMEOUT: Duration = Duration::from_millis(50);
/// The poller's index of the listener. Connections have the indexes from 1 on.
const LISTENER_INDEX: usize = 0;

/// Accepts and serves connections until `stop` is set.
pub fn serve(listener: TcpListener, stop: Arc<AtomicBool>) {
    listener.set_nonblocking(true).expect("set non-blocking");
    let poller = Poller::new();
    poller.add(&listener, LISTENER_INDEX);
    let mut peers: Vec<Peer> = Vec::new();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    while !stop.load(Ordering::Relaxed) {
        for index in poller.wait(POLL_TIMEOUT) {
            if index == LISTENER_INDEX {
                accept_all(&listener, &poller, &mut peers);
            } else {
                serve_peer(&mut peers[index - 1], &mut buffer);
            }
        }
    }
}

fn accept_all(listener: &TcpListener, poller: &Poller, peers: &mut Vec<Peer>) {
    while let Ok((stream, _)) = listener.accept() {
        let peer = Peer::new(stream, Connection::accept(FIXED_TIME, settings(), None));
        poller.add(&peer.stream, peers.len() + 1);
        peers.push(peer);
    }
}

fn serve_peer(peer: &mut Peer, buffer: &mut [u8]) {
    while peer.read(buffer) {
        peer.handle_events(handle_event);
        peer.write();
    }
    peer.write();
}

fn handle_event(conn: &mut Connection, event: Event<'_>) {
    match event {
        Event::SaslRequest(_) => conn.finish_sasl(true),
        Event::AttachRequested { link, attach, .. } => {
            conn.accept_link(link, Attach { target: attach.target, ..Attach::default() });
            conn.set_credit(link, CREDIT);
        }
        Event::Transfer { link, transfer } if transfer.last => {
            conn.settle(link.channel, transfer.id, State::Accepted);
            if conn.credit(link) < MIN_CREDIT {
                conn.set_credit(link, CREDIT);
            }
        }
        _ => {}
    }
}
