//! Response bodies: texts that a node creates, and bodies that stream through the node.
//!
//! A body that streams has an end in time: what has not arrived by the deadline of its request does not
//! arrive any more.

use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use quick_error::quick_error;
use swiftcart_core::{CallResult, HeldBytes, Outcome, Reason};
use tokio::task::coop::unconstrained;
use tokio::time::{Instant, Sleep, sleep_until};

use super::admissions::Slot;
use super::in_flight::InFlight;
use super::joined::{JoinedReader, PolledFrame};
use super::pacing::Pacing;
use super::pool::Pooled;
use super::runs::Run;
use crate::egress::Egress;

quick_error! {
    /// Error that ends a response body early; the caller's connection is then closed.
    #[derive(Debug)]
    pub enum AnswerError {
        /// The connection to the sender failed, or the framing is invalid.
        Broken(err: hyper::Error) {
            source(err)
            display("response body ended early: {err}")
        }
        /// The body had not arrived by the deadline of the request.
        TimedOut {
            display("response body timed out: it had not arrived by the deadline")
        }
    }
}

/// End of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AnswerEnd {
    /// The whole response was passed on.
    Whole,
    /// The sender ended the response early.
    Broken,
    /// The response had not arrived by the deadline.
    TimedOut,
    /// The caller disconnected.
    Gone,
}

impl AnswerEnd {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Broken => "broken",
            Self::TimedOut => "timed-out",
            Self::Gone => "gone",
        }
    }

    /// Returns the outcome of the call.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Whole => Outcome::Done,
            Self::Broken | Self::TimedOut | Self::Gone => Outcome::Unknown,
        }
    }

    /// Returns the result that is recorded for the backend server.
    #[must_use]
    pub const fn result(self) -> CallResult {
        match self {
            Self::Whole => CallResult::Success,
            Self::Broken | Self::TimedOut => CallResult::Failure,
            Self::Gone => CallResult::Cancelled,
        }
    }
}

/// Observers that are notified when a response has ended.
#[derive(Debug, Default)]
struct EndObservers {
    slot: Option<Slot>,
    run: Option<Run>,
    call: Option<InFlight>,
}

impl EndObservers {
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

/// Body of a response.
#[derive(Debug)]
pub enum Answer {
    /// Text that the node created.
    Text(Option<Bytes>),
    /// Body that streams through the node.
    Stream(Box<StreamingBody>),
}

/// Response body that streams from a peer or backend server.
#[derive(Debug)]
pub struct StreamingBody {
    body: Incoming,
    pooled: Option<Pooled>,
    reader: JoinedReader<AnswerError>,
    /// Data that was read ahead.
    held: HeldBytes,
    observers: EndObservers,
    ended: Option<AnswerEnd>,
    /// Deadline of the request.
    due: Instant,
    timer: Option<Pin<Box<Sleep>>>,
    /// `None` until the egress of the response is set.
    pacing: Option<Pacing>,
}

impl Answer {
    /// Creates a response body from `text`.
    #[must_use]
    pub fn text(text: impl Into<Bytes>) -> Self {
        let text = text.into();
        Self::Text((!text.is_empty()).then_some(text))
    }

    /// Creates a response body that streams `body` from the connection of `pooled`.
    ///
    /// The body ends early if it has not arrived by `due`, the deadline of the request.
    #[must_use]
    pub fn stream(body: Incoming, pooled: Pooled, due: Instant) -> Self {
        let mut streaming = StreamingBody {
            body,
            pooled: Some(pooled),
            reader: JoinedReader::default(),
            held: HeldBytes::new(),
            observers: EndObservers::default(),
            ended: None,
            due,
            timer: None,
            pacing: None,
        };
        if streaming.body.is_end_stream() {
            streaming.finish(AnswerEnd::Whole);
        }
        Self::Stream(Box::new(streaming))
    }
}

impl Answer {
    /// Releases `slot` when the response has ended.
    #[must_use]
    pub fn with_slot(mut self, slot: Slot) -> Self {
        self.attach(|observers| observers.slot = Some(slot));
        self
    }

    /// Notifies `run` of the end of the response.
    #[must_use]
    pub fn with_run(mut self, run: Run) -> Self {
        self.attach(|observers| observers.run = Some(run));
        self
    }

    /// Sends the response by `egress`; a large response is paced by its link.
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

    /// Notifies `call` of the end of the response.
    #[must_use]
    pub fn with_in_flight(mut self, call: InFlight) -> Self {
        self.attach(|observers| observers.call = Some(call));
        self
    }

    /// Buffers at least `bytes` bytes of the response, or all of it if it is shorter.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::AnswerBroken`] when the response ends early, and [`Reason::Timeout`] when it
    /// has not arrived by its deadline.
    pub async fn hold(&mut self, bytes: usize) -> Result<(), Reason> {
        let Self::Stream(streaming) = self else {
            return Ok(());
        };
        streaming.buffer(bytes).await.map_err(|err| match err {
            AnswerError::Broken(_) => Reason::AnswerBroken,
            AnswerError::TimedOut => Reason::Timeout,
        })
    }

