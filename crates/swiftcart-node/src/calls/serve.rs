//! Listeners of the request path, with a connection limit and graceful shutdown.

mod conn_service;

use std::convert::Infallible;
use std::future::Future;
use std::io::{self, Write};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper_util::rt::TokioTimer;
use hyper_util::service::TowerToHyperService;
use slog::{info, warn};
use swiftcart_core::{ConnEnd, Reason};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tower::Service;

use super::answer::Answer;
use super::lifetime::Lifetime;
use super::origin::{CallerConn, origin_extensions};
use super::pipelining::{Pipeline, Starter};
use super::socket::Socket;
use crate::logging::Event;
use crate::shared::Shared;
use conn_service::ConnService;

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Grace period before an idle caller connection is closed.
///
/// A request may be in transit when the announced keep-alive time ends. The period covers one round
/// trip to the caller and the retransmission of a lost packet.
const KEEP_ALIVE_GRACE: Duration = Duration::from_millis(300);

/// Maximum number of bytes read ahead on one connection.
const READ_AHEAD_BYTES: usize = 64 << 10;

/// Maximum number of headers that a node adds to a request for another node.
const NODE_HEADERS: usize = 16;

/// Maximum length of the headers that a node adds to a request for another node, in bytes.
const NODE_HEADER_BYTES: usize = 4 << 10;

/// Response to a connection beyond the connection limit.
const CONNECTION_LIMIT_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n\
    retry-after: 1\r\nswiftcart-outcome: not-run\r\nswiftcart-reason: too-many-connections\r\n\
    content-length: 0\r\n\r\n";

/// Future that resolves to a response.
pub type ResponseFuture =
    Pin<Box<dyn Future<Output = Result<Response<Answer>, Infallible>> + Send>>;

/// What ended a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseCause {
    /// The caller disconnected, or the connection failed.
    Gone,
    /// The last response on the connection said that it closes, or an error ended it.
    Completed,
    /// The node is stopping.
    Stopping,
    /// The connection was idle for too long.
    Idle,
    /// A response could not be passed on in time.
    Overdue,
}

impl CloseCause {
    /// Returns the name used in logs.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Gone => "gone",
            Self::Completed => "completed",
            Self::Stopping => "stopping",
            Self::Idle => "idle",
            Self::Overdue => "overdue",
        }
    }
}

/// Service that answers the requests of callers or of other nodes.
pub trait CallService:
    Service<
        Request<Incoming>,
        Response = Response<Answer>,
        Error = Infallible,
        Future = ResponseFuture,
    > + Clone
    + Send
    + 'static
{
}

impl<S> CallService for S where
    S: Service<
            Request<Incoming>,
            Response = Response<Answer>,
            Error = Infallible,
            Future = ResponseFuture,
        > + Clone
        + Send
        + 'static
{
}

/// Server that accepts connections for one service.
#[derive(Debug, Clone)]
pub struct Server {
    shared: Arc<Shared>,
    builder: Builder,
    /// Starter for pipelined requests.
    starter: Option<Starter>,
    closing: CancellationToken,
    running: TaskTracker,
}

impl Server {
    /// Creates a server that closes idle connections after `idle`.
    #[must_use]
    pub fn new(shared: &Arc<Shared>, idle: Duration) -> Self {
        let limits = &shared.settings.limits;
        let head = limits.header_bytes as usize;
        let mut builder = Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(idle)
            .max_headers(limits.headers as usize)
            .max_header_size(head)
            .max_buf_size(head.max(READ_AHEAD_BYTES));
        Self {
            shared: Arc::clone(shared),
            builder,
            starter: None,
            closing: CancellationToken::new(),
            running: TaskTracker::new(),
        }
    }

    /// Accepts heads that exceed the limits for callers by the headers that nodes add.
    #[must_use]
    pub fn with_node_headers(mut self) -> Self {
        let limits = &self.shared.settings.limits;
        self.builder
            .max_headers(limits.headers as usize + NODE_HEADERS)
            .max_header_size(limits.header_bytes as usize + NODE_HEADER_BYTES);
        self
    }

    /// Sets the starter for pipelined requests.
    #[must_use]
    pub fn with_starter(mut self, starter: Starter) -> Self {
        self.starter = Some(starter);
        self
    }

