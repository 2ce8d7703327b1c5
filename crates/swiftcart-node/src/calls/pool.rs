//! Pool of keep-alive connections to one address, with a maximum size.

use std::future::pending;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::HeaderValue;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::conn::{Conn, OpenError};

/// Pool of connections to one peer or backend server.
///
/// Each connection in use holds a permit. A new connection is opened only when no idle connection
/// can carry the request. The connections in use and the idle ones together never exceed the bound.
#[derive(Debug)]
pub struct Pool {
    addr: SocketAddr,
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<Conn>>,
    max_idle: usize,
    idle_time: Duration,
    connect_time: Duration,
    /// Token that is cancelled when the process at the address has ended and lost its requests.
    ended: Option<CancellationToken>,
}

/// Result of a probe of an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// The connection was refused: no process listens at the address.
    Refused,
    /// The connection was accepted, or the probe was inconclusive.
    NotRefused,
}

/// Connection in use.
#[derive(Debug)]
pub struct Pooled {
    conn: Conn,
    reused: bool,
    pool: Arc<Pool>,
    _permit: OwnedSemaphorePermit,
}

impl Pool {
    /// Creates a pool of at most `bound` connections.
    ///
    /// Connecting fails after `connect_time`. A connection that is idle for `idle_time` is closed.
    #[must_use]
    pub fn new(
        addr: SocketAddr,
        bound: usize,
        idle_time: Duration,
        connect_time: Duration,
    ) -> Self {
        Self {
            addr,
            permits: Arc::new(Semaphore::new(bound.min(Semaphore::MAX_PERMITS))),
            idle: Mutex::default(),
            max_idle: bound,
            idle_time,
            connect_time,
            ended: None,
        }
    }

    /// Enables [`end`](Self::end) to fail requests that wait for a response.
    #[must_use]
    pub fn with_end_signal(mut self) -> Self {
        self.ended = Some(CancellationToken::new());
        self
    }

    /// Closes the idle connections and fails the requests that wait for a response.
    pub fn end(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.clear();
        drop(idle);
        if let Some(ended) = &self.ended {
            ended.cancel();
        }
    }

    /// Waits until [`end`](Self::end) is called; never returns without
    /// [`with_end_signal`](Self::with_end_signal).
    pub async fn ended(&self) {
        match &self.ended {
            Some(ended) => ended.cancelled().await,
            None => pending().await,
        }
    }

    /// Sets the maximum number of idle connections to `max_idle`.
    #[must_use]
    pub fn with_max_idle(mut self, max_idle: usize) -> Self {
        self.max_idle = max_idle.min(self.max_idle);
        self
    }

    /// Takes an idle connection that can carry the request with this id, or opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection could be opened.
    pub async fn take(self: &Arc<Self>, id: &HeaderValue) -> Result<Pooled, OpenError> {
        let permit = Arc::clone(&self.permits).acquire_owned().await;
        let permit = permit.map_err(|_| OpenError::TimedOut)?;
        let (conn, reused) = match self.reuse(id) {
            Some(conn) => (conn, true),
            None => {
                self.make_room();
                (Conn::open(self.addr, self.connect_time).await?, false)
            }
        };
        Ok(Pooled {
            conn,
            reused,
            pool: Arc::clone(self),
            _permit: permit,
        })
    }

    /// Opens a connection within `limit` to check that a process listens at the address.
    ///
    /// The connection is kept for the next request. While all connections are in use, no check is
    /// made and the result is [`ProbeResult::NotRefused`].
    pub async fn probe(&self, limit: Duration) -> ProbeResult {
        let Ok(_permit) = self.permits.try_acquire() else {
            return ProbeResult::NotRefused;
        };
        match Conn::open(self.addr, limit).await {
            Ok(conn) => {
                self.put(conn);
                ProbeResult::NotRefused
            }
            Err(OpenError::Connect(err)) if err.kind() == ErrorKind::ConnectionRefused => {
                ProbeResult::Refused
            }
            Err(_) => ProbeResult::NotRefused,
        }
    }

    /// Closes the connections that were idle for too long or have ended.
    ///
    /// Returns `true` if no idle connection is left.
    pub fn sweep(&self, now: Instant) -> bool {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain_mut(|conn| !self.is_stale(conn, now) && conn.check());
        idle.is_empty()
    }

    fn reuse(&self, id: &HeaderValue) -> Option<Conn> {
        let now = Instant::now();
        loop {
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            let latest = idle.iter().rposition(|conn| conn.may_carry(id))?;
            let mut conn = idle.remove(latest);
            drop(idle);
            if !self.is_stale(&conn, now) && conn.check() {
                return Some(conn);
            }
        }
    }

    /// Closes the longest idle connections that have no permit left beside those in use.
    fn make_room(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let excess = idle.len().saturating_sub(self.permits.available_permits());
        idle.drain(..excess);
    }

    fn put(&self, mut conn: Conn) {
        conn.touch();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < self.max_idle {
            idle.push(conn);
        }
    }

    fn is_stale(&self, conn: &Conn, now: Instant) -> bool {
        now.checked_sub(self.idle_time)
            .is_some_and(|then| conn.used_before(then))
    }
}

impl Pooled {
    /// Returns the connection.
    pub const fn conn(&mut self) -> &mut Conn {
        &mut self.conn
    }

    /// Returns `true` if the connection has served an earlier request.
    #[must_use]
    pub const fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns the connection to the pool if it can take another request, and closes it otherwise.
    pub fn finish(mut self) {
        if self.conn.check() {
            self.pool.put(self.conn);
        }
    }
}
