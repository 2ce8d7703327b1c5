//! Adaptive throttling of the requests that an ingress passes to the guards of a service.

mod class_counts;
mod refusing_guards;

use std::time::Duration;

use rand::Rng;

use crate::{
    Instant, Outcome, Pick, Priority, Reason, Refusal, RequestTiming, ShareStanding, SlotSearch,
};
use class_counts::ClassCounts;

/// Minimum number of recent requests by which a class is judged.
const MIN_REQUESTS: f64 = 4.0;

/// Maximum number of classes that are counted. A further class replaces the one with the fewest
/// recent requests.
const MAX_CLASSES: usize = 16;

/// Number of guards that a returning request may queue at without success before it is refused.
const MAX_RETURNING_WAITS: u8 = 3;

/// Settings of an [`AskThrottle`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AskThrottleSettings {
    /// Number of times that guards are asked for each request that they accept.
    pub asks_per_accept: f64,
    /// Number of times that guards of other failure domains, which are a longer trip away, are asked
    /// for each request that they accept.
    pub far_asks_per_accept: f64,
    /// Time constant of the counts of asked and accepted requests.
    pub decay_time: Duration,
}

impl Default for AskThrottleSettings {
    fn default() -> Self {
        Self {
            asks_per_accept: 2.0,
            far_asks_per_accept: 1.5,
            decay_time: Duration::from_millis(700),
        }
    }
}

/// Requests of one service that guards treat alike.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AskClass {
    /// Priority among the requests of the service.
    pub priority: Priority,
    /// Prospect of an answer within the latency target.
    pub timing: RequestTiming,
    /// Standing of the client account relative to its share of the service.
    pub standing: ShareStanding,
}

/// Request of a caller, as far as an [`AskThrottle`] distinguishes requests.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AskRequest {
    /// Class of the request.
    pub class: AskClass,
    /// `true` if the request was refused before and comes back after its retry delay.
    pub returning: bool,
}

/// Decision on the next ask of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NextAsk {
    /// The guard is asked.
    Ask,
    /// The request queues from now on, and its guard is selected again.
    Queue,
    /// The request is refused.
    Refuse,
}

/// Recent requests of one class and the answers of the guards.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct AskCounts {
    /// Requests that wanted a place.
    pub wanted: f64,
    /// Times that guards were asked.
    pub asked: f64,
    /// Asks that guards accepted.
    pub accepted: f64,
    /// Time since a guard last refused for want of room.
    pub refusal_age: Option<Duration>,
}

/// Failure domain of a guard, seen from the ingress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Proximity {
    Near,
    Far,
}

/// Throttle of the asks of one ingress at the guards of one service.
///
/// When a service has less room than its callers want, every guard refuses most requests. An ingress
/// that still asks one guard after another spends processors and links on refusals, and its callers
/// wait for them. The throttle therefore compares what the guards accept with what they are asked:
///
/// - A new request is refused at once with a probability at which guards are asked about
///   [`asks_per_accept`](AskThrottleSettings::asks_per_accept) times for each request that they
///   accept. The rest still goes through, and notices room that returns.
/// - A refused request asks a further guard only while asks are accepted often enough.
/// - While they are not, a request queues at its first guard instead of looking for a free slot.
///
/// An ask counts as accepted until its guard refuses it, since a refusal comes at once and a response
/// only after the service time. The counts decay exponentially. A class is throttled only after
/// several guards have refused lately, so that one broken guard closes nothing, and a node that has
/// just started or is cut off asks as usual. A class with too few requests is judged by the next more
/// urgent one, and never by a less urgent one.
///
/// # Examples
///
/// ```
/// use rand::{SeedableRng, rngs::SmallRng};
/// use swiftcart_core::{
///     AskRequest, AskThrottle, AskThrottleSettings, Instant, NodeId, Pick, PickRule, Reason,
/// };
///
/// let pick = |n| {
///     let id = NodeId(([10, 0, 0, n], 7000).into());
///     Pick { id, peer: id.0, rule: PickRule::Near, cause: None, free: true }
/// };
/// let mut rng = SmallRng::seed_from_u64(1);
/// let now = Instant::from_millis(0);
/// let request = AskRequest::default();
/// let mut throttle = AskThrottle::new(AskThrottleSettings::default());
/// for n in 0..40 {
///     throttle.admit(now, request, &mut rng);
///     throttle.asked(now, request, &pick(n % 3));
///     throttle.failed(now, request, &pick(n % 3), Reason::QueueFull);
/// }
/// let passed = (0..100).filter(|_| throttle.admit(now, request, &mut rng)).count();
/// assert!(passed < 20, "all guards are full");
/// let returning = AskRequest { returning: true, ..request };
/// assert!(throttle.admit(now, returning, &mut rng));
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct AskThrottle {
    settings: AskThrottleSettings,
    classes: Vec<ClassCounts>,
}