    /// Accepts connections until [`finish`](Self::finish).
    pub async fn run<S>(self, listener: TcpListener, service: S)
    where
        S: CallService,
    {
        let slots = Arc::new(Semaphore::new(
            self.shared.settings.limits.connections as usize,
        ));
        let mut closed = pin!(self.closing.cancelled());
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = &mut closed => return,
            };
            match (accepted, Arc::clone(&slots).try_acquire_owned()) {
                (Ok((stream, _)), Ok(slot)) => {
                    let server = self.clone();
                    let service = service.clone();
                    self.running.spawn(async move {
                        server.serve(stream, service).await;
                        drop(slot);
                    });
                }
                (Ok((stream, _)), Err(_)) => self.refuse_connection(stream),
                (Err(err), _) => self.back_off(&err).await,
            }
        }
    }

    /// Stops accepting connections and waits until each connection has finished its request.
    pub async fn finish(&self) {
        self.closing.cancel();
        self.running.close();
        self.running.wait().await;
    }

    async fn serve<S>(&self, stream: TcpStream, service: S)
    where
        S: CallService,
    {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let limits = &self.shared.settings.limits;
        let number = CallerConn::next();
        let mut extensions = origin_extensions(number, &stream);
        let lifetime = Lifetime::new();
        let pipeline = self.starter.as_ref();
        let pipeline =
            pipeline.map(|starter| Pipeline::new(starter, &lifetime, extensions.clone()));
        let keep_alive = pipeline.as_ref().and_then(|_| limits.keep_alive());
        let socket = Socket::new(stream, limits.body_timeout(), pipeline.clone());
        if let Some(pipeline) = &pipeline {
            extensions.insert(pipeline.clone());
        }
        let service = ConnService::new(service, &self.shared, &lifetime, extensions)
            .with_keep_alive(keep_alive);
        let service = TowerToHyperService::new(service);
        let disconnected = socket.clone();
        let mut conn = pin!(self.builder.serve_connection(socket, service));
        let mut disconnected = pin!(disconnected.disconnected());
        let idle_time = keep_alive.map(|time| time + KEEP_ALIVE_GRACE);
        let ended = async {
            // `disconnected` is polled first, since it reads the bytes that have arrived. With the
            // reverse order, hyper would not notice these bytes.
            let cause = tokio::select! {
                biased;
                () = disconnected.as_mut() => return (CloseCause::Gone, None),
                result = conn.as_mut() => return (CloseCause::Completed, Some(result)),
                end = lifetime.end(idle_time) => match end {
                    ConnEnd::Overdue => return (CloseCause::Overdue, None),
                    ConnEnd::Idle => CloseCause::Idle,
                },
                () = self.closing.cancelled() => CloseCause::Stopping,
            };
            // hyper answers no request behind the current one after `graceful_shutdown`.
            lifetime.stop();
            let mut overdue = pin!(lifetime.end(None));
            tokio::select! {
                biased;
                () = disconnected.as_mut() => return (CloseCause::Gone, None),
                result = conn.as_mut() => return (cause, Some(result)),
                _ = overdue.as_mut() => return (CloseCause::Overdue, None),
                () = lifetime.none_waits() => {}
            }
            conn.as_mut().graceful_shutdown();
            tokio::select! {
                biased;
                () = disconnected => (CloseCause::Gone, None),
                result = conn.as_mut() => (cause, Some(result)),
                _ = overdue => (CloseCause::Overdue, None),
            }
        };
        let (cause, result) = ended.await;
        if lifetime.requests().owed() > 0 {
            self.log_owed(number, cause, &lifetime, pipeline.as_ref(), result.as_ref());
        }
        match result {
            None => self.count_closed(cause.as_str()),
            Some(Err(err)) => self.record_error(&err),
            Some(Ok(())) => {}
        }
    }

    /// Logs the end of a connection on which requests are owed a response.
    ///
    /// If the caller has left, the requests that were not started early log that themselves.
    fn log_owed(
        &self,
        conn: CallerConn,
        cause: CloseCause,
        lifetime: &Lifetime,
        pipeline: Option<&Pipeline>,
        result: Option<&Result<(), hyper::Error>>,
    ) {
        let id = &self.shared.headers.request_id.0;
        let ids = pipeline
            .map(|pipeline| pipeline.started(id))
            .unwrap_or_default();
        if cause == CloseCause::Gone && ids.is_empty() {
            return;
        }
        let now = self.shared.clock.now();
        let Some(log) = self.shared.call_log.failed(now) else {
            return;
        };
        let ids: Vec<&str> = ids.iter().filter_map(|id| id.to_str().ok()).collect();
        let error = result.and_then(|result| result.as_ref().err());
        info!(log, ""; "event" => Event::Closed, "caller_conn" => conn.0,
            "cause" => cause.as_str(), "error" => error.map(ToString::to_string),
            "phase" => self.shared.phase.borrow().as_str(),
            "owed" => lifetime.requests().owed(), "at_work" => ids.join(","));
    }

    /// Counts a connection error. Refusals that hyper sent itself count as refusals.
    fn record_error(&self, err: &hyper::Error) {
        let counters = &self.shared.counters;
        match err {
            _ if err.is_parse_too_large() => counters.refuse(Reason::HeaderTooLarge.as_str()),
            _ if err.is_parse() => counters.refuse(Reason::BadRequest.as_str()),
            _ => {
                let how = match err {
                    _ if err.is_timeout() => "head-timeout",
                    _ if err.is_incomplete_message() => "incomplete",
                    _ if err.is_user() => "answer-broken",
                    _ => "io",
                };
                self.count_closed(how);
            }
        }
    }

    fn count_closed(&self, how: &'static str) {
        let counters = &self.shared.counters;
        counters.count("swiftcart_connections_closed_total", "reason", how);
    }

    fn refuse_connection(&self, stream: TcpStream) {
        // The response fits into the send buffer of any new socket. A write error is ignored, since
        // the connection is closed either way.
        let _ = stream
            .into_std()
            .and_then(|mut socket| socket.write_all(CONNECTION_LIMIT_RESPONSE));
        let counters = &self.shared.counters;
        counters.refuse(Reason::TooManyConnections.as_str());
    }

    async fn back_off(&self, err: &io::Error) {
        warn!(self.shared.logger, ""; "event" => Event::Refused, "error" => %err);
        sleep(ACCEPT_BACKOFF).await;
    }
}
