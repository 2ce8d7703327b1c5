//! One HTTP connection to a peer or backend server, driven by the request that uses it.
//!
//! No task stands between a request and its connection: whoever sends polls the
//! connection, and dropping the conn closes it at once, which cancels the work on
//! the other side. Counting the written bytes tells for certain whether anything
//! of a request can have been handed over.

use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::body::Outgoing;

/// How long what was sent may stay without the other kernel's word. On a full link packets wait
/// for up to a second, and a lost one is sent again after 0.2 s and 0.6 s.
const SILENCE: Duration = Duration::from_millis(1500);

/// How long a connection has nothing to send before the other kernel is asked, and how often it
/// is asked then: the least that the socket takes.
const PROBE_AFTER: Duration = Duration::from_secs(1);
const PROBE_EVERY: Duration = Duration::from_secs(1);

quick_error! {
    /// Tells why no connection could be opened.
    #[derive(Debug)]
    pub enum OpenError {
        /// The other side did not take the connection.
        Connect(err: io::Error) {
            from()
            source(err)
            display("cannot connect: {err}")
        }
        /// The connection took too long.
        TimedOut {
            display("the connection took too long")
        }
        /// The connection failed before the first request.
        Handshake(err: hyper::Error) {
            from()
            source(err)
            display("the connection failed: {err}")
        }
    }
}

/// Tells how a request failed on its connection.
#[derive(Debug)]
pub enum SendError {
    /// Nothing of the request was written; it comes back, so that it can be sent again.
    Unsent(Option<Box<Request<Outgoing>>>),
    /// Something of the request was written, or may have been.
    Sent(hyper::Error),
}

/// An open connection that takes one request at a time.
#[derive(Debug)]
pub struct Conn {
    sender: SendRequest<Outgoing>,
    conn: Option<Connection<Watched, Outgoing>>,
    wrote: Arc<AtomicBool>,
    used: Instant,
}

/// A socket that notes whether anything was written.
#[derive(Debug)]
struct Watched {
    io: TokioIo<TcpStream>,
    wrote: Arc<AtomicBool>,
}

impl Conn {
    /// Opens a connection to `addr` within `limit`.
    ///
    /// # Errors
    ///
    /// Returns why the connection did not open.
    pub async fn open(addr: SocketAddr, limit: Duration) -> Result<Self, OpenError> {
        let opened = timeout(limit, TcpStream::connect(addr)).await;
        let socket = opened.map_err(|_| OpenError::TimedOut)??;
        socket.set_nodelay(true)?;
        bound_silence(&socket)?;
        let wrote = Arc::new(AtomicBool::new(false));
        let io = Watched {
            io: TokioIo::new(socket),
            wrote: Arc::clone(&wrote),
        };
        let (sender, conn) = Builder::new().handshake(io).await?;
        Ok(Self {
            sender,
            conn: Some(conn),
            wrote,
            used: Instant::now(),
        })
    }

    /// Tells whether the connection was last used before `then`.
    #[must_use]
    pub fn used_before(&self, then: Instant) -> bool {
        self.used < then
    }

    /// Looks once at an unused connection and tells whether it can take a request.
    pub fn check(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        self.drive(&mut cx);
        self.conn.is_some() && self.sender.is_ready()
    }

    /// Notes that the connection was used now.
    pub fn touch(&mut self) {
        self.used = Instant::now();
    }

    /// Tells whether anything of the last request was written.
    #[must_use]
    pub fn wrote(&self) -> bool {
        self.wrote.load(Ordering::Relaxed)
    }

    /// Moves bytes both ways until the connection waits.
    pub fn drive(&mut self, cx: &mut Context<'_>) {
        let over = |conn: &mut Connection<_, _>| Pin::new(conn).poll(cx).is_ready();
        if self.conn.as_mut().is_some_and(over) {
            self.conn = None;
        }
    }

    /// Sends `request` and returns the answer's head; [`drive`](Self::drive) moves the bodies.
    ///
    /// # Errors
    ///
    /// Returns whether anything of the request was written.
    pub async fn send(
        &mut self,
        request: Request<Outgoing>,
    ) -> Result<Response<Incoming>, SendError> {
        self.wrote.store(false, Ordering::Relaxed);
        let mut answer = pin!(self.sender.try_send_request(request));
        let conn = &mut self.conn;
        // The answer only moves when the connection does, and that is polled right here.
        let result = poll_fn(|cx| {
            if conn
                .as_mut()
                .is_some_and(|conn| Pin::new(conn).poll(cx).is_ready())
            {
                *conn = None;
            }
            let mut quiet = Context::from_waker(Waker::noop());
            answer.as_mut().poll(&mut quiet)
        });
        match result.await {
            Ok(response) => Ok(response),
            Err(mut err) if !self.wrote.load(Ordering::Relaxed) => {
                Err(SendError::Unsent(err.take_message().map(Box::new)))
            }
            Err(err) => Err(SendError::Sent(err.into_error())),
        }
    }
}

/// Has the kernel give the connection up when the other side's kernel is silent for too long.
///
/// A connection may fall silent without a reset while new ones open. What waits for an answer
/// on it would wait for its whole time otherwise. A backend server that takes long keeps its
/// kernel answering, so that no answer is ended for that.
fn bound_silence(socket: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(socket);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_EVERY);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(SILENCE))
}

impl Read for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl Write for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.io).poll_write(cx, buf);
        self.note(result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
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
        self.note(result)
    }
}

impl Watched {
    /// Notes a write; a failed one counts too, unless the socket took nothing for certain.
    fn note(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(result, Poll::Ready(Ok(1..))) {
            self.wrote.store(true, Ordering::Relaxed);
        }
        result
    }
}
