//! Reading, writing and closing buffered connections.

use super::event::SocketEventKind;
use super::linger::{release, LingerEnd};
use super::slab::Token;
use super::socket::{Socket, SocketState};
use super::socket_store::SocketStore;
use super::system::read;
use super::transfer_pause::{is_transfer_shortage, TransferPauses};
use rustix::io::Errno;
use rustix::net::{sockopt, Shutdown};
use std::io;
use std::time::Duration;

/// Maximum size of one read.
const READ_CHUNK_BYTES: usize = 64 * 1024;
/// Maximum size of one read from a connection that its owner has closed; these bytes are discarded.
const LINGER_READ_BYTES: usize = 8 * 1024;

/// State of a connection after its owner has closed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseStatus {
    /// The connection is closed on both sides.
    Complete,
    /// Output is still to be written, or the peer has not closed its side yet.
    Lingering,
}

/// All sockets, with buffered reading and writing.
pub(super) struct BufferedSockets {
    pub(super) store: SocketStore,
    pauses: TransferPauses,
    read_chunk: Vec<u8>,
}

impl BufferedSockets {
    /// Creates an empty set, for a process that may open `descriptor_limit` descriptors.
    ///
    /// # Errors
    /// Returns an error if the epoll instance cannot be created.
    pub(super) fn new(descriptor_limit: usize) -> io::Result<BufferedSockets> {
        Ok(BufferedSockets {
            store: SocketStore::new(descriptor_limit)?,
            pauses: TransferPauses::default(),
            read_chunk: vec![0; READ_CHUNK_BYTES],
        })
    }

    /// Reads whatever has arrived on an established connection.
    pub(super) fn read_available(&mut self, token: Token) {
        let readable = |socket: &Socket| socket.is_open() && !socket.is_read_closed();
        if self.store.get(token).is_some_and(readable) {
            self.read(token);
        }
    }

    /// Reads once, up to the capacity of the input buffer.
    pub(super) fn read(&mut self, token: Token) {
        let Some(socket) = self.store.get_mut(token) else { return };
        let lingering = socket.is_lingering();
        let capacity = if lingering { LINGER_READ_BYTES } else { socket.buffers.read_capacity() };
        let capacity = capacity.min(self.read_chunk.len());
        if capacity == 0 {
            return;
        }
        match read(&socket.fd, &mut self.read_chunk[..capacity]) {
            Ok(0) => self.on_end_of_stream(token),
            Ok(count) if lingering => self.discard_input(token, count),
            Ok(count) => self.buffer_input(token, count),
            Err(Errno::AGAIN | Errno::INTR) => {}
            Err(error) if is_transfer_shortage(error) => self.pause(token),
            Err(error) => self.fail(token, Some(error)),
        }
    }

    fn on_end_of_stream(&mut self, token: Token) {
        let Some(socket) = self.store.get_mut(token) else { return };
        socket.mark_read_closed();
        if socket.is_lingering() && socket.is_fully_closed() {
            return release(&mut self.store, token, LingerEnd::Complete);
        }
        self.store.emit(token, SocketEventKind::Readable);
    }

    fn discard_input(&mut self, token: Token, count: usize) {
        let Some(socket) = self.store.get_mut(token) else { return };
        if socket.record_discarded(count) {
            release(&mut self.store, token, LingerEnd::DiscardLimit);
        }
    }

    fn buffer_input(&mut self, token: Token, count: usize) {
        let now = self.store.now();
        let Some(socket) = self.store.get_mut(token) else { return };
        socket.record_peer_activity(now);
        socket.buffers.append_input(&self.read_chunk[..count]);
        if socket.uses_reserve() {
            self.store.descriptors_mut().reserve_mut().mark_active(token);
        }
        self.store.emit(token, SocketEventKind::Readable);
    }

    /// Sends bytes. What cannot be written immediately is buffered and written as the peer reads.
    pub(super) fn send(&mut self, token: Token, bytes: &[u8]) {
        let Some(socket) = self.store.get_mut(token) else { return };
        if !socket.can_send() {
            return;
        }
        let written = if socket.is_open() {
            socket.buffers.write_or_buffer(&socket.fd, bytes)
        } else {
            socket.buffers.append_output(bytes);
            Ok(())
        };
        match written {
            Ok(()) | Err(Errno::AGAIN) => self.store.update_interest(token),
            Err(error) if is_transfer_shortage(error) => self.pause(token),
            Err(error) => self.fail(token, Some(error)),
        }
    }

    /// Writes buffered output until the peer accepts no more.
    pub(super) fn flush(&mut self, token: Token) {
        let is_writable = |socket: &Socket| socket.is_open() || socket.is_lingering();
        if self.store.get(token).is_some_and(is_writable) {
            self.write(token);
            self.store.update_interest(token);
        }
    }

