//! The calls of a mesh's callers.

use std::net::SocketAddr;

use serde_json::{Value, json};
use swiftcart_standin::{Load, Shape};

use crate::fleet::{Fleet, Role};
use crate::{Kind, Mesh, Service};

/// Bytes of an upload: more than any buffer on its way.
const UPLOAD: u64 = 2 << 20;

/// Bytes of an answer to a read.
const ANSWER: u64 = 20_000;

/// Mean time of a keyed request at the backend server, in milliseconds.
pub(crate) const KEYED_MS: f64 = 20.0;

/// How long a caller waits, in milliseconds.
const TIMEOUT_MS: u64 = 10_000;

/// Returns what each instance of a mesh is, spread over the failure domains.
pub(crate) fn roles(mesh: &Mesh) -> Vec<Role> {
    let domain = |i: usize| mesh.domains[i % mesh.domains.len()].to_owned();
    let placed = mesh.placement().enumerate();
    placed
        .map(|(i, service)| Role {
            domain: domain(i),
            backend: Some(match service.kind {
                Kind::Keyed => named(backend(mesh, service), i, &domain(i)),
                Kind::Read | Kind::Next | Kind::Upload => backend(mesh, service),
            }),
        })
        .collect()
}

/// Has a backend server announce itself under an id and with its start.
fn named(mut settings: Value, i: usize, domain: &str) -> Value {
    settings["id"] = json!(format!("server-{i}"));
    settings["domain"] = json!(domain);
    settings
}

fn backend(mesh: &Mesh, service: &Service) -> Value {
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

/// Returns one kind of call of the mesh's callers.
pub(crate) fn shape(mesh: &Mesh, kind: Kind) -> Shape {
    let path = mesh.service(kind).prefix;
    match kind {
        Kind::Read | Kind::Next => Shape::read(path).with_bytes(ANSWER),
        Kind::Keyed => Shape::keyed(path),
        Kind::Upload => Shape::upload(path, UPLOAD),
    }
}

/// Returns a load without repeats, so that each answer speaks for one try.
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

/// Returns a load of every kind of call: many reads, some bookings, a few uploads.
pub(crate) fn mixed(mesh: &Mesh, targets: Vec<SocketAddr>, rate: f64, ms: u64, seed: u64) -> Load {
    load(targets, rate, ms, seed)
        .with_shape(shape(mesh, Kind::Read), 80)
        .with_shape(shape(mesh, Kind::Keyed), 16)
        .with_shape(shape(mesh, Kind::Upload), 4)
}

/// Returns where callers reach the nodes with these numbers.
pub(crate) fn targets(fleet: &Fleet, numbers: &[usize]) -> Vec<SocketAddr> {
    let addr = |&i: &usize| fleet.instances[i].addrs.calls;
    numbers.iter().map(addr).collect()
}
