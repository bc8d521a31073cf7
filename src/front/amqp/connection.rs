//! One AMQP connection: protocol headers, SASL, open, heartbeats and close, from either end.

use super::codec::*;
use crate::interface::Nanos;

const SASL_HEADER: &[u8; 8] = b"AMQP\x03\x01\x00\x00";
const AMQP_HEADER: &[u8; 8] = b"AMQP\x00\x01\x00\x00";
/// The highest channel that is taken: a session costs memory.
pub const CHANNEL_MAX: u16 = 3;
/// Frames of this size are taken by everyone.
const MIN_MAX_FRAME: u32 = 512;
/// An idle time-out shorter than this cannot be kept by a loop that looks now and then.
const LEAST_IDLE: Nanos = 400_000_000;
const MS: Nanos = 1_000_000;

/// Why a connection, session or link has to end: a standard condition and words for people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub condition: &'static str,
    pub words: String,
}

/// A fault with a standard condition.
pub fn fault(condition: &'static str, words: impl Into<String>) -> Fault {
    Fault { condition, words: words.into() }
}

impl From<CodecError> for Fault {
    fn from(error: CodecError) -> Fault {
        let condition = match error {
            CodecError::FrameSize => "amqp:connection:framing-error",
            CodecError::Field(_) => "amqp:invalid-field",
            _ => "amqp:decode-error",
        };
        fault(condition, error.to_string())
    }
}

