//! What a node knows of the identity of the backend server beside it.

use http::HeaderValue;
use swiftcart_core::{Announced, AnnouncementOutcome, Instant, Release, StartTime, Succession};

use crate::logging::unix_ms;

/// Names one process of a backend server: its id, and its start where it tells that.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The id by which the backend server calls itself, as it is told in a header.
    pub id: HeaderValue,
    /// When the process started.
    pub start: Option<StartTime>,
    /// The release of its program.
    pub release: Release,
}

/// What an announcement says of the process besides its place in the order of all of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Process {
    /// The release of its program.
    pub release: Release,
    /// When it has warmed up.
    pub warm: Instant,
}

impl Identity {
    /// Tells whether this is a later process of the backend server `old`, whose process is gone
    /// then.
    #[must_use]
    pub fn succeeds(&self, old: &Self) -> bool {
        self.id == old.id && self.start != old.start
    }
}

/// Holds which backend server announced itself last, and which ones left.
#[derive(Debug, Default, Clone)]
pub struct Registration {
    succession: Succession,
    identity: Option<Identity>,
    warm: Instant,
    /// Whether its process said in an answer that it leaves, whatever it announces.
    leaving: bool,
}

impl Registration {
    /// Takes an announcement; `None` when its id cannot be passed on in a header.
    pub fn on_announcement(
        &mut self,
        now: Instant,
        said: Announced<'_>,
        process: Process,
    ) -> Option<AnnouncementOutcome> {
        let id = HeaderValue::from_str(said.id).ok()?;
        let heard = self.succession.on_announcement(now, said);
        if heard.is_accepted() {
            let start = said.start;
            let release = process.release;
            self.identity = Some(Identity { id, start, release });
            self.warm = process.warm;
            self.leaving &= !heard.is_new_process();
        }
        Some(heard)
    }

    /// Notes that the backend server `id` has left; returns whether it was the current one.
    pub fn leave(&mut self, now: Instant, id: &str, start: Option<StartTime>) -> bool {
        let left = self.succession.leave(now, id, start, StartTime(unix_ms()));
        if left {
            self.identity = None;
            self.leaving = false;
        }
        left
    }

    /// Notes that the process `identity` said in an answer that it leaves; returns whether it is the
    /// current one and that is news.
    pub fn leaves(&mut self, identity: Option<&Identity>) -> bool {
        let news = self.identity.as_ref() == identity && !self.leaving;
        self.leaving |= news;
        news
    }

    /// Notes that nothing is announced any more. One that does not name itself is another one when it
    /// comes back.
    pub fn withdrawn(&mut self) {
        self.leaving &= self.identity.is_some();
    }

    /// Tells whether its process said in an answer that it leaves.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the identity of the backend server whose announcement counted last.
    #[must_use]
    pub fn identity(&self) -> Option<&Identity> {
        self.identity.as_ref()
    }

    /// Tells whether it has warmed up, as it said.
    #[must_use]
    pub fn is_warm(&self, now: Instant) -> bool {
        now >= self.warm
    }

    /// Returns its id.
    #[must_use]
    pub fn id(&self) -> Option<&str> {
        self.succession.id()
    }
}
