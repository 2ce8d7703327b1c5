//! Service of one connection: numbers its requests, and says in each response whether the connection
//! stays open.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{Extensions, HeaderValue, Request, Response};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tower::Service;

use super::CallService;
use crate::calls::answer::{Answer, AnswerError};
use crate::calls::headers::{KEEP_ALIVE, OUTCOME};
use crate::calls::lifetime::{Lifetime, ResponseEnd};
use crate::shared::{Phase, Shared};

/// Service of one connection.
#[derive(Debug, Clone)]
pub struct ConnService<S> {
    service: S,
    shared: Arc<Shared>,
    lifetime: Lifetime,
    /// Extensions of each request.
    extensions: Extensions,
    /// Time that callers are told for which an idle connection stays open. A connection with such a
    /// time closes after a refusal, so that a retry uses a new connection.
    keep_alive: Option<Duration>,
}

/// Body of a response that records its end.
#[derive(Debug)]
pub struct SentBody {
    answer: Answer,
    lifetime: Lifetime,
    /// `true` once the lifetime knows that the response is in memory as a whole.
    is_complete: bool,
    _end: ResponseEnd,
}

impl<S> ConnService<S> {
    /// Creates the service of a connection.
    #[must_use]
    pub fn new(
        service: S,
        shared: &Arc<Shared>,
        lifetime: &Lifetime,
        extensions: Extensions,
    ) -> Self {
        Self {
            service,
            shared: Arc::clone(shared),
            lifetime: lifetime.clone(),
            extensions,
            keep_alive: None,
        }
    }

    /// Sets the time that callers are told for which an idle connection stays open.
    #[must_use]
    pub const fn with_keep_alive(mut self, time: Option<Duration>) -> Self {
        self.keep_alive = time;
        self
    }

    /// Sets the headers that say whether the connection stays open.
    fn set_persistence(&self, response: &mut Response<Answer>) {
        let phase = *self.shared.phase.borrow();
        if matches!(phase, Phase::Finishing | Phase::Stopping) {
            self.lifetime.stop();
        }
        let headers = response.headers_mut();
        let is_refused = self.keep_alive.is_some() && headers.contains_key(OUTCOME);
        match (
            self.lifetime.closes_after_response(is_refused),
            self.keep_alive,
        ) {
            (true, _) => {
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            (false, Some(time)) => {
                headers.insert(KEEP_ALIVE, keep_alive_value(time));
            }
            (false, None) => {}
        }
    }
}

impl<S> Service<Request<Incoming>> for ConnService<S>
where
    S: CallService,
{
    type Response = Response<SentBody>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        self.service.poll_ready(cx)
    }

    fn call(&mut self, mut request: Request<Incoming>) -> Self::Future {
        let extensions = request.extensions_mut();
        extensions.extend(self.extensions.clone());
        extensions.insert(self.lifetime.take());
        let end = self.lifetime.response();
        let answering = self.service.call(request);
        let conn = self.clone();
        Box::pin(async move {
            let mut response = answering.await?;
            conn.set_persistence(&mut response);
            conn.lifetime.send(response.body());
            Ok(response.map(|answer| SentBody {
                is_complete: answer.is_complete(),
                lifetime: conn.lifetime,
                answer,
                _end: end,
            }))
        })
    }
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        let frame = Pin::new(&mut self.answer).poll_frame(cx);
        if !self.is_complete && self.answer.is_complete() {
            self.is_complete = true;
            self.lifetime.send(&self.answer);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.answer.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.answer.size_hint()
    }
}

fn keep_alive_value(time: Duration) -> HeaderValue {
    let value = HeaderValue::try_from(format!("timeout={}", time.as_secs()));
    // A word followed by digits is always a valid header value.
    value.unwrap_or_else(|_| HeaderValue::from_static("timeout=1"))
}
