//! Schedules and runs this node's reads of the platform's log.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use swiftcart_core::{Instant, Offset, Snapshot, Version};
use swiftcart_platform::{Backoff, Page, PageLimit, Platform, PlatformError};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::{Input, reachable};
use crate::edge::{NextVersion, SnapshotSource};
use crate::shared::Shared;

/// Stream that holds publishes and checkpoints.
pub(super) const STREAM: &str = "config";

/// Number of records requested per read, unless a page was too large.
const PAGE_RECORDS: u32 = 256;
/// Time for which the platform holds a read without new records.
const LONG_POLL: Duration = Duration::from_secs(10);
/// Read interval of the first standby. It doubles for each further standby.
const STANDBY_INTERVAL: Duration = Duration::from_secs(5);
/// Number of nodes ranked after the readers that read occasionally, in case the readers fail.
const STANDBY_COUNT: usize = 4;
/// Pause after a snapshot was read, so that versions in quick succession are read together. Each
/// read has a cost. A version has two seconds to be in force, of which distribution from a reader
/// to all nodes takes 0.1 s.
const BATCH_DELAY: Duration = Duration::from_millis(900);

/// Time for which the platform holds a read of snapshots without a newer one. It is below the
/// platform's maximum of 30 s. Keep-alive probes of the connection detect an unreachable platform.
const SNAPSHOT_LONG_POLL: Duration = Duration::from_secs(25);

