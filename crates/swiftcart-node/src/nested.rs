//! Running requests of the local backend server, from which its nested calls get their rank.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use swiftcart_core::{Deadline, ParentId, ParentRank, RunningRequests};

/// Running requests of the local backend server, which the guard records and the ingress looks up.
#[derive(Debug, Default)]
pub struct SharedRunningRequests {
    requests: Mutex<RunningRequests>,
}

/// Record of a running request, which is removed when this value is dropped.
#[derive(Debug)]
pub struct RunningRequest {
    running: Arc<SharedRunningRequests>,
    id: ParentId,
}

impl SharedRunningRequests {
    /// Records a request that is handed to the backend server with the deadline `due`.
    ///
    /// Returns `None` if the maximum number of requests is recorded already.
    #[must_use]
    pub fn start(self: &Arc<Self>, due: Deadline, rank: ParentRank) -> Option<RunningRequest> {
        let id = self.lock().start(due, rank)?;
        Some(RunningRequest {
            running: Arc::clone(self),
            id,
        })
    }

    /// Returns the rank of the running request that a nested call with the deadline `due` serves.
    #[must_use]
    pub fn parent(&self, due: Deadline) -> Option<ParentRank> {
        self.lock().parent(due)
    }

    fn lock(&self) -> MutexGuard<'_, RunningRequests> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.running.lock().end(self.id);
    }
}
