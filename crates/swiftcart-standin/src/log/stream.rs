//! A single stream: its retained records and its counters.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Maximum total size of the bodies in one page, in bytes. The first record is included
/// whatever its size.
const MAX_PAGE_BYTES: usize = 8 * 1024 * 1024;

/// Record of a stream, as returned by reads.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Offset in the stream, starting at 0.
    pub offset: u64,
    /// Time of the append in Unix milliseconds.
    pub at: u64,
    /// Appended text.
    pub body: Arc<str>,
}

/// Response to a read.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Page {
    /// Oldest retained offset; equal to `next` when no record is retained.
    pub first: u64,
    /// Offset of the next append.
    pub next: u64,
    /// Time of the log's clock in Unix milliseconds.
    pub now: u64,
    /// Retained records from the requested offset on.
    pub records: Vec<Record>,
}

/// Counters of one stream.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamStats {
    /// Oldest retained offset; equal to `next` when no record is retained.
    pub first: u64,
    /// Offset of the next append.
    pub next: u64,
    /// Executed appends.
    pub appends: u64,
    /// Reads that returned a page.
    pub reads: u64,
    /// Total body bytes of the appended records.
    pub bytes_in: u64,
    /// Total body bytes returned to reads.
    pub bytes_out: u64,
}

/// Retained records and counters of one stream.
#[derive(Debug)]
pub(super) struct Stream {
    records: VecDeque<Record>,
    stats: StreamStats,
    /// Channel that carries `next` and wakes long polls.
    head: watch::Sender<u64>,
}

impl Stream {
    pub(super) fn new() -> Self {
        Self {
            records: VecDeque::new(),
            stats: StreamStats::default(),
            head: watch::Sender::new(0),
        }
    }

    /// Appends a record and returns its offset.
    pub(super) fn append(&mut self, at: u64, body: &str) -> u64 {
        let offset = self.stats.next;
        self.stats.next += 1;
        self.stats.appends += 1;
        self.stats.bytes_in += body.len() as u64;
        self.records.push_back(Record {
            offset,
            at,
            body: body.into(),
        });
        self.head.send_replace(self.stats.next);
        offset
    }

    /// Removes records appended at `until` or earlier, and the oldest records beyond `limit`.
    pub(super) fn expire(&mut self, until: Option<u64>, limit: usize) {
        let old = |r: &Record| until.is_some_and(|t| r.at <= t);
        while self.records.len() > limit || self.records.front().is_some_and(old) {
            self.records.pop_front();
        }
        self.stats.first = self.records.front().map_or(self.stats.next, |r| r.offset);
    }

    /// Returns a page of up to `limit` retained records from offset `from` on.
    pub(super) fn page(&mut self, from: u64, limit: usize, now: u64) -> Page {
        let skip = from.saturating_sub(self.stats.first);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let fits = |r: &&Record| {
            let empty = bytes == 0;
            bytes += r.body.len();
            empty || bytes <= MAX_PAGE_BYTES
        };
        let records: Vec<_> = self
            .records
            .iter()
            .skip(skip)
            .take(limit)
            .take_while(fits)
            .cloned()
            .collect();
        Page {
            first: self.stats.first,
            next: self.stats.next,
            now,
            records,
        }
    }

    /// Updates the counters for a read that returned `page`.
    pub(super) fn count(&mut self, page: &Page) {
        self.stats.reads += 1;
        self.stats.bytes_out += page
            .records
            .iter()
            .map(|r| r.body.len() as u64)
            .sum::<u64>();
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.head.subscribe()
    }

    pub(super) const fn stats(&self) -> StreamStats {
        self.stats
    }
}
