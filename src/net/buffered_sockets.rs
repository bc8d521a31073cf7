//! Reading and writing of buffered connections, and their ends.

use super::event::SocketEventKind;
use super::slab::Token;
use super::socket::{Socket, SocketState};
use super::socket_store::SocketStore;
use super::system::read;
use super::transfer_pause::{is_transfer_shortage, TransferPauses};
use rustix::io::Errno;
use rustix::net::{sockopt, Shutdown};
use std::io;
use std::time::Duration;

/// One read takes at most this much.
const READ_CHUNK_BYTES: usize = 64 * 1024;
/// One read of a closed connection takes at most this much.
const LINGER_READ_BYTES: usize = 8 * 1024;

/// What has become of a connection that its owner has closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Closing {
    /// It is over.
    Complete,
    /// Output, or the peer's end, is still to come.
    Lingering,
}

/// All sockets, with reading and writing.
pub(super) struct BufferedSockets {
    pub(super) store: SocketStore,
    pauses: TransferPauses,
    read_chunk: Vec<u8>,
}

impl BufferedSockets {
    /// No sockets yet, for a process that may have this many descriptors.
    ///
    /// # Errors
    /// Where the system gives no epoll instance.
    pub(super) fn new(descriptor_limit: usize) -> io::Result<BufferedSockets> {
        Ok(BufferedSockets {
            store: SocketStore::new(descriptor_limit)?,
            pauses: TransferPauses::default(),
            read_chunk: vec![0; READ_CHUNK_BYTES],
        })
    }

    // ---- Reading -------------------------------------------------------------------------------

    /// Reads what has arrived by now at an established connection.
    pub(super) fn read_available(&mut self, token: Token) {
        let readable = |socket: &Socket| socket.is_open() && !socket.is_read_closed();
        if self.store.get(token).is_some_and(readable) {
            self.read(token);
        }
    }

    /// Reads once, as far as the limits allow.
    pub(super) fn read(&mut self, token: Token) {
        let Some(socket) = self.store.get_mut(token) else { return };
        let lingering = socket.is_lingering();
        let capacity = if lingering { LINGER_READ_BYTES } else { socket.buffers.read_capacity() };
        let capacity = capacity.min(self.read_chunk.len());
        if capacity == 0 {
            return;
        }
        match read(&socket.fd, &mut self.read_chunk[..capacity]) {
            Ok(0) => self.on_peer_ended(token),
            Ok(count) if lingering => self.discard_input(token, count),
            Ok(count) => self.accept_input(token, count),
            Err(Errno::AGAIN | Errno::INTR) => {}
            Err(error) if is_transfer_shortage(error) => self.pause(token),
            Err(_) => self.fail(token),
        }
    }

    fn on_peer_ended(&mut self, token: Token) {
        let Some(socket) = self.store.get_mut(token) else { return };
        socket.end_reading();
        if socket.is_lingering() && socket.is_over() {
            return self.store.close(token);
        }
        self.store.emit(token, SocketEventKind::Readable);
    }

    fn discard_input(&mut self, token: Token, count: usize) {
        let Some(socket) = self.store.get_mut(token) else { return };
        if socket.discard(count) {
            self.store.close(token);
        }
    }

    fn accept_input(&mut self, token: Token, count: usize) {
        let Some(socket) = self.store.get_mut(token) else { return };
        socket.buffers.append_input(&self.read_chunk[..count]);
        if socket.uses_reserve() {
            self.store.descriptors_mut().reserve_mut().mark_active(token);
        }
        self.store.emit(token, SocketEventKind::Readable);
    }

    // ---- Writing -------------------------------------------------------------------------------

    /// Sends bytes: at once as far as the peer takes them, the rest as it drains.
    pub(super) fn send(&mut self, token: Token, bytes: &[u8]) {
        let Some(socket) = self.store.get_mut(token) else { return };
        if !socket.accepts_output() {
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
            Err(_) => self.fail(token),
        }
    }

    /// Writes what waits on a connection, as far as the peer takes it.
    pub(super) fn flush(&mut self, token: Token) {
        let is_writable = |socket: &Socket| socket.is_open() || socket.is_lingering();
        if self.store.get(token).is_some_and(is_writable) {
            self.write(token);
            self.store.update_interest(token);
        }
    }