/// Successful result of a read.
#[derive(Debug)]
pub(super) enum Read {
    /// Records of the log.
    Page(Page),
    /// Newest snapshot, or `None` if it is not newer than the known version.
    Newest(Option<Snapshot>),
    /// Version from another node that is confirmed to be the newest one.
    Confirmed(Version),
    /// The platform cannot tell whether a newer version exists.
    UnknownPosition,
}

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
    task: Option<JoinHandle<()>>,
    long_poll: bool,
    /// Set if the last read found no published version, or no newer one.
    empty: bool,
    /// Number of skipped records that could not be read, as of the last read.
    unreadable: u64,
    next_read: Instant,
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
            task: None,
            long_poll: false,
            empty: false,
            unreadable: 0,
            next_read: Instant::default(),
            first_read: None,
            backoff: Backoff::new(),
        }
    }

    /// Starts a read if the node's role requires one, and aborts a long poll of a node that is no
    /// longer a reader.
    pub(super) fn tick(&mut self, now: Instant, read_role: ReadRole, from: Offset) {
        let is_reader = read_role.rank < self.readers;
        match self.task.take_if(|_| self.long_poll && !is_reader) {
            Some(task) => {
                task.abort();
                self.next_read = now + self.standby_delay(read_role.rank);
            }
            None if self.task.is_some() || now < self.next_read => {}
            None if !self.is_due(now, read_role) => {}
            // Before the members are known, each node ranks itself as a reader.
            None if read_role.joining && !self.empty => self.start(from, false),
            None if is_reader && !read_role.rank_known => {}
            None => self.start(from, is_reader),
        }
    }

    /// Records the end of a read. The next read is delayed after a failure, after a snapshot, or on
    /// a standby.
    ///
    /// Returns the number of records that the read skipped because they could not be read.
    pub(super) fn finish(
        &mut self,
        now: Instant,
        read_role: ReadRole,
        result: &Result<Read, PlatformError>,
    ) -> u64 {
        self.task = None;
        let unreadable = self.take_unreadable();
        let wait = match result {
            Ok(read) => {
                self.backoff.succeeded();
                self.page_limit.grow();
                self.empty = matches!(read, Read::Newest(None));
                let is_reader = read_role.rank < self.readers;
                match read {
                    Read::Newest(Some(_)) if is_reader => BATCH_DELAY,
                    // Unreadable records must not increase the rate of reads.
                    Read::Newest(None) if unreadable > 0 => BATCH_DELAY,
                    // No newer version exists: the readers poll again, and other nodes wait for the
                    // readers.
                    Read::Newest(None) if is_reader => Duration::ZERO,
                    Read::Page(_) if is_reader || read_role.joining => Duration::ZERO,
                    Read::Confirmed(_) if is_reader => Duration::ZERO,
                    Read::UnknownPosition => Duration::ZERO,
                    Read::Newest(_) | Read::Page(_) | Read::Confirmed(_) => {
                        self.standby_delay(read_role.rank)
                    }
                }
            }
            Err(e) if self.page_limit.shrink(e) => Duration::ZERO,
            Err(e) => self.backoff.failed(e, &mut self.rng),
        };
        self.next_read = now + wait;
        unreadable
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

    /// Returns the time before which no read starts.
    pub(super) const fn next_read(&self) -> Instant {
        self.next_read
    }

    /// Returns the source of snapshots, if the platform has one.
    pub(super) fn snapshots(&self) -> Option<&dyn SnapshotSource> {
        self.snapshots.as_deref()
    }

    /// Returns the platform's client.
    pub(super) const fn platform(&self) -> &Platform {
        &self.platform
    }

    fn is_due(&mut self, now: Instant, read_role: ReadRole) -> bool {
        match read_role.joining {
            true if read_role.deferred => false,
            true => now >= self.first_read(now, read_role.spread),
            false => read_role.rank < self.readers + STANDBY_COUNT,
        }
    }

    /// Returns the randomized time of this joiner's first read, which avoids a thundering herd.
    fn first_read(&mut self, now: Instant, spread: Duration) -> Instant {
        let share = self.rng.random_range(0.0..1.0);
        *self
            .first_read
            .get_or_insert_with(|| now + spread.mul_f64(share))
    }

    fn start(&mut self, from: Offset, long_poll: bool) {
        let wait = match (long_poll, &self.snapshots) {
            (true, None) => LONG_POLL,
            (true, Some(_)) => SNAPSHOT_LONG_POLL,
            (false, _) => Duration::ZERO,
        };
        let (platform, inputs) = (self.platform.clone(), self.inputs.clone());
        let (shared, page_limit) = (Arc::clone(&self.shared), self.page_limit.records());
        let name = "swiftcart_platform_reads_total";
        let kind = if long_poll { "long-poll" } else { "once" };
        self.shared.counters.count(name, "kind", kind);
        self.long_poll = long_poll;
        let snapshots = self.snapshots.clone();
        self.task = Some(tokio::spawn(async move {
            let read = match snapshots {
                Some(snapshots) => {
                    let newest = snapshots.newest(Version(from.0), wait).await;
                    newest.map(Read::Newest)
                }
                None => {
                    let page = platform.read(STREAM, from, page_limit, wait).await;
                    page.map(Read::Page)
                }
            };
            // The response is also lost if the partition began while the platform held the read.
            let read = match reachable(&shared, platform.addr()) {
                true => read,
                false => simulate_outage(&shared).await,
            };
            // Sending fails only after the control loop has stopped.
            drop(inputs.send(Input::Read(Box::new(read))).await);
        }));
    }

    /// Checks for versions newer than one that another node sent, in place of a read.
    pub(super) fn check_newer(&mut self, version: Version, place: u64) {
        let Some(snapshots) = self.snapshots.clone() else {
            return;
        };
        if let Some(task) = self.task.take() {
            task.abort();
        }
        let name = "swiftcart_platform_reads_total";
        self.shared.counters.count(name, "kind", "behind");
        self.long_poll = false;
        let inputs = self.inputs.clone();
        self.task = Some(tokio::spawn(async move {
            let read = snapshots.behind(place).await.map(|behind| match behind {
                NextVersion::Nothing => Read::Confirmed(version),
                NextVersion::Newer(snapshot) => Read::Newest(Some(snapshot)),
                NextVersion::Unknown => Read::UnknownPosition,
            });
            // Sending fails only after the control loop has stopped.
            drop(inputs.send(Input::Read(Box::new(read))).await);
        }));
    }

    fn standby_delay(&mut self, rank: usize) -> Duration {
        let behind = u32::try_from(rank.saturating_sub(self.readers)).unwrap_or(u32::MAX);
        let wait = STANDBY_INTERVAL.saturating_mul(1 << behind.min(8));
        wait.mul_f64(self.rng.random_range(0.8..1.2))
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

/// Simulates a platform whose packets are lost.
async fn simulate_outage(shared: &Shared) -> Result<Read, PlatformError> {
    tokio::time::sleep(shared.settings.platform.timeout()).await;
    Err(PlatformError::Timeout)
}
