//! History of one kept connection: the requests that it carried, and the responses that count.
//!
//! A remote side may send a response twice, late, or without the id of its request. Such a response
//! arrives where the response to a later request is expected. It is told apart by its id, as long as
//! no request goes over the same connection twice.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use crate::Instant;

/// Time for which a request is remembered beyond its deadline.
///
/// When the request is sent again, its deadline may be later by the time that it takes between nodes.
const REPEAT_GRACE: Duration = Duration::from_secs(2);

/// Maximum number of requests that one connection remembers. A connection that has more of them
/// within their deadlines is not used again.
const MAX_CARRIED: usize = 4096;

/// Relation of a response's id to the request that was sent last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AnswerId {
    /// The response has the id of the request.
    Own,
    /// The response has no id.
    Missing,
    /// The response has the id of another request, or several ids.
    Foreign,
}

/// Requests that one kept connection carried within their deadlines.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::{AnswerId, ConnHistory, Instant};
///
/// let now = Instant::from_millis(0);
/// let due = now + Duration::from_secs(1);
/// let mut history = ConnHistory::default();
/// assert!(history.may_carry(now, b"order-7"));
/// history.record(now, b"order-7", due);
/// assert!(history.counts(AnswerId::Own));
/// assert!(!history.counts(AnswerId::Foreign));
/// // A second response to the first send would count as the response to the next one.
/// assert!(!history.may_carry(now, b"order-7"));
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct ConnHistory {
    /// Requests in the order in which they were sent.
    carried: VecDeque<CarriedRequest>,
    /// Number of requests sent on the connection.
    exchanges: u64,
}

/// Request that a connection carried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct CarriedRequest {
    /// Hash of the id. A collision only costs another connection.
    hash: u64,
    /// Time after which the request is not sent again.
    until: Instant,
}

impl ConnHistory {
    /// Returns the number of requests that were sent on the connection.
    #[must_use]
    pub const fn exchanges(&self) -> u64 {
        self.exchanges
    }

    /// Returns `true` if the connection may carry the request with this id: it has not carried it
    /// before, and can remember it.
    #[must_use]
    pub fn may_carry(&self, now: Instant, id: &[u8]) -> bool {
        let hash = hash(id);
        let was_carried = |c: &CarriedRequest| c.hash == hash && c.until > now;
        self.carried.len() < MAX_CARRIED && !self.carried.iter().any(was_carried)
    }

    /// Records that the request with this id and the deadline `due` is sent.
    pub fn record(&mut self, now: Instant, id: &[u8], due: Instant) {
        while self.carried.front().is_some_and(|c| c.until <= now) {
            self.carried.pop_front();
        }
        self.carried.push_back(CarriedRequest {
            hash: hash(id),
            until: due + REPEAT_GRACE,
        });
        self.exchanges += 1;
    }

    /// Returns `true` if a response with this id counts for the request that was sent last.
    ///
    /// On a connection that carried nothing before, a response without an id belongs to its only
    /// request. Later it may be a second response to any earlier request.
    #[must_use]
    pub const fn counts(&self, id: AnswerId) -> bool {
        match id {
            AnswerId::Own => true,
            AnswerId::Missing => self.exchanges == 1,
            AnswerId::Foreign => false,
        }
    }
}

fn hash(id: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
