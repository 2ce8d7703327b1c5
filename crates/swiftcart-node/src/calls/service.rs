//! The two services of the call path as `tower` sees them.

use std::convert::Infallible;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use http::header::{CONNECTION, HeaderValue};
use http::request::Parts;
use http::{Request, Response};
use hyper::body::{Body, Incoming};
use swiftcart_core::{QueueWait, Reason, Refusal};
use tokio::sync::Semaphore;
use tokio::time::timeout_at;
use tokio_util::task::AbortOnDropHandle;
use tower::Service;

use super::answer::{Answer, refuse};
use super::body::{BodySource, Outgoing};
use super::guard::Guard;
use super::headers::{KEEP_ALIVE, LOAD, NOTICE, OUTCOME, told};
use super::ingress::Ingress;
use super::pipelining::{Pipeline, Starter};
use super::request::Call;
use super::serve::Answering;
use crate::settings::Settings;
use crate::shared::{Phase, Shared};

/// Answers callers.
#[derive(Debug, Clone)]
pub struct IngressService {
    shared: Arc<Shared>,
    ingress: Arc<Ingress>,
}

/// Answers other nodes, which hand on requests for the backend server beside this one.
#[derive(Debug, Clone)]
pub struct GuardService {
    shared: Arc<Shared>,
    guard: Arc<Guard>,
    /// The uploads whose bodies are taken at once.
    bodies: Arc<Semaphore>,
}

impl IngressService {
    /// Creates the service around `ingress`.
    #[must_use]
    pub fn new(shared: &Arc<Shared>, ingress: &Arc<Ingress>) -> Self {
        Self {
            shared: Arc::clone(shared),
            ingress: Arc::clone(ingress),
        }
    }

    /// Returns what starts requests that callers send ahead.
    #[must_use]
    pub fn starter(&self) -> Starter {
        let ingress = Arc::clone(&self.ingress);
        Starter::new(move |head: &Parts| {
            let may = ingress.may_start(head);
            may.then(|| {
                let (ingress, head) = (Arc::clone(&ingress), head.clone());
                let answering = async move { ingress.answer(head, None).await };
                AbortOnDropHandle::new(tokio::spawn(answering))
            })
        })
    }

