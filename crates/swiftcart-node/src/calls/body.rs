//! Body of a request that is sent to a peer or backend server.
//!
//! A body streams through the node. Its first bytes are kept up to a bound, so that a request that
//! a peer refused can be sent to another peer.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use quick_error::quick_error;
use swiftcart_core::BodyHash;
use tokio::time::{Instant, Sleep, sleep};

quick_error! {
    /// Error that ends a request body early.
    #[derive(Debug)]
    pub enum BodyError {
        /// The connection to the caller failed, or the framing is invalid.
        Broken(err: hyper::Error) {
            source(err)
            display("request body ended early: {err}")
        }
        /// The caller sent no data within the time limit.
        Slow {
            display("request body timed out: no data from the caller")
        }
        /// The bytes that another attempt needs are no longer kept.
        Gone {
            display("request body cannot be sent again: its first bytes are no longer kept")
        }
    }
}

/// Request body that is sent to a peer or backend server.
#[derive(Debug)]
pub enum Outgoing {
    /// No body.
    Empty,
    /// Body that is in memory as a whole.
    Whole(Bytes),
    /// Body that streams through the node.
    Stream(Stream),
}

/// Reader of a [`BodySource`] for one attempt.
#[derive(Debug)]
pub struct Stream {
    source: Arc<BodySource>,
    next: usize,
    gate: Option<Gate>,
}

/// Gate that holds back a body until the peer accepts the request.
#[derive(Debug, Default, Clone)]
pub struct Gate(Arc<AtomicBool>);

/// Body from the caller, with its first bytes kept for another attempt.
#[derive(Debug)]
pub struct BodySource(Mutex<Inner>);

#[derive(Debug)]
struct Inner {
    body: Incoming,
    kept: Vec<Bytes>,
    keep_bytes: usize,
    dropped: bool,
    ended: bool,
    idle_timeout: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    is_idle: bool,
}

