//! The nodes and backend servers of a run, and the faults among them.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use swiftcart_core::*;

use crate::run::Try;

/// Slots that each backend server announces.
pub const SLOTS: u32 = 10;

/// Nodes in each of the three failure domains.
pub const PER_DOMAIN: usize = 4;

/// The mean time of a call at a healthy backend server, of which a quarter is fixed.
const MEAN_MS: f64 = 20.0;

/// How long a flapping backend server is up, then down.
const FLAP: Duration = Duration::from_secs(1);

/// What is wrong with a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// Every call takes five times as long.
    Slow,
    /// It runs four calls at once; what it is given beyond waits inside.
    Lying,
    /// It refuses connections every other second.
    Flapping,
    /// Its instance does not answer at all, and the members do not know yet.
    Dead,
}

impl Fault {
    /// Returns the fault of backend server `i`; the third failure domain is dead.
    pub fn of(i: usize) -> Self {
        match i {
            1 => Self::Slow,
            2 => Self::Lying,
            5 => Self::Flapping,
            i if i >= 2 * PER_DOMAIN => Self::Dead,
            _ => Self::None,
        }
    }

    /// Returns the calls that it can finish in a second.
    pub fn capacity(self) -> f64 {
        let healthy = f64::from(SLOTS) * 1000.0 / MEAN_MS;
        match self {
            Self::None => healthy,
            Self::Slow => healthy / 5.0,
            Self::Lying => healthy * 0.4,
            Self::Flapping => healthy / 2.0,
            Self::Dead => 0.0,
        }
    }
}

/// One backend server: what it runs, and what waits inside it.
#[derive(Debug)]
pub struct Server {
    pub fault: Fault,
    pub active: u32,
    pub inside: VecDeque<Try>,
}

impl Server {
    pub fn new(fault: Fault) -> Self {
        Self {
            fault,
            active: 0,
            inside: VecDeque::new(),
        }
    }

    /// Tells whether it accepts a connection.
    pub fn is_up(&self, now: Instant) -> bool {
        let phase = now.elapsed().as_millis() / FLAP.as_millis();
        self.fault != Fault::Flapping || phase.is_multiple_of(2)
    }

    /// Returns the calls that it really runs at once.
    pub fn parallel(&self) -> u32 {
        match self.fault {
            Fault::Lying => SLOTS * 2 / 5,
            _ => SLOTS,
        }
    }

    /// Draws the time of one call.
    pub fn service_time(&self, rng: &mut SmallRng) -> Duration {
        let ms = 0.25 * MEAN_MS + exponential(0.75 * MEAN_MS, rng);
        let factor = if self.fault == Fault::Slow { 5.0 } else { 1.0 };
        Duration::from_secs_f64(ms * factor / 1000.0)
    }
}

/// Returns the capacity that the faults leave, in calls a second.
pub fn capacity() -> f64 {
    (0..3 * PER_DOMAIN).map(|i| Fault::of(i).capacity()).sum()
}

/// Draws from an exponential distribution.
pub fn exponential(mean: f64, rng: &mut SmallRng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Returns the time from one node to another.
pub fn one_way(from: usize, to: usize) -> Duration {
    match (from, to) {
        (a, b) if a == b => Duration::ZERO,
        (a, b) if a / PER_DOMAIN == b / PER_DOMAIN => Duration::from_micros(250),
        _ => Duration::from_micros(1500),
    }
}

/// Names node `i`.
pub fn node(i: usize) -> NodeId {
    let port = 10_000 + u16::try_from(i).unwrap_or(u16::MAX);
    NodeId(SocketAddr::from(([127, 0, 0, 1], port)))
}

/// Returns the number of a node.
pub fn index(id: NodeId) -> usize {
    usize::from(id.0.port()) - 10_000
}

/// Builds the view of node `me` among `count` nodes of one service, `per_domain` in each domain.
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
