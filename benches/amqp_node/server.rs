//! The stand-in of a server: it accepts every link and every delivery at once.

use crate::peer::{settings, Peer, READ_BYTES, START};
use crate::poller::Poller;
use sparbank_amqp::{Attach, Connection, Event, State};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The credit of each link, and what is left of it when it is renewed.
const CREDIT: u32 = 10_000;
const MIN_CREDIT: u32 = 5_000;
/// How long it waits before it checks whether to stop.
const POLL_TIMEOUT: Duration = Duration::from_millis(50);
/// The listener's index; connections follow it.
const LISTENER: usize = 0;

/// Serves connections until `stop` is set.
pub fn serve(listener: TcpListener, stop: Arc<AtomicBool>) {
    listener.set_nonblocking(true).expect("non-blocking");
    let poller = Poller::new();
    poller.add(&listener, LISTENER);
    let mut peers: Vec<Peer> = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    while !stop.load(Ordering::Relaxed) {
        for index in poller.wait(POLL_TIMEOUT) {
            if index == LISTENER {
                accept_all(&listener, &poller, &mut peers);
            } else {
                serve_peer(&mut peers[index - 1], &mut buffer);
            }
        }
    }
}

fn accept_all(listener: &TcpListener, poller: &Poller, peers: &mut Vec<Peer>) {
    while let Ok((stream, _)) = listener.accept() {
        let peer = Peer::new(stream, Connection::accept(START, settings(), None));
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
