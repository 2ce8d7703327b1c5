//! One partition of a service's claims: the core's claimant between the log and the calls.

use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftcart_core::{
    AppendResult, Claim, ClaimAction, ClaimPage, ClaimSettings, ClaimTicket, Claimant, Decision,
    ExecutionResult, Outcome, PlatformTime, Refusal, ServiceName, StartPermit, claim_stream,
};
use swiftcart_platform::{Backoff, Fate, PageLimit, Platform, PlatformError};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{sleep, sleep_until, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::calls::rng::with_rng;
use crate::clock::Clock;
use crate::shared::Shared;

/// The longest wait of one read for new records.
const WAIT: Duration = Duration::from_secs(20);

/// Records read at once.
const BATCH: u32 = 200;

/// The longest time between two looks at the claimant without any event.
const IDLE: Duration = Duration::from_secs(60);

/// Tells a waiting claim how it ended.
#[derive(Debug)]
pub enum Verdict {
    /// The request may be handed over, after [`Partition::try_start`].
    Won,
    /// The request is not handed over.
    Settled(Decision),
}

/// A claim that was decided at once, or waits for its verdict.
#[derive(Debug)]
pub enum Offered {
    /// Nothing is handed over.
    Decided(Decision),
    /// The verdict follows.
    Waits(ClaimTicket, oneshot::Receiver<Verdict>),
}

/// One partition, followed and written by two tasks.
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

type Appending = Pin<Box<dyn Future<Output = AppendResult> + Send>>;

impl Partition {
    /// Creates a partition that has read nothing; [`follow`](Self::follow) and
    /// [`drive`](Self::drive) have to run.
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

    /// Waits until the partition was read to its end once, or until `until`.
    pub async fn caught_up(&self, until: tokio::time::Instant) {
        let mut caught = self.caught.subscribe();
        // Whoever waits in vain is told by the offer that the partition is catching up.
        let _ = timeout_at(until, caught.wait_for(|caught| *caught)).await;
    }

    /// Offers a claim.
    pub fn offer(&self, claim: Claim) -> Offered {
        let now = self.clock.now();
        let mut state = self.lock();
        let offered = match state.claimant.offer(now, claim) {
            Decision::Wait(ticket) => {
                let (tx, rx) = oneshot::channel();
                state.waiting.insert(ticket, tx);
                Offered::Waits(ticket, rx)
            }
            decision => Offered::Decided(decision),
        };
        drop(state);
        self.changed.notify_one();
        offered
    }

    /// Allows the hand-over of a claim that won; ask right before it.
    ///
    /// # Errors
    ///
    /// Returns why the request must not be handed over any more.
    pub fn try_start(&self, ticket: ClaimTicket) -> Result<StartPermit, Refusal> {
        let now = self.clock.now();
        let start = self.lock().claimant.try_start(ticket, now);
        self.changed.notify_one();
        start
    }

    /// Notes how a hand-over ended.
    pub fn record_result(&self, ticket: ClaimTicket, finish: ExecutionResult) {
        let now = self.clock.now();
        self.lock().claimant.record_result(now, ticket, finish);
        self.changed.notify_one();
    }

    /// Gives up a claim that is not handed over, and returns what its caller can be told.
    pub fn cancel_claim(&self, ticket: ClaimTicket) -> Outcome {
        let now = self.clock.now();
        let mut state = self.lock();
        state.waiting.remove(&ticket);
        let outcome = state.claimant.cancel_claim(now, ticket);
        drop(state);
        self.changed.notify_one();
        outcome
    }

    /// Returns the number of records that are not surely in the log.
    pub fn unwritten(&self) -> usize {
        self.lock().claimant.unwritten()
    }

    /// Reads the partition's records until `closing`.
    pub async fn follow(self: Arc<Self>, closing: CancellationToken) {
        closing.run_until_cancelled(self.read_on()).await;
    }

    /// Appends what the claimant wants written and passes its verdicts on until `closing`.
    pub async fn drive(self: Arc<Self>, closing: CancellationToken) {
        closing.run_until_cancelled(self.write_on()).await;
    }

    async fn read_on(&self) {
        let mut limit = PageLimit::new(BATCH);
        let mut backoff = Backoff::new();
        loop {
            let (from, caught) = {
                let state = self.lock();
                (state.claimant.ledger().next(), state.claimant.caught_up())
            };
            // Nothing to wait for before the end was seen: an empty stream has one, too.
            let wait = if caught { WAIT } else { Duration::ZERO };
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

    async fn write_on(&self) {
        let mut append: Option<Appending> = None;
        loop {
            let now = self.clock.now();
            let (actions, next_wakeup) = {
                let mut state = self.lock();
                (state.claimant.poll(now), state.claimant.next_wakeup())
            };
            for action in actions {
                match action {
                    ClaimAction::Append(body) => append = Some(self.append(body)),
                    ClaimAction::Run(ticket) => self.tell(ticket, Verdict::Won),
                    ClaimAction::Settle(ticket, d) => self.tell(ticket, Verdict::Settled(d)),
                }
            }
            let next_wakeup = next_wakeup.unwrap_or(now + IDLE);
            let result = tokio::select! {
                result = next(&mut append) => result,
                () = self.changed.notified() => continue,
                () = sleep_until(self.clock.tokio(next_wakeup)) => continue,
            };
            append = None;
            let now = self.clock.now();
            self.lock().claimant.finish_append(now, result);
        }
    }

    fn append(&self, body: String) -> Appending {
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
                Err(err) if err.fate() == Fate::NotTaken => AppendResult::Failed {
                    retry_after: err.retry_after(),
                },
                Err(_) => AppendResult::Unknown,
            }
        })
    }

    fn tell(&self, ticket: ClaimTicket, verdict: Verdict) {
        let waiter = self.lock().waiting.remove(&ticket);
        let told = waiter.map(|waiter| waiter.send(verdict));
        if !matches!(told, Some(Ok(()))) {
            // Its caller has gone; what was won and not started frees the key.
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

/// Waits for the append in flight, for ever when there is none.
async fn next(append: &mut Option<Appending>) -> AppendResult {
    match append {
        Some(append) => append.await,
        None => std::future::pending().await,
    }
}
