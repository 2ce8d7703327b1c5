//! Settings of a load: targets, request mix, rate and limits.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Shape;
use crate::Error;

/// Settings of an open-loop load; [`Load::run`] executes it.
///
/// The send times are scheduled in advance: a slow response does not delay later requests, and
/// latency is measured from the scheduled send time.
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
    /// Ingress addresses, called in round-robin order.
    pub targets: Vec<SocketAddr>,
    /// Second group of targets for a comparison; only the load program reads it.
    pub others: Vec<SocketAddr>,
    /// Requests per second.
    pub rate: f64,
    /// Duration of sending, in milliseconds.
    pub duration_ms: u64,
    /// Poisson arrivals (exponential gaps) instead of a constant gap.
    pub poisson: bool,
    /// Seed of the mix, the gaps and the request ids. Two runs that share a log need different
    /// seeds, since equal seeds give equal ids.
    pub seed: u64,
    /// Request mix: shapes with their weights.
    pub shapes: Vec<(Shape, u32)>,
    /// Maximum number of requests in flight, and so also of connections in use.
    pub connections: usize,
    /// Maximum number of requests in flight or waiting for a connection; further requests count
    /// as unsent.
    pub pending: usize,
    /// Timeout of one attempt, in milliseconds.
    pub timeout_ms: u64,
    /// Deadline sent as `Swiftcart-Deadline-Ms`; 0 sends none.
    pub deadline_ms: u64,
    /// Maximum number of retries of a request. With 0, `Retry-After` is ignored.
    pub retries: u32,
    /// Maximum number of call records in the report; the first requests to end are recorded.
    pub keep: usize,
}

impl Load {
    /// Creates a load of 100 requests per second for one second, without a shape.
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

    /// Sets the number of requests per second.
    #[must_use]
    pub const fn with_rate(mut self, rate: f64) -> Self {
        self.rate = rate;
        self
    }

    /// Sets the duration of sending, in milliseconds.
    #[must_use]
    pub const fn with_duration_ms(mut self, ms: u64) -> Self {
        self.duration_ms = ms;
        self
    }

    /// Enables or disables Poisson arrivals.
    #[must_use]
    pub const fn with_poisson(mut self, poisson: bool) -> Self {
        self.poisson = poisson;
        self
    }

    /// Sets the seed of the mix, the gaps and the request ids.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Adds a shape with its weight to the mix.
    #[must_use]
    pub fn with_shape(mut self, shape: Shape, weight: u32) -> Self {
        self.shapes.push((shape, weight));
        self
    }

    /// Sets the maximum number of requests in flight.
    #[must_use]
    pub const fn with_connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the timeout of one attempt, in milliseconds.
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

    /// Sets the maximum number of retries of a request.
    #[must_use]
    pub const fn with_retries(mut self, retries: u32) -> Self {
        self.retries = retries;
        self
    }

    /// Sets the maximum number of call records in the report.
    #[must_use]
    pub const fn with_keep(mut self, keep: usize) -> Self {
        self.keep = keep;
        self
    }

    /// Returns the duration of sending.
    pub(super) const fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }

    pub(super) fn validate(&self, groups: &[Vec<SocketAddr>]) -> Result<(), Error> {
        let weight: u64 = self.shapes.iter().map(|(_, w)| u64::from(*w)).sum();
        match () {
            () if groups.iter().any(Vec::is_empty) => Err(Error::Load("add a target")),
            () if weight == 0 => Err(Error::Load("add a shape with a weight")),
            () if !self.rate.is_normal() || self.rate < 0.0 => {
                Err(Error::Load("set a rate above zero"))
            }
            () if self.connections == 0 => Err(Error::Load("allow at least one connection")),
            () => Ok(()),
        }
    }
}

impl Default for Load {
    fn default() -> Self {
        Self::new(Vec::new())
    }
}
