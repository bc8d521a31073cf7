//! A new version under load: two processes are one node for a while.
//!
//! Where the platform passes the clients' listening socket, each process also listens on a Unix socket in
//! `$TMPDIR`. A process that finds another there asks it for what it knows, and once it serves, for its
//! connections: they go on as they are, and no client hears of it. `message.rs` has the order of things.

mod channel;
mod listener;
mod message;

pub use listener::passed;
pub use message::{Message, State};

use crate::discovery::WatchState;
use crate::front::TransferredConnection;
use crate::log;
use crate::net::{BufferedConnection, SocketEvent, SocketOwner, SocketReactor, Token};
use channel::{Carried, FramedMessage};
use message::{MessageError, Pieces, VERSION};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The process before this one has so long for each message of what it knows. After that this one starts
/// as if there were none: the platform waits 6 s for a yes.
const WITHIN: Duration = Duration::from_millis(1500);
/// Descriptors that a process takes which starts beside this one.
pub const SUCCESSOR: usize = 20;
/// Connections passed on in one turn; the next turn goes on.
pub const A_TURN: usize = 32;
/// A path is no longer than this: what the system allows for a Unix socket, less its end.
const MOST_PATH: usize = 107;

/// What a process got from the one before it, ready to be used.
pub struct Inherited {
    /// Where its connections come from; its end tells that the other process is gone.
    pub channel: OwnedFd,
    pub state: State,
    /// Where its optional fronts listen.
    pub listening: Vec<(SocketAddr, OwnedFd)>,
    /// Discovery's watch.
    pub watch: Option<(OwnedFd, WatchState, BufferedConnection)>,
}

/// Where a node's processes meet: in `$TMPDIR`, by the node's name. None where there is no such place.
pub fn meeting_place(name: &str) -> Option<PathBuf> {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    let name: String = name.chars().map(|c| if plain(c) { c } else { '_' }).collect();
    let path = PathBuf::from(std::env::var_os("TMPDIR")?).join(format!("sparbank-{name}.takeover"));
    if path.as_os_str().len() > MOST_PATH {
        log::line(format_args!("takeover-off reason=TMPDIR is too long for a socket's path"));
        return None;
    }
    Some(path)
}

/// Asks the process that serves at a place for what it knows. None where there is none, or where it does not
/// say all of it: this process then starts as if it were the first.
pub fn succeed(path: &Path, name: &str) -> Option<Inherited> {
    let channel = match channel::connect(path, WITHIN) {
        Ok(channel) => channel,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
        Err(e) => {
            log::line(format_args!("takeover-none reason=left behind: {e}"));
            return None;
        }
    };
    match ask(channel, name) {
        Ok(inherited) => Some(inherited),
        Err(problem) => {
            log::line(format_args!("takeover-none reason={problem}"));
            None
        }
    }
}

fn ask(channel: OwnedFd, name: &str) -> Result<Inherited, String> {
    let named = |e: MessageError| e.to_string();
    let take = Message::Take { version: VERSION, name: name.to_string() }.pack(Vec::new()).map_err(named)?;
    let Carried::Done(()) = channel::send(&channel, &take) else { return Err("it does not listen".into()) };
    let (mut pieces, mut listening, mut watch) = (Pieces::default(), Vec::new(), None);
    loop {
        let framed_message = match channel::receive(&channel) {
            Carried::Done(framed_message) => framed_message,
            Carried::Later => return Err("it does not answer".into()),
            Carried::Over => return Err("it ended or is of another version".into()),
        };
        let (message, mut fds) = Message::unpack(framed_message).map_err(named)?;
        match (message, fds.pop()) {
            (Message::State { piece }, _) => pieces.add(&piece).map_err(named)?,
            (Message::Listener { at }, Some(fd)) => listening.push((at, fd)),
            (Message::Watch(state, flow), Some(fd)) => watch = Some((fd, state, flow)),
            (Message::Whole, _) => break,
            _ => return Err("a message out of turn".into()),
        }
    }
    Ok(Inherited { channel, state: pieces.whole().map_err(named)?, listening, watch })
}

/// What the loop has to do.
pub enum HandoverEvent {
    /// A successor wants to know what this process knows.
    Asked,
    /// The successor serves: this process takes in nothing more, and passes on what it can.
    SuccessorServes,
    /// The successor is gone; these were on their way to it.
    SuccessorGone(Vec<(String, TransferredConnection)>),
    /// A connection of the process before this one, which still holds so many descriptors.
    Came { front: String, transferred_connection: TransferredConnection, descriptors: usize },
    /// The process before this one is gone.
    PredecessorGone,
}

struct Successor {
    token: Token,
    serves: bool,
    /// Not sent yet; bounded by one state and a turn's connections.
    outbox: VecDeque<FramedMessage>,
}

/// The loop's side of it.
pub struct Handover {
    listener: Option<Token>,
    predecessor: Option<Token>,
    successor: Option<Successor>,
}

impl Handover {
    /// Listens at a place for a successor, and hears what the process before this one still has to pass on.
    pub fn open(net: &mut SocketReactor, path: &Path, predecessor: Option<OwnedFd>) -> Handover {
        let listener = channel::listen(path).and_then(|fd| net.register_raw(fd, SocketOwner::Handover));
        if let Err(e) = &listener {
            log::line(format_args!("takeover-off reason=listen: {e}"));
        }
        let predecessor = predecessor.and_then(|fd| net.register_raw(fd, SocketOwner::Handover).ok());
        let mut handover = Handover { listener: listener.ok(), predecessor, successor: None };
        if let Some(token) = handover.predecessor {
            if let (Some(fd), Ok(ready)) = (net.raw_descriptor(token), Message::Ready.pack(Vec::new())) {
                if !matches!(channel::send(fd, &ready), Carried::Done(())) {
                    handover.predecessor = None;
                    net.close(token);
                }
            }
        }
        handover
    }

