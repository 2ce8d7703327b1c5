//! Queue of items for the log, appended in batches at a limited rate with one append in flight.

use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::{
    AbandonRecord, AnswerRecord, AttemptId, ClaimBatch, ClaimKey, ClaimRecord, ClaimSettings,
    Instant, MAX_CLAIM_RECORD_BYTES,
};

/// Bytes of a record that are reserved for everything except its items.
const RECORD_OVERHEAD_BYTES: usize = 256;
/// Burst size of the append rate limit, in appends.
const APPEND_BURST: f64 = 2.0;

/// Item of a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Item {
    Claim(ClaimRecord),
    Answer(AnswerRecord),
    Abandon(AbandonRecord),
}

/// Item with its encoded size and the time at which it was queued.
#[derive(Debug, Clone, PartialEq, Eq)]
struct QueuedItem {
    item: Item,
    bytes: usize,
    queued_at: Instant,
}

/// Queue of items that decides when the next append is due.
#[derive(Debug, Clone)]
pub(super) struct AppendQueue {
    limit: usize,
    max_batch: usize,
    linger: Duration,
    /// Time for which answers and abandoned attempts wait for other items.
    result_linger: Duration,
    interval: Duration,
    backoff: Duration,
    backoff_max: Duration,
    item_lifetime: Duration,
    queue: VecDeque<QueuedItem>,
    /// Time until which the queued items wait for a larger batch.
    linger_until: Instant,
    in_flight: Vec<QueuedItem>,
    append_pending: bool,
    sent_at: Instant,
    /// Moving average of the append latency.
    append_latency: Duration,
    /// Time at which the token bucket of the append rate is full again.
    bucket_full_at: Instant,
    failures: u32,
    retry_at: Instant,
    rng: SmallRng,
}

