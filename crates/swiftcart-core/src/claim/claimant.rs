//! The claimant of one partition: from an offer to at most one hand-over.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::outbox::{Item, Outbox};
use crate::{
    AbandonRecord, Answer, AnswerRecord, AppendResult, Claim, ClaimAction, ClaimBatch, ClaimKey,
    ClaimLedger, ClaimPage, ClaimRecord, ClaimRecordError, ClaimSettings, ClaimTicket,
    ClaimVerdict, Decision, ExecutionResult, Instant, KeyState, Offset, Outcome, RECORD_BYTES,
    Reason, Refusal, Reply, StartPermit,
};

/// The least time after which asking again can help.
const RETRY: Duration = Duration::from_secs(1);
/// Says that the partition's window is still being read.
const CATCHING_UP: Refusal = Refusal::new(Reason::CatchingUp).with_retry(RETRY);
/// After this many failed appends in a row, claims are refused until one succeeds.
const DOWN_FAILURES: u32 = 2;

/// Holds one accepted claim.
#[derive(Debug, Clone)]
struct Held {
    claim: Claim,
    phase: Phase,
}

/// Tells how far a claim has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Queued; not in the log for certain.
    Queued,
    /// An append may have put it into the log, first sent at `sent`.
    Sent {
        sent: Instant,
        /// Where the log has it, once the platform has said so.
        offset: Option<Offset>,
        /// Whether the fate of an earlier append is unknown.
        lost: bool,
    },
    /// First for its key; not handed over.
    Won { sent: Instant },
    /// Handed over.
    Started,
}

/// Decides who may run for one partition of one service's keys.
///
/// Every input is followed by [`poll`](Self::poll), which returns what to do.
#[derive(Debug, Clone)]
pub struct Claimant {
    settings: ClaimSettings,
    ledger: ClaimLedger,
    outbox: Outbox,
    tickets: BTreeMap<ClaimTicket, Held>,
    keys: HashMap<ClaimKey, ClaimTicket>,
    last: u64,
    caught: bool,
    stalled: bool,
    actions: Vec<ClaimAction>,
}

impl Claimant {
    /// Creates a claimant that has read nothing and refuses with `catching-up`.
    ///
    /// `seed` spreads the retries of many nodes.
    #[must_use]
    pub fn new(settings: ClaimSettings, seed: u64) -> Self {
        Self {
            ledger: ClaimLedger::new(&settings),
            outbox: Outbox::new(&settings, seed),
            settings,
            tickets: BTreeMap::new(),
            keys: HashMap::new(),
            last: 0,
            caught: false,
            stalled: false,
            actions: Vec::new(),
        }
    }

    /// Returns the fold over the partition's records.
    #[must_use]
    pub const fn ledger(&self) -> &ClaimLedger {
        &self.ledger
    }

    /// Returns whether the partition has been read to its end.
    #[must_use]
    pub const fn caught_up(&self) -> bool {
        self.caught
    }

    /// Returns the items that are not surely in the log; zero before a planned stop ends.
    #[must_use]
    pub fn unwritten(&self) -> usize {
        self.outbox.len()
    }

