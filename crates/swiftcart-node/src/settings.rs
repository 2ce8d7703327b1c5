//! Settings of a node: one JSON file, which is validated completely before the node starts.
//!
//! Errors for unknown keys and values out of range name the file, the path of the key, the value
//! and the fix. Each field documents its default.

mod announcements;
mod check;
mod cold;
mod error;
mod gossip;
mod headers;
mod limits;
mod link;
mod load;
mod overload;
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
pub use overload::{Overload, OverloadTrigger};
pub use quotas::Quotas;
pub use retries::Retries;
pub use rollouts::Rollouts;
pub use stop::Stop;

/// Validated settings of one node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Failure domain of the instance.
    pub domain: FailureDomain,
    /// Region of each failure domain; default none: all failure domains are in one region.
    #[serde(default)]
    pub regions: Regions,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Gossip addresses of nodes through which to join the mesh; default none.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Log of the platform.
    pub platform: Platform,
    /// Key that authenticates datagrams, the same on every node.
    pub mesh_key: MeshKey,
    /// Limits of the call path.
    #[serde(default)]
    pub limits: Limits,
    /// Timing of the membership protocol.
    #[serde(default)]
    pub gossip: Gossip,
    /// Event log.
    #[serde(default)]
    pub log: Log,
    /// Service of the local backend server, sent with its calls as the service of the caller.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Header names of callers and backend servers.
    #[serde(default)]
    pub headers: Headers,
    /// Format of announcements of backend servers that have ids of their own.
    #[serde(default)]
    pub announcements: Announcements,
    /// Status codes of responses that the node generates itself.
    #[serde(default)]
    pub answers: Answers,
    /// Egress link of the instance.
    #[serde(default)]
    pub link: LinkSettings,
    /// Retry budget that all nodes share; default none: each node has a budget of its own.
    #[serde(default)]
    pub retries: Option<Retries>,
    /// Limits for requests to a new release during its trial.
    #[serde(default)]
    pub rollouts: Rollouts,
    /// Tolerance by which client accounts may exceed their quotas.
    #[serde(default)]
    pub quotas: Quotas,
    /// Conditions under which overload of a service is decided at the ingress.
    #[serde(default)]
    pub overload: Overload,
    /// Limits for the load of cold backend servers.
    #[serde(default)]
    pub cold: Cold,
    /// Graceful shutdown of the node.
    #[serde(default)]
    pub stop: Stop,
    /// Enables claims in the platform's log for requests with an `Idempotency-Key`; default true.
    /// Without claims, the key is an ordinary header.
    #[serde(default = "Settings::default_claims")]
    pub claims: bool,
    /// Set if the whole mesh starts for the first time; default false. No node knows another one
    /// then, and there may be no configuration yet.
    #[serde(default)]
    pub first_start: bool,
    /// Number of worker threads; default 0: one for each processor.
    #[serde(default)]
    pub threads: u32,
}

impl Settings {
    const fn default_claims() -> bool {
        true
    }
}

/// Scheme of the status codes of responses that a node generates itself.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answers {
    /// Each reason has its own status code.
    #[default]
    ByReason,
    /// The status codes 429, 503, 408 and 421 guarantee that the request has not run. Requests that
    /// can be sent again get 503, and requests that may have run get 502 or 504. `Retry-After` has
    /// fractions of seconds.
    Promise,
}

/// Addresses on which a node listens. Other nodes reach it at the same addresses.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for requests of callers (HTTP).
    pub calls: SocketAddr,
    /// Address for requests forwarded by other nodes (HTTP).
    pub peer: SocketAddr,
    /// Address for operators, metrics and announcements of the backend server (HTTP).
    pub admin: SocketAddr,
    /// Address for membership datagrams (UDP), which is also the id of the node.
    pub gossip: SocketAddr,
    /// Address for state pulls of other nodes (length-prefixed frames over TCP).
    pub sync: SocketAddr,
    /// Further addresses for the same service as on `admin`; default none.
    #[serde(default)]
    pub also: Vec<SocketAddr>,
}

/// Connection to the log of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the log.
    pub addr: SocketAddr,
    /// Timeout of one request to the log, in milliseconds; default 2000.
    #[serde(default = "Platform::default_timeout")]
    pub timeout_ms: u64,
    /// Retention time of records in the log, in seconds; default 86400.
    #[serde(default = "Platform::default_retention")]
    pub retention_s: u64,
}

/// Key that authenticates datagrams. Its text is never printed.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct MeshKey(String);

/// Settings of the event log.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Least severe level that is logged; default `info`.
    pub level: LogLevel,
}

/// Log levels, most severe first.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Also degraded operation.
    Warning,
    /// Also state changes.
    #[default]
    Info,
    /// Also single requests.
    Debug,
}

impl Platform {
    /// Returns the timeout of one request to the log.
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
    /// Minimum length of a key, in bytes.
    pub const MIN_LEN: usize = 32;

    /// Creates a key. Its length is checked with the other settings.
    #[must_use]
    pub fn new(key: impl Into<String>) -> Self {
        Self(key.into())
    }

    /// Returns the text of the key.
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
