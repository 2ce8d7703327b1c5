//! Ordering of the announcements of the backend server beside a node.
//!
//! A backend server may crash and restart with its id, and another backend server may take its
//! address. Announcements arrive late, repeated and out of order. An announcement of an ended
//! process may therefore arrive after the first announcement of its successor.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Departure, Outdated};
use crate::Instant;

/// Maximum number of remembered departures and replacements.
///
/// An instance replaces its backend server a few times a day, and announcements are late by
/// seconds.
const MAX_RETIRED: usize = 16;

/// Time without announcements after which the newest start time no longer rejects earlier ones.
///
/// An announcement with an earlier start time then counts as a new process whose clock was set
/// back. Announcements are normally late by seconds, and by about 10 s after a network partition.
const REORDER_WINDOW: Duration = Duration::from_secs(20);

/// Start time of a backend server, in Unix milliseconds by the clock of its instance.
///
/// The start time identifies one process among all processes with the same id; greater is newer.
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

/// Fields of an announcement that determine its order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Announced<'a> {
    /// Id of the backend server.
    pub id: &'a str,
    /// Start time of the process; `None` if backend servers do not announce it.
    pub start: Option<StartTime>,
    /// Sequence number, which grows with each announcement of one process.
    pub seq: u64,
}

/// Outcome of an announcement: the reason for which it is accepted or rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AnnouncementOutcome {
    /// The announcement is the newest of the current process.
    Newer,
    /// The announcement is the first of another backend server.
    Replaced,
    /// The announcement is the first since the current backend server restarted with its id.
    Restarted,
    /// The announcement is older than an accepted one.
    Late,
    /// The process has left, or another backend server has replaced it.
    Retired,
    /// The announcement lacks the start time that recent announcements had.
    MissingStart,
}

impl AnnouncementOutcome {
    /// Returns `true` if the announcement takes effect.
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

    /// Returns `true` if the announcement is the first of a process.
    ///
    /// State kept about the previous process is then obsolete.
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

/// Filter that accepts or rejects the announcements of the backend server beside one node.
///
/// A greater start time replaces a smaller one of the same id, regardless of the sequence numbers.
/// A smaller start time is late. Sequence numbers order the announcements with the same start time
/// and those without a start time. A departure ends the process with the given start time and all
/// earlier ones. For 20 s after an announcement with a start time, announcements without a start
/// time are rejected.
///
/// A clock that was set back between two starts makes the later process appear older. That process
/// is accepted after 20 s without an announcement of the newest start time.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{Announced, AnnouncementOutcome, Instant, StartTime, Succession};
///
/// let now = Instant::from_millis(0);
/// let announce = |start, seq| Announced { id: "i-1", start: Some(StartTime(start)), seq };
/// let mut succession = Succession::default();
/// assert_eq!(succession.on_announcement(now, announce(1_000, 7)), AnnouncementOutcome::Replaced);
/// assert_eq!(succession.on_announcement(now, announce(9_000, 1)), AnnouncementOutcome::Restarted);
/// assert_eq!(succession.on_announcement(now, announce(1_000, 8)), AnnouncementOutcome::Late);
/// assert!(!succession.leave(now, "i-1", Some(StartTime(1_000)), StartTime(9_500)));
/// assert!(succession.leave(now, "i-1", Some(StartTime(9_000)), StartTime(9_500)));
/// assert_eq!(succession.on_announcement(now, announce(9_000, 2)), AnnouncementOutcome::Retired);
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Succession {
    current: Option<Current>,
    retired: VecDeque<Retired>,
    /// Start time accepted last, and the time of its last announcement.
    newest_start: Option<(StartTime, Instant)>,
}

/// Backend server whose announcement was accepted last.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Current {
    id: String,
    start: Option<StartTime>,
    seq: u64,
    last_announced: Instant,
    /// Sequence number and time of the announcement that the backend server drains, while it does.
    draining: Option<(u64, Instant)>,
}

/// Backend server that has left or was replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Retired {
    id: String,
    /// Latest start time that has ended; earlier processes have ended as well.
    until: Option<StartTime>,
    retired_at: Instant,
    /// `true` if the backend server has left, `false` if it was replaced.
    departed: bool,
}

