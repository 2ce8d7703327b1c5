//! The HTTP client that the stand-ins share.

use std::time::Duration;

use axum::body::Body;
use hyper_util::client::legacy::Client as Pooled;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// The error of a call that got no answer.
pub(crate) type Failure = hyper_util::client::legacy::Error;

/// A client that keeps connections open between calls.
pub(crate) type Client = Pooled<HttpConnector, Body>;

const IDLE: Duration = Duration::from_secs(20);

/// Creates a client that keeps at most `idle` unused connections to each address.
pub(crate) fn new(idle: usize) -> Client {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Pooled::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE)
        .pool_max_idle_per_host(idle)
        .build(connector)
}
