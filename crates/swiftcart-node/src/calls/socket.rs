//! The socket of a caller's or peer's connection, which bears only so much silence.

use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

/// The longest time to read on after the last answer of a connection.
const LINGER: Duration = Duration::from_secs(1);

/// Bytes read and thrown away at once.
const SCRAP: usize = 4096;

/// A socket whose writes fail when the other side takes nothing for too long.
///
/// Without it a caller that stops reading would hold a slot for ever.
#[derive(Debug)]
pub struct Socket {
    io: TokioIo<TcpStream>,
    silence: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    waiting: bool,
    linger: Option<Pin<Box<Sleep>>>,
}

impl Socket {
    /// Creates a socket that bears `silence` at most while it has something to write.
    #[must_use]
    pub const fn new(io: TokioIo<TcpStream>, silence: Duration) -> Self {
        Self {
            io,
            silence,
            timer: None,
            waiting: false,
            linger: None,
        }
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
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl Write for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.io).poll_write(cx, buf);
        self.bound(cx, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    /// Ends the writing side, then reads on for a moment.
    ///
    /// Closing a socket that still has something to read resets the connection, and
    /// the answer with it: a caller whose upload is refused would never learn why.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.io).poll_shutdown(cx))?;
            self.linger = Some(Box::pin(sleep(LINGER)));
        }
        let mut scrap = [MaybeUninit::uninit(); SCRAP];
        loop {
            let mut buf = ReadBuf::uninit(&mut scrap);
            match Pin::new(&mut self.io).poll_read(cx, buf.unfilled()) {
                Poll::Ready(Ok(())) if buf.filled().is_empty() => return Poll::Ready(Ok(())),
                Poll::Ready(Ok(())) => {}
                Poll::Ready(Err(_)) => return Poll::Ready(Ok(())),
                Poll::Pending => break,
            }
        }
        match &mut self.linger {
            Some(linger) => linger.as_mut().poll(cx).map(Ok),
            None => Poll::Ready(Ok(())),
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.bound(cx, result)
    }
}
