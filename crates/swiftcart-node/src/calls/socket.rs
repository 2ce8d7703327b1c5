//! The socket of a caller's or peer's connection, which bears only so much silence and
//! notices a departure at once.

use std::future::{Future, poll_fn};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::BytesMut;
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

use super::pipelining::Pipeline;

/// The longest time to read on after the last answer of a connection.
const LINGER: Duration = Duration::from_secs(1);

/// Bytes read at once.
const SCRAP: usize = 4096;

/// Bytes read ahead at most; a caller that sends more waits until hyper takes them.
const READ_AHEAD: usize = 16 << 10;

/// A socket whose writes fail when the other side takes nothing for too long.
///
/// Without it a caller that stops reading would hold a slot for ever. It reads ahead of
/// hyper, so that the other side's departure is noticed while a request is being answered.
#[derive(Debug, Clone)]
pub struct Socket(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
    io: TokioIo<TcpStream>,
    silence: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    waiting: bool,
    linger: Option<Pin<Box<Sleep>>>,
    /// What was read and not taken yet.
    ahead: BytesMut,
    /// How reading has ended.
    end: Option<io::Result<()>>,
    pipeline: Option<Pipeline>,
}

impl Socket {
    /// Creates a socket that bears `silence` at most while it has something to write.
    #[must_use]
    pub fn new(stream: TcpStream, silence: Duration, pipeline: Option<Pipeline>) -> Self {
        Self(Arc::new(Mutex::new(Inner {
            io: TokioIo::new(stream),
            silence,
            timer: None,
            waiting: false,
            linger: None,
            ahead: BytesMut::new(),
            end: None,
            pipeline,
        })))
    }

    /// Reads ahead until the other side has closed or broken the connection.
    pub async fn disconnected(&self) {
        poll_fn(|cx| {
            let mut inner = self.lock();
            while inner.end.is_none() && inner.ahead.len() < READ_AHEAD {
                ready!(inner.fill(cx));
            }
            match inner.end {
                Some(_) => Poll::Ready(()),
                None => Poll::Pending,
            }
        })
        .await;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Reads once from the socket.
    fn fill(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [MaybeUninit::uninit(); SCRAP];
        let mut buf = ReadBuf::uninit(&mut bytes);
        match ready!(Pin::new(&mut self.io).poll_read(cx, buf.unfilled())) {
            Ok(()) if buf.filled().is_empty() => self.end = Some(Ok(())),
            Ok(()) => {
                self.ahead.extend_from_slice(buf.filled());
                if let Some(pipeline) = &self.pipeline {
                    pipeline.look(buf.filled());
                }
            }
            Err(err) => self.end = Some(Err(err)),
        }
        Poll::Ready(())
    }

    fn bound<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.waiting = false;
            return result;
        }
        let silence = self.silence;
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(silence)));
        if !self.waiting {
            self.waiting = true;
            timer.as_mut().reset(Instant::now() + silence);
        }
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Read for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut inner = self.lock();
        if inner.ahead.is_empty() && inner.end.is_none() {
            ready!(inner.fill(cx));
        }
        match (inner.ahead.len().min(buf.remaining()), inner.end.take()) {
            (0, Some(Err(err))) => {
                inner.end = Some(Ok(()));
                Poll::Ready(Err(err))
            }
            (len, end) => {
                inner.end = end;
                buf.put_slice(&inner.ahead.split_to(len));
                if inner.ahead.is_empty() {
                    // An unused connection holds no buffer.
                    inner.ahead = BytesMut::new();
                }
                Poll::Ready(Ok(()))
            }
        }
    }
}

impl Write for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut inner = self.lock();
        let result = Pin::new(&mut inner.io).poll_write(cx, buf);
        inner.bound(cx, result)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().io).poll_flush(cx)
    }

    /// Ends the writing side, then reads on for a moment.
    ///
    /// Closing a socket that still has something to read resets the connection, and
    /// the answer with it: a caller whose upload is refused would never learn why.
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut inner = self.lock();
        if inner.linger.is_none() {
            ready!(Pin::new(&mut inner.io).poll_shutdown(cx))?;
            inner.linger = Some(Box::pin(sleep(LINGER)));
        }
        inner.pipeline = None;
        while inner.end.is_none() {
            inner.ahead.clear();
            if inner.fill(cx).is_pending() {
                break;
            }
        }
        let ended = inner.end.is_some();
        match &mut inner.linger {
            _ if ended => Poll::Ready(Ok(())),
            Some(linger) => linger.as_mut().poll(cx).map(Ok),
            None => Poll::Ready(Ok(())),
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.lock().io.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut inner = self.lock();
        let result = Pin::new(&mut inner.io).poll_write_vectored(cx, bufs);
        inner.bound(cx, result)
    }
}
