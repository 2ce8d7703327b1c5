//! Guard of a node: admits requests to the local backend server and reports their results.

mod pending_run;
mod report;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use arc_swap::ArcSwapOption;
use http::{HeaderValue, Request, Response};
use hyper::body::Body;
use slog::error;
use swiftcart_core::{
    Backend, CallResult, ColdStartLimit, Limits, NodeId, Notice, Pace, ProcessNotice, Readiness,
    Reason, Refusal, RequestOrigin, ServerRate, ServiceEntry, Slowdown, StatedLoad, Version,
};

use super::admissions::Slot;
use super::answer::Answer;
use super::body::Outgoing;
use super::exchange::Exchanged;
use super::headers::{strip_hop_by_hop, strip_internal};
use super::keyed::KeyedExecutor;
use super::request::Call;
use super::runs::FingerprintSource;
use super::upstream::{Sent, Upstream};
use super::verdict::check_response;
use crate::counters::Stage;
use crate::logging::Event;
use crate::shared::{Phase, Shared};
use pending_run::PendingRun;
pub use report::Report;

/// Guard of the backend server beside this node: the only process that sends requests to it.
#[derive(Debug)]
pub struct Guard {
    shared: Arc<Shared>,
    upstream: ArcSwapOption<Upstream>,
    /// Executor of requests with an idempotency key; `None` when claims are disabled.
    keyed: Option<KeyedExecutor>,
    /// Number of running requests that are retries of an earlier attempt.
    repeats: Arc<AtomicU32>,
}

/// Running retry, counted until it is dropped.
#[derive(Debug)]
struct RunningRetry(Arc<AtomicU32>);

impl RunningRetry {
    fn new(running: &Arc<AtomicU32>) -> Self {
        running.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(running))
    }
}

impl Drop for RunningRetry {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Result of the admission of a nested call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NestedAdmission {
    /// The call got a free slot.
    AtOnce,
    /// The call got a slot after it had waited in the queue.
    Waited,
    /// The call was refused.
    Refused,
}

impl NestedAdmission {
    /// Returns the label of the result in metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Self::AtOnce => "at-once",
            Self::Waited => "waited",
            Self::Refused => "refused",
        }
    }
}

impl Guard {
    /// Creates a guard without a backend server.
    #[must_use]
    pub fn new(shared: &Arc<Shared>) -> Self {
        Self {
            shared: Arc::clone(shared),
            upstream: ArcSwapOption::empty(),
            keyed: shared.settings.claims.then(|| KeyedExecutor::new(shared)),
            repeats: Arc::default(),
        }
    }

    /// Updates the backend server and its limits when the announcement, the view, the node's phase,
    /// the clearance or the drain state changes.
    pub async fn follow(&self) {
        let mut backend = self.shared.backend.subscribe();
        let mut view = self.shared.views.subscribe();
        let mut phase = self.shared.phase.subscribe();
        let mut clearance = self.shared.clearing.clearance.subscribe();
        let mut drained = self.shared.drained.subscribe();
        loop {
            let cleared = *clearance.borrow_and_update();
            let drain = *drained.borrow_and_update();
            let announced = backend.borrow_and_update().clone();
            let announced = announced.map(|backend| Backend {
                readiness: match drain {
                    true => Readiness::Draining,
                    false => cleared.readiness(backend.readiness),
                },
                ..backend
            });
            let phase_now = *phase.borrow_and_update();
            let stopping = matches!(phase_now, Phase::Finishing | Phase::Stopping);
            view.borrow_and_update();
            self.update_upstream(announced, stopping);
            tokio::select! {
                _ = backend.changed() => {}
                _ = view.changed() => {}
                _ = phase.changed() => {}
                _ = clearance.changed() => {}
                _ = drained.changed() => {}
            }
        }
    }

    /// Waits until all requests with an idempotency key have ended and their responses are in the
    /// log.
    pub async fn finish(&self) {
        if let Some(keyed) = &self.keyed {
            keyed.finish().await;
        }
    }

    /// Returns the state shared by the components of the node.
    #[must_use]
    pub const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns the value of the load header for responses to other nodes.
    #[must_use]
    pub fn load(&self) -> Option<HeaderValue> {
        self.report()?.header_value()
    }