impl Fault {
    pub fn value(&self) -> Value {
        error(self.condition, &self.words)
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Stage {
    /// The peer's first header is awaited.
    Start,
    /// SASL frames are exchanged.
    Sasl,
    /// The peer's AMQP header is awaited.
    Header,
    /// The peer's open is awaited.
    Opening,
    Open,
    Closed,
}

/// A connection.
pub struct Connection {
    /// We dialled; otherwise the peer did.
    dialled: bool,
    stage: Stage,
    container: String,
    max_frame: u32,
    idle: Nanos,
    peer_max_frame: u32,
    peer_idle: Option<Nanos>,
    heard: Nanos,
    said: Nanos,
    /// What is to be written.
    pub out: Vec<u8>,
}

impl Connection {
    pub fn new(now: Nanos, dialled: bool, container: &str, max_frame: u32, idle_ms: u32) -> Connection {
        Connection {
            dialled,
            stage: Stage::Start,
            container: container.to_string(),
            max_frame,
            idle: Nanos::from(idle_ms) * MS,
            peer_max_frame: MIN_MAX_FRAME,
            peer_idle: None,
            heard: now,
            said: now,
            out: if dialled { SASL_HEADER.to_vec() } else { Vec::new() },
        }
    }

    pub fn is_open(&self) -> bool {
        self.stage == Stage::Open
    }

    pub fn is_closed(&self) -> bool {
        self.stage == Stage::Closed
    }

    /// The most that fits into a frame to the peer beside a transfer's own fields.
    pub fn room(&self) -> usize {
        self.peer_max_frame.min(self.max_frame) as usize - 128
    }

    pub fn put(&mut self, channel: u16, body: impl Into<Performative>) {
        self.put_with(channel, body, &[]);
    }

    pub fn put_with(&mut self, channel: u16, body: impl Into<Performative>, payload: &[u8]) {
        if self.stage != Stage::Closed {
            put_frame(&mut self.out, AMQP, channel, Some(&body.into()), payload);
        }
    }

    /// Says why and ends; nothing follows.
    pub fn close(&mut self, why: Option<&Fault>) {
        if matches!(self.stage, Stage::Opening | Stage::Open) {
            if self.stage == Stage::Opening && !self.dialled {
                self.say_open();
            }
            self.put(0, Close { error: why.map(Fault::value) });
        }
        self.stage = Stage::Closed;
    }

    /// What is to be written now, and that something is.
    pub fn take_out(&mut self, now: Nanos) -> Vec<u8> {
        if !self.out.is_empty() {
            self.said = now;
        }
        std::mem::take(&mut self.out)
    }

    /// Keeps the peer's idle time-out, and says whether the peer has kept ours.
    pub fn look(&mut self, now: Nanos) -> Result<(), Fault> {
        if self.idle > 0 && now.saturating_sub(self.heard) > self.idle {
            return Err(fault("amqp:resource-limit-exceeded", "idle time-out"));
        }
        let due = |idle: Nanos| now.saturating_sub(self.said) >= idle / 2;
        if self.is_open() && self.peer_idle.is_some_and(due) {
            put_frame(&mut self.out, AMQP, 0, None, &[]);
        }
        Ok(())
    }

    /// Takes what has come; gives the frames that belong to sessions.
    pub fn feed(
        &mut self,
        now: Nanos,
        input: &mut Vec<u8>,
    ) -> Result<Vec<(u16, Performative, Vec<u8>)>, Fault> {
        if !input.is_empty() {
            self.heard = now;
        }
        let mut frames = Vec::new();
        loop {
            match self.stage {
                Stage::Start | Stage::Header => {
                    if input.len() < 8 {
                        break;
                    }
                    let header: Vec<u8> = input.drain(..8).collect();
                    self.header(&header)?;
                }
                Stage::Closed => {
                    input.clear();
                    break;
                }
                Stage::Sasl | Stage::Opening | Stage::Open => {
                    let most = if self.stage == Stage::Sasl { MIN_MAX_FRAME } else { self.max_frame };
                    let Some(frame) = take_frame(input, most)? else { break };
                    let Some(body) = frame.body else { continue };
                    if (frame.kind == SASL) != (self.stage == Stage::Sasl) || frame.kind > SASL {
                        return Err(fault("amqp:connection:framing-error", "a frame of the wrong type"));
                    }
                    match (self.stage, body) {
                        (Stage::Sasl, body) => self.sasl(body)?,
                        (Stage::Opening, Performative::Open(open)) => self.opened(&open),
                        (_, Performative::Close(_)) => self.close(None),
                        (Stage::Open, Performative::Open(_)) | (Stage::Opening, _) => {
                            return Err(fault("amqp:illegal-state", "open comes once and first"));
                        }
                        (_, body) => frames.push((frame.channel, body, frame.payload)),
                    }
                }
            }
        }
        Ok(frames)
    }

    fn header(&mut self, header: &[u8]) -> Result<(), Fault> {
        if self.stage == Stage::Start && header == SASL_HEADER {
            self.stage = Stage::Sasl;
            if !self.dialled {
                self.out.extend(SASL_HEADER);
                let mechanisms = Some(Value::Array(vec![Value::Symbol("ANONYMOUS".into())]));
                self.put_sasl(SaslMechanisms { mechanisms });
            }
            return Ok(());
        }
        if header == AMQP_HEADER {
            if !self.dialled {
                self.out.extend(AMQP_HEADER);
            } else if self.stage == Stage::Start {
                return Err(fault("amqp:connection:framing-error", "the region speaks no SASL"));
            }
            self.stage = Stage::Opening;
            return Ok(());
        }
        if !self.dialled {
            self.out.extend(if self.stage == Stage::Start { SASL_HEADER } else { AMQP_HEADER });
        }
        self.stage = Stage::Closed;
        Err(fault("amqp:connection:framing-error", "not AMQP 1.0"))
    }

    fn put_sasl(&mut self, body: impl Into<Performative>) {
        put_frame(&mut self.out, SASL, 0, Some(&body.into()), &[]);
    }

    fn sasl(&mut self, body: Performative) -> Result<(), Fault> {
        let refused = || fault("amqp:unauthorized-access", "SASL ANONYMOUS is all that is spoken");
        match body {
            Performative::SaslMechanisms(m) if self.dialled => {
                let anonymous = Value::Symbol("ANONYMOUS".into());
                let offered = match m.mechanisms {
                    Some(Value::Array(list)) => list.contains(&anonymous),
                    Some(one) => one == anonymous,
                    None => false,
                };
                if !offered {
                    return Err(refused());
                }
                self.put_sasl(SaslInit { mechanism: Some(anonymous), ..SaslInit::default() });
            }
            Performative::SaslInit(init) if !self.dialled => {
                let known = init.mechanism == Some(Value::Symbol("ANONYMOUS".into()));
                self.put_sasl(SaslOutcome { code: Some(u8::from(!known)), additional_data: None });
                if !known {
                    return Err(refused());
                }
                self.stage = Stage::Header;
            }
            Performative::SaslOutcome(outcome) if self.dialled => {
                if outcome.code != Some(0) {
                    return Err(refused());
                }
                self.out.extend(AMQP_HEADER);
                self.say_open();
                self.stage = Stage::Header;
            }
            _ => return Err(refused()),
        }
        Ok(())
    }

    fn say_open(&mut self) {
        let open = Open {
            container_id: Some(self.container.clone()),
            max_frame_size: Some(self.max_frame),
            channel_max: Some(CHANNEL_MAX),
            // The peer is asked to be livelier than it must be, as the standard advises.
            idle_time_out: Some((self.idle / MS / 2) as u32).filter(|idle| *idle > 0),
            ..Open::default()
        };
        put_frame(&mut self.out, AMQP, 0, Some(&open.into()), &[]);
    }

    fn opened(&mut self, open: &Open) {
        self.peer_max_frame = open.max_frame_size.unwrap_or(u32::MAX).max(MIN_MAX_FRAME);
        let idle = open.idle_time_out.filter(|ms| *ms > 0);
        self.peer_idle = idle.map(|ms| (Nanos::from(ms) * MS).max(LEAST_IDLE));
        if !self.dialled {
            self.say_open();
        }
        self.stage = Stage::Open;
    }
}
