//! `tower` services of the request path: one for callers, one for other nodes.

use std::convert::Infallible;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use http::request::Parts;
use http::{Request, Response};
use hyper::body::{Body, Incoming};
use swiftcart_core::{QueueWait, Reason, Refusal};
use tokio::sync::Semaphore;
use tokio::time::timeout_at;
use tokio_util::task::AbortOnDropHandle;
use tower::Service;

use super::answer::Answer;
use super::body::{BodyLimits, BodySource, Outgoing};
use super::guard::Guard;
use super::headers::{LOAD, NOTICE, process_notice};
use super::ingress::Ingress;
use super::lifetime::RequestNumber;
use super::pipelining::{Pipeline, Starter, Turn};
use super::refusal::refuse;
use super::request::Call;
use super::serve::ResponseFuture;
use crate::settings::Settings;
use crate::shared::Shared;

/// Service that answers callers.
#[derive(Debug, Clone)]
pub struct IngressService {
    shared: Arc<Shared>,
    ingress: Arc<Ingress>,
}

/// Service that answers other nodes, which forward requests for the local backend server.
#[derive(Debug, Clone)]
pub struct GuardService {
    shared: Arc<Shared>,
    guard: Arc<Guard>,
    /// Permits for uploads whose bodies are received concurrently.
    upload_slots: Arc<Semaphore>,
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

    /// Returns a starter for pipelined requests.
    #[must_use]
    pub fn starter(&self) -> Starter {
        let service = self.clone();
        Starter::new(move |head: &Parts, turn: Turn| {
            let may = service.ingress.may_start(head);
            may.then(|| {
                let (service, head) = (service.clone(), head.clone());
                let answering = async move { service.answer_in_turn(head, turn).await };
                AbortOnDropHandle::new(tokio::spawn(answering))
            })
        })
    }

