//! Answers: those that a node makes itself, and those that stream through it.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use quick_error::quick_error;
use swiftcart_core::{CallResult, Outcome, Reason, Refusal};
use tokio::time::{Instant, timeout_at};

use super::admissions::Slot;
use super::headers::{OUTCOME, REASON, RETRIED};
use super::in_flight::InFlight;
use super::pacing::Pacing;
use super::pool::Pooled;
use super::runs::Run;
use crate::egress::Egress;
use crate::settings::Answers;

/// When a caller should come back after a refusal that names no time: by then a dead node
/// is out of routing or a restarted one back in most cases.
const COME_BACK: Duration = Duration::from_millis(250);

/// When a caller should come back whose request backend servers have turned away although they had
/// places: at once, since the next one may take it. With its way here it is back after some
/// 15 ms, a tenth of the shortest target that callers' own requests have.
const NEXT_SERVER: Duration = Duration::from_millis(10);

quick_error! {
    /// Tells why an answer broke off; the caller's connection is broken off with it.
    #[derive(Debug)]
    pub enum AnswerError {
        /// The other side's connection failed or its framing is wrong.
        Broken(err: hyper::Error) {
            source(err)
            display("the answer broke off: {err}")
        }
    }
}

/// Tells how an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AnswerEnd {
    /// All of it was passed on.
    Whole,
    /// The other side broke it off.
    Broken,
    /// The caller went away.
    Gone,
}

impl AnswerEnd {
    /// Returns what became of the call.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Whole => Outcome::Done,
            Self::Broken | Self::Gone => Outcome::Unknown,
        }
    }

    /// Returns what the call tells of the backend server.
    #[must_use]
    pub const fn result(self) -> CallResult {
        match self {
            Self::Whole => CallResult::Success,
            Self::Broken => CallResult::Failure,
            Self::Gone => CallResult::Cancelled,
        }
    }
}

/// Who is told when an answer has ended.
#[derive(Debug, Default)]
struct Ending {
    slot: Option<Slot>,
    run: Option<Run>,
    call: Option<InFlight>,
}

impl Ending {
    fn close(self, end: AnswerEnd) {
        if let Some(slot) = self.slot {
            slot.close(end);
        }
        if let Some(run) = self.run {
            run.close(end);
        }
        if let Some(call) = self.call {
            call.close(end);
        }
    }
}

/// The body of an answer.
#[derive(Debug)]
pub enum Answer {
    /// A text that the node made.
    Text(Option<Bytes>),
    /// A body that streams through.
    Stream(Box<Streaming>),
}

/// An answer's body on its way from a peer or backend server.
#[derive(Debug)]
pub struct Streaming {
    body: Incoming,
    pooled: Option<Pooled>,
    /// What was read ahead.
    held: VecDeque<Bytes>,
    ending: Ending,
    ended: Option<AnswerEnd>,
    /// None while it is not known where the answer goes.
    pacing: Option<Pacing>,
}

impl Answer {
    /// Creates the answer that `text` makes up.
    #[must_use]
    pub fn text(text: impl Into<Bytes>) -> Self {
        let text = text.into();
        Self::Text((!text.is_empty()).then_some(text))
    }

    /// Passes `body` on from the connection of `pooled`.
    #[must_use]
    pub fn stream(body: Incoming, pooled: Pooled) -> Self {
        let mut streaming = Streaming {
            body,
            pooled: Some(pooled),
            held: VecDeque::new(),
            ending: Ending::default(),
            ended: None,
            pacing: None,
        };
        if streaming.body.is_end_stream() {
            streaming.finish(AnswerEnd::Whole);
        }
        Self::Stream(Box::new(streaming))
    }
}

impl Answer {
    /// Has `slot` given back when the answer has ended.
    #[must_use]
    pub fn with_slot(mut self, slot: Slot) -> Self {
        self.attach(|ending| ending.slot = Some(slot));
        self
    }

