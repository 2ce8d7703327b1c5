//! The ingress: routes callers' requests to a guard, and tries again where that is safe.

mod forward;
mod original;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::request::Parts;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use swiftcart_core::{
    BalanceSettings, Balancer, CallResult, Deadline, Failure, Instant, Load, NodeId, Outcome, Pick,
    PickRule, Reason, Refusal, RetryBudget, RetrySettings, ServiceEntry, Tries,
};

use super::answer::{Answer, refuse};
use super::guard::Guard;
use super::headers::RETRIED;
use super::in_flight::InFlight;
use super::keyed::preference;
use super::peers::Peers;
use super::request::Call;
use super::rng::with_rng;
use crate::counters::Stage;
use crate::shared::{Phase, Shared};
use forward::take_load;
use original::Original;

/// Takes callers' requests to a backend server, beside this node or another.
#[derive(Debug)]
pub struct Ingress {
    shared: Arc<Shared>,
    guard: Arc<Guard>,
    peers: Peers,
    balancer: Arc<Mutex<Balancer>>,
    budget: Mutex<RetryBudget>,
}

/// A try that brought no answer of a backend server.
#[derive(Debug)]
struct Failed {
    refusal: Refusal,
    retried: bool,
    load: Option<Load>,
}

impl Ingress {
    /// Creates an ingress that hands requests for the own backend server to `guard`.
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
        }
    }

    /// Takes over the candidates of each new view.
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

    /// Closes unused connections.
    pub fn sweep(&self) {
        self.peers.sweep();
    }

    /// Answers one request of a caller.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<Answer> {
        let start = self.shared.clock.now();
        let (head, body) = request.into_parts();
        let result = self.route(head, body).await;
        let counters = &self.shared.counters;
        counters.stage(Stage::Ingress, self.shared.clock.now().since(start));
        match result {
            Ok(response) => response,
            Err(failed) => {
                let reason = failed.refusal.reason;
                counters.refuse(reason.as_str());
                counters.call(reason.outcome());
                refuse(failed.refusal, failed.retried)
            }
        }
    }

    async fn route(&self, mut head: Parts, body: Incoming) -> Result<Response<Answer>, Failed> {
        let limits = &self.shared.settings.limits;
        let now = self.shared.clock.now();
        let mut call = Call::from_caller(&mut head, limits, now)?;
        let phase = *self.shared.phase.borrow();
        match phase {
            Phase::Ready => {}
            Phase::Stopping => return Err(Reason::Stopping.into()),
            Phase::NoConfig | Phase::BelowFloor | Phase::NoMembers => {
                return Err(Reason::NotReady.into());
            }
        }
        let view = self.shared.view.load_full();
        let entry = with_rng(|rng| view.route(head.uri.path(), rng))?;
        call.due = due(&call, entry, now);
        let original = Original::new(head, body, limits.replay_bytes, limits.body_timeout());
        self.tries(&call, entry, &original).await
    }

    async fn tries(
        &self,
        call: &Call,
        entry: &ServiceEntry,
        original: &Original,
    ) -> Result<Response<Answer>, Failed> {
        let mut tries = Tries::new(call.attempt);
        let mut tried: Vec<NodeId> = Vec::new();
        let mut last: Option<Failed> = None;
        self.budget().first();
        loop {
            let pick = self.pick(call, entry, &tried);
            let Some(pick) = pick else {
                let shortage = entry.shortage().unwrap_or(Reason::NotReady);
                return Err(last.unwrap_or_else(|| shortage.into()));
            };
            let failed = match self.attempt(call, &pick, entry, original, tries).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            tried.push(pick.id);
            match self.may_retry(call, original, &mut tries, &failed) {
                Ok(()) => last = Some(failed),
                Err(retried) => return Err(Failed { retried, ..failed }),
            }
        }
    }

    /// Chooses a guard; those with a key prefer the few that follow the key's claims.
    fn pick(&self, call: &Call, entry: &ServiceEntry, tried: &[NodeId]) -> Option<Pick> {
        let now = self.shared.clock.now();
        let balancer = self.balancer();
        let preferred = call.key.as_ref().and_then(|key| {
            let ids: Vec<NodeId> = entry.candidates().iter().map(|c| c.id).collect();
            let order = preference(entry.name(), key, &ids);
            let fits = |id: &NodeId| !tried.contains(id) && !balancer.ejected(*id, now);
            let id = order.into_iter().find(fits)?;
            let candidate = entry.candidates().iter().find(|c| c.id == id)?;
            Some(Pick {
                id,
                peer: candidate.peer,
                rule: PickRule::Near,
            })
        });
        preferred.or_else(|| with_rng(|rng| balancer.pick(now, entry, tried, rng)))
    }

    /// Counts another try when it is allowed; otherwise says whether there was one before.
    fn may_retry(
        &self,
        call: &Call,
        original: &Original,
        tries: &mut Tries,
        failed: &Failed,
    ) -> Result<(), bool> {
        let reason = failed.refusal.reason;
        let retried = failed.retried || tries.retried();
        let failure = Failure {
            reason,
            retried: failed.retried,
        };
        let counters = &self.shared.counters;
        if !original.is_whole() {
            counters.count("swiftcart_retry_refusals_total", "reason", "body-sent");
            return Err(retried);
        }
        let now = self.shared.clock.now();
        // A key makes a repeat harmless only once its claim decides; the guards' answers say so.
        let result = tries.retry(now, failure, call.idempotent, call.due, &mut self.budget());
        match result {
            Ok(_) => {
                counters.retry(reason.as_str());
                Ok(())
            }
            Err(why) => {
                counters.count("swiftcart_retry_refusals_total", "reason", why.as_str());
                Err(retried)
            }
        }
    }

    async fn attempt(
        &self,
        call: &Call,
        pick: &Pick,
        entry: &ServiceEntry,
        original: &Original,
        tries: Tries,
    ) -> Result<Response<Answer>, Failed> {
        let mut in_flight = InFlight::new(&self.shared, &self.balancer, pick.id);
        let service = entry.name().as_str();
        let result = match pick.id == self.shared.id {
            true => {
                let request = original.request(None);
                let result = self.guard.run(call, service, request).await;
                result.map_err(Failed::from)
            }
            false => self.forward(call, pick, service, original, tries).await,
        };
        match result {
            Ok(mut response) => {
                in_flight.set_load(take_load(&mut response));
                if tries.retried() {
                    let headers = response.headers_mut();
                    headers.insert(RETRIED, HeaderValue::from_static("1"));
                }
                Ok(response.map(|answer| answer.with_in_flight(in_flight)))
            }
            Err(failed) => {
                in_flight.set_load(failed.load);
                in_flight.fail(blame(failed.refusal.reason));
                Err(failed)
            }
        }
    }

    fn balancer(&self) -> MutexGuard<'_, Balancer> {
        self.balancer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl From<Reason> for Failed {
    fn from(reason: Reason) -> Self {
        Refusal::from(reason).into()
    }
}

impl From<Refusal> for Failed {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            retried: false,
            load: None,
        }
    }
}

fn due(call: &Call, entry: &ServiceEntry, now: Instant) -> Deadline {
    match entry.limits().timeout_ms {
        0 => call.due,
        ms => call.due.within(now, Duration::from_millis(ms.into())),
    }
}

/// Returns what a failed try tells of the node and backend server that it went to.
fn blame(reason: Reason) -> CallResult {
    match (reason, reason.outcome()) {
        (Reason::CallerGone, _) => CallResult::Cancelled,
        (Reason::PeerUnreachable | Reason::ConnectFailed, _) => CallResult::Failure,
        (_, Outcome::NotRun) => CallResult::Refused,
        (_, Outcome::Unknown | Outcome::Done) => CallResult::Failure,
    }
}