    /// Answers a pipelined request, whose response waits for those ahead of it.
    ///
    /// A response that has not arrived as a whole holds its backend server. It is therefore given up at
    /// its deadline, as if it were being passed on.
    async fn answer_in_turn(&self, head: Parts, turn: Turn) -> Response<Answer> {
        let response = self.ingress.answer(head, None).await;
        let due = response.body().due();
        let due = due.filter(|_| !response.body().is_complete());
        let Some(due) = due else {
            return response;
        };
        match timeout_at(due, turn).await {
            Ok(_) => response,
            Err(_) => {
                let counters = &self.shared.counters;
                counters.refuse(Reason::Timeout.as_str());
                refuse(Reason::Timeout.into(), false, self.shared.settings.answers)
            }
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Answer> {
        let (mut head, body) = request.into_parts();
        let pipeline = head.extensions.remove::<Pipeline>();
        let number = head.extensions.remove::<RequestNumber>();
        let started = pipeline.zip(number);
        let started = started.and_then(|(pipeline, number)| pipeline.take(number, &head));
        match started {
            Some(started) => match started.await {
                Ok(response) => response,
                Err(err) => self.ingress.answer_failed_task(&err),
            },
            None => self.ingress.answer(head, Some(body)).await,
        }
    }
}

impl GuardService {
    /// Creates the service around `guard`.
    #[must_use]
    pub fn new(shared: &Arc<Shared>, guard: &Arc<Guard>) -> Self {
        let slots = max_concurrent_uploads(&shared.settings);
        Self {
            shared: Arc::clone(shared),
            guard: Arc::clone(guard),
            upload_slots: Arc::new(Semaphore::new(slots)),
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Answer> {
        let id_header = &self.shared.settings.headers.request_id.0;
        let id = request.headers().get(id_header).cloned();
        let notice = process_notice(request.headers());
        notice.iter().for_each(|notice| self.guard.relay(*notice));
        let result = self.run(request).await;
        let mut response =
            result.unwrap_or_else(|refusal| refuse(refusal, false, self.shared.settings.answers));
        if let Some(load) = self.guard.load() {
            response.headers_mut().insert(LOAD, load);
        }
        if let Some(notice) = self.guard.notice(notice.is_some()) {
            response.headers_mut().insert(NOTICE, notice);
        }
        if let Some(id) = id {
            response.headers_mut().insert(id_header.clone(), id);
        }
        response.map(|answer| answer.paced(&self.shared.link))
    }

    async fn run(&self, request: Request<Incoming>) -> Result<Response<Answer>, Refusal> {
        let settings = &self.shared.settings;
        let now = self.shared.clock.now();
        let (mut head, body) = request.into_parts();
        let (call, service) = Call::from_peer(&mut head, settings, now)?;
        let body = match body.is_end_stream() {
            true => Outgoing::Empty,
            false if call.is_upload() => self.read_upload(&call, body).await?,
            false => {
                let limits = self.body_limits(&call, FINGERPRINT_BODY_BYTES);
                BodySource::new(body, limits).start(None)
            }
        };
        let service = service.to_str().unwrap_or_default();
        let request = Request::from_parts(head, body);
        self.guard.run(&call, service, request).await
    }
}

impl GuardService {
    /// Reads an upload's body once a permit is free, before the upload takes a slot.
    ///
    /// Permits are limited because concurrent bodies saturate the link and delay short requests.
    async fn read_upload(&self, call: &Call, body: Incoming) -> Result<Outgoing, Refusal> {
        let limits = &self.shared.settings.limits;
        let now = self.shared.clock.now();
        let until = call.admission_request().until(now, limits.queue_timeout());
        let permit = match call.admission_request().queue_wait {
            QueueWait::Full => {
                let until = self.shared.clock.tokio(until);
                let permit = timeout_at(until, self.upload_slots.acquire()).await;
                permit.ok().and_then(Result::ok)
            }
            QueueWait::Short => self.upload_slots.try_acquire().ok(),
        };
        let Some(_permit) = permit else {
            return Err(Refusal::new(Reason::Overloaded).with_retry(UPLOAD_RETRY_AFTER));
        };
        let room = limits.replay_bytes as usize;
        let source = BodySource::new(body, self.body_limits(call, room));
        match source.fill(room).await {
            Ok(()) => Ok(source.start(None)),
            Err(err) => Err(err.reason().into()),
        }
    }

    /// Returns the limits of a body of which up to `keep_bytes` bytes are kept.
    fn body_limits(&self, call: &Call, keep_bytes: usize) -> BodyLimits {
        BodyLimits {
            keep_bytes,
            idle: self.shared.settings.limits.body_timeout(),
            due: self.shared.clock.tokio(call.due.at()),
        }
    }
}

/// Maximum body length that is kept until the response arrives, in bytes.
///
/// The body is part of the fingerprint that identifies repeats of a request. It is hashed only if the
/// request is suspected of a crash; longer bodies are hashed as they pass.
const FINGERPRINT_BODY_BYTES: usize = 16 << 10;

/// Link rate required per concurrently received upload body, in Mbit/s.
///
/// On a 7 Mbit/s link, two concurrent bodies of 60 kB delay short requests by at least 130 ms,
/// which is the entire latency target of a call.
const MBIT_S_PER_BODY: f64 = 15.0;

/// Retry delay for an upload that got no permit.
///
/// In this time several bodies of 60 kB pass over a 10 Mbit/s link.
const UPLOAD_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Returns the maximum number of upload bodies that are received concurrently.
fn max_concurrent_uploads(settings: &Settings) -> usize {
    let limit = settings.limits.bodies as usize;
    match settings.link.rate() {
        Some(_) => limit
            .min((settings.link.mbit_s / MBIT_S_PER_BODY) as usize)
            .max(1),
        None => limit,
    }
}

impl Service<Request<Incoming>> for IngressService {
    type Response = Response<Answer>;
    type Error = Infallible;
    type Future = ResponseFuture;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> ResponseFuture {
        let service = self.clone();
        Box::pin(async move {
            let response = service.answer(request).await;
            Ok(response.map(|answer| answer.paced(&service.shared.link)))
        })
    }
}

impl Service<Request<Incoming>> for GuardService {
    type Response = Response<Answer>;
    type Error = Infallible;
    type Future = ResponseFuture;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> ResponseFuture {
        let service = self.clone();
        Box::pin(async move { Ok(service.answer(request).await) })
    }
}
