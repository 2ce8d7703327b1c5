//! Body of a request that is sent to a peer or backend server.
//!
//! A body streams through the node. Its first bytes are kept up to a bound, so that a request that
//! a peer refused can be sent to another peer. Whoever waits for the body waits until the deadline of
//! the request at most.

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
use swiftcart_core::{BodyHash, BodyHasher, HeldBytes, Reason};
use tokio::time::{Instant, Sleep, sleep, sleep_until};

use super::joined::{JoinedReader, PolledFrame};

/// Time for which a short piece of a body waits for the next one.
const JOIN_TIME: Duration = Duration::from_millis(1);

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
        /// The body had not arrived by the deadline of the request.
        Late {
            display("request body timed out: it had not arrived by the deadline")
        }
        /// The bytes that another attempt needs are no longer kept.
        Gone {
            display("request body cannot be sent again: its first bytes are no longer kept")
        }
    }
}

impl BodyError {
    /// Returns the reason for which a request ends whose body was read ahead.
    #[must_use]
    pub const fn reason(&self) -> Reason {
        match self {
            Self::Late => Reason::DeadlinePassed,
            Self::Broken(_) | Self::Slow | Self::Gone => Reason::CallerGone,
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
    /// Position of the next byte.
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
    reader: JoinedReader<BodyError>,
    kept: HeldBytes,
    /// Number of pieces in which the body has arrived so far.
    arrived: usize,
    keep_bytes: usize,
    dropped: bool,
    /// Hasher of the whole body, once its first bytes are dropped.
    hasher: Option<Box<BodyHasher>>,
    ended: bool,
    limits: BodyLimits,
    timer: Option<Pin<Box<Sleep>>>,
    /// Timer of the short pieces that wait for more.
    join_timer: Option<Pin<Box<Sleep>>>,
    /// Time by which the next data must arrive; `None` while data arrives.
    idle_until: Option<Instant>,
}

/// Limits of a body that a caller or a peer sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// Maximum number of bytes that are kept for another attempt.
    pub keep_bytes: usize,
    /// Maximum time without data.
    pub idle: Duration,
    /// Deadline of the request.
    pub due: Instant,
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
    /// Creates the source of `body`, which fails when it exceeds a limit of time.
    pub fn new(body: Incoming, limits: BodyLimits) -> Arc<Self> {
        Arc::new(Self(Mutex::new(Inner {
            body,
            reader: JoinedReader::default(),
            kept: HeldBytes::new(),
            arrived: 0,
            keep_bytes: limits.keep_bytes,
            dropped: false,
            hasher: None,
            ended: false,
            limits,
            timer: None,
            join_timer: None,
            idle_until: None,
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
    /// Returns an error when the body ends early, or has not arrived by the deadline.
    pub async fn fill(&self, bytes: usize) -> Result<(), BodyError> {
        poll_fn(|cx| self.with(|inner| inner.poll_fill(cx, bytes))).await
    }

    /// Returns the number of bytes that are kept, and the number of pieces that have arrived.
    pub fn kept(&self) -> (usize, usize) {
        self.with(|inner| (inner.kept.len(), inner.arrived))
    }

    /// Returns the upper bound of the number of bytes still to be read, if it is known.
    pub fn len_hint(&self) -> Option<u64> {
        self.with(|inner| inner.body.size_hint().upper())
    }

    /// Returns the hash of the body once all of it has been read.
    #[must_use]
    pub fn print(&self) -> Option<BodyHash> {
        self.with(|inner| {
            let is_read = inner.reader.is_empty() && (inner.ended || inner.is_read());
            is_read.then(|| match &inner.hasher {
                Some(hasher) => hasher.hash(),
                None => BodyHash::new(inner.kept.pieces()),
            })
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
        while self.kept.len() < bytes && !self.dropped && !self.ended {
            match ready!(self.poll_joined(cx)) {
                Some(Ok(frame)) => self.keep_ahead(frame),
                Some(Err(err)) => return Poll::Ready(Err(err)),
                None => {}
            }
        }
        Poll::Ready(Ok(()))
    }

    /// Returns the next frame of the reader whose next byte has the position `next`.
    fn poll(&mut self, cx: &mut Context<'_>, next: &mut usize) -> PolledFrame<BodyError> {
        match self.kept.at(*next) {
            Some(piece) => {
                *next += piece.len();
                return Poll::Ready(Some(Ok(Frame::data(piece))));
            }
            None if self.dropped && *next == 0 => return Poll::Ready(Some(Err(BodyError::Gone))),
            None if self.ended => return Poll::Ready(None),
            None => {}
        }
        let frame = ready!(self.poll_joined(cx));
        if let Some(Ok(frame)) = &frame {
            self.keep(frame, next);
        }
        Poll::Ready(frame)
    }

    /// Reads the next frame from the caller, in which short pieces are joined.
    fn poll_joined(&mut self, cx: &mut Context<'_>) -> PolledFrame<BodyError> {
        let mut reader = std::mem::take(&mut self.reader);
        let frame = reader.poll(cx, |cx| self.poll_body(cx));
        self.reader = reader;
        if frame.is_ready() || self.reader.is_empty() {
            self.join_timer = None;
            return frame;
        }
        let timer = self
            .join_timer
            .get_or_insert_with(|| Box::pin(sleep(JOIN_TIME)));
        ready!(timer.as_mut().poll(cx));
        self.join_timer = None;
        Poll::Ready(self.reader.joined().map(Ok))
    }

    /// Reads the next frame from the caller.
    fn poll_body(&mut self, cx: &mut Context<'_>) -> PolledFrame<BodyError> {
        if self.ended {
            return Poll::Ready(None);
        }
        if Instant::now() >= self.limits.due {
            return Poll::Ready(Some(Err(BodyError::Late)));
        }
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.idle_until = None;
                self.arrived += 1;
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(err))) => Poll::Ready(Some(Err(BodyError::Broken(err)))),
            Poll::Ready(None) => {
                self.ended = true;
                Poll::Ready(None)
            }
            Poll::Pending => self.poll_timeout(cx),
        }
    }

    /// Returns `true` if all of the body has been read and passed on by the reader.
    fn is_read(&self) -> bool {
        self.reader.is_empty() && self.body.is_end_stream()
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
        let Some(data) = frame.data_ref() else {
            return;
        };
        *next += data.len();
        if !self.dropped && data.len() <= self.keep_bytes {
            self.keep_bytes -= data.len();
            self.kept.push(data.clone());
            return;
        }
        self.dropped = true;
        let hasher = self.hasher.get_or_insert_default();
        self.kept.pieces().for_each(|piece| hasher.update(piece));
        hasher.update(data);
        self.kept.clear();
    }

    /// Waits for more data until the caller has been idle for too long, or until the deadline.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> PolledFrame<BodyError> {
        let BodyLimits { idle, due, .. } = self.limits;
        let idle_until = *self.idle_until.get_or_insert_with(|| Instant::now() + idle);
        let until = due.min(idle_until);
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep_until(until)));
        if timer.deadline() != until {
            timer.as_mut().reset(until);
        }
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Some(Err(match until == due {
            true => BodyError::Late,
            false => BodyError::Slow,
        })))
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> PolledFrame<BodyError> {
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
                let kept = stream.next >= inner.kept.end();
                kept && !(inner.dropped && stream.next == 0) && inner.is_read()
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
