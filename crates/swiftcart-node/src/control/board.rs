//! Records the state of roll-outs at the platform, where operators read it.

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slog::{info, warn};
use swiftcart_core::{OrderId, ServiceName};
use swiftcart_platform::{Backoff, PlatformError};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::Input;
use crate::edge::{RolloutBoard, RolloutRecord, RolloutRecords, RolloutState};
use crate::logging::Event;
use crate::shared::Shared;

/// Maximum number of queued records; each roll-out that this node watches queues one.
const QUEUE_CAPACITY: usize = 64;

/// Maximum pause before a retry. It is short because a roll-out has only a few seconds to end.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// State of a roll-out as recorded at the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RecordedRollout {
    pub(super) service: ServiceName,
    pub(super) order: OrderId,
    pub(super) state: RolloutState,
    /// Deadline, in Unix milliseconds.
    pub(super) due_ms: u64,
}

/// Background task that writes records one at a time and retries until each write succeeds.
///
/// The platform accepts a record only if no other node has written since this node's last read. A
/// roll-out therefore has only one end: a node that writes later reads the recorded end and adopts
/// it.
#[derive(Debug)]
pub(super) struct BoardWriter {
    records: mpsc::Sender<RolloutRecord>,
    task: JoinHandle<()>,
}

impl BoardWriter {
    pub(super) fn start(
        shared: &Arc<Shared>,
        board: Arc<dyn RolloutBoard>,
        inputs: mpsc::Sender<Input>,
    ) -> Self {
        let (records, mut queued) = mpsc::channel(QUEUE_CAPACITY);
        let mut writer = WriterTask {
            shared: Arc::clone(shared),
            board,
            cached: None,
        };
        let task = tokio::spawn(async move {
            while let Some(record) = queued.recv().await {
                let recorded = writer.write_until_recorded(record).await;
                // Sending fails only after the control loop has stopped.
                drop(inputs.send(Input::RecordedRollout(recorded)).await);
            }
        });
        Self { records, task }
    }

    /// Queues a record for writing. Returns `false` if the queue is full.
    pub(super) fn write(&self, record: RolloutRecord) -> bool {
        self.records.try_send(record).is_ok()
    }
}

impl Drop for BoardWriter {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct WriterTask {
    shared: Arc<Shared>,
    board: Arc<dyn RolloutBoard>,
    /// Last board that was read or written; `None` after an error or a conflicting write.
    cached: Option<RolloutRecords>,
}

impl WriterTask {
    /// Writes `record` unless the platform already has the end of the same order, or a later order.
    async fn write_until_recorded(&mut self, record: RolloutRecord) -> RecordedRollout {
        let mut backoff = Backoff::new();
        let mut rng = SmallRng::from_os_rng();
        loop {
            match self.try_write(&record).await {
                Ok(Some(recorded)) => return recorded,
                Ok(None) => {}
                Err(err) => {
                    self.cached = None;
                    warn!(self.shared.logger, ""; "event" => Event::Rollout,
                        "service" => %record.service, "order" => record.order.0,
                        "state" => record.state.as_str(), "error" => %err);
                    sleep(backoff.failed(&err, &mut rng).min(MAX_BACKOFF)).await;
                }
            }
        }
    }

    /// Attempts one write. Returns `None` if another node wrote a record in the meantime.
    async fn try_write(
        &mut self,
        record: &RolloutRecord,
    ) -> Result<Option<RecordedRollout>, PlatformError> {
        let board = match self.cached.take() {
            Some(board) => board,
            None => self.board.read().await?,
        };
        let old = board
            .records
            .iter()
            .find(|old| old.service == record.service);
        if let Some(old) = old.filter(|old| supersedes(old, record)) {
            let recorded = RecordedRollout::from(old);
            self.cached = Some(board);
            return Ok(Some(recorded));
        }
        let Some(place) = self.board.write(record.clone(), board.place).await? else {
            return Ok(None);
        };
        info!(self.shared.logger, ""; "event" => Event::Rollout, "service" => %record.service,
            "order" => record.order.0, "target" => %record.target,
            "state" => record.state.as_str(), "place" => place);
        self.cached = Some(with_record(board, record, place));
        Ok(Some(RecordedRollout::from(record)))
    }
}

impl From<&RolloutRecord> for RecordedRollout {
    fn from(record: &RolloutRecord) -> Self {
        Self {
            service: record.service.clone(),
            order: record.order,
            state: record.state,
            due_ms: record.due_ms,
        }
    }
}

/// Returns `true` if `old` makes `new` redundant: `old` belongs to a later order, or already
/// records the same state or an end of the order.
fn supersedes(old: &RolloutRecord, new: &RolloutRecord) -> bool {
    let ended = old.state != RolloutState::Running;
    let same = old.order == new.order;
    old.order > new.order || (same && (ended || new.state == RolloutState::Running))
}

fn with_record(mut board: RolloutRecords, record: &RolloutRecord, place: u64) -> RolloutRecords {
    board.records.retain(|old| old.service != record.service);
    board.records.push(record.clone());
    board.place = place;
    board
}
