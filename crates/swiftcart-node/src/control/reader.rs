//! Schedules and runs this node's reads of the platform's log.

mod read;

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use swiftcart_core::{Instant, Offset, Version};
use swiftcart_platform::{Backoff, PageLimit, Platform, PlatformError};
use tokio::sync::mpsc;

use self::read::OpenRead;
pub(super) use self::read::{FinishedRead, Read, ReadKind, ReadOutcome};
use super::{Input, reachable};
use crate::edge::{NextVersion, SnapshotSource};
use crate::shared::Shared;

/// Stream that holds publishes and checkpoints.
pub(super) const STREAM: &str = "config";

/// Number of records requested per read, unless a page was too large.
const PAGE_RECORDS: u32 = 256;
/// Time for which the platform holds a read without new records.
const LONG_POLL: Duration = Duration::from_secs(10);
/// Pause after a snapshot was read, so that versions in quick succession are read together. Each
/// read has a cost. The node that confirms the version for all reads sooner.
const BATCH_DELAY: Duration = Duration::from_millis(900);
/// The same pause of the node that confirms. With the wait of its read, it is shorter than the time
/// after which other nodes take over.
const CONFIRM_BATCH_DELAY: Duration = Duration::from_millis(250);
/// Longest pause after a failed read, also where the platform asks for a longer one. A version that
/// is published during an outage has to be in force soon after it.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Pause of a node that is no reader after it found that no version is published yet.
const UNPUBLISHED_DELAY: Duration = Duration::from_secs(5);

/// Time for which the platform holds a read of snapshots without a newer one. It is below the
/// platform's maximum of 30 s. Keep-alive probes of the connection detect an unreachable platform.
const SNAPSHOT_LONG_POLL: Duration = Duration::from_secs(25);

/// Reader of the platform's log, with one read at a time.
#[derive(Debug)]
pub(super) struct Reader {
    shared: Arc<Shared>,
    platform: Platform,
    snapshots: Option<Arc<dyn SnapshotSource>>,
    inputs: mpsc::Sender<Input>,
    rng: SmallRng,
    readers: usize,
    page_limit: PageLimit,
    open: Option<OpenRead>,
    /// Number of reads that were started.
    started: u64,
    /// Set if the last read found no published version, or no newer one.
    empty: bool,
    /// Number of skipped records that could not be read, as of the last read.
    unreadable: u64,
    /// Time before which no read starts, after a failure.
    retry_at: Instant,
    /// Time before which no read starts that waits for a newer version.
    next_poll: Instant,
    /// Time before which no confirming read starts.
    next_confirm: Instant,
    /// Randomized time of the first read, drawn when the number of other nodes is known.
    first_read: Option<Instant>,
    backoff: Backoff,
}

/// Inputs that determine whether and when the node reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReadRole {
    /// The node's rank among the live nodes of its failure domain.
    pub(super) rank: usize,
    /// Set while the node has to reach the end of the log before it may serve.
    pub(super) joining: bool,
    /// Time over which joiners spread their first reads.
    pub(super) spread: Duration,
    /// Set once enough members are known for the rank to be meaningful.
    pub(super) rank_known: bool,
    /// Set while the node waits for other nodes to read the platform.
    pub(super) deferred: bool,
    /// Time for which a confirming read waits, if one is due.
    pub(super) confirm: Option<Duration>,
}

impl Reader {
    pub(super) fn new(
        shared: Arc<Shared>,
        snapshots: Option<Arc<dyn SnapshotSource>>,
        inputs: mpsc::Sender<Input>,
        rng: SmallRng,
    ) -> Self {
        let settings = &shared.settings;
        let platform =
            Platform::new(settings.platform.addr).with_timeout(settings.platform.timeout());
        let readers = usize::try_from(settings.gossip.readers).unwrap_or(1);
        Self {
            shared,
            platform,
            snapshots,
            inputs,
            rng,
            readers,
            page_limit: PageLimit::new(PAGE_RECORDS),
            open: None,
            started: 0,
            empty: false,
            unreadable: 0,
            retry_at: Instant::default(),
            next_poll: Instant::default(),
            next_confirm: Instant::default(),
            first_read: None,
            backoff: Backoff::new().with_limit(MAX_RETRY_DELAY),
        }
    }

