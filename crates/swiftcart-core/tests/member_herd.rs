//! Tests of many nodes starting at once, and of the traffic between failure domains.

#[path = "support/net.rs"]
mod net;

use net::{SimNetwork, backend, id};
use swiftcart_core::*;

#[test]
fn domain_that_dies_and_restarts_at_once_is_routed_to_again() {
    let mut net = SimNetwork::converged(&[20, 20, 20], 6);
    (20..40).for_each(|at| net.kill(at));
    net.run_until("not routed to", 15_000, |net| {
        (20..40).all(|at| net.none_route_to(at))
    });
    net.run(30_000);
    assert_eq!(net.sum_counter(|c| c.declared_dead), 0);
    (20..40).for_each(|at| net.start_node(at, 0));
    net.run_until("all routed", 15_000, |net| {
        (0..60).all(|at| net.all_route_to(at))
    });
    net.run_until("agreed", 15_000, SimNetwork::has_converged);
}

#[test]
fn mass_join_converges_while_pulls_are_limited() {
    let mut net = SimNetwork::new(&[100, 100], 12);
    (0..200).for_each(|at| net.start_node(at, 0));
    net.run_until("agreed", 15_000, SimNetwork::has_converged);
    assert!((0..200).all(|at| net.all_route_to(at)));
    assert!(net.nodes.iter().any(|n| n.busy_replies > 0));
}

/// Starts all nodes of five failure domains at once, as after a power failure.
///
/// Each node knows the addresses of all others. Returns the bytes per node that crossed failure
/// domains, and the time in milliseconds at which 99 % of all entries were known.
fn restart_all(size: usize, seed: u64) -> (u64, u64) {
    let mut net = SimNetwork::new(&[size; 5], seed);
    let nodes = net.nodes.len();
    let directory: Vec<NodeId> = (0..nodes).map(id).collect();
    (0..nodes).for_each(|at| net.start_node_without_backend(at));
    net.run(50);
    (0..nodes).for_each(|at| net.with_membership(at, |m, now| m.add_seeds(now, directory.clone())));
    let mut known_at = 0;
    while net.now < 20_000 {
        let due = (0..nodes).filter(|at| net.now / 50 == 2 + (at * 7 % 30) as u64);
        for at in due.collect::<Vec<_>>() {
            let backend = Some(backend(at, Readiness::Ready));
            net.with_membership(at, |m, now| m.update_backend(now, backend));
        }
        net.run(50);
        let known_backends = |m: &Membership| m.members().filter(|m| m.backend.is_some()).count();
        let pairs: usize = net.running().map(|(_, m)| known_backends(m)).sum();
        if known_at == 0 && pairs * 100 >= nodes * nodes * 99 {
            known_at = net.now;
        }
    }
    let cross_domain_bytes: u64 = net.nodes.iter().map(|n| n.cross_domain_bytes).sum();
    (cross_domain_bytes / nodes as u64, known_at)
}

#[test]
fn cost_per_node_of_full_restart_grows_by_less_than_half_in_triple_mesh() {
    let (small, small_known_at) = restart_all(20, 1);
    let (large, large_known_at) = restart_all(60, 1);
    assert!(
        large * 10 <= small * 15,
        "{small} bytes per node, then {large}"
    );
    assert!(
        large <= 20_000,
        "{large} bytes per node between failure domains"
    );
    assert!((1..4_000).contains(&small_known_at) && (1..4_000).contains(&large_known_at));
}

#[test]
fn update_about_one_node_crosses_domains_few_times() {
    let mut net = SimNetwork::converged(&[60; 5], 3);
    let cross_domain_bytes =
        |net: &SimNetwork| net.nodes.iter().map(|n| n.cross_domain_bytes).sum::<u64>();
    let before = cross_domain_bytes(&net);
    net.run(5_000);
    let idle = cross_domain_bytes(&net) - before;
    net.with_membership(2, |m, now| {
        m.update_backend(now, Some(backend(2, Readiness::Draining)))
    });
    let is_draining = |m: &Membership| {
        let backend = m.member(id(2)).and_then(|m| m.backend.as_ref());
        backend.is_some_and(|b| b.readiness == Readiness::Draining)
    };
    net.run_until("draining known", 2_000, |net| {
        net.running().all(|(_, m)| is_draining(m))
    });
    net.run(5_000);
    let with_update = cross_domain_bytes(&net) - before - idle;
    assert!(
        with_update < idle * 2,
        "{with_update} bytes, {idle} in 5 s without an update"
    );
}
