//! Deterministic replay of a partition's records that decides which attempt may run.
//!
//! A claim wins if no other record blocks its key at its offset. Each claim that was not
//! abandoned, and each answer, blocks its key for all records that are at most window + margin
//! younger by the platform's clock.
//!
//! Losing claims block their key as well, until their claimants abandon them. The verdict thus
//! depends only on the records of the last window + margin, and a reader that starts later reaches
//! the same verdict. If losing claims were ignored, a reader that no longer sees the winner would
//! take a loser for the winner, and two readers would disagree about when the key is free again.
//!
//! A ledger does not decide claims for which records may be missing. It stores the time up to which
//! records may be missing. A claim within window + margin after that time is
//! [`ClaimVerdict::Undecided`], unless a record that was read blocks its key.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::append_queue::{Item, pop_front_if};
use super::key_history::{KeyEvent, KeyEventKind, KeyHistory, StoredReply};
use crate::{
    AbandonRecord, Answer, AnswerRecord, AttemptId, ClaimBatch, ClaimKey, ClaimRecord,
    ClaimRecordError, ClaimSettings, ClaimVerdict, Entry, Offset, PlatformTime, Reason,
    RequestHash,
};

/// State of a key, as seen by a new attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyState {
    /// No record blocks the key.
    Free,
    /// The same request was answered, with this answer of the backend server.
    Answered(Arc<Answer>),
    /// A different request uses the key.
    Conflict,
    /// An attempt holds the key and has no result yet.
    Pending,
    /// An attempt ran or may have run, and its answer is not available.
    Unknown(Reason),
}

/// Counters of irregular records in a ledger.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ClaimLedgerCounts {
    /// Records that are not a valid batch of claims.
    pub malformed: u64,
    /// Key events that were dropped because the ledger was full.
    pub dropped_events: u64,
    /// Answers that were rejected because their attempts had not won.
    pub rejected_answers: u64,
    /// Gaps in the records that were read.
    pub gaps: u64,
}

/// Claims, answers and abandoned attempts of one partition, rebuilt from its records.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::*;
///
/// let mut ledger = ClaimLedger::new(&ClaimSettings::new(Duration::from_secs(3600)));
/// ledger.begin_read(Offset(0), PlatformTime(0));
/// let claim = |attempt| ClaimRecord {
///     key: ClaimKey(1),
///     hash: RequestHash(2),
///     attempt: AttemptId(attempt),
/// };
/// let batch = ClaimBatch { claims: vec![claim(7), claim(8)], ..Default::default() };
/// ledger.apply(&Entry { offset: Offset(0), at_ms: 5, body: batch.encode()? })?;
/// assert_eq!(ledger.verdict(ClaimKey(1), AttemptId(7)), Some(ClaimVerdict::Won));
/// assert_eq!(ledger.verdict(ClaimKey(1), AttemptId(8)), Some(ClaimVerdict::Lost));
/// # Ok::<(), ClaimRecordError>(())
/// ```
#[derive(Debug, Clone)]
pub struct ClaimLedger {
    blocking_period: Duration,
    pending_timeout: Duration,
    retention: Duration,
    max_events: usize,
    max_answer_bytes: usize,
    keys: HashMap<ClaimKey, KeyHistory>,
    /// Time and key of all key events that have not expired, oldest first.
    expiry: VecDeque<(PlatformTime, ClaimKey)>,
    answer_bytes: usize,
    next: Option<Offset>,
    clock: PlatformTime,
    /// Platform time up to which records may be missing.
    missing_until: Option<PlatformTime>,
    counts: ClaimLedgerCounts,
}

impl ClaimLedger {
    /// Creates a ledger that has read no records.
    #[must_use]
    pub fn new(settings: &ClaimSettings) -> Self {
        Self {
            blocking_period: settings.blocking_period(),
            pending_timeout: settings.pending_timeout,
            retention: settings.retention,
            max_events: settings.marks,
            max_answer_bytes: settings.answer_bytes,
            keys: HashMap::new(),
            expiry: VecDeque::new(),
            answer_bytes: 0,
            next: None,
            clock: PlatformTime::default(),
            missing_until: None,
            counts: ClaimLedgerCounts::default(),
        }
    }

