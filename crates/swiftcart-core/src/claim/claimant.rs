//! Claimant of one partition, which decides whether the attempt of an offered claim may run.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::append_queue::{AppendQueue, Item};
use crate::{
    AbandonRecord, Answer, AnswerRecord, AppendResult, Claim, ClaimAction, ClaimBatch, ClaimKey,
    ClaimLedger, ClaimPage, ClaimRecord, ClaimRecordError, ClaimSettings, ClaimTicket,
    ClaimVerdict, Decision, ExecutionResult, Instant, KeyState, MAX_CLAIM_RECORD_BYTES, Offset,
    Outcome, Reason, Refusal, Reply, StartPermit,
};

/// Shortest `Retry-After` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Refusal while the partition's records are still being read.
const CATCHING_UP: Refusal = Refusal::new(Reason::CatchingUp).with_retry(MIN_RETRY_AFTER);
/// Number of consecutive failed appends after which a claim is refused unless the queue is empty.
const PLATFORM_DOWN_FAILURES: u32 = 2;

/// Accepted claim and its progress.
#[derive(Debug, Clone)]
struct TrackedClaim {
    claim: Claim,
    phase: Phase,
}

/// Progress of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Queued and certainly not in the log.
    Queued,
    /// Sent in at least one append, so that it may be in the log.
    Sent {
        /// Time of the first append.
        sent_at: Instant,
        /// Offset in the log, once the platform has confirmed the append.
        offset: Option<Offset>,
        /// `true` if the result of an earlier append is unknown.
        uncertain: bool,
    },
    /// Won the key, not dispatched yet.
    Won { sent_at: Instant },
    /// Dispatched to the backend server.
    Started,
}

/// State machine that decides which attempts run in one partition of a service's keys.
///
/// Call [`poll`](Self::poll) after every input; it returns the actions to take.
#[derive(Debug, Clone)]
pub struct Claimant {
    settings: ClaimSettings,
    ledger: ClaimLedger,
    append_queue: AppendQueue,
    tickets: BTreeMap<ClaimTicket, TrackedClaim>,
    keys: HashMap<ClaimKey, ClaimTicket>,
    last_ticket: u64,
    caught_up: bool,
    /// `true` while the next record follows a newer claim rule.
    stalled: bool,
    actions: Vec<ClaimAction>,
}

impl Claimant {
    /// Creates a claimant that has read no records and refuses claims with `catching-up`.
    ///
    /// `seed` seeds the jitter that spreads the retries of different nodes.
    #[must_use]
    pub fn new(settings: ClaimSettings, seed: u64) -> Self {
        Self {
            ledger: ClaimLedger::new(&settings),
            append_queue: AppendQueue::new(&settings, seed),
            settings,
            tickets: BTreeMap::new(),
            keys: HashMap::new(),
            last_ticket: 0,
            caught_up: false,
            stalled: false,
            actions: Vec::new(),
        }
    }

    /// Returns the ledger of the partition.
    #[must_use]
    pub const fn ledger(&self) -> &ClaimLedger {
        &self.ledger
    }

    /// Returns `true` if the partition has been read to its end.
    #[must_use]
    pub const fn caught_up(&self) -> bool {
        self.caught_up
    }

    /// Returns the number of items that are not confirmed to be in the log.
    ///
    /// A planned stop waits until this number is zero.
    #[must_use]
    pub fn unwritten(&self) -> usize {
        self.append_queue.len()
    }

