//! Configuration and membership between processes, under kills, freezes, cuts and outages.

mod mesh;

use mesh::{Mesh, until};
use swiftcart_core::{Liveness, Version};
use swiftcart_standin::{LogFaults, Outage};

const LIMA: [(&str, usize); 3] = [("norte", 3), ("sur", 3), ("callao", 3)];
const ALL: [usize; 9] = [0, 1, 2, 3, 4, 5, 6, 7, 8];
const OTHERS: [usize; 6] = [0, 1, 2, 6, 7, 8];
const SUR: [usize; 3] = [3, 4, 5];

fn outage() -> LogFaults {
    LogFaults::new().with_outage(Outage::Unavailable)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_is_in_force_everywhere_and_few_nodes_read_the_platform() {
    let mut mesh = Mesh::start(&LIMA).await;
    for _ in 0..5 {
        let version = mesh.publish();
        mesh.until_at(&ALL, version).await;
    }
    let held = mesh.log.stats().held;
    assert_eq!(
        (mesh.reverts(), held),
        (vec![], 3),
        "one long poll a failure domain"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_node_leaves_and_a_restarted_one_never_serves_an_older_version() {
    let mut mesh = Mesh::start(&LIMA).await;
    let version = mesh.publish();
    mesh.until_at(&ALL, version).await;
    mesh.log.set_faults(outage());
    mesh.nodes[4].kill();
    until(async || mesh.liveness(0).await[&4] == Liveness::Dead).await;
    mesh.spawn(4);
    mesh.until_at(&ALL, version).await;
    mesh.until_known(&ALL).await;
    assert_eq!(mesh.reverts(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_off_failure_domain_serves_on_and_catches_up_without_a_revert() {
    let mut mesh = Mesh::start(&LIMA).await;
    let before = mesh.publish();
    mesh.until_at(&ALL, before).await;
    mesh.cut(&SUR, true).await;
    let after = mesh.publish();
    mesh.until_at(&OTHERS, after).await;
    mesh.until_at(&SUR, before).await;
    // A node that restarts inside the cut learns from its failure domain how far it was.
    mesh.nodes[4].kill();
    mesh.spawn(4);
    mesh.until_at(&SUR, before).await;
    for (seer, seen) in [(0, 3), (3, 0), (6, 5)] {
        assert_eq!(
            mesh.liveness(seer).await[&seen],
            Liveness::Alive,
            "cut off is not dead"
        );
    }
    mesh.heal().await;
    mesh.until_at(&ALL, after).await;
    mesh.until_known(&ALL).await;
    assert_eq!(mesh.reverts(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_node_takes_nobody_down_and_brings_no_stale_news() {
    let mut mesh = Mesh::start(&LIMA).await;
    let before = mesh.publish();
    mesh.until_at(&ALL, before).await;
    mesh.nodes[1].freeze();
    until(async || mesh.liveness(0).await[&1] == Liveness::Dead).await;
    let after = mesh.publish();
    let awake = [0, 2, 3, 4, 5, 6, 7, 8];
    mesh.until_at(&awake, after).await;
    // While it was away a node stopped for good; its old news must not bring it back.
    mesh.nodes[2].kill();
    let left = [0, 3, 4, 5, 6, 7, 8];
    for seer in left {
        until(async || mesh.liveness(seer).await[&2] == Liveness::Dead).await;
    }
    mesh.nodes[1].resume();
    let back = [0, 1, 3, 4, 5, 6, 7, 8];
    mesh.until_at(&back, after).await;
    mesh.until_known(&back).await;
    for seer in left {
        assert_eq!(
            mesh.liveness(seer).await[&2],
            Liveness::Dead,
            "seen by {seer}"
        );
    }
    assert_eq!(mesh.reverts(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failure_domain_that_dies_as_one_comes_back_while_the_platform_is_down() {
    let mut mesh = Mesh::start(&LIMA).await;
    let version = mesh.publish();
    mesh.until_at(&ALL, version).await;
    mesh.log.set_faults(outage());
    for i in SUR {
        mesh.nodes[i].kill();
    }
    for i in SUR {
        mesh.spawn(i);
    }
    mesh.until_at(&ALL, version).await;
    mesh.until_known(&ALL).await;
    mesh.log.set_faults(LogFaults::new());
    let next = mesh.publish();
    mesh.until_at(&ALL, next).await;
    assert_eq!(mesh.reverts(), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn no_node_serves_before_it_knows_how_far_it_was() {
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
