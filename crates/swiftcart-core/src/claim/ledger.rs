//! The pure fold over one partition's records that says who may run.
//!
//! A claim wins when no other record blocks its key at its offset. Every claim that
//! was not abandoned, and every answer, blocks its key until a record is more than
//! window + margin younger by the platform's time. Losing claims block as well, until
//! their holders abandon them: so the verdict rests on the records of the last
//! window + margin alone, and a reader that starts later comes to the same one. Were
//! losers ignored, a reader that no longer sees the winner would take the loser for
//! it, and two readers would date the next life of the key differently.
//!
//! What a ledger cannot know, it does not decide: it keeps the time up to which
//! records may be missing (`blind`), and a claim within window + margin after it is
//! [`ClaimVerdict::Undecided`].

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::marks::{Kept, Kind, Mark, Marks};
use super::outbox::{Item, pop_front_if};
use crate::{
    AbandonRecord, Answer, AnswerRecord, AttemptId, ClaimBatch, ClaimKey, ClaimRecord,
    ClaimRecordError, ClaimSettings, ClaimVerdict, Entry, Offset, PlatformTime, Reason,
    RequestHash,
};

/// Tells what the ledger knows of a key that an attempt asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyState {
    /// No record blocks the key.
    Free,
    /// The backend server's answer to the same request.
    Answered(Arc<Answer>),
    /// Another request has the key.
    Conflict,
    /// An attempt holds the key and has not ended.
    Pending,
    /// An attempt ran, or may have, and its answer cannot be given.
    Unknown(Reason),
}

/// Counts what a ledger met.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct LedgerCounts {
    /// Records that are no batch of claims.
    pub malformed: u64,
    /// Items that could not be remembered.
    pub overflow: u64,
    /// Answers of attempts that did not win.
    pub stray: u64,
    /// Times that records were missed.
    pub gaps: u64,
}

/// Folds the records of one partition.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use swiftcart_core::*;
///
/// let mut ledger = ClaimLedger::new(&ClaimSettings::new(Duration::from_secs(3600)));
/// ledger.begin(Offset(0), PlatformTime(0));
/// let claim = |attempt| ClaimRecord {
///     key: ClaimKey(1),
///     hash: RequestHash(2),
///     attempt: AttemptId(attempt),
/// };
/// let batch = ClaimBatch { claims: vec![claim(7), claim(8)], ..Default::default() };
/// ledger.fold(&Entry { offset: Offset(0), at_ms: 5, body: batch.encode()? })?;
/// assert_eq!(ledger.standing(ClaimKey(1), AttemptId(7)), Some(ClaimVerdict::Won));
/// assert_eq!(ledger.standing(ClaimKey(1), AttemptId(8)), Some(ClaimVerdict::Lost));
/// # Ok::<(), ClaimRecordError>(())
/// ```
#[derive(Debug, Clone)]
pub struct ClaimLedger {
    blocked: Duration,
    patience: Duration,
    retention: Duration,
    max_marks: usize,
    max_bytes: usize,
    keys: HashMap<ClaimKey, Marks>,
    /// Every mark ever made that has not expired, the oldest first.
    expiry: VecDeque<(PlatformTime, ClaimKey)>,
    bytes: usize,
    next: Option<Offset>,
    clock: PlatformTime,
    /// Records up to this time may be missing.
    blind: Option<PlatformTime>,
    counts: LedgerCounts,
}

impl ClaimLedger {
    /// Creates a ledger that has read nothing.
    #[must_use]
    pub fn new(settings: &ClaimSettings) -> Self {
        Self {
            blocked: settings.blocked(),
            patience: settings.patience,
            retention: settings.retention,
            max_marks: settings.marks,
            max_bytes: settings.bytes,
            keys: HashMap::new(),
            expiry: VecDeque::new(),
            bytes: 0,
            next: None,
            clock: PlatformTime::default(),
            blind: None,
            counts: LedgerCounts::default(),
        }
    }

