//! Reading, writing and closing of buffered connections.

use super::event::{ConnectedSocket, SocketEventKind};
use super::reactor::{SocketDeadline, SocketReactor};
use super::slab::Token;
use super::socket::{Socket, SocketState, WriteState};
use super::system::{read, write};
use super::transfer_pause::is_transfer_shortage;
use rustix::io::Errno;
use rustix::net::{sockopt, Shutdown};
use std::time::Duration;

/// How long a closed connection waits for the peer's end.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// What the peer may still send to a closed connection: after that a reset tells it to stop.
const LINGER_DISCARD_BYTES: usize = 1024 * 1024;
/// One read of a closed connection takes at most this much.
const LINGER_READ_BYTES: usize = 8 * 1024;
/// An output buffer that was larger than this is freed once it is empty: there may be many sockets.
const RETAINED_OUTPUT_BYTES: usize = 8 * 1024;

impl SocketReactor {
    // ---- Reading -------------------------------------------------------------------------------

    /// Reads what has arrived by now (bytes, the peer's end or its reset), for owners that must not act on an
    /// older state.
    pub fn read_available(&mut self, token: Token) {
        let readable = |socket: &Socket| socket.state == SocketState::Open && !socket.read_closed;
        if self.sockets.get(token).is_some_and(readable) {
            self.read_into_buffer(token);
        }
    }

    /// Reads once, as far as the limits allow.
    pub(super) fn read_into_buffer(&mut self, token: Token) {
        let Some(socket) = self.sockets.get_mut(token) else { return };
        let lingering = socket.is_lingering();
        let capacity = if lingering {
            LINGER_READ_BYTES
        } else {
            socket.read_limit_bytes.saturating_sub(socket.input.len())
        };
        let capacity = capacity.min(self.read_chunk.len());
        if capacity == 0 {
            return;
        }
        match read(&socket.fd, &mut self.read_chunk[..capacity]) {
            Ok(0) => {
                socket.read_closed = true;
                if lingering && socket.write_state == WriteState::ShutDown {
                    return self.drop_socket(token);
                }
                self.emit(token, SocketEventKind::Readable);
            }
            Ok(count) if lingering => self.discard_input(token, count),
            Ok(count) => {
                socket.input.extend_from_slice(&self.read_chunk[..count]);
                if socket.uses_reserve {
                    self.reserve.mark_active(token);
                }
                self.emit(token, SocketEventKind::Readable);
            }
            Err(Errno::AGAIN | Errno::INTR) => {}
            Err(error) if is_transfer_shortage(error) => self.pause_transfer(token),
            Err(_) => self.fail(token),
        }
    }

    fn discard_input(&mut self, token: Token, count: usize) {
        let Some(socket) = self.sockets.get_mut(token) else { return };
        let SocketState::Lingering { discard_budget_bytes } = &mut socket.state else { return };
        *discard_budget_bytes = discard_budget_bytes.saturating_sub(count);
        if *discard_budget_bytes == 0 {
            self.drop_socket(token);
        }
    }

    // ---- Writing -------------------------------------------------------------------------------

    /// Sends bytes: at once as far as the peer takes them, the rest as it drains.
    pub fn send(&mut self, token: Token, mut bytes: &[u8]) {
        let Some(socket) = self.sockets.get_mut(token) else { return };
        if socket.write_state != WriteState::Open || socket.state == SocketState::Failed {
            return;
        }
        let mut failure = None;
        // While no output waits, the bytes are written without a copy.
        while !bytes.is_empty() && socket.output.is_empty() && socket.state == SocketState::Open {
            match write(&socket.fd, bytes) {
                Ok(count) => {
                    socket.bytes_written += count as u64;
                    bytes = &bytes[count..];
                }
                Err(Errno::INTR) => {}
                Err(error) => {
                    failure = Some(error);
                    break;
                }
            }
        }
        socket.output.extend_from_slice(bytes);
        match failure {
            None | Some(Errno::AGAIN) => self.update_interest(token),
            Some(error) if is_transfer_shortage(error) => self.pause_transfer(token),
            Some(_) => self.fail(token),
        }
    }

    /// The connections that were established since the last call, in that order. Their owners decide what is written
    /// first, once all else of the iteration is known; [`SocketReactor::flush`] then writes it.
    pub fn take_connected(&mut self) -> Vec<ConnectedSocket> {
        let sockets = &self.sockets;
        let connected = std::mem::take(&mut self.connected).into_iter();
        connected
            .filter_map(|token| Some(ConnectedSocket { token, owner: sockets.get(token)?.owner }))
            .collect()
    }

    /// Writes what waits on a connection, as far as the peer takes it.
    pub fn flush(&mut self, token: Token) {
        let is_writable = |socket: &Socket| socket.state == SocketState::Open || socket.is_lingering();
        if self.sockets.get(token).is_some_and(is_writable) {
            self.flush_output(token);
            self.update_interest(token);
        }
    }