impl Item {
    const fn claim_attempt(&self) -> Option<AttemptId> {
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

    /// Returns the encoded size in bytes, or the maximum record size if the encoding fails.
    pub(super) fn encoded_len(&self) -> usize {
        let json = match self {
            Self::Claim(r) => serde_json::to_string(r),
            Self::Answer(r) => serde_json::to_string(r),
            Self::Abandon(r) => serde_json::to_string(r),
        };
        json.map_or(MAX_CLAIM_RECORD_BYTES, |s| s.len() + 1)
    }
}

impl AppendQueue {
    pub(super) fn new(settings: &ClaimSettings, seed: u64) -> Self {
        Self {
            limit: settings.queue,
            max_batch: settings.batch,
            linger: settings.linger,
            result_linger: settings.result_linger,
            interval: Duration::from_secs_f64(1.0 / settings.rate),
            backoff: settings.backoff,
            backoff_max: settings.backoff_max,
            item_lifetime: settings.blocking_period(),
            queue: VecDeque::new(),
            linger_until: Instant::default(),
            in_flight: Vec::new(),
            append_pending: false,
            sent_at: Instant::default(),
            append_latency: Duration::ZERO,
            bucket_full_at: Instant::default(),
            failures: 0,
            retry_at: Instant::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the number of items that are not confirmed to be in the log.
    pub(super) fn len(&self) -> usize {
        self.queue.len() + self.in_flight.len()
    }

    pub(super) const fn limit(&self) -> usize {
        self.limit
    }

    pub(super) const fn failures(&self) -> u32 {
        self.failures
    }

    pub(super) fn push(&mut self, now: Instant, item: Item) {
        let bytes = item.encoded_len();
        let queued_at = now;
        let linger_until = match item {
            Item::Claim(_) => now + self.linger,
            Item::Answer(_) | Item::Abandon(_) => now + self.result_linger,
        };
        self.linger_until = match self.queue.is_empty() {
            true => linger_until,
            false => self.linger_until.min(linger_until),
        };
        self.queue.push_back(QueuedItem {
            item,
            bytes,
            queued_at,
        });
    }

    /// Removes the queued claim of `attempt`.
    pub(super) fn cancel(&mut self, attempt: AttemptId) {
        self.queue
            .retain(|queued| !matches!(&queued.item, Item::Claim(r) if r.attempt == attempt));
    }

    /// Removes the items for which `in_log` returns `true`.
    pub(super) fn remove_logged(&mut self, in_log: impl Fn(&Item) -> bool) {
        self.queue.retain(|queued| !in_log(&queued.item));
        self.in_flight.retain(|queued| !in_log(&queued.item));
    }

    /// Returns the time at which an append is due, or `None` if an append is in flight.
    pub(super) fn due(&self) -> Option<Instant> {
        match self.queue.len() {
            _ if self.append_pending => None,
            0 => None,
            n if n >= self.max_batch => Some(self.next_allowed()),
            _ => Some(self.linger_until.max(self.next_allowed())),
        }
    }

    /// Starts the next append if it is due.
    pub(super) fn take_batch(&mut self, now: Instant) -> Option<ClaimBatch> {
        // Readers no longer need an item that is older than the blocking period.
        let is_expired = |queued: &QueuedItem| now.since(queued.queued_at) > self.item_lifetime;
        while pop_front_if(&mut self.queue, is_expired).is_some() {}
        self.due().filter(|due| *due <= now)?;
        let mut batch = ClaimBatch::default();
        let mut bytes = RECORD_OVERHEAD_BYTES;
        while self.in_flight.len() < self.max_batch {
            let fits = |queued: &QueuedItem| bytes + queued.bytes <= MAX_CLAIM_RECORD_BYTES;
            let Some(queued_item) = pop_front_if(&mut self.queue, fits) else {
                break;
            };
            bytes += queued_item.bytes;
            match queued_item.item.clone() {
                Item::Claim(r) => batch.claims.push(r),
                Item::Answer(r) => batch.answers.push(r),
                Item::Abandon(r) => batch.abandoned.push(r),
            }
            self.in_flight.push(queued_item);
        }
        self.append_pending = !self.in_flight.is_empty();
        // Items that did not fit into this batch do not linger again.
        self.linger_until = now;
        self.sent_at = now;
        self.bucket_full_at = self.bucket_full_at.max(now) + self.interval;
        self.append_pending.then_some(batch)
    }

    /// Ends the append in flight after its items reached the log.
    pub(super) fn append_succeeded(&mut self, now: Instant) {
        self.in_flight.clear();
        self.append_pending = false;
        self.failures = 0;
        let latency = now.since(self.sent_at);
        self.append_latency = (self.append_latency * 7 + latency) / 8;
    }

    /// Ends the append in flight and queues its items again, in their order.
    pub(super) fn append_failed(&mut self, now: Instant, retry_after: Option<Duration>) {
        self.append_pending = false;
        self.linger_until = now;
        for queued_item in self.in_flight.drain(..).rev() {
            self.queue.push_front(queued_item);
        }
        let exponential = self.backoff * 2_u32.saturating_pow(self.failures.min(16));
        let delay = retry_after
            .unwrap_or_default()
            .max(exponential.min(self.backoff_max));
        self.retry_at = now + delay.mul_f64(self.rng.random_range(0.75..1.25));
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns the estimated time until a claim that is queued now has been appended.
    pub(super) fn estimated_wait(&self, now: Instant) -> Duration {
        let batches_ahead = u32::try_from(self.queue.len() / self.max_batch).unwrap_or(u32::MAX);
        let per_append = self.interval.max(self.append_latency);
        let remaining = if self.append_pending {
            self.append_latency
        } else {
            Duration::ZERO
        };
        let start = self
            .next_allowed()
            .since(now)
            .max(self.linger)
            .max(remaining);
        start
            .saturating_add(per_append.saturating_mul(batches_ahead))
            .saturating_add(self.append_latency)
    }

    /// Returns the claims of the append in flight.
    pub(super) fn in_flight_claims(&self) -> Vec<AttemptId> {
        self.in_flight
            .iter()
            .filter_map(|queued| queued.item.claim_attempt())
            .collect()
    }

    /// Returns the queued claims.
    pub(super) fn queued_claims(&self) -> Vec<AttemptId> {
        self.queue
            .iter()
            .filter_map(|queued| queued.item.claim_attempt())
            .collect()
    }

    pub(super) fn contains_key(&self, key: ClaimKey) -> bool {
        let mut all = self.queue.iter().chain(&self.in_flight);
        all.any(|queued| queued.item.key() == key)
    }

    /// Returns the earliest time that the rate limit and the backoff allow for an append.
    fn next_allowed(&self) -> Instant {
        let burst_allowance = self.interval.mul_f64(APPEND_BURST - 1.0);
        let rate_limited_until = Instant::new(
            self.bucket_full_at
                .elapsed()
                .saturating_sub(burst_allowance),
        );
        rate_limited_until.max(self.retry_at)
    }
}

/// Removes and returns the front of `queue` if `predicate` returns `true` for it.
pub(super) fn pop_front_if<T>(
    queue: &mut VecDeque<T>,
    predicate: impl Fn(&T) -> bool,
) -> Option<T> {
    match queue.front() {
        Some(front) if predicate(front) => queue.pop_front(),
        _ => None,
    }
}
