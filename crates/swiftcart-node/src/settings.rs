//! The settings of a node: one JSON file, checked as a whole before anything starts.
//!
//! Unknown keys and values out of range are refused with the file, the path of
//! the key, the value and the cure. Every default is stated at its field.

mod announcements;
mod check;
mod cold;
mod error;
mod gossip;
mod headers;
mod limits;
mod link;
mod load;
mod quotas;
mod retries;
mod rollouts;
mod stop;

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use swiftcart_core::{FailureDomain, Regions, ServiceName};

pub use announcements::Announcements;
pub use cold::Cold;
pub use error::SettingsError;
pub use gossip::Gossip;
pub use headers::{Headers, Name};
pub use limits::Limits;
pub use link::LinkSettings;
pub use quotas::Quotas;
pub use retries::Retries;
pub use rollouts::Rollouts;
pub use stop::Stop;

/// Holds the checked settings of one node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The failure domain of the instance.
    pub domain: FailureDomain,
    /// The region of each failure domain; default none: all are in one.
    #[serde(default)]
    pub regions: Regions,
    /// The addresses to listen on.
    pub listen: Listen,
    /// Datagram addresses of nodes to join through; default none.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The platform's log.
    pub platform: Platform,
    /// The key of the datagrams' tags, the same on every node.
    pub mesh_key: MeshKey,
    /// Bounds of the call path.
    #[serde(default)]
    pub limits: Limits,
    /// Timing of the membership protocol.
    #[serde(default)]
    pub gossip: Gossip,
    /// The log of events.
    #[serde(default)]
    pub log: Log,
    /// The service of the backend server beside the node, told to others as the caller's.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// The headers of callers and backend servers.
    #[serde(default)]
    pub headers: Headers,
    /// How backend servers that name themselves announce themselves.
    #[serde(default)]
    pub announcements: Announcements,
    /// The statuses of the answers that the node makes itself.
    #[serde(default)]
    pub answers: Answers,
    /// The instance's link.
    #[serde(default)]
    pub link: LinkSettings,
    /// The budget of retries that all nodes share; without one each node has its own.
    #[serde(default)]
    pub retries: Option<Retries>,
    /// What a new release gets before it is known to be good.
    #[serde(default)]
    pub rollouts: Rollouts,
    /// How far client accounts may lie beyond their quotas.
    #[serde(default)]
    pub quotas: Quotas,
    /// How far cold backend servers may be loaded.
    #[serde(default)]
    pub cold: Cold,
    /// How the node leaves.
    #[serde(default)]
    pub stop: Stop,
    /// Whether requests with an `Idempotency-Key` are claimed in the platform's log;
    /// default true. Without, the key is a header like any other.
    #[serde(default = "Settings::default_claims")]
    pub claims: bool,
    /// Whether the whole mesh starts for the first time, when no node knows any other and no
    /// configuration may be there yet; default false.
    #[serde(default)]
    pub first_start: bool,
    /// Threads that the node runs on; default 0: one for each processor.
    #[serde(default)]
    pub threads: u32,
}

impl Settings {
    const fn default_claims() -> bool {
        true
    }
}

/// Chooses the statuses of the answers that a node makes itself.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answers {
    /// Each reason has its own status.
    #[default]
    ByReason,
    /// 429, 503, 408 and 421 promise that the request has not run: what may be sent again
    /// is answered 503, what may have run 502 or 504. `Retry-After` has fractions.
    Promise,
}

/// Addresses that a node listens on; other nodes reach it at the same ones.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' requests (HTTP).
    pub calls: SocketAddr,
    /// Requests handed on by other nodes (HTTP).
    pub peer: SocketAddr,
    /// Operators, metrics and the backend server's announcement (HTTP).
    pub admin: SocketAddr,
    /// Membership datagrams (UDP); also the node's name.
    pub gossip: SocketAddr,
    /// State pulls of other nodes (length-prefixed frames over TCP).
    pub sync: SocketAddr,
    /// Further addresses that answer as `admin` does; default none.
    #[serde(default)]
    pub also: Vec<SocketAddr>,
}

/// Where and how the platform's log is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The log's address.
    pub addr: SocketAddr,
    /// Longest time for one request to the log, in milliseconds; default 2000.
    #[serde(default = "Platform::default_timeout")]
    pub timeout_ms: u64,
    /// How long the log keeps a record, in seconds; default 86400.
    #[serde(default = "Platform::default_retention")]
    pub retention_s: u64,
}

/// The key of the datagrams' tags; its text is never shown.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct MeshKey(String);

/// What is logged.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The least severe level that is written; default `info`.
    pub level: LogLevel,
}

/// Names the levels of the log, most severe first.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Only failures that need an operator.
    Error,
    /// Also what is degraded.
    Warning,
    /// Also changes of state.
    #[default]
    Info,
    /// Also single requests.
    Debug,
}

impl Platform {
    /// Returns the longest time for one request to the log.
    #[must_use]
    pub const fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    const fn default_timeout() -> u64 {
        2000
    }

    const fn default_retention() -> u64 {
        86_400
    }
}

impl MeshKey {
    /// The least number of characters of a key.
    pub const MIN_LEN: usize = 32;

    /// Creates a key; its length is checked with the other settings.
    #[must_use]
    pub fn new(key: impl Into<String>) -> Self {
        Self(key.into())
    }

    /// Returns the key's text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for MeshKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("MeshKey(..)")
    }
}
