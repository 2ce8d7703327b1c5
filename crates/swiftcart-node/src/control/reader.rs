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
use crate::edge::{NextVersion, SnapshotSource};
use crate::shared::Shared;

/// The stream that holds publishes and checkpoints.
pub(super) const STREAM: &str = "config";

/// Records asked for in one read, unless a page was too large.
const PAGE: u32 = 256;
/// How long the platform holds a read that has nothing to tell.
const LONG_POLL: Duration = Duration::from_secs(10);
/// The first stand-in reads this often, and each further one half as often.
const STANDBY: Duration = Duration::from_secs(5);
/// Nodes behind the readers that read now and then, in case the readers cannot.
const STANDBYS: usize = 4;
/// The pause after a version that came as a whole. Versions in quick succession are read
/// together: each read has its price, and a version has two seconds to be in force, of which
/// the way from a reader to all nodes takes 0.1.
const SETTLE: Duration = Duration::from_millis(900);

/// How long the platform holds a read of whole versions that has nothing to tell, below the
/// 30 s that it allows. The connection's own probes tell when the platform is out of reach.
const WHOLE_POLL: Duration = Duration::from_secs(25);

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
    Unplaced,
}

/// Reads the platform for one node, one read at a time.
#[derive(Debug)]
pub(super) struct Reader {
    shared: Arc<Shared>,
    platform: Platform,
    whole: Option<Arc<dyn SnapshotSource>>,
    inputs: mpsc::Sender<Input>,
    rng: SmallRng,
    readers: usize,
    limit: PageLimit,
    task: Option<JoinHandle<()>>,
    long: bool,
    /// Whether the last read found that nothing was published yet, or nothing newer.
    empty: bool,
    /// Records that were passed over so far, since they could not be read.
    unreadable: u64,
    next: Instant,
    /// When this node found out how many others there are and drew its turn.
    turn: Option<Instant>,
    backoff: Backoff,
}

/// What the reader knows of the node's part at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Duty {
    /// The node's rank among the live nodes of its failure domain.
    pub(super) rank: usize,
    /// Whether the node has to see the end of the log before it may serve.
    pub(super) joining: bool,
    /// Over which time joiners spread their first reads.
    pub(super) spread: Duration,
    /// Whether the rank follows from the members, and not from knowing none or few.
    pub(super) settled: bool,
    /// Whether others read for this node, which waits for them.
    pub(super) waits: bool,
}

