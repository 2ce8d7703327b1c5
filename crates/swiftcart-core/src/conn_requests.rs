//! Requests of one connection from a caller: which responses are owed, and when the connection may
//! end.
//!
//! A caller may send further requests before the first one is answered, and the node starts them
//! early. Stop, refusals and the idle timer all end connections; the decision is made here, so that
//! none of them drops a request that arrived.

use std::time::Duration;

use crate::Instant;

/// What a request head says about the connection.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HeadKind {
    /// No body follows, and the connection stays open.
    #[default]
    Plain,
    /// A body follows.
    WithBody,
    /// The caller sends no further request on the connection.
    Last,
}

/// Reason why a connection ends at a certain time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ConnEnd {
    /// A response could not be passed on in time.
    Overdue,
    /// The connection was idle for too long.
    Idle,
}

/// State of a caller's connection, for the decision when it ends.
///
/// Requests are numbered from 0 in the order in which they arrive. They are taken and answered in
/// this order.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{ConnRequests, HeadKind, Instant};
///
/// let now = Instant::from_millis(0);
/// let mut requests = ConnRequests::default();
/// requests.arrive(HeadKind::Plain);
/// requests.arrive(HeadKind::Plain);
/// requests.take();
/// // The second request is at work, so the first response cannot close the connection.
/// requests.stop();
/// assert!(!requests.closes_after_response(true));
/// requests.finish(now);
/// requests.take();
/// assert!(requests.closes_after_response(true));
/// ```
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ConnRequests {
    /// Number of requests whose head has arrived.
    arrived: u64,
    /// Number of requests that are being answered or have been.
    taken: u64,
    /// Number of requests whose response has been sent to its end.
    finished: u64,
    /// Number of requests that are answered before the connection closes, once it is decided.
    last: Option<u64>,
    /// Number of requests up to the last one with a body.
    with_body: u64,
    /// `true` while a part of a head has arrived.
    partial: bool,
    /// Time of the end of the last response.
    finished_at: Option<Instant>,
    /// Time by which the response that is being sent must have ended.
    send_by: Option<Instant>,
}

impl ConnRequests {
    /// Records that a whole head has arrived, and returns the number of its request.
    ///
    /// Returns `None` if the connection closes before the request: the caller sends it again.
    pub fn arrive(&mut self, kind: HeadKind) -> Option<u64> {
        self.partial = false;
        if self.last.is_some() {
            return None;
        }
        let number = self.arrived;
        self.arrived += 1;
        match kind {
            HeadKind::Plain => {}
            HeadKind::WithBody => self.with_body = self.arrived,
            HeadKind::Last => self.last = Some(self.arrived),
        }
        Some(number)
    }

    /// Records that a part of a head has arrived.
    pub const fn arrive_partly(&mut self) {
        self.partial = true;
    }

    /// Returns `true` if the request that arrived last may start before those ahead of it are answered.
    ///
    /// A request behind a body may not: the connection ends if the body is not read to its end.
    #[must_use]
    pub const fn may_start(&self, number: u64) -> bool {
        number > self.finished && self.finished >= self.with_body
    }

    /// Records that the next request is being answered, and returns its number.
    pub fn take(&mut self) -> u64 {
        let number = self.taken;
        self.taken += 1;
        self.arrived = self.arrived.max(self.taken);
        self.partial = false;
        number
    }

    /// Decides whether the connection closes after the response to the request that was taken last.
    ///
    /// `preferred` is `true` if the connection should close as soon as no request is behind.
    pub fn closes_after_response(&mut self, preferred: bool) -> bool {
        match self.last {
            Some(last) => self.taken >= last,
            None if preferred && self.arrived == self.taken => {
                self.last = Some(self.taken);
                true
            }
            None => false,
        }
    }

    /// Records that the response to the request that was taken last is sent, and ends by `at`.
    pub const fn send_by(&mut self, at: Instant) {
        self.send_by = Some(at);
    }

    /// Records that a response has been sent to its end.
    pub const fn finish(&mut self, now: Instant) {
        self.finished += 1;
        self.send_by = None;
        self.finished_at = Some(now);
    }

    /// Answers the requests that have arrived and no later ones.
    pub const fn stop(&mut self) {
        if self.last.is_none() {
            self.last = Some(self.arrived);
        }
    }

    /// Returns `true` if no request waits behind the one that is being answered. The connection may
    /// then be told to end after its response.
    #[must_use]
    pub const fn none_waits(&self) -> bool {
        self.arrived == self.taken
    }

    /// Returns the number of requests that have arrived and have no whole response.
    #[must_use]
    pub const fn owed(&self) -> u64 {
        self.arrived - self.finished
    }

    /// Returns the time at which the connection ends unless something happens before, and the reason.
    ///
    /// A connection is idle while no request is owed a response, no head is arriving, and something was
    /// answered. It ends when it has been idle for `idle_time`, if there is such a time.
    #[must_use]
    pub fn ends_at(&self, idle_time: Option<Duration>) -> Option<(Instant, ConnEnd)> {
        if let Some(at) = self.send_by {
            return Some((at, ConnEnd::Overdue));
        }
        let is_idle = self.owed() == 0 && !self.partial;
        let since = self.finished_at.filter(|_| is_idle)?;
        Some((since + idle_time?, ConnEnd::Idle))
    }
}
