//! Latency that the nodes add, against calls straight to the backend server.

use std::net::SocketAddr;

use swiftcart_standin::Comparison;

use super::calls::load;
use super::figures::Figures;
use crate::fleet::Fleet;
use crate::{Error, Kind, Mesh};
use swiftcart_standin::Shape;

/// The users' goal for the latency added at p99, in milliseconds.
const GOAL_MS: f64 = 0.36;

/// Calls a second, half of them direct.
const RATE: f64 = 400.0;
const SPAN_MS: u64 = 4000;

/// Compares calls through one node and through two with direct calls, one by one in turn.
pub(super) async fn latency(
    mesh: &Mesh,
    fleet: &Fleet,
    figures: &mut Figures,
) -> Result<(), Error> {
    let own = mesh.numbers(Kind::Keyed)[0];
    let other = mesh.numbers(Kind::Read)[1];
    let path = mesh.service(Kind::Keyed).prefix;
    let direct = fleet.instances[own].addrs.backend;
    for (name, i) in [("one node", own), ("two nodes", other)] {
        let run = compare(fleet.instances[i].addrs.calls, direct, path).await?;
        let (through, direct) = (run.a.since_send_us, run.b.since_send_us);
        let added = |a: u64, b: u64| (a as f64 - b as f64) / 1000.0;
        let value = format!(
            "p50 {:.3} ms, p99 {:.3} ms (goal at p99: {GOAL_MS} ms; {} and {} calls)",
            added(through.p50, direct.p50),
            added(through.p99, direct.p99),
            run.a.good,
            run.b.good,
        );
        figures.figure(format!("added by {name}"), value);
    }
    Ok(())
}

async fn compare(node: SocketAddr, direct: SocketAddr, path: &str) -> Result<Comparison, Error> {
    let load = load(vec![node], RATE, SPAN_MS, 0x08)
        .with_poisson(false)
        .with_shape(Shape::read(path), 1);
    Ok(load.compare(vec![direct]).await?)
}
