//! Persistent copy of the quarantined requests outside the mesh, for the case that all of its
//! processes are gone at once.

use std::collections::BTreeMap;
use std::sync::Arc;

use slog::warn;
use swiftcart_core::{Instant, Memo, RequestPrint};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::control_loop::Control;
use super::finder::retry_until_ok;
use crate::edge::Directory;
use crate::logging::{Event, unix_ms};
use crate::shared::Shared;

/// Maximum number of queued writes. A node writes once per second for each held request while
/// backend servers keep crashing on it.
const QUEUE_CAPACITY: usize = 16;

/// Write to the directory.
#[derive(Debug)]
enum StoreUpdate {
    Remember(Memo),
    Forget(Vec<RequestPrint>),
}

/// Background task that applies one update at a time and retries until each one succeeds.
#[derive(Debug)]
pub(super) struct QuarantineStore {
    updates: mpsc::Sender<StoreUpdate>,
    writer: JoinHandle<()>,
    /// Number of crashes of each request when it was last written.
    written: BTreeMap<RequestPrint, usize>,
}

impl QuarantineStore {
    pub(super) fn start(shared: &Arc<Shared>, directory: Arc<dyn Directory>) -> Self {
        let (updates, mut queued) = mpsc::channel(QUEUE_CAPACITY);
        let logger = shared.logger.clone();
        let writer = async move {
            while let Some(update) = queued.recv().await {
                retry_until_ok(&logger, || match &update {
                    StoreUpdate::Remember(memo) => directory.remember(memo.clone()),
                    StoreUpdate::Forget(requests) => directory.forget(requests.clone()),
                })
                .await;
            }
        };
        Self {
            updates,
            writer: tokio::spawn(writer),
            written: BTreeMap::new(),
        }
    }

    /// Queues an update. Returns `false` if the queue is full.
    fn write(&self, update: StoreUpdate) -> bool {
        self.updates.try_send(update).is_ok()
    }
}

impl Drop for QuarantineStore {
    fn drop(&mut self) {
        self.writer.abort();
    }
}

impl Control {
    /// Writes the held requests whose crashes this node has observed, and removes expired ones.
    pub(super) fn persist_quarantine(&mut self, now: Instant) {
        let Some(quarantine_store) = &mut self.quarantine_store else {
            return;
        };
        let suspects = &self.shared.suspects;
        let held = suspects.with(|quarantine| quarantine.all_held(now));
        for request in held.into_keys() {
            let ends = suspects.ends(request);
            if quarantine_store.written.get(&request) == Some(&ends) {
                continue;
            }
            let memo = suspects.with(|quarantine| quarantine.memo(now, unix_ms(), request));
            if memo.is_some_and(|memo| quarantine_store.write(StoreUpdate::Remember(memo))) {
                quarantine_store.written.insert(request, ends);
            }
        }
        let is_expired = |request: &RequestPrint| suspects.ends(*request) == 0;
        let expired: Vec<RequestPrint> = quarantine_store
            .written
            .keys()
            .copied()
            .filter(is_expired)
            .collect();
        if !expired.is_empty() && quarantine_store.write(StoreUpdate::Forget(expired.clone())) {
            quarantine_store
                .written
                .retain(|request, _| !expired.contains(request));
        }
    }

    /// Restores the stored quarantine. Any node that reads expired entries removes them, since the
    /// nodes that wrote them may be gone.
    pub(super) fn restore_quarantine(&mut self, now: Instant, memos: &[Memo]) {
        let unix_ms = unix_ms();
        let mut expired = Vec::new();
        for memo in memos {
            match memo.findings(unix_ms) {
                Some(findings) => self
                    .shared
                    .suspects
                    .with(|quarantine| quarantine.hear(now, &findings)),
                None => expired.push(memo.request),
            }
        }
        let quarantine_store = self
            .quarantine_store
            .as_ref()
            .filter(|_| !expired.is_empty());
        if quarantine_store
            .is_some_and(|quarantine_store| !quarantine_store.write(StoreUpdate::Forget(expired)))
        {
            warn!(self.shared.logger, ""; "event" => Event::Failed, "part" => "memory");
        }
    }
}
