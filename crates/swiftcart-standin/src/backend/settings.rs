//! What a backend server is like when no fault is in force.

use std::net::SocketAddr;

use rand::Rng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

/// Tells how long one request takes, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceTime {
    /// Every request takes as long.
    Fixed(f64),
    /// Times are exponentially distributed around this mean.
    Exponential(f64),
}

impl ServiceTime {
    /// Draws the time of one request.
    pub(super) fn sample(self, rng: &mut SmallRng) -> f64 {
        match self {
            Self::Fixed(ms) => ms,
            Self::Exponential(mean) => -mean * (1.0 - rng.random::<f64>()).ln(),
        }
    }
}

/// Holds a backend server's settings; all have defaults.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendSettings {
    /// The service that it belongs to.
    pub service: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Requests beyond the slots that wait inside; those beyond get 503.
    pub queue: u32,
    /// Connections that it accepts; those beyond are closed at once.
    pub connections: u32,
    /// How long one request takes.
    pub service_time: ServiceTime,
    /// Seed of the service times.
    pub seed: u64,
    /// Cold start: the time after the start during which it announces `warming`.
    pub warming_ms: u64,
    /// Factor on the service time during the cold start.
    pub warming_factor: f64,
    /// `/health` answers a state that is up to this old.
    pub health_lag_ms: u64,
    /// `/load` answers a load that is up to this old.
    pub load_lag_ms: u64,
    /// The admin address of the node beside it, to announce itself.
    pub admin: Option<SocketAddr>,
    /// How long an announcement is valid; it is repeated three times as often.
    pub ttl_ms: u64,
    /// The id under which it announces itself, with its start; without one it has no name.
    pub id: Option<String>,
    /// The failure domain that announcements under an id name.
    pub domain: String,
    /// The callers' address of its own node, for the calls of `downstream`.
    pub node: Option<SocketAddr>,
    /// Paths that every request calls in turn through `node`.
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

    /// Sets the requests that it works on at once.
    #[must_use]
    pub const fn with_slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets how many requests beyond the slots wait inside.
    #[must_use]
    pub const fn with_queue(mut self, queue: u32) -> Self {
        self.queue = queue;
        self
    }

    /// Sets the connections that it accepts.
    #[must_use]
    pub const fn with_connections(mut self, connections: u32) -> Self {
        self.connections = connections;
        self
    }

    /// Sets how long one request takes.
    #[must_use]
    pub const fn with_service_time(mut self, time: ServiceTime) -> Self {
        self.service_time = time;
        self
    }

    /// Sets the cold start's length in milliseconds and its factor on the service time.
    #[must_use]
    pub const fn with_warming(mut self, ms: u64, factor: f64) -> Self {
        self.warming_ms = ms;
        self.warming_factor = factor;
        self
    }

    /// Sets how old the state may be that `/health` and `/load` answer, in milliseconds.
    #[must_use]
    pub const fn with_lag_ms(mut self, lag: u64) -> Self {
        self.health_lag_ms = lag;
        self.load_lag_ms = lag;
        self
    }

    /// Sets the seed of the service times.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the admin address of the node that it announces itself to.
    #[must_use]
    pub const fn with_admin(mut self, admin: SocketAddr) -> Self {
        self.admin = Some(admin);
        self
    }

    /// Sets how long an announcement is valid, in milliseconds.
    #[must_use]
    pub const fn with_ttl_ms(mut self, ttl: u64) -> Self {
        self.ttl_ms = ttl;
        self
    }

    /// Sets the id and the failure domain under which it announces itself.
    #[must_use]
    pub fn with_id(mut self, id: impl Into<String>, domain: impl Into<String>) -> Self {
        self.id = Some(id.into());
        self.domain = domain.into();
        self
    }

    /// Adds a path that every request calls through the node at `node`.
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
