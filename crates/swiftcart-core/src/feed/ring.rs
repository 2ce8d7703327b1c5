//! Ring buffer of recent records, kept to answer pulls of peers.

use std::collections::VecDeque;

use crate::{Entry, Offset};

/// Consecutive records, bounded by count and bytes. The oldest records are evicted first.
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
            let evicted = self.entries.pop_front();
            self.bytes -= evicted.map_or(0, |entry| entry.body.len());
        }
    }

    pub fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    pub fn get(&self, offset: Offset) -> Option<&Entry> {
        self.entries.get(self.index(offset)?)
    }

    /// Returns the records from offset `from` on, or `None` if the buffer does not hold `from`.
    ///
    /// The result ends with the record that reaches or exceeds `bytes`.
    pub fn read_from(&self, from: Offset, bytes: usize) -> Option<Vec<Entry>> {
        let start = self.index(from)?;
        let mut remaining = bytes;
        let fitting = self.entries.iter().skip(start).take_while(|entry| {
            let has_capacity = remaining > 0;
            remaining = remaining.saturating_sub(entry.body.len());
            has_capacity
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