    /// Returns `true` if the response is in memory as a whole.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        match self {
            Self::Text(_) => true,
            Self::Stream(streaming) => streaming.ended == Some(AnswerEnd::Whole),
        }
    }

    /// Returns the deadline of the request, or `None` for a text that a node created.
    #[must_use]
    pub const fn due(&self) -> Option<Instant> {
        match self {
            Self::Text(_) => None,
            Self::Stream(streaming) => Some(streaming.due),
        }
    }

    /// Reads the data that has already arrived, so that the connection of a short response can be
    /// reused.
    pub fn discard(mut self) {
        let mut cx = Context::from_waker(Waker::noop());
        let mut body = Pin::new(&mut self);
        while let Poll::Ready(Some(Ok(_))) = body.as_mut().poll_frame(&mut cx) {}
    }

    fn attach(&mut self, f: impl FnOnce(&mut EndObservers)) {
        let mut observers = EndObservers::default();
        match self {
            Self::Text(_) => {
                f(&mut observers);
                observers.close(AnswerEnd::Whole);
            }
            Self::Stream(streaming) => match streaming.ended {
                Some(end) => {
                    f(&mut observers);
                    observers.close(end);
                }
                None => f(&mut streaming.observers),
            },
        }
    }
}

impl StreamingBody {
    fn finish(&mut self, end: AnswerEnd) {
        match (self.pooled.take(), end) {
            (Some(pooled), AnswerEnd::Whole) => pooled.finish(),
            (pooled, _) => drop(pooled),
        }
        if self.ended.is_none() {
            self.ended = Some(end);
            std::mem::take(&mut self.observers).close(end);
        }
    }

    fn size_hint(&self) -> SizeHint {
        let read = (self.held.len() + self.reader.len()) as u64;
        let rest = self.body.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + read);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + read);
        }
        hint
    }

    async fn buffer(&mut self, bytes: usize) -> Result<(), AnswerError> {
        while self.held.len() < bytes && !self.is_read() {
            match poll_fn(|cx| self.poll_joined(cx)).await {
                Some(Ok(frame)) => {
                    // Trailers are dropped.
                    if let Ok(data) = frame.into_data() {
                        self.held.push(data);
                    }
                }
                Some(Err(err)) => return Err(err),
                None => break,
            }
        }
        Ok(())
    }

    /// Returns `true` if all of the response has arrived and been read.
    fn is_read(&self) -> bool {
        self.ended == Some(AnswerEnd::Whole) && self.reader.is_empty()
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> PolledFrame<AnswerError> {
        if let Some(pacing) = &mut self.pacing {
            ready!(pacing.poll_ready(cx));
        }
        let frame = match self.held.take_front() {
            Some(data) => Some(Ok(Frame::data(data))),
            None if self.is_read() => None,
            None => ready!(self.poll_joined(cx)),
        };
        if let (Some(pacing), Some(Ok(frame))) = (&self.pacing, &frame) {
            pacing.sent(frame.data_ref().map_or(0, Bytes::len));
        }
        Poll::Ready(frame)
    }

    /// Reads the next frame. Short pieces that have arrived are joined.
    fn poll_joined(&mut self, cx: &mut Context<'_>) -> PolledFrame<AnswerError> {
        let mut reader = std::mem::take(&mut self.reader);
        let frame = reader.poll(cx, |cx| self.poll_body(cx));
        let joined = frame.is_pending().then(|| reader.joined()).flatten();
        self.reader = reader;
        match joined {
            Some(joined) => Poll::Ready(Some(Ok(joined))),
            None => frame,
        }
    }

    fn poll_body(&mut self, cx: &mut Context<'_>) -> PolledFrame<AnswerError> {
        if self.ended == Some(AnswerEnd::Whole) {
            return Poll::Ready(None);
        }
        if Instant::now() >= self.due {
            return Poll::Ready(Some(Err(self.time_out())));
        }
        let mut frame = Pin::new(&mut self.body).poll_frame(cx);
        if frame.is_pending() {
            // The body makes progress only when its connection is polled, so poll the body again.
            if let Some(pooled) = &mut self.pooled {
                pooled.conn().drive(cx);
            }
            frame = Pin::new(&mut self.body).poll_frame(cx);
        }
        match frame {
            Poll::Pending => self.poll_due(cx),
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

    /// Waits until the deadline. It is seen also by a task that has used up its time.
    fn poll_due(&mut self, cx: &mut Context<'_>) -> PolledFrame<AnswerError> {
        let due = self.due;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(due)));
        ready!(pin!(unconstrained(timer.as_mut())).poll(cx));
        Poll::Ready(Some(Err(self.time_out())))
    }

    fn time_out(&mut self) -> AnswerError {
        self.finish(AnswerEnd::TimedOut);
        AnswerError::TimedOut
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> PolledFrame<AnswerError> {
        match &mut *self {
            Self::Text(text) => Poll::Ready(text.take().map(|text| Ok(Frame::data(text)))),
            Self::Stream(streaming) => streaming.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Text(text) => text.is_none(),
            Self::Stream(streaming) => streaming.held.is_empty() && streaming.is_read(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Text(text) => SizeHint::with_exact(text.as_ref().map_or(0, |t| t.len() as u64)),
            Self::Stream(streaming) => streaming.size_hint(),
        }
    }
}

impl Drop for StreamingBody {
    fn drop(&mut self) {
        self.finish(AnswerEnd::Gone);
    }
}

/// Returns `true` if the end of a response is distinguishable from a closed connection.
#[must_use]
pub fn is_framed(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
}
