//! The platform's protocol: lines of text over TCP.
//!
//! A client's first line opens a request. Once its server has said `UP`, lines pass both ways.
//! Only whole lines go to a client, so that `MOVE` can always follow.

use super::{Front, FrontContext, TimerEvent, TransferredConnection, ANSWER_MARGIN, TEXT_FRONT};
use crate::net::{
    BufferedConnection, SocketEvent, SocketEventKind, SocketOwner, Token, OUTPUT_HIGH_WATERMARK_BYTES,
};
use crate::requests::HandedOverConnection;
use crate::vocabulary::*;
use first_line::{FirstLine, Open};
use probe::{Ask, Probes, PROBE_WAIT, STATS};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

mod first_line;
mod probe;

/// The longest line, its end included.
const MOST_LINE: usize = 4096;
/// A client may ask this often whether the node is there, on one connection.
const PINGS: u32 = 8;
/// A line of the client's that a standing server leaves unanswered for this long: the client is
/// moved. Clients send one every 2 s and the rule allows 7 s from the last answer.
const SILENT_AFTER: Nanos = 4_500_000_000;
/// A server that was told of its client's end has this long to end its own side.
const HALF_OPEN: Nanos = 2_000_000_000;

enum Side {
    /// Accepted; no request yet, but so many `PING`s.
    Fresh(u32),
    /// A client with a request.
    Client,
    /// The attempt of that client.
    Task(Token),
    /// A connection for probes of a server.
    Probe,
}

struct Session {
    open: Open,
    /// None while a connection from before the run is being restored.
    request_id: Option<RequestId>,
    server: Option<ServerId>,
    task: Option<Token>,
    up: bool,
    /// The oldest line that the server has not answered.
    asked: Option<Nanos>,
    /// The server's last line, where it says how the connection ends.
    last: Ending,
    /// The load that the server told last.
    load: Option<Nanos>,
}

impl Session {
    fn trace(&self, what: &str, ctx: &FrontContext) {
        if crate::log::is_trace_enabled() {
            let (request_id, open) = (self.request_id.map_or(0, |request_id| request_id.0), &self.open);
            let server = self.server.and_then(|server| ctx.registry.entry(server)).map_or("-", |r| r.name());
            crate::log::line(format_args!(
                "trace client {what} request={request_id} key={:x} group={:x} class={} server={server} again={} repeat={} up={}",
                open.key, open.group.unwrap_or(0), open.class, open.reconnect, open.client_retry, self.up
            ));
        }
    }
}

/// A connection on its way to the next process.
#[derive(Debug, Deserialize, Serialize)]
enum Passed {
    /// Accepted; so many questions.
    Fresh(u32, BufferedConnection),
    /// It stands.
    Standing {
        line: String,
        #[serde(rename = "region")]
        server: String,
        began: Nanos,
        asked: Option<Nanos>,
        last: Ending,
        load: Option<Nanos>,
        #[serde(rename = "terminal")]
        client: BufferedConnection,
        task: BufferedConnection,
    },
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
enum Ending {
    Broken,
    Bye,
    Moved,
}

/// How long messages take at a server, for notes once a second.
#[derive(Default, Clone, Copy)]
struct Delay {
    latest: Option<Nanos>,
    busy: bool,
}

/// The front.
pub struct TextFront {
    sides: HashMap<Token, Side>,
    sessions: HashMap<Token, Session>,
    clients: HashMap<RequestId, Token>,
    /// The ids of all that is open: a client that comes with one of them is not the one that opened it.
    ids: HashSet<String>,
    delays: HashMap<ServerId, Delay>,
    noted: Nanos,
    probes: Probes,
}

impl TextFront {
    pub fn new() -> TextFront {
        TextFront {
            sides: HashMap::new(),
            sessions: HashMap::new(),
            clients: HashMap::new(),
            ids: HashSet::new(),
            delays: HashMap::new(),
            noted: 0,
            probes: Probes::default(),
        }
    }

    // ---- The client's side -------------------------------------------------------------------

