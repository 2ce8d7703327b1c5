//! HTTP client shared by the stand-ins.

use std::time::Duration;

use axum::body::Body;
use hyper_util::client::legacy::Client as PooledClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Error of a call that received no response.
pub(crate) type CallError = hyper_util::client::legacy::Error;

/// HTTP client with a connection pool.
pub(crate) type Client = PooledClient<HttpConnector, Body>;

const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Creates a client that keeps at most `max_idle` idle connections per address.
pub(crate) fn new(max_idle: usize) -> Client {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    PooledClient::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .build(connector)
}