impl Reader {
    pub(super) fn new(
        shared: Arc<Shared>,
        whole: Option<Arc<dyn SnapshotSource>>,
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
            whole,
            inputs,
            rng,
            readers,
            limit: PageLimit::new(PAGE),
            task: None,
            long: false,
            empty: false,
            unreadable: 0,
            next: Instant::default(),
            turn: None,
            backoff: Backoff::new(),
        }
    }

    /// Starts a read when this node's duty asks for one, and ends one that it no longer has.
    pub(super) fn tick(&mut self, now: Instant, duty: Duty, from: Offset) {
        let is_reader = duty.rank < self.readers;
        match self.task.take_if(|_| self.long && !is_reader) {
            Some(task) => {
                task.abort();
                self.next = now + self.standby(duty.rank);
            }
            None if self.task.is_some() || now < self.next => {}
            None if !self.is_due(now, duty) => {}
            // Before the members are known each node takes itself for a reader.
            None if duty.joining && !self.empty => self.start(from, false),
            None if is_reader && !duty.settled => {}
            None => self.start(from, is_reader),
        }
    }

    /// Notes the end of a read; the next one waits when it failed or was a stand-in's.
    ///
    /// Returns how many records it passed over, since they could not be read.
    pub(super) fn done(
        &mut self,
        now: Instant,
        duty: Duty,
        result: &Result<Read, PlatformError>,
    ) -> u64 {
        self.task = None;
        let unreadable = self.take_unreadable();
        let wait = match result {
            Ok(read) => {
                self.backoff.succeeded();
                self.limit.grow();
                self.empty = matches!(read, Read::Newest(None));
                let is_reader = duty.rank < self.readers;
                match read {
                    Read::Newest(Some(_)) if is_reader => SETTLE,
                    // Whoever writes what nobody can read does not set the pace of reads.
                    Read::Newest(None) if unreadable > 0 => SETTLE,
                    // Nothing was published yet: the readers wait for it, the others for them.
                    Read::Newest(None) if is_reader => Duration::ZERO,
                    Read::Page(_) if is_reader || duty.joining => Duration::ZERO,
                    Read::Confirmed(_) if is_reader => Duration::ZERO,
                    Read::Unplaced => Duration::ZERO,
                    Read::Newest(_) | Read::Page(_) | Read::Confirmed(_) => self.standby(duty.rank),
                }
            }
            Err(e) if self.limit.shrink(e) => Duration::ZERO,
            Err(e) => self.backoff.failed(e, &mut self.rng),
        };
        self.next = now + wait;
        unreadable
    }

    /// Returns how many more records were passed over since the last call.
    fn take_unreadable(&mut self) -> u64 {
        let unreadable = self.whole.as_ref().map_or(0, |whole| whole.unreadable());
        unreadable - std::mem::replace(&mut self.unreadable, unreadable)
    }

    /// Returns how many nodes of a failure domain read the log all the time.
    pub(super) const fn readers(&self) -> usize {
        self.readers
    }

    /// Returns where whole versions come from, where they do.
    pub(super) fn whole(&self) -> Option<&dyn SnapshotSource> {
        self.whole.as_deref()
    }

    /// Returns the platform's client.
    pub(super) const fn platform(&self) -> &Platform {
        &self.platform
    }

    fn is_due(&mut self, now: Instant, duty: Duty) -> bool {
        match duty.joining {
            true if duty.waits => false,
            true => now >= self.turn(now, duty.spread),
            false => duty.rank < self.readers + STANDBYS,
        }
    }

    /// Draws when this joiner reads, so that a herd of them spreads its reads.
    fn turn(&mut self, now: Instant, spread: Duration) -> Instant {
        let share = self.rng.random_range(0.0..1.0);
        *self.turn.get_or_insert_with(|| now + spread.mul_f64(share))
    }

    fn start(&mut self, from: Offset, long: bool) {
        let wait = match (long, &self.whole) {
            (true, None) => LONG_POLL,
            (true, Some(_)) => WHOLE_POLL,
            (false, _) => Duration::ZERO,
        };
        let (platform, inputs) = (self.platform.clone(), self.inputs.clone());
        let (shared, limit) = (Arc::clone(&self.shared), self.limit.records());
        let name = "swiftcart_platform_reads_total";
        let kind = if long { "long-poll" } else { "once" };
        self.shared.counters.count(name, "kind", kind);
        self.long = long;
        let whole = self.whole.clone();
        self.task = Some(tokio::spawn(async move {
            let read = match whole {
                Some(whole) => {
                    let newest = whole.newest(Version(from.0), wait).await;
                    newest.map(Read::Newest)
                }
                None => {
                    let page = platform.read(STREAM, from, limit, wait).await;
                    page.map(Read::Page)
                }
            };
            // The answer is lost as well when the cut came while the read was held.
            let read = match reachable(&shared, platform.addr()) {
                true => read,
                false => unreachable(&shared).await,
            };
            // The control loop is gone when the node has stopped.
            drop(inputs.send(Input::Read(Box::new(read))).await);
        }));
    }

    /// Looks what came behind a version that another node has told, in place of a read.
    pub(super) fn look_behind(&mut self, version: Version, place: u64) {
        let Some(whole) = self.whole.clone() else {
            return;
        };
        if let Some(task) = self.task.take() {
            task.abort();
        }
        let name = "swiftcart_platform_reads_total";
        self.shared.counters.count(name, "kind", "behind");
        self.long = false;
        let inputs = self.inputs.clone();
        self.task = Some(tokio::spawn(async move {
            let read = whole.behind(place).await.map(|behind| match behind {
                NextVersion::Nothing => Read::Confirmed(version),
                NextVersion::Newer(snapshot) => Read::Newest(Some(snapshot)),
                NextVersion::Unknown => Read::Unplaced,
            });
            // The control loop is gone when the node has stopped.
            drop(inputs.send(Input::Read(Box::new(read))).await);
        }));
    }

    fn standby(&mut self, rank: usize) -> Duration {
        let behind = u32::try_from(rank.saturating_sub(self.readers)).unwrap_or(u32::MAX);
        let wait = STANDBY.saturating_mul(1 << behind.min(8));
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
async fn unreachable(shared: &Shared) -> Result<Read, PlatformError> {
    tokio::time::sleep(shared.settings.platform.timeout()).await;
    Err(PlatformError::Timeout)
}