    /// Writes output and tells the owner once all of it is written.
    pub(super) fn flush_output(&mut self, token: Token) {
        if self.write_output(token) {
            self.emit(token, SocketEventKind::OutputFlushed);
        }
    }

    /// Writes output as far as the peer takes it. True where output was waiting and is all written now.
    fn write_output(&mut self, token: Token) -> bool {
        let Some(socket) = self.sockets.get_mut(token) else { return false };
        let had_output = !socket.output.is_empty();
        while !socket.output.is_empty() {
            match write(&socket.fd, &socket.output) {
                Ok(count) => {
                    socket.bytes_written += count as u64;
                    if count == socket.output.len() && count > RETAINED_OUTPUT_BYTES {
                        socket.output = Vec::new();
                    } else {
                        socket.output.drain(..count);
                    }
                }
                Err(Errno::AGAIN) => return false,
                Err(Errno::INTR) => {}
                Err(error) if is_transfer_shortage(error) => {
                    self.pause_transfer(token);
                    return false;
                }
                Err(_) => {
                    self.fail(token);
                    return false;
                }
            }
        }
        if socket.write_state == WriteState::ShutdownPending {
            socket.write_state = WriteState::ShutDown;
            // A failure means that the peer is gone already.
            let _ = rustix::net::shutdown(&socket.fd, Shutdown::Write);
            if socket.is_lingering() && socket.read_closed {
                self.drop_socket(token);
                return false;
            }
        }
        had_output
    }

    // ---- Ending --------------------------------------------------------------------------------

    /// Ends our direction of the connection once the output is written. The peer may go on sending.
    pub fn shutdown_write(&mut self, token: Token) {
        let Some(socket) = self.sockets.get_mut(token) else { return };
        if socket.write_state == WriteState::Open {
            socket.write_state = WriteState::ShutdownPending;
        }
        if socket.state == SocketState::Open {
            self.write_output(token);
        }
        self.update_interest(token);
    }

    /// Closes the connection after its output is written, and waits a while for the peer's end; the token is void
    /// for the owner. A connection that was not established is dropped.
    pub fn close(&mut self, token: Token) {
        let Some(socket) = self.sockets.get_mut(token) else { return };
        if matches!(socket.state, SocketState::Connecting | SocketState::Failed | SocketState::Raw) {
            return self.drop_socket(token);
        }
        if !socket.is_lingering() {
            socket.state = SocketState::Lingering { discard_budget_bytes: LINGER_DISCARD_BYTES };
        }
        socket.input = Vec::new();
        if socket.write_state == WriteState::Open {
            socket.write_state = WriteState::ShutdownPending;
        }
        let peer_ended = socket.read_closed;
        self.write_output(token);
        let shut_down =
            self.sockets.get(token).is_some_and(|socket| socket.write_state == WriteState::ShutDown);
        if peer_ended && shut_down {
            return self.drop_socket(token);
        }
        self.update_interest(token);
        if self.sockets.get(token).is_some() {
            self.lingering.push_back(SocketDeadline { at: self.now + LINGER_TIMEOUT, token });
        }
    }

    /// Closes the connection at once; output that waits is not written.
    pub fn close_without_flush(&mut self, token: Token) {
        self.drop_socket(token);
    }

    /// Closes the connection with a reset, as its counterpart was.
    pub fn reset(&mut self, token: Token) {
        if let Some(socket) = self.sockets.get(token) {
            // A failure here leaves an ordinary close, which is an end as well.
            let _ = sockopt::set_socket_linger(&socket.fd, Some(Duration::ZERO));
        }
        self.drop_socket(token);
    }

    /// The connection could not be established or was reset. A peer may answer and reset before it has read our
    /// line: what has arrived is read first.
    pub(super) fn fail(&mut self, token: Token) {
        let Some(socket) = self.sockets.get_mut(token) else { return };
        if socket.state == SocketState::Failed {
            return;
        }
        if socket.is_lingering() {
            return self.drop_socket(token);
        }
        let all_written = socket.state != SocketState::Connecting && socket.output.is_empty();
        let capacity = socket.read_limit_bytes.min(self.read_chunk.len());
        let read_count = loop {
            match read(&socket.fd, &mut self.read_chunk[..capacity]) {
                Err(Errno::INTR) => {}
                result => break result.unwrap_or(0),
            }
        };
        socket.input.extend_from_slice(&self.read_chunk[..read_count]);
        socket.state = SocketState::Failed;
        self.poller.delete(&socket.fd);
        self.emit(token, SocketEventKind::Failed { all_written });
    }

    /// Closes the descriptor, which takes it out of the epoll set, and vacates its slot.
    pub(super) fn drop_socket(&mut self, token: Token) {
        if self.sockets.remove(token).is_some_and(|socket| socket.uses_reserve) {
            self.reserve.remove(token);
        }
    }
}