    fn fresh(&mut self, ctx: &mut FrontContext, token: Token) {
        while let Some(input) = ctx.net.input_buffer(token) {
            match take_line(input) {
                Line::None if ctx.net.is_read_closed(token) => {
                    self.sides.remove(&token);
                    return ctx.net.close(token);
                }
                Line::None => return,
                Line::TooLong => return self.malformed(ctx, token),
                Line::Whole(line) => match FirstLine::parse(&line, ctx.site, ctx.classes) {
                    Some(FirstLine::Ping) => {
                        // Each answer is held until it is read: a flood of questions is held back.
                        match self.sides.get_mut(&token) {
                            Some(Side::Fresh(pings)) if *pings < PINGS => *pings += 1,
                            _ => return self.malformed(ctx, token),
                        }
                        // What is not PONG tells the front that deals clients out to send none here.
                        let word: &[u8] = if ctx.accepts_clients { b"PONG\r\n" } else { b"BUSY\r\n" };
                        ctx.net.send(token, word);
                    }
                    Some(FirstLine::Open(open)) => return self.open(ctx, token, open),
                    None => return self.malformed(ctx, token),
                },
            }
        }
    }

    /// Nothing that a server could use: the answer is given here, at once.
    fn malformed(&mut self, ctx: &mut FrontContext, token: Token) {
        ctx.requests.counters.malformed += 1;
        self.answer(ctx, token, b"ERR\r\n");
    }

    /// A connection on which no request has come: it is ended. What arrives in that instant is answered, one way
    /// or the other: a whole line that is there is taken, and to one that is still to come the answer is there
    /// already.
    fn end_resting(&mut self, ctx: &mut FrontContext, token: Token) {
        ctx.net.read_available(token);
        self.fresh(ctx, token);
        if let Some(Side::Fresh(pings)) = self.sides.get(&token) {
            ctx.requests.counters.idle_closed += 1;
            // Whoever asked whether the node is there has had its answer.
            if *pings == 0 {
                ctx.net.send(token, b"BUSY\r\n");
            }
            self.sides.remove(&token);
            ctx.net.close(token);
        }
    }

    fn open(&mut self, ctx: &mut FrontContext, token: Token, open: Open) {
        // The id of another's open request, or more after the one line, after which a client waits:
        // servers close on the one and cannot use the other.
        let more = ctx.net.input_buffer(token).is_some_and(|input| !input.is_empty());
        if more || self.ids.contains(&open.id) {
            return self.malformed(ctx, token);
        }
        ctx.net.mark_handshake_complete(token);
        // The process is about to end: nothing that is sent on now would be answered from there.
        if ctx.shutting_down && open.at.is_none() {
            return self.answer(ctx, token, b"BUSY\r\n");
        }
        if !ctx.net.reclaim_descriptors() {
            ctx.requests.counters.capacity_rejected += 1;
            return self.answer(ctx, token, b"BUSY 500\r\n");
        }
        let arrival = arrival(&open);
        self.ids.insert(open.id.clone());
        self.sides.insert(token, Side::Client);
        let at = open.at.clone();
        let (request_id, server, task, up) = (None, None, None, false);
        let (asked, last, load) = (None, Ending::Broken, None);
        let session = Session { open, request_id, server, task, up, asked, last, load };
        self.sessions.insert(token, session);
        match at {
            Some(name) => self.restore(ctx, token, &name),
            None => {
                let request_id = ctx.requests.on_request(ctx.now, TEXT_FRONT, arrival);
                self.clients.insert(request_id, token);
                if let Some(session) = self.sessions.get_mut(&token) {
                    session.request_id = Some(request_id);
                    session.trace("came", ctx);
                }
                self.client(ctx, token, false);
            }
        }
    }

    /// A connection open since before the run: it goes to the server that held it, not to a placement.
    fn restore(&mut self, ctx: &mut FrontContext, token: Token, name: &str) {
        let Some(server) = ctx.registry.id_of(name) else { return self.malformed(ctx, token) };
        let wait = self.sessions.get(&token).map_or(0, |s| s.open.grace);
        ctx.wheel.schedule(
            ctx.now + wait.saturating_sub(ANSWER_MARGIN),
            TimerEvent::FrontTimer(TEXT_FRONT, token),
        );
        if !self.dial(ctx, token, server, wait) {
            self.answer(ctx, token, b"ERR\r\n");
        }
    }