impl Gate {
    /// Opens the gate, so that the body is sent.
    pub fn open(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn is_open(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

impl Stream {
    /// Returns the source of the body.
    #[must_use]
    pub const fn source(&self) -> &Arc<BodySource> {
        &self.source
    }
}

impl BodySource {
    /// Creates the source of `body`.
    ///
    /// The source keeps up to `keep_bytes` bytes for another attempt. It fails when the caller
    /// sends no data for `idle_timeout`.
    pub fn new(body: Incoming, keep_bytes: usize, idle_timeout: Duration) -> Arc<Self> {
        Arc::new(Self(Mutex::new(Inner {
            body,
            kept: Vec::new(),
            keep_bytes,
            dropped: false,
            ended: false,
            idle_timeout,
            timer: None,
            is_idle: false,
        })))
    }

    /// Creates the body of an attempt; nothing is sent before `gate` opens.
    pub fn start(self: &Arc<Self>, gate: Option<Gate>) -> Outgoing {
        Outgoing::Stream(Stream {
            source: Arc::clone(self),
            next: 0,
            gate,
        })
    }

    /// Reads ahead until `bytes` bytes are kept, the body ends, or its first bytes are dropped.
    ///
    /// What was read ahead is part of the first attempt, also if the body is too long for another.
    ///
    /// # Errors
    ///
    /// Returns an error when the body ends early.
    pub async fn fill(&self, bytes: usize) -> Result<(), BodyError> {
        poll_fn(|cx| self.with(|inner| inner.poll_fill(cx, bytes))).await
    }

    /// Returns the number of bytes that are kept, and the number of pieces in which they arrived.
    pub fn kept(&self) -> (usize, usize) {
        self.with(|inner| (inner.kept.iter().map(Bytes::len).sum(), inner.kept.len()))
    }

    /// Returns the upper bound of the number of bytes still to be read, if it is known.
    pub fn len_hint(&self) -> Option<u64> {
        self.with(|inner| inner.body.size_hint().upper())
    }

    /// Returns the hash of the body if the whole body is kept.
    #[must_use]
    pub fn print(&self) -> Option<BodyHash> {
        self.with(|inner| {
            let whole = !inner.dropped && (inner.ended || inner.body.is_end_stream());
            whole.then(|| BodyHash::new(inner.kept.iter().map(|chunk| &chunk[..])))
        })
    }

    /// Returns `true` if another attempt can send the whole body.
    pub fn is_whole(&self) -> bool {
        !self.with(|inner| inner.dropped)
    }

    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Inner {
    fn poll_fill(&mut self, cx: &mut Context<'_>, bytes: usize) -> Poll<Result<(), BodyError>> {
        loop {
            let held: usize = self.kept.iter().map(Bytes::len).sum();
            if held >= bytes || self.dropped || self.ended {
                return Poll::Ready(Ok(()));
            }
            match ready!(self.poll_body(cx)) {
                Some(Ok(frame)) => self.keep_ahead(frame),
                Some(Err(err)) => return Poll::Ready(Err(err)),
                None => return Poll::Ready(Ok(())),
            }
        }
    }

    fn poll(
        &mut self,
        cx: &mut Context<'_>,
        next: &mut usize,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.kept.get(*next) {
            Some(chunk) => {
                *next += 1;
                return Poll::Ready(Some(Ok(Frame::data(chunk.clone()))));
            }
            None if self.dropped && *next == 0 => return Poll::Ready(Some(Err(BodyError::Gone))),
            None if self.ended => return Poll::Ready(None),
            None => {}
        }
        let frame = ready!(self.poll_body(cx));
        if let Some(Ok(frame)) = &frame {
            self.keep(frame, next);
        }
        Poll::Ready(frame)
    }

    /// Reads the next frame from the caller.
    fn poll_body(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.is_idle = false;
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(err))) => Poll::Ready(Some(Err(BodyError::Broken(err)))),
            Poll::Ready(None) => {
                self.ended = true;
                Poll::Ready(None)
            }
            Poll::Pending => self.poll_idle(cx),
        }
    }

    /// Keeps a frame that was read before any attempt. It may exceed the bound by its length, since no
    /// attempt has it yet.
    fn keep_ahead(&mut self, frame: Frame<Bytes>) {
        if let Ok(data) = frame.into_data() {
            self.keep_bytes = self.keep_bytes.saturating_sub(data.len());
            self.kept.push(data);
        }
    }

    /// Keeps `frame` for another attempt; when it does not fit, all kept bytes are dropped.
    fn keep(&mut self, frame: &Frame<Bytes>, next: &mut usize) {
        *next += 1;
        match frame.data_ref() {
            _ if self.dropped => {}
            Some(data) if data.len() <= self.keep_bytes => {
                self.keep_bytes -= data.len();
                self.kept.push(data.clone());
            }
            Some(_) => {
                self.dropped = true;
                self.kept = Vec::new();
            }
            None => {}
        }
    }

    fn poll_idle(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep(self.idle_timeout)));
        if !self.is_idle {
            self.is_idle = true;
            timer.as_mut().reset(Instant::now() + self.idle_timeout);
        }
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Some(Err(BodyError::Slow))),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Self::Empty => Poll::Ready(None),
            Self::Whole(bytes) => {
                let all = std::mem::take(bytes);
                Poll::Ready((!all.is_empty()).then(|| Ok(Frame::data(all))))
            }
            Self::Stream(stream) => match &stream.gate {
                Some(gate) if !gate.is_open() => Poll::Pending,
                _ => {
                    let next = &mut stream.next;
                    stream.source.with(|inner| inner.poll(cx, next))
                }
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Whole(bytes) => bytes.is_empty(),
            Self::Stream(stream) => stream.source.with(|inner| {
                let kept = stream.next >= inner.kept.len();
                kept && !(inner.dropped && stream.next == 0) && inner.body.is_end_stream()
            }),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