    /// Starts the read that the node's role requires, and aborts a long poll that is no longer
    /// useful: of a node that is no longer a reader, or one that is open while the version has to be
    /// confirmed.
    pub(super) fn tick(&mut self, now: Instant, read_role: ReadRole, from: Offset) {
        let due = self.due(now, read_role);
        let is_reader = read_role.rank < self.readers;
        match (self.open.as_ref().map(|open| open.kind), due) {
            (Some(ReadKind::LongPoll), Some(kind)) if kind.confirms() => self.start(from, kind),
            (Some(ReadKind::LongPoll), _) if !is_reader => self.open = None,
            (None, Some(kind)) => self.start(from, kind),
            (Some(_) | None, _) => {}
        }
    }

    /// Returns the read that has to be open now, if any.
    fn due(&mut self, now: Instant, read_role: ReadRole) -> Option<ReadKind> {
        let is_reader = read_role.rank < self.readers;
        match read_role.confirm {
            _ if now < self.retry_at => None,
            _ if read_role.joining && !self.joins(now, read_role) => None,
            // Before the members are known, each node ranks itself as a reader.
            _ if read_role.joining && !self.empty => Some(ReadKind::Join),
            Some(wait) if !read_role.joining && now >= self.next_confirm => {
                Some(ReadKind::Confirm { wait })
            }
            _ if now < self.next_poll => None,
            _ if is_reader && read_role.rank_known => Some(ReadKind::LongPoll),
            _ if read_role.joining && !is_reader => Some(ReadKind::Join),
            _ => None,
        }
    }

    /// Records the end of a read. The next read is delayed after a failure and after a snapshot.
    ///
    /// Returns the number of records that the read skipped because they could not be read.
    pub(super) fn finish(
        &mut self,
        now: Instant,
        read_role: ReadRole,
        outcome: &ReadOutcome,
    ) -> u64 {
        self.open.take_if(|open| open.number == outcome.number);
        let unreadable = self.take_unreadable();
        match &outcome.result {
            Ok(read) => {
                self.backoff.succeeded();
                self.page_limit.grow();
                self.empty = matches!(read, Read::Newest(None));
                // Unreadable records must not increase the rate of reads.
                let batches = matches!(read, Read::Newest(Some(_))) || unreadable > 0;
                if batches {
                    self.next_confirm = now + CONFIRM_BATCH_DELAY;
                }
                self.next_poll = match outcome.read.kind {
                    _ if batches => now + BATCH_DELAY,
                    ReadKind::Join if self.empty && read_role.rank >= self.readers => {
                        now + UNPUBLISHED_DELAY
                    }
                    _ => now,
                };
            }
            Err(e) if self.page_limit.shrink(e) => {}
            Err(e) => self.retry_at = now + self.backoff.failed(e, &mut self.rng),
        }
        unreadable
    }

    /// Delays the next read, since the last one returned records that this node cannot apply.
    pub(super) fn pause(&mut self, now: Instant) {
        self.retry_at = now + MAX_RETRY_DELAY;
    }

    /// Returns the number of records that were skipped since the last call.
    fn take_unreadable(&mut self) -> u64 {
        let unreadable = self
            .snapshots
            .as_ref()
            .map_or(0, |snapshots| snapshots.unreadable());
        unreadable - std::mem::replace(&mut self.unreadable, unreadable)
    }

    /// Returns the number of nodes per failure domain that read the log continuously.
    pub(super) const fn readers(&self) -> usize {
        self.readers
    }

    /// Returns the time before which no read starts after a failure.
    pub(super) const fn retry_at(&self) -> Instant {
        self.retry_at
    }