    /// Writes buffered output, and notifies the owner once all of it is written.
    pub(super) fn write(&mut self, token: Token) {
        if self.write_output(token) {
            self.store.emit(token, SocketEventKind::OutputFlushed);
        }
    }

    /// Writes buffered output until the peer accepts no more. Returns whether there was any and all of it is
    /// written.
    fn write_output(&mut self, token: Token) -> bool {
        let now = self.store.now();
        let Some(socket) = self.store.get_mut(token) else { return false };
        let pending_bytes = socket.buffers.pending_output_bytes();
        let had_output = pending_bytes > 0;
        let written = socket.buffers.write_pending(&socket.fd);
        if socket.buffers.pending_output_bytes() < pending_bytes {
            socket.record_peer_activity(now);
        }
        match written {
            Ok(()) => {}
            Err(Errno::AGAIN) => return false,
            Err(error) if is_transfer_shortage(error) => {
                self.pause(token);
                return false;
            }
            Err(error) => {
                self.fail(token, Some(error));
                return false;
            }
        }
        if socket.take_pending_shutdown() {
            // An error means that the peer has already closed the connection.
            let _ = rustix::net::shutdown(&socket.fd, Shutdown::Write);
            if socket.is_lingering() && socket.is_read_closed() {
                release(&mut self.store, token, LingerEnd::Complete);
                return false;
            }
        }
        had_output
    }

    /// Suspends reading and writing of a connection for a short time.
    fn pause(&mut self, token: Token) {
        let now = self.store.now();
        let Some(socket) = self.store.get_mut(token) else { return };
        if socket.pause() {
            self.pauses.start(now, token);
        }
        self.store.update_interest(token);
    }

    /// Resumes the connections whose pauses have expired.
    pub(super) fn resume_paused(&mut self) {
        while let Some(token) = self.pauses.pop_expired(self.store.now()) {
            if let Some(socket) = self.store.get_mut(token) {
                socket.resume();
            }
            self.store.update_interest(token);
        }
    }

    /// The connections that are paused for lack of kernel memory.
    pub(super) fn pauses(&self) -> &TransferPauses {
        &self.pauses
    }

    /// Shuts down the write direction once the buffered output is written. The peer may continue to send.
    pub(super) fn shutdown_write(&mut self, token: Token) {
        let Some(socket) = self.store.get_mut(token) else { return };
        socket.request_shutdown();
        if socket.is_open() {
            self.write_output(token);
        }
        self.store.update_interest(token);
    }

    /// Closes the connection once its output is written and the peer has closed its write side. A connection
    /// that is not established is closed immediately.
    pub(super) fn close(&mut self, token: Token) -> CloseStatus {
        let now = self.store.now();
        let Some(socket) = self.store.get_mut(token) else { return CloseStatus::Complete };
        if matches!(socket.state(), SocketState::Connecting | SocketState::Failed | SocketState::Raw) {
            self.store.close(token);
            return CloseStatus::Complete;
        }
        socket.begin_lingering(now);
        self.write_output(token);
        match self.store.get(token) {
            None => CloseStatus::Complete,
            Some(socket) if socket.is_fully_closed() => {
                release(&mut self.store, token, LingerEnd::Complete);
                CloseStatus::Complete
            }
            Some(_) => {
                self.store.update_interest(token);
                CloseStatus::Lingering
            }
        }
    }

    /// Closes the connection with a reset.
    pub(super) fn reset(&mut self, token: Token) {
        if let Some(socket) = self.store.get(token) {
            // Best effort: if the option cannot be set, the connection is closed normally instead.
            let _ = sockopt::set_socket_linger(&socket.fd, Some(Duration::ZERO));
        }
        self.store.close(token);
    }

    /// Marks the connection as failed: it could not be established or was reset. Whatever has arrived is read
    /// first, because a peer may send its answer and reset the connection before it has read our request. `error` is
    /// that of the failed read or write, `None` if epoll reported the failure.
    pub(super) fn fail(&mut self, token: Token, error: Option<Errno>) {
        let Some(socket) = self.store.get_mut(token) else { return };
        if socket.state() == SocketState::Failed {
            return;
        }
        if socket.is_lingering() {
            return release(&mut self.store, token, LingerEnd::Failed(error));
        }
        let was_connected = socket.state() != SocketState::Connecting;
        let all_written = was_connected && socket.buffers.pending_output_bytes() == 0;
        socket.buffers.read_after_failure(&socket.fd, &mut self.read_chunk);
        socket.fail(error);
        tracing::trace!(connection = %token, ?error, all_written, "connection failed");
        self.store.deregister(token);
        self.store.emit(token, SocketEventKind::Failed { all_written });
    }
}
