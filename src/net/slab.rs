//! A slab whose slots have generation counters, so that a token never refers to a later value in the same
//! slot.

use std::fmt;

/// Identifies a socket by its slot and the slot's generation. A token that outlives its socket does not refer
/// to the next socket in the same slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token(u64);

impl Token {
    fn new(generation: u32, index: u32) -> Token {
        Token((u64::from(generation) << 32) | u64::from(index))
    }

    /// Restores a token from [`Token::as_raw`].
    pub(super) fn from_raw(raw: u64) -> Token {
        Token(raw)
    }

    /// Encodes the token as epoll user data.
    pub(super) fn as_raw(self) -> u64 {
        self.0
    }

    /// Creates a token from a number, for unit tests.
    #[cfg(test)]
    pub fn for_tests(number: u64) -> Token {
        Token(number)
    }

    fn index(self) -> usize {
        (self.0 & 0xffff_ffff) as usize
    }

    fn generation(self) -> u32 {
        (self.0 >> 32) as u32
    }
}

/// The slot and its generation, for log events.
impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.index(), self.generation())
    }
}

struct Slot<T> {
    /// Incremented each time the slot is vacated.
    generation: u32,
    value: Option<T>,
}

/// Values in reusable slots, addressed by [`Token`].
pub(super) struct Slab<T> {
    slots: Vec<Slot<T>>,
    /// Indices of vacant slots, used as a stack.
    free: Vec<u32>,
    occupied: usize,
}

impl<T> Slab<T> {
    /// Creates an empty slab.
    pub(super) fn new() -> Slab<T> {
        Slab { slots: Vec::new(), free: Vec::new(), occupied: 0 }
    }

    /// Number of occupied slots.
    pub(super) fn len(&self) -> usize {
        self.occupied
    }

    /// Inserts the value that `make` builds from its token. If `make` fails, the slot stays vacant.
    pub(super) fn insert_with<E>(&mut self, make: impl FnOnce(Token) -> Result<T, E>) -> Result<Token, E> {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot { generation: 0, value: None });
            (self.slots.len() - 1) as u32
        });
        let slot = &mut self.slots[index as usize];
        let token = Token::new(slot.generation, index);
        match make(token) {
            Ok(value) => {
                slot.value = Some(value);
                self.occupied += 1;
                Ok(token)
            }
            Err(error) => {
                self.free.push(index);
                Err(error)
            }
        }
    }

    /// Removes a value and invalidates its token.
    pub(super) fn remove(&mut self, token: Token) -> Option<T> {
        let slot = self.slots.get_mut(token.index())?;
        if slot.generation != token.generation() {
            return None;
        }
        let value = slot.value.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(token.index() as u32);
        self.occupied -= 1;
        Some(value)
    }

    /// Returns the value of a token, or `None` if the token is no longer valid.
    pub(super) fn get(&self, token: Token) -> Option<&T> {
        let slot = self.slots.get(token.index())?;
        slot.value.as_ref().filter(|_| slot.generation == token.generation())
    }

    /// Returns the value of a token mutably, or `None` if the token is no longer valid.
    pub(super) fn get_mut(&mut self, token: Token) -> Option<&mut T> {
        let slot = self.slots.get_mut(token.index())?;
        if slot.generation == token.generation() {
            slot.value.as_mut()
        } else {
            None
        }
    }

    /// All values, in slot order.
    pub(super) fn values(&self) -> impl Iterator<Item = &T> {
        self.slots.iter().filter_map(|slot| slot.value.as_ref())
    }

    /// All values with their tokens, in slot order.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (Token, &mut T)> {
        self.slots.iter_mut().enumerate().filter_map(|(index, slot)| {
            let token = Token::new(slot.generation, index as u32);
            slot.value.as_mut().map(|value| (token, value))
        })
    }
}

#[cfg(test)]
mod tests;