    /// Returns the time at which [`poll`](Self::poll) must be called if no input arrives earlier.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        let undispatched = self.tickets.values().filter(|c| c.phase != Phase::Started);
        let deadline = undispatched.map(|c| c.claim.deadline).min();
        deadline.into_iter().chain(self.append_queue.due()).min()
    }

    /// Queues a claim, or returns its result if no append is needed.
    pub fn offer(&mut self, now: Instant, claim: Claim) -> Decision {
        let key_state = self.ledger.key_state(claim.key, claim.hash);
        match (self.stalled, key_state) {
            (true, _) => Decision::Refuse(Reason::ClaimRule.into()),
            (false, KeyState::Answered(answer)) => Decision::Replay(answer),
            _ if !self.caught_up => Decision::Refuse(CATCHING_UP),
            (false, KeyState::Free) => self.try_enqueue(now, claim),
            (false, key_state) => decision_for(key_state),
        }
    }

    /// Applies a page of the partition's records, read from [`ClaimLedger::next`].
    pub fn apply_page(&mut self, now: Instant, page: &ClaimPage<'_>) {
        if page.first > self.ledger.next() {
            self.caught_up = false;
        }
        self.ledger.begin_read(page.first, page.now);
        for entry in page.entries {
            match self.ledger.apply(entry) {
                Err(ClaimRecordError::NewerRule(_)) => {
                    self.stalled = true;
                    break;
                }
                Ok(()) | Err(_) => self.stalled = false,
            }
        }
        self.ledger.advance_clock(page.next, page.now);
        self.caught_up |= self.ledger.next() >= page.next;
        self.append_queue
            .remove_logged(|item| self.ledger.contains(item));
        self.apply_verdicts(now);
    }

    /// Processes the result of the append in flight.
    ///
    /// The embedding program reports [`AppendResult::Unknown`] if the append exceeds its timeout.
    pub fn finish_append(&mut self, now: Instant, result: AppendResult) {
        match result {
            AppendResult::Done(at) => self.append_succeeded(now, at),
            AppendResult::Failed { retry_after } => self.append_failed(now, retry_after),
            AppendResult::Unknown => self.append_uncertain(now),
        }
        self.apply_verdicts(now);
    }

    /// Returns the actions to take now.
    #[must_use]
    pub fn poll(&mut self, now: Instant) -> Vec<ClaimAction> {
        self.expire_claims(now);
        if let Some(batch) = self.append_queue.take_batch(now) {
            self.send(now, &batch);
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns a permit to dispatch the request of a ticket that won.
    ///
    /// Call this method once, immediately before the request is dispatched.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request must not be dispatched. The ticket has then ended and the
    /// caller can be answered `not-run`.
    pub fn try_start(&mut self, ticket: ClaimTicket, now: Instant) -> Result<StartPermit, Refusal> {
        let Some(tracked) = self.tickets.get_mut(&ticket) else {
            return Err(Reason::ClaimLapsed.into());
        };
        let Phase::Won { sent_at } = tracked.phase else {
            return Err(Reason::ClaimLapsed.into());
        };
        let until = sent_at + self.settings.start_window();
        let refusal: Refusal = match tracked.claim.deadline {
            _ if now >= until => Reason::ClaimLapsed.into(),
            deadline if now >= deadline => Reason::DeadlinePassed.into(),
            deadline => {
                tracked.phase = Phase::Started;
                return Ok(StartPermit {
                    until: until.min(deadline),
                });
            }
        };
        self.abandon(now, ticket);
        Err(refusal)
    }

    /// Ends a dispatched ticket.
    ///
    /// Tickets that were not dispatched stay unchanged; see [`cancel_claim`](Self::cancel_claim).
    pub fn record_result(&mut self, now: Instant, ticket: ClaimTicket, result: ExecutionResult) {
        let Some(tracked) = self.tickets.get(&ticket) else {
            return;
        };
        let claim = tracked.claim;
        match result {
            _ if tracked.phase != Phase::Started => {}
            ExecutionResult::NotRun => self.abandon(now, ticket),
            ExecutionResult::Whole(reply) => self.finish(now, ticket, &claim, Reply::Whole(reply)),
            ExecutionResult::Broken => self.finish(now, ticket, &claim, Reply::Broken),
        }
    }

    /// Cancels a ticket whose caller has disconnected and returns the outcome for the caller.
    ///
    /// A dispatched ticket stays until [`record_result`](Self::record_result), and its outcome is
    /// unknown. A ticket that has already ended gives [`Outcome::Unknown`], because its outcome was
    /// reported when it ended.
    pub fn cancel_claim(&mut self, now: Instant, ticket: ClaimTicket) -> Outcome {
        match self.tickets.get(&ticket).map(|c| c.phase) {
            Some(Phase::Started) => Outcome::Unknown,
            Some(_) => {
                self.abandon(now, ticket);
                Outcome::NotRun
            }
            None => Outcome::Unknown,
        }
    }

    fn try_enqueue(&mut self, now: Instant, claim: Claim) -> Decision {
        let wait = self.append_queue.estimated_wait(now);
        let retry_after = wait.max(MIN_RETRY_AFTER);
        let key_in_use =
            self.keys.contains_key(&claim.key) || self.append_queue.contains_key(claim.key);
        let required_slots = self.append_queue.len() + 2 * self.tickets.len() + 2;
        let failures = self.append_queue.failures();
        let refusal: Refusal = match self.ledger.clock() {
            _ if key_in_use => {
                return Decision::InProgress {
                    retry_after: MIN_RETRY_AFTER,
                };
            }
            _ if now >= claim.deadline => Reason::DeadlinePassed.into(),
            _ if self.ledger.nearly_full() => self.capacity_refusal(),
            at if self.ledger.history_incomplete(at) => self.capacity_refusal(),
            _ if required_slots > self.append_queue.limit() => {
                Refusal::new(Reason::QueueFull).with_retry(retry_after)
            }
            _ if failures >= PLATFORM_DOWN_FAILURES && self.append_queue.len() > 0 => {
                Refusal::new(Reason::PlatformDown).with_retry(retry_after)
            }
            _ if now + wait >= claim.deadline && failures > 0 => {
                Refusal::new(Reason::PlatformDown).with_retry(retry_after)
            }
            _ if now + wait >= claim.deadline => {
                Refusal::new(Reason::QueueFull).with_retry(retry_after)
            }
            _ => return Decision::Wait(self.enqueue(now, claim)),
        };
        Decision::Refuse(refusal)
    }

    /// Returns the refusal of a claim that the ledger cannot store or decide.
    fn capacity_refusal(&self) -> Refusal {
        let reason = match self.ledger.nearly_full() {
            true => Reason::LedgerFull,
            false => Reason::CatchingUp,
        };
        Refusal::new(reason).with_retry(self.ledger.retry_after())
    }

    fn enqueue(&mut self, now: Instant, claim: Claim) -> ClaimTicket {
        let Claim {
            key, hash, attempt, ..
        } = claim;
        self.last_ticket += 1;
        let ticket = ClaimTicket(self.last_ticket);
        let phase = Phase::Queued;
        self.tickets.insert(ticket, TrackedClaim { claim, phase });
        self.keys.insert(key, ticket);
        let record = ClaimRecord { key, hash, attempt };
        self.append_queue.push(now, Item::Claim(record));
        ticket
    }

    /// Starts an append. The age of its claims counts from before the append is sent.
    fn send(&mut self, now: Instant, batch: &ClaimBatch) {
        for record in &batch.claims {
            let ticket = self.keys.get(&record.key);
            let tracked = ticket.and_then(|t| self.tickets.get_mut(t));
            match tracked {
                Some(tracked) if tracked.phase == Phase::Queued => {
                    let (sent_at, offset, uncertain) = (now, None, false);
                    tracked.phase = Phase::Sent {
                        sent_at,
                        offset,
                        uncertain,
                    };
                }
                _ => {}
            }
        }
        match batch.encode() {
            Ok(body) => self.actions.push(ClaimAction::Append(body)),
            // The queue limits the size of a batch, so this error is not expected. It is handled
            // as a failed append.
            Err(_) => self.append_failed(now, None),
        }
    }

    fn append_succeeded(&mut self, now: Instant, at: Offset) {
        for attempt in self.append_queue.in_flight_claims() {
            let mut tracked = self.tickets.values_mut();
            if let Some(Phase::Sent { offset, .. }) = tracked
                .find(|c| c.claim.attempt == attempt)
                .map(|c| &mut c.phase)
            {
                offset.get_or_insert(at);
            }
        }
        self.append_queue.append_succeeded(now);
    }

    fn append_failed(&mut self, now: Instant, retry_after: Option<Duration>) {
        let in_flight = self.append_queue.in_flight_claims();
        for tracked in self.tickets.values_mut() {
            let is_in_flight = in_flight.contains(&tracked.claim.attempt);
            match tracked.phase {
                Phase::Sent {
                    uncertain: false, ..
                } if is_in_flight => tracked.phase = Phase::Queued,
                _ => {}
            }
        }
        self.requeue(now, retry_after);
    }

    fn append_uncertain(&mut self, now: Instant) {
        let in_flight = self.append_queue.in_flight_claims();
        for tracked in self.tickets.values_mut() {
            let is_in_flight = in_flight.contains(&tracked.claim.attempt);
            match &mut tracked.phase {
                Phase::Sent { uncertain, .. } if is_in_flight => *uncertain = true,
                _ => {}
            }
        }
        self.requeue(now, None);
    }

    /// Queues the items in flight again, except for claims that were abandoned.
    fn requeue(&mut self, now: Instant, retry_after: Option<Duration>) {
        self.append_queue.append_failed(now, retry_after);
        for attempt in self.append_queue.queued_claims() {
            if !self.tickets.values().any(|c| c.claim.attempt == attempt) {
                self.append_queue.cancel(attempt);
            }
        }
    }

    /// Applies the ledger's verdicts to the claims that were sent.
    fn apply_verdicts(&mut self, now: Instant) {
        let waiting = self.tickets.iter().filter_map(|(t, c)| match c.phase {
            Phase::Sent {
                sent_at, offset, ..
            } => Some((*t, c.claim, sent_at, offset)),
            _ => None,
        });
        for (ticket, claim, sent_at, offset) in waiting.collect::<Vec<_>>() {
            let read_past = offset.is_some_and(|o| o < self.ledger.next());
            match self.ledger.verdict(claim.key, claim.attempt) {
                Some(ClaimVerdict::Won) => self.mark_won(ticket, sent_at),
                Some(ClaimVerdict::Lost) => self.settle_lost(now, ticket, &claim),
                Some(ClaimVerdict::Undecided) => self.settle_undecided(now, ticket),
                None if read_past => self.settle_undecided(now, ticket),
                None => {}
            }
        }
    }

    fn mark_won(&mut self, ticket: ClaimTicket, sent_at: Instant) {
        if let Some(tracked) = self.tickets.get_mut(&ticket) {
            tracked.phase = Phase::Won { sent_at };
            self.actions.push(ClaimAction::Run(ticket));
        }
    }

    fn settle_lost(&mut self, now: Instant, ticket: ClaimTicket, claim: &Claim) {
        let key_state = self.ledger.key_state(claim.key, claim.hash);
        self.settle(now, ticket, decision_for(key_state));
    }

    fn settle_undecided(&mut self, now: Instant, ticket: ClaimTicket) {
        let refusal = self.capacity_refusal();
        self.settle(now, ticket, Decision::Refuse(refusal));
    }

    fn settle(&mut self, now: Instant, ticket: ClaimTicket, decision: Decision) {
        self.abandon(now, ticket);
        self.actions.push(ClaimAction::Settle(ticket, decision));
    }

    /// Ends the claims whose deadlines have passed before their requests were dispatched.
    fn expire_claims(&mut self, now: Instant) {
        let overdue = self.tickets.iter().filter_map(|(t, c)| match c.phase {
            Phase::Started => None,
            _ => (now >= c.claim.deadline).then_some(*t),
        });
        let refusal: Refusal = match self.append_queue.failures() {
            0 => Reason::DeadlinePassed.into(),
            _ => Refusal::new(Reason::PlatformDown)
                .with_retry(self.append_queue.estimated_wait(now).max(MIN_RETRY_AFTER)),
        };
        for ticket in overdue.collect::<Vec<_>>() {
            self.settle(now, ticket, Decision::Refuse(refusal));
        }
    }

    /// Ends a ticket whose request did not run, so that the request can no longer be dispatched.
    ///
    /// The record that frees the key is appended only if the claim may be in the log.
    fn abandon(&mut self, now: Instant, ticket: ClaimTicket) {
        let Some(tracked) = self.tickets.remove(&ticket) else {
            return;
        };
        let Claim { key, attempt, .. } = tracked.claim;
        self.keys.remove(&key);
        self.append_queue.cancel(attempt);
        if tracked.phase != Phase::Queued {
            let record = AbandonRecord { key, attempt };
            self.append_queue.push(now, Item::Abandon(record));
        }
    }

    /// Ends a dispatched ticket and queues its result.
    fn finish(&mut self, now: Instant, ticket: ClaimTicket, claim: &Claim, reply: Reply) {
        let Claim {
            key, hash, attempt, ..
        } = *claim;
        self.tickets.remove(&ticket);
        self.keys.remove(&key);
        let reply = limit_reply(reply, self.settings.answer);
        let item = Item::Answer(AnswerRecord {
            key,
            hash,
            attempt,
            reply,
        });
        self.append_queue.push(now, item);
    }
}

/// Returns `reply`, or [`Reply::TooLarge`] if the body of its answer exceeds `limit` bytes or the
/// whole answer exceeds [`MAX_CLAIM_RECORD_BYTES`].
fn limit_reply(reply: Reply, limit: usize) -> Reply {
    match reply {
        Reply::Whole(Answer { ref body, .. }) if body.len() > limit => Reply::TooLarge,
        Reply::Whole(ref answer) if answer.size() > MAX_CLAIM_RECORD_BYTES => Reply::TooLarge,
        reply => reply,
    }
}

fn decision_for(key_state: KeyState) -> Decision {
    match key_state {
        KeyState::Answered(answer) => Decision::Replay(answer),
        KeyState::Conflict => Decision::Conflict,
        KeyState::Unknown(reason) => Decision::Unknown(reason),
        // The key may have become free since the claim lost; a retry gets the current state.
        KeyState::Pending | KeyState::Free => Decision::InProgress {
            retry_after: MIN_RETRY_AFTER,
        },
    }
}
