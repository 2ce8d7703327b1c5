//! Interfaces to a platform that offers more than a log.
//!
//! An implementation of these traits lets the same node run on another platform.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use swiftcart_core::{
    Departure, DrainUpdate, NodeId, OrderId, QuarantineRecord, Release, RequestDigest,
    RolloutOrder, ServiceName, Snapshot, Version,
};
use swiftcart_platform::PlatformError;

/// Future of a response of the platform.
pub type PlatformFuture<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send + 'a>>;

/// Result of a read of the version after a position in the version history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextVersion {
    /// There is no later version: the version before the position is the newest one.
    Nothing,
    /// The next version after the position.
    Newer(Snapshot),
    /// The next version cannot be determined. Only a read of the newest version helps.
    Unknown,
}

/// Platform that validates configurations itself and stores the newest accepted one.
pub trait SnapshotSource: fmt::Debug + Send + Sync {
    /// Returns the newest version, or `None` if no version is published.
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`]. The error does not show whether there is a version.
    fn newest(&self) -> PlatformFuture<'_, Option<Snapshot>>;

    /// Returns the newest version if it is above `known`.
    ///
    /// Waits up to `wait` for such a version, and returns `None` if there was none until then.
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`]. The error does not show whether there is a newer version.
    fn newer(&self, known: Version, wait: Duration) -> PlatformFuture<'_, Option<Snapshot>>;

    /// Sets the position after which later reads continue, unless they already do so further on.
    fn resume(&self, _place: u64) {}

    /// Returns the position after `version` in the version history.
    ///
    /// Returns `None` if this node has not read the version from this source. The position is an
    /// opaque number that is valid on all nodes of the mesh.
    fn place(&self, _version: Version) -> Option<u64> {
        None
    }

    /// Returns the version after a position. Later reads continue from there.
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`]. The error does not show whether there is a later version.
    fn behind(&self, _place: u64) -> PlatformFuture<'_, NextVersion> {
        Box::pin(async { Ok(NextVersion::Unknown) })
    }

    /// Returns the total number of records that were skipped because they could not be read.
    fn unreadable(&self) -> u64 {
        0
    }

    /// Removes and returns the roll-out orders that were read since the last call.
    fn orders(&self) -> Vec<RolloutOrder> {
        Vec::new()
    }

    /// Removes and returns the drain updates of failure domains that were read since the last call.
    fn drains(&self) -> Vec<DrainUpdate> {
        Vec::new()
    }
}

/// State of a roll-out, as shown to operators of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RolloutState {
    /// The roll-out is in progress.
    Running,
    /// The new release is in use.
    Completed,
    /// The new release was rolled back.
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

/// Progress of the roll-out of one service, as stored on the platform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RolloutRecord {
    /// Service that is rolled out.
    pub service: ServiceName,
    /// Order that started the roll-out.
    pub order: OrderId,
    /// Release that the order names.
    pub target: Release,
    /// State of the roll-out.
    pub state: RolloutState,
    /// Deadline of the order, in Unix milliseconds.
    pub due_ms: u64,
}

/// Newest records of all roll-outs, and the position after them.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RolloutRecords {
    /// Newest record of each service.
    pub records: Vec<RolloutRecord>,
    /// Position of the next record.
    pub place: u64,
}

/// Storage of roll-out records, in which operators follow the progress of roll-outs.
///
/// Writes are conditional: of several writes at the same position, only one succeeds.
pub trait RolloutBoard: fmt::Debug + Send + Sync {
    /// Returns the newest record of each service.
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`]. The error does not show whether there are records.
    fn read(&self) -> PlatformFuture<'_, RolloutRecords>;

    /// Writes a record if `place` is still the next position.
    ///
    /// Returns the position after the record, or `None` if there is another record at `place`.
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`]. The record may have been written then, or may still be.
    fn write(&self, record: RolloutRecord, place: u64) -> PlatformFuture<'_, Option<u64>>;
}

/// Contents of a directory.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct DirectoryListing {
    /// Nodes that are registered.
    pub nodes: Vec<NodeId>,
    /// Stored records of quarantined requests, some of them possibly old.
    pub memos: Vec<QuarantineRecord>,
    /// Departures of backend servers that the node asking has stored, some of them possibly old.
    pub departures: Vec<Departure>,
}

/// External registry through which the nodes of a mesh discover each other.
pub trait Directory: fmt::Debug + Send + Sync {
    /// Registers `id` with the departures of its backend servers, in place of an earlier entry.
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`]. The entry may exist then or not.
    fn enter(&self, id: NodeId, departures: Vec<Departure>) -> PlatformFuture<'_, ()>;

    /// Returns the registered nodes, including `id` if it is registered, the stored departures of
    /// `id`, and the stored records of quarantined requests.
    ///
    /// `entered` is set if `id` is known to be registered. In a large mesh the result may be a part
    /// of the nodes, which is enough to join. In a small mesh, nodes register first and then call
    /// this method, so that the node that registered last finds all others.
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`].
    fn find(&self, id: NodeId, entered: bool) -> PlatformFuture<'_, DirectoryListing>;

    /// Stores `memo`, which replaces an earlier record of the same request.
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`]. The record may be stored then or not.
    fn remember(&self, memo: QuarantineRecord) -> PlatformFuture<'_, ()>;

    /// Deletes the records of `requests`.
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`]. The records may be deleted then or not.
    fn forget(&self, requests: Vec<RequestDigest>) -> PlatformFuture<'_, ()>;

    /// Removes the entries of `ids`, whose nodes have left permanently.
    ///
    /// # Errors
    ///
    /// Returns any [`PlatformError`]. The entries may be removed then or not.
    fn remove(&self, ids: Vec<NodeId>) -> PlatformFuture<'_, ()>;

    /// Returns the total number of entries that were skipped because they are not valid nodes.
    fn unreadable(&self) -> u64 {
        0
    }
}

/// Optional adapters of a node for its platform.
///
/// Without a snapshot source, the node follows the log.
#[derive(Debug, Default, Clone)]
pub struct PlatformAdapters {
    /// Source of accepted versions, which replaces the log.
    pub snapshots: Option<Arc<dyn SnapshotSource>>,
    /// Directory in which nodes discover each other, in addition to the seeds in the settings.
    pub directory: Option<Arc<dyn Directory>>,
    /// Storage of roll-out records. Without it, no roll-outs take place.
    pub board: Option<Arc<dyn RolloutBoard>>,
}

impl PlatformAdapters {
    /// Creates the adapters of a node that follows the platform's log.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the source of accepted versions.
    #[must_use]
    pub fn with_snapshots(mut self, source: Arc<dyn SnapshotSource>) -> Self {
        self.snapshots = Some(source);
        self
    }

    /// Sets the directory in which nodes discover each other.
    #[must_use]
    pub fn with_directory(mut self, directory: Arc<dyn Directory>) -> Self {
        self.directory = Some(directory);
        self
    }

    /// Sets the storage of roll-out records.
    #[must_use]
    pub fn with_board(mut self, board: Arc<dyn RolloutBoard>) -> Self {
        self.board = Some(board);
        self
    }
}
