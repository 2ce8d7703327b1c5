//! What the callers send, to whom, and how often.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Shape;
use crate::Error;

/// Describes an open-loop load; [`Load::run`] carries it out.
///
/// The requests' times are fixed beforehand: a slow answer delays no later request, and
/// latency counts from the intended time.
///
/// # Examples
///
/// ```
/// use swiftcart_standin::{Load, Shape};
///
/// let load = Load::new(vec!["127.0.0.1:8080".parse()?])
///     .with_rate(500.0)
///     .with_duration_ms(2000)
///     .with_shape(Shape::read("/moisture"), 9)
///     .with_shape(Shape::keyed("/booking"), 1);
/// assert_eq!(load.shapes.len(), 2);
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// The ingress addresses, called in turn.
    pub targets: Vec<SocketAddr>,
    /// A second set of targets for a comparison (program only).
    pub others: Vec<SocketAddr>,
    /// Requests a second.
    pub rate: f64,
    /// How long requests are sent, in milliseconds.
    pub duration_ms: u64,
    /// Draws exponential gaps (Poisson arrivals) in place of even ones.
    pub poisson: bool,
    /// Seed of the mix, the gaps and the ids; two runs that share a log need two seeds.
    pub seed: u64,
    /// The mix: shapes with their weights.
    pub shapes: Vec<(Shape, u32)>,
    /// Requests in flight at most, hence also connections in use.
    pub connections: usize,
    /// Requests sent or waiting for a connection at most; those beyond count as unsent.
    pub pending: usize,
    /// Time for one request, in milliseconds.
    pub timeout_ms: u64,
    /// Sent as `Swiftcart-Deadline-Ms` when above zero.
    pub deadline_ms: u64,
    /// Times that a request is sent again, as a caller would; 0 honours no `Retry-After`.
    pub retries: u32,
    /// Requests, counted as they end, whose ids and outcomes are kept in the report.
    pub keep: usize,
}

impl Load {
    /// Creates a load of 100 requests a second for one second; add a shape.
    #[must_use]
    pub const fn new(targets: Vec<SocketAddr>) -> Self {
        Self {
            targets,
            others: Vec::new(),
            rate: 100.0,
            duration_ms: 1000,
            poisson: false,
            seed: 1,
            shapes: Vec::new(),
            connections: 256,
            pending: 10_000,
            timeout_ms: 30_000,
            deadline_ms: 0,
            retries: 0,
            keep: 0,
        }
    }

    /// Sets the requests a second.
    #[must_use]
    pub const fn with_rate(mut self, rate: f64) -> Self {
        self.rate = rate;
        self
    }

    /// Sets how long requests are sent, in milliseconds.
    #[must_use]
    pub const fn with_duration_ms(mut self, ms: u64) -> Self {
        self.duration_ms = ms;
        self
    }

    /// Sets whether gaps are exponential.
    #[must_use]
    pub const fn with_poisson(mut self, poisson: bool) -> Self {
        self.poisson = poisson;
        self
    }

    /// Sets the seed.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Adds a shape to the mix.
    #[must_use]
    pub fn with_shape(mut self, shape: Shape, weight: u32) -> Self {
        self.shapes.push((shape, weight));
        self
    }

    /// Sets the requests in flight at most.
    #[must_use]
    pub const fn with_connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the time for one request in milliseconds.
    #[must_use]
    pub const fn with_timeout_ms(mut self, ms: u64) -> Self {
        self.timeout_ms = ms;
        self
    }

    /// Sets the deadline that requests carry, in milliseconds.
    #[must_use]
    pub const fn with_deadline_ms(mut self, ms: u64) -> Self {
        self.deadline_ms = ms;
        self
    }

    /// Sets how often a request is sent again.
    #[must_use]
    pub const fn with_retries(mut self, retries: u32) -> Self {
        self.retries = retries;
        self
    }

    /// Sets the requests whose ids and outcomes are kept.
    #[must_use]
    pub const fn with_keep(mut self, keep: usize) -> Self {
        self.keep = keep;
        self
    }

    /// Returns how long requests are sent.
    pub(super) const fn span(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }

    pub(super) fn check(&self, groups: &[Vec<SocketAddr>]) -> Result<(), Error> {
        let weight: u64 = self.shapes.iter().map(|(_, w)| u64::from(*w)).sum();
        match () {
            () if groups.iter().any(Vec::is_empty) => Err(Error::Load("add a target")),
            () if weight == 0 => Err(Error::Load("add a shape with a weight")),
            () if !self.rate.is_normal() || self.rate < 0.0 => {
                Err(Error::Load("set a rate above zero"))
            }
            () if self.connections == 0 => Err(Error::Load("allow a connection")),
            () => Ok(()),
        }
    }
}

impl Default for Load {
    fn default() -> Self {
        Self::new(Vec::new())
    }
}
