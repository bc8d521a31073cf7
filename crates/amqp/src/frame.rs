//! Frames (standard, section 2.3).

use crate::codec::{DecodeError, Reader, Result};
use crate::performative::Performative;

/// The type octet of AMQP frames.
pub const AMQP: u8 = 0;
/// The type octet of SASL frames.
pub const SASL: u8 = 1;

/// A frame. Its payload is borrowed from the input.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame<'a> {
    /// [`AMQP`], [`SASL`] or another type.
    pub frame_type: u8,
    /// The channel (of SASL frames, to be ignored).
    pub channel: u16,
    /// None in a heartbeat.
    pub body: Option<Performative>,
    /// What follows the body.
    pub payload: &'a [u8],
}

/// Reads the first frame and moves past it; none if it is incomplete. `max_frame_size` is the largest frame that was
/// agreed, in octets.
///
/// # Errors
/// The frame is larger, or its header or body cannot be decoded.
pub fn read_frame<'a>(bytes: &mut &'a [u8], max_frame_size: u32) -> Result<Option<Frame<'a>>> {
    let all = *bytes;
    let Some((head, _)) = all.split_first_chunk::<8>() else { return Ok(None) };
    let size = u32::from_be_bytes([head[0], head[1], head[2], head[3]]);
    let skip = u32::from(head[4]) * 4;
    if size > max_frame_size || skip < 8 || size < skip {
        return Err(DecodeError::FrameSize);
    }
    let Some((frame, rest)) = all.split_at_checked(size as usize) else { return Ok(None) };
    *bytes = rest;
    let channel = u16::from_be_bytes([head[6], head[7]]);
    let mut reader = Reader::new(&frame[skip as usize..]);
    if reader.remaining.is_empty() {
        return Ok(Some(Frame { frame_type: head[5], channel, body: None, payload: &[] }));
    }
    Ok(Some(Frame {
        frame_type: head[5],
        channel,
        body: Some(Performative::read(&mut reader)?),
        payload: reader.remaining,
    }))
}

/// Appends a frame.
pub fn write_frame(
    out: &mut Vec<u8>,
    frame_type: u8,
    channel: u16,
    body: Option<&Performative>,
    payload: &[u8],
) {
    let write = |out: &mut Vec<u8>| body.iter().for_each(|body| body.write(out));
    write_frame_with(out, frame_type, channel, write, payload);
}

/// Appends a frame whose body is written by a function.
pub fn write_frame_with(
    out: &mut Vec<u8>,
    frame_type: u8,
    channel: u16,
    write: impl FnOnce(&mut Vec<u8>),
    payload: &[u8],
) {
    let start = out.len();
    let channel = channel.to_be_bytes();
    out.extend([0, 0, 0, 0, 2, frame_type, channel[0], channel[1]]);
    write(out);
    out.extend_from_slice(payload);
    let size = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&size.to_be_bytes());
}