impl AskThrottle {
    /// Creates a throttle that has counted nothing and lets every request through.
    #[must_use]
    pub const fn new(settings: AskThrottleSettings) -> Self {
        Self {
            settings,
            classes: Vec::new(),
        }
    }

    /// Counts a request that wants a place, and returns `true` if it may ask a guard.
    ///
    /// A returning request may always ask one, since it has waited for its retry delay.
    pub fn admit<R: Rng + ?Sized>(
        &mut self,
        now: Instant,
        request: AskRequest,
        rng: &mut R,
    ) -> bool {
        let asks_per_accept = self.settings.asks_per_accept;
        let evidence = self.evidence(now, request.class);
        let refused_share = evidence.map_or(0.0, |counts| counts.refused_share(asks_per_accept));
        self.counts_mut(now, request.class).wanted += 1.0;
        request.returning || rng.random::<f64>() >= refused_share
    }

    /// Decides whether a request asks the guard of `pick` next.
    ///
    /// `slot_search` tells what the request has asked before.
    pub fn next_ask(
        &mut self,
        now: Instant,
        request: AskRequest,
        slot_search: &SlotSearch,
        pick: &Pick,
    ) -> NextAsk {
        let class = request.class;
        let may_wait = slot_search.full_refusals() < MAX_RETURNING_WAITS;
        match (slot_search.refused_by(), request.returning) {
            (None, _) if slot_search.is_asking() && self.is_scarce(now, class) => NextAsk::Queue,
            (None, _) => NextAsk::Ask,
            (Some(_), true) if may_wait => NextAsk::Ask,
            (Some(_), true) => NextAsk::Refuse,
            (Some(_), false) if self.is_open(now, class, Proximity::of(pick)) => NextAsk::Ask,
            (Some(_), false) if slot_search.is_asking() => NextAsk::Queue,
            (Some(_), false) => NextAsk::Refuse,
        }
    }

    /// Returns `true` if the asks at guards of other failure domains are not worth their trip.
    pub fn stays_near(&mut self, now: Instant, class: AskClass) -> bool {
        !self.is_open(now, class, Proximity::Far)
    }

    /// Counts an ask, which counts as accepted until [`AskThrottle::failed`] reports otherwise.
    pub fn asked(&mut self, now: Instant, request: AskRequest, pick: &Pick) {
        let counts = self.counts_mut(now, request.class);
        counts.record_ask(Proximity::of(pick));
    }

    /// Records that an ask failed for `reason`.
    ///
    /// Only a refusal for want of room counts as not accepted. An attempt that a guard handed over
    /// had a place, and an attempt that failed otherwise tells nothing about room.
    pub fn failed(&mut self, now: Instant, request: AskRequest, pick: &Pick, reason: Reason) {
        let counts = self.counts_mut(now, request.class);
        let proximity = Proximity::of(pick);
        match reason {
            _ if reason.lacks_room() => counts.record_refusal(now, pick.id, proximity),
            _ if reason.outcome() == Outcome::NotRun => counts.withdraw(proximity),
            _ => {}
        }
    }