    /// Connects to a server and sends it the client's line.
    fn dial(&mut self, ctx: &mut FrontContext, client: Token, server: ServerId, wait: Nanos) -> bool {
        let Some(session) = self.sessions.get_mut(&client) else { return true };
        let Some(addr) = ctx.registry.entry(server).map(|r| r.address()) else { return false };
        let Ok(task) = ctx.net.connect(addr, SocketOwner::Front(TEXT_FRONT)) else { return false };
        ctx.net.send(task, session.open.for_server(wait).as_bytes());
        ctx.wheel.schedule(
            ctx.now + ctx.site.limits.dial_timeout_ns,
            TimerEvent::ConnectTimeout(TEXT_FRONT, task),
        );
        session.task = Some(task);
        session.server = Some(server);
        self.sides.insert(task, Side::Task(client));
        true
    }

    fn client(&mut self, ctx: &mut FrontContext, token: Token, broken: bool) {
        let Some(session) = self.sessions.get_mut(&token) else { return };
        if let (true, Some(task)) = (session.up, session.task) {
            if ctx.net.pending_output_bytes(task) < OUTPUT_HIGH_WATERMARK_BYTES {
                let bytes = ctx.net.input_buffer(token).map(std::mem::take).unwrap_or_default();
                if bytes.contains(&b'\n') {
                    session.asked.get_or_insert(ctx.now);
                }
                ctx.net.send(task, &bytes);
            }
            if broken {
                return self.end(ctx, token, Outcome::Cancelled, true);
            }
            if ctx.net.is_read_closed(token) && ctx.net.input_buffer(token).is_none_or(|left| left.is_empty())
            {
                ctx.net.shutdown_write(task);
                ctx.wheel.schedule(ctx.now + HALF_OPEN, TimerEvent::FrontTimer(TEXT_FRONT, token));
            }
        } else if ctx.net.input_buffer(token).is_some_and(|input| !input.is_empty()) {
            // It waits for UP and may say nothing before it: nobody could say what its lines belong to.
            if let Some(request_id) = session.request_id {
                ctx.requests.on_client_disconnected(ctx.now, request_id);
            }
            self.malformed(ctx, token);
        } else if broken || ctx.net.is_read_closed(token) {
            // It gave up. Its line is owed an answer as long as anyone may read one.
            if let Some(request_id) = session.request_id {
                ctx.requests.on_client_disconnected(ctx.now, request_id);
            }
            self.answer(ctx, token, b"BUSY\r\n");
        }
    }

    /// The final answer of a client that has none, and its end.
    fn answer(&mut self, ctx: &mut FrontContext, token: Token, answer: &[u8]) {
        ctx.net.send(token, answer);
        self.forget(ctx, token);
        ctx.net.close(token);
    }

    /// Drops what is known of a client, and its attempt.
    fn forget(&mut self, ctx: &mut FrontContext, token: Token) {
        self.sides.remove(&token);
        if let Some(session) = self.sessions.remove(&token) {
            session.trace("over", ctx);
            self.ids.remove(&session.open.id);
            if let Some(request_id) = session.request_id {
                self.clients.remove(&request_id);
            }
            if let Some(task) = session.task {
                self.end_task(ctx, task, session.up);
            }
        }
    }

    /// Ends the attempt's connection. What is left of a first line must not go out any more: whole, it would
    /// be an attempt.
    fn end_task(&mut self, ctx: &mut FrontContext, task: Token, up: bool) {
        self.sides.remove(&task);
        if !up && ctx.net.pending_output_bytes(task) > 0 {
            ctx.net.close_without_flush(task);
        } else {
            ctx.net.close(task);
        }
    }

    /// A standing connection is over: both sides end, the same way.
    fn end(&mut self, ctx: &mut FrontContext, client: Token, outcome: Outcome, by_reset: bool) {
        let Some(session) = self.sessions.get(&client) else { return };
        if let Some(request_id) = session.request_id {
            ctx.requests.on_attempt_ended(ctx.now, request_id, outcome);
        }
        let task = session.task;
        if by_reset {
            for token in [Some(client), task].into_iter().flatten() {
                if ctx.net.pending_output_bytes(token) == 0 {
                    ctx.net.reset(token);
                }
            }
        }
        self.forget(ctx, client);
        ctx.net.close(client);
    }

    // ---- Probes --------------------------------------------------------------------------------

