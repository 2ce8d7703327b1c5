//! Identity of the local backend server.

use http::HeaderValue;
use swiftcart_core::{
    Announced, AnnouncementOutcome, Departure, Instant, Release, StartTime, Succession,
};

use crate::logging::unix_ms;

/// Identity of one process of a backend server: its id, and its start time if it is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Id from the announcements of the backend server, as a header value.
    pub id: HeaderValue,
    /// Start time of the process, if it is announced.
    pub start: Option<StartTime>,
    /// Release of the program.
    pub release: Release,
}

/// Properties of an announced process that do not affect the order of announcements.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Process {
    /// Release of the program.
    pub release: Release,
    /// Time at which the warm-up ends.
    pub warm: Instant,
    /// `true` if the backend server finishes its requests and takes no new ones.
    pub draining: bool,
}

impl Identity {
    /// Returns `true` if this is another process of the same backend server as `old`.
    ///
    /// The process `old` has ended in this case.
    #[must_use]
    pub fn succeeds(&self, old: &Self) -> bool {
        self.id == old.id && self.start != old.start
    }
}

/// Backend server that announced itself last, and the backend servers that have left.
#[derive(Debug, Default, Clone)]
pub struct Registration {
    succession: Succession,
    identity: Option<Identity>,
    warm: Instant,
    /// Set once the process has signalled in a response that it is leaving.
    ///
    /// Later announcements of the same process do not reset it.
    leaving: bool,
}

impl Registration {
    /// Applies an announcement. Returns `None` if its id cannot be sent as a header value.
    pub fn on_announcement(
        &mut self,
        now: Instant,
        announced: Announced<'_>,
        process: Process,
    ) -> Option<AnnouncementOutcome> {
        let id = HeaderValue::from_str(announced.id).ok()?;
        let outcome = self.succession.on_announcement(now, announced);
        if outcome.is_accepted() {
            let start = announced.start;
            let release = process.release;
            self.identity = Some(Identity { id, start, release });
            self.warm = process.warm;
            self.succession.set_draining(now, process.draining);
            self.leaving &= !outcome.is_new_process();
        }
        Some(outcome)
    }

    /// Records that the backend server `id` has left. Returns `true` if it was the current one.
    pub fn leave(&mut self, now: Instant, id: &str, start: Option<StartTime>) -> bool {
        let left = self.succession.leave(now, id, start, StartTime(unix_ms()));
        if left {
            self.identity = None;
            self.leaving = false;
        }
        left
    }

    /// Returns the departures that outlive this process, the latest one first.
    ///
    /// `unix_ms` is the wall clock at `now`.
    #[must_use]
    pub fn departures(&self, now: Instant, unix_ms: u64) -> Vec<Departure> {
        self.succession.departures(now, unix_ms)
    }

    /// Restores the departures that an earlier process of the node acknowledged.
    pub fn restore(&mut self, now: Instant, unix_ms: u64, departures: &[Departure]) {
        self.succession.restore(now, unix_ms, departures);
    }

    /// Records that the process `identity` has signalled in a response that it is leaving.
    ///
    /// Returns `true` if it is the current process and had not signalled this before.
    pub fn leaves(&mut self, identity: Option<&Identity>) -> bool {
        let is_new = self.identity.as_ref() == identity && !self.leaving;
        self.leaving |= is_new;
        is_new
    }

    /// Records that the announcement has been withdrawn.
    ///
    /// A backend server that announces itself without an id counts as another process when it is
    /// announced again.
    pub fn withdrawn(&mut self) {
        self.leaving &= self.identity.is_some();
    }

    /// Returns `true` if the current process has signalled in a response that it is leaving.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the identity from the last accepted announcement.
    #[must_use]
    pub fn identity(&self) -> Option<&Identity> {
        self.identity.as_ref()
    }

    /// Returns `true` if the announced warm-up time has passed.
    #[must_use]
    pub fn is_warm(&self, now: Instant) -> bool {
        now >= self.warm
    }

    /// Returns the id of the current backend server.
    #[must_use]
    pub fn id(&self) -> Option<&str> {
        self.succession.id()
    }
}
