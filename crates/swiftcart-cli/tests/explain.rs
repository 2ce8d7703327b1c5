//! Traces of requests from the logs of several nodes.

use std::fs;
use std::path::PathBuf;

use rstest::rstest;
use swiftcart_cli::{Error, LogLine, RequestTrace};
use tempfile::TempDir;

/// Log of the ingress, with one request refused, one lost, one served and one without an answer.
const INGRESS: &str = "\
at=900 level=INFO digest=3da0 version=12 event=applied
at=1000 level=WARN domain=sur event=domain-cut
at=1100 level=INFO left_ms=1192 ms=7 next=another load=12/9/12 reason=overloaded rule=Spill guard=\"10.1.0.22:7000\" try=1 service=booking id=refused event=try
at=1120 level=INFO version=12 ms=27 retry_after_ms=403 reason=overloaded outcome=not-run status=own target=a.example/order/7 id=refused event=answer
at=1200 level=INFO version=12 ms=3 retry_after_ms=None reason=answer-broken outcome=unknown status=own target=a.example/order/8 id=lost event=answer
at=1300 level=INFO left_ms=379 ms=19 rule=Near guard=\"10.1.0.23:7000\" tries=2 status=200 service=booking id=served event=answer
at=1400 level=INFO left_ms=379 ms=19 next=again load=- reason=shed rule=Near guard=\"10.1.0.23:7000\" try=1 service=booking id=open event=try
at=9000 level=INFO liveness=Dead id=10.1.0.22:7000 event=member
";

/// Log of the guard, with lines that no node wrote.
const GUARD: &str = "\
no line of a node
at=soon event=guard id=refused
at=1098 level=INFO left_ms=1193 limit=12 queued=9 running=12 reason=overloaded instance=i-1 service=booking id=refused event=guard
at=1099 level=WARN error=\"the connection to the platform ended before its answer\" event=platform-down
";

/// Log of a node that handled none of the requests.
const OTHER: &str = "at=1100 level=INFO reason= phase=ready event=phase\n";

struct Logs {
    _dir: TempDir,
    files: Vec<PathBuf>,
}

fn logs() -> Logs {
    let dir = tempfile::tempdir().expect("a folder");
    let texts = [("ingress", INGRESS), ("guard", GUARD), ("other", OTHER)];
    let files = texts.map(|(name, text)| {
        let path = dir.path().join(format!("{name}.log"));
        fs::write(&path, text).expect("a file");
        path
    });
    Logs {
        _dir: dir,
        files: files.into(),
    }
}

fn events(lines: &[LogLine]) -> Vec<String> {
    let name = |line: &LogLine| format!("{} {} {}", line.at_ms, line.node, line.event);
    lines.iter().map(name).collect()
}

#[rstest]
#[case::refused(
    "refused",
    "not-run: overloaded: The guard expects the wait in its queue to be too long. \
     The caller was told to come back after 403 ms."
)]
#[case::lost(
    "lost",
    "unknown: answer-broken: The answer broke off, or was no HTTP, after the hand-over."
)]
#[case::served(
    "served",
    "done: the backend server beside 10.1.0.23:7000 answered 200, tries: 2"
)]
#[case::unanswered(
    "open",
    "no node logged an answer: the line was left out (event=left-out), the node ended before it, \
     or its log is not among the files"
)]
fn the_verdict_follows_from_the_last_answer(#[case] id: &str, #[case] verdict: &str) {
    let trace = RequestTrace::read(id, &logs().files).expect("a trace");
    assert_eq!(trace.verdict(), verdict);
}

#[rstest]
fn lines_of_a_request_are_merged_over_the_nodes_in_order_of_time() {
    let trace = RequestTrace::read("refused", &logs().files).expect("a trace");
    let lines = [
        "1098 guard guard",
        "1100 ingress try",
        "1120 ingress answer",
    ];
    assert_eq!(events(&trace.lines), lines);
    let details = trace.lines[0].details();
    assert!(details.starts_with("service=booking instance=i-1 reason=overloaded running=12"));
}

#[rstest]
fn other_events_around_the_request_are_shown_for_its_nodes_only() {
    let trace = RequestTrace::read("refused", &logs().files).expect("a trace");
    let context = [
        "900 ingress applied",
        "1000 ingress domain-cut",
        "1099 guard platform-down",
    ];
    assert_eq!(events(&trace.context), context);
    let text = trace.text();
    assert!(text.contains("error=the connection to the platform ended before its answer"));
    assert!(text.ends_with(&trace.verdict()));
}

#[rstest]
fn the_word_before_a_line_names_the_node() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("all.log");
    let text = "   1.2345 norte-1 at=10 level=INFO reason=timeout id=a event=guard\n";
    fs::write(&path, text).expect("a file");
    let trace = RequestTrace::read("a", &[path]).expect("a trace");
    assert_eq!(events(&trace.lines), ["10 norte-1 guard"]);
}

#[rstest]
#[case::unknown_request("nobody", "has a line of the request \"nobody\"")]
#[case::part_of_an_id("refuse", "has a line of the request \"refuse\"")]
fn an_unknown_request_id_is_reported_as_an_error(#[case] id: &str, #[case] message: &str) {
    let error = RequestTrace::read(id, &logs().files).expect_err("no trace");
    assert!(matches!(error, Error::RequestNotFound(..)));
    assert!(error.to_string().contains(message), "{error}");
}
