//! Input and output buffers of a connection.

use super::system::{read, write};
use rustix::io::Errno;
use std::os::fd::OwnedFd;

/// Default limit of buffered input; the owner may set another
/// ([`SocketReactor::set_read_limit`](super::SocketReactor::set_read_limit)).
const DEFAULT_READ_LIMIT_BYTES: usize = 8 * 1024;
/// An output buffer larger than this is freed once it is empty, to bound the memory held by many idle
/// sockets.
const RETAINED_OUTPUT_BYTES: usize = 8 * 1024;
/// High watermark of buffered output. Above it the peer counts as slow, and input from the connection that it
/// is paired with is not read until the output drains.
pub const OUTPUT_HIGH_WATERMARK_BYTES: usize = 16 * 1024;

/// Received bytes that the owner has not consumed, and output that is not yet written.
pub(super) struct Buffers {
    input: Vec<u8>,
    output: Vec<u8>,
    bytes_written: u64,
    /// Limit of `input`; reading stops when it is reached.
    read_limit_bytes: usize,
}

impl Buffers {
    /// Creates empty buffers with the default read limit.
    pub(super) fn new() -> Buffers {
        Buffers::restored(Vec::new(), Vec::new(), 0)
    }

    /// Restores the buffers of a connection that another process exported.
    pub(super) fn restored(input: Vec<u8>, output: Vec<u8>, bytes_written: u64) -> Buffers {
        Buffers { input, output, bytes_written, read_limit_bytes: DEFAULT_READ_LIMIT_BYTES }
    }

    /// The received bytes that the owner has not consumed.
    pub(super) fn input(&self) -> &[u8] {
        &self.input
    }

    /// The received bytes, for the owner to remove those that it has consumed.
    pub(super) fn input_mut(&mut self) -> &mut Vec<u8> {
        &mut self.input
    }

    /// Sets the limit of buffered input.
    pub(super) fn set_read_limit(&mut self, bytes: usize) {
        self.read_limit_bytes = bytes;
    }

    /// How many more bytes of input fit within the limit.
    pub(super) fn read_capacity(&self) -> usize {
        self.read_limit_bytes.saturating_sub(self.input.len())
    }

    /// Appends received bytes without checking the read limit.
    pub(super) fn append_input(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Reads once more, through `chunk`, after the connection has failed. Reads up to the full limit,
    /// regardless of how much is already buffered.
    pub(super) fn read_after_failure(&mut self, fd: &OwnedFd, chunk: &mut [u8]) {
        let capacity = self.read_limit_bytes.min(chunk.len());
        let count = loop {
            match read(fd, &mut chunk[..capacity]) {
                Err(Errno::INTR) => {}
                result => break result.unwrap_or(0),
            }
        };
        self.append_input(&chunk[..count]);
    }

    /// Discards the output that is not written yet.
    pub(super) fn discard_output(&mut self) {
        self.output = Vec::new();
    }

    /// Number of buffered output bytes.
    pub(super) fn pending_output_bytes(&self) -> usize {
        self.output.len()
    }

    /// Number of bytes written so far.
    pub(super) fn bytes_written(&self) -> u64 {
        self.bytes_written
    }

    /// Offset in the output stream of the next byte to be sent.
    pub(super) fn output_position(&self) -> u64 {
        self.bytes_written + self.output.len() as u64
    }

    /// Buffers output without attempting to write it.
    pub(super) fn append_output(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Writes bytes directly from the slice until the peer accepts no more, provided that no earlier output
    /// is buffered. The rest is buffered, also after an error.
    ///
    /// # Errors
    /// Returns the error of the system call; interrupted calls are retried.
    pub(super) fn write_or_buffer(&mut self, fd: &OwnedFd, mut bytes: &[u8]) -> Result<(), Errno> {
        let mut result = Ok(());
        while !bytes.is_empty() && self.output.is_empty() {
            match write(fd, bytes) {
                Ok(count) => {
                    self.bytes_written += count as u64;
                    bytes = &bytes[count..];
                }
                Err(Errno::INTR) => {}
                Err(error) => {
                    result = Err(error);
                    break;
                }
            }
        }
        self.append_output(bytes);
        result
    }

    /// Writes buffered output until the peer accepts no more.
    ///
    /// # Errors
    /// Returns the error of the system call; interrupted calls are retried. Some output may have been written
    /// before the error.
    pub(super) fn write_pending(&mut self, fd: &OwnedFd) -> Result<(), Errno> {
        while !self.output.is_empty() {
            match write(fd, &self.output) {
                Ok(count) => self.remove_written(count),
                Err(Errno::INTR) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn remove_written(&mut self, count: usize) {
        self.bytes_written += count as u64;
        if count == self.output.len() && count > RETAINED_OUTPUT_BYTES {
            self.output = Vec::new();
        } else {
            self.output.drain(..count);
        }
    }

    /// Splits the buffers into the parts that another process needs to continue the connection.
    pub(super) fn into_parts(self) -> BufferParts {
        BufferParts { input: self.input, output: self.output, bytes_written: self.bytes_written }
    }
}

/// The parts of a connection's buffers that another process needs to continue it.
pub(super) struct BufferParts {
    pub(super) input: Vec<u8>,
    pub(super) output: Vec<u8>,
    pub(super) bytes_written: u64,
}
