//! Requests that were refused and may come back.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::{HeadHash, Instant};

/// How long a request that was refused is expected; callers come back within their deadlines.
const EXPECTED_FOR: Duration = Duration::from_secs(10);

/// The requests that are expected at most.
const MOST: usize = 4096;

/// Tells since when the caller of a request has been trying, where it was refused here before.
///
/// A caller that comes back sends the same head, and what is left of its time may be all that
/// tells it from a first try. Each refusal is matched by one request at most: of many callers
/// who send the same head as many count as having come back as were refused.
///
/// # Examples
///
/// ```
/// use swiftcart_core::{HeadHash, Instant, Returns};
///
/// let at = Instant::from_millis;
/// let mut returns = Returns::new();
/// assert_eq!(returns.came(at(0), HeadHash(7)), None);
/// returns.refused(at(5), HeadHash(7), at(0));
/// assert_eq!(returns.came(at(300), HeadHash(7)), Some(at(0)));
/// assert_eq!(returns.came(at(310), HeadHash(7)), None, "another caller");
/// ```
#[derive(Debug, Default, Clone)]
pub struct Returns {
    /// When those who were refused tried first, the earliest first.
    expected: HashMap<HeadHash, VecDeque<Instant>>,
    /// What is expected, in the order of the refusals.
    order: VecDeque<(Instant, HeadHash)>,
}

impl Returns {
    /// Creates a memory that expects nobody.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a refusal of a request whose caller has been trying since `first`.
    pub fn refused(&mut self, now: Instant, head: HeadHash, first: Instant) {
        self.forget(now);
        if self.order.len() >= MOST {
            self.drop_oldest();
        }
        self.order.push_back((now, head));
        self.expected.entry(head).or_default().push_back(first);
    }

    /// Takes in a request; returns since when its caller has been trying, when it was refused before.
    pub fn came(&mut self, now: Instant, head: HeadHash) -> Option<Instant> {
        self.forget(now);
        let firsts = self.expected.get_mut(&head)?;
        let first = firsts.pop_front();
        if firsts.is_empty() {
            self.expected.remove(&head);
        }
        first
    }

    fn forget(&mut self, now: Instant) {
        let is_over = |(at, _): &(Instant, HeadHash)| now.since(*at) >= EXPECTED_FOR;
        while self.order.front().is_some_and(is_over) {
            self.drop_oldest();
        }
    }

    /// Drops the oldest refusal. Who came back meanwhile was taken out of those expected already,
    /// and then a later refusal of the same head goes in its place.
    fn drop_oldest(&mut self) {
        let Some((_, head)) = self.order.pop_front() else {
            return;
        };
        let later = self
            .order
            .iter()
            .filter(|(_, other)| *other == head)
            .count();
        if let Some(firsts) = self.expected.get_mut(&head) {
            while firsts.len() > later {
                firsts.pop_front();
            }
            if firsts.is_empty() {
                self.expected.remove(&head);
            }
        }
    }
}
