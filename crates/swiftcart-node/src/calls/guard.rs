//! The guard: what the backend server beside this node is given, and what became of it.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use http::{HeaderValue, Request, Response};
use swiftcart_core::{Backend, CallResult, Limits, Load, NodeId, Reason, Refusal, ServiceEntry};

use super::admissions::Slot;
use super::answer::{Answer, is_framed};
use super::body::Outgoing;
use super::headers::{strip_hop, strip_internal};
use super::keyed::Keyed;
use super::request::Call;
use super::upstream::Upstream;
use crate::counters::Stage;
use crate::shared::{Phase, Shared};

/// Guards the backend server beside this node.
#[derive(Debug)]
pub struct Guard {
    shared: Arc<Shared>,
    upstream: ArcSwapOption<Upstream>,
    keyed: Keyed,
}

impl Guard {
    /// Creates a guard without a backend server.
    #[must_use]
    pub fn new(shared: &Arc<Shared>) -> Self {
        Self {
            shared: Arc::clone(shared),
            upstream: ArcSwapOption::empty(),
            keyed: Keyed::new(shared),
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

    /// Waits until the requests with a key have ended and their answers are in the log.
    pub async fn finish(&self) {
        self.keyed.finish().await;
    }

    /// Returns what the node's parts share.
    #[must_use]
    pub const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns the load to carry back to other nodes.
    #[must_use]
    pub fn load(&self) -> Option<HeaderValue> {
        let upstream = self.upstream.load();
        let load = upstream.as_ref()?.load();
        let text = format!("{} {} {}", load.running, load.queued, load.limit);
        HeaderValue::try_from(text).ok()
    }

    /// Closes unused connections and shows the load.
    pub fn sweep(&self) {
        let upstream = self.upstream.load();
        let load = upstream.as_ref().map_or(Load::default(), |upstream| {
            upstream.sweep();
            upstream.load()
        });
        let counters = &self.shared.counters;
        counters.gauge("swiftcart_running").set(load.running);
        counters.gauge("swiftcart_queued").set(load.queued);
        counters.gauge("swiftcart_limit").set(load.limit);
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
        }
        result
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
        if let Some(key) = &call.key {
            return self.keyed.answer(self, upstream, call, key, request).await;
        }
        let arrived = self.shared.clock.now();
        let slot = upstream.enter(call).await?;
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
        let sent = upstream.send(call, call.due.at(), request).await;
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

    fn adopt(&self, announced: Option<Backend>, stopping: bool) {
        let old = self.upstream.load_full();
        let Some(backend) = announced else {
            if let Some(old) = old {
                old.close();
            }
            self.upstream.store(None);
            return;
        };
        let upstream = Upstream::new(&self.shared, old.as_deref(), backend);
        let view = self.shared.view.load();
        let entry = view.service(upstream.service().as_str());
        let limits = entry.map_or(Limits::default(), ServiceEntry::limits);
        let guards: Vec<NodeId> = entry
            .map_or(&[][..], ServiceEntry::candidates)
            .iter()
            .map(|candidate| candidate.id)
            .collect();
        upstream.adopt(limits, guards.len(), stopping);
        self.keyed.prepare(upstream.service(), &guards);
        self.upstream.store(Some(Arc::new(upstream)));
    }
}

/// Returns what a failed request tells of the backend server.
fn blame(reason: Reason) -> CallResult {
    match reason {
        Reason::CallerGone | Reason::DeadlinePassed => CallResult::Cancelled,
        _ => CallResult::Failure,
    }
}
