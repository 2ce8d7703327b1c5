//! The platform as a node needs it, where it is more than a log: other implementations of
//! these traits run the same node elsewhere.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use swiftcart_core::{
    DrainUpdate, Memo, NodeId, OrderId, Release, RequestPrint, RolloutOrder, ServiceName, Snapshot,
    Version,
};
use swiftcart_platform::PlatformError;

/// The answer of the platform, some time.
pub type PlatformFuture<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send + 'a>>;

/// What came behind a place among the versions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextVersion {
    /// Nothing: the version before it is the newest one.
    Nothing,
    /// This newer version.
    Newer(Snapshot),
    /// It cannot be told; only a read of the newest version can.
    Unknown,
}

/// A platform that judges configurations itself and holds the newest accepted one.
pub trait SnapshotSource: fmt::Debug + Send + Sync {
    /// Returns the newest version; waits up to `wait` for one above `known`, and returns
    /// `None` when there is none.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; nothing is known then.
    fn newest(&self, known: Version, wait: Duration) -> PlatformFuture<'_, Option<Snapshot>>;

    /// Returns where versions go on behind `version`, when that was read here; some number that
    /// other nodes of the mesh understand.
    fn place(&self, _version: Version) -> Option<u64> {
        None
    }

    /// Returns what came behind a place; reads go on from there.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; nothing is known then.
    fn behind(&self, _place: u64) -> PlatformFuture<'_, NextVersion> {
        Box::pin(async { Ok(NextVersion::Unknown) })
    }

    /// Returns how many records were passed over so far, since they could not be read.
    fn unreadable(&self) -> u64 {
        0
    }

    /// Takes the orders to roll out releases that reads have brought since the last call.
    fn orders(&self) -> Vec<RolloutOrder> {
        Vec::new()
    }

    /// Takes what reads have brought of drained failure domains since the last call.
    fn drains(&self) -> Vec<DrainUpdate> {
        Vec::new()
    }
}

/// What the platform shows its operators of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RolloutState {
    /// It has not ended.
    Running,
    /// The new release is in use.
    Completed,
    /// The new release was taken back.
    RolledBack,
}

impl RolloutState {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
        }
    }
}

/// How far the roll-out of one service is, as the platform keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RolloutRecord {
    /// The service.
    pub service: ServiceName,
    /// The order.
    pub order: OrderId,
    /// The release that it names.
    pub target: Release,
    /// How far it is.
    pub state: RolloutState,
    /// The deadline, in Unix milliseconds.
    pub due_ms: u64,
}

/// All records of roll-outs, and the place behind them.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RolloutRecords {
    /// The newest record of each service.
    pub records: Vec<RolloutRecord>,
    /// Where the next record goes.
    pub place: u64,
}

/// Where operators read how far roll-outs are. Of several writers who know the same place, one
/// succeeds.
pub trait RolloutBoard: fmt::Debug + Send + Sync {
    /// Returns the newest record of each service.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; nothing is known then.
    fn read(&self) -> PlatformFuture<'_, RolloutRecords>;

    /// Writes a record if it comes to stand at `place`. Returns the place behind it, or `None` when
    /// another one stands there.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; whether it was written, or will be, is then not known.
    fn write(&self, record: RolloutRecord, place: u64) -> PlatformFuture<'_, Option<u64>>;
}

/// What a directory holds.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct DirectoryListing {
    /// Those who are entered.
    pub nodes: Vec<NodeId>,
    /// The requests that were held when they were remembered, some of them long ago perhaps.
    pub memos: Vec<Memo>,
}

/// A place outside the mesh through which its nodes find each other.
pub trait Directory: fmt::Debug + Send + Sync {
    /// Enters `id`; entering again changes nothing.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; whether `id` was entered is then not known.
    fn enter(&self, id: NodeId) -> PlatformFuture<'_, ()>;

    /// Returns who is entered, `id` among them if it is, and what is remembered.
    ///
    /// Of a large mesh it may return a part, which is enough to meet it; `entered` says that `id` is
    /// known to be entered. Of few nodes that enter first and look then, the one that entered
    /// later finds all.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    fn find(&self, id: NodeId, entered: bool) -> PlatformFuture<'_, DirectoryListing>;

    /// Remembers `memo` in place of what was remembered of the same request.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; whether it is remembered is then not known.
    fn remember(&self, memo: Memo) -> PlatformFuture<'_, ()>;

    /// Forgets what is remembered of `requests`.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; whether it is forgotten is then not known.
    fn forget(&self, requests: Vec<RequestPrint>) -> PlatformFuture<'_, ()>;

    /// Removes `ids`, which are gone for good.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`]; whether they were removed is then not known.
    fn remove(&self, ids: Vec<NodeId>) -> PlatformFuture<'_, ()>;

    /// Returns how many entries were passed over so far, since they are no node's.
    fn unreadable(&self) -> u64 {
        0
    }
}

/// What a node has of the platform besides the log; without any it follows the log.
#[derive(Debug, Default, Clone)]
pub struct PlatformAdapters {
    /// Where accepted versions come from, in place of the log.
    pub snapshots: Option<Arc<dyn SnapshotSource>>,
    /// Where nodes find each other, beside the seeds of the settings.
    pub directory: Option<Arc<dyn Directory>>,
    /// Where operators read how far roll-outs are; without it nothing is rolled out.
    pub board: Option<Arc<dyn RolloutBoard>>,
}

impl PlatformAdapters {
    /// Creates the edges of a node that follows the platform's log.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes accepted versions from `source`.
    #[must_use]
    pub fn with_snapshots(mut self, source: Arc<dyn SnapshotSource>) -> Self {
        self.snapshots = Some(source);
        self
    }

    /// Finds other nodes in `directory`.
    #[must_use]
    pub fn with_directory(mut self, directory: Arc<dyn Directory>) -> Self {
        self.directory = Some(directory);
        self
    }

    /// Shows operators on `board` how far roll-outs are.
    #[must_use]
    pub fn with_board(mut self, board: Arc<dyn RolloutBoard>) -> Self {
        self.board = Some(board);
        self
    }
}