    /// Returns when [`poll`](Self::poll) has something to do without further input.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        let open = self.tickets.values().filter(|h| h.phase != Phase::Started);
        let deadline = open.map(|h| h.claim.deadline).min();
        deadline.into_iter().chain(self.outbox.due()).min()
    }

    /// Takes a claim, or tells at once why not.
    pub fn offer(&mut self, now: Instant, claim: Claim) -> Decision {
        let known = self.ledger.known(claim.key, claim.hash);
        match (self.stalled, known) {
            (true, _) => Decision::Refuse(Reason::ClaimRule.into()),
            (false, KeyState::Answered(answer)) => Decision::Replay(answer),
            _ if !self.caught => Decision::Refuse(CATCHING_UP),
            (false, KeyState::Free) => self.accept(now, claim),
            (false, known) => decision(known),
        }
    }

    /// Takes records of the partition, read from [`ClaimLedger::next`].
    pub fn apply_page(&mut self, now: Instant, page: &ClaimPage<'_>) {
        if page.first > self.ledger.next() {
            self.caught = false;
        }
        self.ledger.begin(page.first, page.now);
        for entry in page.entries {
            match self.ledger.fold(entry) {
                Err(ClaimRecordError::NewerRule(_)) => {
                    self.stalled = true;
                    break;
                }
                Ok(()) | Err(_) => self.stalled = false,
            }
        }
        self.ledger.advance(page.next, page.now);
        self.caught |= self.ledger.next() >= page.next;
        self.outbox.confirm(|item| self.ledger.contains(item));
        self.judge(now);
    }

    /// Takes the result of the append in flight.
    ///
    /// The edge reports [`AppendResult::Unknown`] when its own timeout for the append ends.
    pub fn finish_append(&mut self, now: Instant, result: AppendResult) {
        match result {
            AppendResult::Done(at) => self.located(now, at),
            AppendResult::Failed { retry_after } => self.unsent(now, retry_after),
            AppendResult::Unknown => self.lost(now),
        }
        self.judge(now);
    }

    /// Returns what to do now.
    #[must_use]
    pub fn poll(&mut self, now: Instant) -> Vec<ClaimAction> {
        self.expire(now);
        if let Some(batch) = self.outbox.take(now) {
            self.send(now, &batch);
        }
        std::mem::take(&mut self.actions)
    }

    /// Allows the hand-over of a ticket that won; ask right before it, and only once.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the ticket must not be handed over; it has then ended and
    /// the caller can be told `not-run`.
    pub fn try_start(&mut self, ticket: ClaimTicket, now: Instant) -> Result<StartPermit, Refusal> {
        let Some(held) = self.tickets.get_mut(&ticket) else {
            return Err(Reason::ClaimLapsed.into());
        };
        let Phase::Won { sent } = held.phase else {
            return Err(Reason::ClaimLapsed.into());
        };
        let until = sent + self.settings.startable();
        let refusal: Refusal = match held.claim.deadline {
            _ if now >= until => Reason::ClaimLapsed.into(),
            deadline if now >= deadline => Reason::DeadlinePassed.into(),
            deadline => {
                held.phase = Phase::Started;
                return Ok(StartPermit {
                    until: until.min(deadline),
                });
            }
        };
        self.abandon(now, ticket);
        Err(refusal)
    }

    /// Ends a ticket that was handed over.
    ///
    /// Tickets that were not handed over are left as they are; see [`cancel_claim`](Self::cancel_claim).
    pub fn record_result(&mut self, now: Instant, ticket: ClaimTicket, finish: ExecutionResult) {
        let Some(held) = self.tickets.get(&ticket) else {
            return;
        };
        let claim = held.claim;
        match finish {
            _ if held.phase != Phase::Started => {}
            ExecutionResult::NotRun => self.abandon(now, ticket),
            ExecutionResult::Whole(answer) => {
                self.answer(now, ticket, &claim, Reply::Whole(answer))
            }
            ExecutionResult::Broken => self.answer(now, ticket, &claim, Reply::Broken),
        }
    }

    /// Ends a ticket whose caller has gone, and returns what the caller can be told.
    ///
    /// A ticket that was handed over stays until [`record_result`](Self::record_result). Of a ticket
    /// that has ended nothing more can be said than was said then.
    pub fn cancel_claim(&mut self, now: Instant, ticket: ClaimTicket) -> Outcome {
        match self.tickets.get(&ticket).map(|h| h.phase) {
            Some(Phase::Started) => Outcome::Unknown,
            Some(_) => {
                self.abandon(now, ticket);
                Outcome::NotRun
            }
            None => Outcome::Unknown,
        }
    }

    fn accept(&mut self, now: Instant, claim: Claim) -> Decision {
        let wait = self.outbox.wait(now);
        let after = wait.max(RETRY);
        let held = self.keys.contains_key(&claim.key) || self.outbox.queued(claim.key);
        let places = self.outbox.len() + 2 * self.tickets.len() + 2;
        let failures = self.outbox.failures();
        let refusal: Refusal = match self.ledger.clock() {
            _ if held => {
                return Decision::InProgress { retry_after: RETRY };
            }
            _ if now >= claim.deadline => Reason::DeadlinePassed.into(),
            _ if self.ledger.full() => self.shortage(),
            at if self.ledger.blind(at) => self.shortage(),
            _ if places > self.outbox.limit() => Refusal::new(Reason::QueueFull).with_retry(after),
            _ if failures >= DOWN_FAILURES && self.outbox.len() > 0 => {
                Refusal::new(Reason::PlatformDown).with_retry(after)
            }
            _ if now + wait >= claim.deadline && failures > 0 => {
                Refusal::new(Reason::PlatformDown).with_retry(after)
            }
            _ if now + wait >= claim.deadline => Refusal::new(Reason::QueueFull).with_retry(after),
            _ => return Decision::Wait(self.enqueue(now, claim)),
        };
        Decision::Refuse(refusal)
    }

    /// Refuses a claim that this ledger could not remember or decide.
    fn shortage(&self) -> Refusal {
        let reason = match self.ledger.full() {
            true => Reason::LedgerFull,
            false => Reason::CatchingUp,
        };
        Refusal::new(reason).with_retry(self.ledger.retry_after())
    }

    fn enqueue(&mut self, now: Instant, claim: Claim) -> ClaimTicket {
        let Claim {
            key, hash, attempt, ..
        } = claim;
        self.last += 1;
        let ticket = ClaimTicket(self.last);
        let phase = Phase::Queued;
        self.tickets.insert(ticket, Held { claim, phase });
        self.keys.insert(key, ticket);
        let record = ClaimRecord { key, hash, attempt };
        self.outbox.push(now, Item::Claim(record));
        ticket
    }

    /// Starts an append: the age of its claims counts from before it is sent.
    fn send(&mut self, now: Instant, batch: &ClaimBatch) {
        for record in &batch.claims {
            let ticket = self.keys.get(&record.key);
            let held = ticket.and_then(|t| self.tickets.get_mut(t));
            match held {
                Some(held) if held.phase == Phase::Queued => {
                    let (sent, offset, lost) = (now, None, false);
                    held.phase = Phase::Sent { sent, offset, lost };
                }
                _ => {}
            }
        }
        match batch.encode() {
            Ok(body) => self.actions.push(ClaimAction::Append(body)),
            // Sizes are counted item by item, so that this cannot happen; if it did,
            // the append would fail like any other.
            Err(_) => self.unsent(now, None),
        }
    }

    fn located(&mut self, now: Instant, at: Offset) {
        for attempt in self.outbox.flying_claims() {
            let mut held = self.tickets.values_mut();
            if let Some(Phase::Sent { offset, .. }) = held
                .find(|h| h.claim.attempt == attempt)
                .map(|h| &mut h.phase)
            {
                offset.get_or_insert(at);
            }
        }
        self.outbox.finish_append(now);
    }

    fn unsent(&mut self, now: Instant, retry_after: Option<Duration>) {
        let flying = self.outbox.flying_claims();
        for held in self.tickets.values_mut() {
            let own = flying.contains(&held.claim.attempt);
            match held.phase {
                Phase::Sent { lost: false, .. } if own => held.phase = Phase::Queued,
                _ => {}
            }
        }
        self.requeue(now, retry_after);
    }

    fn lost(&mut self, now: Instant) {
        let flying = self.outbox.flying_claims();
        for held in self.tickets.values_mut() {
            let own = flying.contains(&held.claim.attempt);
            match &mut held.phase {
                Phase::Sent { lost, .. } if own => *lost = true,
                _ => {}
            }
        }
        self.requeue(now, None);
    }

    /// Queues the items in flight again, but for claims that were given up.
    fn requeue(&mut self, now: Instant, retry_after: Option<Duration>) {
        self.outbox.failed(now, retry_after);
        for attempt in self.outbox.queued_claims() {
            if !self.tickets.values().any(|h| h.claim.attempt == attempt) {
                self.outbox.cancel(attempt);
            }
        }
    }

    /// Applies the ledger's verdicts to the claims that wait for one.
    fn judge(&mut self, now: Instant) {
        let waiting = self.tickets.iter().filter_map(|(t, h)| match h.phase {
            Phase::Sent { sent, offset, .. } => Some((*t, h.claim, sent, offset)),
            _ => None,
        });
        for (ticket, claim, sent, offset) in waiting.collect::<Vec<_>>() {
            let passed = offset.is_some_and(|o| o < self.ledger.next());
            match self.ledger.standing(claim.key, claim.attempt) {
                Some(ClaimVerdict::Won) => self.win(ticket, sent),
                Some(ClaimVerdict::Lost) => self.lose(now, ticket, &claim),
                Some(ClaimVerdict::Undecided) => self.refuse(now, ticket),
                None if passed => self.refuse(now, ticket),
                None => {}
            }
        }
    }

    fn win(&mut self, ticket: ClaimTicket, sent: Instant) {
        if let Some(held) = self.tickets.get_mut(&ticket) {
            held.phase = Phase::Won { sent };
            self.actions.push(ClaimAction::Run(ticket));
        }
    }

    fn lose(&mut self, now: Instant, ticket: ClaimTicket, claim: &Claim) {
        let known = self.ledger.known(claim.key, claim.hash);
        self.settle(now, ticket, decision(known));
    }

    fn refuse(&mut self, now: Instant, ticket: ClaimTicket) {
        let refusal = self.shortage();
        self.settle(now, ticket, Decision::Refuse(refusal));
    }

    fn settle(&mut self, now: Instant, ticket: ClaimTicket, decision: Decision) {
        self.abandon(now, ticket);
        self.actions.push(ClaimAction::Settle(ticket, decision));
    }

    /// Gives up the claims whose callers wait no longer.
    fn expire(&mut self, now: Instant) {
        let late = self.tickets.iter().filter_map(|(t, h)| match h.phase {
            Phase::Started => None,
            _ => (now >= h.claim.deadline).then_some(*t),
        });
        let refusal: Refusal = match self.outbox.failures() {
            0 => Reason::DeadlinePassed.into(),
            _ => Refusal::new(Reason::PlatformDown).with_retry(self.outbox.wait(now).max(RETRY)),
        };
        for ticket in late.collect::<Vec<_>>() {
            self.settle(now, ticket, Decision::Refuse(refusal));
        }
    }

    /// Ends a ticket that was not handed over: from here on it never can be.
    ///
    /// The record that frees the key is owed only once a claim may be in the log.
    fn abandon(&mut self, now: Instant, ticket: ClaimTicket) {
        let Some(held) = self.tickets.remove(&ticket) else {
            return;
        };
        let Claim { key, attempt, .. } = held.claim;
        self.keys.remove(&key);
        self.outbox.cancel(attempt);
        if held.phase != Phase::Queued {
            let record = AbandonRecord { key, attempt };
            self.outbox.push(now, Item::Abandon(record));
        }
    }

    fn answer(&mut self, now: Instant, ticket: ClaimTicket, claim: &Claim, reply: Reply) {
        let Claim {
            key, hash, attempt, ..
        } = *claim;
        self.tickets.remove(&ticket);
        self.keys.remove(&key);
        let reply = bounded(reply, self.settings.answer);
        let item = Item::Answer(AnswerRecord {
            key,
            hash,
            attempt,
            reply,
        });
        self.outbox.push(now, item);
    }
}

/// Returns `reply`, or [`Reply::TooLarge`] in place of an answer that is not kept.
fn bounded(reply: Reply, limit: usize) -> Reply {
    match reply {
        Reply::Whole(Answer { ref body, .. }) if body.len() > limit => Reply::TooLarge,
        Reply::Whole(ref answer) if answer.size() > RECORD_BYTES => Reply::TooLarge,
        reply => reply,
    }
}

fn decision(known: KeyState) -> Decision {
    match known {
        KeyState::Answered(answer) => Decision::Replay(answer),
        KeyState::Conflict => Decision::Conflict,
        KeyState::Unknown(reason) => Decision::Unknown(reason),
        // The key of a claim that just lost may be free again; a retry will tell.
        KeyState::Pending | KeyState::Free => Decision::InProgress { retry_after: RETRY },
    }
}