impl Succession {
    /// Processes an announcement and returns its outcome.
    pub fn on_announcement(
        &mut self,
        now: Instant,
        announcement: Announced<'_>,
    ) -> AnnouncementOutcome {
        let outcome = self.classify(now, announcement);
        match outcome {
            AnnouncementOutcome::Newer | AnnouncementOutcome::Restarted => {
                self.set_current(now, announcement);
            }
            AnnouncementOutcome::Replaced => self.replace(now, announcement),
            AnnouncementOutcome::Late
            | AnnouncementOutcome::Retired
            | AnnouncementOutcome::MissingStart => return outcome,
        }
        self.newest_start = announcement
            .start
            .map(|start| (start, now))
            .or(self.newest_start);
        outcome
    }

    /// Records the departure of the backend server `id`; returns `true` if it was the current one.
    ///
    /// The departure ends the process with the start time `start` and all earlier ones. Without
    /// `start`, the departure ends the current process of the id and all earlier ones. If the id is
    /// not the current one, the departure ends all processes of the id that started by
    /// `wall_clock`.
    pub fn leave(
        &mut self,
        now: Instant,
        id: &str,
        start: Option<StartTime>,
        wall_clock: StartTime,
    ) -> bool {
        let current = self.current.as_ref().filter(|current| current.id == id);
        let until = match (start, current) {
            (Some(start), _) => Some(start),
            (None, Some(current)) => current.start,
            (None, None) => Some(wall_clock),
        };
        let left = current.is_some_and(|current| current.start <= until);
        if left {
            self.current = None;
        }
        self.retire(now, id.into(), until, true);
        left
    }

    /// Records whether the current backend server drains, by its announcement that was accepted last.
    pub const fn set_draining(&mut self, now: Instant, draining: bool) {
        if let Some(current) = &mut self.current {
            current.draining = match (draining, current.draining) {
                (true, None) => Some((current.seq, now)),
                (true, since) => since,
                (false, _) => None,
            };
        }
    }

    /// Returns the departures that outlive the process, the latest one first.
    ///
    /// `unix_ms` is the wall clock at `now`.
    #[must_use]
    pub fn departures(&self, now: Instant, unix_ms: u64) -> Vec<Departure> {
        let at_ms = |at: Instant| {
            let age = u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
            unix_ms.saturating_sub(age)
        };
        let draining = self.current.iter().filter_map(|current| {
            let (seq, at) = current.draining?;
            Some(Departure {
                id: current.id.clone(),
                start: current.start,
                outdated: Outdated::UpTo(seq),
                at_ms: at_ms(at),
            })
        });
        let departed = self.retired.iter().rev().filter(|old| old.departed);
        let departed = departed.map(|old| Departure {
            id: old.id.clone(),
            start: old.until,
            outdated: Outdated::All,
            at_ms: at_ms(old.retired_at),
        });
        let all = draining.chain(departed);
        all.filter(|departure| !departure.is_forgotten(unix_ms))
            .collect()
    }

    /// Restores departures that an earlier process of the node acknowledged.
    ///
    /// # Examples
    ///
    /// ```
    /// use swiftcart_core::{Announced, AnnouncementOutcome, Instant, StartTime, Succession};
    ///
    /// let now = Instant::from_millis(0);
    /// let announced = Announced { id: "i-1", start: None, seq: 8 };
    /// let mut before = Succession::default();
    /// before.on_announcement(now, announced);
    /// before.leave(now, "i-1", None, StartTime(5_000));
    /// let mut after = Succession::default();
    /// after.restore(now, 5_000, &before.departures(now, 5_000));
    /// assert_eq!(after.on_announcement(now, announced), AnnouncementOutcome::Retired);
    /// ```
    pub fn restore(&mut self, now: Instant, unix_ms: u64, departures: &[Departure]) {
        let known = departures
            .iter()
            .filter(|departure| !departure.is_forgotten(unix_ms));
        for departure in known.clone() {
            if departure.outdated == Outdated::All {
                self.retire(now, departure.id.clone(), departure.start, true);
            }
        }
        for departure in known {
            let is_retired = self
                .retired
                .iter()
                .any(|old| old.id == departure.id && old.covers(now, departure.start));
            match departure.outdated {
                Outdated::UpTo(seq) if !is_retired => self.restore_draining(now, departure, seq),
                Outdated::UpTo(_) | Outdated::All => {}
            }
        }
    }

