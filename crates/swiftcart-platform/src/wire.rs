//! The JSON bodies of the platform's answers.

use serde::Deserialize;
use swiftcart_core::{Entry, Offset};

use crate::{Appended, Page, PlatformError};

/// Answers an append.
#[derive(Deserialize)]
pub(crate) struct AppendAnswer {
    offset: Offset,
    at: u64,
}

/// Answers a read.
#[derive(Deserialize)]
pub(crate) struct ReadAnswer {
    first: Offset,
    next: Offset,
    now: u64,
    records: Vec<Record>,
}

#[derive(Deserialize)]
struct Record {
    offset: Offset,
    at: u64,
    body: String,
}

impl From<AppendAnswer> for Appended {
    fn from(answer: AppendAnswer) -> Self {
        Self {
            offset: answer.offset,
            at_ms: answer.at,
        }
    }
}

impl ReadAnswer {
    /// Checks that the records lie in order within what the answer says is kept.
    pub(crate) fn into_page(self, from: Offset, limit: u32) -> Result<Page, PlatformError> {
        let few = self.records.len() <= limit as usize;
        let ordered = self.records.is_sorted_by(|a, b| a.offset < b.offset);
        let low = from.max(self.first);
        let kept = |r: &Record| r.offset >= low && r.offset < self.next;
        match few && ordered && self.records.iter().all(kept) {
            true => Ok(self.into()),
            false => Err(PlatformError::Malformed),
        }
    }
}

impl From<ReadAnswer> for Page {
    fn from(answer: ReadAnswer) -> Self {
        Self {
            first: answer.first,
            next: answer.next,
            now_ms: answer.now,
            entries: answer.records.into_iter().map(Entry::from).collect(),
        }
    }
}

impl From<Record> for Entry {
    fn from(record: Record) -> Self {
        Self {
            offset: record.offset,
            at_ms: record.at,
            body: record.body,
        }
    }
}