    /// Creates the refusal of a request for which the service has no room.
    ///
    /// The retry delay follows from the rate at which requests of the class are accepted here, and
    /// from the callers that were given a retry delay before. It is at least
    /// `guard_delay`, the retry delay that a guard has given.
    pub fn refuse<R: Rng + ?Sized>(
        &mut self,
        now: Instant,
        class: AskClass,
        guard_delay: Option<Duration>,
        rng: &mut R,
    ) -> Refusal {
        let decay_time = self.settings.decay_time;
        let retry_after = self
            .counts_mut(now, class)
            .retry_delay(now, decay_time, rng);
        let after = guard_delay.map_or(retry_after, |delay| delay.max(retry_after));
        Refusal::new(Reason::NoRoom).with_retry(after)
    }

    /// Returns the current counts of a class.
    pub fn counts(&mut self, now: Instant, class: AskClass) -> AskCounts {
        self.counts_mut(now, class).summary(now)
    }

    /// Returns the accepted share of the recent asks of all classes, or 1 if there are none.
    pub fn acceptance(&mut self, now: Instant) -> f64 {
        self.decay(now);
        let totals = self.classes.iter().map(|counts| counts.summary(now));
        let (asked, accepted) = totals.fold((0.0, 0.0), |(asked, accepted), c| {
            (asked + c.asked, accepted + c.accepted)
        });
        match asked < MIN_REQUESTS {
            true => 1.0,
            false => (accepted / asked).clamp(0.0, 1.0),
        }
    }

    /// Returns `true` if guards of the own failure domain refuse requests of the class too often to
    /// be asked for a free slot.
    fn is_scarce(&mut self, now: Instant, class: AskClass) -> bool {
        !self.is_open(now, class, Proximity::Near)
    }

    /// Returns `true` if guards at this proximity accept requests of the class often enough to be
    /// asked again.
    fn is_open(&mut self, now: Instant, class: AskClass, proximity: Proximity) -> bool {
        let asks_per_accept = match proximity {
            Proximity::Near => self.settings.asks_per_accept,
            Proximity::Far => self.settings.far_asks_per_accept,
        };
        let evidence = self.evidence(now, class);
        evidence.is_none_or(|counts| counts.is_open(proximity, asks_per_accept))
    }

    /// Returns the counts that a class is judged by: its own, or else those of the next more urgent
    /// class with enough requests.
    fn evidence(&mut self, now: Instant, class: AskClass) -> Option<&ClassCounts> {
        self.decay(now);
        let counts_for_class =
            |counts: &&ClassCounts| counts.class <= class && counts.wanted >= MIN_REQUESTS;
        let candidates = self.classes.iter().filter(counts_for_class);
        candidates.max_by_key(|counts| counts.class)
    }

    /// Returns the counts of a class, which are created if the class has none.
    fn counts_mut(&mut self, now: Instant, class: AskClass) -> &mut ClassCounts {
        self.decay(now);
        let known = self.classes.iter().position(|counts| counts.class == class);
        let place = known.unwrap_or_else(|| {
            if self.classes.len() >= MAX_CLASSES {
                self.remove_rarest();
            }
            self.classes.push(ClassCounts::new(now, class));
            self.classes.len() - 1
        });
        &mut self.classes[place]
    }

    /// Removes the class with the fewest recent requests.
    fn remove_rarest(&mut self) {
        let classes = self.classes.iter().enumerate();
        let rarest = classes.min_by(|(_, a), (_, b)| a.wanted.total_cmp(&b.wanted));
        if let Some((place, _)) = rarest {
            self.classes.swap_remove(place);
        }
    }

    /// Decays the counts of all classes to the present.
    fn decay(&mut self, now: Instant) {
        let decay_time = self.settings.decay_time;
        let decay = |counts: &mut ClassCounts| counts.decay(now, decay_time);
        self.classes.iter_mut().for_each(decay);
    }
}

impl Proximity {
    /// Returns the proximity of the guard of `pick`.
    const fn of(pick: &Pick) -> Self {
        match pick.rule.leaves_domain() {
            true => Self::Far,
            false => Self::Near,
        }
    }
}
