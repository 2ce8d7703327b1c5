//! Execution of a request, with its slot, service time and deadline.

use std::future::{Future, pending};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::HeaderMap;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, sleep, timeout_at};

use super::ledger::RequestIds;
use super::state::Shared;
use super::stats::Refusal;
use crate::headers::{CALLER_ID, DEADLINE, KEY, REQUEST_ID, text};

/// Running request that occupies a slot.
///
/// It counts as cancelled when it is dropped without a call of [`Execution::finish`].
pub(super) struct Execution {
    shared: Arc<Shared>,
    request_ids: RequestIds,
    finished: bool,
    /// Deadline set by the caller.
    pub(super) deadline: Option<Instant>,
    _slot: OwnedSemaphorePermit,
}

impl Execution {
    /// Waits for a slot and counts the start of an execution.
    pub(super) async fn start(shared: &Arc<Shared>, headers: &HeaderMap) -> Result<Self, Refusal> {
        let deadline = deadline(headers)?;
        let slot = match shared.slots.clone().try_acquire_owned() {
            Ok(slot) => slot,
            Err(_) => wait_for_slot(shared, deadline).await?,
        };
        let request_ids = request_ids(headers);
        shared.count_start(&request_ids);
        Ok(Self {
            shared: shared.clone(),
            request_ids,
            finished: false,
            deadline,
            _slot: slot,
        })
    }

    /// Returns the request id of the caller, or else that of the node.
    pub(super) fn id(&self) -> &str {
        let id = self
            .request_ids
            .caller
            .as_ref()
            .or(self.request_ids.id.as_ref());
        id.map_or("", String::as_str)
    }

    pub(super) fn key(&self) -> Option<&str> {
        self.request_ids.key.as_deref()
    }

    /// Waits for the service time, or forever when the `hang` fault is active.
    pub(super) async fn run(&self) {
        match self.shared.service_time() {
            _ if self.shared.faults().hang => pending().await,
            time if time.is_zero() => {}
            time => sleep(time).await,
        }
    }

    /// Counts the execution as finished.
    pub(super) fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        self.shared.count_end(&self.request_ids, self.finished);
    }
}

/// Place in the queue, released on drop, for example when the caller disconnects.
struct QueuePlace(Arc<Shared>);

impl Drop for QueuePlace {
    fn drop(&mut self) {
        self.0.leave_queue();
    }
}

async fn wait_for_slot(
    shared: &Arc<Shared>,
    deadline: Option<Instant>,
) -> Result<OwnedSemaphorePermit, Refusal> {
    if !shared.enter_queue() {
        return Err(Refusal::Slots);
    }
    let _queue_place = QueuePlace(shared.clone());
    let slot = shared.slots.clone().acquire_owned();
    let slot = before_deadline(deadline, slot)
        .await
        .ok_or(Refusal::Deadline)?;
    slot.map_err(|_| Refusal::Slots)
}

/// Returns the output of `future`, or `None` when the deadline passes first.
pub(super) async fn before_deadline<F: Future>(
    deadline: Option<Instant>,
    future: F,
) -> Option<F::Output> {
    match deadline {
        Some(at) => timeout_at(at, future).await.ok(),
        None => Some(future.await),
    }
}

fn request_ids(headers: &HeaderMap) -> RequestIds {
    RequestIds {
        id: text(headers, REQUEST_ID),
        caller: text(headers, CALLER_ID),
        key: text(headers, KEY),
    }
}

/// Converts the deadline header to an instant of this process's clock.
///
/// # Errors
///
/// Returns [`Refusal::Deadline`] when the deadline has passed.
fn deadline(headers: &HeaderMap) -> Result<Option<Instant>, Refusal> {
    let ms = text(headers, DEADLINE).and_then(|t| t.parse().ok());
    let Some(ms) = ms else { return Ok(None) };
    let at = UNIX_EPOCH.checked_add(Duration::from_millis(ms));
    let remaining = at.map(|at| at.duration_since(SystemTime::now()));
    match remaining {
        Some(Ok(remaining)) => Ok(Instant::now().checked_add(remaining)),
        Some(Err(_)) => Err(Refusal::Deadline),
        None => Ok(None),
    }
}