    /// Returns the offset to read from.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.next.unwrap_or_default()
    }

    /// Returns the latest time that the platform is known to have reached.
    #[must_use]
    pub const fn clock(&self) -> PlatformTime {
        self.clock
    }

    /// Returns the number of keys that are remembered.
    #[must_use]
    pub fn keys(&self) -> usize {
        self.keys.len()
    }

    /// Returns the bytes of answers that are remembered.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns what the ledger met.
    #[must_use]
    pub const fn counts(&self) -> LedgerCounts {
        self.counts
    }

    /// Returns whether new claims would soon not be remembered.
    ///
    /// An eighth is left for the claims of nodes that have not noticed yet.
    #[must_use]
    pub fn full(&self) -> bool {
        self.expiry.len() >= self.max_marks - self.max_marks / 8
    }

    /// Returns whether a claim at `at` could not be decided for want of history.
    #[must_use]
    pub fn blind(&self, at: PlatformTime) -> bool {
        self.blind.is_some_and(|blind| at <= blind + self.blocked)
    }

    /// Returns how long claims are refused for want of memory or history.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        let oldest = self
            .expiry
            .front()
            .filter(|_| self.full())
            .map(|(at, _)| *at);
        let until = oldest.max(self.blind).unwrap_or_default() + self.blocked;
        until.since(self.clock).max(Duration::from_secs(1))
    }

    /// Returns whether the log is known to hold `item`.
    pub(super) fn contains(&self, item: &Item) -> bool {
        let Some(marks) = self.keys.get(&item.key()) else {
            return false;
        };
        match item {
            Item::Claim(r) => marks.knows(r.attempt),
            Item::Answer(_) => marks.answered(),
            Item::Abandon(r) => marks.abandoned(r.attempt),
        }
    }

    /// Returns what a claim is worth, once its record is folded.
    #[must_use]
    pub fn standing(&self, key: ClaimKey, attempt: AttemptId) -> Option<ClaimVerdict> {
        self.keys.get(&key)?.standing(attempt)
    }

    /// Returns what is known of `key` for the request `hash`.
    ///
    /// The request's hash is compared before any replay, as the paper asks, and the
    /// stored status is replayed whatever it is.
    #[must_use]
    pub fn known(&self, key: ClaimKey, hash: RequestHash) -> KeyState {
        let Some(entry) = self.keys.get(&key).filter(|e| e.blocks()) else {
            return KeyState::Free;
        };
        match (entry.answer(), entry.winner()) {
            (Some((other, _)), _) | (None, Some((_, other))) if other != hash => KeyState::Conflict,
            (Some((_, Kept::Whole(answer))), _) => KeyState::Answered(Arc::clone(answer)),
            (Some((_, Kept::TooLarge)), _) => KeyState::Unknown(Reason::AnswerTooLarge),
            (Some((_, Kept::Broken)), _) => KeyState::Unknown(Reason::AnswerBroken),
            (Some((_, Kept::Dropped)), _) => KeyState::Unknown(Reason::AnswerDropped),
            (None, _) if self.overdue(entry) => KeyState::Unknown(Reason::KeyUnknown),
            (None, _) => KeyState::Pending,
        }
    }

    /// Notes that a read starts at `first`, the oldest kept record, at the platform's `now`.
    ///
    /// Whatever lies between the last record read and `first` is lost to this ledger;
    /// the platform only drops records that are older than the retention.
    pub fn begin(&mut self, first: Offset, now: PlatformTime) {
        if first <= self.next() {
            self.next.get_or_insert(first);
            return;
        }
        self.counts.gaps += 1;
        self.miss(now.before(self.retention));
        self.next = Some(first);
    }

    /// Notes that the platform's clock showed `now` when every record below `next` existed.
    pub fn advance(&mut self, next: Offset, now: PlatformTime) {
        if self.next() == next {
            self.expire(now);
        }
    }

    /// Takes the next record.
    ///
    /// A malformed record is counted and skipped, by every reader alike.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimRecordError::NewerRule`] and stays before the record when a newer
    /// release wrote it.
    pub fn fold(&mut self, entry: &Entry) -> Result<(), ClaimRecordError> {
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
            self.miss(self.clock);
        }
        // A clock that steps back must not make records look younger than they are.
        let at = self.clock;
        batch.abandoned.iter().for_each(|r| self.abandon(at, r));
        batch.claims.iter().for_each(|r| self.claim(at, r));
        batch.answers.into_iter().for_each(|r| self.answer(at, r));
        self.next = Some(offset.next());
        Ok(())
    }

    fn claim(&mut self, at: PlatformTime, record: &ClaimRecord) {
        let blind = self.blind(at);
        let entry = self.keys.get(&record.key);
        let standing = match entry {
            Some(entry) if entry.knows(record.attempt) => return,
            Some(entry) if entry.blocks() => ClaimVerdict::Lost,
            _ if blind => ClaimVerdict::Undecided,
            _ => ClaimVerdict::Won,
        };
        let kind = Kind::Claim(record.hash, standing);
        if !self.remember(at, record.key, record.attempt, kind) {
            self.miss(at);
        }
    }

    fn abandon(&mut self, at: PlatformTime, record: &AbandonRecord) {
        let Some(entry) = self.keys.get_mut(&record.key) else {
            self.remember(at, record.key, record.attempt, Kind::Abandoned);
            return;
        };
        // Without the mark a late repeat of the claim would block the key again.
        if entry.withdraw(record.attempt) || !entry.knows(record.attempt) {
            self.remember(at, record.key, record.attempt, Kind::Abandoned);
        }
    }

    fn answer(&mut self, at: PlatformTime, record: AnswerRecord) {
        let entry = self.keys.get(&record.key);
        let counts = match entry.map(|e| (e.standing(record.attempt), e.answered())) {
            Some((_, true)) => return,
            Some((Some(ClaimVerdict::Won | ClaimVerdict::Undecided), _)) => true,
            Some((Some(ClaimVerdict::Lost), _)) => false,
            Some((None, _)) | None => self.blind(at),
        };
        if !counts {
            self.counts.stray += 1;
            return;
        }
        let kept = Kept::new(record.reply, self.max_bytes.saturating_sub(self.bytes));
        let size = kept.size();
        let kind = Kind::Answer(record.hash, kept);
        if self.remember(at, record.key, record.attempt, kind) {
            self.bytes += size;
        }
    }

    fn remember(
        &mut self,
        at: PlatformTime,
        key: ClaimKey,
        attempt: AttemptId,
        kind: Kind,
    ) -> bool {
        if self.expiry.len() >= self.max_marks {
            self.counts.overflow += 1;
            return false;
        }
        self.expiry.push_back((at, key));
        let mark = Mark { at, attempt, kind };
        match self.keys.get_mut(&key) {
            Some(entry) => entry.push(mark),
            None => drop(self.keys.insert(key, Marks(vec![mark]))),
        }
        true
    }

    fn miss(&mut self, until: PlatformTime) {
        self.blind = self.blind.max(Some(until));
    }

    /// Moves the clock, and forgets what no longer blocks a record of that time.
    fn expire(&mut self, now: PlatformTime) {
        self.clock = self.clock.max(now);
        let limit = self.clock.before(self.blocked);
        while let Some((_, key)) = pop_front_if(&mut self.expiry, |(at, _)| *at < limit) {
            let Some(entry) = self.keys.get_mut(&key) else {
                continue;
            };
            let size = entry.0.iter().filter(|m| m.at < limit).map(Mark::size);
            self.bytes -= size.sum::<usize>();
            entry.0.retain(|m| m.at >= limit);
            if entry.0.is_empty() {
                self.keys.remove(&key);
            }
        }
    }

    fn overdue(&self, entry: &Marks) -> bool {
        let first = entry.winner().map(|(m, _)| m).or(entry.0.first());
        first.is_some_and(|m| m.at + self.patience < self.clock)
    }
}
