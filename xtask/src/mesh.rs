//! Example meshes for the demo and the soak: services, backend servers and failure domains.

use std::str::FromStr;

use crate::Error;

/// Service of a mesh.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Service {
    /// Name in the configuration table.
    pub name: &'static str,
    /// Path prefix that is routed to the service.
    pub prefix: &'static str,
    /// Number of backend servers.
    pub backends: usize,
    /// Kind of requests that the service takes.
    pub kind: Kind,
}

/// Kind of requests that callers send to a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Idempotent reads.
    Read,
    /// The same reads, served by the next release of the service.
    Next,
    /// Requests with an idempotency key, executed at most once.
    Keyed,
    /// Uploads with long bodies that must arrive complete.
    Upload,
}

/// Mesh of a fixed size, with its services and the limits of its backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Mesh {
    /// Name on the command line.
    pub name: &'static str,
    /// Failure domains.
    pub domains: [&'static str; 3],
    /// Services of the mesh.
    ///
    /// The backend servers for reads are split between the current and the next release. Both
    /// releases share a path prefix, so that route weights split the reads between them.
    pub services: [Service; 4],
    /// Maximum number of requests that a backend server executes concurrently.
    pub slots: u32,
    /// Maximum number of connections that a backend server accepts.
    pub connections: u32,
}

impl Mesh {
    /// Sports-pitch maintenance service in Lima.
    pub const LIMA: Self = Self {
        name: "lima",
        domains: ["norte", "sur", "callao"],
        services: [
            Service::new("sensor", "/moisture", 4, Kind::Read),
            Service::new("sensor-next", "/moisture", 2, Kind::Next),
            Service::new("booking", "/bookings", 4, Kind::Keyed),
            Service::new("survey", "/footage", 3, Kind::Upload),
        ],
        slots: 10,
        connections: 130,
    };

    /// Plagiarism detection service in Bogotá.
    pub const BOGOTA: Self = Self {
        name: "bogota",
        domains: ["norte", "centro", "sur"],
        services: [
            Service::new("reports", "/reports", 4, Kind::Read),
            Service::new("reports-next", "/reports", 2, Kind::Next),
            Service::new("certificates", "/certificates", 4, Kind::Keyed),
            Service::new("manuscripts", "/manuscripts", 3, Kind::Upload),
        ],
        slots: 20,
        connections: 130,
    };

    /// Returns the number of instances: one for each backend server.
    #[must_use]
    pub fn instances(&self) -> usize {
        self.services.iter().map(|service| service.backends).sum()
    }

    /// Returns the service of each instance, in the order of the instances.
    pub fn placement(&self) -> impl Iterator<Item = &Service> {
        let copies = |service| std::iter::repeat_n(service, Service::count(service));
        self.services.iter().flat_map(copies)
    }

    /// Returns the indices of the instances that run the service of this kind.
    #[must_use]
    pub fn indices(&self, kind: Kind) -> Vec<usize> {
        let placed = self.placement().enumerate();
        placed
            .filter(|(_, service)| service.kind == kind)
            .map(|(i, _)| i)
            .collect()
    }

    /// Returns the service of this kind.
    #[must_use]
    pub fn service(&self, kind: Kind) -> &Service {
        let found = self.services.iter().find(|service| service.kind == kind);
        found.unwrap_or(&self.services[0])
    }
}

impl Service {
    const fn new(name: &'static str, prefix: &'static str, backends: usize, kind: Kind) -> Self {
        Self {
            name,
            prefix,
            backends,
            kind,
        }
    }

    fn count(&self) -> usize {
        self.backends
    }
}

impl FromStr for Mesh {
    type Err = Error;

    fn from_str(name: &str) -> Result<Self, Error> {
        [Self::LIMA, Self::BOGOTA]
            .into_iter()
            .find(|mesh| mesh.name == name)
            .ok_or_else(|| Error::Usage(name.to_owned()))
    }
}
