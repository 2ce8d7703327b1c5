//! HTTP connection to a peer or backend server, driven by the request that uses it.
//!
//! No task runs between a request and its connection: the sender polls the connection itself.
//! Dropping the [`Conn`] closes the connection immediately, which cancels the work on the remote
//! side. Writes are tracked, which shows reliably whether any part of a request may have been
//! sent.

use std::fmt;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use socket2::{SockRef, TcpKeepalive};
use swiftcart_core::{AnswerId, ConnHistory};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::body::Outgoing;

/// Maximum time that sent data may stay unacknowledged (`TCP_USER_TIMEOUT`).
///
/// On a saturated link packets are queued for up to 1 s, and a lost packet is retransmitted after
/// 0.2 s and 0.6 s.
const USER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum number of bytes that are buffered in each direction, which bounds the head of a response.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Idle time before the first TCP keepalive probe, the smallest value that the socket accepts.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between TCP keepalive probes, the smallest value that the socket accepts.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

quick_error! {
    /// Error while opening a connection.
    #[derive(Debug)]
    pub enum OpenError {
        /// The remote side did not accept the connection.
        Connect(err: io::Error) {
            from()
            source(err)
            display("cannot connect: {err}")
        }
        /// The connection was not established in time.
        TimedOut {
            display("connection attempt timed out")
        }
        /// The HTTP handshake failed before the first request.
        Handshake(err: hyper::Error) {
            from()
            source(err)
            display("HTTP handshake failed: {err}")
        }
    }
}

/// Error while sending a request on a connection.
#[derive(Debug)]
pub enum SendError {
    /// Nothing of the request was written. The request is returned, so that it can be sent again.
    Unsent(Option<Box<Request<Outgoing>>>),
    /// The caller's body failed before anything was written.
    Body,
    /// At least part of the request was written, or may have been.
    Sent(hyper::Error),
}

/// Number of the next connection that this process opens.
static NEXT_CONN: AtomicU64 = AtomicU64::new(1);

/// Identifies one exchange in the log: the connection, and the place of the exchange on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ExchangeId {
    /// Number of the connection, unique in this process.
    pub conn: u64,
    /// Number of the exchange on its connection, starting at 1.
    pub number: u64,
}

impl fmt::Display for ExchangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.conn, self.number)
    }
}

/// Open connection that carries one request at a time.
#[derive(Debug)]
pub struct Conn {
    number: u64,
    opened: Instant,
    /// Requests that the connection carried, on a clock that starts at `opened`.
    history: ConnHistory,
    sender: SendRequest<Outgoing>,
    conn: Option<Connection<WriteTracker, Outgoing>>,
    wrote: Arc<AtomicBool>,
    used: Instant,
}

/// Socket that records whether anything was written.
#[derive(Debug)]
struct WriteTracker {
    io: TokioIo<TcpStream>,
    wrote: Arc<AtomicBool>,
}

impl Conn {
    /// Opens a connection to `addr` within `limit`.
    ///
    /// # Errors
    ///
    /// Returns an [`OpenError`] if the connection cannot be established within `limit`.
    pub async fn open(addr: SocketAddr, limit: Duration) -> Result<Self, OpenError> {
        let opened = timeout(limit, TcpStream::connect(addr)).await;
        let socket = opened.map_err(|_| OpenError::TimedOut)??;
        socket.set_nodelay(true)?;
        set_socket_timeouts(&socket)?;
        let wrote = Arc::new(AtomicBool::new(false));
        let io = WriteTracker {
            io: TokioIo::new(socket),
            wrote: Arc::clone(&wrote),
        };
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let (sender, conn) = builder.handshake(io).await?;
        Ok(Self {
            number: NEXT_CONN.fetch_add(1, Ordering::Relaxed),
            opened: Instant::now(),
            history: ConnHistory::default(),
            sender,
            conn: Some(conn),
            wrote,
            used: Instant::now(),
        })
    }

    /// Returns `true` if the connection was last used before `then`.
    #[must_use]
    pub fn used_before(&self, then: Instant) -> bool {
        self.used < then
    }

    /// Polls an idle connection once and returns `true` if it can take a request.
    pub fn check(&mut self) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        self.drive(&mut cx);
        self.conn.is_some() && self.sender.is_ready()
    }

    /// Sets the time of last use to now.
    pub fn touch(&mut self) {
        self.used = Instant::now();
    }

    /// Returns `true` if a response to the request with this id can be told from the responses to
    /// all requests that the connection carried.
    #[must_use]
    pub fn may_carry(&self, id: &HeaderValue) -> bool {
        let now = self.time(Instant::now());
        self.history.may_carry(now, id.as_bytes())
    }

    /// Records that the request with this id and the deadline `until` is sent next.
    pub fn begin(&mut self, id: &HeaderValue, until: Instant) -> ExchangeId {
        let (now, due) = (self.time(Instant::now()), self.time(until));
        self.history.record(now, id.as_bytes(), due);
        ExchangeId {
            conn: self.number,
            number: self.history.exchanges(),
        }
    }

    /// Returns `true` if a response with this id counts for the request that was sent last.
    #[must_use]
    pub const fn counts(&self, id: AnswerId) -> bool {
        self.history.counts(id)
    }

    /// Converts an instant to the clock of the history.
    fn time(&self, instant: Instant) -> swiftcart_core::Instant {
        swiftcart_core::Instant::new(instant.saturating_duration_since(self.opened))
    }

    /// Returns `true` if any part of the last request was written.
    #[must_use]
    pub fn wrote(&self) -> bool {
        self.wrote.load(Ordering::Relaxed)
    }

    /// Transfers data in both directions until the connection is pending.
    pub fn drive(&mut self, cx: &mut Context<'_>) {
        let over = |conn: &mut Connection<_, _>| Pin::new(conn).poll(cx).is_ready();
        if self.conn.as_mut().is_some_and(over) {
            self.conn = None;
        }
    }

    /// Sends `request` and returns the response's head.
    ///
    /// [`drive`](Self::drive) transfers the bodies.
    ///
    /// # Errors
    ///
    /// Returns a [`SendError`] that states whether any part of the request was written.
    pub async fn send(
        &mut self,
        request: Request<Outgoing>,
    ) -> Result<Response<Incoming>, SendError> {
        self.wrote.store(false, Ordering::Relaxed);
        let mut answer = pin!(self.sender.try_send_request(request));
        let conn = &mut self.conn;
        // The response makes progress only when the connection does, and the connection is polled
        // here. The response therefore needs no waker.
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
            Err(mut err) if !self.wrote.load(Ordering::Relaxed) => match err.take_message() {
                None if err.error().is_user() => Err(SendError::Body),
                message => Err(SendError::Unsent(message.map(Box::new))),
            },
            Err(err) => Err(SendError::Sent(err.into_error())),
        }
    }
}

/// Sets TCP keepalive and user timeout, so that the kernel closes unresponsive connections.
///
/// A connection may stop delivering packets without a reset while new connections can be opened.
/// Without these timeouts a request on it would wait until its deadline. The kernel of a slow
/// backend server still acknowledges packets, so slow responses are not cut off.
fn set_socket_timeouts(socket: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(socket);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

impl Read for WriteTracker {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl Write for WriteTracker {
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

impl WriteTracker {
    /// Records a write that transferred at least one byte.
    fn note(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(result, Poll::Ready(Ok(1..))) {
            self.wrote.store(true, Ordering::Relaxed);
        }
        result
    }
}
