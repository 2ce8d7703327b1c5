//! The ingress: routes callers' requests to a guard and retries them where that is safe.

mod account;
mod asks;
mod attempt;
mod failed;
mod fair_share;
mod forward;
mod log;
mod original;
mod overload;
mod quarantine;
mod retrying;
mod spill;

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::request::Parts;
use http::{HeaderValue, Response};
use hyper::body::{Body, Incoming};
use slog::error;
use swiftcart_core::{
    AskRequest, BalanceSettings, Balancer, Candidate, Instant, MeshRetryBudget, NextAsk, NodeId,
    NoticeCache, Outcome, Pick, PickRequirements, PickRule, PolicyRetryState, PriorRefusal, Reason,
    Refusal, RefusalHistory, RequestLimits, ResolvedAccount, RetryBudget, RetrySettings,
    RetryState, RetryTarget, RouteProfiles, ServiceEntry, ServiceName, SlotSearch, SpillDraw,
    Version, startup_retry_after,
};

use tokio::task::JoinError;

use super::answer::Answer;
use super::body::BodyLimits;
use super::guard::Guard;
use super::keyed::claim_guard_order;
use super::origin::CallerConn;
use super::peers::Peers;
use super::refusal::{refuse, told_retry_after};
use super::request::Call;
use super::rng::with_rng;
use crate::counters::Stage;
use crate::logging::Event;
use crate::shared::{Phase, Shared};
use asks::AskThrottles;
use failed::FailedAttempt;
use fair_share::AccountShares;
use log::PendingCall;
use original::OriginalRequest;

/// Router of callers' requests to backend servers, beside this node or another.
#[derive(Debug)]
pub struct Ingress {
    shared: Arc<Shared>,
    guard: Arc<Guard>,
    peers: Peers,
    balancer: Arc<Mutex<Balancer>>,
    budget: Mutex<RetryBudget>,
    mesh_budget: Option<Mutex<MeshRetryBudget>>,
    profiles: Mutex<RouteProfiles>,
    refusal_history: Mutex<RefusalHistory>,
    shares: Mutex<AccountShares>,
    ask_throttles: Mutex<AskThrottles>,
    /// Latest process notice of each backend server, as reported by its guard.
    notices: Mutex<NoticeCache>,
    /// Services that were last logged as spilling: a share of their requests leaves the failure
    /// domain.
    spilling: Mutex<HashSet<ServiceName>>,
}

/// State of one call across its attempts.
#[derive(Debug)]
struct CallState {
    start: Instant,
    retry_state: RetryState,
    policy_retries: PolicyRetryState,
    slot_search: SlotSearch,
    /// Attributes by which the asks of the request are throttled; `None` if they are not.
    ask_request: Option<AskRequest>,
    /// Number of failed attempts.
    failures: u32,
}

impl Ingress {
    /// Creates an ingress that passes requests for the local backend server to `guard`.
    #[must_use]
    pub fn new(shared: &Arc<Shared>, guard: &Arc<Guard>) -> Self {
        let now = shared.clock.now();
        let balancer = Balancer::new(shared.id, BalanceSettings::default());
        Self {
            shared: Arc::clone(shared),
            guard: Arc::clone(guard),
            peers: Peers::new(shared.settings.limits),
            balancer: Arc::new(Mutex::new(balancer)),
            budget: Mutex::new(RetryBudget::new(now, RetrySettings::default())),
            mesh_budget: shared
                .settings
                .retries
                .map(|retries| Mutex::new(MeshRetryBudget::new(retries.budget()))),
            profiles: Mutex::default(),
            refusal_history: Mutex::default(),
            shares: Mutex::default(),
            ask_throttles: Mutex::default(),
            notices: Mutex::default(),
            spilling: Mutex::default(),
        }
    }

    /// Updates the balancer's candidates from each new view, until the views end.
    pub async fn follow(&self) {
        let mut views = self.shared.views.subscribe();
        loop {
            views.borrow_and_update();
            let view = self.shared.view.load_full();
            let now = self.shared.clock.now();
            self.balancer().adopt(now, &view);
            if views.changed().await.is_err() {
                return;
            }
        }
    }

    /// Closes idle connections to peers, reports the spill plans, and removes state that is no longer
    /// used.
    pub fn sweep(&self) {
        self.peers.sweep();
        self.report_spill();
        self.sweep_asks();
        lock(&self.shares).retain(&self.shared.view.load());
    }

