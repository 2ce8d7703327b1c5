//! Reader of the configuration stream.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use swiftcart_core::{
    Body, CheckpointError, Entry, Envelope, Fold, Offset, Publish, PublishId, RecordError,
    Rejection, Table, Verdict, Version,
};
use swiftcart_platform::{Page, PageLimit, Platform, PlatformError};

use crate::{Error, Retry};

/// Name of the stream of publishes and checkpoints.
pub const CONFIG_STREAM: &str = "config";

const PAGE_RECORDS: u32 = 256;
const MAX_RESTARTS: usize = 3;

/// Selects the data that a [`StreamReader`] keeps while it folds records.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ReadOptions {
    /// Version whose table to keep, besides the current table.
    pub version: Option<Version>,
    /// Id of the publish whose verdict to keep.
    pub publish_id: Option<PublishId>,
    /// Number of latest publishes to keep.
    pub history_limit: usize,
}

/// Publish and its verdict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecidedPublish {
    /// Offset of the publish in the stream.
    pub offset: Offset,
    /// Time of the append at the platform, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Verdict on the publish.
    pub verdict: Verdict,
    /// Publish as it was appended.
    pub publish: Publish,
}

/// Reader that folds the stream up to its head and keeps the data that a command needs.
#[derive(Debug)]
pub struct StreamReader<'a> {
    platform: &'a Platform,
    options: ReadOptions,
    limit: PageLimit,
    fold: Fold,
    requested_table: Option<Arc<Table>>,
    requested_publish: Option<DecidedPublish>,
    recent_publishes: VecDeque<DecidedPublish>,
}

/// Failure to read the stream.
#[derive(Debug)]
pub enum ReadError {
    /// The platform failed.
    Platform(PlatformError),
    /// The records at the reader's position expired before they were read.
    Gap,
    /// The error is permanent; a retry fails again.
    Fatal(Error),
}

impl<'a> StreamReader<'a> {
    /// Reads the stream up to its head, with retries as `retry` allows.
    ///
    /// # Errors
    ///
    /// [`Error::Platform`] if the platform stays unreachable, and other errors if the stream cannot
    /// be folded.
    pub async fn open(
        platform: &'a Platform,
        options: ReadOptions,
        retry: &mut Retry,
    ) -> Result<Self, Error> {
        let mut restarts = 0;
        loop {
            match Self::load(platform, options).await {
                Ok(reader) => return Ok(reader),
                Err(ReadError::Fatal(e)) => return Err(e),
                Err(ReadError::Gap) if restarts == MAX_RESTARTS => return Err(Error::Expired),
                Err(ReadError::Gap) => restarts += 1,
                Err(ReadError::Platform(e)) if !retry.wait(e.retry_after()).await => {
                    return Err(Error::Platform(platform.addr(), e));
                }
                Err(ReadError::Platform(_)) => {}
            }
        }
    }

    /// Reads up to the head. At the head, waits up to `wait` for another record.
    ///
    /// # Errors
    ///
    /// The first [`ReadError`]. The reader stays at the last record that it folded.
    pub async fn catch_up(&mut self, wait: Duration) -> Result<(), ReadError> {
        let mut wait = wait;
        loop {
            let page = self.page(self.fold.position(), wait).await?;
            for entry in &page.entries {
                self.apply(entry)?;
            }
            if self.fold.position() >= page.next {
                return Ok(());
            }
            match page.entries.is_empty() {
                _ if page.first > self.fold.position() => return Err(ReadError::Gap),
                true => return Err(ReadError::Platform(PlatformError::Malformed)),
                false => {}
            }
            wait = Duration::ZERO;
        }
    }

    /// Returns the state of the fold at the reader's position.
    #[must_use]
    pub const fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns the table of [`ReadOptions::version`], if the reader has passed that version.
    #[must_use]
    pub const fn requested_table(&self) -> Option<&Arc<Table>> {
        self.requested_table.as_ref()
    }

    /// Returns the first publish with [`ReadOptions::publish_id`], if the reader has passed it.
    #[must_use]
    pub const fn requested_publish(&self) -> Option<&DecidedPublish> {
        self.requested_publish.as_ref()
    }

    /// Returns an iterator over the latest publishes, oldest first.
    pub fn recent_publishes(&self) -> impl DoubleEndedIterator<Item = &DecidedPublish> {
        self.recent_publishes.iter()
    }

