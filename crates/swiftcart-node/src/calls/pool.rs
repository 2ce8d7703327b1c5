//! Connections to one address, kept open between requests and bounded in number.

use std::future::pending;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::conn::{Conn, OpenError};

/// Connections to one peer or backend server.
///
/// A permit stands for a connection in use. A new connection opens only when no
/// unused one is left, so that those in use and unused together never exceed the
/// bound.
#[derive(Debug)]
pub struct Pool {
    addr: SocketAddr,
    permits: Arc<Semaphore>,
    idle: Mutex<Vec<Conn>>,
    kept: usize,
    idle_time: Duration,
    connect_time: Duration,
    /// Cancelled when whoever is at the address has lost what it was given.
    ended: Option<CancellationToken>,
}

/// Tells what a look at an address has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    /// Nobody listens there.
    Nobody,
    /// Somebody took the connection, or nothing can be said.
    Somebody,
}

/// A connection in use.
#[derive(Debug)]
pub struct Pooled {
    conn: Conn,
    reused: bool,
    pool: Arc<Pool>,
    _permit: OwnedSemaphorePermit,
}

impl Pool {
    /// Creates a pool of at most `bound` connections that opens each within `connect_time`
    /// and closes it when unused for `idle_time`.
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
            kept: bound,
            idle_time,
            connect_time,
            ended: None,
        }
    }

    /// Lets the pool be ended while requests wait for answers.
    #[must_use]
    pub fn with_end(mut self) -> Self {
        self.ended = Some(CancellationToken::new());
        self
    }

    /// Closes the unused connections and has those who wait for an answer give up.
    pub fn end(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.clear();
        drop(idle);
        if let Some(ended) = &self.ended {
            ended.cancel();
        }
    }

    /// Waits until the pool is ended.
    pub async fn ended(&self) {
        match &self.ended {
            Some(ended) => ended.cancelled().await,
            None => pending().await,
        }
    }

    /// Keeps at most `kept` unused connections.
    #[must_use]
    pub fn with_kept(mut self, kept: usize) -> Self {
        self.kept = kept.min(self.kept);
        self
    }

    /// Takes a connection, or opens one when no unused one is left.
    ///
    /// # Errors
    ///
    /// Returns why no connection opened.
    pub async fn take(self: &Arc<Self>) -> Result<Pooled, OpenError> {
        let permit = Arc::clone(&self.permits).acquire_owned().await;
        let permit = permit.map_err(|_| OpenError::TimedOut)?;
        let (conn, reused) = match self.reuse() {
            Some(conn) => (conn, true),
            None => (Conn::open(self.addr, self.connect_time).await?, false),
        };
        Ok(Pooled {
            conn,
            reused,
            pool: Arc::clone(self),
            _permit: permit,
        })
    }

    /// Looks for `limit` whether anybody listens at the address.
    ///
    /// The new connection serves the next request. While all connections are in use nothing is
    /// looked at.
    pub async fn probe(&self, limit: Duration) -> Found {
        let Ok(_permit) = self.permits.try_acquire() else {
            return Found::Somebody;
        };
        match Conn::open(self.addr, limit).await {
            Ok(conn) => {
                self.put(conn);
                Found::Somebody
            }
            Err(OpenError::Connect(err)) if err.kind() == ErrorKind::ConnectionRefused => {
                Found::Nobody
            }
            Err(_) => Found::Somebody,
        }
    }

    /// Closes the connections that were unused for too long or have ended.
    ///
    /// Returns whether the pool is empty then.
    pub fn sweep(&self, now: Instant) -> bool {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain_mut(|conn| !self.is_stale(conn, now) && conn.check());
        idle.is_empty()
    }

    fn reuse(&self) -> Option<Conn> {
        let now = Instant::now();
        loop {
            let mut conn = self
                .idle
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .pop()?;
            if !self.is_stale(&conn, now) && conn.check() {
                return Some(conn);
            }
        }
    }

    fn put(&self, mut conn: Conn) {
        conn.touch();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < self.kept {
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

    /// Tells whether the connection served another request before.
    #[must_use]
    pub const fn is_reused(&self) -> bool {
        self.reused
    }

    /// Gives the connection back when it can take another request, and closes it otherwise.
    pub fn finish(mut self) {
        if self.conn.check() {
            self.pool.put(self.conn);
        }
    }
}
