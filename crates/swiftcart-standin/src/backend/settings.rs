//! Settings of a backend server.

use std::net::SocketAddr;

use rand::Rng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

/// Distribution of the service time of a request, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceTime {
    /// Same time for every request.
    Fixed(f64),
    /// Exponentially distributed times with this mean.
    Exponential(f64),
}

impl ServiceTime {
    /// Samples the service time of a request in milliseconds.
    pub(super) fn sample(self, rng: &mut SmallRng) -> f64 {
        match self {
            Self::Fixed(ms) => ms,
            Self::Exponential(mean) => -mean * (1.0 - rng.random::<f64>()).ln(),
        }
    }
}

/// Settings of a backend server; all of them have defaults.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendSettings {
    /// Name of the service that the backend server belongs to.
    pub service: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of requests that wait for a slot; further requests are rejected with 503.
    pub queue: u32,
    /// Maximum number of open connections; further connections are closed at once.
    pub connections: u32,
    /// Service time of a request.
    pub service_time: ServiceTime,
    /// Random seed of the service times.
    pub seed: u64,
    /// Duration of the cold start in milliseconds, during which `warming` is announced.
    pub warming_ms: u64,
    /// Factor applied to the service time during the cold start.
    pub warming_factor: f64,
    /// Maximum age of the health reported at `/health`, in milliseconds.
    pub health_lag_ms: u64,
    /// Maximum age of the load reported at `/load`, in milliseconds.
    pub load_lag_ms: u64,
    /// Admin address of the node beside the backend server; without it nothing is announced.
    pub admin: Option<SocketAddr>,
    /// Validity of an announcement in milliseconds.
    ///
    /// The announcement is repeated three times per validity period.
    pub ttl_ms: u64,
    /// Id under which the backend server announces itself with its start time.
    ///
    /// Without an id, announcements contain neither.
    pub id: Option<String>,
    /// Failure domain in announcements under an id.
    pub domain: String,
    /// Address at which its node accepts requests of callers; used for the calls of `downstream`.
    pub node: Option<SocketAddr>,
    /// Paths that every request calls one after the other through `node`.
    pub downstream: Vec<String>,
}

impl BackendSettings {
    /// Creates the settings of a backend server for `service`: 10 slots, no queue,
    /// 130 connections, no service time.
    #[must_use]
    pub fn new(service: impl Into<String>) -> Self {
        Self {
            service: service.into(),
            slots: 10,
            queue: 0,
            connections: 130,
            service_time: ServiceTime::Fixed(0.0),
            seed: 1,
            warming_ms: 0,
            warming_factor: 1.0,
            health_lag_ms: 0,
            load_lag_ms: 0,
            admin: None,
            ttl_ms: 3000,
            id: None,
            domain: String::new(),
            node: None,
            downstream: Vec::new(),
        }
    }

    /// Sets the maximum number of concurrent requests.
    #[must_use]
    pub const fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the maximum number of requests that wait for a slot.
    #[must_use]
    pub const fn with_queue(mut self, queue: u32) -> Self {
        self.queue = queue;
        self
    }

    /// Sets the maximum number of open connections.
    #[must_use]
    pub const fn with_connections(mut self, connections: u32) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the service time of a request.
    #[must_use]
    pub const fn with_service_time(mut self, time: ServiceTime) -> Self {
        self.service_time = time;
        self
    }

    /// Sets the duration of the cold start in milliseconds and its factor on the service time.
    #[must_use]
    pub const fn with_warming(mut self, ms: u64, factor: f64) -> Self {
        self.warming_ms = ms;
        self.warming_factor = factor;
        self
    }

    /// Sets the maximum age of the values reported at `/health` and `/load`, in milliseconds.
    #[must_use]
    pub const fn with_lag_ms(mut self, lag: u64) -> Self {
        self.health_lag_ms = lag;
        self.load_lag_ms = lag;
        self
    }

    /// Sets the random seed of the service times.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the admin address of the node that receives the announcements.
    #[must_use]
    pub const fn with_admin(mut self, admin: SocketAddr) -> Self {
        self.admin = Some(admin);
        self
    }

    /// Sets the validity of an announcement in milliseconds.
    #[must_use]
    pub const fn with_ttl_ms(mut self, ttl: u64) -> Self {
        self.ttl_ms = ttl;
        self
    }

    /// Sets the id and the failure domain in announcements.
    #[must_use]
    pub fn with_id(mut self, id: impl Into<String>, domain: impl Into<String>) -> Self {
        self.id = Some(id.into());
        self.domain = domain.into();
        self
    }

    /// Sets the address of the node and adds a path that every request calls through it.
    #[must_use]
    pub fn with_downstream(mut self, node: SocketAddr, path: impl Into<String>) -> Self {
        self.node = Some(node);
        self.downstream.push(path.into());
        self
    }
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self::new("standin")
    }
}
