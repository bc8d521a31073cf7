//! Frames (standard, section 2.3).

use crate::codec::{DecodeError, Reader, Result};
use crate::performative::Performative;

/// The type octet of AMQP frames.
pub const AMQP: u8 = 0;
/// The type octet of SASL frames.
pub const SASL: u8 = 1;

/// A decoded frame. Its payload is borrowed from the input.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame<'a> {
    /// [`AMQP`], [`SASL`] or another type.
    pub frame_type: u8,
    /// The channel. SASL frames have none, and the value must be ignored.
    pub channel: u16,
    /// The performative; `None` in an empty frame, which serves as a heartbeat.
    pub body: Option<Performative>,
    /// The octets after the performative.
    pub payload: &'a [u8],
}

/// Reads a frame from the start of `bytes` and advances `bytes` past it. Returns `None` if the frame is incomplete.
///
/// # Errors
/// The frame is larger than `max_frame_size` octets, or its header or body cannot be decoded.
pub fn read_frame<'a>(bytes: &mut &'a [u8], max_frame_size: u32) -> Result<Option<Frame<'a>>> {
    let input = *bytes;
    let Some((header, _)) = input.split_first_chunk::<8>() else { return Ok(None) };
    let size = u32::from_be_bytes([header[0], header[1], header[2], header[3]]);
    let data_offset = u32::from(header[4]) * 4;
    if size > max_frame_size || data_offset < 8 || size < data_offset {
        return Err(DecodeError::FrameSize);
    }
    let Some((frame, rest)) = input.split_at_checked(size as usize) else { return Ok(None) };
    *bytes = rest;
    let channel = u16::from_be_bytes([header[6], header[7]]);
    let mut reader = Reader::new(&frame[data_offset as usize..]);
    if reader.remaining.is_empty() {
        return Ok(Some(Frame { frame_type: header[5], channel, body: None, payload: &[] }));
    }
    Ok(Some(Frame {
        frame_type: header[5],
        channel,
        body: Some(Performative::read(&mut reader)?),
        payload: reader.remaining,
    }))
}

/// Appends a frame to `out`.
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

/// Appends a frame to `out`. The `write` function appends the body.
pub fn write_frame_with(
    out: &mut Vec<u8>,
    frame_type: u8,
    channel: u16,
    write: impl FnOnce(&mut Vec<u8>),
    payload: &[u8],
) {
    let start = out.len();
    let channel = channel.to_be_bytes();
    // The size is filled in at the end. The data offset is 2 words of 4 octets.
    out.extend([0, 0, 0, 0, 2, frame_type, channel[0], channel[1]]);
    write(out);
    out.extend_from_slice(payload);
    let size = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&size.to_be_bytes());
}
