//! Configuration and membership of a mesh of processes under crashes, freezes, partitions and
//! platform outages.

mod mesh;

use std::time::Duration;

use mesh::{Mesh, until};
use swiftcart_core::{Liveness, Version};
use swiftcart_standin::{LogFaults, Outage};

const FAILURE_DOMAINS: [(&str, usize); 3] = [("norte", 3), ("sur", 3), ("callao", 3)];
const ALL_NODES: [usize; 9] = [0, 1, 2, 3, 4, 5, 6, 7, 8];
/// Time after a version within which a reader waits for the next one again.
const NEXT_POLL: Duration = Duration::from_millis(200);
const OUTSIDE_SUR: [usize; 6] = [0, 1, 2, 6, 7, 8];
const SUR_NODES: [usize; 3] = [3, 4, 5];

fn outage() -> LogFaults {
    LogFaults::new().with_outage(Outage::Unavailable)
}

#[tokio::test(flavor = "multi_thread")]
async fn every_node_enforces_a_version_and_one_node_per_failure_domain_reads_the_platform() {
    let mut mesh = Mesh::start(&FAILURE_DOMAINS).await;
    for _ in 0..5 {
        let version = mesh.publish();
        mesh.until_at(&ALL_NODES, version).await;
    }
    let before = long_polls(&mesh).await;
    let version = mesh.publish();
    mesh.until_at(&ALL_NODES, version).await;
    tokio::time::sleep(NEXT_POLL).await;
    let held = mesh.log.stats().held;
    let after = long_polls(&mesh).await;
    let polled: Vec<_> = before.iter().zip(&after).map(|(b, a)| a > b).collect();
    let readers = polled
        .chunks(3)
        .map(|nodes| nodes.iter().filter(|p| **p).count());
    let readers: Vec<_> = readers.collect();
    assert_eq!(mesh.reverts(), []);
    // The node that confirms the version polls in shorter steps, and may be one of the readers.
    let single = readers.iter().all(|count| *count <= 1) && readers.iter().sum::<usize>() >= 2;
    assert!(single, "one long poll per failure domain: {readers:?}");
    let polls = readers.iter().sum::<usize>() as u64;
    assert!(held <= polls + 1, "{held} reads are open, {readers:?} poll");
}

async fn long_polls(mesh: &Mesh) -> Vec<u64> {
    let mut counts = Vec::new();
    for node in ALL_NODES {
        counts.push(mesh.long_polls(node).await);
    }
    counts
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_node_is_marked_dead_and_does_not_serve_an_older_version_after_a_restart() {
    let mut mesh = Mesh::start(&FAILURE_DOMAINS).await;
    let version = mesh.publish();
    mesh.until_at(&ALL_NODES, version).await;
    mesh.log.set_faults(outage());
    mesh.nodes[4].kill();
    until(async || mesh.liveness(0).await[&4] == Liveness::Dead).await;
    mesh.spawn(4);
    mesh.until_at(&ALL_NODES, version).await;
    mesh.until_known(&ALL_NODES).await;
    assert_eq!(mesh.reverts(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partitioned_failure_domain_keeps_serving_and_catches_up_without_a_revert() {
    let mut mesh = Mesh::start(&FAILURE_DOMAINS).await;
    let before = mesh.publish();
    mesh.until_at(&ALL_NODES, before).await;
    mesh.cut(&SUR_NODES, true).await;
    let after = mesh.publish();
    mesh.until_at(&OUTSIDE_SUR, after).await;
    mesh.until_at(&SUR_NODES, before).await;
    // A node that restarts inside the partition recovers its version from its failure domain.
    mesh.nodes[4].kill();
    mesh.spawn(4);
    mesh.until_at(&SUR_NODES, before).await;
    for (observer, observed) in [(0, 3), (3, 0), (6, 5)] {
        assert_eq!(
            mesh.liveness(observer).await[&observed],
            Liveness::Alive,
            "a partitioned node is not marked dead"
        );
    }
    mesh.heal().await;
    mesh.until_at(&ALL_NODES, after).await;
    mesh.until_known(&ALL_NODES).await;
    assert_eq!(mesh.reverts(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_node_blocks_no_other_and_spreads_no_stale_liveness_after_a_thaw() {
    let mut mesh = Mesh::start(&FAILURE_DOMAINS).await;
    let before = mesh.publish();
    mesh.until_at(&ALL_NODES, before).await;
    mesh.nodes[1].freeze();
    until(async || mesh.liveness(0).await[&1] == Liveness::Dead).await;
    let after = mesh.publish();
    let not_frozen = [0, 2, 3, 4, 5, 6, 7, 8];
    mesh.until_at(&not_frozen, after).await;
    // Another node stops for good while node 1 is frozen. The stale member list of node 1 must not
    // mark it alive again.
    mesh.nodes[2].kill();
    let remaining = [0, 3, 4, 5, 6, 7, 8];
    for observer in remaining {
        until(async || mesh.liveness(observer).await[&2] == Liveness::Dead).await;
    }
    mesh.nodes[1].resume();
    let after_thaw = [0, 1, 3, 4, 5, 6, 7, 8];
    mesh.until_at(&after_thaw, after).await;
    mesh.until_known(&after_thaw).await;
    for observer in remaining {
        assert_eq!(
            mesh.liveness(observer).await[&2],
            Liveness::Dead,
            "seen by {observer}"
        );
    }
    assert_eq!(mesh.reverts(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failure_domain_recovers_its_version_after_a_restart_during_a_platform_outage() {
    let mut mesh = Mesh::start(&FAILURE_DOMAINS).await;
    let version = mesh.publish();
    mesh.until_at(&ALL_NODES, version).await;
    mesh.log.set_faults(outage());
    for i in SUR_NODES {
        mesh.nodes[i].kill();
    }
    for i in SUR_NODES {
        mesh.spawn(i);
    }
    mesh.until_at(&ALL_NODES, version).await;
    mesh.until_known(&ALL_NODES).await;
    mesh.log.set_faults(LogFaults::new());
    let next = mesh.publish();
    mesh.until_at(&ALL_NODES, next).await;
    assert_eq!(mesh.reverts(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn no_node_serves_after_a_full_restart_until_the_platform_is_reachable() {
    let mut mesh = Mesh::start(&[("norte", 2)]).await;
    let version = mesh.publish();
    mesh.until_at(&[0, 1], version).await;
    mesh.log.set_faults(outage());
    for node in &mut mesh.nodes {
        node.kill();
    }
    mesh.spawn(0);
    mesh.spawn(1);
    until(async || mesh.liveness(0).await.len() == 2).await;
    until(async || mesh.state(1).await.is_some()).await;
    for i in [0, 1] {
        let state = mesh.state(i).await.unwrap();
        assert_eq!((state.ready, state.version), (false, Version::NONE));
    }
    mesh.log.set_faults(LogFaults::new());
    mesh.until_at(&[0, 1], version).await;
    assert_eq!(mesh.reverts(), []);
}
