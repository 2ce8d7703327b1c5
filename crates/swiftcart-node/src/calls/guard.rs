//! The guard: what the backend server beside this node is given, and what became of it.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use swiftcart_core::{
    AdmissionSettings, Backend, CallResult, Gate, Limits, Readiness, Reason, Refusal,
};
use tokio::time::timeout_at;

use super::admissions::{Admissions, Slot};
use super::answer::{Answer, is_framed};
use super::body::Outgoing;
use super::conn::SendError;
use super::headers::{DEADLINE, REQUEST_ID, strip_hop, strip_internal};
use super::keyed;
use super::pool::{Pool, Pooled};
use super::request::Call;
use crate::counters::Stage;
use crate::shared::{Phase, Shared};

/// Stale connections that one request may meet before it is refused.
const MAX_STALE: usize = 4;

/// Guards the backend server beside this node.
#[derive(Debug)]
pub struct Guard {
    shared: Arc<Shared>,
    upstream: ArcSwapOption<Upstream>,
}

/// The backend server as it announced itself, with its connections and admission.
#[derive(Debug, Clone)]
struct Upstream {
    backend: Backend,
    pool: Arc<Pool>,
    admissions: Arc<Admissions>,
}

impl Guard {
    /// Creates a guard without a backend server.
    #[must_use]
    pub fn new(shared: &Arc<Shared>) -> Self {
        Self {
            shared: Arc::clone(shared),
            upstream: ArcSwapOption::empty(),
        }
    }

    /// Takes over the announcement, the view and the phase whenever one of them changes.
    pub async fn follow(&self) {
        let mut backend = self.shared.backend.subscribe();
        let mut view = self.shared.views.subscribe();
        let mut phase = self.shared.phase.subscribe();
        loop {
            let announced = backend.borrow_and_update().clone();
            let stopping = *phase.borrow_and_update() == Phase::Stopping;
            view.borrow_and_update();
            self.adopt(announced, stopping);
            tokio::select! {
                _ = backend.changed() => {}
                _ = view.changed() => {}
                _ = phase.changed() => {}
            }
        }
    }

    /// Returns the load to carry back to other nodes.
    #[must_use]
    pub fn load(&self) -> Option<HeaderValue> {
        let upstream = self.upstream.load();
        let load = upstream.as_ref()?.admissions.load();
        let text = format!("{} {} {}", load.running, load.queued, load.limit);
        HeaderValue::try_from(text).ok()
    }

    /// Closes unused connections.
    pub fn sweep(&self) {
        if let Some(upstream) = self.upstream.load().as_ref() {
            upstream.pool.sweep(tokio::time::Instant::now());
        }
    }

    /// Runs a request at the backend server when it is of `service` and takes it.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer; its reason's outcome tells whether the
    /// request may have run.
    pub async fn run(
        &self,
        call: &Call,
        service: &str,
        request: Request<Outgoing>,
    ) -> Result<Response<Answer>, Refusal> {
        let result = self.admit(call, service, request).await;
        if let Err(refusal) = &result {
            let counters = &self.shared.counters;
            let reason = refusal.reason.as_str();
            counters.count("swiftcart_guard_refusals_total", "reason", reason);
        }
        result
    }

    async fn admit(
        &self,
        call: &Call,
        service: &str,
        request: Request<Outgoing>,
    ) -> Result<Response<Answer>, Refusal> {
        let upstream = self.upstream.load_full().ok_or(Reason::NotReady)?;
        if upstream.backend.service.as_str() != service {
            return Err(Reason::Misdirected.into());
        }
        if call.key.is_some() {
            return Err(keyed::refuse());
        }
        let arrived = self.shared.clock.now();
        let slot = upstream.admissions.enter(call.due).await?;
        let counters = &self.shared.counters;
        counters.stage(Stage::Queue, slot.start().since(arrived));
        self.hand_over(call, &upstream, slot, request).await
    }

    async fn hand_over(
        &self,
        call: &Call,
        upstream: &Upstream,
        slot: Slot,
        request: Request<Outgoing>,
    ) -> Result<Response<Answer>, Refusal> {
        let method = request.method().clone();
        let sent = self.send(call, &upstream.pool, request).await;
        let (response, pooled) = match sent {
            Ok(sent) => sent,
            Err(reason) => {
                slot.finish(blame(reason));
                return Err(reason.into());
            }
        };
        let elapsed = self.shared.clock.now().since(slot.start());
        self.shared.counters.stage(Stage::Backend, elapsed);
        if !is_framed(&method, response.status(), response.headers()) {
            slot.finish(CallResult::Failure);
            return Err(Reason::AnswerBroken.into());
        }
        let (mut head, body) = response.into_parts();
        strip_hop(&mut head.headers);
        strip_internal(&mut head.headers);
        let answer = Answer::stream(body, pooled).with_slot(slot);
        Ok(Response::from_parts(head, answer))
    }

