//! Frames of the lease protocol: a four-byte length (big endian), a version byte, and a message encoded with postcard.
//! The length covers the version and the message.

use serde::{Deserialize, Serialize};
use sparbank_quota::{LeaseGrant, LeaseRequest};

const PROTOCOL_VERSION: u8 = 1;
const LENGTH_BYTES: usize = 4;
/// Upper bound on the encoded size of the version and of the message fields that do not depend on the number of quotas.
const MAX_FIXED_BYTES: usize = 64;
/// A message has two integers for each quota, each encoded in at most ten bytes.
const MAX_BYTES_PER_QUOTA: usize = 20;

/// A message of the lease protocol. The order of the variants is part of the wire format.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub(super) enum Message {
    /// From a holder to the grantor.
    Request(LeaseRequest),
    /// From the grantor to a holder.
    Grant(LeaseGrant),
}

/// A frame with an invalid length, another protocol version, or a body that is not a valid message.
#[derive(Debug, PartialEq)]
pub(super) struct UndecodableFrame;

/// Bounds on the size of frames, derived from the number of quotas in the plan.
#[derive(Clone, Copy, Debug)]
pub(super) struct FrameLimits {
    /// The largest valid value of the length field.
    max_length: usize,
}

impl FrameLimits {
    pub(super) fn new(quotas: usize) -> FrameLimits {
        FrameLimits { max_length: MAX_FIXED_BYTES + MAX_BYTES_PER_QUOTA * quotas }
    }

    /// The size of the longest valid frame, including its length field.
    pub(super) fn max_frame_bytes(self) -> usize {
        LENGTH_BYTES + self.max_length
    }
}

/// Encodes a message as a frame. Returns `None` if the message cannot be encoded.
pub(super) fn encode(message: &Message) -> Option<Vec<u8>> {
    let body = postcard::to_stdvec(message).ok()?;
    let length = (body.len() + 1) as u32;
    let mut frame = length.to_be_bytes().to_vec();
    frame.push(PROTOCOL_VERSION);
    frame.extend(body);
    Some(frame)
}

/// Decodes one frame and removes it from the input. Returns `None` while the input has no complete frame.
pub(super) fn decode(input: &mut Vec<u8>, limits: FrameLimits) -> Result<Option<Message>, UndecodableFrame> {
    let Some(length) = input.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if !(1..=limits.max_length).contains(&length) {
        return Err(UndecodableFrame);
    }
    let frame_bytes = LENGTH_BYTES + length;
    let Some(payload) = input.get(LENGTH_BYTES..frame_bytes) else { return Ok(None) };
    let Some((&PROTOCOL_VERSION, body)) = payload.split_first() else { return Err(UndecodableFrame) };
    let message = postcard::from_bytes(body).map_err(|_| UndecodableFrame)?;
    input.drain(..frame_bytes);
    Ok(Some(message))
}

#[cfg(test)]
mod tests;
