//! Accepts connections for a stand-in's router, with a bound and with ways to break them.

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

/// Pause after a failed accept, which mostly means that file descriptors have run out.
const PAUSE: Duration = Duration::from_millis(10);

quick_error! {
    /// Ends a connection in place of an answer.
    #[derive(Debug)]
    pub enum Broken {
        /// The stand-in plays a lost answer or a closed connection.
        ByFault {
            display("connection broken by a fault of the stand-in")
        }
    }
}

/// Marks an answer that must not be sent: its connection is closed instead.
#[derive(Debug, Clone, Copy)]
struct Break;

/// Returns the answer that closes its connection without a byte being sent.
pub(crate) fn broken() -> Response {
    let mut answer = Response::new(Body::empty());
    answer.extensions_mut().insert(Break);
    answer
}

/// Counts connections.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    open: AtomicU64,
    most: AtomicU64,
    refused: AtomicU64,
}

impl Connections {
    /// Returns the connections open now.
    pub(crate) fn open(&self) -> u64 {
        self.open.load(Relaxed)
    }

    /// Returns the most connections that were open at once.
    pub(crate) fn most(&self) -> u64 {
        self.most.load(Relaxed)
    }

    /// Returns the connections closed at once because of the bound.
    pub(crate) fn refused(&self) -> u64 {
        self.refused.load(Relaxed)
    }
}

/// A listener and its connections; dropping it closes all of them.
#[derive(Debug)]
pub(crate) struct Server {
    addr: SocketAddr,
    quit: CancellationToken,
    drain: CancellationToken,
    tasks: TaskTracker,
}

impl Server {
    /// Listens on `addr` and serves `router` on at most `limit` connections, counted in `counts`.
    pub(crate) async fn start(
        addr: SocketAddr,
        limit: usize,
        router: Router,
        counts: Arc<Connections>,
    ) -> Result<Self, Error> {
        let fail = |err| Error::Listen(addr, err);
        let listener = TcpListener::bind(addr).await.map_err(fail)?;
        let server = Self {
            addr: listener.local_addr().map_err(fail)?,
            quit: CancellationToken::new(),
            drain: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        let acceptor = Acceptor {
            router,
            counts,
            room: Arc::new(Semaphore::new(limit)),
            quit: server.quit.clone(),
            drain: server.drain.clone(),
            tasks: server.tasks.clone(),
        };
        server.tasks.spawn(acceptor.run(listener));
        Ok(server)
    }

    /// Returns the address that the listener got.
    pub(crate) const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops listening, finishes the requests in flight and closes the connections.
    pub(crate) async fn shutdown(&self) {
        self.drain.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.quit.cancel();
    }
}

struct Acceptor {
    router: Router,
    counts: Arc<Connections>,
    room: Arc<Semaphore>,
    quit: CancellationToken,
    drain: CancellationToken,
    tasks: TaskTracker,
}

impl Acceptor {
    async fn run(self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                () = self.quit.cancelled() => return,
                () = self.drain.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                sleep(PAUSE).await;
                continue;
            };
            match self.room.clone().try_acquire_owned() {
                Ok(permit) => self.spawn(stream, permit),
                Err(_) => {
                    self.counts.refused.fetch_add(1, Relaxed);
                }
            }
        }
    }

    fn spawn(&self, stream: TcpStream, permit: OwnedSemaphorePermit) {
        let open = self.counts.open.fetch_add(1, Relaxed) + 1;
        self.counts.most.fetch_max(open, Relaxed);
        let router = self.router.clone();
        let counts = self.counts.clone();
        let quit = self.quit.clone();
        let drain = self.drain.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = quit.cancelled() => {}
                () = connection(stream, router, drain) => {}
            }
            counts.open.fetch_sub(1, Relaxed);
            drop(permit);
        });
    }
}

/// Serves one connection; the errors that end it are the peer's or a fault's.
async fn connection(stream: TcpStream, router: Router, drain: CancellationToken) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|request: http::Request<Incoming>| {
        let router = router.clone();
        async move {
            let Ok(answer) = router.oneshot(request.map(Body::new)).await;
            match answer.extensions().get::<Break>() {
                Some(Break) => Err(Broken::ByFault),
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