    /// Hands `request` over and waits for the answer's head.
    async fn send(
        &self,
        call: &Call,
        pool: &Arc<Pool>,
        mut request: Request<Outgoing>,
    ) -> Result<(Response<Incoming>, Pooled), Reason> {
        let until = self.shared.clock.tokio(call.due.at());
        let headers = request.headers_mut();
        let due = self.shared.clock.unix_ms(call.due.at());
        headers.insert(DEADLINE, HeaderValue::from(due));
        headers.insert(REQUEST_ID, call.id_value());
        for _ in 0..MAX_STALE {
            let mut pooled = match timeout_at(until, pool.take()).await {
                Ok(Ok(pooled)) => pooled,
                Ok(Err(_)) => return Err(Reason::ConnectFailed),
                Err(_) => return Err(Reason::DeadlinePassed),
            };
            match timeout_at(until, pooled.conn().send(request)).await {
                Ok(Ok(response)) => return Ok((response, pooled)),
                Ok(Err(SendError::Unsent(Some(back)))) if pooled.is_reused() => request = *back,
                Ok(Err(SendError::Unsent(_))) => return Err(Reason::ConnectFailed),
                Ok(Err(SendError::Sent(err))) if err.is_user() => return Err(Reason::CallerGone),
                Ok(Err(SendError::Sent(_))) => return Err(Reason::AnswerBroken),
                Err(_) if pooled.conn().wrote() => return Err(Reason::Timeout),
                Err(_) => return Err(Reason::DeadlinePassed),
            }
        }
        Err(Reason::ConnectFailed)
    }

    fn adopt(&self, announced: Option<Backend>, stopping: bool) {
        let old = self.upstream.load_full();
        let Some(backend) = announced else {
            if let Some(old) = old {
                old.admissions.set_gate(Gate::Draining);
            }
            self.upstream.store(None);
            return;
        };
        let upstream = self.upstream(old.as_deref(), backend);
        let view = self.shared.view.load();
        let entry = view.service(upstream.backend.service.as_str());
        let limits = entry.map_or(Limits::default(), swiftcart_core::ServiceEntry::limits);
        let guards = entry.map_or(1, |e| e.candidates().len());
        let gate = gate(upstream.backend.readiness, stopping);
        upstream.admissions.set_gate(gate);
        let slots = upstream.backend.slots;
        upstream.admissions.resize(slots, limits, guards);
        self.upstream.store(Some(Arc::new(upstream)));
    }

    /// Returns the upstream for `backend`, with what is kept of the `old` one.
    fn upstream(&self, old: Option<&Upstream>, backend: Backend) -> Upstream {
        let limits = &self.shared.settings.limits;
        let same = old.filter(|old| {
            let same_addr = old.backend.addr == backend.addr;
            same_addr && old.backend.service == backend.service
        });
        let admissions = same.map_or_else(
            || {
                let settings = AdmissionSettings {
                    queue: limits.queue,
                    wait: limits.queue_timeout(),
                    ..AdmissionSettings::default()
                };
                Arc::new(Admissions::new(self.shared.clock, settings))
            },
            |old| Arc::clone(&old.admissions),
        );
        let pool = same
            .filter(|old| old.backend.connections == backend.connections)
            .map_or_else(
                || {
                    let bound = backend.connections as usize;
                    let (idle, connect) = (limits.idle_timeout(), limits.connect_timeout());
                    Arc::new(Pool::new(backend.addr, bound, idle, connect))
                },
                |old| Arc::clone(&old.pool),
            );
        Upstream {
            backend,
            pool,
            admissions,
        }
    }
}

const fn gate(readiness: Readiness, stopping: bool) -> Gate {
    match readiness {
        _ if stopping => Gate::Stopping,
        Readiness::Warming => Gate::Warming,
        Readiness::Ready => Gate::Open,
        Readiness::Draining => Gate::Draining,
    }
}

/// Returns what a failed request tells of the backend server.
fn blame(reason: Reason) -> CallResult {
    match reason {
        Reason::CallerGone | Reason::DeadlinePassed => CallResult::Cancelled,
        _ => CallResult::Failure,
    }
}
