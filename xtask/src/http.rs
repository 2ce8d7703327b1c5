//! HTTP client for the nodes' admin addresses and the stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::Error;

/// Timeout of a request, including its response body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP client; clones share a connection pool.
#[derive(Debug, Clone)]
pub struct Client {
    inner: hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client with an empty connection pool.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let builder = hyper_util::client::legacy::Client::builder(TokioExecutor::new());
        Self {
            inner: builder.build(connector),
        }
    }

    /// Returns the body of a successful `GET`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Http`] when there is no response or its status is not a success.
    pub async fn text(&self, addr: SocketAddr, path: &str) -> Result<String, Error> {
        let (status, body) = self.call(Method::GET, addr, path, Bytes::new()).await?;
        match status.is_success() {
            true => Ok(String::from_utf8_lossy(&body).into_owned()),
            false => Err(Error::Http(addr, path.to_owned(), status.to_string())),
        }
    }

    /// Returns the JSON body of a successful `GET`, deserialized.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Http`] when there is no successful response or its body cannot be
    /// deserialized.
    pub async fn json<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T, Error> {
        let text = self.text(addr, path).await?;
        let failed = |e: serde_json::Error| Error::Http(addr, path.to_owned(), e.to_string());
        serde_json::from_str(&text).map_err(failed)
    }

    /// Sends `value` as JSON in a `PUT` request.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Http`] when there is no response or its status is not a success.
    pub async fn put<T: Serialize>(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &T,
    ) -> Result<(), Error> {
        let failed = |cause: String| Error::Http(addr, path.to_owned(), cause);
        let body = serde_json::to_vec(value).map_err(|e| failed(e.to_string()))?;
        let (status, _) = self.call(Method::PUT, addr, path, body.into()).await?;
        match status.is_success() {
            true => Ok(()),
            false => Err(failed(status.to_string())),
        }
    }

    async fn call(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), Error> {
        let failed = |cause: String| Error::Http(addr, path.to_owned(), cause);
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|e| failed(e.to_string()))?;
        let response = async {
            let response = self.inner.request(request).await;
            let response = response.map_err(|e| failed(e.to_string()))?;
            let status = response.status();
            let body = response.into_body().collect().await;
            let body = body.map_err(|e| failed(e.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        let timed_out = |_| failed(format!("no response within {REQUEST_TIMEOUT:?}"));
        timeout(REQUEST_TIMEOUT, response)
            .await
            .map_err(timed_out)?
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}
