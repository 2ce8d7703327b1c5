//! Persistent copy of the quarantined requests outside the mesh, for the case that all of its
//! processes are gone at once.

use std::collections::BTreeMap;
use std::sync::Arc;

use slog::warn;
use swiftcart_core::{Instant, QuarantineRecord, RequestDigest};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::control_loop::Control;
use super::finder::retry_until_ok;
use crate::edge::Directory;
use crate::logging::{Event, unix_ms};
use crate::shared::Shared;

/// Maximum number of queued writes. A node writes once per second for each quarantined request
/// while that request keeps crashing backend servers.
const QUEUE_CAPACITY: usize = 16;

/// Write to the directory.
#[derive(Debug)]
enum StoreUpdate {
    Remember(QuarantineRecord),
    Forget(Vec<RequestDigest>),
}

/// Background task that applies one update at a time and retries until each one succeeds.
#[derive(Debug)]
pub(super) struct QuarantineStore {
    updates: mpsc::Sender<StoreUpdate>,
    writer: JoinHandle<()>,
    /// Number of crashes of each request when it was last written.
    written: BTreeMap<RequestDigest, usize>,
}

impl QuarantineStore {
    pub(super) fn start(shared: &Arc<Shared>, directory: Arc<dyn Directory>) -> Self {
        let (updates, mut queued) = mpsc::channel(QUEUE_CAPACITY);
        let logger = shared.logger.clone();
        let writer = async move {
            while let Some(update) = queued.recv().await {
                retry_until_ok(&logger, || match &update {
                    StoreUpdate::Remember(record) => directory.remember(record.clone()),
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
    /// Writes the quarantined requests whose crashes this node has observed, and removes expired
    /// ones.
    pub(super) fn persist_quarantine(&mut self, now: Instant) {
        let Some(quarantine_store) = &mut self.quarantine_store else {
            return;
        };
        let suspects = &self.shared.suspects;
        let held = suspects.with(|quarantine| quarantine.all_held(now));
        for request in held.into_keys() {
            let crash_count = suspects.crash_count(request);
            if quarantine_store.written.get(&request) == Some(&crash_count) {
                continue;
            }
            let record = suspects.with(|quarantine| quarantine.record(now, unix_ms(), request));
            if record.is_some_and(|record| quarantine_store.write(StoreUpdate::Remember(record))) {
                quarantine_store.written.insert(request, crash_count);
            }
        }
        let is_expired = |request: &RequestDigest| suspects.crash_count(*request) == 0;
        let expired: Vec<RequestDigest> = quarantine_store
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
    pub(super) fn restore_quarantine(&mut self, now: Instant, memos: &[QuarantineRecord]) {
        let unix_ms = unix_ms();
        let mut expired = Vec::new();
        for record in memos {
            match record.findings(unix_ms) {
                Some(findings) => self
                    .shared
                    .suspects
                    .with(|quarantine| quarantine.merge(now, &findings)),
                None => expired.push(record.request),
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
