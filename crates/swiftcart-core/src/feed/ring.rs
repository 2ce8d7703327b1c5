//! The recent records that a node keeps for its peers.

use std::collections::VecDeque;

use crate::{Entry, Offset};

/// Records without gaps, bounded by count and bytes; the oldest go first.
#[derive(Debug, Clone)]
pub(super) struct Ring {
    entries: VecDeque<Entry>,
    bytes: usize,
    max_records: usize,
    max_bytes: usize,
}

impl Ring {
    pub const fn new(max_records: usize, max_bytes: usize) -> Self {
        Self {
            entries: VecDeque::new(),
            bytes: 0,
            max_records,
            max_bytes,
        }
    }

    pub fn push(&mut self, entry: Entry) {
        self.bytes += entry.body.len();
        self.entries.push_back(entry);
        while self.entries.len() > self.max_records || self.bytes > self.max_bytes {
            let dropped = self.entries.pop_front();
            self.bytes -= dropped.map_or(0, |entry| entry.body.len());
        }
    }

    pub fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    pub fn at(&self, offset: Offset) -> Option<&Entry> {
        self.entries.get(self.index(offset)?)
    }

    /// Returns the records from `from` on, up to about `bytes`, or `None` when
    /// some of them are no longer kept.
    pub fn from(&self, from: Offset, bytes: usize) -> Option<Vec<Entry>> {
        let start = self.index(from)?;
        let mut left = bytes;
        let fitting = self.entries.iter().skip(start).take_while(|entry| {
            let fits = left > 0;
            left = left.saturating_sub(entry.body.len());
            fits
        });
        Some(fitting.cloned().collect())
    }

    fn index(&self, offset: Offset) -> Option<usize> {
        let first = self.entries.front()?.offset;
        let index = offset.0.checked_sub(first.0)?;
        usize::try_from(index)
            .ok()
            .filter(|i| *i < self.entries.len())
    }
}
