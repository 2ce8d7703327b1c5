//! What waits to be appended: batches, one append in flight, a bounded rate.

use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::{
    AbandonRecord, AnswerRecord, AttemptId, ClaimBatch, ClaimKey, ClaimRecord, ClaimSettings,
    Instant, RECORD_BYTES,
};

/// Bytes of a record that are not items.
const FRAME_BYTES: usize = 256;
/// Appends that may follow each other at once after a pause.
const BURST: f64 = 2.0;

/// One item of a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Item {
    Claim(ClaimRecord),
    Answer(AnswerRecord),
    Abandon(AbandonRecord),
}

/// An item with its encoded size and the time since which it waits.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Waiting {
    item: Item,
    bytes: usize,
    since: Instant,
}

/// Queues items and decides when the next append is due.
#[derive(Debug, Clone)]
pub(super) struct Outbox {
    limit: usize,
    batch: usize,
    linger: Duration,
    /// How long answers and given-up attempts wait for a claim to ride with.
    linger_end: Duration,
    interval: Duration,
    backoff: Duration,
    backoff_max: Duration,
    lifetime: Duration,
    queue: VecDeque<Waiting>,
    /// When the first of the queue has waited long enough for company.
    ripe: Instant,
    flight: Vec<Waiting>,
    flying: bool,
    sent: Instant,
    /// How long an append takes, smoothed.
    took: Duration,
    /// The time at which the bucket of appends is full again.
    refilled: Instant,
    failures: u32,
    resume: Instant,
    rng: SmallRng,
}

impl Item {
    const fn claim(&self) -> Option<AttemptId> {
        match self {
            Self::Claim(r) => Some(r.attempt),
            Self::Answer(_) | Self::Abandon(_) => None,
        }
    }

    pub(super) const fn key(&self) -> ClaimKey {
        match self {
            Self::Claim(r) => r.key,
            Self::Answer(r) => r.key,
            Self::Abandon(r) => r.key,
        }
    }

    /// Returns the bytes of the encoding, or the whole record's limit when there is none.
    pub(super) fn encoded(&self) -> usize {
        let json = match self {
            Self::Claim(r) => serde_json::to_string(r),
            Self::Answer(r) => serde_json::to_string(r),
            Self::Abandon(r) => serde_json::to_string(r),
        };
        json.map_or(RECORD_BYTES, |s| s.len() + 1)
    }
}

