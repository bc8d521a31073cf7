//! The end of lingering connections: those that their owners have closed, and whose output or peer is not finished.

use super::slab::Token;
use super::socket_store::SocketStore;
use rustix::io::Errno;
use sparbank_time::DurationExt;

/// Why a lingering connection was released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LingerEnd {
    /// All output is written, and both sides have closed their write directions.
    Complete,
    /// The peer did not close its side in time.
    TimedOut,
    /// The descriptor was needed for another connection.
    Evicted,
    /// The peer sent more than is discarded after a close.
    DiscardLimit,
    /// A read or write failed, or epoll reported an error.
    Failed(Option<Errno>),
}

/// Closes the descriptor of a lingering connection, and logs why and what was left unread and unwritten.
pub(super) fn release(store: &mut SocketStore, token: Token, end: LingerEnd) {
    trace_release(store, token, end);
    store.close(token);
}

fn trace_release(store: &SocketStore, token: Token, end: LingerEnd) {
    if !tracing::enabled!(tracing::Level::TRACE) {
        return;
    }
    let Some(socket) = store.get(token) else { return };
    let lingered = store.now().saturating_duration_since(socket.lingering_since());
    tracing::trace!(
        connection = %token,
        ?end,
        after_ms = lingered.as_millis_u64(),
        unwritten_bytes = socket.buffers.pending_output_bytes(),
        unread_bytes = rustix::io::ioctl_fionread(&socket.fd).unwrap_or(0),
        read_closed = socket.is_read_closed(),
        "closed connection released"
    );
}
