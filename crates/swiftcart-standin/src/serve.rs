//! HTTP server of the stand-ins, with a connection limit and with aborted connections as a fault.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::response::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use quick_error::quick_error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tower::ServiceExt;

use crate::Error;

/// Delay after a failed accept, which is mostly caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

quick_error! {
    /// Error that closes a connection instead of sending a response.
    #[derive(Debug)]
    pub enum AbortError {
        /// An injected fault drops the response or closes the connection.
        InjectedFault {
            display("connection closed by an injected fault of the stand-in")
        }
    }
}

/// Marker of a response that must not be sent; its connection is closed instead.
#[derive(Debug, Clone, Copy)]
struct AbortMarker;

/// Returns a response that makes the server close the connection without sending a byte.
pub(crate) fn aborted_response() -> Response {
    let mut answer = Response::new(Body::empty());
    answer.extensions_mut().insert(AbortMarker);
    answer
}

/// Connection counters of a server.
#[derive(Debug, Default)]
pub(crate) struct ConnectionCounts {
    open: AtomicU64,
    peak: AtomicU64,
    refused: AtomicU64,
}

impl ConnectionCounts {
    /// Returns the number of open connections.
    pub(crate) fn open(&self) -> u64 {
        self.open.load(Relaxed)
    }

    /// Returns the highest number of connections that were open at the same time.
    pub(crate) fn peak(&self) -> u64 {
        self.peak.load(Relaxed)
    }

    /// Returns the number of connections closed on accept because of the connection limit.
    pub(crate) fn refused(&self) -> u64 {
        self.refused.load(Relaxed)
    }
}

/// Listener with its connections; dropping it closes the listener and all connections.
#[derive(Debug)]
pub(crate) struct Server {
    addr: SocketAddr,
    abort: CancellationToken,
    drain: CancellationToken,
    tasks: TaskTracker,
}

impl Server {
    /// Listens on `addr` and serves `router` on at most `limit` connections.
    ///
    /// The connections are counted in `counts`.
    pub(crate) async fn start(
        addr: SocketAddr,
        limit: usize,
        router: Router,
        counts: Arc<ConnectionCounts>,
    ) -> Result<Self, Error> {
        let fail = |err| Error::Listen(addr, err);
        let listener = TcpListener::bind(addr).await.map_err(fail)?;
        let server = Self {
            addr: listener.local_addr().map_err(fail)?,
            abort: CancellationToken::new(),
            drain: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        let acceptor = Acceptor {
            router,
            counts,
            permits: Arc::new(Semaphore::new(limit)),
            abort: server.abort.clone(),
            drain: server.drain.clone(),
            tasks: server.tasks.clone(),
        };
        server.tasks.spawn(acceptor.run(listener));
        Ok(server)
    }

    /// Returns the address that the listener is bound to.
    pub(crate) const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops listening, completes the requests in flight and closes the connections.
    pub(crate) async fn shutdown(&self) {
        self.drain.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.abort.cancel();
    }
}

struct Acceptor {
    router: Router,
    counts: Arc<ConnectionCounts>,
    permits: Arc<Semaphore>,
    abort: CancellationToken,
    drain: CancellationToken,
    tasks: TaskTracker,
}

impl Acceptor {
    async fn run(self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                () = self.abort.cancelled() => return,
                () = self.drain.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            match self.permits.clone().try_acquire_owned() {
                Ok(permit) => self.spawn(stream, permit),
                Err(_) => {
                    self.counts.refused.fetch_add(1, Relaxed);
                }
            }
        }
    }

    fn spawn(&self, stream: TcpStream, permit: OwnedSemaphorePermit) {
        let open = self.counts.open.fetch_add(1, Relaxed) + 1;
        self.counts.peak.fetch_max(open, Relaxed);
        let router = self.router.clone();
        let counts = self.counts.clone();
        let abort = self.abort.clone();
        let drain = self.drain.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = abort.cancelled() => {}
                () = handle_connection(stream, router, drain) => {}
            }
            counts.open.fetch_sub(1, Relaxed);
            drop(permit);
        });
    }
}

/// Serves one connection until it ends.
///
/// Errors are ignored, since the peer or an injected fault causes them.
async fn handle_connection(stream: TcpStream, router: Router, drain: CancellationToken) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|request: http::Request<Incoming>| {
        let router = router.clone();
        async move {
            let Ok(answer) = router.oneshot(request.map(Body::new)).await;
            match answer.extensions().get::<AbortMarker>() {
                Some(AbortMarker) => Err(AbortError::InjectedFault),
                None => Ok(answer),
            }
        }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = pin!(conn);
    tokio::select! {
        _ = conn.as_mut() => return,
        () = drain.cancelled() => conn.as_mut().graceful_shutdown(),
    }
    let _ = conn.await;
}
