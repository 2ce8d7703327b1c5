//! Asks nodes on their admin addresses.

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
    /// Tells why a node gave no answer.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
    pub enum AdminError {
        /// The node cannot be reached, or not in time.
        Unreachable {
            display("unreachable")
        }
        /// The answer is another one than a node gives.
        Malformed {
            display("answers otherwise than a node of this release")
        }
    }
}

/// Holds what a node says of itself; fields of later releases are skipped.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct NodeState {
    /// The node.
    pub id: NodeId,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// The version that it applied.
    pub version: Version,
    /// Whether it takes requests.
    pub ready: bool,
    /// Why it does not.
    pub reason: Option<String>,
    /// The rule of the record before which it stands still.
    pub stalled_rule: Option<u16>,
}

/// Asks nodes; a clone shares its connections.
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
    /// Creates a client; it connects when first used.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(1)
            .build(connector);
        Self { client }
    }

    /// Asks the node at `addr` for all members that it knows.
    ///
    /// # Errors
    ///
    /// The node gave no answer.
    pub async fn members(&self, addr: SocketAddr) -> Result<Vec<Member>, AdminError> {
        self.query(addr, "/v1/members").await
    }

    /// Asks the node at `addr` for its own state.
    ///
    /// # Errors
    ///
    /// The node gave no answer.
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
