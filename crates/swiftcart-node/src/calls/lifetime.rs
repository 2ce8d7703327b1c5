//! Lifetime of one connection, shared by all parts that could end it.

use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Poll, ready};
use std::time::Duration;

use swiftcart_core::{ConnEnd, ConnRequests, Deadline, HeadKind};
use tokio::sync::Notify;
use tokio::task::coop::unconstrained;
use tokio::time::{Instant, Sleep, sleep_until};

use super::answer::Answer;

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

    /// Records that the response to the request that was taken last is sent, and how long that may take.
    pub fn send(&self, response: &Answer) {
        let now = self.now();
        let due = response.due().map_or(now, |due| self.time(due));
        let end = Deadline::at_instant(due).response_end(now, response.is_complete());
        self.lock().send_by(end);
    }

    /// Waits until the connection ends by itself; see [`ConnRequests::ends_at`].
    ///
    /// The state changes only while the connection is polled, so this is polled after the connection and
    /// needs no notification.
    pub async fn end(&self, idle_time: Option<Duration>) -> ConnEnd {
        let mut timer: Option<Pin<Box<Sleep>>> = None;
        poll_fn(|cx| {
            loop {
                let Some((at, end)) = self.lock().ends_at(idle_time) else {
                    return Poll::Pending;
                };
                if at <= self.now() {
                    return Poll::Ready(end);
                }
                let at = self.0.opened + at.elapsed();
                let timer = timer.get_or_insert_with(|| Box::pin(sleep_until(at)));
                if timer.deadline() > at || timer.is_elapsed() {
                    timer.as_mut().reset(at);
                }
                // The end is seen also by a task that has used up its time.
                ready!(pin!(unconstrained(timer.as_mut())).poll(cx));
            }
        })
        .await
    }

    fn now(&self) -> swiftcart_core::Instant {
        self.time(Instant::now())
    }

    /// Converts an instant to the clock of the requests.
    fn time(&self, instant: Instant) -> swiftcart_core::Instant {
        swiftcart_core::Instant::new(instant.saturating_duration_since(self.0.opened))
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
