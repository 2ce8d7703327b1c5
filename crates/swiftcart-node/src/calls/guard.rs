//! The guard: what the backend server beside this node is given, and what became of it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use arc_swap::ArcSwapOption;
use http::{HeaderValue, Request, Response};
use hyper::body::Body;
use slog::{error, info};
use swiftcart_core::{
    Backend, CallResult, ColdStartLimit, Limits, Load, NodeId, Notice, Pace, ProcessNotice,
    Readiness, Reason, Refusal, ServerRate, ServiceEntry, Version,
};

use super::admissions::Slot;
use super::answer::Answer;
use super::body::Outgoing;
use super::headers::{strip_hop, strip_internal};
use super::keyed::Keyed;
use super::request::Call;
use super::runs::Handed;
use super::upstream::{Sent, Upstream};
use super::verdict::judge;
use crate::counters::Stage;
use crate::logging::Event;
use crate::shared::{Phase, Shared};

/// What a guard tells of its backend server with each answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// What runs and waits.
    pub load: Load,
    /// How long calls take, once that is known.
    pub pace: Option<Pace>,
}

/// Guards the backend server beside this node.
#[derive(Debug)]
pub struct Guard {
    shared: Arc<Shared>,
    upstream: ArcSwapOption<Upstream>,
    /// None where requests with a key are not claimed.
    keyed: Option<Keyed>,
    /// Requests that the backend server runs although one got them before.
    repeats: Arc<AtomicU32>,
}

/// A repeat that the backend server runs, counted until it is dropped.
#[derive(Debug)]
struct Repeat(Arc<AtomicU32>);

impl Repeat {
    fn new(running: &Arc<AtomicU32>) -> Self {
        running.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(running))
    }
}

impl Drop for Repeat {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Guard {
    /// Creates a guard without a backend server.
    #[must_use]
    pub fn new(shared: &Arc<Shared>) -> Self {
        Self {
            shared: Arc::clone(shared),
            upstream: ArcSwapOption::empty(),
            keyed: shared.settings.claims.then(|| Keyed::new(shared)),
            repeats: Arc::default(),
        }
    }