    /// Has `run` told how the answer ended.
    #[must_use]
    pub fn with_run(mut self, run: Run) -> Self {
        self.attach(|ending| ending.run = Some(run));
        self
    }

    /// Has the answer leave by `egress`, at the pace of its link when it is long.
    #[must_use]
    pub fn paced(mut self, egress: &Arc<Egress>) -> Self {
        let bytes = self.size_hint().lower();
        let pacing = Pacing::new(egress, bytes);
        match &mut self {
            Self::Text(_) => pacing.sent(bytes as usize),
            Self::Stream(streaming) => streaming.pacing = Some(pacing),
        }
        self
    }

    /// Has `call` told how the answer ended.
    #[must_use]
    pub fn with_in_flight(mut self, call: InFlight) -> Self {
        self.attach(|ending| ending.call = Some(call));
        self
    }

    /// Reads the answer up to `bytes` bytes or its end, to be passed on later.
    ///
    /// # Errors
    ///
    /// [`Reason::AnswerBroken`] when it breaks off, [`Reason::Timeout`] when `until` is over.
    pub async fn hold(&mut self, bytes: usize, until: Instant) -> Result<(), Reason> {
        let Self::Stream(streaming) = self else {
            return Ok(());
        };
        match timeout_at(until, streaming.hold(bytes)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(Reason::AnswerBroken),
            Err(_) => Err(Reason::Timeout),
        }
    }

    /// Reads what has come already, so that the connection of a short answer is kept.
    pub fn discard(mut self) {
        let mut cx = Context::from_waker(Waker::noop());
        let mut body = Pin::new(&mut self);
        while let Poll::Ready(Some(Ok(_))) = body.as_mut().poll_frame(&mut cx) {}
    }

    fn attach(&mut self, f: impl FnOnce(&mut Ending)) {
        let mut ending = Ending::default();
        match self {
            Self::Text(_) => {
                f(&mut ending);
                ending.close(AnswerEnd::Whole);
            }
            Self::Stream(streaming) => match streaming.ended {
                Some(end) => {
                    f(&mut ending);
                    ending.close(end);
                }
                None => f(&mut streaming.ending),
            },
        }
    }
}

impl Streaming {
    fn finish(&mut self, end: AnswerEnd) {
        match (self.pooled.take(), end) {
            (Some(pooled), AnswerEnd::Whole) => pooled.finish(),
            (pooled, _) => drop(pooled),
        }
        if self.ended.is_none() {
            self.ended = Some(end);
            std::mem::take(&mut self.ending).close(end);
        }
    }

    fn size_hint(&self) -> SizeHint {
        let held: usize = self.held.iter().map(Bytes::len).sum();
        let rest = self.body.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + held as u64);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + held as u64);
        }
        hint
    }

    async fn hold(&mut self, bytes: usize) -> Result<(), AnswerError> {
        let mut len = 0;
        while len < bytes && self.ended.is_none() {
            match poll_fn(|cx| self.poll_body(cx)).await {
                Some(Ok(frame)) => {
                    // Trailers are not passed on.
                    if let Ok(data) = frame.into_data() {
                        len += data.len();
                        self.held.push_back(data);
                    }
                }
                Some(Err(err)) => return Err(err),
                None => break,
            }
        }
        Ok(())
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        if let Some(pacing) = &mut self.pacing {
            ready!(pacing.poll_turn(cx));
        }
        let frame = match (self.held.pop_front(), self.ended) {
            (Some(data), _) => Some(Ok(Frame::data(data))),
            (None, Some(AnswerEnd::Whole)) => None,
            (None, _) => ready!(self.poll_body(cx)),
        };
        if let (Some(pacing), Some(Ok(frame))) = (&self.pacing, &frame) {
            pacing.sent(frame.data_ref().map_or(0, Bytes::len));
        }
        Poll::Ready(frame)
    }

    fn poll_body(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        let mut frame = Pin::new(&mut self.body).poll_frame(cx);
        if frame.is_pending() {
            // The body moves only when its connection does; look again right after.
            if let Some(pooled) = &mut self.pooled {
                pooled.conn().drive(cx);
            }
            frame = Pin::new(&mut self.body).poll_frame(cx);
        }
        match frame {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(frame))) => {
                if self.body.is_end_stream() {
                    self.finish(AnswerEnd::Whole);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(None) => {
                self.finish(AnswerEnd::Whole);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(err))) => {
                self.finish(AnswerEnd::Broken);
                Poll::Ready(Some(Err(AnswerError::Broken(err))))
            }
        }
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerError>>> {
        match &mut *self {
            Self::Text(text) => Poll::Ready(text.take().map(|text| Ok(Frame::data(text)))),
            Self::Stream(streaming) => streaming.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Text(text) => text.is_none(),
            Self::Stream(streaming) => streaming.held.is_empty() && streaming.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Text(text) => SizeHint::with_exact(text.as_ref().map_or(0, |t| t.len() as u64)),
            Self::Stream(streaming) => streaming.size_hint(),
        }
    }
}