    /// Applies a notice of the backend server that another node received.
    pub fn relay(&self, notice: ProcessNotice) {
        if let Some(upstream) = &*self.upstream.load() {
            upstream.relay(notice);
        }
    }

    /// Returns the current notice of the backend server's process, or `None` if nothing is known of it
    /// yet. What other nodes know then stays in force.
    #[must_use]
    pub fn told(&self) -> Option<ProcessNotice> {
        self.upstream.load().as_ref()?.process_notice()
    }

    /// Returns the value of the notice header for a response to another node.
    ///
    /// A default notice is sent only if `asks` is set. The other node has then sent a notice in its
    /// request, and that notice may be outdated.
    #[must_use]
    pub fn notice(&self, asks: bool) -> Option<HeaderValue> {
        let notice = self.told()?;
        let is_sent = asks || notice.notice != Notice::default();
        is_sent.then(|| HeaderValue::try_from(notice.to_string()).ok())?
    }

    /// Returns the share of retries among the requests that the backend server runs.
    #[must_use]
    pub fn repeat_share(&self) -> f64 {
        let repeats = self.repeats.load(Ordering::Relaxed);
        let running = self.report().map_or(0, |report| report.load.running);
        f64::from(repeats) / f64::from(running.max(repeats).max(1))
    }

    /// Returns the report for the ingress of this node, and stores the usual pace in the shared
    /// state, from which it is announced to all nodes.
    #[must_use]
    pub fn report(&self) -> Option<Report> {
        let upstream = self.upstream.load();
        let upstream = upstream.as_ref()?;
        let report = upstream.report();
        // The announced pace excludes the slowdown, which ends before the announcement arrives.
        let factor = report.slowdown.map_or(1.0, Slowdown::factor);
        let usual = report
            .pace
            .map(|pace| Pace::from_ratio(pace.ratio() / factor));
        let announced = usual.map_or(0, |Pace(pace)| pace);
        self.shared.pace.store(announced, Ordering::Relaxed);
        Some(report)
    }

    /// Closes idle connections and updates the gauges of the load, of the rate that the backend
    /// server announced, and of the load that it stated.
    pub fn sweep(&self) {
        let upstream = self.upstream.load();
        let (load, rate, stated) = upstream.as_ref().map_or_else(Default::default, |upstream| {
            upstream.sweep();
            let rate = upstream.process_notice();
            let rate = rate.and_then(|known| known.notice.rate);
            (upstream.load(), rate, upstream.stated_load())
        });
        self.update_stated_gauges(stated);
        let rate = rate.map_or(0.0, ServerRate::per_second);
        let counters = &self.shared.counters;
        counters.gauge("swiftcart_running").set(load.running);
        counters.gauge("swiftcart_queued").set(load.queued);
        counters.gauge("swiftcart_limit").set(load.limit);
        counters.gauge("swiftcart_server_rate").set(rate);
    }

    /// Updates the gauges of the load that the backend server stated, and of the slowdown that the
    /// guard believes.
    ///
    /// The gauges of the stated load are 0 while the backend server does not state its pace.
    fn update_stated_gauges(&self, stated: Option<StatedLoad>) {
        let believed = self.report().and_then(|report| report.slowdown);
        let stated = stated.unwrap_or_default();
        let counters = &self.shared.counters;
        let gauge = |name, value: f64| counters.gauge(name).set(value);
        gauge("swiftcart_stated_running", stated.running.into());
        gauge("swiftcart_stated_queued", stated.queued.into());
        gauge("swiftcart_stated_slots", stated.slots.into());
        gauge(
            "swiftcart_stated_slowdown",
            stated.slowdown().unwrap_or(0.0),
        );
        gauge("swiftcart_slowdown", believed.map_or(1.0, Slowdown::factor));
    }

