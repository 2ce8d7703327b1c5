//! Age of confirmations, and which nodes read the platform when they stop.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use rstest::rstest;
use swiftcart_core::{Freshness, Instant, NodeId, relay_children, relay_roots, takeover_delay};

const TICK: Duration = Duration::from_millis(50);
/// Time of a read and of the delivery of its result to all nodes.
const READ_TIME: Duration = Duration::from_millis(50);
/// Time for which a read of a platform that does not answer stays open.
const READ_TIMEOUT: Duration = Duration::from_millis(1900);
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// A version has two seconds to be in force; its distribution and its witnesses take up to half a
/// second.
const MAX_AGE: Duration = Duration::from_millis(1500);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Node of a mesh whose messages all arrive.
struct Node {
    freshness: Freshness,
    /// Start and end of the open read, and whether it succeeds.
    read: Option<(Instant, Instant, bool)>,
    retry_at: Instant,
    reads: usize,
}

impl Node {
    /// Ends the open read if it is over. Returns the time that the node confirms to all others.
    fn finish_read(&mut self, now: Instant) -> Option<Instant> {
        self.freshness.on_tick(now);
        let (began, as_of, succeeds) = self.read.take_if(|read| read.1 + READ_TIME <= now)?;
        if succeeds {
            return self.freshness.on_confirmed(began, as_of).then_some(as_of);
        }
        self.freshness.on_failed();
        self.retry_at = now + RETRY_DELAY;
        None
    }

    /// Starts a read if one is due.
    fn start_read(&mut self, now: Instant, position: usize, succeeds: bool) {
        let wait = self.freshness.due(now, position);
        if let Some(wait) = wait.filter(|_| self.read.is_none() && now >= self.retry_at) {
            let as_of = now + if succeeds { wait } else { READ_TIMEOUT };
            self.read = Some((now, as_of, succeeds));
            self.reads += 1;
        }
    }
}

/// Mesh that is played in steps of [`TICK`].
struct Mesh {
    now: Instant,
    nodes: Vec<Node>,
}

impl Mesh {
    fn new(count: usize) -> Self {
        let node = || Node {
            freshness: Freshness::new(Instant::default()),
            read: None,
            retry_at: Instant::default(),
            reads: 0,
        };
        let nodes = (0..count).map(|_| node()).collect();
        let now = Instant::default();
        Self { now, nodes }
    }

    /// Plays `time`, during which the platform answers the nodes in `reached` only. Returns the
    /// greatest age of a confirmation at any node.
    fn play(&mut self, time: Duration, reached: impl Fn(usize) -> bool) -> Duration {
        let end = self.now + time;
        let mut oldest = Duration::ZERO;
        while self.now < end {
            self.now = self.now + TICK;
            self.step(&reached);
            let ages = self.nodes.iter().map(|node| node.freshness.age(self.now));
            oldest = oldest.max(ages.max().unwrap());
        }
        oldest
    }

    fn step(&mut self, reached: &impl Fn(usize) -> bool) {
        let now = self.now;
        let nodes = self.nodes.iter_mut().enumerate();
        let confirmed: Vec<_> = nodes
            .filter_map(|(index, node)| {
                let as_of = node.finish_read(now);
                node.start_read(now, index, reached(index));
                Some((index, as_of?))
            })
            .collect();
        for (sender, as_of) in confirmed {
            let nodes = self.nodes.iter_mut().enumerate();
            for (_, node) in nodes.filter(|(index, _)| *index != sender) {
                node.freshness.on_peer(now, now.since(as_of), 0);
                node.freshness.on_position(0);
            }
        }
    }

    fn reads(&self) -> usize {
        self.nodes.iter().map(|node| node.reads).sum()
    }
}

#[rstest]
#[case::a_small_mesh(13)]
#[case::a_large_mesh(295)]
#[case::a_fleet(970)]
fn one_node_confirms_the_version_for_all(#[case] count: usize) {
    let mut mesh = Mesh::new(count);
    mesh.play(Duration::from_secs(2), |_| true);
    let before = mesh.reads();
    let oldest = mesh.play(Duration::from_secs(30), |_| true);
    assert!(oldest < takeover_delay(0), "{oldest:?}");
    let reads = mesh.reads() - before;
    assert!((60..=80).contains(&reads), "{reads}");
}

