//! Nodes, their backend servers, and the member list entry of a node.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Pace, ServiceName};

/// Identifier of a node: the address of its membership datagrams, which survives a restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeId(pub SocketAddr);

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Name of a failure domain, for example `norte`.
#[derive(Debug, Default, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FailureDomain(pub String);

impl FailureDomain {
    /// Creates a failure domain from its name.
    #[must_use]
    pub fn new(name: impl Into<String>) -> Self {
        Self(name.into())
    }
}

impl Liveness {
    /// Returns `true` if the node is alive or suspected.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

impl fmt::Display for FailureDomain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Incarnation number, which orders the updates about one node; greater is newer.
///
/// A process starts with its wall clock in milliseconds. If its peers remember a greater
/// incarnation of an earlier process, it continues above that one.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Liveness of a node; at equal incarnation, a later variant takes precedence.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// The node answers probes.
    #[default]
    Alive,
    /// The node missed a probe and can still refute the suspicion.
    Suspect,
    /// The suspicion was not refuted in time.
    Dead,
    /// The node left the mesh when it stopped.
    Left,
}

/// Readiness of a backend server to take new requests.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Readiness {
    /// The backend server is starting and takes no requests yet.
    Warming,
    /// The backend server takes requests.
    #[default]
    Ready,
    /// The backend server finishes its in-flight requests and takes no new ones.
    Draining,
    /// The backend server takes a small share of the requests, since its release is a canary. Only
    /// nodes send this value; nodes of the previous release drop messages that they cannot decode.
    OnTrial,
}

/// Description of a backend server, as it announces itself to its node.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// Address at which the node reaches the backend server.
    pub addr: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
    /// Readiness to take new requests.
    pub readiness: Readiness,
}

/// Member list entry of one node.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Identifier of the node, and its address for membership datagrams (UDP).
    pub id: NodeId,
    /// Address at which the node serves state pulls (TCP).
    pub sync: SocketAddr,
    /// Address at which other nodes send requests for its backend server (HTTP).
    pub peer: SocketAddr,
    /// Address at which operators read its state (HTTP).
    pub admin: SocketAddr,
    /// Failure domain of the node.
    pub domain: FailureDomain,
    /// Incarnation of the node; a greater one supersedes this entry.
    pub incarnation: Incarnation,
    /// Liveness of the node, as far as known.
    pub liveness: Liveness,
    /// Backend server of the node, if one has announced itself.
    pub backend: Option<Backend>,
    /// Pace of the backend server's calls, if known; small changes are not announced.
    pub pace: Option<Pace>,
}

impl Member {
    /// Creates the entry of a live node whose addresses all equal its identifier.
    #[must_use]
    pub const fn new(id: NodeId, domain: FailureDomain, incarnation: Incarnation) -> Self {
        Self {
            id,
            sync: id.0,
            peer: id.0,
            admin: id.0,
            domain,
            incarnation,
            liveness: Liveness::Alive,
            backend: None,
            pace: None,
        }
    }

    /// Sets the address at which the node serves state pulls.
    #[must_use]
    pub const fn with_sync(mut self, addr: SocketAddr) -> Self {
        self.sync = addr;
        self
    }

    /// Sets the address at which the node takes requests from other nodes.
    #[must_use]
    pub const fn with_peer(mut self, addr: SocketAddr) -> Self {
        self.peer = addr;
        self
    }

    /// Sets the address at which operators read the state of the node.
    #[must_use]
    pub const fn with_admin(mut self, addr: SocketAddr) -> Self {
        self.admin = addr;
        self
    }
}
