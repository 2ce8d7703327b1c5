//! Socket of a connection from a caller or peer, with a write timeout and immediate detection of
//! disconnects.

use std::future::{Future, poll_fn};
use std::io;
use std::mem::MaybeUninit;
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::BytesMut;
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::coop::unconstrained;
use tokio::time::{Instant, Sleep, sleep};

use super::pipelining::Pipeline;

/// Maximum time to keep reading after the last response of a connection.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Buffer size of one read in bytes.
const READ_CHUNK_BYTES: usize = 4096;

/// Maximum number of bytes read ahead; a caller that sends more is blocked until hyper reads them.
const READ_AHEAD_BYTES: usize = 16 << 10;

/// Socket whose writes fail when the remote side accepts no data for too long.
///
/// Without the timeout a caller that stops reading would occupy a slot forever. The socket reads
/// ahead of hyper, so that a disconnect is detected while a request is being processed.
#[derive(Debug, Clone)]
pub struct Socket(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
    io: TokioIo<TcpStream>,
    write_timeout: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    waiting: bool,
    linger: Option<Pin<Box<Sleep>>>,
    /// Data that was read ahead and not yet taken by hyper.
    ahead: BytesMut,
    /// Result with which reading ended, or `None` while it continues.
    end: Option<io::Result<()>>,
    pipeline: Option<Pipeline>,
}

impl Socket {
    /// Creates a socket whose writes time out after `write_timeout` without progress.
    #[must_use]
    pub fn new(stream: TcpStream, write_timeout: Duration, pipeline: Option<Pipeline>) -> Self {
        Self(Arc::new(Mutex::new(Inner {
            io: TokioIo::new(stream),
            write_timeout,
            timer: None,
            waiting: false,
            linger: None,
            ahead: BytesMut::new(),
            end: None,
            pipeline,
        })))
    }

    /// Reads ahead until the remote side has closed the connection or the connection has failed.
    pub async fn disconnected(&self) {
        poll_fn(|cx| {
            let mut inner = self.lock();
            while inner.end.is_none() && inner.ahead.len() < READ_AHEAD_BYTES {
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
        let mut bytes = [MaybeUninit::uninit(); READ_CHUNK_BYTES];
        let mut buf = ReadBuf::uninit(&mut bytes);
        match ready!(Pin::new(&mut self.io).poll_read(cx, buf.unfilled())) {
            Ok(()) if buf.filled().is_empty() => self.end = Some(Ok(())),
            Ok(()) => {
                self.ahead.extend_from_slice(buf.filled());
                if let Some(pipeline) = &self.pipeline {
                    pipeline.scan_bytes(buf.filled());
                }
            }
            Err(err) => self.end = Some(Err(err)),
        }
        Poll::Ready(())
    }

    fn apply_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.waiting = false;
            return result;
        }
        let write_timeout = self.write_timeout;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep(write_timeout)));
        if !self.waiting {
            self.waiting = true;
            timer.as_mut().reset(Instant::now() + write_timeout);
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
                    // An idle connection keeps no buffer.
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
        inner.apply_timeout(cx, result)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().io).poll_flush(cx)
    }

    /// Shuts down the write side, then keeps reading for at most [`LINGER_TIMEOUT`].
    ///
    /// Closing a socket with unread data resets the connection, and the response is lost: a caller
    /// whose upload is refused would not receive the reason.
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut inner = self.lock();
        if inner.linger.is_none() {
            ready!(Pin::new(&mut inner.io).poll_shutdown(cx))?;
            inner.linger = Some(Box::pin(sleep(LINGER_TIMEOUT)));
        }
        inner.pipeline = None;
        // The timeout is looked at first and also by a task that has used up its time: a remote side that
        // sends without end would otherwise keep the socket open.
        if let Some(linger) = &mut inner.linger
            && pin!(unconstrained(linger.as_mut())).poll(cx).is_ready()
        {
            return Poll::Ready(Ok(()));
        }
        while inner.end.is_none() {
            inner.ahead.clear();
            ready!(inner.fill(cx));
        }
        Poll::Ready(Ok(()))
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
        inner.apply_timeout(cx, result)
    }
}