    /// Writes output and tells the owner once all of it is written.
    pub(super) fn write(&mut self, token: Token) {
        if self.write_output(token) {
            self.store.emit(token, SocketEventKind::OutputFlushed);
        }
    }

    /// Writes output as far as the peer takes it. True where output was waiting and is all written now.
    fn write_output(&mut self, token: Token) -> bool {
        let Some(socket) = self.store.get_mut(token) else { return false };
        let had_output = socket.buffers.pending_output_bytes() > 0;
        match socket.buffers.write_pending(&socket.fd) {
            Ok(()) => {}
            Err(Errno::AGAIN) => return false,
            Err(error) if is_transfer_shortage(error) => {
                self.pause(token);
                return false;
            }
            Err(_) => {
                self.fail(token);
                return false;
            }
        }
        if socket.take_due_shutdown() {
            // A failure means that the peer is gone already.
            let _ = rustix::net::shutdown(&socket.fd, Shutdown::Write);
            if socket.is_lingering() && socket.is_read_closed() {
                self.store.close(token);
                return false;
            }
        }
        had_output
    }

    // ---- Pausing -------------------------------------------------------------------------------

    /// The connection is neither read nor written for a moment.
    fn pause(&mut self, token: Token) {
        let now = self.store.now();
        let Some(socket) = self.store.get_mut(token) else { return };
        if socket.pause() {
            self.pauses.start(now, token);
        }
        self.store.update_interest(token);
    }

    /// Resumes the connections whose pauses are over.
    pub(super) fn resume_paused(&mut self) {
        while let Some(token) = self.pauses.pop_over(self.store.now()) {
            if let Some(socket) = self.store.get_mut(token) {
                socket.resume();
            }
            self.store.update_interest(token);
        }
    }

    /// The pauses of connections.
    pub(super) fn pauses(&self) -> &TransferPauses {
        &self.pauses
    }

    // ---- Ending --------------------------------------------------------------------------------

    /// Ends our direction of the connection once the output is written. The peer may go on sending.
    pub(super) fn shutdown_write(&mut self, token: Token) {
        let Some(socket) = self.store.get_mut(token) else { return };
        socket.request_shutdown();
        if socket.is_open() {
            self.write_output(token);
        }
        self.store.update_interest(token);
    }

    /// Closes the connection once its output is written and the peer has ended its sending. A connection that was not
    /// established is closed at once.
    pub(super) fn close(&mut self, token: Token) -> Closing {
        let Some(socket) = self.store.get_mut(token) else { return Closing::Complete };
        if matches!(socket.state(), SocketState::Connecting | SocketState::Failed | SocketState::Raw) {
            self.store.close(token);
            return Closing::Complete;
        }
        socket.linger();
        self.write_output(token);
        match self.store.get(token) {
            None => Closing::Complete,
            Some(socket) if socket.is_over() => {
                self.store.close(token);
                Closing::Complete
            }
            Some(_) => {
                self.store.update_interest(token);
                Closing::Lingering
            }
        }
    }

    /// Closes the connection with a reset.
    pub(super) fn reset(&mut self, token: Token) {
        if let Some(socket) = self.store.get(token) {
            // Without it the connection ends with an ordinary close.
            let _ = sockopt::set_socket_linger(&socket.fd, Some(Duration::ZERO));
        }
        self.store.close(token);
    }

    /// The connection could not be established or was reset. A peer may answer and reset before it has read our
    /// line: what has arrived is read first.
    pub(super) fn fail(&mut self, token: Token) {
        let Some(socket) = self.store.get_mut(token) else { return };
        if socket.state() == SocketState::Failed {
            return;
        }
        if socket.is_lingering() {
            return self.store.close(token);
        }
        let was_connected = socket.state() != SocketState::Connecting;
        let all_written = was_connected && socket.buffers.pending_output_bytes() == 0;
        socket.buffers.read_after_failure(&socket.fd, &mut self.read_chunk);
        socket.fail();
        self.store.unwatch(token);
        self.store.emit(token, SocketEventKind::Failed { all_written });
    }
}