    /// Answers one request from a caller.
    pub async fn answer(&self, head: Parts, body: Option<Incoming>) -> Response<Answer> {
        let start = self.shared.clock.now();
        let id = head.headers.get(&self.shared.headers.request_id.0).cloned();
        let target = format!("{}{}", host(&head).unwrap_or("-"), head.uri.path());
        let conn = CallerConn::from_extensions(&head.extensions);
        let pending = PendingCall::new(self, id.as_ref(), conn, &target, start);
        let result = self.route(head, body, &pending).await;
        let counters = &self.shared.counters;
        let now = self.shared.clock.now();
        counters.stage(Stage::Ingress, now.since(start));
        match result {
            Ok(response) => {
                pending.answered();
                response
            }
            Err(failed) => {
                pending.refused(failed.refusal);
                let reason = failed.refusal.reason;
                counters.refuse(reason.as_str());
                counters.call(reason.outcome());
                refuse(failed.refusal, failed.retried, self.shared.settings.answers)
            }
        }
    }

    /// Returns `true` if a pipelined request without a body may start before earlier requests on
    /// its connection are answered.
    #[must_use]
    pub fn may_start(&self, head: &Parts) -> bool {
        let view = self.shared.view.load();
        let routed = with_rng(|rng| view.find(host(head), head.uri.path(), rng));
        match routed.map(|routed| routed.policy) {
            Ok(Some(policy)) => policy.class.is_idempotent(),
            Ok(None) => head.method.is_idempotent(),
            Err(_) => false,
        }
    }

    /// Logs the failure of a request's task and answers the request with a refusal.
    #[must_use]
    pub fn answer_failed_task(&self, err: &JoinError) -> Response<Answer> {
        let logger = &self.shared.logger;
        error!(logger, ""; "event" => Event::Failed, "part" => "ingress", "error" => %err);
        refuse(
            Reason::AnswerBroken.into(),
            false,
            self.shared.settings.answers,
        )
    }

    async fn route(
        &self,
        mut head: Parts,
        body: Option<Incoming>,
        pending: &PendingCall<'_>,
    ) -> Result<Response<Answer>, FailedAttempt> {
        let settings = &self.shared.settings;
        let now = self.shared.clock.now();
        let mut call = Call::from_caller(&mut head, settings, now)?;
        // The timeout of the route shortens the deadline that the sender set.
        let sent_due = call.due;
        self.check_phase(now)?;
        let view = self.shared.view.load_full();
        call.version = view.version();
        pending.set_version(call.version);
        if call.version == Version::NONE {
            // A node that is stopped before it received a configuration cannot tell whether a
            // route exists.
            return Err(Reason::NotReady.into());
        }
        let routed = with_rng(|rng| view.find(host(&head), head.uri.path(), rng))?;
        check_length(view.requests(), body.as_ref())?;
        let account = self.identify(&mut head, view.accounts(), routed.access)?;
        call.apply_route(&routed, lock(&self.profiles).of(routed.route), now);
        call.overload_decided = self.decides_overload(routed.entry);
        if account.is_none() {
            self.rank_nested(&mut call, &head, &routed, sent_due);
        }
        call.spill = call.overload_decided.then(|| with_rng(SpillDraw::random));
        let account_regions = account.as_ref().map(|account| &account.regions);
        call.regions = account_regions.map_or_else(
            || routed.regions.clone(),
            |account_regions| routed.regions.and(account_regions),
        );
        self.set_caller_header(&mut head);
        call.compute_print(&head, &settings.headers);
        let prior = lock(&self.refusal_history).take(now, call.print.head);
        let first = prior.map_or(now, |prior| prior.first);
        call.returning = prior.is_some_and(|prior| prior.has_waited(now));
        call.raise_age(now.since(first));
        let limits = BodyLimits {
            keep_bytes: settings.limits.replay_bytes as usize,
            idle: settings.limits.body_timeout(),
            due: self.shared.clock.tokio(call.due.at()),
        };
        let original = OriginalRequest::new(head, body, limits);
        let result = self
            .serve(call.clone(), account, routed.entry, &original)
            .await;
        match &result {
            Ok(response) if response.status().is_success() => {
                let bytes = response.body().size_hint().lower();
                lock(&self.profiles).of(routed.route).record_response(bytes);
            }
            Err(failed) if failed.refusal.reason.outcome() == Outcome::NotRun => {
                self.record_refusal(&call, first, failed.refusal);
            }
            _ => {}
        }
        result
    }

