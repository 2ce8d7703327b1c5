//! Running requests of the local backend server, by which its nested calls are ranked.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use swiftcart_core::{Deadline, ParentId, ParentRank, RunningRequests};

/// Running requests of the local backend server, which the guard records and the ingress looks up.
#[derive(Debug, Default)]
pub struct NestedCalls {
    running: Mutex<RunningRequests>,
}

/// Recorded request, removed when it is dropped.
#[derive(Debug)]
pub struct RunningParent {
    calls: Arc<NestedCalls>,
    id: ParentId,
}

impl NestedCalls {
    /// Records a request that is handed to the backend server with the deadline `due`.
    ///
    /// Returns `None` if too many requests are running.
    #[must_use]
    pub fn start(self: &Arc<Self>, due: Deadline, rank: ParentRank) -> Option<RunningParent> {
        let id = self.lock().start(due, rank)?;
        Some(RunningParent {
            calls: Arc::clone(self),
            id,
        })
    }

    /// Returns the rank of the running request that a nested call with the deadline `due` serves.
    #[must_use]
    pub fn parent(&self, due: Deadline) -> Option<ParentRank> {
        self.lock().parent(due)
    }

    fn lock(&self) -> MutexGuard<'_, RunningRequests> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for RunningParent {
    fn drop(&mut self) {
        self.calls.lock().end(self.id);
    }
}
