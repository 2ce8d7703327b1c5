//! JSON bodies of the platform's responses.

use serde::Deserialize;
use swiftcart_core::{Entry, Offset};

use crate::{Appended, Page, PlatformError};

/// Response to an append.
#[derive(Deserialize)]
pub(crate) struct AppendResponse {
    offset: Offset,
    at: u64,
}

/// Response to a read.
#[derive(Deserialize)]
pub(crate) struct ReadResponse {
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

impl From<AppendResponse> for Appended {
    fn from(response: AppendResponse) -> Self {
        Self {
            offset: response.offset,
            at_ms: response.at,
        }
    }
}

impl ReadResponse {
    /// Converts the response to a page.
    ///
    /// Returns [`PlatformError::Malformed`] if the response has more than `limit` records, if their
    /// offsets do not increase, or if an offset is below `from` or outside the retained range.
    pub(crate) fn into_page(self, from: Offset, limit: u32) -> Result<Page, PlatformError> {
        let within_limit = self.records.len() <= limit as usize;
        let ordered = self.records.is_sorted_by(|a, b| a.offset < b.offset);
        let lowest = from.max(self.first);
        let in_range = |r: &Record| r.offset >= lowest && r.offset < self.next;
        match within_limit && ordered && self.records.iter().all(in_range) {
            true => Ok(self.into()),
            false => Err(PlatformError::Malformed),
        }
    }
}

impl From<ReadResponse> for Page {
    fn from(response: ReadResponse) -> Self {
        Self {
            first: response.first,
            next: response.next,
            now_ms: response.now,
            entries: response.records.into_iter().map(Entry::from).collect(),
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
