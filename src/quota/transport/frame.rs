//! The frames of the lease protocol: four bytes of length (big endian), one byte of version, and a message in postcard.
//! The length counts the version and the message.

use serde::{Deserialize, Serialize};
use sparbank_quota::{LeaseGrant, LeaseRequest};

const PROTOCOL_VERSION: u8 = 1;
const LENGTH_BYTES: usize = 4;
/// A bound on the version and the fields of a message whose size does not depend on the plan.
const MAX_FIXED_BYTES: usize = 64;
/// A message has two numbers for each quota, of ten bytes at most.
const MAX_BYTES_PER_QUOTA: usize = 20;

/// A message of the lease protocol. The order of the variants is the wire format.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub(super) enum Message {
    /// From a holder to the grantor.
    Request(LeaseRequest),
    /// From the grantor to a holder.
    Grant(LeaseGrant),
}

/// A frame that is longer than any message of the plan, of another version, or no message.
#[derive(Debug, PartialEq)]
pub(super) struct UndecodableFrame;

/// The bounds on frames, which follow from the number of quotas.
#[derive(Clone, Copy, Debug)]
pub(super) struct FrameLimits {
    /// The largest value of the length field.
    max_length: usize,
}

impl FrameLimits {
    pub(super) fn new(quotas: usize) -> FrameLimits {
        FrameLimits { max_length: MAX_FIXED_BYTES + MAX_BYTES_PER_QUOTA * quotas }
    }

    /// The size of the longest frame, with its length field.
    pub(super) fn max_frame_bytes(self) -> usize {
        LENGTH_BYTES + self.max_length
    }
}

/// A message as a frame; None if it cannot be encoded.
pub(super) fn encode(message: &Message) -> Option<Vec<u8>> {
    let body = postcard::to_stdvec(message).ok()?;
    let length = (body.len() + 1) as u32;
    let mut frame = length.to_be_bytes().to_vec();
    frame.push(PROTOCOL_VERSION);
    frame.extend(body);
    Some(frame)
}

/// Takes one complete frame off the input; None while there is none yet.
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