    /// Returns the source of snapshots, if the platform has one.
    pub(super) fn snapshots(&self) -> Option<&dyn SnapshotSource> {
        self.snapshots.as_deref()
    }

    /// Returns the platform's client.
    pub(super) const fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Returns `true` if a starting node may read now.
    fn joins(&mut self, now: Instant, read_role: ReadRole) -> bool {
        !read_role.deferred && now >= self.first_read(now, read_role.spread)
    }

    /// Returns the randomized time of this joiner's first read, which avoids a thundering herd.
    fn first_read(&mut self, now: Instant, spread: Duration) -> Instant {
        let share = self.rng.random_range(0.0..1.0);
        *self
            .first_read
            .get_or_insert_with(|| now + spread.mul_f64(share))
    }

    fn start(&mut self, from: Offset, kind: ReadKind) {
        let wait = match (kind, &self.snapshots) {
            (ReadKind::LongPoll, None) => LONG_POLL,
            (ReadKind::LongPoll, Some(_)) => SNAPSHOT_LONG_POLL,
            (ReadKind::Confirm { wait }, _) => wait,
            (ReadKind::Join, _) => Duration::ZERO,
        };
        let platform = self.platform.clone();
        let (shared, page_limit) = (Arc::clone(&self.shared), self.page_limit.records());
        let snapshots = self.snapshots.clone();
        self.spawn(kind, wait, async move {
            let read = match (snapshots, kind) {
                (Some(snapshots), ReadKind::Join) => {
                    let newest = snapshots.newest().await;
                    newest.map(Read::Newest)
                }
                (Some(snapshots), _) => {
                    let newer = snapshots.newer(Version(from.0), wait).await;
                    newer.map(Read::Newest)
                }
                (None, _) => {
                    let page = platform.read(STREAM, from, page_limit, wait).await;
                    page.map(Read::Page)
                }
            };
            // The response is also lost if the partition began while the platform held the read.
            match reachable(&shared, platform.addr()) {
                true => read,
                false => simulate_outage(&shared).await,
            }
        });
    }

    /// Checks for versions newer than one that another node sent, in place of a read.
    pub(super) fn check_newer(&mut self, version: Version, place: u64) {
        let Some(snapshots) = self.snapshots.clone() else {
            return;
        };
        self.spawn(ReadKind::Join, Duration::ZERO, async move {
            let behind = snapshots.behind(place).await;
            behind.map(|behind| match behind {
                NextVersion::Nothing => Read::Confirmed(version),
                NextVersion::Newer(snapshot) => Read::Newest(Some(snapshot)),
                NextVersion::Unknown => Read::UnknownPosition,
            })
        });
    }

    /// Runs a read in the background. Replaces the read that is open.
    fn spawn(
        &mut self,
        kind: ReadKind,
        wait: Duration,
        read: impl Future<Output = Result<Read, PlatformError>> + Send + 'static,
    ) {
        let counters = &self.shared.counters;
        counters.count("swiftcart_platform_reads_total", "kind", kind.as_str());
        let (clock, inputs) = (self.shared.clock, self.inputs.clone());
        self.started += 1;
        let number = self.started;
        let task = tokio::spawn(async move {
            let began = clock.now();
            let result = read.await;
            let waited = clock.now().since(began) >= wait;
            let as_of = if waited { began + wait } else { began };
            let outcome = ReadOutcome {
                read: FinishedRead { kind, began, as_of },
                result,
                number,
            };
            // Sending fails only after the control loop has stopped.
            drop(inputs.send(Input::Read(Box::new(outcome))).await);
        });
        self.open = Some(OpenRead { kind, number, task });
    }
}

/// Simulates a platform whose packets are lost.
async fn simulate_outage(shared: &Shared) -> Result<Read, PlatformError> {
    tokio::time::sleep(shared.settings.platform.timeout()).await;
    Err(PlatformError::Timeout)
}
