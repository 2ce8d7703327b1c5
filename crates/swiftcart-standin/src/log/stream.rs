//! One stream: its kept records and its counts.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Largest sum of bodies in one answer, in bytes; one record always fits.
const PAGE_BYTES: usize = 8 * 1024 * 1024;

/// Holds one record as the log answers it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Place in the stream, counted from 0.
    pub offset: u64,
    /// Time of the append in Unix milliseconds.
    pub at: u64,
    /// What was appended.
    pub body: Arc<str>,
}

/// Holds the answer to a read.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Page {
    /// The oldest kept offset; equal to `next` when none is kept.
    pub first: u64,
    /// The offset that the next append gets.
    pub next: u64,
    /// The log's clock in Unix milliseconds.
    pub now: u64,
    /// The kept records from the asked offset on.
    pub records: Vec<Record>,
}

/// Counts what happened to one stream.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamStats {
    /// The oldest kept offset.
    pub first: u64,
    /// The offset that the next append gets.
    pub next: u64,
    /// Appends that took effect.
    pub appends: u64,
    /// Answered reads.
    pub reads: u64,
    /// Body bytes appended.
    pub bytes_in: u64,
    /// Body bytes answered to reads.
    pub bytes_out: u64,
}

/// Holds one stream.
#[derive(Debug)]
pub(super) struct Stream {
    records: VecDeque<Record>,
    stats: StreamStats,
    /// Wakes held reads: carries `next`.
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

    /// Adds a record and returns its offset.
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

    /// Forgets records appended at `until` or before, and those above `limit` in number.
    pub(super) fn expire(&mut self, until: Option<u64>, limit: usize) {
        let old = |r: &Record| until.is_some_and(|t| r.at <= t);
        while self.records.len() > limit || self.records.front().is_some_and(old) {
            self.records.pop_front();
        }
        self.stats.first = self.records.front().map_or(self.stats.next, |r| r.offset);
    }

    /// Returns up to `limit` kept records from `from` on.
    pub(super) fn page(&mut self, from: u64, limit: usize, now: u64) -> Page {
        let skip = from.saturating_sub(self.stats.first);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let fits = |r: &&Record| {
            let empty = bytes == 0;
            bytes += r.body.len();
            empty || bytes <= PAGE_BYTES
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

    /// Counts an answered read.
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
