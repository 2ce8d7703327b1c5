//! The way to a platform: HTTP calls over kept connections, each within a bound of time and bytes.

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
const MAX_IDLE: usize = 4;
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3600);

/// How long a connection is silent before the other side is probed. A long poll is silent by
/// nature, and a reader that is cut off has to notice within a second or so.
const KEEPALIVE_AFTER: Duration = Duration::from_secs(1);
/// The time between two probes.
const KEEPALIVE_EVERY: Duration = Duration::from_secs(1);
/// Probes without an answer after which the connection is given up.
const KEEPALIVE_PROBES: u32 = 2;

/// Calls a platform; a clone shares its connections.
#[derive(Debug, Clone)]
pub struct Transport {
    addr: SocketAddr,
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Bounds one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallBounds {
    /// The status of a call that succeeded.
    pub expected: StatusCode,
    /// The largest answer, in bytes.
    pub bytes: usize,
    /// How long the platform may hold the call before it answers.
    pub held: Duration,
}

/// Separates an answer over its bound, which means different things to a reader and an appender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The call failed.
    Failed(PlatformError),
    /// The call succeeded and its answer is larger than the bound.
    Oversized,
}

impl Transport {
    /// Creates the way to the platform at `addr`; it connects when first used.
    #[must_use]
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_keepalive(Some(KEEPALIVE_AFTER));
        connector.set_keepalive_interval(Some(KEEPALIVE_EVERY));
        connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE)
            .build(connector);
        Self {
            addr,
            timeout,
            client,
        }
    }

    /// Sets the time that one call may take; what the platform may hold it comes on top.
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

    /// Makes one call and returns the whole body of its answer.
    ///
    /// # Errors
    ///
    /// Why the call failed, or that its answer is too large.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        bounds: CallBounds,
    ) -> Result<Bytes, CallError> {
        let limit = self.timeout.saturating_add(bounds.held);
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
            status if status == bounds.expected => collect(response, bounds.bytes).await,
            status => Err(CallError::Failed(refusal(status, response.headers()))),
        }
    }
}

async fn collect(response: Response<Incoming>, bound: usize) -> Result<Bytes, CallError> {
    let body = response.into_body();
    if body.size_hint().lower() > bound as u64 {
        return Err(CallError::Oversized);
    }
    match Limited::new(body, bound).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(CallError::Oversized),
        Err(_) => Err(CallError::Failed(PlatformError::Broken)),
    }
}

fn refusal(status: StatusCode, headers: &HeaderMap) -> PlatformError {
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
