//! The octets of a message that have been received, of which a part that was sent may have been discarded.

/// The start of a message has been discarded, so the message cannot be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the start of the message has been discarded")]
pub struct StartDiscarded;

/// The received octets of a message. Positions count from the start of the message, also after octets have been
/// discarded.
#[derive(Debug, Default)]
pub struct MessageOctets {
    /// The octets from position `discarded` on.
    buffered: Vec<u8>,
    discarded: usize,
}

impl MessageOctets {
    /// Creates a message from its first octets.
    pub fn new(octets: Vec<u8>) -> MessageOctets {
        MessageOctets { buffered: octets, discarded: 0 }
    }

    /// Appends octets that have been received.
    pub fn append(&mut self, octets: &[u8]) {
        self.buffered.extend_from_slice(octets);
    }

    /// The number of octets received so far, including those that have been discarded.
    pub fn received_len(&self) -> usize {
        self.discarded + self.buffered.len()
    }

    /// The number of octets that are buffered.
    pub fn buffered_len(&self) -> usize {
        self.buffered.len()
    }

    /// Whether the message can be sent from its start.
    pub fn has_start(&self) -> bool {
        self.discarded == 0
    }

    /// The octets from the start of the message on.
    ///
    /// # Errors
    /// The start has been discarded.
    pub fn octets_from_start(&self) -> Result<&[u8], StartDiscarded> {
        if self.has_start() {
            Ok(&self.buffered)
        } else {
            Err(StartDiscarded)
        }
    }

    /// The octets from this position on, for a message that was sent up to it.
    ///
    /// # Errors
    /// Octets after the position have been discarded.
    pub fn octets_from(&self, position: usize) -> Result<&[u8], StartDiscarded> {
        let offset = position.checked_sub(self.discarded).ok_or(StartDiscarded)?;
        Ok(self.buffered.get(offset..).unwrap_or_default())
    }

    /// Discards the octets before a position if they are at least half of those that are buffered; for fewer, moving
    /// the others costs more than it frees. Returns the number of octets that were discarded.
    pub fn discard_before(&mut self, position: usize) -> usize {
        let count = position.saturating_sub(self.discarded).min(self.buffered.len());
        if count < self.buffered.len() / 2 {
            return 0;
        }
        self.buffered.drain(..count);
        self.discarded += count;
        count
    }
}

#[cfg(test)]
mod tests;