    /// Returns the offset of the next record to read.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.next.unwrap_or_default()
    }

    /// Returns the latest platform time that the ledger has seen.
    #[must_use]
    pub const fn clock(&self) -> PlatformTime {
        self.clock
    }

    /// Returns the number of stored keys.
    #[must_use]
    pub fn keys(&self) -> usize {
        self.keys.len()
    }

    /// Returns the total size of the stored answers in bytes.
    #[must_use]
    pub const fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Returns the counters of irregular records.
    #[must_use]
    pub const fn counts(&self) -> ClaimLedgerCounts {
        self.counts
    }

    /// Returns `true` if new claims must be refused because the ledger is nearly full.
    ///
    /// An eighth of the capacity is reserved for claims of nodes whose ledgers lag behind.
    #[must_use]
    pub fn nearly_full(&self) -> bool {
        self.expiry.len() >= self.max_events - self.max_events / 8
    }

    /// Returns `true` if a claim at `at` is undecidable because earlier records may be missing.
    #[must_use]
    pub fn history_incomplete(&self, at: PlatformTime) -> bool {
        self.missing_until
            .is_some_and(|until| at <= until + self.blocking_period)
    }

    /// Returns the delay after which a refused claim can be accepted.
    ///
    /// Claims are refused while the ledger is nearly full or its history is incomplete.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        let oldest = self
            .expiry
            .front()
            .filter(|_| self.nearly_full())
            .map(|(at, _)| *at);
        let until = oldest.max(self.missing_until).unwrap_or_default() + self.blocking_period;
        until.since(self.clock).max(Duration::from_secs(1))
    }

    /// Returns `true` if the records that were read contain `item`.
    pub(super) fn contains(&self, item: &Item) -> bool {
        let Some(history) = self.keys.get(&item.key()) else {
            return false;
        };
        match item {
            Item::Claim(r) => history.contains_attempt(r.attempt),
            Item::Answer(_) => history.has_answer(),
            Item::Abandon(r) => history.is_abandoned(r.attempt),
        }
    }

    /// Returns the verdict on a claim, or `None` if the ledger does not hold the claim.
    #[must_use]
    pub fn verdict(&self, key: ClaimKey, attempt: AttemptId) -> Option<ClaimVerdict> {
        self.keys.get(&key)?.verdict(attempt)
    }

    /// Returns the state of `key` for a request with the hash `hash`.
    ///
    /// The hash is compared before any replay, as Forge ORM, *Idempotency keys*, requires. The
    /// stored status is replayed whatever it is.
    #[must_use]
    pub fn key_state(&self, key: ClaimKey, hash: RequestHash) -> KeyState {
        let Some(history) = self.keys.get(&key).filter(|h| h.blocks_key()) else {
            return KeyState::Free;
        };
        match (history.answer(), history.winning_claim()) {
            (Some((stored_hash, _)), _) | (None, Some((_, stored_hash))) if stored_hash != hash => {
                KeyState::Conflict
            }
            (Some((_, StoredReply::Whole(answer))), _) => KeyState::Answered(Arc::clone(answer)),
            (Some((_, StoredReply::TooLarge)), _) => KeyState::Unknown(Reason::AnswerTooLarge),
            (Some((_, StoredReply::Broken)), _) => KeyState::Unknown(Reason::AnswerBroken),
            (Some((_, StoredReply::Dropped)), _) => KeyState::Unknown(Reason::AnswerDropped),
            (None, _) if self.pending_timed_out(history) => KeyState::Unknown(Reason::KeyUnknown),
            (None, _) => KeyState::Pending,
        }
    }

    /// Prepares the ledger for a page that was read at the platform time `now`, when `first` was
    /// the oldest offset in the stream.
    ///
    /// Records between the last record read and `first` are missing from this ledger. These records
    /// are older than the retention, because the platform deletes no younger records.
    pub fn begin_read(&mut self, first: Offset, now: PlatformTime) {
        if first <= self.next() {
            self.next.get_or_insert(first);
            return;
        }
        self.counts.gaps += 1;
        self.mark_missing(now.before(self.retention));
        self.next = Some(first);
    }

    /// Advances the clock to `now`, if all records below `next` were read.
    ///
    /// `now` is the platform time at which the stream ended at `next`.
    pub fn advance_clock(&mut self, next: Offset, now: PlatformTime) {
        if self.next() == next {
            self.expire(now);
        }
    }

    /// Applies the next record.
    ///
    /// A malformed record is counted and skipped, in the same way by all readers.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimRecordError::NewerRule`] if a newer release wrote the record. The ledger then
    /// stays before that record.
    pub fn apply(&mut self, entry: &Entry) -> Result<(), ClaimRecordError> {
        let Entry {
            offset,
            at_ms,
            body,
        } = entry;
        if *offset < self.next() {
            return Ok(());
        }
        let batch = match ClaimBatch::parse(body) {
            Ok(batch) => batch,
            Err(e @ ClaimRecordError::NewerRule(_)) => return Err(e),
            Err(_) => {
                self.counts.malformed += 1;
                ClaimBatch::default()
            }
        };
        self.expire(PlatformTime(*at_ms));
        if *offset > self.next() {
            self.counts.gaps += 1;
            self.mark_missing(self.clock);
        }
        // The ledger's clock does not step back when the platform's clock does. Otherwise earlier
        // records would look younger than they are.
        let at = self.clock;
        batch.abandoned.iter().for_each(|r| self.abandon(at, r));
        batch.claims.iter().for_each(|r| self.claim(at, r));
        batch.answers.into_iter().for_each(|r| self.answer(at, r));
        self.next = Some(offset.next());
        Ok(())
    }

    fn claim(&mut self, at: PlatformTime, record: &ClaimRecord) {
        let incomplete = self.history_incomplete(at);
        let history = self.keys.get(&record.key);
        let verdict = match history {
            Some(history) if history.contains_attempt(record.attempt) => return,
            Some(history) if history.blocks_key() => ClaimVerdict::Lost,
            _ if incomplete => ClaimVerdict::Undecided,
            _ => ClaimVerdict::Won,
        };
        let kind = KeyEventKind::Claim(record.hash, verdict);
        if !self.insert_event(at, record.key, record.attempt, kind) {
            self.mark_missing(at);
        }
    }

    fn abandon(&mut self, at: PlatformTime, record: &AbandonRecord) {
        let Some(history) = self.keys.get_mut(&record.key) else {
            self.insert_event(at, record.key, record.attempt, KeyEventKind::Abandoned);
            return;
        };
        // Without this event, a late repeat of the claim would block the key again.
        if history.remove_claim(record.attempt) || !history.contains_attempt(record.attempt) {
            self.insert_event(at, record.key, record.attempt, KeyEventKind::Abandoned);
        }
    }

    fn answer(&mut self, at: PlatformTime, record: AnswerRecord) {
        let history = self.keys.get(&record.key);
        let accepted = match history.map(|h| (h.verdict(record.attempt), h.has_answer())) {
            Some((_, true)) => return,
            Some((Some(ClaimVerdict::Won | ClaimVerdict::Undecided), _)) => true,
            Some((Some(ClaimVerdict::Lost), _)) => false,
            Some((None, _)) | None => self.history_incomplete(at),
        };
        if !accepted {
            self.counts.rejected_answers += 1;
            return;
        }
        let reply = StoredReply::new(
            record.reply,
            self.max_answer_bytes.saturating_sub(self.answer_bytes),
        );
        let size = reply.size();
        let kind = KeyEventKind::Answer(record.hash, reply);
        if self.insert_event(at, record.key, record.attempt, kind) {
            self.answer_bytes += size;
        }
    }

    fn insert_event(
        &mut self,
        at: PlatformTime,
        key: ClaimKey,
        attempt: AttemptId,
        kind: KeyEventKind,
    ) -> bool {
        if self.expiry.len() >= self.max_events {
            self.counts.dropped_events += 1;
            return false;
        }
        self.expiry.push_back((at, key));
        let event = KeyEvent { at, attempt, kind };
        match self.keys.get_mut(&key) {
            Some(history) => history.push(event),
            None => drop(self.keys.insert(key, KeyHistory(vec![event]))),
        }
        true
    }

    fn mark_missing(&mut self, until: PlatformTime) {
        self.missing_until = self.missing_until.max(Some(until));
    }

    /// Advances the clock to `now` and removes events that are older than the blocking period.
    fn expire(&mut self, now: PlatformTime) {
        self.clock = self.clock.max(now);
        let cutoff = self.clock.before(self.blocking_period);
        while let Some((_, key)) = pop_front_if(&mut self.expiry, |(at, _)| *at < cutoff) {
            let Some(history) = self.keys.get_mut(&key) else {
                continue;
            };
            let size = history
                .0
                .iter()
                .filter(|e| e.at < cutoff)
                .map(KeyEvent::size);
            self.answer_bytes -= size.sum::<usize>();
            history.0.retain(|e| e.at >= cutoff);
            if history.0.is_empty() {
                self.keys.remove(&key);
            }
        }
    }

    fn pending_timed_out(&self, history: &KeyHistory) -> bool {
        let first = history
            .winning_claim()
            .map(|(event, _)| event)
            .or(history.0.first());
        first.is_some_and(|e| e.at + self.pending_timeout < self.clock)
    }
}
