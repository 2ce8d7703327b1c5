//! The time that callers give a request at their first try.

use std::time::Duration;

/// The different times that are counted at once. First tries of a route come with one or a few
/// of them; those of later tries are all different and make room for each other.
const KEPT: usize = 8;

/// The requests after which all counts are halved, so that a change of the callers' habits
/// shows after about as many.
const HALVED_AFTER: u32 = 256;

/// The requests of one time before it counts as that of first tries. Two later tries of the same
/// millisecond among a few hundred are common, eight of them are not.
const LEAST_SEEN: u32 = 8;

/// The part of the most frequent time's count from which on another one belongs to first tries
/// as well: callers of the same route may differ, and a refusal with a fixed time to come back
/// makes later tries bunch up, over some milliseconds.
const ALSO_FIRST: u32 = 3;

/// Tells by the time that is left to a request whether its caller has tried before.
///
/// A caller that comes back gives the rest of its time only, and says nothing of its first try.
/// First tries all come with the same time, later ones with what is left of it; so the time that
/// is most frequent is that of first tries, and what a request lacks of it is its age.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::RequestAgeEstimator;
///
/// let ms = Duration::from_millis;
/// let mut given = RequestAgeEstimator::default();
/// assert_eq!(given.age(ms(700)), ms(0), "nothing is known yet");
/// for _ in 0..8 {
///     given.age(ms(1_200));
/// }
/// assert_eq!(given.age(ms(900)), ms(300));
/// assert_eq!(given.age(ms(1_200)), ms(0));
/// assert_eq!(given.age(ms(5_000)), ms(0), "more time than usual is no age");
/// ```
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RequestAgeEstimator {
    counts: Vec<Count>,
    seen: u32,
}

/// How often a time was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Count {
    /// The time, in milliseconds.
    ms: u64,
    times: u32,
}

impl RequestAgeEstimator {
    /// Takes in the time that a request came with, and returns for how long its caller has been
    /// trying; zero while that is not known.
    pub fn age(&mut self, given: Duration) -> Duration {
        let ms = u64::try_from(given.as_millis()).unwrap_or(u64::MAX);
        self.count(ms);
        let Some(usual) = self.usual() else {
            return Duration::ZERO;
        };
        let here = self.counts.iter().find(|count| count.ms == ms);
        let first = here.is_some_and(|count| count.times * ALSO_FIRST >= usual.times);
        match first {
            true => Duration::ZERO,
            false => Duration::from_millis(usual.ms.saturating_sub(ms)),
        }
    }

    /// Returns the most frequent time, once it is known.
    fn usual(&self) -> Option<Count> {
        let most = self.counts.iter().max_by_key(|count| count.times)?;
        (most.times >= LEAST_SEEN).then_some(*most)
    }

    fn count(&mut self, ms: u64) {
        self.seen += 1;
        if self.seen >= HALVED_AFTER {
            self.seen = 0;
            self.counts.iter_mut().for_each(|count| count.times /= 2);
        }
        let new = Count { ms, times: 1 };
        let room = self.counts.len() < KEPT;
        match self.counts.iter_mut().find(|count| count.ms == ms) {
            Some(count) => count.times += 1,
            None if room => self.counts.push(new),
            // The rarest gives way; its count is not taken over, so that times which never come
            // again do not add up.
            None => {
                if let Some(rarest) = self.counts.iter_mut().min_by_key(|count| count.times) {
                    match rarest.times {
                        0 | 1 => *rarest = new,
                        _ => rarest.times -= 1,
                    }
                }
            }
        }
    }
}