    /// Checks that the node takes callers' requests in its current phase.
    ///
    /// # Errors
    ///
    /// Returns a refusal while the node starts, and when it stops.
    fn check_phase(&self, now: Instant) -> Result<(), Refusal> {
        let phase = *self.shared.phase.borrow();
        match phase {
            Phase::Ready | Phase::Leaving | Phase::Finishing => Ok(()),
            Phase::Stopping => Err(Reason::Stopping.into()),
            Phase::NoConfig | Phase::BelowFloor | Phase::NoMembers => {
                let wait = startup_retry_after(now.elapsed());
                Err(Refusal::new(Reason::NotReady).with_retry(wait))
            }
        }
    }

    /// Records that a request was refused without being run, so that its repeat is recognized.
    ///
    /// `first` is the time of the caller's first attempt.
    fn record_refusal(&self, call: &Call, first: Instant, refusal: Refusal) {
        let now = self.shared.clock.now();
        let told = told_retry_after(refusal, self.shared.settings.answers);
        let retry_at = told.map(|after| now + after);
        let prior = PriorRefusal { first, retry_at };
        lock(&self.refusal_history).record(now, call.print.head, prior);
        self.count_nested_refusal(call, refusal.reason.as_str());
    }

    /// Sends a request to a backend server, unless the request is quarantined or exceeds its
    /// account's quota.
    async fn serve(
        &self,
        mut call: Call,
        account: Option<Arc<ResolvedAccount>>,
        entry: &ServiceEntry,
        original: &OriginalRequest,
    ) -> Result<Response<Answer>, FailedAttempt> {
        self.check_quarantine(&call, original).await?;
        let charge = self.charge_quota(&mut call, account.clone())?;
        let class = self.set_share_standing(&mut call, account.as_deref(), entry);
        let result = self.run_attempts(&call, entry, original).await;
        if let Some(class) = class {
            self.settle_share(&class, &result);
        }
        if let Some(charge) = charge {
            charge.settle(&result);
        }
        result
    }

    /// Sets the header that tells the backend server which service sent the request.
    fn set_caller_header(&self, head: &mut Parts) {
        let settings = &self.shared.settings;
        let (Some(name), Some(service)) = (&settings.headers.caller, &settings.service) else {
            return;
        };
        if let Ok(value) = HeaderValue::from_str(service.as_str()) {
            head.headers.insert(name.0.clone(), value);
        }
    }

    async fn run_attempts(
        &self,
        call: &Call,
        entry: &ServiceEntry,
        original: &OriginalRequest,
    ) -> Result<Response<Answer>, FailedAttempt> {
        let ask_request = self.admit_asks(call, entry)?;
        let mut state = CallState {
            start: self.shared.clock.now(),
            retry_state: RetryState::new(call.attempt),
            policy_retries: PolicyRetryState::default(),
            slot_search: match call.terms {
                Some(_) => SlotSearch::new(entry.candidates().len(), call.payload),
                None => SlotSearch::queueing(),
            },
            ask_request,
            failures: 0,
        };
        let mut last: Option<FailedAttempt> = None;
        let mut next = RetryTarget::Other;
        self.record_first_attempt(entry);
        loop {
            let pick = self.pick_next(call, entry, &state, next);
            if state.slot_search.switch_to_queueing(pick.as_ref()) {
                continue;
            }
            let Some(pick) = pick else {
                return last
                    .unwrap_or_else(|| unavailable_reason(call, entry).into())
                    .into_result();
            };
            match self.next_ask(entry, &state, &pick) {
                NextAsk::Ask => {}
                NextAsk::Queue => {
                    state.slot_search.queue_now();
                    continue;
                }
                NextAsk::Refuse => return self.refuse_further_ask(call, entry, &state, last),
            }
            let mut failed = match self.attempt(call, &pick, entry, original, &state).await {
                Ok(response) => {
                    self.log_answer(call, entry, &state, &pick, response.status());
                    return Ok(response);
                }
                Err(failed) => failed,
            };
            state.failures += 1;
            state.slot_search.failed(pick.id, failed.refusal.reason);
            self.record_failed_ask(entry, &state, &pick, failed.refusal.reason);
            failed.retried |= state.retry_state.retried();
            let decision = self.decide_retry(call, entry, original, &mut state, &pick, &failed);
            self.log_failed_attempt(call, entry, &state, &pick, &failed, decision);
            let merged = FailedAttempt::merge(last.take(), failed);
            match decision {
                Ok(RetryTarget::Other) => next = RetryTarget::Other,
                Ok(RetryTarget::Same) => {
                    state.slot_search.settle();
                    next = RetryTarget::Same;
                }
                Err(_) => return merged.into_result(),
            }
            last = Some(merged);
        }
    }