    /// Lines on a probe connection: each answers the probe out on it, if any.
    fn probed(&mut self, ctx: &mut FrontContext, token: Token, broken: bool) {
        while let Some(input) = ctx.net.input_buffer(token) {
            match take_line(input) {
                Line::None => break,
                Line::TooLong => return self.end_probe(ctx, token),
                Line::Whole(line) => {
                    let Some(server) = self.probes.answered(token) else { continue };
                    let over = match probe::answer(&String::from_utf8_lossy(&line)) {
                        Ok(report) => report.and_then(|report| report.get(probe::OVER)),
                        Err(wrong) => {
                            crate::log::line(format_args!("server-protocol-error reason=probe: {wrong}"));
                            None
                        }
                    };
                    let name = ctx.registry.entry(server).map_or("?", |r| r.name());
                    crate::log::trace(format_args!("trace probe server={name} over={over:?}"));
                    ctx.requests.push_event(Event::HealthCheckResult { server, utilization: over });
                }
            }
        }
        if broken || ctx.net.is_read_closed(token) {
            self.end_probe(ctx, token);
        }
    }

    /// A probe connection is over: the probe out on it, if any, found nothing.
    fn end_probe(&mut self, ctx: &mut FrontContext, token: Token) {
        self.sides.remove(&token);
        ctx.net.close(token);
        if let Some((server, true)) = self.probes.ended(token) {
            ctx.requests.push_event(Event::HealthCheckResult { server, utilization: None });
        }
    }

    // ---- The server's side ---------------------------------------------------------------------

    fn task(&mut self, ctx: &mut FrontContext, client: Token, task: Token, broken: Option<bool>) {
        while let Some(session) = self.sessions.get_mut(&client) {
            if session.task != Some(task) {
                break;
            }
            if session.up && ctx.net.pending_output_bytes(client) >= OUTPUT_HIGH_WATERMARK_BYTES {
                return;
            }
            let Some(input) = ctx.net.input_buffer(task) else { break };
            match take_line(input) {
                Line::Whole(line) if session.up => pass(ctx, session, &mut self.delays, client, &line),
                Line::Whole(line) => self.first_answer(ctx, client, &line),
                Line::TooLong => {
                    crate::log::line(format_args!("server-protocol-error reason=line-too-long"));
                    return self.over(ctx, client, Outcome::Error, true);
                }
                Line::None => break,
            }
        }
        if !self.sides.contains_key(&task) {
            return;
        }
        let up = self.sessions.get(&client).is_some_and(|s| s.up);
        match broken {
            None if ctx.net.is_read_closed(task) => {
                if up {
                    let rest = ctx.net.input_buffer(task).map(std::mem::take).unwrap_or_default();
                    ctx.net.send(client, &rest);
                }
                let written = ctx.net.pending_output_bytes(task) == 0;
                self.over(ctx, client, if written { Outcome::Reset } else { Outcome::ConnectFailed }, false);
            }
            None if up => self.client(ctx, client, false),
            None => {}
            // Before its last byte was written the line cannot have run; after that it may have.
            Some(false) if !up => self.over(ctx, client, Outcome::ConnectFailed, true),
            Some(_) => self.over(ctx, client, Outcome::Reset, true),
        }
    }

    fn first_answer(&mut self, ctx: &mut FrontContext, client: Token, line: &[u8]) {
        let Some(session) = self.sessions.get_mut(&client) else { return };
        let word = line.split(|b| b.is_ascii_whitespace()).next().unwrap_or(b"");
        if word == b"UP" {
            match (session.request_id, session.server) {
                (Some(request_id), _) => ctx.requests.on_established(ctx.now, request_id),
                (None, Some(server)) => {
                    let request_id =
                        ctx.requests.restore_established(ctx.now, TEXT_FRONT, arrival(&session.open), server);
                    session.request_id = Some(request_id);
                    self.clients.insert(request_id, client);
                }
                (None, None) => return,
            }
            session.up = true;
            session.trace("stands", ctx);
            ctx.net.send(client, line);
            return self.client(ctx, client, false);
        }
        let outcome = match word {
            b"BUSY" => said_report(line, "BUSY", Outcome::Rejected),
            b"MOVE" => Outcome::Cancelled,
            b"ERR" => said_report(line, "ERR", Outcome::Error),
            _ => {
                crate::log::line(format_args!("server-protocol-error reason=first-line"));
                Outcome::Error
            }
        };
        self.over(ctx, client, outcome, false);
    }

