//! Remembers held requests outside the mesh, for a time at which all of its processes are gone.

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

/// The writes that wait at most; a node writes one a second for each held request while backend
/// servers go on ending under it.
const QUEUE_CAPACITY: usize = 16;

/// What is to be written.
#[derive(Debug)]
enum StoreUpdate {
    Remember(Memo),
    Forget(Vec<RequestPrint>),
}

/// Writes what must last, one note after the other, however often that has to be tried.
#[derive(Debug)]
pub(super) struct QuarantineStore {
    updates: mpsc::Sender<StoreUpdate>,
    writer: JoinHandle<()>,
    /// At how many ends each request was when it was written.
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

    /// Hands a note to the writer; returns whether it had room.
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
    /// Writes the held requests whose ends this node has seen, and drops those that are over.
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

    /// Takes over what was remembered. Whoever is listed first drops what is over: those who
    /// wrote it may be gone.
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
