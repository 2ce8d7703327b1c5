//! Tests of departures that outlive the process of a node.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use rstest::rstest;
use swiftcart_core::{
    Announced, AnnouncementOutcome, DEPARTURE_MEMORY_MS, Datagram, Departure, DepartureLedger,
    DepartureMessage, DepartureRecall, DepartureReport, Instant, MeshKey, NodeId, Outdated,
    StartTime, Succession, seal,
};

/// Wall clock of the departures.
const UNIX_MS: u64 = 1_700_000_000_000;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn node(port: u16) -> NodeId {
    NodeId(([10, 1, 0, 7], port).into())
}

fn announced(id: &str, start: Option<u64>, seq: u64) -> Announced<'_> {
    let start = start.map(StartTime);
    Announced { id, start, seq }
}

fn departure(id: &str, start: Option<u64>, outdated: Outdated) -> Departure {
    Departure {
        id: id.into(),
        start: start.map(StartTime),
        outdated,
        at_ms: UNIX_MS,
    }
}

/// Returns the memory of a node that starts again after these departures.
fn restarted(departures: &[Departure]) -> Succession {
    let mut succession = Succession::default();
    succession.restore(at(100), UNIX_MS + 1_000, departures);
    succession
}

#[rstest]
#[case::left(
    departure("a", None, Outdated::All),
    None,
    99,
    AnnouncementOutcome::Retired
)]
#[case::left_with_a_start(
    departure("a", Some(5), Outdated::All),
    Some(5),
    99,
    AnnouncementOutcome::Retired
)]
#[case::left_before_a_start(
    departure("a", Some(5), Outdated::All),
    Some(6),
    1,
    AnnouncementOutcome::Replaced
)]
#[case::drains_and_late(
    departure("a", None, Outdated::UpTo(7)),
    None,
    6,
    AnnouncementOutcome::Late
)]
#[case::drains_and_later(
    departure("a", None, Outdated::UpTo(7)),
    None,
    8,
    AnnouncementOutcome::Newer
)]
#[case::drains_before_a_start(
    departure("a", Some(5), Outdated::UpTo(7)),
    Some(6),
    1,
    AnnouncementOutcome::Restarted
)]
#[case::drains_after_a_start(
    departure("a", Some(5), Outdated::UpTo(7)),
    Some(4),
    9,
    AnnouncementOutcome::Late
)]
#[case::another(
    departure("b", None, Outdated::All),
    None,
    1,
    AnnouncementOutcome::Replaced
)]
fn an_announcement_after_a_restart_is_ordered_by_the_departures(
    #[case] departure: Departure,
    #[case] start: Option<u64>,
    #[case] seq: u64,
    #[case] expected: AnnouncementOutcome,
) {
    let mut succession = restarted(&[departure]);
    let outcome = succession.on_announcement(at(200), announced("a", start, seq));
    assert_eq!(outcome, expected);
}

#[test]
fn departures_survive_any_number_of_restarts() {
    let mut succession = Succession::default();
    succession.on_announcement(at(0), announced("a", None, 3));
    succession.leave(at(10), "a", None, StartTime(UNIX_MS));
    succession.on_announcement(at(20), announced("b", None, 4));
    succession.set_draining(at(30), true);
    for _ in 0..3 {
        succession = restarted(&succession.departures(at(100), UNIX_MS));
    }
    let outdated: Vec<_> = succession
        .departures(at(100), UNIX_MS)
        .into_iter()
        .map(|departure| (departure.id, departure.outdated))
        .collect();
    assert_eq!(
        outdated,
        [("b".into(), Outdated::UpTo(4)), ("a".into(), Outdated::All)]
    );
}

#[test]
fn a_replaced_backend_server_and_one_that_no_longer_drains_have_not_departed() {
    let mut succession = Succession::default();
    succession.on_announcement(at(0), announced("a", None, 3));
    succession.on_announcement(at(10), announced("b", None, 1));
    succession.set_draining(at(10), true);
    succession.on_announcement(at(20), announced("b", None, 2));
    succession.set_draining(at(20), false);
    assert_eq!(succession.departures(at(30), UNIX_MS), []);
}

#[test]
fn an_old_departure_is_forgotten() {
    let mut succession = Succession::default();
    let departure = departure("a", None, Outdated::All);
    succession.restore(at(0), UNIX_MS + DEPARTURE_MEMORY_MS, &[departure]);
    assert_eq!(succession, Succession::default());
}

