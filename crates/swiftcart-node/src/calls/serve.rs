//! The listeners of the call path: bounded connections, and an end that cuts nothing off.

use std::convert::Infallible;
use std::future::{Future, pending};
use std::io::{self, Write};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper_util::rt::TokioTimer;
use hyper_util::service::TowerToHyperService;
use slog::warn;
use swiftcart_core::Reason;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tower::{Service, ServiceExt};

use super::answer::Answer;
use super::origin::Origin;
use super::pipelining::{Pipeline, Starter};
use super::socket::Socket;
use crate::logging::Event;
use crate::shared::Shared;

/// The pause after a connection could not be accepted, for want of descriptors perhaps.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time for a request that is on its way while a caller's connection counts as unused: a
/// round trip to callers, and a lost packet's.
const CROSSING: Duration = Duration::from_millis(300);

/// The most bytes read ahead on one connection.
const READ_AHEAD: usize = 64 << 10;

/// What a connection beyond the bound is told.
const TOO_MANY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n\
    retry-after: 1\r\nswiftcart-outcome: not-run\r\nswiftcart-reason: too-many-connections\r\n\
    content-length: 0\r\n\r\n";

/// The future of an answer.
pub type Answering = Pin<Box<dyn Future<Output = Result<Response<Answer>, Infallible>> + Send>>;

/// Accepts connections for one service.
#[derive(Debug, Clone)]
pub struct Server {
    shared: Arc<Shared>,
    builder: Builder,
    /// Starts requests that callers send ahead.
    starter: Option<Starter>,
    closing: CancellationToken,
    running: TaskTracker,
}

impl Server {
    /// Creates a server whose unused connections are closed after `idle`.
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
            .max_buf_size(head.max(READ_AHEAD));
        Self {
            shared: Arc::clone(shared),
            builder,
            starter: None,
            closing: CancellationToken::new(),
            running: TaskTracker::new(),
        }
    }

    /// Has requests that are sent ahead started by `starter`.
    #[must_use]
    pub fn with_starter(mut self, starter: Starter) -> Self {
        self.starter = Some(starter);
        self
    }

    /// Accepts connections until [`finish`](Self::finish).
    pub async fn run<S>(self, listener: TcpListener, service: S)
    where
        S: Service<
                Request<Incoming>,
                Response = Response<Answer>,
                Error = Infallible,
                Future = Answering,
            > + Clone
            + Send
            + 'static,
    {
        let places = Arc::new(Semaphore::new(
            self.shared.settings.limits.connections as usize,
        ));
        let mut closed = pin!(self.closing.cancelled());
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = &mut closed => return,
            };
            match (accepted, Arc::clone(&places).try_acquire_owned()) {
                (Ok((stream, _)), Ok(place)) => {
                    let server = self.clone();
                    let service = service.clone();
                    self.running.spawn(async move {
                        server.serve(stream, service).await;
                        drop(place);
                    });
                }
                (Ok((stream, _)), Err(_)) => self.turn_away(stream),
                (Err(err), _) => self.pause(&err).await,
            }
        }
    }

    /// Stops accepting, lets every connection finish its request, and returns when all have.
    pub async fn finish(&self) {
        self.closing.cancel();
        self.running.close();
        self.running.wait().await;
    }

    async fn serve<S>(&self, stream: TcpStream, service: S)
    where
        S: Service<
                Request<Incoming>,
                Response = Response<Answer>,
                Error = Infallible,
                Future = Answering,
            > + Clone,
    {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let silence = self.shared.settings.limits.body_timeout();
        let origin = Origin::of(&stream);
        let pipeline = self.starter.as_ref();
        let pipeline = pipeline.map(|starter| Pipeline::new(starter, origin));
        let socket = Socket::new(stream, silence, pipeline.clone());
        let shown = pipeline.clone();
        let service = service.map_request(move |mut request: Request<_>| {
            let extensions = request.extensions_mut();
            extensions.insert(shown.clone());
            if let Some(origin) = origin {
                extensions.insert(origin);
            }
            request
        });
        let service = TowerToHyperService::new(service);
        let disconnected = socket.clone();
        let mut conn = pin!(self.builder.serve_connection(socket, service));
        let mut disconnected = pin!(disconnected.disconnected());
        let ended = async {
            // First what has arrived is read, then hyper takes it; the other way round it
            // would not know.
            tokio::select! {
                biased;
                () = disconnected.as_mut() => return None,
                result = conn.as_mut() => return Some(result),
                () = self.closing.cancelled() => {}
                () = self.unused(pipeline.as_ref()) => {}
            }
            conn.as_mut().graceful_shutdown();
            tokio::select! {
                biased;
                () = disconnected => None,
                result = conn.as_mut() => Some(result),
            }
        };
        let Some(result) = ended.await else {
            self.count_closed("gone");
            return;
        };
        if let Err(err) = result {
            self.note(&err);
        }
    }

    /// Waits until a caller's connection was unused for longer than callers were told.
    async fn unused(&self, pipeline: Option<&Pipeline>) {
        let told = self.shared.settings.limits.keep_alive();
        match (pipeline, told) {
            (Some(pipeline), Some(told)) => pipeline.unused(told + CROSSING).await,
            _ => pending().await,
        }
    }

    /// Counts how a connection failed; refusals that hyper answered itself among them.
    fn note(&self, err: &hyper::Error) {
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

    fn turn_away(&self, stream: TcpStream) {
        // The refusal fits any fresh socket's buffer; a failure leaves the caller no worse.
        let _ = stream
            .into_std()
            .and_then(|mut socket| socket.write_all(TOO_MANY));
        let counters = &self.shared.counters;
        counters.refuse(Reason::TooManyConnections.as_str());
    }

    async fn pause(&self, err: &io::Error) {
        warn!(self.shared.logger, ""; "event" => Event::Refused, "error" => %err);
        sleep(ACCEPT_PAUSE).await;
    }
}
