//! Lifetime of one connection, shared by all parts that could end it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftcart_core::{ConnRequests, HeadKind};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// Requests of one connection. The connection ends only by what is decided here.
#[derive(Debug, Clone)]
pub struct Lifetime(Arc<Inner>);

/// Number of a request on its connection, in the order of arrival from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

#[derive(Debug)]
struct Inner {
    /// Start of the clock of the requests.
    opened: Instant,
    requests: Mutex<ConnRequests>,
    /// Notified when a request is taken or its response has ended.
    changed: Notify,
}

impl Lifetime {
    /// Creates the state of a connection without requests.
    #[must_use]
    pub fn new() -> Self {
        Self(Arc::new(Inner {
            opened: Instant::now(),
            requests: Mutex::default(),
            changed: Notify::new(),
        }))
    }

    /// Records that a whole head has arrived; see [`ConnRequests::arrive`].
    pub fn arrive(&self, kind: HeadKind) -> Option<u64> {
        self.lock().arrive(kind)
    }

    /// Records that a part of a head has arrived.
    pub fn arrive_partly(&self) {
        self.lock().arrive_partly();
    }

    /// Returns `true` if the request that arrived last may start early.
    #[must_use]
    pub fn may_start(&self, number: u64) -> bool {
        self.lock().may_start(number)
    }

    /// Records that the next request is being answered, and returns its number.
    pub fn take(&self) -> RequestNumber {
        let number = self.lock().take();
        self.0.changed.notify_waiters();
        RequestNumber(number)
    }

    /// Decides whether the connection closes after the response to the request that was taken last.
    pub fn closes_after_response(&self, preferred: bool) -> bool {
        self.lock().closes_after_response(preferred)
    }

    /// Returns a guard that records the end of the response when it is dropped.
    #[must_use]
    pub fn response(&self) -> ResponseEnd {
        ResponseEnd(self.clone())
    }

    /// Answers the requests that have arrived and no later ones.
    pub fn stop(&self) {
        self.lock().stop();
    }

    /// Returns the state of the requests.
    #[must_use]
    pub fn requests(&self) -> ConnRequests {
        *self.lock()
    }

    /// Waits until no request waits behind the one that is being answered.
    pub async fn none_waits(&self) {
        loop {
            let changed = self.0.changed.notified();
            if self.lock().none_waits() {
                return;
            }
            changed.await;
        }
    }

    /// Waits until the connection has been idle for `time` after a response.
    pub async fn idle(&self, time: Duration) {
        loop {
            let changed = self.0.changed.notified();
            let now = self.now();
            let idle_at = self.lock().idle_at(time);
            match idle_at {
                None => changed.await,
                Some(at) if at <= now => return,
                Some(at) => sleep(at.since(now)).await,
            }
        }
    }

    fn now(&self) -> swiftcart_core::Instant {
        swiftcart_core::Instant::new(self.0.opened.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, ConnRequests> {
        let requests = self.0.requests.lock();
        requests.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records the end of a response when it is dropped.
#[derive(Debug)]
pub struct ResponseEnd(Lifetime);

impl Drop for ResponseEnd {
    fn drop(&mut self) {
        let Self(lifetime) = self;
        lifetime.lock().finish(lifetime.now());
        lifetime.0.changed.notify_waiters();
    }
}