    /// Sends a request to the backend server if the backend server belongs to `service` and the
    /// request is admitted.
    ///
    /// # Errors
    ///
    /// Returns a refusal when there is no response. The outcome of its reason states whether the
    /// request may have run.
    pub async fn run(
        self: &Arc<Self>,
        call: &Call,
        service: &str,
        request: Request<Outgoing>,
    ) -> Result<Response<Answer>, Refusal> {
        let pending = PendingRun::new(self, call, service);
        let result = self.admit(call, service, request).await;
        pending.complete();
        if let Err(refusal) = &result {
            let counters = &self.shared.counters;
            let reason = refusal.reason.as_str();
            counters.count("swiftcart_guard_refusals_total", "reason", reason);
            self.count_nested(call, NestedAdmission::Refused);
            self.log(call, service, *refusal);
        }
        result
    }

    /// Counts the result of the admission of `call` if it is a nested call.
    fn count_nested(&self, call: &Call, result: NestedAdmission) {
        if call.origin() == RequestOrigin::Backend {
            let counters = &self.shared.counters;
            let name = "swiftcart_nested_admissions_total";
            counters.count(name, "result", result.as_str());
        }
    }

    async fn admit(
        self: &Arc<Self>,
        call: &Call,
        service: &str,
        request: Request<Outgoing>,
    ) -> Result<Response<Answer>, Refusal> {
        let upstream = self.upstream.load_full().ok_or(Reason::NotReady)?;
        if upstream.service().as_str() != service {
            return Err(Reason::Misdirected.into());
        }
        if let (Some(key), Some(keyed)) = (&call.key, &self.keyed) {
            return keyed.answer(self, upstream, call, key, request).await;
        }
        let arrived = self.shared.clock.now();
        self.shared.clearing.may_enter(arrived)?;
        self.shared.warmup.may_enter(arrived)?;
        let slot = upstream.enter(call).await?;
        let counters = &self.shared.counters;
        counters.stage(Stage::Queue, slot.start().since(arrived));
        let admission = match slot.was_queued() {
            true => NestedAdmission::Waited,
            false => NestedAdmission::AtOnce,
        };
        self.count_nested(call, admission);
        if let Err(refusal) = self.record_start(call, &slot, &request) {
            slot.withdraw();
            return Err(refusal);
        }
        self.hand_over(call, upstream, slot, request).await
    }

    /// Makes the last checks before the hand-over, and counts the request against the limits of a
    /// release on trial and of a cold start.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the request must not be handed over.
    fn record_start(
        &self,
        call: &Call,
        slot: &Slot,
        request: &Request<Outgoing>,
    ) -> Result<(), Refusal> {
        self.check_quarantine(call, request)?;
        self.shared.clearing.take(slot.start())?;
        self.shared.warmup.take(slot.start())
    }

    /// Refuses a request whose fingerprint was quarantined after the ingress had forwarded the
    /// request. Requests that crash backend servers are quarantined.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::Quarantined`] with the remaining time of the quarantine.
    fn check_quarantine(&self, call: &Call, request: &Request<Outgoing>) -> Result<(), Refusal> {
        let suspects = &self.shared.suspects;
        if !suspects.may_be_quarantined(call.print.head) {
            return Ok(());
        }
        let print = FingerprintSource::new(call.print, request.body()).fingerprint();
        let now = self.shared.clock.now();
        match print.and_then(|print| suspects.held(now, print)) {
            Some(left) => Err(Refusal::new(Reason::Quarantined).with_retry(left)),
            None => Ok(()),
        }
    }

    /// Sends a request to the backend server and waits for the head of the response.
    ///
    /// A request that is not idempotent under its route's policy runs in its own task, so that it
    /// is not cancelled when the caller disconnects: the backend server is processing the request,
    /// and the request cannot be repeated.
    async fn hand_over(
        self: &Arc<Self>,
        call: &Call,
        upstream: Arc<Upstream>,
        slot: Slot,
        request: Request<Outgoing>,
    ) -> Result<Response<Answer>, Refusal> {
        if call.idempotent || call.terms.is_none() {
            return self.send(call, &upstream, slot, request).await;
        }
        let (guard, call) = (Arc::clone(self), call.clone());
        let sending = async move { guard.send(&call, &upstream, slot, request).await };
        match tokio::spawn(sending).await {
            Ok(result) => result,
            Err(err) => {
                let logger = &self.shared.logger;
                error!(logger, ""; "event" => Event::Failed, "part" => "guard", "error" => %err);
                Err(Reason::AnswerBroken.into())
            }
        }
    }

