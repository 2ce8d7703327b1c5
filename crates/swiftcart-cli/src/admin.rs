//! HTTP client for the admin addresses of nodes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{StatusCode, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use quick_error::quick_error;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use swiftcart_core::{FailureDomain, Member, NodeId, Version};
use tokio::time::timeout;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

quick_error! {
    /// Failure of a request to a node's admin address.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
    pub enum AdminError {
        /// The node cannot be reached or did not answer in time.
        Unreachable {
            display("unreachable")
        }
        /// The response is not that of a node of this release.
        Malformed {
            display("gave an unexpected response")
        }
    }
}

/// State that a node reports of itself. Unknown fields, which later releases may add, are ignored.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct NodeState {
    /// Id of the node.
    pub id: NodeId,
    /// Failure domain of the node.
    pub domain: FailureDomain,
    /// Version of the table that the node has applied.
    pub version: Version,
    /// `true` if the node accepts requests.
    pub ready: bool,
    /// Explanation of `ready`, if the node gives one.
    pub reason: Option<String>,
    /// Rule of the record at which the node has stalled, since it does not know the rule.
    pub stalled_rule: Option<u16>,
}

/// Client for the admin addresses. Clones share their connections.
#[derive(Debug, Clone)]
pub struct AdminClient {
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl Default for AdminClient {
    fn default() -> Self {
        Self::new()
    }
}

impl AdminClient {
    /// Creates a client that connects on the first request.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(1)
            .build(connector);
        Self { client }
    }

    /// Fetches the membership list of the node at `addr`.
    ///
    /// # Errors
    ///
    /// [`AdminError`] if the node gave no valid answer.
    pub async fn members(&self, addr: SocketAddr) -> Result<Vec<Member>, AdminError> {
        self.query(addr, "/v1/members").await
    }

    /// Fetches the state of the node at `addr`.
    ///
    /// # Errors
    ///
    /// [`AdminError`] if the node gave no valid answer.
    pub async fn state(&self, addr: SocketAddr) -> Result<NodeState, AdminError> {
        self.query(addr, "/v1/state").await
    }

    async fn query<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T, AdminError> {
        let uri = format!("http://{addr}{path}");
        let uri = uri.parse().map_err(|_| AdminError::Unreachable)?;
        let bytes = timeout(REQUEST_TIMEOUT, self.fetch(uri)).await;
        let bytes = bytes.map_err(|_| AdminError::Unreachable)??;
        serde_json::from_slice(&bytes).map_err(|_| AdminError::Malformed)
    }

    async fn fetch(&self, uri: Uri) -> Result<Bytes, AdminError> {
        let answer = self.client.get(uri).await;
        let answer = answer.map_err(|_| AdminError::Unreachable)?;
        match answer.status() {
            StatusCode::OK => {}
            _ => return Err(AdminError::Malformed),
        }
        let body = Limited::new(answer.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await;
        body.map(http_body_util::Collected::to_bytes)
            .map_err(|_| AdminError::Malformed)
    }
}
