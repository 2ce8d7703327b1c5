//! Complete versions reach every node by deltas, snapshots or pulls. A node never moves to an older
//! version.

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

/// Returns version `n`, which has `n` routes. The policies differ from those of other versions.
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

fn feed_at(n: u64) -> SnapshotFeed {
    let mut feed = SnapshotFeed::new(node(1));
    feed.on_read(version(n));
    feed
}

fn delta(from: u64, to: u64) -> Delta {
    let (old, new) = (version(from), version(to));
    Delta::between(&old, &new, new.digest())
}

fn newest(feed: &SnapshotFeed) -> u64 {
    feed.newest().version.0
}

#[rstest]
#[case::added_rows(2, 5)]
#[case::removed_rows(5, 2)]
#[case::no_changed_rows(3, 3)]
fn a_delta_produces_the_new_version(#[case] from: u64, #[case] to: u64) {
    assert_eq!(delta(from, to).apply(&version(from)), Ok(version(to)));
}

#[rstest]
#[case::another_base_version(delta(2, 5), 3, DeltaError::Base(Version(2), Version(3)))]
#[case::another_digest(
    Delta::between(&version(2), &version(5), version(4).digest()), 2, DeltaError::Digest(Version(5))
)]
fn a_delta_that_does_not_apply_is_refused(
    #[case] delta: Delta,
    #[case] base: u64,
    #[case] expected: DeltaError,
) {
    assert_eq!(delta.apply(&version(base)), Err(expected));
}

#[rstest]
#[case::the_next_delta(|s: &mut SnapshotFeed| s.on_delta(START, node(2), node(3), delta(4, 6)), 6)]
#[case::an_older_delta(|s: &mut SnapshotFeed| s.on_delta(START, node(2), node(3), delta(2, 3)), 4)]
#[case::a_delta_with_a_gap(|s: &mut SnapshotFeed| s.on_delta(START, node(2), node(3), delta(5, 6)), 4)]
#[case::an_older_read(|s: &mut SnapshotFeed| s.on_read(version(3)), 4)]
#[case::a_newer_read(|s: &mut SnapshotFeed| s.on_read(version(9)), 9)]
fn the_newest_version_never_decreases(
    #[case] event: fn(&mut SnapshotFeed) -> Vec<FeedAction>,
    #[case] expected: u64,
) {
    let mut feed = feed_at(4);
    let actions = event(&mut feed);
    assert_eq!(newest(&feed), expected);
    let applied = actions.iter().any(|a| matches!(a, FeedAction::Applied(_)));
    assert_eq!(applied, expected > 4);
}

#[rstest]
#[case::a_delta_after_a_gap(|s: &mut SnapshotFeed| s.on_delta(START, node(2), node(3), delta(5, 6)))]
#[case::an_offer_of_a_newer_version(|s: &mut SnapshotFeed| s.on_offer(START, node(2), node(3), feed_at(6).head()))]
#[case::a_probe_with_a_newer_version(|s: &mut SnapshotFeed| s.on_head(START, node(2), feed_at(6).head()))]
fn a_missing_version_is_pulled(#[case] event: fn(&mut SnapshotFeed) -> Vec<FeedAction>) {
    let mut feed = feed_at(4);
    let pull = FeedAction::Pull {
        peer: node(2),
        from: Offset(4),
    };
    assert_eq!(event(&mut feed), [pull]);
    assert_eq!(event(&mut feed), [], "only one pull may be pending");
    let answer = feed_at(6).answer(Offset(4));
    let actions = feed.on_pulled(node(2), answer);
    assert_eq!(newest(&feed), 6);
    assert!(actions.contains(&FeedAction::Applied(Version(6))));
}

#[test]
fn another_pull_starts_after_the_timeout() {
    let mut feed = feed_at(4);
    let head = feed_at(6).head();
    assert_eq!(feed.on_head(START, node(2), head).len(), 1);
    let later = START + Duration::from_secs(1);
    assert_eq!(feed.on_head(later, node(3), head).len(), 1);
}

#[rstest]
#[case::a_peer_that_is_up_to_date(9, PullAnswer::Current)]
#[case::a_peer_that_missed_two_versions(4, PullAnswer::Deltas(vec![Arc::new(delta(4, 6)), Arc::new(delta(6, 9))]))]
#[case::a_peer_that_missed_one_version(6, PullAnswer::Deltas(vec![Arc::new(delta(6, 9))]))]
#[case::a_peer_with_an_unknown_base(5, PullAnswer::Snapshot(Arc::new(version(9))))]
#[case::a_starting_peer(0, PullAnswer::Snapshot(Arc::new(version(9))))]
fn a_pull_is_answered_with_deltas_or_a_snapshot(#[case] from: u64, #[case] expected: PullAnswer) {
    let mut feed = feed_at(4);
    feed.on_read(version(6));
    feed.on_read(version(9));
    assert_eq!(feed.answer(Offset(from)), expected);
}

#[test]
fn a_delta_is_pushed_by_the_reader_and_forwarded_by_others() {
    let mut reader = feed_at(4);
    let push = FeedAction::PushDelta {
        origin: node(1),
        delta: Some(Arc::new(delta(4, 6))),
    };
    assert_eq!(reader.on_read(version(6))[0], push);
    let mut other = feed_at(4);
    let actions = other.on_delta(START, node(2), node(1), delta(4, 6));
    assert_eq!(actions[0], push);
}

#[test]
fn different_contents_of_one_version_are_reported() {
    let mut feed = feed_at(4);
    let other = Snapshot::new(Version(4), Table::new());
    assert_eq!(
        feed.on_read(other),
        [FeedAction::Diverged(RecordSource::Platform)]
    );
    assert_eq!(**feed.newest(), version(4));
}

#[test]
fn the_recent_deltas_are_bounded() {
    let mut feed = feed_at(1);
    for n in 2..200 {
        feed.on_read(version(n));
    }
    let PullAnswer::Snapshot(snapshot) = feed.answer(Offset(1)) else {
        panic!("expected a snapshot: the first delta must be evicted")
    };
    assert_eq!(*snapshot, version(199));
}