    /// The attempt is over, before or after it stood.
    fn over(&mut self, ctx: &mut FrontContext, client: Token, outcome: Outcome, by_reset: bool) {
        let Some(session) = self.sessions.get_mut(&client) else { return };
        if session.up {
            return match session.last {
                Ending::Bye => self.end(ctx, client, Outcome::Ok, false),
                Ending::Moved => self.end(ctx, client, Outcome::Cancelled, false),
                // The client ended first; the server follows.
                Ending::Broken if ctx.net.is_read_closed(client) => {
                    self.end(ctx, client, Outcome::Cancelled, by_reset)
                }
                Ending::Broken => self.end(ctx, client, Outcome::Reset, by_reset),
            };
        }
        self.drop_task(ctx, client);
        match self.sessions.get(&client).and_then(|s| s.request_id) {
            Some(request_id) => {
                ctx.requests.on_attempt_ended(ctx.now, request_id, outcome);
            }
            None if outcome == Outcome::Rejected => self.answer(ctx, client, b"BUSY\r\n"),
            None => self.answer(ctx, client, b"ERR\r\n"),
        }
    }

    fn drop_task(&mut self, ctx: &mut FrontContext, client: Token) {
        if let Some(session) = self.sessions.get_mut(&client) {
            if let Some(task) = session.task.take() {
                let up = session.up;
                self.end_task(ctx, task, up);
            }
        }
    }

    // ---- From one process to the next ----------------------------------------------------------

    /// Whether a connection can go on in another process as it is.
    fn can_pass(&self, ctx: &FrontContext, client: Token) -> bool {
        let goes = |token: Token| {
            ctx.net.can_transfer(token)
                && ctx.net.pending_output_bytes(token) < 2 * OUTPUT_HIGH_WATERMARK_BYTES
        };
        match (self.sides.get(&client), self.sessions.get(&client)) {
            (Some(Side::Fresh(_)), _) => goes(client),
            (Some(Side::Client), Some(s)) => s.up && goes(client) && s.task.is_some_and(goes),
            _ => false,
        }
    }

    fn pack(&mut self, ctx: &mut FrontContext, token: Token) -> Option<TransferredConnection> {
        let side = self.sides.remove(&token)?;
        let (fd, client) = ctx.net.export_connection(token)?;
        let Some(session) = self.sessions.get_mut(&token) else {
            let Side::Fresh(pings) = side else { return None };
            let text = serde_json::to_string(&Passed::Fresh(pings, client)).ok()?;
            return Some(TransferredConnection { text, fds: vec![fd] });
        };
        let (task_fd, task) = session.task.take().and_then(|task| {
            self.sides.remove(&task);
            ctx.net.export_connection(task)
        })?;
        let (line, asked, last, load) =
            (session.open.line().to_string(), session.asked, session.last, session.load);
        let server = session.server.and_then(|server| ctx.registry.entry(server))?.name().to_string();
        let began = session.request_id.and_then(|request_id| ctx.requests.hand_over(request_id))?;
        self.forget(ctx, token);
        let passed = Passed::Standing { line, server, began, asked, last, load, client, task };
        Some(TransferredConnection { text: serde_json::to_string(&passed).ok()?, fds: vec![fd, task_fd] })
    }

    fn unpack(
        &mut self,
        ctx: &mut FrontContext,
        transferred_connection: TransferredConnection,
    ) -> Option<()> {
        let mut fds = transferred_connection.fds.into_iter();
        let mut fd = || fds.next();
        match serde_json::from_str(&transferred_connection.text).ok()? {
            Passed::Fresh(pings, client) => {
                let token = ctx.net.import_connection(fd()?, client, SocketOwner::Front(TEXT_FRONT)).ok()?;
                self.sides.insert(token, Side::Fresh(pings));
                self.fresh(ctx, token);
                ctx.net.update_interest(token);
            }
            Passed::Standing { line, server, began, asked, last, load, client, task } => {
                let token = ctx.net.import_connection(fd()?, client, SocketOwner::Front(TEXT_FRONT)).ok()?;
                let task = ctx.net.import_connection(fd()?, task, SocketOwner::Front(TEXT_FRONT)).ok()?;
                let open = match FirstLine::parse(line.as_bytes(), ctx.site, ctx.classes) {
                    Some(FirstLine::Open(open)) => Some(open),
                    _ => None,
                };
                let (Some(open), Some(server)) = (open, ctx.registry.id_of(&server)) else {
                    // It was placed under other classes, or where nobody knows of: it is placed anew.
                    ctx.net.send(token, b"MOVE\r\n");
                    ctx.net.close(token);
                    ctx.net.close(task);
                    return Some(());
                };
                let connection = HandedOverConnection {
                    front: TEXT_FRONT,
                    arrival: arrival(&open),
                    server,
                    started_at: began,
                    load,
                };
                let request_id = ctx.requests.receive_handed_over(ctx.now, connection);
                self.ids.insert(open.id.clone());
                self.sides.insert(token, Side::Client);
                self.sides.insert(task, Side::Task(token));
                self.clients.insert(request_id, token);
                let (request_id, server, up) = (Some(request_id), Some(server), true);
                let session = Session { open, request_id, server, task: Some(task), up, asked, last, load };
                session.trace("took", ctx);
                self.sessions.insert(token, session);
                self.task(ctx, token, task, None);
                ctx.net.update_interest(task);
                ctx.net.update_interest(token);
            }
        }
        Some(())
    }

