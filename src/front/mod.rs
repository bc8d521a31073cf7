//! The fronts. Each turns its wire into requests and outcomes, and carries out commands.
//!
//! The loop and the core know a front by its [`FrontId`] alone. A further one is a folder here, an
//! implementation of [`Front`], and a line in [`OPTIONAL`].

pub mod amqp;
pub mod text;
pub mod tls;

use crate::config::Facts;
use crate::discovery::EndpointRegistry;
use crate::net::{SocketEvent, SocketReactor, TimerWheel, Token};
use crate::requests::{FrontId, RequestTable};
use crate::vocabulary::{Class, Nanos, Outcome, RequestId, ServerId};
use std::any::Any;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};

/// What a front works with.
pub struct Ctx<'a> {
    pub now: Nanos,
    pub net: &'a mut SocketReactor,
    pub requests: &'a mut RequestTable,
    pub registry: &'a EndpointRegistry,
    pub wheel: &'a mut TimerWheel<Due>,
    pub facts: &'a Facts,
    pub classes: &'a [Class],
    /// Whether whoever deals clients out is to send some here.
    pub takes_clients: bool,
    /// Whether the process is about to end: what comes now is answered and not sent on.
    pub closing: bool,
}

/// What is on the wheel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// A timer of the module's.
    Policy(u64),
    /// The time-out of a request's attempt, by its number.
    AttemptTimeout(RequestId, u32),
    /// A connection should be up by now.
    Dial(FrontId, Token),
    /// A front's own timer for one of its sockets.
    Timer(FrontId, Token),
    /// Time to look after things that are watched coarsely.
    Look,
    /// The next step of sending clients away.
    Drain,
    /// The next turn of the talk about the fleet's budgets.
    Quota,
    /// An operator's call should be whole by now.
    Admin(Token),
}

/// Answers arrive before the deadline: the wheel, the loop and the way back to the client take this
/// much of it at most.
pub const ANSWER_MARGIN: Nanos = 12_000_000;

/// A front. What it must do has no default; what only some need has one.
pub trait Front {
    /// Something happened at one of its sockets.
    fn notice(&mut self, ctx: &mut Ctx, notice: SocketEvent);
    /// Start the one attempt of a request, for at most this long.
    fn start(&mut self, ctx: &mut Ctx, request_id: RequestId, server: ServerId, wait: Nanos);
    /// Take an attempt back and say what that makes of it: unsent, it never ran.
    fn give_up(&mut self, ctx: &mut Ctx, request_id: RequestId) -> Outcome;
    /// The final answer: refused, come again after this.
    fn refuse(&mut self, ctx: &mut Ctx, request_id: RequestId, cool_down: Nanos);
    /// The final answer: failed.
    fn fail(&mut self, ctx: &mut Ctx, request_id: RequestId);
    /// Ask the client of a standing connection to come again. The core has already let it go.
    fn migrate(&mut self, ctx: &mut Ctx, request_id: RequestId);
    /// These servers get nothing new: what has not been sent to them is called off.
    fn drained(&mut self, ctx: &mut Ctx, stopped: &[ServerId]);
    /// Whether no client is held.
    fn is_idle(&self) -> bool;

    /// A connection should be up by now.
    fn dial_due(&mut self, _ctx: &mut Ctx, _token: Token) {}
    /// Asks a server for its load report, in the platform's protocol: the core hears of it as
    /// [`Event::HealthCheckResult`](crate::vocabulary::Event::HealthCheckResult). A front that cannot says so at once.
    fn probe(&mut self, ctx: &mut Ctx, server: crate::vocabulary::ServerId) {
        ctx.requests.tell(crate::vocabulary::Event::HealthCheckResult { server, over: None });
    }
    /// One of its own timers is due.
    fn timer_due(&mut self, _ctx: &mut Ctx, _token: Token) {}
    /// Once in a while.
    fn look(&mut self, _ctx: &mut Ctx) {}
    /// The end of a turn: what was gathered for the same socket is written in one go.
    fn flush(&mut self, _ctx: &mut Ctx) {}
    /// Clients are sent away, for a while or for good; called at each step.
    fn leave(&mut self, _ctx: &mut Ctx) {}
    /// Lets connections go, no more than so many, for the process that takes this one's place. What is not
    /// passed on is left to end here.
    fn pass_on(&mut self, _ctx: &mut Ctx, _most: usize) -> Vec<TransferredConnection> {
        Vec::new()
    }
    /// Goes on with a connection of the process before this one.
    fn take_in(&mut self, _ctx: &mut Ctx, _transferred_connection: TransferredConnection) {}
    /// The node takes clients again.
    fn stay(&mut self, _ctx: &mut Ctx) {}
    /// Takes a newer file over, which [`Optional::read`] gave. Names what only a restart could change.
    fn take_over(&mut self, _new: Box<dyn Any>) -> Vec<&'static str> {
        Vec::new()
    }
    /// A line of its own counters.
    fn counters(&self) -> Option<String> {
        None
    }
}

