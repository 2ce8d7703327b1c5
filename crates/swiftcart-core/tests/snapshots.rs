//! Versions that come as a whole reach every node, however they travel, and only forward.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use swiftcart_core::*;

const START: Instant = Instant::from_millis(0);

fn node(n: u16) -> NodeId {
    NodeId(([10, 0, 0, 1], n).into())
}

fn policy(timeout_ms: u32) -> Policy {
    Policy {
        class: RequestClass::Idempotent,
        attempts: 2,
        timeout_ms,
        target_ms: 400,
        priority: Priority(1),
    }
}

/// The version `n`: a route for each of the numbers up to `n`, with policies that differ.
fn version(n: u64) -> Snapshot {
    let mut table = Table::new().with_service("booking", Limits::default());
    let mut policies = Policies::new();
    for i in 1..=n {
        let prefix = format!("//book.example/r{i}/");
        table = table.with_route(prefix.as_str(), "booking", 1);
        policies.insert(prefix, policy(1000 + u32::try_from(n).unwrap_or(0)));
    }
    Snapshot::new(Version(n), table).with_policies(policies)
}

fn at(n: u64) -> SnapshotFeed {
    let mut snapshots = SnapshotFeed::new(node(1));
    snapshots.on_read(version(n));
    snapshots
}

fn delta(from: u64, to: u64) -> Delta {
    let (old, new) = (version(from), version(to));
    Delta::between(&old, &new, new.digest())
}

fn newest(snapshots: &SnapshotFeed) -> u64 {
    snapshots.newest().version.0
}

#[rstest]
#[case::rows_that_came(2, 5)]
#[case::rows_that_went(5, 2)]
#[case::nothing_but_the_version(3, 3)]
fn a_delta_leads_to_the_same_content(#[case] from: u64, #[case] to: u64) {
    assert_eq!(delta(from, to).apply(&version(from)), Ok(version(to)));
}

#[rstest]
#[case::another_version(delta(2, 5), 3, DeltaError::Base(Version(2), Version(3)))]
#[case::another_content(
    Delta::between(&version(2), &version(5), version(4).digest()), 2, DeltaError::Digest(Version(5))
)]
fn a_delta_is_refused_on(#[case] delta: Delta, #[case] base: u64, #[case] expected: DeltaError) {
    assert_eq!(delta.apply(&version(base)), Err(expected));
}

#[rstest]
#[case::the_next_delta(|s: &mut SnapshotFeed| s.on_delta(START, node(2), node(3), delta(4, 6)), 6)]
#[case::an_older_delta(|s: &mut SnapshotFeed| s.on_delta(START, node(2), node(3), delta(2, 3)), 4)]
#[case::a_delta_with_a_gap(|s: &mut SnapshotFeed| s.on_delta(START, node(2), node(3), delta(5, 6)), 4)]
#[case::an_older_read(|s: &mut SnapshotFeed| s.on_read(version(3)), 4)]
#[case::a_newer_read(|s: &mut SnapshotFeed| s.on_read(version(9)), 9)]
fn the_newest_version_after(
    #[case] event: fn(&mut SnapshotFeed) -> Vec<FeedAction>,
    #[case] expected: u64,
) {
    let mut snapshots = at(4);
    let actions = event(&mut snapshots);
    assert_eq!(newest(&snapshots), expected);
    let applied = actions.iter().any(|a| matches!(a, FeedAction::Applied(_)));
    assert_eq!(applied, expected > 4);
}

#[rstest]
#[case::a_gap_before_a_delta(|s: &mut SnapshotFeed| s.on_delta(START, node(2), node(3), delta(5, 6)))]
#[case::an_offer(|s: &mut SnapshotFeed| s.on_offer(START, node(2), node(3), at(6).head()))]
#[case::a_probe(|s: &mut SnapshotFeed| s.on_head(START, node(2), at(6).head()))]
fn what_is_missing_is_pulled_after(#[case] event: fn(&mut SnapshotFeed) -> Vec<FeedAction>) {
    let mut snapshots = at(4);
    let pull = FeedAction::Pull {
        peer: node(2),
        from: Offset(4),
    };
    assert_eq!(event(&mut snapshots), [pull]);
    assert_eq!(event(&mut snapshots), [], "one pull at a time");
    let answer = at(6).answer(Offset(4));
    let actions = snapshots.on_pulled(node(2), answer);
    assert_eq!(newest(&snapshots), 6);
    assert!(actions.contains(&FeedAction::Applied(Version(6))));
}

#[test]
fn a_pull_without_an_answer_gives_way_to_another_one() {
    let mut snapshots = at(4);
    let head = at(6).head();
    assert_eq!(snapshots.on_head(START, node(2), head).len(), 1);
    let later = START + Duration::from_secs(1);
    assert_eq!(snapshots.on_head(later, node(3), head).len(), 1);
}

#[rstest]
#[case::one_that_is_as_far(9, PullAnswer::Current)]
#[case::one_that_missed_two(4, PullAnswer::Deltas(vec![Arc::new(delta(4, 6)), Arc::new(delta(6, 9))]))]
#[case::one_that_missed_the_last(6, PullAnswer::Deltas(vec![Arc::new(delta(6, 9))]))]
#[case::one_with_another_version(5, PullAnswer::Snapshot(Arc::new(version(9))))]
#[case::a_joiner(0, PullAnswer::Snapshot(Arc::new(version(9))))]
fn the_answer_to(#[case] from: u64, #[case] expected: PullAnswer) {
    let mut snapshots = at(4);
    snapshots.on_read(version(6));
    snapshots.on_read(version(9));
    assert_eq!(snapshots.answer(Offset(from)), expected);
}

#[test]
fn a_reader_spreads_what_has_changed_and_others_pass_it_on() {
    let mut reader = at(4);
    let spread = FeedAction::PushDelta {
        origin: node(1),
        delta: Some(Arc::new(delta(4, 6))),
    };
    assert_eq!(reader.on_read(version(6))[0], spread);
    let mut other = at(4);
    let actions = other.on_delta(START, node(2), node(1), delta(4, 6));
    assert_eq!(actions[0], spread);
}

#[test]
fn two_contents_of_one_version_are_told() {
    let mut snapshots = at(4);
    let other = Snapshot::new(Version(4), Table::new());
    assert_eq!(
        snapshots.on_read(other),
        [FeedAction::Diverged(RecordSource::Platform)]
    );
    assert_eq!(**snapshots.newest(), version(4));
}

#[test]
fn what_is_kept_for_peers_is_bounded() {
    let mut snapshots = at(1);
    for n in 2..200 {
        snapshots.on_read(version(n));
    }
    let PullAnswer::Snapshot(whole) = snapshots.answer(Offset(1)) else {
        panic!("the first delta is kept")
    };
    assert_eq!(*whole, version(199));
}
