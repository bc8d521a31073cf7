//! What an old process and its successor tell each other. No I/O.
//!
//! ```text
//! successor   old process
//! Take    -->             it has read its configuration and could serve
//!         <-- State ...   the list and what the module learned, in pieces
//!         <-- Listener *  where optional fronts listen
//!         <-- Watch ?     discovery's watch
//!         <-- Whole
//! Ready   -->             it serves; the old process takes in nothing more
//!         <-- Connection *  connections, as each can be passed on
//!         <-- (the end)   the old process is gone
//! ```
//!
//! An end before `Ready` changes nothing for the old process.

use super::channel::{FramedMessage, MOST_FDS};
use crate::discovery::{List, WatchState};
use crate::net::BufferedConnection;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

/// Rises with every change of these types: what another version says is not guessed at.
pub const VERSION: u32 = 1;
/// A piece of the state, in octets.
const PIECE: usize = 32 * 1024;
/// The longest state, in octets. A list of 10,000 servers and what is known of them takes 5 MB.
const MOST_STATE: usize = 16 * 1024 * 1024;

/// A message; descriptors travel beside it.
#[derive(Debug, Serialize, Deserialize)]
pub enum Message {
    Take {
        version: u32,
        name: String,
    },
    State {
        piece: String,
    },
    Listener {
        at: SocketAddr,
    },
    Watch(WatchState, BufferedConnection),
    Whole,
    Ready,
    #[serde(rename = "Terminal")]
    Connection {
        front: String,
        #[serde(rename = "luggage")]
        state: String,
        descriptors: usize,
    },
}

/// What one process knew.
#[derive(Debug, Serialize, Deserialize)]
pub struct State {
    /// Operators have sent its clients away.
    pub drained: bool,
    pub list: List,
    /// What the module learned, as it wrote it.
    pub learned: String,
    /// Descriptors that it still holds.
    pub descriptors: usize,
}

/// Why a message cannot be used.
#[derive(Debug, PartialEq, Eq)]
pub enum MessageError {
    NotJson(String),
    Descriptors,
    TooLong,
}

impl std::fmt::Display for MessageError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            MessageError::NotJson(problem) => write!(f, "no message: {problem}"),
            MessageError::Descriptors => write!(f, "a message without its descriptors"),
            MessageError::TooLong => write!(f, "a state of more than {MOST_STATE} octets"),
        }
    }
}

impl Message {
    /// As it is carried, with its descriptors.
    pub fn pack(&self, fds: Vec<OwnedFd>) -> Result<FramedMessage, MessageError> {
        let bytes = serde_json::to_vec(self).map_err(|e| MessageError::NotJson(e.to_string()))?;
        Ok(FramedMessage { bytes, fds })
    }

    pub fn unpack(framed_message: FramedMessage) -> Result<(Message, Vec<OwnedFd>), MessageError> {
        let message: Message = serde_json::from_slice(&framed_message.bytes)
            .map_err(|e| MessageError::NotJson(e.to_string()))?;
        let right = match message {
            Message::Listener { .. } | Message::Watch(..) => framed_message.fds.len() == 1,
            Message::Connection { .. } => (1..=MOST_FDS).contains(&framed_message.fds.len()),
            _ => framed_message.fds.is_empty(),
        };
        if right {
            Ok((message, framed_message.fds))
        } else {
            Err(MessageError::Descriptors)
        }
    }
}

impl State {
    /// In pieces that each fit a message.
    pub fn pieces(&self) -> Result<Vec<Message>, MessageError> {
        let text = serde_json::to_string(self).map_err(|e| MessageError::NotJson(e.to_string()))?;
        let (mut rest, mut pieces) = (text.as_str(), Vec::new());
        while !rest.is_empty() {
            // The text is cut between characters.
            let at = (0..=PIECE.min(rest.len())).rev().find(|at| rest.is_char_boundary(*at)).unwrap_or(0);
            let (piece, after) = rest.split_at(at);
            pieces.push(Message::State { piece: piece.to_string() });
            rest = after;
        }
        Ok(pieces)
    }
}

/// A state as its pieces come.
#[derive(Debug, Default)]
pub struct Pieces(String);

impl Pieces {
    pub fn add(&mut self, piece: &str) -> Result<(), MessageError> {
        if self.0.len() + piece.len() > MOST_STATE {
            return Err(MessageError::TooLong);
        }
        self.0.push_str(piece);
        Ok(())
    }

    pub fn whole(&self) -> Result<State, MessageError> {
        serde_json::from_str(&self.0).map_err(|e| MessageError::NotJson(e.to_string()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn state(learned: String) -> State {
        let list = r#"{"generation":7,"reset":true,"instances":[{"instanceId":"s-è","hostPort":"10.0.0.1:80",
            "zone":"a","cell":3,"lifecycle":"draining","weight":2.0,"startedAtMs":12}]}"#;
        let list = serde_json::from_str(list).expect("a list");
        State { drained: true, list, learned, descriptors: 5 }
    }

    proptest! {
        #[test]
        fn a_state_is_the_same_after_its_journey(learned in "\\PC{0,200}", times in 1usize..300) {
            let sent = state(learned.repeat(times));
            let mut pieces = Pieces::default();
            for message in sent.pieces().expect("pieces") {
                let framed_message = message.pack(Vec::new()).expect("packed");
                prop_assert!(framed_message.bytes.len() < crate::handover::channel::MOST_MESSAGE);
                let Ok((Message::State { piece }, _)) = Message::unpack(framed_message) else { panic!("a piece") };
                pieces.add(&piece).expect("it fits");
            }
            let came = pieces.whole().expect("whole");
            prop_assert_eq!(format!("{came:?}"), format!("{sent:?}"));
        }

        #[test]
        fn what_is_no_message_is_an_error(bytes: Vec<u8>) {
            let came = Message::unpack(FramedMessage { bytes, fds: Vec::new() });
            prop_assert!(came.is_err());
        }
    }

    #[test]
    fn a_message_without_its_descriptors_is_none() {
        let text = |s: &str| s.to_string();
        let message = Message::Connection { front: text("text"), state: text(""), descriptors: 0 };
        let framed_message = message.pack(Vec::new()).expect("packed");
        assert_eq!(Message::unpack(framed_message).expect_err("none"), MessageError::Descriptors);
        let mut pieces = Pieces::default();
        pieces.add(r#"{"drained":"#).expect("it fits");
        assert!(matches!(pieces.whole(), Err(MessageError::NotJson(_))));
        assert_eq!(pieces.add(&" ".repeat(MOST_STATE)), Err(MessageError::TooLong));
    }
}
