//! Bytes of a body that are held in memory.
//!
//! A body may arrive in pieces of one byte, and each piece that is held on its own costs far more than
//! its bytes. Short pieces are therefore joined, so that the cost of a body depends on its length
//! alone.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};

/// Minimum length of a piece that is held as it arrived, in bytes. Shorter pieces are copied.
pub const MIN_PIECE_BYTES: usize = 1 << 10;

/// Length at which a joined piece is complete, in bytes.
pub const JOINED_PIECE_BYTES: usize = 16 << 10;

/// Bytes that are held in the order in which they arrived.
///
/// The position of a byte is the number of bytes that arrived before it.
///
/// # Examples
///
/// ```
/// use bytes::Bytes;
/// use swiftcart_core::HeldBytes;
///
/// let mut held = HeldBytes::new();
/// for piece in ["open ", "every ", "valve"] {
///     held.push(Bytes::from(piece));
/// }
/// assert_eq!(held.at(5), Some(Bytes::from("every valve")));
/// assert_eq!((held.len(), held.end()), (16, 16));
/// assert_eq!(held.take_front(), Some(Bytes::from("open every valve")));
/// assert_eq!((held.len(), held.end()), (0, 16));
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct HeldBytes {
    pieces: VecDeque<Piece>,
    /// Short pieces behind the last one of `pieces`, joined.
    tail: BytesMut,
    /// Position of the first held byte.
    start: usize,
    /// Position behind the last byte.
    end: usize,
}

/// Piece with the position of its first byte.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Piece {
    start: usize,
    data: Bytes,
}

impl HeldBytes {
    /// Creates an empty buffer.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends a piece.
    pub fn push(&mut self, data: Bytes) {
        let start = self.end;
        self.end += data.len();
        if data.len() >= MIN_PIECE_BYTES {
            self.complete_tail(start);
            self.pieces.push_back(Piece { start, data });
            return;
        }
        self.tail.extend_from_slice(&data);
        if self.tail.len() >= JOINED_PIECE_BYTES {
            self.complete_tail(self.end);
        }
    }

    /// Returns the number of held bytes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.end - self.start
    }

    /// Returns `true` if no byte is held.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the position behind the last byte.
    #[must_use]
    pub const fn end(&self) -> usize {
        self.end
    }

    /// Returns the bytes from `position` to the end of their piece, or `None` if they are not held.
    #[must_use]
    pub fn at(&self, position: usize) -> Option<Bytes> {
        let tail_start = self.end - self.tail.len();
        if position < self.start || position >= self.end {
            return None;
        }
        if position >= tail_start {
            return Some(Bytes::copy_from_slice(&self.tail[position - tail_start..]));
        }
        let behind = self.pieces.partition_point(|piece| piece.start <= position);
        let piece = &self.pieces[behind - 1];
        Some(piece.data.slice(position - piece.start..))
    }

    /// Removes and returns the first piece.
    pub fn take_front(&mut self) -> Option<Bytes> {
        if self.pieces.is_empty() {
            self.complete_tail(self.end);
        }
        let data = self.pieces.pop_front()?.data;
        self.start += data.len();
        Some(data)
    }

    /// Releases all bytes.
    pub fn clear(&mut self) {
        self.pieces = VecDeque::new();
        self.tail = BytesMut::new();
        self.start = self.end;
    }

    /// Returns the held pieces in order.
    pub fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        let whole = self.pieces.iter().map(|piece| &piece.data[..]);
        whole.chain(std::iter::once(&self.tail[..]))
    }

    /// Makes a piece of the joined bytes, which end at the position `end`.
    fn complete_tail(&mut self, end: usize) {
        if !self.tail.is_empty() {
            let start = end - self.tail.len();
            let data = std::mem::take(&mut self.tail).freeze();
            self.pieces.push_back(Piece { start, data });
        }
    }
}