    /// Restores a backend server that drains, unless a later one is known.
    fn restore_draining(&mut self, now: Instant, departure: &Departure, seq: u64) {
        let is_later = |current: &Current| (current.start, current.seq) < (departure.start, seq);
        if self.current.as_ref().is_none_or(is_later) {
            self.set_current(
                now,
                Announced {
                    id: &departure.id,
                    start: departure.start,
                    seq,
                },
            );
            self.set_draining(now, true);
            self.newest_start = departure.start.map(|start| (start, now));
        }
    }

    /// Returns the id of the current backend server.
    #[must_use]
    pub fn id(&self) -> Option<&str> {
        self.current.as_ref().map(|current| current.id.as_str())
    }

    /// Returns the start time of the current backend server, if announced.
    #[must_use]
    pub fn start(&self) -> Option<StartTime> {
        self.current.as_ref().and_then(|current| current.start)
    }

    fn classify(&self, now: Instant, announcement: Announced<'_>) -> AnnouncementOutcome {
        let mut retired = self.retired.iter().filter(|old| old.id == announcement.id);
        match (&self.current, announcement.start) {
            _ if retired.any(|old| old.covers(now, announcement.start)) => {
                AnnouncementOutcome::Retired
            }
            (_, None) if self.recent_start(now).is_some() => AnnouncementOutcome::MissingStart,
            (Some(current), start) if current.id == announcement.id && current.start == start => {
                current.classify(now, announcement)
            }
            (_, Some(start)) if self.recent_start(now).is_some_and(|recent| start < recent) => {
                AnnouncementOutcome::Late
            }
            (Some(current), _) if current.id == announcement.id => AnnouncementOutcome::Restarted,
            _ => AnnouncementOutcome::Replaced,
        }
    }

    /// Returns the newest start time if it was announced within [`REORDER_WINDOW`].
    fn recent_start(&self, now: Instant) -> Option<StartTime> {
        let (start, announced) = self.newest_start?;
        (now.since(announced) < REORDER_WINDOW).then_some(start)
    }

    fn set_current(&mut self, now: Instant, announcement: Announced<'_>) {
        let is_same = |current: &&Current| {
            current.id == announcement.id && current.start == announcement.start
        };
        let draining = self
            .current
            .as_ref()
            .filter(is_same)
            .and_then(|current| current.draining);
        self.current = Some(Current {
            id: announcement.id.into(),
            start: announcement.start,
            seq: announcement.seq,
            last_announced: now,
            draining,
        });
    }

    fn replace(&mut self, now: Instant, announcement: Announced<'_>) {
        if let Some(old) = self.current.take() {
            self.retire(now, old.id, old.start, false);
        }
        self.set_current(now, announcement);
    }

    fn retire(&mut self, now: Instant, id: String, until: Option<StartTime>, departed: bool) {
        let index = self.retired.iter().position(|old| old.id == id);
        let previous = index.and_then(|at| self.retired.remove(at));
        self.retired.push_back(Retired {
            until: until.max(previous.as_ref().and_then(|old| old.until)),
            id,
            retired_at: now,
            departed: departed || previous.is_some_and(|old| old.departed),
        });
        if self.retired.len() > MAX_RETIRED {
            self.retired.pop_front();
        }
    }
}

impl Current {
    /// Classifies an announcement with the same id and start time, or also without a start time.
    fn classify(&self, now: Instant, announcement: Announced<'_>) -> AnnouncementOutcome {
        let expired = now.since(self.last_announced) >= REORDER_WINDOW;
        match announcement.seq > self.seq {
            true => AnnouncementOutcome::Newer,
            false if self.start.is_none() && expired => AnnouncementOutcome::Restarted,
            false => AnnouncementOutcome::Late,
        }
    }
}

impl Retired {
    /// Returns `true` if an announcement with the given start time is from an ended process.
    fn covers(&self, now: Instant, start: Option<StartTime>) -> bool {
        match (self.until, start) {
            (_, None) => true,
            (None, Some(_)) => false,
            (Some(until), Some(start)) if start < until => {
                now.since(self.retired_at) < REORDER_WINDOW
            }
            (Some(until), Some(start)) => start == until,
        }
    }
}
