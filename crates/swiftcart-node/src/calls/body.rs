//! The body of a request on its way to a peer or backend server.
//!
//! A body streams through without being stored, but for its first bytes: they are
//! kept up to a bound, so that a request that a peer refused can go to another.

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
use swiftcart_core::BodyPrint;
use tokio::time::{Instant, Sleep, sleep};

quick_error! {
    /// Tells why a request's body ended early.
    #[derive(Debug)]
    pub enum BodyError {
        /// The caller's connection failed or its framing is wrong.
        Broken(err: hyper::Error) {
            source(err)
            display("the request's body broke off: {err}")
        }
        /// The caller sent nothing for too long.
        Slow {
            display("the request's body stalled")
        }
        /// The bytes that another try needs are no longer kept.
        Gone {
            display("the request's body was passed on already")
        }
    }
}

/// A request's body as it is sent to a peer or backend server.
#[derive(Debug)]
pub enum Outgoing {
    /// There is no body.
    Empty,
    /// A body that is held as a whole.
    Whole(Bytes),
    /// A body that streams through.
    Stream(Stream),
}

/// One try's reading of a [`BodySource`].
#[derive(Debug)]
pub struct Stream {
    source: Arc<BodySource>,
    next: usize,
    gate: Option<Gate>,
}

/// Holds a body back until the peer says that it takes the request.
#[derive(Debug, Default, Clone)]
pub struct Gate(Arc<AtomicBool>);

/// The caller's body, with its first bytes kept for another try.
#[derive(Debug)]
pub struct BodySource(Mutex<Inner>);

#[derive(Debug)]
struct Inner {
    body: Incoming,
    kept: Vec<Bytes>,
    room: usize,
    lost: bool,
    ended: bool,
    silence: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    waiting: bool,
}

impl Gate {
    /// Lets the body go.
    pub fn open(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn is_open(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

impl Stream {
    /// Returns where the body comes from.
    #[must_use]
    pub const fn source(&self) -> &Arc<BodySource> {
        &self.source
    }
}

impl BodySource {
    /// Creates the source of `body`, which keeps `room` bytes and bears `silence` at most.
    pub fn new(body: Incoming, room: usize, silence: Duration) -> Arc<Self> {
        Arc::new(Self(Mutex::new(Inner {
            body,
            kept: Vec::new(),
            room,
            lost: false,
            ended: false,
            silence,
            timer: None,
            waiting: false,
        })))
    }

    /// Starts a try; with a gate, nothing is sent before it opens.
    pub fn start(self: &Arc<Self>, gate: Option<Gate>) -> Outgoing {
        Outgoing::Stream(Stream {
            source: Arc::clone(self),
            next: 0,
            gate,
        })
    }

    /// Reads the body ahead, up to `bytes` bytes or its end.
    ///
    /// # Errors
    ///
    /// Returns why the body ended early.
    pub async fn fill(&self, bytes: usize) -> Result<(), BodyError> {
        poll_fn(|cx| self.with(|inner| inner.poll_fill(cx, bytes))).await
    }

    /// Returns the length of the body as far as it is told.
    pub fn len_hint(&self) -> Option<u64> {
        self.with(|inner| inner.body.size_hint().upper())
    }

    /// Returns what stands for the body, once all of it is here and none of it was let go.
    #[must_use]
    pub fn print(&self) -> Option<BodyPrint> {
        self.with(|inner| {
            let whole = !inner.lost && (inner.ended || inner.body.is_end_stream());
            whole.then(|| BodyPrint::new(inner.kept.iter().map(|chunk| &chunk[..])))
        })
    }

    /// Tells whether another try can send the whole body.
    pub fn is_whole(&self) -> bool {
        !self.with(|inner| inner.lost)
    }

    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Inner {
    fn poll_fill(&mut self, cx: &mut Context<'_>, bytes: usize) -> Poll<Result<(), BodyError>> {
        loop {
            let held: usize = self.kept.iter().map(Bytes::len).sum();
            if held >= bytes || self.lost || self.ended {
                return Poll::Ready(Ok(()));
            }
            let mut next = self.kept.len();
            match ready!(self.poll(cx, &mut next)) {
                Some(Ok(_)) => {}
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
            None if self.lost && *next == 0 => return Poll::Ready(Some(Err(BodyError::Gone))),
            None if self.ended => return Poll::Ready(None),
            None => {}
        }
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.waiting = false;
                self.keep(&frame, next);
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(err))) => Poll::Ready(Some(Err(BodyError::Broken(err)))),
            Poll::Ready(None) => {
                self.ended = true;
                Poll::Ready(None)
            }
            Poll::Pending => self.poll_silence(cx),
        }
    }

    /// Keeps `frame` for another try, or gives up on that when the room is used up.
    fn keep(&mut self, frame: &Frame<Bytes>, next: &mut usize) {
        *next += 1;
        match frame.data_ref() {
            _ if self.lost => {}
            Some(data) if data.len() <= self.room => {
                self.room -= data.len();
                self.kept.push(data.clone());
            }
            Some(_) => {
                self.lost = true;
                self.kept = Vec::new();
            }
            None => {}
        }
    }

    fn poll_silence(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep(self.silence)));
        if !self.waiting {
            self.waiting = true;
            timer.as_mut().reset(Instant::now() + self.silence);
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
                kept && !(inner.lost && stream.next == 0) && inner.body.is_end_stream()
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
