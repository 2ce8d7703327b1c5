//! Backend servers of a mesh and the load that its callers generate.

use std::net::SocketAddr;

use serde_json::{Value, json};
use swiftcart_standin::{Load, Shape};

use crate::fleet::{Fleet, Role};
use crate::{Kind, Mesh, Service};

/// Size of an upload in bytes; larger than any buffer on the path.
const UPLOAD_BYTES: u64 = 2 << 20;

/// Size of the response to a read, in bytes.
const READ_RESPONSE_BYTES: u64 = 20_000;

/// Mean service time of a request with an idempotency key, in milliseconds.
pub(crate) const KEYED_MS: f64 = 20.0;

/// Timeout and deadline of a call, in milliseconds.
const TIMEOUT_MS: u64 = 10_000;

/// Returns the role of each instance of a mesh, spread over the failure domains.
pub(crate) fn roles(mesh: &Mesh) -> Vec<Role> {
    let domain = |i: usize| mesh.domains[i % mesh.domains.len()].to_owned();
    let placed = mesh.placement().enumerate();
    placed
        .map(|(i, service)| Role {
            domain: domain(i),
            backend: Some(match service.kind {
                Kind::Keyed => with_identity(backend_settings(mesh, service), i, &domain(i)),
                Kind::Read | Kind::Next | Kind::Upload => backend_settings(mesh, service),
            }),
        })
        .collect()
}

/// Adds an id and a failure domain to `settings`.
///
/// With an id, the backend server announces itself and its start.
fn with_identity(mut settings: Value, i: usize, domain: &str) -> Value {
    settings["id"] = json!(format!("server-{i}"));
    settings["domain"] = json!(domain);
    settings
}

fn backend_settings(mesh: &Mesh, service: &Service) -> Value {
    let mean = match service.kind {
        Kind::Read | Kind::Next => 5.0,
        Kind::Keyed => KEYED_MS,
        Kind::Upload => 30.0,
    };
    json!({
        "service": service.name,
        "slots": mesh.slots,
        "connections": mesh.connections,
        "service_time": { "exponential": mean },
    })
}

/// Returns the shape of the calls of one kind.
pub(crate) fn shape(mesh: &Mesh, kind: Kind) -> Shape {
    let path = mesh.service(kind).prefix;
    match kind {
        Kind::Read | Kind::Next => Shape::read(path).with_bytes(READ_RESPONSE_BYTES),
        Kind::Keyed => Shape::keyed(path),
        Kind::Upload => Shape::upload(path, UPLOAD_BYTES),
    }
}

/// Returns a load without retries, so that each response belongs to a single attempt.
pub(crate) fn load(targets: Vec<SocketAddr>, rate: f64, ms: u64, seed: u64) -> Load {
    Load::new(targets)
        .with_rate(rate)
        .with_duration_ms(ms)
        .with_poisson(true)
        .with_seed(seed)
        .with_connections(400)
        .with_timeout_ms(TIMEOUT_MS)
        .with_deadline_ms(TIMEOUT_MS)
        .with_keep(100_000)
}

/// Returns a load of all kinds of calls, most of which are reads.
pub(crate) fn mixed(mesh: &Mesh, targets: Vec<SocketAddr>, rate: f64, ms: u64, seed: u64) -> Load {
    load(targets, rate, ms, seed)
        .with_shape(shape(mesh, Kind::Read), 80)
        .with_shape(shape(mesh, Kind::Keyed), 16)
        .with_shape(shape(mesh, Kind::Upload), 4)
}

/// Returns the addresses for callers of the nodes with these indices.
pub(crate) fn targets(fleet: &Fleet, indices: &[usize]) -> Vec<SocketAddr> {
    let addr = |&i: &usize| fleet.instances[i].addrs.calls;
    indices.iter().map(addr).collect()
}