    /// Takes over the announcement, the view and the phase whenever one of them changes.
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
            self.adopt(announced, stopping);
            tokio::select! {
                _ = backend.changed() => {}
                _ = view.changed() => {}
                _ = phase.changed() => {}
                _ = clearance.changed() => {}
                _ = drained.changed() => {}
            }
        }
    }

    /// Waits until the requests with a key have ended and their answers are in the log.
    pub async fn finish(&self) {
        if let Some(keyed) = &self.keyed {
            keyed.finish().await;
        }
    }

    /// Returns what the node's parts share.
    #[must_use]
    pub const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns the load and pace to carry back to other nodes.
    #[must_use]
    pub fn load(&self) -> Option<HeaderValue> {
        let upstream = self.upstream.load();
        let upstream = upstream.as_ref()?;
        let load = upstream.load();
        let pace = self.note_pace(upstream);
        let mut text = format!("{} {} {}", load.running, load.queued, load.limit);
        if let Some(Pace(pace)) = pace {
            text.push_str(&format!(" {pace}"));
        }
        HeaderValue::try_from(text).ok()
    }

    /// Takes what another node was told of the backend server.
    pub fn relay(&self, told: ProcessNotice) {
        if let Some(upstream) = &*self.upstream.load() {
            upstream.relay(told);
        }
    }

    /// Returns what the backend server has said of itself.
    #[must_use]
    pub fn told(&self) -> Option<ProcessNotice> {
        Some(self.upstream.load().as_ref()?.told())
    }

    /// Returns that to carry back to another node; nothing where there is nothing to tell, unless the
    /// node `asks`, since it was told otherwise.
    #[must_use]
    pub fn notice(&self, asks: bool) -> Option<HeaderValue> {
        let told = self.told()?;
        let telling = asks || told.notice != Notice::default();
        telling.then(|| HeaderValue::try_from(told.to_string()).ok())?
    }

    /// Returns the share of repeats among what the backend server runs.
    #[must_use]
    pub fn repeated(&self) -> f64 {
        let repeats = self.repeats.load(Ordering::Relaxed);
        let running = self.report().map_or(0, |report| report.load.running);
        f64::from(repeats) / f64::from(running.max(repeats).max(1))
    }

    /// Returns what this node's own ingress is told after a request.
    #[must_use]
    pub fn report(&self) -> Option<Report> {
        let upstream = self.upstream.load();
        let upstream = upstream.as_ref()?;
        Some(Report {
            load: upstream.load(),
            pace: self.note_pace(upstream),
        })
    }

    /// Returns the pace, and shows it to the part of the node that tells all others.
    fn note_pace(&self, upstream: &Upstream) -> Option<Pace> {
        let pace = upstream.pace();
        let shown = pace.map_or(0, |Pace(pace)| pace);
        self.shared.pace.store(shown, Ordering::Relaxed);
        pace
    }

    /// Closes unused connections, and shows the load and the rate that the backend server named.
    pub fn sweep(&self) {
        let upstream = self.upstream.load();
        let (load, rate) = upstream.as_ref().map_or_else(Default::default, |upstream| {
            upstream.sweep();
            (upstream.load(), upstream.told().notice.rate)
        });
        let rate = rate.map_or(0.0, ServerRate::per_second);
        let counters = &self.shared.counters;
        counters.gauge("swiftcart_running").set(load.running);
        counters.gauge("swiftcart_queued").set(load.queued);
        counters.gauge("swiftcart_limit").set(load.limit);
        counters.gauge("swiftcart_server_rate").set(rate);
    }

    /// Runs a request at the backend server when it is of `service` and takes it.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer; its reason's outcome tells whether the
    /// request may have run.
    pub async fn run(
        self: &Arc<Self>,
        call: &Call,
        service: &str,
        request: Request<Outgoing>,
    ) -> Result<Response<Answer>, Refusal> {
        let result = self.admit(call, service, request).await;
        if let Err(refusal) = &result {
            let counters = &self.shared.counters;
            let reason = refusal.reason.as_str();
            counters.count("swiftcart_guard_refusals_total", "reason", reason);
            self.log(call, service, *refusal);
        }
        result
    }

    /// Logs a request that was not handed over, or got no answer.
    fn log(&self, call: &Call, service: &str, refusal: Refusal) {
        let now = self.shared.clock.now();
        let Some(log) = self.shared.call_log.failed(now) else {
            return;
        };
        let load = self.report().map(|report| report.load).unwrap_or_default();
        let instance = self.shared.registration().id().map(str::to_owned);
        info!(log, ""; "event" => Event::Guard, "id" => %call.id, "service" => service,
            "instance" => instance.as_deref().unwrap_or("-"),
            "reason" => refusal.reason.as_str(), "running" => load.running,
            "queued" => load.queued, "limit" => load.limit,
            "left_ms" => u64::try_from(call.due.left(now).as_millis()).unwrap_or(u64::MAX),
            "age_ms" => u64::try_from(call.age().as_millis()).unwrap_or(u64::MAX),
            "print" => %call.print);
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
        if let Err(refusal) = self.take(call, &slot, &request) {
            slot.withdraw();
            return Err(refusal);
        }
        self.hand_over(call, upstream, slot, request).await
    }

    /// Counts a request that is handed over now where a release is on trial, or the backend server cold.
    ///
    /// # Errors
    ///
    /// Why it is not handed over after all.
    fn take(&self, call: &Call, slot: &Slot, request: &Request<Outgoing>) -> Result<(), Refusal> {
        self.pass(call, request)?;
        self.shared.clearing.take(slot.start())?;
        self.shared.warmup.take(slot.start())
    }

    /// Refuses a request that became known for ending backend servers on its way here.
    ///
    /// # Errors
    ///
    /// [`Reason::Quarantined`] with the time for which it is held.
    fn pass(&self, call: &Call, request: &Request<Outgoing>) -> Result<(), Refusal> {
        let suspects = &self.shared.suspects;
        if !suspects.may_be_quarantined(call.print.head) {
            return Ok(());
        }
        let print = Handed::new(call.print, request.body()).print();
        let now = self.shared.clock.now();
        match print.and_then(|print| suspects.held(now, print)) {
            Some(left) => Err(Refusal::new(Reason::Quarantined).with_retry(left)),
            None => Ok(()),
        }
    }

    /// Hands a request over and waits for the head of its answer.
    ///
    /// What may run only once is not cancelled when the caller goes away: the backend server
    /// is at work on it, and nobody could repeat it.
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
        let repeat = call.terms.is_some_and(|terms| terms.repeat);
        let _repeat = repeat.then(|| Repeat::new(&self.repeats));
        let sent = upstream.send(call, call.due.at(), request).await;
        let Sent {
            response,
            pooled,
            run,
        } = match sent {
            Ok(sent) => sent,
            Err(reason) => {
                self.note_end(call, &slot, blame(reason) == CallResult::Failure);
                slot.finish(blame(reason));
                return Err(reason.into());
            }
        };
        self.note_end(call, &slot, response.status().is_server_error());
        let elapsed = self.shared.clock.now().since(slot.start());
        self.shared.counters.stage(Stage::Backend, elapsed);
        slot.head(response.body().size_hint().lower());
        if let Err(reason) = judge(&self.shared.settings, call, &method, &response) {
            slot.finish(blame(reason));
            run.rejected();
            if reason == Reason::Shed {
                Answer::stream(response.into_body(), pooled).discard();
            }
            return Err(reason.into());
        }
        let (mut head, body) = response.into_parts();
        strip_hop(&mut head.headers);
        strip_internal(&mut head.headers);
        let answer = Answer::stream(body, pooled).with_slot(slot).with_run(run);
        Ok(Response::from_parts(head, answer))
    }

    /// Counts how a request ended where the release of the backend server may be on trial; one that
    /// its caller gave up, or that the backend server turned away, says nothing.
    fn note_end(&self, call: &Call, slot: &Slot, failed: bool) {
        let time = self.shared.clock.now().since(slot.start());
        self.shared.clearing.ended(call.route(), failed, time);
    }

    fn adopt(&self, announced: Option<Backend>, stopping: bool) {
        let old = self.upstream.load_full();
        let Some(backend) = announced else {
            if let Some(old) = old {
                old.leave();
            }
            self.upstream.store(None);
            return;
        };
        let upstream = Upstream::new(&self.shared, old.as_deref(), backend);
        if let Some(old) = old {
            old.give_way(&upstream);
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
        upstream.adopt(limits, guards.len(), stopping);
        if let Some(keyed) = &self.keyed {
            keyed.prepare(upstream.service(), &guards);
        }
        self.upstream.store(Some(Arc::new(upstream)));
    }
}

/// Returns what a failed request tells of the backend server.
fn blame(reason: Reason) -> CallResult {
    match reason {
        Reason::CallerGone | Reason::DeadlinePassed => CallResult::Cancelled,
        Reason::Shed => CallResult::Refused,
        _ => CallResult::Failure,
    }
}