/// A connection on its way from one process to the next.
pub struct TransferredConnection {
    /// What the front said of it, as JSON.
    pub text: String,
    /// Its descriptors, the client's first.
    pub fds: Vec<OwnedFd>,
}

/// An open front, and where it listens.
pub type Opened = (Box<dyn Front>, String);

/// How an optional front is opened: with its id, what was read, the sockets, the node's name and its facts.
pub type Open = fn(FrontId, Box<dyn Any>, &mut SocketReactor, &str, &Facts) -> Result<Opened, String>;

/// What was read of an optional front's file, by the front's place in [`OPTIONAL`].
pub type ReadFiles = Vec<(usize, Box<dyn Any>)>;

/// A front that is off unless its file is named on the command line.
pub struct Optional {
    /// Its name in log lines and, behind `--`, its option.
    pub name: &'static str,
    /// Reads and checks its file.
    pub read: fn(&Path) -> Result<Box<dyn Any>, String>,
    /// Opens it with what was read: listens, and says where.
    pub open: Open,
}

/// All fronts beside the platform's own.
pub const OPTIONAL: &[Optional] = &[amqp::OPTIONAL];

/// Files of the optional fronts that are on: a place in [`OPTIONAL`] and a path.
pub type Files = Vec<(usize, PathBuf)>;

/// The platform's own front.
pub const TEXT: FrontId = FrontId { index: 0, name: "text" };

/// The fronts that are on.
pub struct Fronts {
    /// At the index of their ids.
    list: Vec<Option<Box<dyn Front>>>,
    names: Vec<&'static str>,
}

impl Fronts {
    /// The platform's front alone.
    pub fn new() -> Fronts {
        Fronts { list: vec![Some(Box::new(text::TextFront::new()))], names: vec![TEXT.name] }
    }

    /// Opens an optional front; gives its log line.
    pub fn open(
        &mut self,
        which: usize,
        file: Box<dyn Any>,
        net: &mut SocketReactor,
        name: &str,
        facts: &Facts,
    ) -> Result<String, String> {
        let optional = &OPTIONAL[which];
        let id = FrontId { index: self.list.len() as u8, name: optional.name };
        let (front, line) = (optional.open)(id, file, net, name, facts)?;
        self.list.push(Some(front));
        self.names.push(optional.name);
        Ok(format!("{} {line}", optional.name))
    }

    /// A front by its id.
    pub fn get(&mut self, id: FrontId) -> Option<&mut dyn Front> {
        self.list.get_mut(id.index as usize)?.as_deref_mut().map(|front| front as &mut dyn Front)
    }

    /// All of them.
    pub fn all(&mut self) -> impl Iterator<Item = &mut Box<dyn Front>> {
        self.list.iter_mut().flatten()
    }

    /// An optional front takes a newer file over.
    pub fn take_over(&mut self, which: usize, file: Box<dyn Any>) -> Vec<&'static str> {
        let at = self.names.iter().position(|name| *name == OPTIONAL[which].name);
        let front = at.and_then(|at| self.list[at].as_mut());
        front.map_or(Vec::new(), |front| front.take_over(file))
    }

    /// A front by its name.
    pub fn named(&mut self, name: &str) -> Option<FrontId> {
        let index = self.names.iter().position(|known| *known == name)?;
        Some(FrontId { index: index as u8, name: self.names[index] })
    }

    /// Whether none holds a client.
    pub fn are_idle(&self) -> bool {
        self.list.iter().flatten().all(|front| front.is_idle())
    }

    /// The fronts' own counters, with their names.
    pub fn counters(&self) -> Vec<String> {
        let line = |(front, name): (&Option<Box<dyn Front>>, &&str)| {
            Some(format!("{name}-counters {}", front.as_ref()?.counters()?))
        };
        self.list.iter().zip(&self.names).filter_map(line).collect()
    }
}