    async fn send(
        &self,
        call: &Call,
        upstream: &Upstream,
        slot: Slot,
        request: Request<Outgoing>,
    ) -> Result<Response<Answer>, Refusal> {
        let method = request.method().clone();
        let due = self.shared.clock.tokio(call.due.at());
        let repeat = call.terms.is_some_and(|terms| terms.repeat);
        let _repeat = repeat.then(|| RunningRetry::new(&self.repeats));
        let sent = upstream.send(call, call.due.at(), request).await;
        let Sent { exchanged, run } = match sent {
            Ok(sent) => sent,
            Err(unanswered) => {
                let reason = unanswered.reason;
                self.log_unanswered(call, &unanswered);
                self.record_end(call, &slot, failure_result(reason) == CallResult::Failure);
                slot.finish(failure_result(reason));
                return Err(reason.into());
            }
        };
        let Exchanged {
            response,
            pooled,
            exchange,
        } = exchanged;
        self.record_end(call, &slot, response.status().is_server_error());
        let elapsed = self.shared.clock.now().since(slot.start());
        self.shared.counters.stage(Stage::Backend, elapsed);
        slot.head(response.body().size_hint().lower());
        let checked = check_response(&self.shared.settings, &method, &response);
        if checked.is_err() || repeat {
            self.log_exchange(call, exchange, &response, checked.err());
        }
        if let Err(reason) = checked {
            slot.finish(failure_result(reason));
            run.rejected();
            if reason == Reason::Shed {
                Answer::stream(response.into_body(), pooled, due).discard();
            }
            return Err(reason.into());
        }
        let (mut head, body) = response.into_parts();
        strip_hop_by_hop(&mut head.headers);
        strip_internal(&mut head.headers);
        let answer = Answer::stream(body, pooled, due)
            .with_slot(slot)
            .with_run(run);
        Ok(Response::from_parts(head, answer))
    }

    /// Records the result of a request for the trial of a release.
    ///
    /// A request that was cancelled by its caller or refused by the backend server does not count
    /// as a failure.
    fn record_end(&self, call: &Call, slot: &Slot, failed: bool) {
        let time = self.shared.clock.now().since(slot.start());
        self.shared.clearing.ended(call.route(), failed, time);
    }

    fn update_upstream(&self, announced: Option<Backend>, stopping: bool) {
        let old = self.upstream.load_full();
        let Some(backend) = announced else {
            if let Some(old) = old {
                old.mark_leaving();
            }
            self.upstream.store(None);
            return;
        };
        let upstream = Upstream::new(&self.shared, old.as_deref(), backend);
        if let Some(old) = old {
            old.replace_with(&upstream);
        }
        let view = self.shared.view.load();
        let cold = view.cold_start(upstream.service());
        let rule = match cold {
            _ if view.version() == Version::NONE => ColdStartLimit::Unknown,
            Some(cold) => ColdStartLimit::Limited(cold),
            None => ColdStartLimit::Unlimited,
        };
        self.shared
            .warmup
            .with(|warmup| warmup.set_cold_limit(rule));
        let entry = view.service(upstream.service().as_str());
        let limits = entry.map_or(Limits::default(), ServiceEntry::limits);
        let guards: Vec<NodeId> = entry
            .map_or(&[][..], ServiceEntry::candidates)
            .iter()
            .map(|candidate| candidate.id)
            .collect();
        upstream.apply_limits(limits, guards.len(), stopping);
        if let Some(keyed) = &self.keyed {
            keyed.prepare(upstream.service(), &guards);
        }
        self.upstream.store(Some(Arc::new(upstream)));
    }
}

/// Returns the result that is recorded for the backend server when a request fails.
fn failure_result(reason: Reason) -> CallResult {
    match reason {
        Reason::CallerGone | Reason::DeadlinePassed => CallResult::Cancelled,
        Reason::Shed => CallResult::Refused,
        _ => CallResult::Failure,
    }
}
