//! One execution: its slot, its time, its deadline and its end.

use std::future::{Future, pending};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::HeaderMap;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, sleep, timeout_at};

use super::ledger::Names;
use super::state::Shared;
use super::stats::Refusal;
use crate::headers::{CALLER_ID, DEADLINE, KEY, REQUEST_ID, text};

/// Holds a slot; dropped before [`Work::finish`] it counts as cancelled.
pub(super) struct Work {
    shared: Arc<Shared>,
    names: Names,
    finished: bool,
    /// The end of the caller's patience.
    pub(super) deadline: Option<Instant>,
    _slot: OwnedSemaphorePermit,
}

impl Work {
    /// Waits for a slot and counts the start of an execution.
    pub(super) async fn start(shared: &Arc<Shared>, headers: &HeaderMap) -> Result<Self, Refusal> {
        let deadline = deadline(headers)?;
        let slot = match shared.slots.clone().try_acquire_owned() {
            Ok(slot) => slot,
            Err(_) => queue(shared, deadline).await?,
        };
        let names = names(headers);
        shared.count_start(&names);
        Ok(Self {
            shared: shared.clone(),
            names,
            finished: false,
            deadline,
            _slot: slot,
        })
    }

    /// Returns the id that the answer names: the caller's, else the node's.
    pub(super) fn id(&self) -> &str {
        let id = self.names.caller.as_ref().or(self.names.id.as_ref());
        id.map_or("", String::as_str)
    }

    pub(super) fn key(&self) -> Option<&str> {
        self.names.key.as_deref()
    }

    /// Takes the service time, or all time when a fault says so.
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

impl Drop for Work {
    fn drop(&mut self) {
        self.shared.count_end(&self.names, self.finished);
    }
}

/// Holds a place in the queue; a caller that leaves gives it up.
struct Place(Arc<Shared>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.leave_queue();
    }
}

async fn queue(
    shared: &Arc<Shared>,
    deadline: Option<Instant>,
) -> Result<OwnedSemaphorePermit, Refusal> {
    if !shared.enter_queue() {
        return Err(Refusal::Slots);
    }
    let _place = Place(shared.clone());
    let slot = shared.slots.clone().acquire_owned();
    let slot = within(deadline, slot).await.ok_or(Refusal::Deadline)?;
    slot.map_err(|_| Refusal::Slots)
}

/// Completes with the output of `work`, or with `None` when the deadline passes first.
pub(super) async fn within<F: Future>(deadline: Option<Instant>, work: F) -> Option<F::Output> {
    match deadline {
        Some(at) => timeout_at(at, work).await.ok(),
        None => Some(work.await),
    }
}

fn names(headers: &HeaderMap) -> Names {
    Names {
        id: text(headers, REQUEST_ID),
        caller: text(headers, CALLER_ID),
        key: text(headers, KEY),
    }
}

/// Returns the deadline on this process's clock; one that has passed is a refusal.
fn deadline(headers: &HeaderMap) -> Result<Option<Instant>, Refusal> {
    let ms = text(headers, DEADLINE).and_then(|t| t.parse().ok());
    let Some(ms) = ms else { return Ok(None) };
    let at = UNIX_EPOCH.checked_add(Duration::from_millis(ms));
    let left = at.map(|at| at.duration_since(SystemTime::now()));
    match left {
        Some(Ok(left)) => Ok(Instant::now().checked_add(left)),
        Some(Err(_)) => Err(Refusal::Deadline),
        None => Ok(None),
    }
}
