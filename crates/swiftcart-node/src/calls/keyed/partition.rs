//! Partition of a service's claims: connects its [`Claimant`] to the log and to the requests.

use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftcart_core::{
    AppendResult, Claim, ClaimAction, ClaimPage, ClaimSettings, ClaimTicket, Claimant, Decision,
    ExecutionResult, Outcome, PlatformTime, Refusal, ServiceName, StartPermit, claim_stream,
};
use swiftcart_platform::{AppendOutcome, Backoff, PageLimit, Platform, PlatformError};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{sleep, sleep_until, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::calls::rng::with_rng;
use crate::clock::Clock;
use crate::shared::Shared;

/// Maximum time for which a long poll waits for new records.
const READ_WAIT: Duration = Duration::from_secs(20);

/// Maximum number of records of one read.
const MAX_READ_RECORDS: u32 = 200;

/// Maximum time between two polls of the claimant.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(60);

/// Result of a waiting claim.
#[derive(Debug)]
pub enum Verdict {
    /// The request may be handed over after [`Partition::try_start`].
    Won,
    /// The request must not be handed over.
    Settled(Decision),
}

/// Result of an offered claim.
#[derive(Debug)]
pub enum OfferResult {
    /// The claim was decided immediately, and the request must not be handed over.
    Decided(Decision),
    /// The claim waits for its verdict.
    Waits(ClaimTicket, oneshot::Receiver<Verdict>),
}

/// Partition of the claims of a service, with one task that reads it and one that writes it.
#[derive(Debug)]
pub struct Partition {
    shared: Arc<Shared>,
    clock: Clock,
    platform: Platform,
    stream: String,
    state: Mutex<State>,
    changed: Notify,
    caught: watch::Sender<bool>,
}

#[derive(Debug)]
struct State {
    claimant: Claimant,
    waiting: HashMap<ClaimTicket, oneshot::Sender<Verdict>>,
}

type AppendFuture = Pin<Box<dyn Future<Output = AppendResult> + Send>>;

impl Partition {
    /// Creates a partition that has read no records.
    ///
    /// [`follow`](Self::follow) and [`drive`](Self::drive) must be run by the caller.
    #[must_use]
    pub fn new(
        shared: &Arc<Shared>,
        platform: &Platform,
        settings: ClaimSettings,
        service: &ServiceName,
        partition: u16,
    ) -> Self {
        let seed = with_rng(rand::Rng::random);
        Self {
            shared: Arc::clone(shared),
            clock: shared.clock,
            platform: platform.clone(),
            stream: claim_stream(service, partition),
            state: Mutex::new(State {
                claimant: Claimant::new(settings, seed),
                waiting: HashMap::new(),
            }),
            changed: Notify::new(),
            caught: watch::Sender::new(false),
        }
    }

    /// Waits until the partition has been read to its end once, or until `until`.
    pub async fn caught_up(&self, until: tokio::time::Instant) {
        let mut caught = self.caught.subscribe();
        // After a timeout, `offer` reports that the partition is still catching up.
        let _ = timeout_at(until, caught.wait_for(|caught| *caught)).await;
    }

    /// Offers a claim.
    pub fn offer(&self, claim: Claim) -> OfferResult {
        let now = self.clock.now();
        let mut state = self.lock();
        let offered = match state.claimant.offer(now, claim) {
            Decision::Wait(ticket) => {
                let (tx, rx) = oneshot::channel();
                state.waiting.insert(ticket, tx);
                OfferResult::Waits(ticket, rx)
            }
            decision => OfferResult::Decided(decision),
        };
        drop(state);
        self.changed.notify_one();
        offered
    }

    /// Allows the hand-over of a claim that won; call it immediately before the hand-over.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the request must no longer be handed over.
    pub fn try_start(&self, ticket: ClaimTicket) -> Result<StartPermit, Refusal> {
        let now = self.clock.now();
        let start = self.lock().claimant.try_start(ticket, now);
        self.changed.notify_one();
        start
    }

    /// Records the result of a hand-over.
    pub fn record_result(&self, ticket: ClaimTicket, finish: ExecutionResult) {
        let now = self.clock.now();
        self.lock().claimant.record_result(now, ticket, finish);
        self.changed.notify_one();
    }

    /// Cancels a claim that is not handed over, and returns the outcome for its caller.
    pub fn cancel_claim(&self, ticket: ClaimTicket) -> Outcome {
        let now = self.clock.now();
        let mut state = self.lock();
        state.waiting.remove(&ticket);
        let outcome = state.claimant.cancel_claim(now, ticket);
        drop(state);
        self.changed.notify_one();
        outcome
    }

    /// Returns the number of records that are not known to be in the log.
    pub fn unwritten(&self) -> usize {
        self.lock().claimant.unwritten()
    }

    /// Reads the records of the partition until `closing` is cancelled.
    pub async fn follow(self: Arc<Self>, closing: CancellationToken) {
        closing.run_until_cancelled(self.read_loop()).await;
    }

    /// Appends the claimant's records and delivers its verdicts until `closing` is cancelled.
    pub async fn drive(self: Arc<Self>, closing: CancellationToken) {
        closing.run_until_cancelled(self.write_loop()).await;
    }

    async fn read_loop(&self) {
        let mut limit = PageLimit::new(MAX_READ_RECORDS);
        let mut backoff = Backoff::new();
        loop {
            let (from, caught) = {
                let state = self.lock();
                (state.claimant.ledger().next(), state.claimant.caught_up())
            };
            // Until the end has been reached, reads do not wait for new records: an empty stream
            // must report its end at once.
            let wait = if caught { READ_WAIT } else { Duration::ZERO };
            let read = self
                .platform
                .read(&self.stream, from, limit.records(), wait);
            match read.await {
                Ok(page) => {
                    limit.grow();
                    backoff.succeeded();
                    let page = ClaimPage {
                        first: page.first,
                        next: page.next,
                        now: PlatformTime(page.now_ms),
                        entries: &page.entries,
                    };
                    let now = self.clock.now();
                    let mut state = self.lock();
                    state.claimant.apply_page(now, &page);
                    self.caught.send_replace(state.claimant.caught_up());
                    drop(state);
                    self.changed.notify_one();
                }
                Err(err) if limit.shrink(&err) => {}
                Err(err) => {
                    self.count("swiftcart_claim_read_failures_total", err.as_str());
                    sleep(with_rng(|rng| backoff.failed(&err, rng))).await;
                }
            }
        }
    }

    async fn write_loop(&self) {
        let mut append: Option<AppendFuture> = None;
        loop {
            let now = self.clock.now();
            let (actions, next_wakeup) = {
                let mut state = self.lock();
                (state.claimant.poll(now), state.claimant.next_wakeup())
            };
            for action in actions {
                match action {
                    ClaimAction::Append(body) => append = Some(self.append(body)),
                    ClaimAction::Run(ticket) => self.notify(ticket, Verdict::Won),
                    ClaimAction::Settle(ticket, d) => self.notify(ticket, Verdict::Settled(d)),
                }
            }
            let next_wakeup = next_wakeup.unwrap_or(now + MAX_POLL_INTERVAL);
            let result = tokio::select! {
                result = await_append(&mut append) => result,
                () = self.changed.notified() => continue,
                () = sleep_until(self.clock.tokio(next_wakeup)) => continue,
            };
            append = None;
            let now = self.clock.now();
            self.lock().claimant.finish_append(now, result);
        }
    }

    fn append(&self, body: String) -> AppendFuture {
        let platform = self.platform.clone();
        let stream = self.stream.clone();
        let shared = Arc::clone(&self.shared);
        Box::pin(async move {
            let result = platform.append(&stream, &body).await;
            let name = result
                .as_ref()
                .map_or_else(PlatformError::as_str, |_| "done");
            let counters = &shared.counters;
            counters.count("swiftcart_claim_appends_total", "result", name);
            match result {
                Ok(done) => AppendResult::Done(done.offset),
                Err(err) if err.append_outcome() == AppendOutcome::NotTaken => {
                    AppendResult::Failed {
                        retry_after: err.retry_after(),
                    }
                }
                Err(_) => AppendResult::Unknown,
            }
        })
    }

    fn notify(&self, ticket: ClaimTicket, verdict: Verdict) {
        let waiter = self.lock().waiting.remove(&ticket);
        let told = waiter.map(|waiter| waiter.send(verdict));
        if !matches!(told, Some(Ok(()))) {
            // The caller has disconnected. A claim that was won but not started frees its key.
            self.cancel_claim(ticket);
        }
    }

    fn count(&self, name: &'static str, reason: &'static str) {
        self.shared.counters.count(name, "reason", reason);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for the append in flight; never returns when there is none.
async fn await_append(append: &mut Option<AppendFuture>) -> AppendResult {
    match append {
        Some(append) => append.await,
        None => std::future::pending().await,
    }
}
