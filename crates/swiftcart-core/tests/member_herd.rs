//! Many nodes start at once, and what that costs does not grow faster than the mesh.

#[path = "support/net.rs"]
mod net;

use net::{Net, backend, id};
use swiftcart_core::*;

#[test]
fn a_domain_that_dies_and_returns_as_a_herd_is_routed_again() {
    let mut net = Net::settled(&[20, 20, 20], 6);
    (20..40).for_each(|at| net.kill(at));
    net.until("unrouted", 15_000, |net| {
        (20..40).all(|at| net.none_routes(at))
    });
    net.run(30_000);
    assert_eq!(net.sum(|c| c.declared_dead), 0);
    (20..40).for_each(|at| net.boot(at, 0));
    net.until("all routed", 15_000, |net| {
        (0..60).all(|at| net.all_route(at))
    });
    net.until("agreed", 15_000, Net::agree);
}

#[test]
fn a_storm_of_joins_is_served_in_bounded_turns() {
    let mut net = Net::new(&[100, 100], 12);
    (0..200).for_each(|at| net.boot(at, 0));
    net.until("agreed", 15_000, Net::agree);
    assert!((0..200).all(|at| net.all_route(at)));
    assert!(net.nodes.iter().any(|n| n.busy > 0));
}

/// Starts all nodes of five domains at once, as after a loss of power, each knowing the others'
/// addresses; returns the bytes that went to other domains for each node, and when 99 of 100
/// entries were known.
fn restart_of_all(size: usize, seed: u64) -> (u64, u64) {
    let mut net = Net::new(&[size; 5], seed);
    let nodes = net.nodes.len();
    let everyone: Vec<NodeId> = (0..nodes).map(id).collect();
    (0..nodes).for_each(|at| net.boot_plain(at));
    net.run(50);
    (0..nodes).for_each(|at| net.call(at, |m, now| m.add_seeds(now, everyone.clone())));
    let mut known = 0;
    while net.now < 20_000 {
        let due = (0..nodes).filter(|at| net.now / 50 == 2 + (at * 7 % 30) as u64);
        for at in due.collect::<Vec<_>>() {
            let shown = Some(backend(at, Readiness::Ready));
            net.call(at, |m, now| m.update_backend(now, shown));
        }
        net.run(50);
        let offered = |m: &Membership| m.members().filter(|m| m.backend.is_some()).count();
        let pairs: usize = net.running().map(|(_, m)| offered(m)).sum();
        if known == 0 && pairs * 100 >= nodes * nodes * 99 {
            known = net.now;
        }
    }
    let far: u64 = net.nodes.iter().map(|n| n.far).sum();
    (far / nodes as u64, known)
}

#[test]
fn a_restart_of_all_costs_each_node_hardly_more_where_there_are_three_times_as_many() {
    let (few, few_known) = restart_of_all(20, 1);
    let (many, many_known) = restart_of_all(60, 1);
    assert!(many * 10 <= few * 15, "{few} bytes, then {many}");
    assert!(many <= 20_000, "{many} bytes between failure domains");
    assert!((1..4_000).contains(&few_known) && (1..4_000).contains(&many_known));
}

#[test]
fn news_of_one_node_crosses_to_another_domain_a_few_times_only() {
    let mut net = Net::settled(&[60; 5], 3);
    let far = |net: &Net| net.nodes.iter().map(|n| n.far).sum::<u64>();
    let before = far(&net);
    net.run(5_000);
    let idle = far(&net) - before;
    net.call(2, |m, now| {
        m.update_backend(now, Some(backend(2, Readiness::Draining)))
    });
    let drains = |m: &Membership| {
        let shown = m.member(id(2)).and_then(|m| m.backend.as_ref());
        shown.is_some_and(|b| b.readiness == Readiness::Draining)
    };
    net.until("known", 2_000, |net| net.running().all(|(_, m)| drains(m)));
    net.run(5_000);
    let told = far(&net) - before - idle;
    assert!(told < idle * 2, "{told} bytes, {idle} in 5 s without news");
}