#[test]
fn a_report_is_repeated_until_it_is_confirmed() {
    let mut report = DepartureReport::default();
    assert_eq!(report.due(at(0)), None);
    report.start(
        2,
        vec![departure("a", None, Outdated::All)],
        &[node(1), node(2)],
    );
    assert_eq!(report.due(at(0)).unwrap().0, [node(1), node(2)]);
    assert_eq!(report.due(at(50)), None);
    assert!(!report.on_ack(node(1), 1), "an earlier report");
    assert!(report.on_ack(node(1), 2));
    assert_eq!(report.due(at(100)).unwrap().0, [node(2)]);
    assert!(report.on_ack(node(2), 2));
    assert_eq!(report.due(at(200)), None);
}

#[test]
fn a_report_to_a_node_that_is_gone_ends() {
    let mut report = DepartureReport::default();
    report.start(1, Vec::new(), &[node(1)]);
    let sent = (0..1_000).filter(|n| report.due(at(n * 100)).is_some());
    assert!(sent.count() <= 50);
}

/// Guards against a report that no datagram can carry.
#[test]
fn the_longest_report_fits_into_a_datagram_and_has_the_latest_departures() {
    let ids: Vec<String> = (0..16).map(|n| format!("{n:0>60}")).collect();
    let all = ids
        .iter()
        .map(|id| departure(id, Some(u64::MAX), Outdated::UpTo(u64::MAX)));
    let mut report = DepartureReport::default();
    report.start(u64::MAX, all.collect(), &[node(1)]);
    let (_, message) = report.due(at(0)).unwrap();
    let DepartureMessage::Report { departures, .. } = &message else {
        panic!("{message:?}");
    };
    assert_eq!(departures[0].id, ids[0]);
    let key = MeshKey::from_secret("departures");
    assert!(seal(&Datagram::Departures(message), node(1), &key).is_ok());
}

#[rstest]
#[case::nobody_answered(&[], false, 2_000, false)]
#[case::only_the_directory(&[], true, 500, false)]
#[case::only_the_directory_for_a_second(&[], true, 1_000, true)]
#[case::one_node(&[1], false, 500, false)]
#[case::one_node_for_a_second(&[1], false, 1_000, true)]
#[case::all_nodes(&[1, 2], false, 10, true)]
#[case::all_nodes_and_the_directory(&[1, 2], true, 10, true)]
fn a_recall_is_complete_once_no_answer_is_expected(
    #[case] answered: &[u16],
    #[case] listed: bool,
    #[case] after_ms: u64,
    #[case] expected: bool,
) {
    let peers = [node(1), node(2)];
    let mut recall = DepartureRecall::default();
    assert_eq!(recall.nodes_to_ask(at(100), &peers), peers);
    for port in answered {
        recall.on_reply(node(*port), Vec::new());
    }
    if listed {
        recall.on_listed(Vec::new());
    }
    let now = at(100) + Duration::from_millis(after_ms);
    assert_eq!(recall.is_complete(now, &peers), expected);
}

#[test]
fn a_recall_asks_again_those_that_have_not_answered() {
    let peers = [node(1), node(2)];
    let mut recall = DepartureRecall::default();
    recall.nodes_to_ask(at(0), &peers);
    recall.on_reply(node(1), vec![departure("a", None, Outdated::All)]);
    recall.on_reply(node(1), vec![departure("a", None, Outdated::All)]);
    assert_eq!(recall.nodes_to_ask(at(50), &peers), []);
    assert_eq!(recall.nodes_to_ask(at(100), &peers), [node(2)]);
    assert_eq!(recall.into_found().len(), 1);
}

#[test]
fn a_node_remembers_the_last_report_of_each_node_for_a_time() {
    let mut ledger = DepartureLedger::default();
    let report = |id| vec![departure(id, None, Outdated::All)];
    ledger.record(at(0), node(1), report("a"));
    ledger.record(at(10), node(1), report("b"));
    ledger.record(at(20), node(2), report("c"));
    assert_eq!(ledger.departures(node(1)), report("b"));
    ledger.record(at(20 + DEPARTURE_MEMORY_MS), node(3), report("d"));
    assert_eq!(ledger.departures(node(1)), []);
    assert_eq!(ledger.departures(node(3)), report("d"));
}
