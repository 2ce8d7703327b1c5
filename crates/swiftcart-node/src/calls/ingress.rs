//! The ingress: routes callers' requests to a guard, and tries again where that is safe.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::request::Parts;
use http::{HeaderValue, Request, Response, Uri};
use hyper::body::{Body, Incoming};
use swiftcart_core::{
    BalanceSettings, Balancer, CallResult, Deadline, Failure, HOP_ALLOWANCE, Load, NodeId, Outcome,
    Pick, PickRule, Reason, Refusal, RetryBudget, RetrySettings, ServiceEntry, Tries, View,
};
use tokio::time::timeout_at;

use super::answer::{Answer, is_framed, refuse};
use super::body::{Gate, Outgoing, Source};
use super::conn::SendError;
use super::guard::Guard;
use super::headers::{
    ATTEMPT, DEADLINE_MS, LOAD, REQUEST_ID, RETRIED, SERVICE, retry_after, strip_hop,
    strip_internal, verdict,
};
use super::in_flight::InFlight;
use super::keyed::preference;
use super::peers::Peers;
use super::request::Call;
use super::rng::with_rng;
use crate::counters::Stage;
use crate::shared::{Phase, Shared};

/// Stale connections that one try may meet before it fails.
const MAX_STALE: usize = 4;

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

/// A request's head and where its body comes from, kept for every try.
#[derive(Debug)]
struct Original {
    head: Parts,
    source: Option<Arc<Source>>,
    /// Whether the body may be longer than what is kept of it.
    long: bool,
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
            Phase::NoConfig | Phase::BelowFloor => return Err(Reason::NotReady.into()),
        }
        let view = self.shared.view.load_full();
        let entry = with_rng(|rng| view.route(head.uri.path(), rng))?;
        call.due = due(&call, entry, now);
        let original = Original::new(head, body, limits.replay_bytes, limits.body_timeout());
        self.tries(&call, &view, entry, &original).await
    }

    async fn tries(
        &self,
        call: &Call,
        view: &View,
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
            debug_assert!(view.has_candidate(pick.id));
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

    /// Sends the request to the guard beside the chosen backend server.
    async fn forward(
        &self,
        call: &Call,
        pick: &Pick,
        service: &str,
        original: &Original,
        tries: Tries,
    ) -> Result<Response<Answer>, Failed> {
        let now = self.shared.clock.now();
        let left = call.due.less(HOP_ALLOWANCE).left_ms(now);
        let left = left.ok_or(Reason::DeadlinePassed)?;
        let gate = original.long.then(Gate::default);
        let mut request = original.request(gate.clone());
        if let Some(gate) = gate {
            let headers = request.headers_mut();
            headers.insert(
                http::header::EXPECT,
                HeaderValue::from_static("100-continue"),
            );
            hyper::ext::on_informational(&mut request, move |_| gate.open());
        }
        let name = HeaderValue::from_str(service).map_err(|_| Reason::BadRequest)?;
        let headers = request.headers_mut();
        headers.insert(SERVICE, name);
        headers.insert(DEADLINE_MS, HeaderValue::from(left));
        headers.insert(ATTEMPT, HeaderValue::from(u16::from(tries.attempt().0)));
        headers.insert(REQUEST_ID, call.id_value());
        self.exchange(call, pick, request).await
    }

    async fn exchange(
        &self,
        call: &Call,
        pick: &Pick,
        mut request: Request<Outgoing>,
    ) -> Result<Response<Answer>, Failed> {
        let until = self.shared.clock.tokio(call.due.at());
        let method = request.method().clone();
        let pool = self.peers.pool(pick.peer);
        for _ in 0..MAX_STALE {
            let mut pooled = match timeout_at(until, pool.take()).await {
                Ok(Ok(pooled)) => pooled,
                Ok(Err(_)) => return Err(Reason::PeerUnreachable.into()),
                Err(_) => return Err(Reason::DeadlinePassed.into()),
            };
            let reason = match timeout_at(until, pooled.conn().send(request)).await {
                Ok(Ok(response)) => {
                    let framed = is_framed(&method, response.status(), response.headers());
                    let response = response.map(|body| Answer::stream(body, pooled));
                    return match framed {
                        true => judge(response),
                        false => Err(Reason::AnswerBroken.into()),
                    };
                }
                Ok(Err(SendError::Unsent(Some(back)))) if pooled.is_reused() => {
                    request = *back;
                    continue;
                }
                Ok(Err(SendError::Unsent(_))) => Reason::PeerUnreachable,
                Ok(Err(SendError::Sent(err))) if err.is_user() => Reason::CallerGone,
                Ok(Err(SendError::Sent(_))) => Reason::AnswerBroken,
                Err(_) if pooled.conn().wrote() => Reason::Timeout,
                Err(_) => Reason::DeadlinePassed,
            };
            return Err(reason.into());
        }
        Err(Reason::PeerUnreachable.into())
    }

    fn balancer(&self) -> MutexGuard<'_, Balancer> {
        self.balancer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Original {
    fn new(head: Parts, body: Incoming, room: u32, silence: std::time::Duration) -> Self {
        let room = room as usize;
        let long = body.size_hint().upper().is_none_or(|n| n > room as u64);
        let streams = !body.is_end_stream();
        Self {
            head,
            source: streams.then(|| Source::new(body, room, silence)),
            long: streams && long,
        }
    }

    /// Creates the request of one try.
    fn request(&self, gate: Option<Gate>) -> Request<Outgoing> {
        let body = match &self.source {
            Some(source) => source.start(gate),
            None => Outgoing::Empty,
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = origin(&self.head.uri);
        request.headers_mut().clone_from(&self.head.headers);
        request
    }

    fn is_whole(&self) -> bool {
        self.source.as_ref().is_none_or(|source| source.is_whole())
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

/// Tells a guard's refusal from a backend server's answer.
fn judge(mut response: Response<Answer>) -> Result<Response<Answer>, Failed> {
    let Some(reason) = verdict(response.headers()) else {
        let load = response.headers_mut().remove(LOAD);
        strip_hop(response.headers_mut());
        strip_internal(response.headers_mut());
        if let Some(load) = load {
            response.headers_mut().insert(LOAD, load);
        }
        return Ok(response);
    };
    let refusal = Refusal {
        reason,
        retry_after: retry_after(response.headers()),
    };
    let failed = Failed {
        refusal,
        retried: response.headers().contains_key(RETRIED),
        load: take_load(&mut response),
    };
    response.into_body().discard();
    Err(failed)
}

/// Takes the guard's load out of an answer.
fn take_load(response: &mut Response<Answer>) -> Option<Load> {
    let value = response.headers_mut().remove(LOAD)?;
    let mut numbers = value.to_str().ok()?.split(' ').map(str::parse);
    let mut next = || numbers.next()?.ok();
    Some(Load {
        running: next()?,
        queued: next()?,
        limit: next()?,
    })
}

fn due(call: &Call, entry: &ServiceEntry, now: swiftcart_core::Instant) -> Deadline {
    match entry.limits().timeout_ms {
        0 => call.due,
        ms => call
            .due
            .within(now, std::time::Duration::from_millis(ms.into())),
    }
}

/// Returns the target without scheme and authority, as a server expects it.
fn origin(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => Uri::default(),
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