    async fn load(platform: &'a Platform, options: ReadOptions) -> Result<Self, ReadError> {
        let mut reader = Self {
            platform,
            options,
            limit: PageLimit::new(PAGE_RECORDS),
            fold: Fold::new(),
            requested_table: None,
            requested_publish: None,
            recent_publishes: VecDeque::new(),
        };
        reader.start_at_checkpoint().await?;
        reader.record_version();
        reader.catch_up(Duration::ZERO).await?;
        Ok(reader)
    }

    /// Starts at the first checkpoint after which no record has expired, if the record at offset 0
    /// has expired.
    async fn start_at_checkpoint(&mut self) -> Result<(), ReadError> {
        let mut page = self.page(Offset(0), Duration::ZERO).await?;
        let first = page.first;
        if first == Offset(0) {
            return Ok(());
        }
        loop {
            for entry in &page.entries {
                if let Some(fold) = usable_checkpoint(entry, first)? {
                    self.fold = fold;
                    return Ok(());
                }
            }
            match page.entries.last().map(|entry| entry.offset.next()) {
                Some(next) if next < page.next => page = self.page(next, Duration::ZERO).await?,
                _ => return Err(ReadError::Fatal(Error::NoCheckpoint(first))),
            }
        }
    }

    /// Reads one page, with a smaller record limit if the page is too large.
    async fn page(&mut self, from: Offset, wait: Duration) -> Result<Page, ReadError> {
        loop {
            let limit = self.limit.records();
            match self.platform.read(CONFIG_STREAM, from, limit, wait).await {
                Err(e) if self.limit.shrink(&e) => {}
                result => return result.map_err(ReadError::Platform),
            }
        }
    }

    fn apply(&mut self, entry: &Entry) -> Result<(), ReadError> {
        let verdict = match self.fold.apply(entry) {
            Ok(Verdict::UnknownRule(rule)) => return Err(ReadError::Fatal(Error::NewerRule(rule))),
            Ok(verdict) => verdict,
            Err(_) => return Err(ReadError::Gap),
        };
        self.record_version();
        if let Ok(Envelope {
            body: Body::Publish(publish),
            ..
        }) = Envelope::decode(&entry.body)
        {
            self.record_publish(DecidedPublish {
                offset: entry.offset,
                at_ms: entry.at_ms,
                verdict,
                publish,
            });
        }
        Ok(())
    }

    fn record_version(&mut self) {
        if self.options.version == Some(self.fold.version()) && self.requested_table.is_none() {
            self.requested_table = Some(self.fold.table().clone());
        }
    }

    fn record_publish(&mut self, decided: DecidedPublish) {
        let is_requested = self.options.publish_id == Some(decided.publish.id);
        if is_requested && self.requested_publish.is_none() {
            self.requested_publish = Some(decided.clone());
        }
        self.recent_publishes.push_back(decided);
        if self.recent_publishes.len() > self.options.history_limit {
            self.recent_publishes.pop_front();
        }
    }
}

impl DecidedPublish {
    /// Returns the rejection, or `None` if the publish was not rejected.
    #[must_use]
    pub const fn rejection(&self) -> Option<&Rejection> {
        match &self.verdict {
            Verdict::Rejected(rejection) => Some(rejection),
            _ => None,
        }
    }
}

/// Returns the state of the checkpoint in `entry`, if no record after its position has expired.
fn usable_checkpoint(entry: &Entry, first: Offset) -> Result<Option<Fold>, ReadError> {
    let rule = |rule| Err(ReadError::Fatal(Error::NewerRule(rule)));
    let checkpoint = match Envelope::decode(&entry.body).map(|envelope| envelope.body) {
        Ok(Body::Checkpoint(checkpoint)) => checkpoint,
        Ok(Body::Publish(_)) | Err(RecordError::Malformed(_)) => return Ok(None),
        Err(RecordError::UnknownRule(found)) => return rule(found),
    };
    if !(first..=entry.offset).contains(&checkpoint.position) {
        return Ok(None);
    }
    match Fold::from_checkpoint(&checkpoint) {
        Ok(fold) => Ok(Some(fold)),
        Err(CheckpointError::UnknownRule(found)) => rule(found),
        Err(_) => Ok(None),
    }
}
