//! Remembers held requests outside the mesh, for a time at which all of its processes are gone.

use std::collections::BTreeMap;
use std::sync::Arc;

use slog::warn;
use swiftcart_core::{Instant, QuarantineRecord, RequestDigest};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::control_loop::Control;
use super::finder::persist;
use crate::edge::Directory;
use crate::logging::{Event, unix_ms};
use crate::shared::Shared;

/// The writes that wait at most; a node writes one a second for each held request while backend
/// servers go on ending under it.
const WAITING: usize = 16;

/// What is to be written.
#[derive(Debug)]
enum Note {
    Remember(QuarantineRecord),
    Forget(Vec<RequestDigest>),
}

/// Writes what must last, one note after the other, however often that has to be tried.
#[derive(Debug)]
pub(super) struct Memory {
    notes: mpsc::Sender<Note>,
    writer: JoinHandle<()>,
    /// At how many ends each request was when it was written.
    written: BTreeMap<RequestDigest, usize>,
}

impl Memory {
    pub(super) fn start(shared: &Arc<Shared>, directory: Arc<dyn Directory>) -> Self {
        let (notes, mut waiting) = mpsc::channel(WAITING);
        let logger = shared.logger.clone();
        let writer = async move {
            while let Some(note) = waiting.recv().await {
                persist(&logger, || match &note {
                    Note::Remember(record) => directory.remember(record.clone()),
                    Note::Forget(requests) => directory.forget(requests.clone()),
                })
                .await;
            }
        };
        Self {
            notes,
            writer: tokio::spawn(writer),
            written: BTreeMap::new(),
        }
    }

    /// Hands a note to the writer; returns whether it had room.
    fn write(&self, note: Note) -> bool {
        self.notes.try_send(note).is_ok()
    }
}

impl Drop for Memory {
    fn drop(&mut self) {
        self.writer.abort();
    }
}

impl Control {
    /// Writes the held requests whose ends this node has seen, and drops those that are over.
    pub(super) fn remember(&mut self, now: Instant) {
        let Some(memory) = &mut self.memory else {
            return;
        };
        let suspects = &self.shared.suspects;
        let held = suspects.with(|quarantine| quarantine.all_held(now));
        for request in held.into_keys() {
            let crash_count = suspects.crash_count(request);
            if memory.written.get(&request) == Some(&crash_count) {
                continue;
            }
            let record = suspects.with(|quarantine| quarantine.record(now, unix_ms(), request));
            if record.is_some_and(|record| memory.write(Note::Remember(record))) {
                memory.written.insert(request, crash_count);
            }
        }
        let is_over = |request: &RequestDigest| suspects.crash_count(*request) == 0;
        let over: Vec<RequestDigest> = memory.written.keys().copied().filter(is_over).collect();
        if !over.is_empty() && memory.write(Note::Forget(over.clone())) {
            memory.written.retain(|request, _| !over.contains(request));
        }
    }

    /// Takes over what was remembered. Whoever is listed first drops what is over: those who
    /// wrote it may be gone.
    pub(super) fn recall(&mut self, now: Instant, memos: &[QuarantineRecord]) {
        let unix_ms = unix_ms();
        let mut over = Vec::new();
        for record in memos {
            match record.findings(unix_ms) {
                Some(findings) => self
                    .shared
                    .suspects
                    .with(|quarantine| quarantine.merge(now, &findings)),
                None => over.push(record.request),
            }
        }
        let memory = self.memory.as_ref().filter(|_| !over.is_empty());
        if memory.is_some_and(|memory| !memory.write(Note::Forget(over))) {
            warn!(self.shared.logger, ""; "event" => Event::Failed, "part" => "memory");
        }
    }
}