    /// Chooses the guard for the next attempt.
    fn pick_next(
        &self,
        call: &Call,
        entry: &ServiceEntry,
        state: &CallState,
        next: RetryTarget,
    ) -> Option<Pick> {
        match next {
            RetryTarget::Other => self.pick(call, entry, state, state.slot_search.excluded()),
            RetryTarget::Same => {
                let reached = state.policy_retries.reached();
                let was_reached = |c: &&Candidate| reached.contains(&c.id);
                let all = entry.candidates().iter().chain(entry.tried());
                let others: Vec<NodeId> = all.filter(|c| !was_reached(c)).map(|c| c.id).collect();
                self.pick(call, entry, state, &others)
            }
        }
    }

    fn record_first_attempt(&self, entry: &ServiceEntry) {
        match &self.mesh_budget {
            Some(mesh_budget) => {
                let now = self.shared.clock.now();
                lock(mesh_budget).first(now, entry.name(), self.guard.repeat_share());
            }
            None => lock(&self.budget).first(),
        }
    }

    /// Chooses a guard. For a request with an idempotency key, guards that follow the key's claims
    /// are preferred.
    fn pick(
        &self,
        call: &Call,
        entry: &ServiceEntry,
        state: &CallState,
        tried: &[NodeId],
    ) -> Option<Pick> {
        let now = self.shared.clock.now();
        let stays_near = self.stays_near(entry, state);
        let balancer = self.balancer();
        let preferred = call.key.as_ref().and_then(|key| {
            let ids: Vec<NodeId> = entry.candidates().iter().map(|c| c.id).collect();
            let order = claim_guard_order(entry.name(), key, &ids);
            let fits = |id: &NodeId| !tried.contains(id) && !balancer.ejected(*id, now);
            let id = order.into_iter().find(fits)?;
            let allowed = |c: &&Candidate| c.id == id && call.regions.allows(c.region);
            let candidate = entry.candidates().iter().find(allowed)?;
            Some(Pick {
                id,
                peer: candidate.peer,
                rule: PickRule::Near,
                cause: None,
                free: true,
            })
        });
        let need = PickRequirements::from(call.payload)
            .with_stays_near(stays_near)
            .with_regions(call.regions.clone())
            .with_spill(call.spill);
        preferred.or_else(|| with_rng(|rng| balancer.pick_for(&need, now, entry, tried, rng)))
    }

    fn balancer(&self) -> MutexGuard<'_, Balancer> {
        lock(&self.balancer)
    }
}

/// Checks that a body of known length is within the limit of the configuration.
///
/// # Errors
///
/// Returns [`Reason::BodyTooLarge`] if the body is longer.
fn check_length(limits: Option<RequestLimits>, body: Option<&Incoming>) -> Result<(), Reason> {
    let length = body.map_or(0, |body| body.size_hint().lower());
    match limits {
        Some(limits) if length > limits.body_bytes => Err(Reason::BodyTooLarge),
        _ => Ok(()),
    }
}

/// Returns the host from the request's target, or else from its `Host` header.
fn host(head: &Parts) -> Option<&str> {
    let named = head.headers.get(http::header::HOST);
    head.uri
        .host()
        .or_else(|| named.and_then(|value| value.to_str().ok()))
}

/// Returns the reason for which no guard can be selected for `call`.
fn unavailable_reason(call: &Call, entry: &ServiceEntry) -> Reason {
    let fallback = match call.regions.is_unrestricted() {
        true => Reason::NotReady,
        false => Reason::NoHome,
    };
    entry.unavailable_reason().unwrap_or(fallback)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
