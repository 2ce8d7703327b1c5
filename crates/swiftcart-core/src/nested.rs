//! Running requests of a backend server, to which its nested calls are matched.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::Duration;

use crate::{Deadline, Instant, Priority};

/// Maximum number of recorded requests, so that the memory of a node stays bounded. A backend
/// server has far fewer slots.
const MAX_REQUESTS: usize = 4096;

/// Time by which the deadline of a nested call may be earlier than that of its request. The remaining
/// times of both are rounded down to whole milliseconds when they are sent.
const EARLY_TOLERANCE: Duration = Duration::from_millis(3);

/// Time by which the deadline of a nested call may be later than that of its request. The remaining
/// time is sent twice, and the time that passes on the way is not deducted from it.
const LATE_TOLERANCE: Duration = Duration::from_millis(10);

/// Id of a recorded request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ParentId(u64);

/// Rank of a request that a backend server runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ParentRank {
    /// Priority among the requests of its service.
    pub priority: Priority,
    /// End of its latency target, or `None` without a target.
    pub target: Option<Instant>,
}

/// Bounded table of the requests that a backend server runs.
///
/// A nested call expires no later than the request that it serves, and at the same time unless the
/// backend server sets a limit of its own. The deadline thus shows which running requests the nested
/// call may serve, and nothing else that the backend server sends has to be trusted.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::{Deadline, Instant, ParentRank, Priority, RunningRequests};
///
/// let now = Instant::from_millis(0);
/// let due = Deadline::new(now, Duration::from_secs(1));
/// let rank = ParentRank { priority: Priority(1), target: None };
/// let mut running = RunningRequests::default();
/// let id = running.start(due, rank).expect("the table is not full");
/// assert_eq!(running.parent(due), Some(rank));
/// running.end(id);
/// assert_eq!(running.parent(due), None);
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RunningRequests {
    requests: HashMap<ParentId, (Deadline, ParentRank)>,
    next_id: u64,
}

impl ParentRank {
    /// Returns the more urgent of both ranks: the lower priority number, and the later end of the
    /// target among equal priorities, so that no request loses time to one whose target has passed.
    fn more_urgent(self, other: Self) -> Self {
        match self.priority.cmp(&other.priority) {
            Ordering::Less => self,
            Ordering::Greater => other,
            Ordering::Equal => Self {
                target: self.target.max(other.target),
                ..self
            },
        }
    }

    /// Returns the rank that both requests have at least: the higher priority number, and the later
    /// end of the target.
    fn common(self, other: Self) -> Self {
        Self {
            priority: self.priority.max(other.priority),
            target: self.target.max(other.target),
        }
    }
}

impl RunningRequests {
    /// Records a request that is handed to the backend server with the deadline `due`.
    ///
    /// Returns `None` if the table is full. The nested calls of the request then keep their own
    /// rank.
    pub fn start(&mut self, due: Deadline, rank: ParentRank) -> Option<ParentId> {
        if self.requests.len() >= MAX_REQUESTS {
            return None;
        }
        self.next_id += 1;
        let id = ParentId(self.next_id);
        self.requests.insert(id, (due, rank));
        Some(id)
    }

    /// Removes a request that has ended.
    pub fn end(&mut self, id: ParentId) {
        self.requests.remove(&id);
    }

    /// Returns the rank of the request that a nested call with the deadline `due` serves, or `None`
    /// if no running request lasts until this deadline.
    ///
    /// Among several requests with this deadline, the most urgent one counts. Without any, the
    /// nested call serves one of the requests with a later deadline, and gets the rank that all of
    /// them have at least.
    #[must_use]
    pub fn parent(&self, due: Deadline) -> Option<ParentRank> {
        let earliest = due.minus(LATE_TOLERANCE);
        let latest = Deadline::at_instant(due.at() + EARLY_TOLERANCE);
        let same = self.ranks(|parent_due| (earliest..=latest).contains(&parent_due));
        let later = self.ranks(|parent_due| parent_due > latest);
        same.reduce(ParentRank::more_urgent)
            .or_else(|| later.reduce(ParentRank::common))
    }

    /// Returns the ranks of the requests whose deadline satisfies `is_due`.
    fn ranks(&self, is_due: impl Fn(Deadline) -> bool) -> impl Iterator<Item = ParentRank> {
        let requests = self.requests.values();
        requests.filter_map(move |(due, rank)| is_due(*due).then_some(*rank))
    }
}
