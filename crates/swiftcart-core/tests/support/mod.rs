//! Members and views for tests of balancing, retries and views.
#![allow(dead_code, reason = "each test target uses a subset")]

use std::net::SocketAddr;

use swiftcart_core::*;

/// Returns the ID of node `n`.
pub fn node(n: u16) -> NodeId {
    NodeId(SocketAddr::from(([127, 0, 0, 1], n)))
}

/// Creates the member of node `n` with a ready backend server of ten slots.
pub fn member(n: u16, service: &str, domain: &str) -> Member {
    let NodeId(addr) = node(n);
    Member {
        id: node(n),
        sync: addr,
        peer: addr,
        admin: addr,
        domain: FailureDomain::new(domain),
        incarnation: Incarnation(1),
        liveness: Liveness::Alive,
        backend: Some(Backend {
            service: ServiceName::new(service),
            addr,
            slots: 10,
            connections: 130,
            readiness: Readiness::Ready,
        }),
        pace: None,
    }
}

/// Creates the view of node 1, which is in `norte`.
pub fn view(table: &Table, members: &[Member]) -> View {
    let domain = FailureDomain::new("norte");
    View::new(Version(1), table, members.iter(), node(1), &domain)
}
