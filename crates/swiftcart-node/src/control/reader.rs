//! Decides when this node reads the platform's log, and reads it.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use swiftcart_core::{Instant, Offset, Snapshot, Version};
use swiftcart_platform::{Backoff, Page, PageLimit, Platform, PlatformError};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::{Input, reachable};
use crate::edge::{Behind, SnapshotSource};
use crate::shared::Shared;

/// The stream that holds publishes and checkpoints.
pub(super) const STREAM: &str = "config";

/// Records asked for in one read, unless a page was too large.
const PAGE_RECORDS: u32 = 256;
/// How long the platform holds a read that has nothing to tell.
const LONG_POLL: Duration = Duration::from_secs(10);
/// The first stand-in reads this often, and each further one half as often.
const STANDBY_INTERVAL: Duration = Duration::from_secs(5);
/// Nodes behind the readers that read now and then, in case the readers cannot.
const STANDBY_COUNT: usize = 4;
/// The pause after a version that came as a whole. Versions in quick succession are read
/// together: each read has its price, and a version has two seconds to be in force, of which
/// the way from a reader to all nodes takes 0.1.
const BATCH_DELAY: Duration = Duration::from_millis(900);

/// How long the platform holds a read of whole versions that has nothing to tell, below the
/// 30 s that it allows. The connection's own probes tell when the platform is out of reach.
const SNAPSHOT_LONG_POLL: Duration = Duration::from_secs(25);

/// What a read brought.
#[derive(Debug)]
pub(super) enum Read {
    /// Records of the log.
    Page(Page),
    /// The newest version, when it is newer than the one that was known.
    Newest(Option<Snapshot>),
    /// That nothing came behind this version, which another node has told.
    Confirmed(Version),
    /// Nothing: what came behind a version cannot be told.
    UnknownPosition,
}

/// Reads the platform for one node, one read at a time.
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
    /// Whether the last read found that nothing was published yet, or nothing newer.
    empty: bool,
    /// Records that were passed over so far, since they could not be read.
    unreadable: u64,
    next_read: Instant,
    /// When this node found out how many others there are and drew its turn.
    first_read: Option<Instant>,
    backoff: Backoff,
}

/// What the reader knows of the node's part at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ReadRole {
    /// The node's rank among the live nodes of its failure domain.
    pub(super) rank: usize,
    /// Whether the node has to see the end of the log before it may serve.
    pub(super) joining: bool,
    /// Over which time joiners spread their first reads.
    pub(super) spread: Duration,
    /// Whether the rank follows from the members, and not from knowing none or few.
    pub(super) rank_known: bool,
    /// Whether others read for this node, which waits for them.
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

    /// Starts a read when this node's duty asks for one, and ends one that it no longer has.
    pub(super) fn tick(&mut self, now: Instant, read_role: ReadRole, from: Offset) {
        let is_reader = read_role.rank < self.readers;
        match self.task.take_if(|_| self.long_poll && !is_reader) {
            Some(task) => {
                task.abort();
                self.next_read = now + self.standby_delay(read_role.rank);
            }
            None if self.task.is_some() || now < self.next_read => {}
            None if !self.is_due(now, read_role) => {}
            // Before the members are known each node takes itself for a reader.
            None if read_role.joining && !self.empty => self.start(from, false),
            None if is_reader && !read_role.rank_known => {}
            None => self.start(from, is_reader),
        }
    }

    /// Notes the end of a read; the next one waits when it failed or was a stand-in's.
    ///
    /// Returns how many records it passed over, since they could not be read.
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
                    // Whoever writes what nobody can read does not set the pace of reads.
                    Read::Newest(None) if unreadable > 0 => BATCH_DELAY,
                    // Nothing was published yet: the readers wait for it, the others for them.
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

    /// Returns how many more records were passed over since the last call.
    fn take_unreadable(&mut self) -> u64 {
        let unreadable = self
            .snapshots
            .as_ref()
            .map_or(0, |snapshots| snapshots.unreadable());
        unreadable - std::mem::replace(&mut self.unreadable, unreadable)
    }

    /// Returns how many nodes of a failure domain read the log all the time.
    pub(super) const fn readers(&self) -> usize {
        self.readers
    }

    /// Returns where whole versions come from, where they do.
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

    /// Draws when this joiner reads, so that a herd of them spreads its reads.
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
            // The answer is lost as well when the cut came while the read was held.
            let read = match reachable(&shared, platform.addr()) {
                true => read,
                false => simulate_outage(&shared).await,
            };
            // The control loop is gone when the node has stopped.
            drop(inputs.send(Input::Read(Box::new(read))).await);
        }));
    }

    /// Looks what came behind a version that another node has told, in place of a read.
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
                Behind::Nothing => Read::Confirmed(version),
                Behind::Newer(snapshot) => Read::Newest(Some(snapshot)),
                Behind::Unknown => Read::UnknownPosition,
            });
            // The control loop is gone when the node has stopped.
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

/// Behaves as a platform whose packets are lost on the way.
async fn simulate_outage(shared: &Shared) -> Result<Read, PlatformError> {
    tokio::time::sleep(shared.settings.platform.timeout()).await;
    Err(PlatformError::Timeout)
}
