//! Which announcement of the backend server beside a node counts.
//!
//! A backend server may crash and start again under its id, and another one may take its
//! address. Announcements arrive late, repeated and out of order, so that one of a process
//! that is gone may come after the first one of its successor.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Instant;

/// Departures and replacements that are remembered; an instance replaces its backend server a
/// few times a day, and an announcement is late by seconds.
const MOST_RETIRED: usize = 16;

/// How long the newest start outlasts its last announcement: an earlier one that is heard after
/// that is taken for a new process whose clock was set back. Announcements are late by seconds,
/// by some 10 s when a cut held them up.
const MEMORY: Duration = Duration::from_secs(20);

/// Tells when a backend server started, in Unix milliseconds by the clock of its instance.
///
/// It names one process among all that announce themselves under one id; greater is newer.
///
/// # Examples
///
/// ```
/// use swiftcart_core::StartTime;
///
/// assert!(StartTime(1_700_000_000_000) < StartTime(1_700_000_004_500));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StartTime(pub u64);

/// Holds what orders one announcement among others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Announced<'a> {
    /// The backend server's own id.
    pub id: &'a str,
    /// When it started; `None` where backend servers do not tell.
    pub start: Option<StartTime>,
    /// Grows with each announcement of one process.
    pub seq: u64,
}

/// Tells whether an announcement counts, and why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AnnouncementOutcome {
    /// It is the newest one of the backend server that is known.
    Newer,
    /// It is the first one of another backend server.
    Replaced,
    /// It is the first one since the known backend server started again under its id.
    Restarted,
    /// It is older than one that came before.
    Late,
    /// Its process has left, or another backend server has taken its place.
    Retired,
    /// It lacks its start, which the backend servers here tell.
    MissingStart,
}

impl AnnouncementOutcome {
    /// Tells whether the announcement is in force from now on.
    ///
    /// # Examples
    ///
    /// ```
    /// use swiftcart_core::AnnouncementOutcome;
    ///
    /// assert!(AnnouncementOutcome::Restarted.is_accepted());
    /// assert!(!AnnouncementOutcome::Late.is_accepted());
    /// ```
    #[must_use]
    pub const fn is_accepted(self) -> bool {
        matches!(self, Self::Newer | Self::Replaced | Self::Restarted)
    }

    /// Tells whether what was learnt of the backend server before is void.
    #[must_use]
    pub const fn is_new_process(self) -> bool {
        matches!(self, Self::Replaced | Self::Restarted)
    }

    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Newer => "newer",
            Self::Replaced => "replaced",
            Self::Restarted => "restarted",
            Self::Late => "late",
            Self::Retired => "retired",
            Self::MissingStart => "unstarted",
        }
    }
}

/// Decides which announcements of the backend server beside one node count.
///
/// A greater start replaces a smaller one of the same id, whatever the numbers of their
/// announcements; a smaller one is late. Within one start the number decides, and so it does
/// for announcements without a start. A departure ends the start that it names and those
/// before it. Once a start was told, announcements without one name nobody.
///
/// A clock that was set back between two starts makes the later one look old. It counts when
/// nothing was heard of the newest start for 20 s.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Announced, AnnouncementOutcome, Instant, StartTime, Succession};
///
/// let now = Instant::from_millis(0);
/// let said = |start, seq| Announced { id: "i-1", start: Some(StartTime(start)), seq };
/// let mut succession = Succession::default();
/// assert_eq!(succession.on_announcement(now, said(1_000, 7)), AnnouncementOutcome::Replaced);
/// assert_eq!(succession.on_announcement(now, said(9_000, 1)), AnnouncementOutcome::Restarted);
/// assert_eq!(succession.on_announcement(now, said(1_000, 8)), AnnouncementOutcome::Late);
/// assert!(!succession.leave(now, "i-1", Some(StartTime(1_000)), StartTime(9_500)));
/// assert!(succession.leave(now, "i-1", Some(StartTime(9_000)), StartTime(9_500)));
/// assert_eq!(succession.on_announcement(now, said(9_000, 2)), AnnouncementOutcome::Retired);
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Succession {
    current: Option<Current>,
    retired: VecDeque<Retired>,
    /// The start that counted last, and when it was last announced.
    newest: Option<(StartTime, Instant)>,
}

/// The backend server whose announcement counted last.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Current {
    id: String,
    start: Option<StartTime>,
    seq: u64,
    heard: Instant,
}

/// A backend server that has left or was replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Retired {
    id: String,
    /// The start that ended; earlier ones ended before.
    until: Option<StartTime>,
    at: Instant,
}

