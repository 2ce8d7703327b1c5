//! The configuration stream as the operator's tool reads it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use swiftcart_core::{
    Body, CheckpointError, Entry, Envelope, Fold, Offset, Publish, PublishId, RecordError,
    Rejection, Table, Verdict, Version,
};
use swiftcart_platform::{Page, PageLimit, Platform, PlatformError};

use crate::{Error, Retry};

/// The stream of publishes and checkpoints.
pub const STREAM: &str = "config";

const PAGE: u32 = 256;
const RESTARTS: usize = 3;

/// Says what to remember while records are folded.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Keep {
    /// The version whose table is wanted besides the current one.
    pub version: Option<Version>,
    /// The publish whose verdict is wanted.
    pub id: Option<PublishId>,
    /// How many decided publishes to keep.
    pub decided: usize,
}

/// Holds one publish and what became of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decided {
    /// Its place in the stream.
    pub offset: Offset,
    /// When the platform took it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The decision.
    pub verdict: Verdict,
    /// What was asked for.
    pub publish: Publish,
}

/// Folds the stream up to its head and remembers what a command needs.
#[derive(Debug)]
pub struct Journal<'a> {
    platform: &'a Platform,
    keep: Keep,
    limit: PageLimit,
    fold: Fold,
    table: Option<Arc<Table>>,
    own: Option<Decided>,
    decided: VecDeque<Decided>,
}

/// Why reading stopped; a gap means that records expired before they were read.
#[derive(Debug)]
pub enum Stop {
    /// The platform failed.
    Platform(PlatformError),
    /// The records at the position are gone.
    Gap,
    /// No later attempt can help.
    Final(Error),
}

impl<'a> Journal<'a> {
    /// Reads the stream to its head, trying again as `retry` allows.
    ///
    /// # Errors
    ///
    /// The platform stays out of reach, or the stream cannot be folded.
    pub async fn open(
        platform: &'a Platform,
        keep: Keep,
        retry: &mut Retry,
    ) -> Result<Self, Error> {
        let mut restarts = 0;
        loop {
            match Self::load(platform, keep).await {
                Ok(journal) => return Ok(journal),
                Err(Stop::Final(e)) => return Err(e),
                Err(Stop::Gap) if restarts == RESTARTS => return Err(Error::Expired),
                Err(Stop::Gap) => restarts += 1,
                Err(Stop::Platform(e)) if !retry.wait(e.retry_after()).await => {
                    return Err(Error::Platform(platform.addr(), e));
                }
                Err(Stop::Platform(_)) => {}
            }
        }
    }

    /// Reads on to the head; when it is there, waits up to `wait` for another record.
    ///
    /// # Errors
    ///
    /// The first failure; the journal stays at the last record that it folded.
    pub async fn catch_up(&mut self, wait: Duration) -> Result<(), Stop> {
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
                _ if page.first > self.fold.position() => return Err(Stop::Gap),
                true => return Err(Stop::Platform(PlatformError::Malformed)),
                false => {}
            }
            wait = Duration::ZERO;
        }
    }

    /// Returns the fold at the journal's position.
    #[must_use]
    pub const fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns the table of the version to keep, when it was met.
    #[must_use]
    pub const fn kept(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// Returns the publish with the id to keep, as first decided.
    #[must_use]
    pub const fn own(&self) -> Option<&Decided> {
        self.own.as_ref()
    }

    /// Returns the last decided publishes, oldest first.
    pub fn decided(&self) -> impl DoubleEndedIterator<Item = &Decided> {
        self.decided.iter()
    }

    async fn load(platform: &'a Platform, keep: Keep) -> Result<Self, Stop> {
        let mut journal = Self {
            platform,
            keep,
            limit: PageLimit::new(PAGE),
            fold: Fold::new(),
            table: None,
            own: None,
            decided: VecDeque::new(),
        };
        journal.adopt().await?;
        journal.note_version();
        journal.catch_up(Duration::ZERO).await?;
        Ok(journal)
    }

    /// Starts at the first checkpoint whose later records are all kept, if 0 is gone.
    async fn adopt(&mut self) -> Result<(), Stop> {
        let mut page = self.page(Offset(0), Duration::ZERO).await?;
        let first = page.first;
        if first == Offset(0) {
            return Ok(());
        }
        loop {
            for entry in &page.entries {
                if let Some(fold) = adoptable(entry, first)? {
                    self.fold = fold;
                    return Ok(());
                }
            }
            match page.entries.last().map(|entry| entry.offset.next()) {
                Some(next) if next < page.next => page = self.page(next, Duration::ZERO).await?,
                _ => return Err(Stop::Final(Error::NoCheckpoint(first))),
            }
        }
    }

    /// Reads one page, in smaller pieces when it is too large.
    async fn page(&mut self, from: Offset, wait: Duration) -> Result<Page, Stop> {
        loop {
            let limit = self.limit.records();
            match self.platform.read(STREAM, from, limit, wait).await {
                Err(e) if self.limit.shrink(&e) => {}
                result => return result.map_err(Stop::Platform),
            }
        }
    }

    fn apply(&mut self, entry: &Entry) -> Result<(), Stop> {
        let verdict = match self.fold.apply(entry) {
            Ok(Verdict::UnknownRule(rule)) => return Err(Stop::Final(Error::Rule(rule))),
            Ok(verdict) => verdict,
            Err(_) => return Err(Stop::Gap),
        };
        self.note_version();
        if let Ok(Envelope {
            body: Body::Publish(publish),
            ..
        }) = Envelope::decode(&entry.body)
        {
            self.note_publish(Decided {
                offset: entry.offset,
                at_ms: entry.at_ms,
                verdict,
                publish,
            });
        }
        Ok(())
    }

    fn note_version(&mut self) {
        if self.keep.version == Some(self.fold.version()) && self.table.is_none() {
            self.table = Some(self.fold.table().clone());
        }
    }

    fn note_publish(&mut self, decided: Decided) {
        let own = self.keep.id == Some(decided.publish.id);
        if own && self.own.is_none() {
            self.own = Some(decided.clone());
        }
        self.decided.push_back(decided);
        if self.decided.len() > self.keep.decided {
            self.decided.pop_front();
        }
    }
}

impl Decided {
    /// Returns why the publish changed nothing, or `None` when it was accepted.
    #[must_use]
    pub const fn rejection(&self) -> Option<&Rejection> {
        match &self.verdict {
            Verdict::Rejected(rejection) => Some(rejection),
            _ => None,
        }
    }
}

/// Returns the state of a checkpoint whose later records are all kept.
fn adoptable(entry: &Entry, first: Offset) -> Result<Option<Fold>, Stop> {
    let rule = |rule| Err(Stop::Final(Error::Rule(rule)));
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
