//! The bytes of one connection on their way in and out.

use super::system::{read, write};
use rustix::io::Errno;
use std::os::fd::OwnedFd;

/// Input buffered ahead of the owner, unless the owner sets another limit
/// ([`SocketReactor::set_read_limit`](super::SocketReactor::set_read_limit)).
const DEFAULT_READ_LIMIT_BYTES: usize = 8 * 1024;
/// An output buffer that was larger than this is freed once it is empty: there may be many sockets.
const RETAINED_OUTPUT_BYTES: usize = 8 * 1024;
/// Output waiting at a peer above which the peer is slow: its counterpart's input is not read until it drains.
pub const OUTPUT_HIGH_WATERMARK_BYTES: usize = 16 * 1024;

/// Input that the owner has not taken, and output that is not written.
pub(super) struct Buffers {
    input: Vec<u8>,
    output: Vec<u8>,
    bytes_written: u64,
    /// Input is buffered up to this many bytes.
    read_limit_bytes: usize,
}

impl Buffers {
    /// Buffers without any bytes.
    pub(super) fn new() -> Buffers {
        Buffers::restored(Vec::new(), Vec::new(), 0)
    }

    /// The buffers of a connection that another process has exported.
    pub(super) fn restored(input: Vec<u8>, output: Vec<u8>, bytes_written: u64) -> Buffers {
        Buffers { input, output, bytes_written, read_limit_bytes: DEFAULT_READ_LIMIT_BYTES }
    }

    // ---- Input ---------------------------------------------------------------------------------

    /// The bytes that have arrived. The owner removes what it has handled.
    pub(super) fn input(&self) -> &[u8] {
        &self.input
    }

    /// The same, to be taken.
    pub(super) fn input_mut(&mut self) -> &mut Vec<u8> {
        &mut self.input
    }

    /// Sets up to how many bytes input is buffered.
    pub(super) fn set_read_limit(&mut self, bytes: usize) {
        self.read_limit_bytes = bytes;
    }

    /// How many more bytes of input may be buffered.
    pub(super) fn read_capacity(&self) -> usize {
        self.read_limit_bytes.saturating_sub(self.input.len())
    }

    /// Appends bytes that have arrived.
    pub(super) fn append_input(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Reads once more from a connection that has failed, by way of `chunk`: up to a full buffer, whatever is buffered
    /// already.
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

    // ---- Output --------------------------------------------------------------------------------

    /// How many bytes wait to be written.
    pub(super) fn pending_output_bytes(&self) -> usize {
        self.output.len()
    }

    /// How many bytes have been written.
    pub(super) fn bytes_written(&self) -> u64 {
        self.bytes_written
    }

    /// The position in the output stream of the next byte that is sent.
    pub(super) fn output_position(&self) -> u64 {
        self.bytes_written + self.output.len() as u64
    }

    /// Appends bytes that are to be written.
    pub(super) fn append_output(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Writes bytes without a copy, as far as the peer takes them at once and no output waits before them. What is left
    /// is buffered, also after an error.
    ///
    /// # Errors
    /// Those of the system call, interruptions aside.
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

    /// Writes all output that waits, as far as the peer takes it.
    ///
    /// # Errors
    /// Those of the system call, interruptions aside; some output may have been written before.
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

    /// Input, output and the number of bytes written, for another process.
    pub(super) fn into_parts(self) -> BufferParts {
        BufferParts { input: self.input, output: self.output, bytes_written: self.bytes_written }
    }
}

/// What another process needs of a connection's buffers.
pub(super) struct BufferParts {
    pub(super) input: Vec<u8>,
    pub(super) output: Vec<u8>,
    pub(super) bytes_written: u64,
}
