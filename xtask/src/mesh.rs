//! The meshes of the users' brief: services, backend servers and failure domains.

use std::str::FromStr;

use crate::Error;

/// One service of a mesh.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Service {
    /// Its name in the table.
    pub name: &'static str,
    /// The path prefix that leads to it.
    pub prefix: &'static str,
    /// Backend servers.
    pub backends: usize,
    /// What its callers do.
    pub kind: Kind,
}

/// Tells what the callers of a service do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Reads that may be repeated.
    Read,
    /// The same reads, by the service's next release.
    Next,
    /// Work that must run at most once, under an idempotency key.
    Keyed,
    /// Long bodies that have to arrive whole.
    Upload,
}

/// One mesh at the sizes of the brief.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Mesh {
    /// Its name on the command line.
    pub name: &'static str,
    /// Its failure domains.
    pub domains: [&'static str; 3],
    /// Its services.
    ///
    /// The reads' backend servers are split between the present and the next release,
    /// which share a path prefix, so that weights have something to weigh.
    pub services: [Service; 4],
    /// Requests that a backend server runs at once.
    pub slots: u32,
    /// Connections that a backend server accepts.
    pub connections: u32,
}

impl Mesh {
    /// Pitch care in Lima.
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

    /// Checks of originality in Bogotá.
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

    /// Returns the service of each instance, in order.
    pub fn placement(&self) -> impl Iterator<Item = &Service> {
        let copies = |service| std::iter::repeat_n(service, Service::count(service));
        self.services.iter().flat_map(copies)
    }

    /// Returns the numbers of the instances of the service of this kind.
    #[must_use]
    pub fn numbers(&self, kind: Kind) -> Vec<usize> {
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