#[rstest]
#[case::half_of_a_small_mesh(13, 2)]
#[case::three_quarters_of_a_mesh(69, 4)]
#[case::nine_tenths_of_a_large_mesh(295, 10)]
#[case::all_but_ten_of_a_fleet(970, 97)]
fn a_node_that_reaches_the_platform_takes_over_in_time_from_silent_ones(
    #[case] count: usize,
    #[case] one_in: usize,
) {
    for shift in 0..one_in {
        let mut mesh = Mesh::new(count);
        mesh.play(Duration::from_secs(3), |_| true);
        let oldest = mesh.play(Duration::from_secs(6), |index| index % one_in == shift);
        assert!(
            oldest <= MAX_AGE,
            "{oldest:?}, every {one_in}th from {shift}"
        );
    }
}

#[test]
fn the_nodes_that_reach_the_platform_may_change_in_turn() {
    let mut mesh = Mesh::new(69);
    mesh.play(Duration::from_secs(3), |_| true);
    for round in 0..8 {
        let oldest = mesh.play(Duration::from_secs(3), |index| index % 4 == round % 4);
        assert!(oldest <= MAX_AGE, "{oldest:?} in round {round}");
    }
}

#[test]
fn all_nodes_are_up_to_date_soon_after_an_outage() {
    let mut mesh = Mesh::new(69);
    mesh.play(Duration::from_secs(5), |_| false);
    mesh.play(READ_TIMEOUT + RETRY_DELAY, |_| true);
    let oldest = mesh.play(Duration::from_secs(5), |_| true);
    assert!(oldest <= MAX_AGE, "{oldest:?}");
}

#[rstest]
#[case::when_it_was_delayed_by_a_pause(ms(600), None, false)]
#[case::right_after_the_first_tick(ms(600), Some(ms(600)), false)]
#[case::once_the_socket_is_read_empty(ms(720), Some(ms(600)), true)]
#[case::without_a_pause(ms(120), Some(ms(100)), true)]
fn a_confirmation_is_accepted(
    #[case] arrival: Duration,
    #[case] tick: Option<Duration>,
    #[case] accepted: bool,
) {
    let mut freshness = Freshness::new(Instant::default());
    if let Some(tick) = tick {
        freshness.on_tick(Instant::new(tick));
    }
    assert_eq!(
        freshness.on_peer(Instant::new(arrival), Duration::ZERO, 0),
        accepted
    );
}

#[test]
fn a_confirmation_of_a_newer_version_counts_once_the_version_arrived() {
    let at = Instant::from_millis;
    let mut freshness = Freshness::new(at(0));
    freshness.on_peer(at(200), ms(0), 9);
    freshness.on_position(8);
    assert_eq!(freshness.age(at(300)), ms(300));
    freshness.on_position(9);
    assert_eq!(freshness.age(at(300)), ms(100));
}

#[test]
fn an_older_confirmation_neither_counts_nor_ends_the_own_duty() {
    let at = Instant::from_millis;
    let mut freshness = Freshness::new(at(0));
    assert!(freshness.on_confirmed(at(100), at(200)));
    freshness.on_peer(at(210), ms(60), 0);
    freshness.on_position(0);
    assert_eq!(
        (freshness.age(at(210)), freshness.confirms()),
        (ms(10), true)
    );
}

#[rstest]
#[case::one(1)]
#[case::fewer_than_roots(2)]
#[case::a_zone(23)]
#[case::many(325)]
fn a_relayed_message_reaches_every_member_once(#[case] count: u16) {
    let node = |port| NodeId(([10, 0, 0, 1], port).into());
    let members: Vec<_> = (1..=count).map(node).collect();
    for round in [0, 1, 7, u64::MAX] {
        let mut reached = relay_roots(&members, round, 3);
        let mut next = 0;
        while let Some(id) = reached.get(next).copied() {
            reached.extend(relay_children(&members, round, id, 3));
            next += 1;
        }
        reached.sort_unstable();
        assert_eq!(reached, members, "round {round}");
    }
}