    /// Whether the successor serves and takes more now.
    pub fn has_room(&self) -> bool {
        self.successor.as_ref().is_some_and(|s| s.serves && s.outbox.is_empty())
    }

    /// Something happened at one of its sockets.
    pub fn notice(&mut self, net: &mut SocketReactor, notice: SocketEvent) -> Vec<HandoverEvent> {
        if Some(notice.token) == self.listener {
            self.meet(net);
            return Vec::new();
        }
        let from = Some(notice.token) == self.predecessor;
        let mut news = Vec::new();
        // A turn's worth: the rest leaves the socket readable.
        for _ in 0..A_TURN {
            let Some(fd) = net.raw_descriptor(notice.token) else { break };
            let message = match channel::receive(fd) {
                Carried::Done(framed_message) => Message::unpack(framed_message).map_err(|e| e.to_string()),
                Carried::Later => break,
                Carried::Over => Err("ended".to_string()),
            };
            match message {
                Ok((Message::Connection { front, state, descriptors }, fds)) if from => {
                    let transferred_connection = TransferredConnection { text: state, fds };
                    news.push(HandoverEvent::Came { front, transferred_connection, descriptors });
                }
                Ok((Message::Take { version: VERSION, .. }, _)) if !from => news.push(HandoverEvent::Asked),
                Ok((Message::Ready, _)) if !from => {
                    if let Some(successor) = &mut self.successor {
                        successor.serves = true;
                    }
                    news.push(HandoverEvent::SuccessorServes);
                }
                Ok(_) => {
                    log::line(format_args!("takeover-end reason=a message out of turn"));
                    news.extend(self.end(net, notice.token));
                    break;
                }
                Err(reason) => {
                    let whose = if from { "predecessor" } else { "successor" };
                    log::line(format_args!("takeover-end {whose} reason={reason}"));
                    news.extend(self.end(net, notice.token));
                    break;
                }
            }
        }
        news.extend(self.flush(net));
        news
    }

    /// One successor at a time: a second one is turned away, and starts as if it were the first.
    fn meet(&mut self, net: &mut SocketReactor) {
        let Some(fd) = self.listener.and_then(|token| net.raw_descriptor(token)).and_then(channel::accept)
        else {
            return;
        };
        if self.successor.is_none() {
            if let Ok(token) = net.register_raw(fd, SocketOwner::Handover) {
                self.successor = Some(Successor { token, serves: false, outbox: VecDeque::new() });
            }
        }
    }

    /// The other side is gone.
    fn end(&mut self, net: &mut SocketReactor, token: Token) -> Option<HandoverEvent> {
        net.close(token);
        if self.predecessor == Some(token) {
            self.predecessor = None;
            return Some(HandoverEvent::PredecessorGone);
        }
        let successor = self.successor.take_if(|s| s.token == token)?;
        let unsent =
            successor.outbox.into_iter().filter_map(|framed_message| match Message::unpack(framed_message) {
                Ok((Message::Connection { front, state, .. }, fds)) => {
                    Some((front, TransferredConnection { text: state, fds }))
                }
                _ => None,
            });
        Some(HandoverEvent::SuccessorGone(unsent.collect()))
    }

    /// Tells the successor what this process knows.
    pub fn tell(
        &mut self,
        net: &mut SocketReactor,
        state: &State,
        listening: Vec<(SocketAddr, OwnedFd)>,
        watch: Option<(OwnedFd, WatchState, BufferedConnection)>,
    ) -> Vec<HandoverEvent> {
        let pieces = state.pieces().unwrap_or_default().into_iter().map(|piece| (piece, Vec::new()));
        let listening = listening.into_iter().map(|(at, fd)| (Message::Listener { at }, vec![fd]));
        let watch = watch.into_iter().map(|(fd, state, flow)| (Message::Watch(state, flow), vec![fd]));
        let whole = std::iter::once((Message::Whole, Vec::new()));
        for (message, fds) in pieces.chain(listening).chain(watch).chain(whole) {
            self.post(&message, fds);
        }
        self.flush(net).into_iter().collect()
    }

    /// Passes connections on.
    pub fn pass_on(
        &mut self,
        net: &mut SocketReactor,
        front: &str,
        transferred_connection: Vec<TransferredConnection>,
    ) -> Vec<HandoverEvent> {
        let descriptors = net.descriptors_in_use();
        for TransferredConnection { text, fds } in transferred_connection {
            self.post(&Message::Connection { front: front.to_string(), state: text, descriptors }, fds);
        }
        self.flush(net).into_iter().collect()
    }

    fn post(&mut self, message: &Message, fds: Vec<OwnedFd>) {
        if let (Some(successor), Ok(framed_message)) = (&mut self.successor, message.pack(fds)) {
            successor.outbox.push_back(framed_message);
        }
    }

    fn flush(&mut self, net: &mut SocketReactor) -> Option<HandoverEvent> {
        let successor = self.successor.as_mut()?;
        let token = successor.token;
        while let Some(framed_message) = successor.outbox.front() {
            match channel::send(net.raw_descriptor(token)?, framed_message) {
                // Its descriptors are closed here with it: the other process has them now.
                Carried::Done(()) => drop(successor.outbox.pop_front()),
                Carried::Later => break,
                Carried::Over => {
                    log::line(format_args!("takeover-end successor reason=it takes nothing"));
                    return self.end(net, token);
                }
            }
        }
        let more = !successor.outbox.is_empty();
        net.set_writable_interest(token, more);
        None
    }
}