    fn note_delays(&mut self, ctx: &mut FrontContext) {
        let aim = ctx.classes.iter().filter_map(|c| c.message_latency_objective).min().unwrap_or(Nanos::MAX);
        let mut notes: Vec<(ServerId, Nanos)> = Vec::new();
        for (server, delay) in &mut self.delays {
            let Some(latest) = delay.latest.take() else { continue };
            let busy = latest > aim / 3;
            if busy || delay.busy {
                notes.push((*server, latest));
            }
            delay.busy = busy;
        }
        notes.sort_unstable();
        for (server, delay) in notes {
            ctx.requests.push_event(Event::LatencyReport { server, latency: delay });
        }
    }
}

impl Front for TextFront {
    /// Whether no client is held.
    fn is_idle(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Something happened at one of this front's sockets.
    fn on_socket_event(&mut self, ctx: &mut FrontContext, notice: SocketEvent) {
        let token = notice.token;
        if notice.kind == SocketEventKind::Accepted {
            self.sides.insert(token, Side::Fresh(0));
            return;
        }
        if notice.kind == SocketEventKind::Evicted {
            ctx.requests.counters.idle_closed += 1;
            self.sides.remove(&token);
            return;
        }
        if notice.kind == SocketEventKind::HandshakeTimeout {
            if let Some(Side::Fresh(_)) = self.sides.get(&token) {
                self.end_resting(ctx, token);
            }
            return;
        }
        let broken = match notice.kind {
            SocketEventKind::Failed { all_written } => Some(all_written),
            _ => None,
        };
        match self.sides.get(&token) {
            None => ctx.net.close(token),
            // Whoever broke its connection off waits for no answer, whatever it had sent.
            Some(Side::Fresh(_)) if broken.is_some() => {
                self.sides.remove(&token);
                ctx.net.close(token);
            }
            Some(Side::Fresh(_)) => self.fresh(ctx, token),
            Some(Side::Client) => self.client(ctx, token, broken.is_some()),
            Some(Side::Task(client)) => {
                let client = *client;
                self.task(ctx, client, token, broken);
            }
            Some(Side::Probe) => self.probed(ctx, token, broken.is_some()),
        }
        ctx.net.update_interest(token);
    }

    fn start_attempt(
        &mut self,
        ctx: &mut FrontContext,
        request_id: RequestId,
        server: ServerId,
        wait: Nanos,
    ) {
        let Some(client) = self.clients.get(&request_id).copied() else { return };
        // Nothing is begun for a client that has gone by now, nor at a server that has been told to stop in this
        // very turn, after the pick.
        ctx.net.read_available(client);
        let said = ctx.net.input_buffer(client).is_none_or(|input| !input.is_empty());
        if said || ctx.net.is_read_closed(client) || ctx.net.is_failed(client) {
            return self.client(ctx, client, ctx.net.is_failed(client));
        }
        if !ctx.net.has_descriptor_for_attempt() || !ctx.registry.entry(server).is_some_and(|r| r.is_ready())
        {
            ctx.requests.on_attempt_ended(ctx.now, request_id, Outcome::Rejected);
        } else if !self.dial(ctx, client, server, wait) {
            ctx.requests.on_attempt_ended(ctx.now, request_id, Outcome::ConnectFailed);
        }
    }

    /// Takes an attempt back and says what that makes of it: unsent, it never ran.
    fn cancel_attempt(&mut self, ctx: &mut FrontContext, request_id: RequestId) -> Outcome {
        let Some(client) = self.clients.get(&request_id).copied() else { return Outcome::Cancelled };
        let task = self.sessions.get(&client).and_then(|s| s.task);
        let unsent =
            task.is_some_and(|task| ctx.net.is_connecting(task) || ctx.net.pending_output_bytes(task) > 0);
        self.drop_task(ctx, client);
        if unsent {
            Outcome::ConnectFailed
        } else {
            Outcome::Timeout
        }
    }

    fn reject(&mut self, ctx: &mut FrontContext, request_id: RequestId, cool_down: Nanos) {
        if let Some(client) = self.clients.get(&request_id).copied() {
            let busy = match cool_down / 1_000_000 {
                0 => "BUSY\r\n".to_string(),
                ms => format!("BUSY {ms}\r\n"),
            };
            self.answer(ctx, client, busy.as_bytes());
        }
    }

    fn fail(&mut self, ctx: &mut FrontContext, request_id: RequestId) {
        if let Some(client) = self.clients.get(&request_id).copied() {
            self.answer(ctx, client, b"ERR\r\n");
        }
    }

    /// `STATS` to the server, on its probe connection or a new one.
    fn check_health(&mut self, ctx: &mut FrontContext, server: ServerId) {
        let token = match self.probes.ask(ctx.now, server) {
            Ask::Out => return,
            Ask::On(token) => token,
            Ask::Dial => {
                let addr = ctx.registry.entry(server).map(|r| r.address());
                let Some(Ok(token)) = addr.map(|addr| ctx.net.connect(addr, SocketOwner::Front(TEXT_FRONT)))
                else {
                    return ctx.requests.push_event(Event::HealthCheckResult { server, utilization: None });
                };
                self.probes.dialled(ctx.now, server, token);
                self.sides.insert(token, Side::Probe);
                token
            }
        };
        ctx.requests.counters.health_checks += 1;
        ctx.net.send(token, STATS);
        ctx.wheel.schedule(ctx.now + PROBE_WAIT, TimerEvent::FrontTimer(TEXT_FRONT, token));
    }

    /// Asks a client to come again. The core has already let it go.
    fn migrate(&mut self, ctx: &mut FrontContext, request_id: RequestId) {
        if let Some(client) = self.clients.get(&request_id).copied() {
            self.answer(ctx, client, b"MOVE\r\n");
        }
    }

    fn hand_over_connections(&mut self, ctx: &mut FrontContext, most: usize) -> Vec<TransferredConnection> {
        let mut tokens: Vec<Token> =
            self.sides.keys().filter(|token| self.can_pass(ctx, **token)).copied().collect();
        tokens.sort_unstable();
        tokens.truncate(most);
        tokens.into_iter().filter_map(|token| self.pack(ctx, token)).collect()
    }

    fn receive_connection(&mut self, ctx: &mut FrontContext, transferred_connection: TransferredConnection) {
        if self.unpack(ctx, transferred_connection).is_none() {
            crate::log::line(format_args!("handover-lost a connection that cannot be read"));
        }
    }

    /// A connection should be up by now.
    fn on_connect_timeout(&mut self, ctx: &mut FrontContext, task: Token) {
        if let (true, Some(Side::Task(client))) = (ctx.net.is_connecting(task), self.sides.get(&task)) {
            let client = *client;
            self.over(ctx, client, Outcome::ConnectFailed, true);
        }
    }

    /// A client's time is up: to stand again, or to end its other half.
    fn on_timer(&mut self, ctx: &mut FrontContext, token: Token) {
        if self.probes.is_late(token, (ctx.now + 1).saturating_sub(PROBE_WAIT)) {
            return self.end_probe(ctx, token);
        }
        let Some(session) = self.sessions.get(&token) else { return };
        if session.request_id.is_none() {
            self.answer(ctx, token, b"ERR\r\n");
        } else if session.up && ctx.net.is_read_closed(token) {
            self.end(ctx, token, Outcome::Cancelled, false);
        }
    }

    /// Servers that get nothing new: connections to them on which no byte has gone out are called off.
    fn on_servers_draining(&mut self, ctx: &mut FrontContext, stopped: &[ServerId]) {
        let unsent = |(client, s): (&Token, &Session)| {
            let task = s.task.filter(|task| !s.up && !ctx.net.has_written(*task))?;
            s.server.filter(|server| stopped.contains(server)).map(|_| (*client, task))
        };
        let unsent: Vec<_> = self.sessions.iter().filter_map(unsent).collect();
        for (client, _) in unsent {
            self.over(ctx, client, Outcome::ConnectFailed, true);
        }
    }

    /// The process is about to end: so do connections on which no request has come.
    fn on_drain_step(&mut self, ctx: &mut FrontContext) {
        if ctx.shutting_down {
            let fresh = |(token, side): (&Token, &Side)| matches!(side, Side::Fresh(_)).then_some(*token);
            let mut resting: Vec<Token> = self.sides.iter().filter_map(fresh).collect();
            resting.sort_unstable();
            resting.into_iter().for_each(|token| self.end_resting(ctx, token));
        }
    }

    /// Once in a while: silent servers and notes of delay.
    fn on_tick(&mut self, ctx: &mut FrontContext) {
        let now = ctx.now;
        let silent =
            |s: &Session| s.up && s.asked.is_some_and(|asked| now.saturating_sub(asked) > SILENT_AFTER);
        let silent: Vec<RequestId> =
            self.sessions.values().filter(|s| silent(s)).filter_map(|s| s.request_id).collect();
        for request_id in silent {
            crate::log::trace(format_args!("trace silent request={}", request_id.0));
            ctx.requests.close_for_migration(now, request_id, Outcome::Reset);
            self.migrate(ctx, request_id);
        }
        if ctx.site.family_info.reports_message_latency && now.saturating_sub(self.noted) >= 1_000_000_000 {
            self.noted = now;
            self.note_delays(ctx);
        }
    }
}

/// Passes a server's line on and notes what it says.
fn pass(
    ctx: &mut FrontContext,
    session: &mut Session,
    delays: &mut HashMap<ServerId, Delay>,
    client: Token,
    line: &[u8],
) {
    let text = line.trim_ascii_end();
    let word = text.split(|b| *b == b' ').next().unwrap_or(b"");
    session.last = match word {
        b"BYE" => Ending::Bye,
        b"MOVE" => Ending::Moved,
        _ => Ending::Broken,
    };
    if word == b"BYE" {
        said_report(text, "BYE", ());
    }
    match (text.strip_prefix(b"LOAD "), session.request_id) {
        // The protocol's one meaning of it: the connection's load now. Nothing on a socket tells a delay.
        (Some(value), Some(id)) => {
            let told = std::str::from_utf8(value).ok().and_then(|text| first_line::load(text.trim()));
            if let Some(cost) = told {
                crate::log::trace(format_args!("trace load request={} us={}", id.0, cost / 1_000));
                session.load = Some(cost);
                ctx.requests.push_event(Event::LoadReport { id, cost });
            }
        }
        _ => {
            if let (Some(asked), Some(server)) = (session.asked.take(), session.server) {
                let took = ctx.now.saturating_sub(asked);
                let delay = delays.entry(server).or_default();
                delay.latest = delay.latest.max(Some(took));
                let name = ctx.registry.entry(server).map_or("?", |r| r.name());
                crate::log::trace(format_args!("trace line server={name} took_ms={}", took / 1_000_000));
            }
        }
    }
    ctx.net.send(client, line);
}

/// A load report at the end of a server's answer is read, and one that is wrong is named in the log; the
/// answer means what its word says.
fn said_report<T>(line: &[u8], word: &str, meaning: T) -> T {
    if let Some(Err(wrong)) = probe::trailing(&String::from_utf8_lossy(line), word) {
        crate::log::line(format_args!("server-protocol-error reason=report after {word}: {wrong}"));
    }
    meaning
}

fn arrival(open: &Open) -> Arrival {
    Arrival {
        id: RequestId(0),
        class: open.class,
        time_left: open.grace.saturating_sub(ANSWER_MARGIN),
        cost: open.hint,
        key: Some(open.key),
        group: open.group,
        reconnect: open.reconnect,
        client_retry: open.client_retry,
        rerouted: false,
    }
}

enum Line {
    None,
    TooLong,
    Whole(Vec<u8>),
}

/// Takes the first whole line, with its end.
fn take_line(input: &mut Vec<u8>) -> Line {
    match input.iter().position(|b| *b == b'\n') {
        Some(at) if at < MOST_LINE => Line::Whole(input.drain(..=at).collect()),
        None if input.len() < MOST_LINE => Line::None,
        _ => Line::TooLong,
    }
}