impl Succession {
    /// Takes an announcement.
    pub fn on_announcement(&mut self, now: Instant, said: Announced<'_>) -> AnnouncementOutcome {
        let heard = self.judge(now, said);
        match heard {
            AnnouncementOutcome::Newer | AnnouncementOutcome::Restarted => self.renew(now, said),
            AnnouncementOutcome::Replaced => self.replace(now, said),
            AnnouncementOutcome::Late
            | AnnouncementOutcome::Retired
            | AnnouncementOutcome::MissingStart => return heard,
        }
        self.newest = said.start.map(|start| (start, now)).or(self.newest);
        heard
    }

    /// Notes that the backend server `id` has left; returns whether it was the current one.
    ///
    /// The departure ends `start`, or without one whatever the id had started by `wall`, the
    /// time on the wall clock.
    pub fn leave(
        &mut self,
        now: Instant,
        id: &str,
        start: Option<StartTime>,
        wall: StartTime,
    ) -> bool {
        let current = self.current.as_ref().filter(|current| current.id == id);
        let until = match (start, current) {
            (Some(start), _) => Some(start),
            (None, Some(current)) => current.start,
            (None, None) => Some(wall),
        };
        let left = current.is_some_and(|current| current.start <= until);
        if left {
            self.current = None;
        }
        self.retire(now, id.into(), until);
        left
    }

    /// Returns the id of the backend server whose announcement counted last.
    #[must_use]
    pub fn id(&self) -> Option<&str> {
        self.current.as_ref().map(|current| current.id.as_str())
    }

    /// Returns when that backend server started, if it has told.
    #[must_use]
    pub fn start(&self) -> Option<StartTime> {
        self.current.as_ref().and_then(|current| current.start)
    }

    fn judge(&self, now: Instant, said: Announced<'_>) -> AnnouncementOutcome {
        let mut retired = self.retired.iter().filter(|gone| gone.id == said.id);
        match (&self.current, said.start) {
            _ if retired.any(|gone| gone.covers(now, said.start)) => AnnouncementOutcome::Retired,
            (_, None) if self.newest(now).is_some() => AnnouncementOutcome::MissingStart,
            (Some(current), start) if current.id == said.id && current.start == start => {
                current.judge(now, said)
            }
            (_, Some(start)) if self.newest(now).is_some_and(|newest| start < newest) => {
                AnnouncementOutcome::Late
            }
            (Some(current), _) if current.id == said.id => AnnouncementOutcome::Restarted,
            _ => AnnouncementOutcome::Replaced,
        }
    }

    /// Returns the newest start, unless nothing was heard of it for too long.
    fn newest(&self, now: Instant) -> Option<StartTime> {
        let (start, heard) = self.newest?;
        (now.since(heard) < MEMORY).then_some(start)
    }

    fn renew(&mut self, now: Instant, said: Announced<'_>) {
        self.current = Some(Current {
            id: said.id.into(),
            start: said.start,
            seq: said.seq,
            heard: now,
        });
    }

    fn replace(&mut self, now: Instant, said: Announced<'_>) {
        if let Some(old) = self.current.take() {
            self.retire(now, old.id, old.start);
        }
        self.renew(now, said);
    }

    fn retire(&mut self, now: Instant, id: String, until: Option<StartTime>) {
        let known = self.retired.iter().position(|gone| gone.id == id);
        let before = known.and_then(|at| self.retired.remove(at));
        self.retired.push_back(Retired {
            until: until.max(before.and_then(|gone| gone.until)),
            id,
            at: now,
        });
        if self.retired.len() > MOST_RETIRED {
            self.retired.pop_front();
        }
    }
}

impl Current {
    /// Judges an announcement of the same process, or of one that tells no start either.
    fn judge(&self, now: Instant, said: Announced<'_>) -> AnnouncementOutcome {
        let silent = now.since(self.heard) >= MEMORY;
        match said.seq > self.seq {
            true => AnnouncementOutcome::Newer,
            false if self.start.is_none() && silent => AnnouncementOutcome::Restarted,
            false => AnnouncementOutcome::Late,
        }
    }
}

impl Retired {
    /// Tells whether an announcement is one of the processes that ended.
    fn covers(&self, now: Instant, start: Option<StartTime>) -> bool {
        match (self.until, start) {
            (_, None) => true,
            (None, Some(_)) => false,
            (Some(until), Some(start)) if start < until => now.since(self.at) < MEMORY,
            (Some(until), Some(start)) => start == until,
        }
    }
}