impl Outbox {
    pub(super) fn new(settings: &ClaimSettings, seed: u64) -> Self {
        Self {
            limit: settings.queue,
            batch: settings.batch,
            linger: settings.linger,
            linger_end: settings.linger_end,
            interval: Duration::from_secs_f64(1.0 / settings.rate),
            backoff: settings.backoff,
            backoff_max: settings.backoff_max,
            lifetime: settings.blocked(),
            queue: VecDeque::new(),
            ripe: Instant::default(),
            flight: Vec::new(),
            flying: false,
            sent: Instant::default(),
            took: Duration::ZERO,
            refilled: Instant::default(),
            failures: 0,
            resume: Instant::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the number of items that are not surely in the log.
    pub(super) fn len(&self) -> usize {
        self.queue.len() + self.flight.len()
    }

    pub(super) const fn limit(&self) -> usize {
        self.limit
    }

    pub(super) const fn failures(&self) -> u32 {
        self.failures
    }

    pub(super) fn push(&mut self, now: Instant, item: Item) {
        let bytes = item.encoded();
        let since = now;
        let ripe = match item {
            Item::Claim(_) => now + self.linger,
            Item::Answer(_) | Item::Abandon(_) => now + self.linger_end,
        };
        self.ripe = match self.queue.is_empty() {
            true => ripe,
            false => self.ripe.min(ripe),
        };
        self.queue.push_back(Waiting { item, bytes, since });
    }

    /// Removes the claim of `attempt` that was never sent.
    pub(super) fn cancel(&mut self, attempt: AttemptId) {
        self.queue
            .retain(|w| !matches!(&w.item, Item::Claim(r) if r.attempt == attempt));
    }

    /// Removes the items that `seen` finds in the log.
    pub(super) fn confirm(&mut self, seen: impl Fn(&Item) -> bool) {
        self.queue.retain(|w| !seen(&w.item));
        self.flight.retain(|w| !seen(&w.item));
    }

    /// Returns when an append is due, if nothing is in flight.
    pub(super) fn due(&self) -> Option<Instant> {
        match self.queue.len() {
            _ if self.flying => None,
            0 => None,
            n if n >= self.batch => Some(self.allowed()),
            _ => Some(self.ripe.max(self.allowed())),
        }
    }

    /// Starts the next append when it is due.
    pub(super) fn take(&mut self, now: Instant) -> Option<ClaimBatch> {
        // What has outlived its own window can no longer matter to a reader.
        let moot = |w: &Waiting| now.since(w.since) > self.lifetime;
        while pop_front_if(&mut self.queue, moot).is_some() {}
        self.due().filter(|due| *due <= now)?;
        let mut batch = ClaimBatch::default();
        let mut bytes = FRAME_BYTES;
        while self.flight.len() < self.batch {
            let fits = |w: &Waiting| bytes + w.bytes <= RECORD_BYTES;
            let Some(waiting) = pop_front_if(&mut self.queue, fits) else {
                break;
            };
            bytes += waiting.bytes;
            match waiting.item.clone() {
                Item::Claim(r) => batch.claims.push(r),
                Item::Answer(r) => batch.answers.push(r),
                Item::Abandon(r) => batch.abandoned.push(r),
            }
            self.flight.push(waiting);
        }
        self.flying = !self.flight.is_empty();
        // What did not fit has waited long enough.
        self.ripe = now;
        self.sent = now;
        self.refilled = self.refilled.max(now) + self.interval;
        self.flying.then_some(batch)
    }

    /// Ends the append in flight: its items are in the log.
    pub(super) fn finish_append(&mut self, now: Instant) {
        self.flight.clear();
        self.flying = false;
        self.failures = 0;
        let took = now.since(self.sent);
        self.took = (self.took * 7 + took) / 8;
    }

    /// Ends the append in flight: its items are queued again, in their order.
    pub(super) fn failed(&mut self, now: Instant, after: Option<Duration>) {
        self.flying = false;
        self.ripe = now;
        for waiting in self.flight.drain(..).rev() {
            self.queue.push_front(waiting);
        }
        let grown = self.backoff * 2_u32.saturating_pow(self.failures.min(16));
        let delay = after.unwrap_or_default().max(grown.min(self.backoff_max));
        self.resume = now + delay.mul_f64(self.rng.random_range(0.75..1.25));
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns how long a claim pushed now waits for the end of its append.
    pub(super) fn wait(&self, now: Instant) -> Duration {
        let ahead = u32::try_from(self.queue.len() / self.batch).unwrap_or(u32::MAX);
        let each = self.interval.max(self.took);
        let flying = if self.flying {
            self.took
        } else {
            Duration::ZERO
        };
        let start = self.allowed().since(now).max(self.linger).max(flying);
        start
            .saturating_add(each.saturating_mul(ahead))
            .saturating_add(self.took)
    }

    /// Returns the claims of the append in flight.
    pub(super) fn flying_claims(&self) -> Vec<AttemptId> {
        self.flight.iter().filter_map(|w| w.item.claim()).collect()
    }

    /// Returns the claims that wait to be sent.
    pub(super) fn queued_claims(&self) -> Vec<AttemptId> {
        self.queue.iter().filter_map(|w| w.item.claim()).collect()
    }

    pub(super) fn queued(&self, key: ClaimKey) -> bool {
        let mut all = self.queue.iter().chain(&self.flight);
        all.any(|w| w.item.key() == key)
    }

    /// Returns when the rate and the last failure allow an append.
    fn allowed(&self) -> Instant {
        let slack = self.interval.mul_f64(BURST - 1.0);
        let rated = Instant::new(self.refilled.elapsed().saturating_sub(slack));
        rated.max(self.resume)
    }
}

/// Removes the front of `queue` if `test` holds for it.
pub(super) fn pop_front_if<T>(queue: &mut VecDeque<T>, test: impl Fn(&T) -> bool) -> Option<T> {
    match queue.front() {
        Some(front) if test(front) => queue.pop_front(),
        _ => None,
    }
}
