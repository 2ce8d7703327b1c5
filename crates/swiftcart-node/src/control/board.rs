//! Writes to operators how far roll-outs are, and reads it.

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

/// Records that wait to be written; one for each roll-out that this node watches.
const WAITING: usize = 64;

/// The longest pause before another try. A roll-out has some seconds to end.
const LONGEST: Duration = Duration::from_millis(500);

/// What the platform knows of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Settled {
    pub(super) service: ServiceName,
    pub(super) order: OrderId,
    pub(super) state: RolloutState,
    /// The deadline, in Unix milliseconds.
    pub(super) due_ms: u64,
}

/// Writes one record after the other, however often that has to be tried.
///
/// The platform takes a record only where nobody has written since this node read, so that a
/// roll-out ends once: whoever comes later finds the end of another one and takes that over.
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
        let (records, mut waiting) = mpsc::channel(WAITING);
        let mut writing = Writing {
            shared: Arc::clone(shared),
            board,
            known: None,
        };
        let task = tokio::spawn(async move {
            while let Some(record) = waiting.recv().await {
                let settled = writing.settle(record).await;
                // The control loop is gone when the node has stopped.
                drop(inputs.send(Input::Settled(settled)).await);
            }
        });
        Self { records, task }
    }

    /// Has a record written; returns whether there was room for it.
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
struct Writing {
    shared: Arc<Shared>,
    board: Arc<dyn RolloutBoard>,
    /// The board as it was read or written last; `None` when that is not certain.
    known: Option<RolloutRecords>,
}

impl Writing {
    /// Writes `record` unless the platform knows an end of the same order, or a later order.
    async fn settle(&mut self, record: RolloutRecord) -> Settled {
        let mut backoff = Backoff::new();
        let mut rng = SmallRng::from_os_rng();
        loop {
            match self.try_settle(&record).await {
                Ok(Some(settled)) => return settled,
                Ok(None) => {}
                Err(err) => {
                    self.known = None;
                    warn!(self.shared.logger, ""; "event" => Event::Rollout,
                        "service" => %record.service, "order" => record.order.0,
                        "state" => record.state.as_str(), "error" => %err);
                    sleep(backoff.failed(&err, &mut rng).min(LONGEST)).await;
                }
            }
        }
    }

    /// Makes one try; `None` when another record came in between.
    async fn try_settle(
        &mut self,
        record: &RolloutRecord,
    ) -> Result<Option<Settled>, PlatformError> {
        let board = match self.known.take() {
            Some(board) => board,
            None => self.board.read().await?,
        };
        let old = board
            .records
            .iter()
            .find(|old| old.service == record.service);
        if let Some(old) = old.filter(|old| stands(old, record)) {
            let settled = Settled::from(old);
            self.known = Some(board);
            return Ok(Some(settled));
        }
        let Some(place) = self.board.write(record.clone(), board.place).await? else {
            return Ok(None);
        };
        info!(self.shared.logger, ""; "event" => Event::Rollout, "service" => %record.service,
            "order" => record.order.0, "target" => %record.target,
            "state" => record.state.as_str(), "place" => place);
        self.known = Some(with(board, record, place));
        Ok(Some(Settled::from(record)))
    }
}

impl From<&RolloutRecord> for Settled {
    fn from(record: &RolloutRecord) -> Self {
        Self {
            service: record.service.clone(),
            order: record.order,
            state: record.state,
            due_ms: record.due_ms,
        }
    }
}

/// Tells whether `old` makes `new` needless: it is of a later order, or says as much already.
fn stands(old: &RolloutRecord, new: &RolloutRecord) -> bool {
    let ended = old.state != RolloutState::Running;
    let same = old.order == new.order;
    old.order > new.order || (same && (ended || new.state == RolloutState::Running))
}

fn with(mut board: RolloutRecords, record: &RolloutRecord, place: u64) -> RolloutRecords {
    board.records.retain(|old| old.service != record.service);
    board.records.push(record.clone());
    board.place = place;
    board
}
