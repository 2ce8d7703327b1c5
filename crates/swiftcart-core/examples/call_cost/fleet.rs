//! Simulated nodes and backend servers with their faults.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use swiftcart_core::*;

use crate::run::AttemptId;

/// Number of slots that each backend server announces.
pub const SLOTS: u32 = 10;

/// Number of nodes in each of the three failure domains.
pub const NODES_PER_DOMAIN: usize = 4;

/// Mean service time of a healthy backend server, in milliseconds. A quarter of it is fixed.
const MEAN_MS: f64 = 20.0;

/// Duration of each up phase and each down phase of a flapping backend server.
const FLAP_PHASE: Duration = Duration::from_secs(1);

/// Fault of a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// No fault.
    None,
    /// Every call takes five times as long.
    Slow,
    /// The backend server runs only four calls at once and queues further calls internally.
    OverstatedSlots,
    /// The backend server refuses connections every other second.
    Flapping,
    /// The instance does not answer, and the failure is not detected by the membership yet.
    Dead,
}

impl Fault {
    /// Returns the fault of backend server `i`. All of the third failure domain is dead.
    pub fn of(i: usize) -> Self {
        match i {
            1 => Self::Slow,
            2 => Self::OverstatedSlots,
            5 => Self::Flapping,
            i if i >= 2 * NODES_PER_DOMAIN => Self::Dead,
            _ => Self::None,
        }
    }

    /// Returns the number of calls per second that a backend server with this fault can complete.
    pub fn capacity(self) -> f64 {
        let healthy = f64::from(SLOTS) * 1000.0 / MEAN_MS;
        match self {
            Self::None => healthy,
            Self::Slow => healthy / 5.0,
            Self::OverstatedSlots => healthy * 0.4,
            Self::Flapping => healthy / 2.0,
            Self::Dead => 0.0,
        }
    }
}

/// Simulated backend server with its running calls and its internal queue.
#[derive(Debug)]
pub struct Server {
    pub fault: Fault,
    pub active: u32,
    pub queue: VecDeque<AttemptId>,
}

impl Server {
    pub fn new(fault: Fault) -> Self {
        Self {
            fault,
            active: 0,
            queue: VecDeque::new(),
        }
    }

    /// Returns `true` if the backend server accepts a connection at `now`.
    pub fn is_up(&self, now: Instant) -> bool {
        let phase = now.elapsed().as_millis() / FLAP_PHASE.as_millis();
        self.fault != Fault::Flapping || phase.is_multiple_of(2)
    }

    /// Returns the number of calls that the backend server actually runs at once.
    pub fn concurrency(&self) -> u32 {
        match self.fault {
            Fault::OverstatedSlots => SLOTS * 2 / 5,
            _ => SLOTS,
        }
    }

    /// Returns a random service time for one call.
    pub fn service_time(&self, rng: &mut SmallRng) -> Duration {
        let ms = 0.25 * MEAN_MS + exponential(0.75 * MEAN_MS, rng);
        let factor = if self.fault == Fault::Slow { 5.0 } else { 1.0 };
        Duration::from_secs_f64(ms * factor / 1000.0)
    }
}

/// Returns the total capacity that remains under the faults, in calls per second.
pub fn capacity() -> f64 {
    (0..3 * NODES_PER_DOMAIN)
        .map(|i| Fault::of(i).capacity())
        .sum()
}

/// Returns a random value from an exponential distribution.
pub fn exponential(mean: f64, rng: &mut SmallRng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Returns the one-way network delay between two nodes.
pub fn one_way_delay(from: usize, to: usize) -> Duration {
    match (from, to) {
        (a, b) if a == b => Duration::ZERO,
        (a, b) if a / NODES_PER_DOMAIN == b / NODES_PER_DOMAIN => Duration::from_micros(250),
        _ => Duration::from_micros(1500),
    }
}

/// Returns the id of node `i`.
pub fn node(i: usize) -> NodeId {
    let port = 10_000 + u16::try_from(i).unwrap_or(u16::MAX);
    NodeId(SocketAddr::from(([127, 0, 0, 1], port)))
}

/// Returns the index of a node.
pub fn index(id: NodeId) -> usize {
    usize::from(id.0.port()) - 10_000
}

/// Creates the view of node `me` among `count` nodes of one service, with `per_domain` nodes in
/// each failure domain.
pub fn view(me: usize, count: usize, per_domain: usize) -> View {
    let domain = |i: usize| FailureDomain(format!("domain-{}", i / per_domain));
    let member = |i: usize| {
        let NodeId(addr) = node(i);
        Member {
            id: node(i),
            sync: addr,
            peer: addr,
            admin: addr,
            domain: domain(i),
            incarnation: Incarnation(1),
            liveness: Liveness::Alive,
            backend: Some(Backend {
                service: ServiceName::new("a"),
                addr,
                slots: SLOTS,
                connections: 130,
                readiness: Readiness::Ready,
            }),
            pace: None,
        }
    };
    let members: Vec<_> = (0..count).map(member).collect();
    let table = Table::new()
        .with_service("a", Limits::default())
        .with_service("b", Limits::default())
        .with_route("/", "b", 1)
        .with_route("/a", "a", 90)
        .with_route("/a", "b", 10)
        .with_route("/a/b/c", "a", 1);
    View::new(Version(1), &table, members.iter(), node(me), &domain(me))
}