impl Drop for Streaming {
    fn drop(&mut self) {
        self.finish(AnswerEnd::Gone);
    }
}

/// Makes the answer to a request that is refused or was given up on.
#[must_use]
pub fn refuse(refusal: Refusal, retried: bool, answers: Answers) -> Response<Answer> {
    let reason = refusal.reason;
    let outcome = reason.outcome();
    let text = format!("{outcome}: {reason}\n");
    let mut response = Response::new(Answer::text(text));
    *response.status_mut() = status(reason, answers);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    headers.insert(OUTCOME, HeaderValue::from_static(outcome.as_str()));
    headers.insert(REASON, HeaderValue::from_static(reason.as_str()));
    if retried {
        headers.insert(RETRIED, HeaderValue::from_static("1"));
    }
    if let Some(after) = retry_after(refusal, answers) {
        headers.insert(RETRY_AFTER, after);
    }
    response
}

/// Returns when the caller should come back, in seconds.
fn retry_after(refusal: Refusal, answers: Answers) -> Option<HeaderValue> {
    let text = match (answers, refusal.retry_after) {
        // Whole seconds, rounded up: coming back early does not help.
        (Answers::ByReason, Some(after)) => after.as_millis().div_ceil(1000).max(1).to_string(),
        (Answers::Promise, Some(after)) => format!("{:.3}", after.as_secs_f64()),
        (Answers::Promise, None) if may_come_back(refusal.reason) => {
            format!("{:.3}", come_back(refusal.reason).as_secs_f64())
        }
        (_, None) => return None,
    };
    HeaderValue::try_from(text).ok()
}

/// Returns when to come back after a refusal that names no time.
const fn come_back(reason: Reason) -> Duration {
    match reason {
        Reason::Shed => NEXT_SERVER,
        _ => COME_BACK,
    }
}

/// Tells whether the end of an answer can be told from a connection that broke.
#[must_use]
pub fn is_framed(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
}

fn status(reason: Reason, answers: Answers) -> StatusCode {
    let code = match (answers, reason.outcome()) {
        (Answers::Promise, Outcome::NotRun) if may_come_back(reason) => 503,
        (Answers::Promise, Outcome::Unknown) if reason == Reason::Timeout => 504,
        (Answers::Promise, Outcome::Unknown) => 502,
        _ => reason.status(),
    };
    StatusCode::from_u16(code).unwrap_or(StatusCode::BAD_GATEWAY)
}

/// Tells whether the same request may be taken later.
const fn may_come_back(reason: Reason) -> bool {
    let outcome = reason.outcome();
    let own_fault = matches!(
        reason,
        Reason::NoRoute
            | Reason::BadRequest
            | Reason::HeaderTooLarge
            | Reason::BodyTooLarge
            | Reason::KeyReused
            | Reason::Unauthenticated
            | Reason::OverQuota
    );
    matches!(outcome, Outcome::NotRun) && !own_fault
}