    /// Tells the caller how long its connection is kept, and not at all after a refusal: a
    /// caller comes back on a connection of its own. What was sent ahead is answered first.
    fn keep(&self, response: &mut Response<Answer>, has_more: bool) {
        let Some(time) = self.shared.settings.limits.keep_alive() else {
            return;
        };
        let (name, value) = match response.headers().contains_key(OUTCOME) && !has_more {
            true => (CONNECTION, HeaderValue::from_static("close")),
            false => {
                let text = format!("timeout={}", time.as_secs());
                // Digits after a word are always a header's value.
                let value = HeaderValue::try_from(text);
                (
                    KEEP_ALIVE,
                    value.unwrap_or_else(|_| HeaderValue::from_static("timeout=1")),
                )
            }
        };
        response.headers_mut().insert(name, value);
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Answer> {
        let (mut head, body) = request.into_parts();
        let pipeline = head.extensions.remove::<Option<Pipeline>>().flatten();
        let started = pipeline.as_ref().and_then(|pipeline| pipeline.take(&head));
        let mut response = match started {
            Some(started) => match started.await {
                Ok(response) => response,
                Err(err) => self.ingress.fail(&err),
            },
            None => self.ingress.answer(head, Some(body)).await,
        };
        if let Some(pipeline) = pipeline {
            pipeline.answered();
            self.keep(&mut response, pipeline.has_more());
        }
        response
    }
}

impl GuardService {
    /// Creates the service around `guard`.
    #[must_use]
    pub fn new(shared: &Arc<Shared>, guard: &Arc<Guard>) -> Self {
        let bodies = bodies_at_once(&shared.settings);
        Self {
            shared: Arc::clone(shared),
            guard: Arc::clone(guard),
            bodies: Arc::new(Semaphore::new(bodies)),
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Answer> {
        let told = told(request.headers());
        told.iter().for_each(|told| self.guard.relay(*told));
        let result = self.run(request).await;
        let mut response =
            result.unwrap_or_else(|refusal| refuse(refusal, false, self.shared.settings.answers));
        if let Some(load) = self.guard.load() {
            response.headers_mut().insert(LOAD, load);
        }
        if let Some(notice) = self.guard.notice(told.is_some()) {
            response.headers_mut().insert(NOTICE, notice);
        }
        retire(&self.shared, &mut response);
        response.map(|answer| answer.paced(&self.shared.link))
    }

    async fn run(&self, request: Request<Incoming>) -> Result<Response<Answer>, Refusal> {
        let settings = &self.shared.settings;
        let limits = &settings.limits;
        let now = self.shared.clock.now();
        let (mut head, body) = request.into_parts();
        let (call, service) = Call::from_peer(&mut head, settings, now)?;
        let body = match body.is_end_stream() {
            true => Outgoing::Empty,
            false if call.is_upload() => self.receive(&call, body).await?,
            false => BodySource::new(body, KEPT_BYTES, limits.body_timeout()).start(None),
        };
        let service = service.to_str().unwrap_or_default();
        let request = Request::from_parts(head, body);
        self.guard.run(&call, service, request).await
    }
}

impl GuardService {
    /// Reads an upload before it takes a slot, when its turn comes.
    ///
    /// Bodies that come at once fill the link, and short requests wait behind them.
    async fn receive(&self, call: &Call, body: Incoming) -> Result<Outgoing, Refusal> {
        let limits = &self.shared.settings.limits;
        let now = self.shared.clock.now();
        let until = call.admission_request().until(now, limits.queue_timeout());
        let turn = match call.admission_request().queue_wait {
            QueueWait::Full => {
                let until = self.shared.clock.tokio(until);
                let turn = timeout_at(until, self.bodies.acquire()).await;
                turn.ok().and_then(Result::ok)
            }
            QueueWait::Short => self.bodies.try_acquire().ok(),
        };
        let Some(_turn) = turn else {
            return Err(Refusal::new(Reason::Overloaded).with_retry(BODY_TURN));
        };
        let room = limits.replay_bytes as usize;
        let source = BodySource::new(body, room, limits.body_timeout());
        let due = self.shared.clock.tokio(call.due.at());
        match timeout_at(due, source.fill(room)).await {
            Ok(Ok(())) => Ok(source.start(None)),
            Ok(Err(_)) => Err(Reason::CallerGone.into()),
            Err(_) => Err(Reason::DeadlinePassed.into()),
        }
    }
}

/// How much of a body is kept until its answer is there, to recognise the request by when it comes
/// again; a longer one is not recognised. Requests that are no uploads have bodies of some 300 bytes.
const KEPT_BYTES: usize = 16 << 10;

/// The megabits a second of a link for each body that it takes at once. Two bodies of 60 kB at once keep short
/// requests waiting for 130 ms and more behind them on 7 Mbit/s, the whole target of a call.
const BODY_MBIT: f64 = 15.0;

/// When an upload may come back that got no turn: some bodies of 60 kB over 10 Mbit/s later.
const BODY_TURN: Duration = Duration::from_millis(200);

/// Returns how many bodies of uploads are taken at once.
fn bodies_at_once(settings: &Settings) -> usize {
    let most = settings.limits.bodies as usize;
    match settings.link.rate() {
        Some(_) => most.min((settings.link.mbit_s / BODY_MBIT) as usize).max(1),
        None => most,
    }
}

/// Has the other side give the connection up when the node is stopping.
fn retire(shared: &Shared, response: &mut Response<Answer>) {
    if matches!(*shared.phase.borrow(), Phase::Finishing | Phase::Stopping) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
}

impl Service<Request<Incoming>> for IngressService {
    type Response = Response<Answer>;
    type Error = Infallible;
    type Future = Answering;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Answering {
        let service = self.clone();
        Box::pin(async move {
            let mut response = service.answer(request).await;
            retire(&service.shared, &mut response);
            Ok(response.map(|answer| answer.paced(&service.shared.link)))
        })
    }
}

impl Service<Request<Incoming>> for GuardService {
    type Response = Response<Answer>;
    type Error = Infallible;
    type Future = Answering;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Answering {
        let service = self.clone();
        Box::pin(async move { Ok(service.answer(request).await) })
    }
}
