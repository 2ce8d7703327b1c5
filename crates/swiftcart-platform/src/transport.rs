//! HTTP calls over pooled connections, each with a timeout and a limit on the response size.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderMap, RETRY_AFTER};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::timeout;

use crate::PlatformError;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Idle time after which a connection is not used again. It may have been lost without a reset.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3600);

/// Idle time of a connection before the first TCP keepalive probe.
///
/// A long poll carries no data while it waits, so only probes reveal a lost connection. A reader
/// has to notice the loss after about a second.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// HTTP transport to the platform. Clones share their connections.
#[derive(Debug, Clone)]
pub struct Transport {
    addr: SocketAddr,
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Expected status and limits of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallBounds {
    /// Status of a successful call.
    pub status: StatusCode,
    /// Maximum size of the response body, in bytes.
    pub max_bytes: usize,
    /// Time for which the platform may hold a long poll. It is added to the timeout.
    pub poll_wait: Duration,
}

/// Error of a call.
///
/// A response over its size limit is a case of its own, since it has different meanings for a read
/// and for an append.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The call failed.
    Failed(PlatformError),
    /// The call succeeded, but its response is larger than the limit.
    Oversized,
}

impl Transport {
    /// Creates a transport to the platform at `addr`. The first call opens a connection.
    #[must_use]
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_keepalive(Some(KEEPALIVE_IDLE));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build(connector);
        Self {
            addr,
            timeout,
            client,
        }
    }

    /// Sets the timeout of a call. [`CallBounds::poll_wait`] is added to the timeout.
    #[must_use]
    pub const fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Returns the platform's address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Makes one call and returns the complete body of the response.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Failed`] if the call failed, and [`CallError::Oversized`] if the
    /// response is larger than [`CallBounds::max_bytes`].
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        bounds: CallBounds,
    ) -> Result<Bytes, CallError> {
        let limit = self.timeout.saturating_add(bounds.poll_wait);
        match timeout(limit, self.exchange(request, bounds)).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Failed(PlatformError::Timeout)),
        }
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        bounds: CallBounds,
    ) -> Result<Bytes, CallError> {
        let response = self.client.request(request).await.map_err(|e| {
            CallError::Failed(match e.is_connect() {
                true => PlatformError::Connect,
                false => PlatformError::Broken,
            })
        })?;
        match response.status() {
            status if status == bounds.status => collect(response, bounds.max_bytes).await,
            status => Err(CallError::Failed(status_error(status, response.headers()))),
        }
    }
}

async fn collect(response: Response<Incoming>, max_bytes: usize) -> Result<Bytes, CallError> {
    let body = response.into_body();
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(CallError::Oversized);
    }
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(CallError::Oversized),
        Err(_) => Err(CallError::Failed(PlatformError::Broken)),
    }
}

fn status_error(status: StatusCode, headers: &HeaderMap) -> PlatformError {
    let retry_after = retry_after(headers);
    match status {
        StatusCode::SERVICE_UNAVAILABLE => PlatformError::Outage { retry_after },
        StatusCode::TOO_MANY_REQUESTS => PlatformError::Throttled { retry_after },
        StatusCode::PAYLOAD_TOO_LARGE => PlatformError::TooLarge,
        status => PlatformError::Refused {
            status: status.as_u16(),
        },
    }
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(RETRY_AFTER)?.to_str().ok()?;
    let secs = Duration::try_from_secs_f64(text.trim().parse().ok()?).ok()?;
    Some(secs.min(MAX_RETRY_AFTER))
}
