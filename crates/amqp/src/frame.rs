//! Frames (part 2, section 2.3).

use crate::codec::{DecodeError, Reader, Result};
use crate::performative::Performative;

/// The type byte of AMQP frames.
pub const AMQP: u8 = 0;
/// The type byte of SASL frames.
pub const SASL: u8 = 1;

/// A frame; its payload is still where it came.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame<'a> {
    /// [`AMQP`], [`SASL`] or what else came.
    pub kind: u8,
    /// The channel (of SASL frames, to be ignored).
    pub channel: u16,
    /// None in a heartbeat.
    pub body: Option<Performative>,
    /// What follows the body.
    pub payload: &'a [u8],
}

/// Takes the first whole frame off the bytes; none where it has not come whole. `most` is the largest
/// frame in octets that was agreed.
pub fn take_frame<'a>(bytes: &mut &'a [u8], most: u32) -> Result<Option<Frame<'a>>> {
    let all = *bytes;
    let Some((head, _)) = all.split_first_chunk::<8>() else { return Ok(None) };
    let size = u32::from_be_bytes([head[0], head[1], head[2], head[3]]);
    let skip = u32::from(head[4]) * 4;
    if size > most || skip < 8 || size < skip {
        return Err(DecodeError::FrameSize);
    }
    let Some((frame, rest)) = all.split_at_checked(size as usize) else { return Ok(None) };
    *bytes = rest;
    let channel = u16::from_be_bytes([head[6], head[7]]);
    let mut reader = Reader::new(&frame[skip as usize..]);
    if reader.left.is_empty() {
        return Ok(Some(Frame { kind: head[5], channel, body: None, payload: &[] }));
    }
    Ok(Some(Frame {
        kind: head[5],
        channel,
        body: Some(Performative::read(&mut reader)?),
        payload: reader.left,
    }))
}

/// Appends a frame.
pub fn put_frame(out: &mut Vec<u8>, kind: u8, channel: u16, body: Option<&Performative>, payload: &[u8]) {
    let write = |out: &mut Vec<u8>| body.iter().for_each(|body| body.write(out));
    put_raw(out, kind, channel, write, payload);
}

/// Appends a frame whose body a function writes.
pub fn put_raw(out: &mut Vec<u8>, kind: u8, channel: u16, write: impl FnOnce(&mut Vec<u8>), payload: &[u8]) {
    let start = out.len();
    let channel = channel.to_be_bytes();
    out.extend([0, 0, 0, 0, 2, kind, channel[0], channel[1]]);
    write(out);
    out.extend_from_slice(payload);
    let size = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&size.to_be_bytes());
}
